"""What a member says of its own replicas, for an operator; the keys are part of the interface."""

from typing import Any, NamedTuple

from cypresswalk.copies.replica import Replica


class AgreedView(NamedTuple):
    """A partition's view, as the group agreed on it."""

    view: int
    replicas: tuple[str, ...]


NO_VIEW = AgreedView(0, ())


def partition_statuses(replica: Replica, views: dict[int, AgreedView], soon: int) -> list[Any]:
    """Return the status of each partition of which this member is to hold a replica.

    Args:
        replica: this member's.
        views: as agreed, by partition.
        soon: the bucket up to which digests are left out; see `partition_status`.
    """
    return [
        partition_status(replica, number, soon)
        for number in sorted(views)
        if replica.member_id in views[number].replicas
    ]


def partition_status(replica: Replica, number: int, soon: int) -> list[Any]:
    """Return a partition's status as a list.

    Its number, its view, whether it is complete, whether it is sealed, how many records it has, how
    many of them are pending, and the digests of its records by bucket. Records that end about now
    are dropped at each replica by its own clock: only buckets after `soon` have to be alike.
    """
    partition = replica.partition(number)
    sums = {
        str(bucket): f"{digest:014x}"
        for bucket, digest in sorted(partition.digests.items())
        if bucket > soon
    }
    return [
        number,
        partition.view,
        partition.complete,
        partition.sealed,
        len(partition.records),
        len(partition.pending),
        sums,
    ]
