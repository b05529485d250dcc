"""What a leader knows, from its election until it steps down."""

from dataclasses import dataclass, field

from cypresswalk.agreement.log import Snapshot


@dataclass(slots=True)
class SnapshotTransfer:
    """A snapshot on its way to a member, and the number of its bytes that the member has."""

    snapshot: Snapshot
    offset: int


class Progress:
    """Replication to one other member; times in nanoseconds."""

    __slots__ = (
        "match_index",
        "next_index",
        "in_flight_index",
        "sent_at",
        "heard_at",
        "acknowledged_round",
        "matched_round",
        "heartbeat_due_at",
        "snapshot_transfer",
    )

    def __init__(self, next_index: int, now: int):
        """Nothing is known to match yet."""
        self.match_index = 0
        self.next_index = next_index
        # Last index of the append or snapshot that is not answered yet, or 0; one at a time limits
        # what a slow member is sent.
        self.in_flight_index = 0
        self.sent_at = now
        self.heard_at = now
        # The latest round that was answered.
        self.acknowledged_round = 0
        # First round sent after the logs were found to match; a refusal from it on means lost
        # entries.
        self.matched_round: int | None = None
        self.heartbeat_due_at = now
        self.snapshot_transfer: SnapshotTransfer | None = None


@dataclass(slots=True)
class LeadershipTransfer:
    """A transfer that has begun (dissertation, 3.10): no proposals are taken until `until`."""

    target: str
    until: int


@dataclass(slots=True)
class PendingRead:
    """A read that waits until a quorum has answered `round` or a later one."""

    token: object
    round: int
    index: int


@dataclass(slots=True)
class Leadership:
    """The state of a leader; it ends with its term."""

    peers: dict[str, Progress]
    pending_reads: list[PendingRead] = field(default_factory=list)
    transfer: LeadershipTransfer | None = None
