"""Status of a member's replicas for operators; its layout is part of the interface."""

from typing import Any, NamedTuple

from cypresswalk.copies.replica import Replica


class AgreedView(NamedTuple):
    """The view of a partition that the fleet agreed on, the primary first in `replicas`."""

    view: int
    replicas: tuple[str, ...]


NO_VIEW = AgreedView(0, ())


def partition_statuses(
    replica: Replica, views: dict[int, AgreedView], current_bucket: int
) -> list[Any]:
    """Return the status of each partition of which this member should hold a replica.

    Args:
        replica: the replica of this member.
        views: the agreed views, by partition.
        current_bucket: the bucket up to which digests are left out; see `partition_status`.
    """
    return [
        partition_status(replica, number, current_bucket)
        for number in sorted(views)
        if replica.member_id in views[number].replicas
    ]


def partition_status(replica: Replica, number: int, current_bucket: int) -> list[Any]:
    """Return the status of a partition as a list.

    The elements are the number, the view, whether it is complete, whether it is sealed, the number
    of records, the number of pending records, and the digests of the records by bucket. Each
    replica drops expired records by its own clock, so only the digests of buckets after
    `current_bucket` have to be equal at all replicas.
    """
    partition = replica.partition(number)
    digests = {
        str(bucket): f"{digest:014x}"
        for bucket, digest in sorted(partition.digests.items())
        if bucket > current_bucket
    }
    return [
        number,
        partition.view,
        partition.complete,
        partition.sealed,
        len(partition.records),
        len(partition.pending),
        digests,
    ]
