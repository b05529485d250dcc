"""The state that a member keeps only while it is the leader."""

from dataclasses import dataclass, field

from cypresswalk.agreement.log import Snapshot


@dataclass(slots=True)
class SnapshotTransfer:
    """A snapshot that is being sent to a member.

    Attributes:
        snapshot: the snapshot that is sent.
        offset: number of bytes of its data that the member has received.
    """

    snapshot: Snapshot
    offset: int


class Progress:
    """The state of replication to one other member.

    Attributes:
        match_index: last index up to which the member's log is known to match; 0 if none is known.
        next_index: index of the next entry to send.
        in_flight_index: last index of the append or snapshot that is not acknowledged yet, or 0.
            Only one is in flight at a time, which limits what a slow member is sent.
        sent_at: time of the latest append with entries, or snapshot chunk, in nanoseconds.
        last_response_at: time of the latest response, or of this object's creation, in nanoseconds.
        acknowledged_round: latest round that the member has answered.
        matched_round: first round sent after the logs were found to match; None before. A
            rejection in this round or a later one means that the member has lost entries.
        heartbeat_due_at: time at which the next heartbeat is due, in nanoseconds.
        snapshot_transfer: snapshot that is being sent, if any.
    """

    __slots__ = (
        "match_index",
        "next_index",
        "in_flight_index",
        "sent_at",
        "last_response_at",
        "acknowledged_round",
        "matched_round",
        "heartbeat_due_at",
        "snapshot_transfer",
    )

    def __init__(self, next_index: int, now: int):
        """Start with no entry known to match."""
        self.match_index = 0
        self.next_index = next_index
        self.in_flight_index = 0
        self.sent_at = now
        self.last_response_at = now
        self.acknowledged_round = 0
        self.matched_round: int | None = None
        self.heartbeat_due_at = now
        self.snapshot_transfer: SnapshotTransfer | None = None


@dataclass(slots=True)
class LeadershipTransfer:
    """A leadership transfer in progress (dissertation, 3.10).

    Attributes:
        target: id of the member that is to become the leader.
        until: time in nanoseconds until which proposals are rejected; the transfer then counts as
            failed.
    """

    target: str
    until: int


@dataclass(slots=True)
class PendingRead:
    """A read that is confirmed once a quorum has answered `round` or a later round.

    Attributes:
        token: the owner's identification of the read.
        round: round of appends that a quorum has to answer.
        index: commit index at the time of the request.
    """

    token: object
    round: int
    index: int


@dataclass(slots=True)
class Leadership:
    """The leader's state; it is discarded when the member steps down.

    Attributes:
        peers: replication to each other member, by member id.
        pending_reads: unconfirmed reads, oldest first.
        transfer: leadership transfer in progress, if any.
    """

    peers: dict[str, Progress]
    pending_reads: list[PendingRead] = field(default_factory=list)
    transfer: LeadershipTransfer | None = None
