"""What members say to each other about claims and their copies, and what a holder writes. Plain values; msgspec gives them their form."""

from typing import Any

import msgspec

SKEW = 30_000_000_000  # nanoseconds by which two machines' wall clocks may differ: ids are held for so much longer


class Word(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """One message. Unknown trailing fields of a later version are passed over."""


class PartWord(Word, frozen=True):
    part: int
    view: int


class Record(msgspec.Struct, frozen=True, array_like=True):
    """`how`: "out" while nobody has said how it ended, then "ran", "never" or "unknown"."""

    ident: str
    by: str
    until: int  # wall time in nanoseconds up to which it is held
    how: str


# Between holders.


class Copy(PartWord, frozen=True):
    number: int
    record: Record


class Copied(PartWord, frozen=True):
    number: int


class Fetch(PartWord, frozen=True):
    """By one that is to hold the part in that view, to a sealed holder of the view before: what stands there from `offset` on?"""

    offset: int


class Fetched(PartWord, frozen=True):
    offset: int
    total: int
    records: list[Record]


class Compare(PartWord, frozen=True):
    """By the primary: what its records come to, by BUCKET of the time until which they are held."""

    sums: dict[int, int]


class Differs(PartWord, frozen=True):
    """To the primary: what a holder has in a bucket that does not come to the same."""

    bucket: int
    records: list[Record]


# Between a claimer and the primary of a part.


class Claim(Word, frozen=True):
    number: int
    part: int
    ident: str
    by: str
    span: int  # nanoseconds for which it is to be held


class Ended(Word, frozen=True):
    number: int
    part: int
    ident: str
    by: str
    how: str


class Answered(Word, frozen=True):
    number: int
    kind: str
    by: str
    how: str
    why: str


class Ping(Word, frozen=True):
    """Keeps a way open: a claim has no time to wait for a dial."""


class Pong(Word, frozen=True):
    pass


# Between who leads and holders.


class Seal(PartWord, frozen=True):
    """End that view."""


class Sealed(PartWord, frozen=True):
    """`sound`: it has all of that view, and nothing is granted in it any more."""

    sound: bool


class Bring(PartWord, frozen=True):
    """To one that is to hold the part in that view: fetch all from `source`; or, with none, begin with nothing, since the part was
    never held, or what it held counts no more."""

    source: str


class Brought(PartWord, frozen=True):
    pass


class Slow(PartWord, frozen=True):
    """By a primary: that holder has not answered for long."""

    who: str


AnyWord = (
    Copy
    | Copied
    | Fetch
    | Fetched
    | Compare
    | Differs
    | Claim
    | Ended
    | Answered
    | Seal
    | Sealed
    | Bring
    | Brought
    | Slow
    | Ping
    | Pong
)


class Bundle(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """All that one member says to another at a time."""

    words: list[AnyWord]


# What a holder writes, in the order in which it happened; written again at the head of each file: `Stand`.


class Kept(msgspec.Struct, frozen=True, array_like=True, tag=True):
    part: int
    record: Record


class Begun(msgspec.Struct, frozen=True, array_like=True, tag=True):
    part: int
    view: int
    holders: tuple[str, ...]
    whole: bool


class Shut(msgspec.Struct, frozen=True, array_like=True, tag=True):
    part: int
    view: int


class Got(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """All of a part for a view, from a sealed holder of the view before. `late`: that view had begun here already."""

    part: int
    view: int
    records: list[Record]
    late: bool


class Stand(msgspec.Struct, frozen=True, array_like=True):
    part: int
    view: int
    holders: tuple[str, ...]
    sealed: bool
    whole: bool
    brought: int


def encode(value: Any) -> bytes:
    return encoder.encode(value)


encoder = msgspec.msgpack.Encoder()
