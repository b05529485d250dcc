"""What members say to each other about claims and their copies, and what a holder writes. Plain values; msgspec gives them their form."""

from typing import Any

import msgspec

MAX_CLOCK_SKEW = 30_000_000_000  # nanoseconds by which two machines' wall clocks may differ: ids are held for so much longer


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """One message. Unknown trailing fields of a later version are passed over."""


class PartitionMessage(Message, frozen=True):
    part: int
    view: int


class ReservationRecord(msgspec.Struct, frozen=True, array_like=True):
    """`how`: "out" while nobody has said how it ended, then "ran", "never" or "unknown"."""

    ident: str
    by: str
    until: int  # wall time in nanoseconds up to which it is held
    how: str


# Between holders.


class ReplicateRecord(PartitionMessage, frozen=True, tag="Copy"):
    number: int
    record: ReservationRecord


class RecordReplicated(PartitionMessage, frozen=True, tag="Copied"):
    number: int


class FetchRecords(PartitionMessage, frozen=True, tag="Fetch"):
    """By one that is to hold the part in that view, to a sealed holder of the view before: what stands there from `offset` on?"""

    offset: int


class RecordsFetched(PartitionMessage, frozen=True, tag="Fetched"):
    offset: int
    total: int
    records: list[ReservationRecord]


class CompareDigests(PartitionMessage, frozen=True, tag="Compare"):
    """By the primary: what its records come to, by BUCKET of the time until which they are held."""

    sums: dict[int, int]


class DigestsDiffer(PartitionMessage, frozen=True, tag="Differs"):
    """To the primary: what a holder has in a bucket that does not come to the same."""

    bucket: int
    records: list[ReservationRecord]


# Between a claimer and the primary of a part.


class ReserveKey(Message, frozen=True, tag="Claim"):
    number: int
    part: int
    ident: str
    by: str
    span: int  # nanoseconds for which it is to be held


class EndReservation(Message, frozen=True, tag="Ended"):
    number: int
    part: int
    ident: str
    by: str
    how: str


class ReservationResult(Message, frozen=True, tag="Answered"):
    number: int
    kind: str
    by: str
    how: str
    why: str


class Ping(Message, frozen=True):
    """Keeps a way open: a claim has no time to wait for a dial."""


class Pong(Message, frozen=True):
    pass


# Between who leads and holders.


class SealPartition(PartitionMessage, frozen=True, tag="Seal"):
    """End that view."""


class PartitionSealed(PartitionMessage, frozen=True, tag="Sealed"):
    """`sound`: it has all of that view, and nothing is granted in it any more."""

    sound: bool


class FetchPartition(PartitionMessage, frozen=True, tag="Bring"):
    """To one that is to hold the part in that view: fetch all from `source`; or, with none, begin with nothing, since the part was
    never held, or what it held counts no more."""

    source: str


class PartitionFetched(PartitionMessage, frozen=True, tag="Brought"):
    pass


class ReplicaSlow(PartitionMessage, frozen=True, tag="Slow"):
    """By a primary: that holder has not answered for long."""

    who: str


AnyMessage = (
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
    """All that one member says to another at a time."""

    words: list[AnyMessage]


# What a holder writes, in the order in which it happened; written again at the head of each file: `Stand`.


class RecordStored(msgspec.Struct, frozen=True, array_like=True, tag="Kept"):
    part: int
    record: ReservationRecord


class ViewBegun(msgspec.Struct, frozen=True, array_like=True, tag="Begun"):
    part: int
    view: int
    holders: tuple[str, ...]
    whole: bool


class ViewSealed(msgspec.Struct, frozen=True, array_like=True, tag="Shut"):
    part: int
    view: int


class PartitionReceived(msgspec.Struct, frozen=True, array_like=True, tag="Got"):
    """All of a part for a view, from a sealed holder of the view before. `late`: that view had begun here already."""

    part: int
    view: int
    records: list[ReservationRecord]
    late: bool


class PartitionStatus(msgspec.Struct, frozen=True, array_like=True):
    part: int
    view: int
    holders: tuple[str, ...]
    sealed: bool
    whole: bool
    brought: int


def encode(value: Any) -> bytes:
    return encoder.encode(value)


encoder = msgspec.msgpack.Encoder()
