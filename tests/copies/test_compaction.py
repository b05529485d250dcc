"""Compaction of a replica's files, also with crashes at each of its steps."""

from random import Random

import pytest

from cypresswalk.copies import compaction, store
from cypresswalk.copies.compaction import Compaction
from cypresswalk.copies.effects import WriteChange
from cypresswalk.copies.replica import Replica
from cypresswalk.copies.store import RecordLog
from cypresswalk.lab.cluster.simulation.disk import SimulatedDisk
from cypresswalk.lab.cluster.simulation.errors import ProcessKilledError

MEMBER = "a#1"
BOOT = 1
PARTITION = 0
NEVER = 1 << 60
MIN_BYTES = 3_000
STEPS = 10  # of a compaction of 60 records, which ends within them
MAX_OPERATIONS = 100  # more than these steps take


class CompactedLog:
    """A replica of one partition, its log and its compaction, on a simulated disk."""

    def __init__(self) -> None:
        """Begin the first view."""
        self.disk = SimulatedDisk(Random(1))
        self.log = RecordLog(self.disk)
        self.replica = Replica(MEMBER)
        self.compaction = Compaction(self.log, self.replica)
        self.log.begin_file(MEMBER, BOOT, [])
        self.replica.fetch(PARTITION, 1, "")
        self.replica.begin_view(PARTITION, 1, (MEMBER,))
        self.write()

    def write(self) -> None:
        """Write the replica's changes."""
        effects = self.replica.take_effects()
        changes = [effect.change for effect in effects if isinstance(effect, WriteChange)]
        self.log.write(changes, self.replica.statuses)

    def reserve(self, now: int, key: str, held_until: int) -> None:
        """Reserve a key, and write that."""
        self.replica.reserve(now, PARTITION, key, "n1", held_until, None)
        self.write()

    def pass_second(self, now: int) -> None:
        """Drop what has expired, and continue the compaction."""
        self.replica.expire(now, self.replica.partition(PARTITION))
        self.log.remove_expired_files(now)
        self.compaction.step()

    def reread(self) -> Replica:
        """Return the replica that the next start reads from the disk."""
        replica = Replica(MEMBER)
        replica.restore(RecordLog(self.disk).load(MEMBER, (BOOT,), lambda text: None))
        return replica


@pytest.fixture
def small_files(monkeypatch: pytest.MonkeyPatch) -> None:
    """Begin small files, and compact them from MIN_BYTES on, a few records at a time."""
    monkeypatch.setattr(store, "SEGMENT_BYTES", 400)
    monkeypatch.setattr(compaction, "MIN_COMPACTION_BYTES", MIN_BYTES)
    monkeypatch.setattr(compaction, "RECORDS_PER_STEP", 10)


def test_one_key_that_is_held_for_long_does_not_keep_all_later_files(small_files):
    # Found by reading: files are removed oldest first, and one key can be held for two years.
    compacted = CompactedLog()
    compacted.reserve(0, "long", NEVER)
    largest = 0
    for now in range(1, 400):
        compacted.reserve(now, f"k{now}", now + 5)
        compacted.pass_second(now)
        largest = max(largest, sum(len(file.data) for file in compacted.disk.files.values()))
    # Two compactions' output, and what is written while one runs.
    assert largest < 2 * MIN_BYTES
    assert compacted.log.total_bytes == sum(len(f.data) for f in compacted.disk.files.values())
    assert "long" in compacted.reread().partition(PARTITION).records


def records_after_kill(operations: int) -> tuple[CompactedLog, bool]:
    """Compact a log, and kill the process in an operation of its disk.

    Returns:
        The log after a crash, and whether the process was killed.
    """
    compacted = CompactedLog()
    for number in range(60):
        compacted.reserve(0, f"k{number}", NEVER + number)
    assert compacted.log.total_bytes > MIN_BYTES
    compacted.disk.operations_until_kill = operations
    killed = False
    try:
        for step in range(STEPS):
            compacted.compaction.step()
            compacted.reserve(0, f"during{step}", NEVER)
    except ProcessKilledError:
        killed = True
    compacted.disk.crash()
    return compacted, killed


def test_crash_at_any_operation_of_a_compaction_loses_nothing(small_files):
    kills = 0
    for operations in range(MAX_OPERATIONS):
        compacted, killed = records_after_kill(operations)
        kills += killed
        held = compacted.replica.partition(PARTITION)
        read = compacted.reread().partition(PARTITION)
        # The record whose write was cut off was not acknowledged, and may be missing.
        missing = set(held.records) - set(read.records)
        assert len(missing) <= killed, operations
        assert all(key.startswith("during") for key in missing), operations
        assert read.records == {key: held.records[key] for key in read.records}, operations
        assert (read.complete, read.replicas, read.view) == (True, (MEMBER,), 1), operations
    assert kills < MAX_OPERATIONS  # the last one was not killed, so all operations were tried
    assert min(compacted.log.file_numbers()) > 1  # the first file was removed
