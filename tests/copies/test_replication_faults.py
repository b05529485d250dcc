"""Replicas under lost messages, crashes and lost disks: a key is granted to one client."""

import pytest
from replica_mutants import (
    AcceptsOldViews,
    AnswersBeforeReplication,
    AnswersBeforeWriting,
    TrustsEmptyReplica,
)
from replication_world import ReplicationWorld

from cypresswalk.copies.replica import Replica

SEEDS = 40
STEPS = 4000


def play(seed: int, replica_class: type[Replica] = Replica) -> ReplicationWorld:
    """Play one random run, in which each key must be granted to one client."""
    world = ReplicationWorld(seed, replica_class)
    for _ in range(STEPS):
        world.step()
    return world


def test_key_is_granted_to_one_client_over_crashes_lost_disks_and_view_changes():
    worlds = [play(seed) for seed in range(SEEDS)]
    # The runs show something: keys were granted, and views changed.
    assert sum(len(world.granted) for world in worlds) > 300
    assert sum(world.view for world in worlds) > 200


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
    """The same seeds find nothing in the replica as it is."""
    for seed in seeds:
        play(seed)
    with pytest.raises(AssertionError, match="granted to"):
        for seed in seeds:
            play(seed, mutant)
