"""Messages between the members of a group, and the entries of their log.

The forms on the wire and on disk are MessagePack arrays; a `tag` is the message's name there.
"""

from typing import TypeAlias

import msgspec

# Kinds of an entry.
ENTRY_NOOP = 0
ENTRY_COMMAND = 1
ENTRY_MEMBERSHIP = 2


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages. Unknown trailing fields of a later version are ignored."""


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One member of the group.

    `id` is "name#incarnation": a member that lost its disk comes back as another incarnation.
    """

    id: str
    voter: bool
    address: str = ""
    zone: str = ""

    @property
    def name(self) -> str:
        """The part of the id that all incarnations share."""
        return self.id.partition("#")[0]


Members: TypeAlias = tuple[Member, ...]


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log; `kind` is one of the ENTRY_ constants."""

    term: int
    kind: int
    data: bytes


class RequestVote(Message, frozen=True, tag="Vote"):
    """Asks for a vote (Raft, 5.2).

    Attributes:
        term: the candidate's term.
        last_log_index: of the candidate's last entry.
        last_log_term: of the candidate's last entry.
        pre_vote: asks whether a vote would be granted, without beginning the term (dissertation,
            9.6).
        leadership_transfer: the leader asked for this election, so it is no reason to refuse
            (4.2.3).
    """

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool
    leadership_transfer: bool = False


class RequestVoteResponse(Message, frozen=True, tag="VoteAnswer"):
    """Answers RequestVote; a granted pre-vote carries the term that was asked for."""

    term: int
    granted: bool
    pre_vote: bool


class AppendEntries(Message, frozen=True, tag="Append"):
    """Entries after `prev_log_index`, or none as a heartbeat (Raft, 5.3).

    The response repeats `round`, which proves that the receiver still followed when that round was
    sent.
    """

    term: int
    prev_log_index: int
    prev_log_term: int
    entries: tuple[Entry, ...]
    leader_commit: int
    round: int


class AppendEntriesResponse(Message, frozen=True, tag="AppendAnswer"):
    """Answers AppendEntries.

    `index` is the last one at which the logs are known to match, or, without success, the one to
    try next.
    """

    term: int
    success: bool
    index: int
    round: int


class InstallSnapshotChunk(Message, frozen=True, tag="Piece"):
    """A part of a snapshot, sent in order; the one with `last` installs it (Raft, 7).

    `offset` counts bytes of the snapshot's data.
    """

    term: int
    snapshot_index: int
    snapshot_term: int
    members: Members
    offset: int
    data: bytes
    last: bool
    round: int


class InstallSnapshotChunkResponse(Message, frozen=True, tag="PieceAnswer"):
    """Answers InstallSnapshotChunk; `offset` is the number of bytes that the receiver has."""

    term: int
    snapshot_index: int
    offset: int
    round: int


class TimeoutNow(Message, frozen=True, tag="TakeOver"):
    """Leadership transfer (dissertation, 3.10): the receiver starts an election at once."""

    term: int


class DataLossDetected(Message, frozen=True, tag="Disowned"):
    """The receiver lacks what it acknowledged, as after its folder was restored from a copy."""

    term: int


AnyMessage: TypeAlias = (
    RequestVote
    | RequestVoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshotChunk
    | InstallSnapshotChunkResponse
    | TimeoutNow
    | DataLossDetected
)
