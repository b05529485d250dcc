"""A small experiment and a simulated server for the tests of the lab."""

from random import Random

from cypresswalk import toml
from cypresswalk.lab.experiment import Experiment, ServerGroup
from cypresswalk.lab.servers import SimulatedServer
from cypresswalk.lab.units import SECOND

MACHINES = ServerGroup(
    name="m",
    zone="a",
    count=1,
    cores=2,
    per_core=10,
    setup_ms=4,
    cold_share=0.25,
    cold_s=10,
    most=50,
)


def server(**troubles):
    made = SimulatedServer(
        "m-0", MACHINES, Random(1), overload_factor=2, overload_window=2 * SECOND, turnover=0.1
    )
    for name, value in troubles.items():
        setattr(made, name, value)
    return made


def small(**changes) -> Experiment:
    data = {
        "name": "small",
        "seconds": 4,
        "load": {"course": [[0, 10]]},
        "balancers": [{"zone": "north"}],
        "servers": [{"name": "s", "zone": "north", "count": 3}],
        "clients": {"line_ms": 200},
        "list_service": {"late_ms": [50, 200]},
        "types": [{"name": "view", "share": 1, "life_s": [1, 3]}],
    }
    return toml.decode(data | changes, Experiment, "small")
