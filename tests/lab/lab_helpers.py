"""Helpers for the tests of the lab: a small experiment, a simulated server, the lab command."""

import subprocess
import sys
from random import Random
from typing import Any

from paths import ROOT

from cypresswalk import toml
from cypresswalk.lab.experiment import Experiment, ServerGroup
from cypresswalk.lab.servers import SimulatedServer
from cypresswalk.lab.units import SECOND

COMMAND_TIMEOUT_S = 60

# Its servers have a capacity of 2 * 10 when warm.
SERVER_GROUP = ServerGroup(
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


def simulated_server(**faults: Any) -> SimulatedServer:
    """Return a server without connections; `faults` sets attributes of the server."""
    server = SimulatedServer(
        "m-0", SERVER_GROUP, Random(1), overload_factor=2, overload_window=2 * SECOND, turnover=0.1
    )
    for name, value in faults.items():
        setattr(server, name, value)
    return server


def small_experiment(**changes: Any) -> Experiment:
    """Return an experiment with one balancer and three servers; `changes` replaces file keys."""
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


def run_lab(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the lab command until it exits."""
    return subprocess.run(
        [sys.executable, "-m", "cypresswalk", "lab", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
    )
