"""The fleet's agreed state, as snapshots store it: msgspec structs encoded as arrays."""

from typing import Any

import msgspec

from cypresswalk.rollout.release import ChangeStatus, MemberKind, Release

MAX_HISTORY_RECORDS = 200
MAX_REASON_LENGTH = 200  # characters of the reason for a halt; the rest is cut off
# Statuses of servers that a release keeps out of rotation.
SERVERS_OUT_STATUSES = (ChangeStatus.TURN_GRANTED, ChangeStatus.CHANGING, ChangeStatus.FAILED)

# Id, zone, cell, state, weight, time of its latest start in nanoseconds. The address is omitted
# since it may differ between balancers.
ListedServer = tuple[str, int, int, str, float, int]


class HistoryRecord(msgspec.Struct, frozen=True, array_like=True):
    """One change to the agreed state.

    Attributes:
        version: version in which it was made.
        by: its author.
        at: wall clock in milliseconds.
        what: description of the change.
    """

    version: int
    by: str
    at: int
    what: str


class PendingSettings(msgspec.Struct, frozen=True, array_like=True):
    """Proposed settings that the balancers are still checking."""

    proposal_id: str
    by: str
    at: int
    settings: dict[str, Any]


class FleetState(msgspec.Struct, array_like=True):
    """State that the fleet has agreed on.

    The version number increases with each change of the settings, the endpoint list or the servers
    that are out of rotation.
    """

    version: int = 0
    settings_version: int = 0
    settings: dict[str, Any] = {}
    pending: PendingSettings | None = None
    # By server that an operator took out of rotation: author and time.
    removed_servers: dict[str, tuple[str, int]] = {}
    list_epoch: int = 0
    list_generation: int = -1
    list_version: int = 0
    servers: list[ListedServer] = []
    # Version and settings, the latest last.
    settings_history: list[tuple[int, dict[str, Any]]] = []
    history: list[HistoryRecord] = []
    # Command id, whether the command was accepted, and the answer; the latest last.
    results: list[tuple[str, bool, str]] = []
    voters: list[str] = []
    departed: list[str] = []
    fenced_groups: list[str] = []
    # By balancer that may go out or is out: author, time and reason of its leave grant.
    leave_grants: dict[str, tuple[str, int, str]] = {}
    release: Release | None = None
    # Author, time and reason of the halt in force.
    halted: tuple[str, int, str] | None = None
    halt_count: int = 0
    # By partition of the idempotency keys: number and replicas of its view.
    partitions: dict[int, tuple[int, tuple[str, ...]]] = {}
    # By server that is back in rotation and not seen ready yet: the version that returned it.
    returning_servers: dict[str, int] = {}

    def record(self, by: str, at: int, what: str) -> None:
        """Append a history record of the current version."""
        records = [*self.history, HistoryRecord(self.version, by, at, what)]
        self.history = records[-MAX_HISTORY_RECORDS:]

    def advance(self, by: str, at: int, what: str) -> None:
        """Start the next version, and append a history record."""
        self.version += 1
        self.record(by, at, what)

    def halt(self, by: str, at: int, why: str) -> None:
        """Count a halt, and keep the first one's author and reason until a person resumes."""
        self.halt_count += 1
        if self.halted is None:
            self.halted = by, at, why[:MAX_REASON_LENGTH]
            self.record(by, at, f"halt: {why[:MAX_REASON_LENGTH]}")

    def halt_reason(self) -> str:
        """Return author and reason of the halt, for people, or an empty string."""
        if self.halted is None:
            return ""
        by, _, why = self.halted
        return f"halted by {by}: {why}"

    def servers_out_for_release(self) -> set[str]:
        """Return the servers that a release keeps out of rotation."""
        release = self.release
        if release is None or release.plan.kind != MemberKind.SERVERS:
            return set()
        return {name for name, status in release.members.items() if status in SERVERS_OUT_STATUSES}

    def servers_out(self) -> set[str]:
        """Return the servers that get no new flow, whatever the endpoint list says."""
        return set(self.removed_servers) | self.servers_out_for_release()


STATE_DECODER = msgspec.msgpack.Decoder(FleetState)
