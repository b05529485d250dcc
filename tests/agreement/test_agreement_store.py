"""The stored log of the agreement: crashes, torn tails, damage and foreign files."""

import struct
from random import Random

import pytest

from cypresswalk.agreement.errors import (
    DamagedLogError,
    ForeignFileError,
)
from cypresswalk.agreement.log import Snapshot
from cypresswalk.agreement.messages import ENTRY_COMMAND, Entry, Member
from cypresswalk.agreement.ready import PersistentState, Ready
from cypresswalk.agreement.store import LogIdentity, Store
from cypresswalk.lab.cluster.virtual import MemoryDisk


def stored(chance=Random(1)) -> tuple[MemoryDisk, Store, PersistentState]:
    disk = MemoryDisk(chance)
    store = Store(disk)
    kept = PersistentState(Snapshot(4, 2, (Member("a#1", True),), b"state"), [], 2, "a#1")
    store.begin(LogIdentity("f", "g", "a#1", 1), kept)
    return disk, store, kept


def reread(disk: MemoryDisk) -> PersistentState:
    return Store(disk).load("f", "a", lambda text: None)


def test_after_a_crash_at_every_operation_all_that_was_acknowledged_is_there():
    for point in range(60):
        for seed in range(12):
            disk, store, _ = stored(Random(seed))
            disk.kill_in = point
            acknowledged, term = 4, 2
            try:
                for index in range(5, 12):
                    store.write(
                        Ready(entries=[(index, Entry(2, ENTRY_COMMAND, bytes([index]) * 700))])
                    )
                    acknowledged = index
                    if index == 8:
                        store.write(
                            Ready(
                                vote=(3, "b#1"),
                                snapshot=Snapshot(7, 2, (Member("a#1", True),), b"later"),
                                entries=[(8, Entry(2, ENTRY_COMMAND, bytes([8]) * 700))],
                            )
                        )
                        term = 3
            except BaseException as error:
                assert type(error).__name__ == "Killed"
            disk.crash()
            kept = reread(disk)
            last = kept.snapshot.index + len(kept.entries)
            assert acknowledged <= last <= acknowledged + 1 and kept.term >= term
            assert all(
                e.data == bytes([i]) * 700
                for i, e in enumerate(kept.entries, kept.snapshot.index + 1)
            )


def test_damage_is_told_from_a_torn_tail_and_a_foreign_file_is_left_alone():
    disk, store, _ = stored()
    for index in range(5, 9):
        store.write(Ready(entries=[(index, Entry(2, ENTRY_COMMAND, b"\xff" * 40))]))
    data, inode = disk.files["log.1"]
    whole = len(reread(disk).entries)
    for at in range(10, len(data)):
        disk.files["log.1"] = data[:at] + bytes([data[at] ^ 0x55]) + data[at + 1 :], inode
        with pytest.raises(DamagedLogError):
            reread(disk)
    for end in range(len(data) - 90, len(data)):
        disk.files["log.1"] = data[:end], inode
        assert whole - 2 <= len(reread(disk).entries) < whole
    disk.files["log.1"] = data[:8] + struct.pack("<H", 9) + data[10:], inode
    with pytest.raises(ForeignFileError, match="version 9"):
        reread(disk)
    disk.files["log.1"] = data, inode
    for fleet, name in (("other", "a"), ("f", "b")):
        with pytest.raises(ForeignFileError):
            Store(disk).load(fleet, name, lambda text: None)
