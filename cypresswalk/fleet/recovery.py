"""Recovery after the permanent loss of most voters: a new group from one member's disk."""

import time
import uuid
from typing import Any, NamedTuple

from cypresswalk.agreement.errors import DamagedLogError, ForeignFileError
from cypresswalk.agreement.log import Log, Snapshot
from cypresswalk.agreement.messages import ENTRY_COMMAND, Member
from cypresswalk.agreement.ready import PersistentState
from cypresswalk.agreement.store import LogIdentity, Store
from cypresswalk.fleet.records import FleetState, HistoryRecord
from cypresswalk.fleet.state_machine import MAX_FENCED_GROUPS, StateMachine
from cypresswalk.refusal import CommandError
from cypresswalk.state.disk import DiskFolder

# Number of versions skipped, so that no version of the new group has the number of a version that
# was in force in the old group.
SKIPPED_VERSIONS = 1000
MILLISECOND = 1_000_000


def recover(folder: str, fleet: str, name: str, by: str) -> dict[str, Any]:
    """Create a new group from the log of one member of the old group.

    All entries of the log are applied, even if this member does not know that they were committed:
    they may have been committed and acknowledged.

    Args:
        folder: path of the member's folder.
        fleet: fleet's name.
        name: name of the balancer, which becomes the only voter.
        by: operator who orders the recovery.

    Returns:
        A description of the new group, for people.

    Raises:
        CommandError: the folder can't be used.
    """
    disk = DiskFolder(folder)
    try:
        log = _load(disk, folder, fleet, name)
        old = log.identity
        machine = _replay(log.persisted)
        _fence_group(machine.state, old.group, name, by)
        group = f"{fleet}-{uuid.uuid4().hex[:16]}"
        identity = LogIdentity(fleet, group, old.member, old.boot + 1)
        log.store.begin_file(identity, _new_log(log.persisted, old.member, machine))
    except OSError as error:
        raise CommandError(f"{folder}: {error}") from error
    finally:
        disk.unlock()
    return {
        "group": group,
        "fenced": old.group,
        "member": old.member,
        "version": machine.state.version,
        "out": sorted(machine.state.removed_servers),
    }


class _OldLog(NamedTuple):
    """Log of a member of the old group."""

    store: Store
    identity: LogIdentity
    persisted: PersistentState


def _load(disk: DiskFolder, folder: str, fleet: str, name: str) -> _OldLog:
    """Lock the folder and read its log; raises CommandError if it can't be used."""
    try:
        disk.lock()
        store = Store(disk)
        persisted = store.load(fleet, name, lambda text: None)
    except (OSError, DamagedLogError, ForeignFileError) as error:
        raise CommandError(f"{folder}: {error}") from error
    identity = store.identity
    if persisted is None or identity is None or persisted.snapshot.index < 0:
        raise CommandError(f"{folder}: it holds no agreed state")
    return _OldLog(store, identity, persisted)


def _replay(persisted: PersistentState) -> StateMachine:
    machine = StateMachine(persisted.snapshot.data)
    for entry in persisted.entries:
        if entry.kind == ENTRY_COMMAND:
            machine.apply(entry.data)
    return machine


def _fence_group(state: FleetState, group: str, name: str, by: str) -> None:
    state.version += SKIPPED_VERSIONS
    state.pending = None
    state.voters = [name]
    state.fenced_groups = [*state.fenced_groups, group][-MAX_FENCED_GROUPS:]
    what = f"group {group} abandoned; {name} starts a new group"
    at_ms = time.time_ns() // MILLISECOND
    state.history.append(HistoryRecord(state.version, by, at_ms, what))


def _new_log(persisted: PersistentState, member_id: str, machine: StateMachine) -> PersistentState:
    snapshot = persisted.snapshot
    last = snapshot.index + len(persisted.entries)
    term = max(persisted.term, snapshot.term) + 1
    members = Log(snapshot, persisted.entries).members
    before = next((member for member in members if member.id == member_id), None)
    address = before.address if before else ""
    zone = before.zone if before else ""
    only_member = Member(member_id, True, address, zone)
    return PersistentState(Snapshot(last, term, (only_member,), machine.dump()), [], term, "")
