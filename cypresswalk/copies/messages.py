"""Messages between replicas, clients and the leader, and the changes that a replica stores.

On the wire and on disk they are MessagePack arrays; a `tag` is the name of the type there.
"""

from typing import Any, TypeAlias

import msgspec

# Tolerated difference between the wall clocks of two machines, in nanoseconds; reservations are
# extended by it.
MAX_CLOCK_SKEW = 30_000_000_000


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages; decoding ignores trailing fields that a later version added."""


class PartitionMessage(Message, frozen=True):
    """Base of messages about one partition in one view."""

    partition: int
    view: int


class ReservationRecord(msgspec.Struct, frozen=True, array_like=True):
    """The reservation of a key.

    Attributes:
        key: the idempotency key.
        owner: the unique name of the request that holds the reservation.
        held_until: the wall time at which the reservation expires, in nanoseconds.
        outcome: one of PENDING, RAN, NEVER_RAN and UNKNOWN (`reservations`).
    """

    key: str
    owner: str
    held_until: int
    outcome: str


# Messages between replicas.


class ReplicateRecord(PartitionMessage, frozen=True, tag="Copy"):
    """Request of the primary to store a record."""

    sequence: int
    record: ReservationRecord


class RecordReplicated(PartitionMessage, frozen=True, tag="Copied"):
    """Confirmation to the primary that the record of this sequence number is flushed."""

    sequence: int


class FetchRecords(PartitionMessage, frozen=True, tag="Fetch"):
    """Request to a sealed replica of the previous view to send its records from `offset` on."""

    offset: int


class RecordsFetched(PartitionMessage, frozen=True, tag="Fetched"):
    """Answer to FetchRecords; `total` is the number of records in the partition."""

    offset: int
    total: int
    records: list[ReservationRecord]


class CompareDigests(PartitionMessage, frozen=True, tag="Compare"):
    """Digests of the primary's records, by bucket of the expiry time, to be compared."""

    digests: dict[int, int]


class DigestsDiffer(PartitionMessage, frozen=True, tag="Differs"):
    """Answer to the primary with the backup's records of a bucket whose digest differs."""

    bucket: int
    records: list[ReservationRecord]


# Messages between a client and the primary of a partition.


class ReserveKey(Message, frozen=True, tag="Claim"):
    """Request to reserve a key for `hold_ns` nanoseconds."""

    request_id: int
    partition: int
    key: str
    owner: str
    hold_ns: int


class EndReservation(Message, frozen=True, tag="Ended"):
    """Report of the outcome of a reservation."""

    request_id: int
    partition: int
    key: str
    owner: str
    outcome: str


class ReservationResult(Message, frozen=True, tag="Answered"):
    """Answer to ReserveKey and EndReservation; fields as in `ReservationAnswer`."""

    request_id: int
    result: str
    owner: str
    outcome: str
    reason: str


class Ping(Message, frozen=True):
    """Keep-alive of a connection, since a reservation can't wait until a new one is open."""


class Pong(Message, frozen=True):
    """Answer to Ping."""


# Messages between the leader and replicas.


class SealPartition(PartitionMessage, frozen=True, tag="Seal"):
    """Request to a replica to seal its partition, which ends the view."""


class PartitionSealed(PartitionMessage, frozen=True, tag="Sealed"):
    """Answer to SealPartition; also sent unasked while a partition stays sealed.

    If `complete` is true, the replica has all records of the view and has sealed it: nothing is
    granted in the view any more. Otherwise it lacks records and could not seal the view.
    """

    complete: bool


class FetchPartition(PartitionMessage, frozen=True, tag="Bring"):
    """Request to a replica of the view to fetch all records from `source`.

    An empty `source` makes the replica start without records: the partition was never held, or its
    records count as lost.
    """

    source: str


class PartitionFetched(PartitionMessage, frozen=True, tag="Brought"):
    """Report that the replica has all records that it needs for the view, flushed."""


class ReplicaSlow(PartitionMessage, frozen=True, tag="Slow"):
    """Report of a replica that is late to confirm records, or reports itself as incomplete."""

    replica: str


AnyMessage: TypeAlias = (
    ReplicateRecord
    | RecordReplicated
    | FetchRecords
    | RecordsFetched
    | CompareDigests
    | DigestsDiffer
    | ReserveKey
    | EndReservation
    | ReservationResult
    | SealPartition
    | PartitionSealed
    | FetchPartition
    | PartitionFetched
    | ReplicaSlow
    | Ping
    | Pong
)


class MessageBatch(msgspec.Struct, frozen=True, array_like=True, tag="Bundle"):
    """The messages that one member sends to another at one time."""

    messages: list[AnyMessage]


# Changes that a replica stores, in the order in which they happened.


class RecordStored(msgspec.Struct, frozen=True, array_like=True, tag="Kept"):
    """A new or changed record."""

    partition: int
    record: ReservationRecord


class ViewBegun(msgspec.Struct, frozen=True, array_like=True, tag="Begun"):
    """The start of a view; `complete` says whether this replica has all its records."""

    partition: int
    view: int
    replicas: tuple[str, ...]
    complete: bool


class ViewSealed(msgspec.Struct, frozen=True, array_like=True, tag="Shut"):
    """The sealing of a view: this replica grants and stores nothing in it any more."""

    partition: int
    view: int


class PartitionReceived(msgspec.Struct, frozen=True, array_like=True, tag="Got"):
    """All records for a view, received from a sealed replica of the previous view.

    `for_current_view` says that the view had already begun at this replica.
    """

    partition: int
    view: int
    records: list[ReservationRecord]
    for_current_view: bool


class PartitionStatus(msgspec.Struct, frozen=True, array_like=True):
    """The state of a partition without its records, stored at the start of a file."""

    partition: int
    view: int
    replicas: tuple[str, ...]
    sealed: bool
    complete: bool
    fetched_view: int


encoder = msgspec.msgpack.Encoder()


def encode(value: Any) -> bytes:
    """Return the encoded bytes of a message or change."""
    return encoder.encode(value)
