"""The fleet's agreed state as it stands in snapshots: msgspec structs encoded as arrays."""

from typing import Any

import msgspec

from cypresswalk.rollout.release import ChangeStatus, MemberKind, Release

MAX_HISTORY_RECORDS = 200
MAX_REASON_LENGTH = 200  # characters kept of the reason for a halt
# A release keeps such servers out of rotation.
SERVERS_OUT_STATUSES = (ChangeStatus.TURN_GRANTED, ChangeStatus.CHANGING, ChangeStatus.FAILED)

# Id, zone, cell, state, weight, its latest start in nanoseconds. No address: that may differ
# between balancers.
ListedServer = tuple[str, int, int, str, float, int]


class HistoryRecord(msgspec.Struct, frozen=True, array_like=True):
    """Who did what in which version, and when (`at`: wall clock in milliseconds)."""

    version: int
    by: str
    at: int
    what: str


class PendingSettings(msgspec.Struct, frozen=True, array_like=True):
    """Proposed settings that balancers are checking."""

    proposal_id: str
    by: str
    at: int
    settings: dict[str, Any]


class FleetState(msgspec.Struct, array_like=True):
    """All that the fleet has agreed on.

    A version is a number and all that it covers: the settings, the server list, the servers out of
    rotation. Each change of one of these makes the next number.
    """

    version: int = 0
    settings_version: int = 0
    settings: dict[str, Any] = {}
    pending: PendingSettings | None = None
    # Server: who took it out of rotation by hand, and when.
    removed_servers: dict[str, tuple[str, int]] = {}
    list_epoch: int = 0
    list_generation: int = -1
    list_version: int = 0
    servers: list[ListedServer] = []
    # Settings by version, the latest last.
    settings_history: list[tuple[int, dict[str, Any]]] = []
    history: list[HistoryRecord] = []
    # Ids of commands, the latest last, whether each was accepted, and the reason.
    results: list[tuple[str, bool, str]] = []
    voters: list[str] = []
    departed: list[str] = []
    fenced_groups: list[str] = []
    # Balancers that may go out or are out: by whom, when, why.
    leave_grants: dict[str, tuple[str, int, str]] = {}
    release: Release | None = None
    # By whom, when, why.
    halted: tuple[str, int, str] | None = None
    halt_count: int = 0
    # Partitions of the idempotency keys: the view of each, and its replicas.
    partitions: dict[int, tuple[int, tuple[str, ...]]] = {}
    # Servers back in rotation and not seen ready yet: the version that returned each.
    returning_servers: dict[str, int] = {}

    def record(self, by: str, at: int, what: str) -> None:
        """Append a history record in the current version."""
        records = [*self.history, HistoryRecord(self.version, by, at, what)]
        self.history = records[-MAX_HISTORY_RECORDS:]

    def advance(self, by: str, at: int, what: str) -> None:
        """Begin the next version, with a history record."""
        self.version += 1
        self.record(by, at, what)

    def halt(self, by: str, at: int, why: str) -> None:
        """Count a halt; the first one's author and reason stay until a person resumes."""
        self.halt_count += 1
        if self.halted is None:
            self.halted = by, at, why[:MAX_REASON_LENGTH]
            self.record(by, at, f"halt: {why[:MAX_REASON_LENGTH]}")

    def halt_reason(self) -> str:
        """Who halted and why, for people; empty where nothing is halted."""
        if self.halted is None:
            return ""
        by, _, why = self.halted
        return f"halted by {by}: {why}"

    def servers_out_for_release(self) -> set[str]:
        """Servers that a release keeps out of rotation."""
        release = self.release
        if release is None or release.plan.kind != MemberKind.SERVERS:
            return set()
        return {name for name, status in release.members.items() if status in SERVERS_OUT_STATUSES}

    def servers_out(self) -> set[str]:
        """Servers that get no new flow, whatever the endpoint list says."""
        return set(self.removed_servers) | self.servers_out_for_release()


STATE_DECODER = msgspec.msgpack.Decoder(FleetState)
