"""Tests of the comparison of replicas by their digests."""

from typing import Any

import pytest

from cypresswalk.fleet.client import differing_replicas

PARTITION = 7
VIEW = 3
# Number, view and replicas of each partition.
PARTITIONS = [[PARTITION, VIEW, ["a#1", "b#1"]]]
BOTH_DIGESTS = {"11": "x", "12": "y"}
ONE_DIGEST = {"12": "y"}
OTHER_DIGEST = {"12": "z"}


def answer(soon: int, digests: dict[str, str], view: int = VIEW) -> dict[str, Any]:
    """Return a member's answer: which digests expire soon, and the state of its replica."""
    complete, sealed, pending = True, False, 0
    replica = [PARTITION, view, complete, sealed, len(digests), pending, digests]
    return {"soon": soon, "parts": [replica]}


def test_digests_that_one_replica_is_about_to_expire_are_not_compared():
    """Each replica expires keys by its own clock, so on a busy fleet their keys always differ."""
    answers = {"a#1": answer(10, BOTH_DIGESTS), "b#1": answer(11, ONE_DIGEST)}
    assert differing_replicas(PARTITIONS, answers) == []


@pytest.mark.parametrize(
    "answers",
    [
        {"a#1": answer(10, BOTH_DIGESTS), "b#1": answer(10, ONE_DIGEST)},
        {"a#1": answer(10, ONE_DIGEST), "b#1": answer(11, OTHER_DIGEST)},
        {"a#1": answer(10, ONE_DIGEST), "b#1": answer(10, ONE_DIGEST, view=VIEW - 1)},
        {"a#1": answer(10, ONE_DIGEST)},
    ],
    ids=["missing digest", "other digest", "older view", "missing replica"],
)
def test_replicas_that_differ_are_reported_once_a_partition(answers):
    assert len(differing_replicas(PARTITIONS, answers)) == 1
