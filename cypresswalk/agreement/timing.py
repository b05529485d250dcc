"""Times and limits of the protocol."""

from dataclasses import dataclass

MILLISECOND = 1_000_000  # in nanoseconds


@dataclass(frozen=True, slots=True)
class Timing:
    """Times in nanoseconds and limits, the same for all members of a group.

    Attributes:
        heartbeat_interval: between heartbeats to a voter; a few lost ones cause no election.
        election_timeout: shortest time without a leader before an election; the longest is twice
            that.
        non_voter_heartbeat_interval: between heartbeats to a member without a vote; there may be
            hundreds.
        resend_timeout: after which an unanswered append is sent again; two flushes of a busy disk.
        max_append_entries: in one AppendEntries.
        max_message_bytes: of entries in one AppendEntries, or of data in one snapshot chunk.
        max_uncommitted_entries: beyond which a proposal is refused.
        max_uncommitted_bytes: beyond which a proposal is refused.
    """

    heartbeat_interval: int = 150 * MILLISECOND
    election_timeout: int = 1_000 * MILLISECOND
    non_voter_heartbeat_interval: int = 750 * MILLISECOND
    resend_timeout: int = 400 * MILLISECOND
    max_append_entries: int = 64
    max_message_bytes: int = 256 << 10
    max_uncommitted_entries: int = 256
    max_uncommitted_bytes: int = 4 << 20
