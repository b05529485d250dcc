"""Times and limits of the protocol."""

from dataclasses import dataclass

MILLISECOND = 1_000_000  # in nanoseconds


@dataclass(frozen=True, slots=True)
class Timing:
    """Times in nanoseconds, and limits; they are the same for all members of a group.

    Attributes:
        heartbeat_interval: time between heartbeats to a voter; short enough that the loss of a few
            causes no election.
        election_timeout: minimum time without a leader before an election; the maximum is twice as
            long.
        non_voter_heartbeat_interval: time between heartbeats to a non-voting member; longer because
            there may be hundreds of them.
        resend_timeout: time after which an unanswered append is sent again; two flushes of a busy
            disk.
        max_append_entries: maximum number of entries in one AppendEntries.
        max_message_bytes: maximum size of the entries in one AppendEntries, or of the data in one
            snapshot chunk.
        max_uncommitted_entries: number of uncommitted entries at which proposals are rejected.
        max_uncommitted_bytes: size of uncommitted entries above which proposals are rejected.
    """

    heartbeat_interval: int = 150 * MILLISECOND
    election_timeout: int = 1_000 * MILLISECOND
    non_voter_heartbeat_interval: int = 750 * MILLISECOND
    resend_timeout: int = 400 * MILLISECOND
    max_append_entries: int = 64
    max_message_bytes: int = 256 << 10
    max_uncommitted_entries: int = 256
    max_uncommitted_bytes: int = 4 << 20
