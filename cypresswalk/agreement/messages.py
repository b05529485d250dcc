"""What members of a group say to each other, and what stands in their log. Plain values; msgspec gives them their form."""

import msgspec

NOTHING, DATA, CHANGE = 0, 1, 2  # kinds of an entry


class Word(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """One message. Unknown trailing fields of a later version are passed over."""


class Member(msgspec.Struct, frozen=True, array_like=True):
    """`id` is name and incarnation: a member that lost its disk is another one."""

    id: str
    voter: bool
    address: str = ""
    zone: str = ""

    @property
    def name(self) -> str:
        return self.id.partition("#")[0]


Members = tuple[Member, ...]


class Entry(msgspec.Struct, frozen=True, array_like=True):
    term: int
    kind: int
    data: bytes


class Vote(Word, frozen=True):
    """`early`: asked before the term is begun (pre-vote). `forced`: the leader itself hands over."""

    term: int
    last_index: int
    last_term: int
    early: bool
    forced: bool = False


class VoteAnswer(Word, frozen=True):
    term: int
    granted: bool
    early: bool


class Append(Word, frozen=True):
    """`round` is answered with the answer: it shows that its receiver still followed when that round came."""

    term: int
    before_index: int
    before_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


class AppendAnswer(Word, frozen=True):
    """`index`: where the logs are alike up to, or on a no where to try next."""

    term: int
    alike: bool
    index: int
    round: int


class Piece(Word, frozen=True):
    """A part of a snapshot, in order; the last one installs it."""

    term: int
    index: int
    index_term: int
    members: Members
    offset: int
    data: bytes
    last: bool
    round: int


class PieceAnswer(Word, frozen=True):
    term: int
    index: int
    offset: int  # bytes that it has
    round: int


class TakeOver(Word, frozen=True):
    """The leader leaves as planned: its receiver has all that is agreed and calls an election at once."""

    term: int


class Disowned(Word, frozen=True):
    """What its receiver acknowledged it does not have any more: its folder was put back from an older copy, or lost a part."""

    term: int


AnyWord = Vote | VoteAnswer | Append | AppendAnswer | Piece | PieceAnswer | TakeOver | Disowned
