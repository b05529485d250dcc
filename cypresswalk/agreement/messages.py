"""What members of a group say to each other, and what stands in their log. Plain values; msgspec gives them their form."""

import msgspec

ENTRY_NOOP, ENTRY_COMMAND, ENTRY_MEMBERSHIP = 0, 1, 2  # kinds of an entry


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
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


class RequestVote(Message, frozen=True, tag="Vote"):
    """`early`: asked before the term is begun (pre-vote). `forced`: the leader itself hands over."""

    term: int
    last_index: int
    last_term: int
    early: bool
    forced: bool = False


class RequestVoteResponse(Message, frozen=True, tag="VoteAnswer"):
    term: int
    granted: bool
    early: bool


class AppendEntries(Message, frozen=True, tag="Append"):
    """`round` is answered with the answer: it shows that its receiver still followed when that round came."""

    term: int
    before_index: int
    before_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


class AppendEntriesResponse(Message, frozen=True, tag="AppendAnswer"):
    """`index`: where the logs are alike up to, or on a no where to try next."""

    term: int
    alike: bool
    index: int
    round: int


class InstallSnapshotChunk(Message, frozen=True, tag="Piece"):
    """A part of a snapshot, in order; the last one installs it."""

    term: int
    index: int
    index_term: int
    members: Members
    offset: int
    data: bytes
    last: bool
    round: int


class InstallSnapshotChunkResponse(Message, frozen=True, tag="PieceAnswer"):
    term: int
    index: int
    offset: int  # bytes that it has
    round: int


class TimeoutNow(Message, frozen=True, tag="TakeOver"):
    """The leader leaves as planned: its receiver has all that is agreed and calls an election at once."""

    term: int


class DataLossDetected(Message, frozen=True, tag="Disowned"):
    """What its receiver acknowledged it does not have any more: its folder was put back from an older copy, or lost a part."""

    term: int


AnyMessage = (
    RequestVote
    | RequestVoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshotChunk
    | InstallSnapshotChunkResponse
    | TimeoutNow
    | DataLossDetected
)
