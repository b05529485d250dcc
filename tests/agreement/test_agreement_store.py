"""The Raft log on disk: crashes, torn tails, damage and foreign files."""

import struct
from dataclasses import dataclass
from random import Random

import pytest

from cypresswalk.agreement.errors import DamagedLogError, ForeignFileError
from cypresswalk.agreement.log import Snapshot
from cypresswalk.agreement.messages import ENTRY_COMMAND, Entry, Member
from cypresswalk.agreement.ready import PersistentState, Ready, Vote
from cypresswalk.agreement.store import LogIdentity, Store
from cypresswalk.lab.cluster.simulation.disk import SimulatedDisk
from cypresswalk.lab.cluster.simulation.errors import ProcessKilledError

MEMBERS = (Member("a#1", True),)
# Snapshot at the start of a new log.
FIRST_SNAPSHOT = Snapshot(4, 2, MEMBERS, b"state")
ENTRY_BYTES = 700


def new_store(disk: SimulatedDisk) -> Store:
    """Return a store that has started the log of a member in term 2."""
    store = Store(disk)
    store.begin_file(LogIdentity("f", "g", "a#1", 1), PersistentState(FIRST_SNAPSHOT, [], 2, "a#1"))
    return store


def reread(disk: SimulatedDisk, fleet: str = "f", name: str = "a") -> PersistentState:
    """Return the state that another process loads from the disk."""
    state = Store(disk).load(fleet, name, lambda text: None)
    assert state is not None
    return state


def entry(index: int) -> Entry:
    """Return an entry whose bytes all equal its index."""
    return Entry(2, ENTRY_COMMAND, bytes([index]) * ENTRY_BYTES)


@dataclass
class Acknowledged:
    """The latest entry and term that a store has reported as durable.

    Attributes:
        index: index of the latest entry.
        term: latest term.
    """

    index: int = FIRST_SNAPSHOT.index
    term: int = 2


def write_until_killed(store: Store) -> Acknowledged:
    """Write entries, a vote and a snapshot, until all are written or the process is killed."""
    acknowledged = Acknowledged()
    try:
        for index in range(5, 12):
            store.write(Ready(entries=[(index, entry(index))]))
            acknowledged.index = index
            if index == 8:
                snapshot = Snapshot(7, 2, MEMBERS, b"later")
                store.write(Ready(vote=Vote(3, "b#1"), snapshot=snapshot, entries=[(8, entry(8))]))
                acknowledged.term = 3
    except ProcessKilledError:
        pass
    return acknowledged


def test_all_that_was_acknowledged_survives_a_crash_at_any_operation():
    for operations in range(60):
        for seed in range(12):
            disk = SimulatedDisk(Random(seed))
            store = new_store(disk)
            disk.operations_until_kill = operations
            acknowledged = write_until_killed(store)
            disk.crash()
            stored = reread(disk)
            last_index = stored.snapshot.index + len(stored.entries)
            assert acknowledged.index <= last_index <= acknowledged.index + 1
            assert stored.term >= acknowledged.term
            first_index = stored.snapshot.index + 1
            expected = [entry(index).data for index in range(first_index, last_index + 1)]
            assert [found.data for found in stored.entries] == expected


class StoredLog:
    """A log on disk whose bytes a test can replace."""

    FILE = "log.1"

    def __init__(self) -> None:
        """Write four entries after the first snapshot."""
        self.disk = SimulatedDisk(Random(1))
        store = new_store(self.disk)
        for index in range(5, 9):
            store.write(Ready(entries=[(index, Entry(2, ENTRY_COMMAND, b"\xff" * 40))]))
        self.data = self.disk.files[self.FILE].data

    def replace(self, data: bytes) -> None:
        """Replace the bytes of the file."""
        self.disk.damage(self.FILE, data)


@pytest.fixture
def stored_log() -> StoredLog:
    """Return a log of four entries."""
    return StoredLog()


def test_a_changed_byte_is_reported_as_damage(stored_log):
    data = stored_log.data
    for offset in range(10, len(data)):
        stored_log.replace(data[:offset] + bytes([data[offset] ^ 0x55]) + data[offset + 1 :])
        with pytest.raises(DamagedLogError):
            reread(stored_log.disk)


def test_a_torn_tail_loses_only_the_last_entries(stored_log):
    data = stored_log.data
    count = len(reread(stored_log.disk).entries)
    for end in range(len(data) - 90, len(data)):
        stored_log.replace(data[:end])
        assert count - 2 <= len(reread(stored_log.disk).entries) < count


def test_a_log_of_another_format_version_is_foreign(stored_log):
    data = stored_log.data
    stored_log.replace(data[:8] + struct.pack("<H", 9) + data[10:])
    with pytest.raises(ForeignFileError, match="version 9"):
        reread(stored_log.disk)


@pytest.mark.parametrize("fleet, name", [("other", "a"), ("f", "b")])
def test_a_log_of_another_fleet_or_member_is_foreign(stored_log, fleet, name):
    with pytest.raises(ForeignFileError):
        reread(stored_log.disk, fleet, name)
