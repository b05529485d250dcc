"""Messages between replicas, clients and the leader, and the changes that a replica writes.

The forms on the wire and on disk are MessagePack arrays; a `tag` is the message's name there.
"""

from typing import Any, TypeAlias

import msgspec

# Nanoseconds by which the wall clocks of two machines may differ; keys are held for so much longer.
MAX_CLOCK_SKEW = 30_000_000_000


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages. Unknown trailing fields of a later version are ignored."""


class PartitionMessage(Message, frozen=True):
    """A message about one partition in one view."""

    partition: int
    view: int


class ReservationRecord(msgspec.Struct, frozen=True, array_like=True):
    """A reserved key.

    Attributes:
        key: the idempotency key.
        owner: names the one request that it was granted to.
        held_until: wall time in nanoseconds.
        outcome: one of PENDING, RAN, NEVER_RAN and UNKNOWN (`reservations`).
    """

    key: str
    owner: str
    held_until: int
    outcome: str


# Between replicas.


class ReplicateRecord(PartitionMessage, frozen=True, tag="Copy"):
    """From the primary: store this record."""

    sequence: int
    record: ReservationRecord


class RecordReplicated(PartitionMessage, frozen=True, tag="Copied"):
    """To the primary: the record of that sequence number is flushed."""

    sequence: int


class FetchRecords(PartitionMessage, frozen=True, tag="Fetch"):
    """To a sealed replica of the view before: send the records from `offset` on."""

    offset: int


class RecordsFetched(PartitionMessage, frozen=True, tag="Fetched"):
    """Answers FetchRecords; `total` is the number of records in the partition."""

    offset: int
    total: int
    records: list[ReservationRecord]


class CompareDigests(PartitionMessage, frozen=True, tag="Compare"):
    """From the primary: digests of its records, by bucket of the time until which they are held."""

    digests: dict[int, int]


class DigestsDiffer(PartitionMessage, frozen=True, tag="Differs"):
    """To the primary: the records of a bucket whose digest differs."""

    bucket: int
    records: list[ReservationRecord]


# Between a client and the primary of a partition.


class ReserveKey(Message, frozen=True, tag="Claim"):
    """Asks for a key; `hold_ns` is for how long, in nanoseconds."""

    request_id: int
    partition: int
    key: str
    owner: str
    hold_ns: int


class EndReservation(Message, frozen=True, tag="Ended"):
    """Reports the outcome of a reservation."""

    request_id: int
    partition: int
    key: str
    owner: str
    outcome: str


class ReservationResult(Message, frozen=True, tag="Answered"):
    """Answers ReserveKey and EndReservation; fields as in `ReservationAnswer`."""

    request_id: int
    result: str
    owner: str
    outcome: str
    reason: str


class Ping(Message, frozen=True):
    """Keeps a connection open: a reservation has no time to wait for a new one."""


class Pong(Message, frozen=True):
    """Answers Ping."""


# Between the leader and replicas.


class SealPartition(PartitionMessage, frozen=True, tag="Seal"):
    """Asks a replica to end that view."""


class PartitionSealed(PartitionMessage, frozen=True, tag="Sealed"):
    """Nothing is granted in that view any more.

    `complete` says whether the replica has all of it; if not, it could not seal it.
    """

    complete: bool


class FetchPartition(PartitionMessage, frozen=True, tag="Bring"):
    """Asks a replica of that view to fetch all records from `source`.

    Without a source it begins empty: the partition was never held, or what it held counts no more.
    """

    source: str


class PartitionFetched(PartitionMessage, frozen=True, tag="Brought"):
    """The replica has all it needs for that view, flushed."""


class ReplicaSlow(PartitionMessage, frozen=True, tag="Slow"):
    """A replica does not confirm records for long, or reports itself as not complete."""

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
    """All that one member sends to another at a time."""

    messages: list[AnyMessage]


# What a replica writes, in the order in which it happened.


class RecordStored(msgspec.Struct, frozen=True, array_like=True, tag="Kept"):
    """A record is new, or changed."""

    partition: int
    record: ReservationRecord


class ViewBegun(msgspec.Struct, frozen=True, array_like=True, tag="Begun"):
    """A view has begun; `complete` says whether this replica has all of it."""

    partition: int
    view: int
    replicas: tuple[str, ...]
    complete: bool


class ViewSealed(msgspec.Struct, frozen=True, array_like=True, tag="Shut"):
    """This replica grants and stores nothing in that view any more."""

    partition: int
    view: int


class PartitionReceived(msgspec.Struct, frozen=True, array_like=True, tag="Got"):
    """All records for a view, from a sealed replica of the view before.

    `late` says that the view had begun here already.
    """

    partition: int
    view: int
    records: list[ReservationRecord]
    late: bool


class PartitionStatus(msgspec.Struct, frozen=True, array_like=True):
    """The state of a partition at the begin of a file, without its records."""

    partition: int
    view: int
    replicas: tuple[str, ...]
    sealed: bool
    complete: bool
    fetched_view: int


encoder = msgspec.msgpack.Encoder()


def encode(value: Any) -> bytes:
    """A message's or change's bytes."""
    return encoder.encode(value)
