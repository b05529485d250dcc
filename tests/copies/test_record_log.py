"""A replica's log on disk: reading it back, torn batches, damage and expired files."""

from random import Random

import pytest

from cypresswalk.copies import store
from cypresswalk.copies.effects import StoredChange, WriteChange
from cypresswalk.copies.errors import DataLostError
from cypresswalk.copies.messages import (
    PartitionStatus,
    RecordStored,
    ReservationRecord,
    ViewBegun,
    ViewSealed,
)
from cypresswalk.copies.replica import Replica
from cypresswalk.copies.store import RecordLog
from cypresswalk.lab.cluster.simulation.disk import SimulatedDisk

MEMBER = "a#1"
BOOT = 1
PARTITION = 0


def record_stored(key: str) -> RecordStored:
    """Return the change that stores a pending reservation."""
    return RecordStored(PARTITION, ReservationRecord(key, "n1", 100, "out"))


def reread(
    disk: SimulatedDisk, member: str = MEMBER, boot: int = BOOT
) -> list[StoredChange | PartitionStatus]:
    """Return the changes that a new process reads from the disk."""
    return RecordLog(disk).load(member, (boot,), lambda text: None)


class StoredBatches:
    """A log of two batches whose bytes a test can change."""

    FILE = "copies.1"
    FIRST = (ViewBegun(PARTITION, 1, (MEMBER,), True), record_stored("x"))
    SECOND = (record_stored("y"), ViewSealed(PARTITION, 1))

    def __init__(self) -> None:
        """Write both batches."""
        self.disk = SimulatedDisk(Random(1))
        log = RecordLog(self.disk)
        log.begin_file(MEMBER, BOOT, [])
        log.write(list(self.FIRST), list)
        self.end_of_first = len(self.disk.files[self.FILE].data)
        log.write(list(self.SECOND), list)
        self.data = self.disk.files[self.FILE].data

    def replace(self, data: bytes) -> None:
        """Replace the content of the file."""
        self.disk.damage(self.FILE, data)


@pytest.fixture
def batches() -> StoredBatches:
    """Return a log of two batches."""
    return StoredBatches()


def test_written_changes_are_read_back(batches):
    written = reread(batches.disk)
    assert written == [*batches.FIRST, *batches.SECOND]
    replica = Replica(MEMBER)
    replica.restore(written)
    partition = replica.partition(PARTITION)
    assert partition.complete
    assert partition.sealed
    assert set(partition.records) == {"x", "y"}


def test_torn_batch_does_not_affect_earlier_batches(batches):
    for end in range(batches.end_of_first, len(batches.data), 7):
        batches.replace(batches.data[:end])
        assert record_stored("x") in reread(batches.disk)


def test_changed_byte_anywhere_counts_as_data_loss(batches):
    data = batches.data
    for offset in range(len(data)):
        batches.replace(data[:offset] + bytes([data[offset] ^ 0x41]) + data[offset + 1 :])
        with pytest.raises(DataLostError):
            reread(batches.disk)


@pytest.mark.parametrize("member, boot", [("a#2", BOOT), (MEMBER, 2)])
def test_log_of_another_incarnation_or_start_counts_as_data_loss(batches, member, boot):
    with pytest.raises(DataLostError, match="not to a#"):
        reread(batches.disk, member, boot)


def write_expiring_records(log: RecordLog, replica: Replica, count: int) -> None:
    """Reserve keys i1, i2, ... and write their records; each expires at the time of its number."""
    log.begin_file(MEMBER, BOOT, [])
    for expiry in range(1, count + 1):
        replica.reserve(0, PARTITION, f"i{expiry}", "n1", expiry, None)
        effects = replica.take_effects()
        changes = [effect.change for effect in effects if isinstance(effect, WriteChange)]
        log.write(changes, replica.statuses)


def test_file_is_removed_once_all_its_keys_have_expired(monkeypatch):
    monkeypatch.setattr(store, "SEGMENT_BYTES", 200)
    disk = SimulatedDisk(Random(1))
    log, replica = RecordLog(disk), Replica(MEMBER)
    replica.fetch(PARTITION, 1, "")
    replica.begin_view(PARTITION, 1, (MEMBER,))
    write_expiring_records(log, replica, 40)
    assert len(log.file_numbers()) > 5
    log.remove_expired_files(30)
    restored = Replica(MEMBER)
    restored.restore(reread(disk))
    partition = restored.partition(PARTITION)
    assert {f"i{expiry}" for expiry in range(30, 41)} <= set(partition.records)
    assert "i1" not in partition.records
    assert partition.complete
    assert partition.replicas == (MEMBER,)


def test_log_refuses_writes_after_a_failed_write():
    disk = SimulatedDisk(Random(1))
    log, replica = RecordLog(disk), Replica(MEMBER)
    log.begin_file(MEMBER, BOOT, [])
    disk.failing = True
    with pytest.raises(OSError):
        log.write([record_stored("z")], replica.statuses)
    disk.failing = False
    with pytest.raises(OSError, match="an earlier write failed"):
        log.write([record_stored("z")], replica.statuses)
