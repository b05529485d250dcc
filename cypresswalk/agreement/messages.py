"""Messages between the members of a group, and the entries of the replicated log.

On the wire and on disk they are MessagePack arrays. A `tag` is the message's name there.
"""

from typing import TypeAlias

import msgspec

# Values of `Entry.kind`.
ENTRY_NOOP = 0
ENTRY_COMMAND = 1
ENTRY_MEMBERSHIP = 2


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of all messages; unknown trailing fields of a later version are ignored."""


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One member of the group.

    Attributes:
        id: "name#incarnation"; a member that has lost its disk returns as another incarnation.
        voter: whether the member votes in elections and counts towards a quorum.
        address: network address, or an empty string.
        zone: zone of the member, or an empty string.
    """

    id: str
    voter: bool
    address: str = ""
    zone: str = ""

    @property
    def name(self) -> str:
        """Return the part of the id that is the same for all incarnations."""
        return self.id.partition("#")[0]


Members: TypeAlias = tuple[Member, ...]


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log.

    Attributes:
        term: term in which a leader appended the entry.
        kind: one of the ENTRY_ constants.
        data: the command, the encoded members, or nothing, depending on `kind`.
    """

    term: int
    kind: int
    data: bytes


class RequestVote(Message, frozen=True, tag="Vote"):
    """Request for a vote (Raft, 5.2).

    Attributes:
        term: the candidate's term; for a pre-vote, the term that it would start.
        last_log_index: index of the candidate's last entry.
        last_log_term: term of the candidate's last entry.
        pre_vote: whether this only asks if a vote would be granted, without starting the term
            (dissertation, 9.6).
        leadership_transfer: whether the current leader requested this election; receivers then
            consider it although they have a leader (dissertation, 4.2.3).
    """

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool
    leadership_transfer: bool = False


class RequestVoteResponse(Message, frozen=True, tag="VoteAnswer"):
    """Response to RequestVote.

    Attributes:
        term: the responder's term, or the requested term if a pre-vote is granted.
        granted: whether the vote is granted.
        pre_vote: whether the request was a pre-vote.
    """

    term: int
    granted: bool
    pre_vote: bool


class AppendEntries(Message, frozen=True, tag="Append"):
    """Entries to append, or a heartbeat if there are none (Raft, 5.3).

    Attributes:
        term: the leader's term.
        prev_log_index: index of the entry before `entries`.
        prev_log_term: term of the entry before `entries`.
        entries: entries to append.
        leader_commit: the leader's commit index.
        round: number of this append. The response repeats it, which proves that the receiver still
            followed this leader when the round was sent.
    """

    term: int
    prev_log_index: int
    prev_log_term: int
    entries: tuple[Entry, ...]
    leader_commit: int
    round: int


class AppendEntriesResponse(Message, frozen=True, tag="AppendAnswer"):
    """Response to AppendEntries, and to a snapshot chunk that is installed or rejected.

    Attributes:
        term: the responder's term.
        success: whether the logs match up to `index`.
        index: last index at which the logs are known to match; without success, the index at which
            the leader should compare the logs next.
        round: round of the request.
    """

    term: int
    success: bool
    index: int
    round: int


class InstallSnapshotChunk(Message, frozen=True, tag="Piece"):
    """A part of a snapshot; the parts are sent in order (Raft, 7).

    Attributes:
        term: the leader's term.
        snapshot_index: index of the last entry that the snapshot covers.
        snapshot_term: term of that entry.
        members: members of the group at that index.
        offset: position of `data` in the snapshot's data, in bytes.
        data: bytes of the snapshot's data.
        last: whether this is the last chunk; the receiver then installs the snapshot.
        round: number of this message, as in AppendEntries.
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
    """Response to InstallSnapshotChunk, until the snapshot is complete.

    Attributes:
        term: the responder's term.
        snapshot_index: index of the snapshot that is being received.
        offset: number of bytes of its data that the responder has received.
        round: round of the request.
    """

    term: int
    snapshot_index: int
    offset: int
    round: int


class TimeoutNow(Message, frozen=True, tag="TakeOver"):
    """Request to start an election at once, for a leadership transfer (dissertation, 3.10)."""

    term: int


class DataLossDetected(Message, frozen=True, tag="Disowned"):
    """Notice to a member that it lacks entries that it has acknowledged.

    A cause is a folder that was restored from an older copy.
    """

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
