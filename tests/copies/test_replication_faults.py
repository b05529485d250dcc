"""Random runs with lost messages, crashes and lost disks: a key is granted to only one client."""

import pytest
from replica_mutants import (
    AcceptsOldViews,
    AnswersBeforeReplication,
    AnswersBeforeWriting,
    TrustsEmptyReplica,
)
from replication_world import ReplicationSimulation

from cypresswalk.copies.replica import Replica

SEEDS = 40
STEPS = 4000


def run_simulation(seed: int, replica_class: type[Replica] = Replica) -> ReplicationSimulation:
    """Simulate one random run, which checks that no key is granted to two clients."""
    simulation = ReplicationSimulation(seed, replica_class)
    for _ in range(STEPS):
        simulation.step()
    return simulation


def test_key_is_granted_to_one_client_over_crashes_lost_disks_and_view_changes():
    simulations = [run_simulation(seed) for seed in range(SEEDS)]
    # The runs are meaningful only if keys were granted and views changed.
    assert sum(len(simulation.granted) for simulation in simulations) > 300
    assert sum(simulation.view for simulation in simulations) > 200


@pytest.mark.parametrize(
    "mutant, seeds",
    [
        (AnswersBeforeWriting, [126, 135]),
        (AnswersBeforeReplication, [3, 6]),
        (TrustsEmptyReplica, [0, 5]),
        (AcceptsOldViews, [109]),
    ],
)
def test_replica_mutant_is_detected(mutant, seeds):
    """The same seeds find no fault in the real replica."""
    for seed in seeds:
        run_simulation(seed)
    with pytest.raises(AssertionError, match="granted to"):
        for seed in seeds:
            run_simulation(seed, mutant)
