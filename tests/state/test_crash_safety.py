"""A power failure or a kill at any point of a write leaves a complete generation."""

import itertools
import subprocess
import sys
from pathlib import Path

from state_helpers import SCRIPT_ENVIRONMENT, snapshot

from cypresswalk.state import file_format, store
from cypresswalk.state.snapshot import Snapshot

KILL_WRITER = Path(__file__).parent / "kill_writer.py"
BLOCK = 512  # bytes that a disk writes at once

# Contents of a file after a power failure if its write was not flushed, by name of the case.
LEFTOVERS = {
    "none": lambda data: b"",
    "part": lambda data: data[: len(data) // 2],
    "zeros": lambda data: bytes(len(data)),
    "all": lambda data: data,
    "torn": lambda data: data[:BLOCK] + bytes(max(len(data) - 2 * BLOCK, 0)) + data[-BLOCK:],
}


class PowerFailure(Exception):  # noqa: N818 (an event of the disk, not an error of the program)
    """The power has failed."""


class CrashDisk:
    """A simulated folder whose power fails at a chosen operation or a chosen byte of a write.

    Flushed data survives. Of unflushed data, what `leftover` selects survives. A rename may or may
    not survive if the folder was not flushed after it.
    """

    def __init__(self, leftover: str = "none"):
        """Create an empty folder whose power does not fail; `leftover` is a key of `LEFTOVERS`."""
        self.leftover = leftover
        self.failing_operation: int | None = None
        self.failing_byte: int | None = None
        self.operations = 0
        self.durable: dict[str, bytes] = {}  # names and contents as of the folder's last flush
        self.contents: dict[str, bytes] = {}
        self.flushed: dict[str, bool] = {}

    def fail_at(self, operation: int, byte: int | None = None) -> None:
        """Let the power fail in a later operation, after `byte` bytes if it is a write.

        `operation` is the number of that operation, counted from 1 for the next one.
        """
        self.failing_operation = self.operations + operation
        self.failing_byte = byte

    def begin_operation(self) -> bool:
        """Count an operation, and return whether the power fails in it."""
        self.operations += 1
        return self.operations == self.failing_operation

    def pass_failure_point(self) -> None:
        """Count an operation, and raise PowerFailure if the power fails in it."""
        if self.begin_operation():
            raise PowerFailure

    # The methods of `store.Files`.

    def names(self) -> list[str]:
        """Return the names of all files."""
        return list(self.contents)

    def read(self, name: str, max_bytes: int) -> bytes:
        """Return a file's first bytes."""
        return self.contents[name][:max_bytes]

    def write(self, name: str, data: bytes) -> None:
        """Write a file and flush it."""
        fails = self.begin_operation()
        written = data[: self.failing_byte] if fails and self.failing_byte is not None else data
        self.contents[name] = written
        self.flushed[name] = False
        if fails:
            raise PowerFailure
        self.pass_failure_point()
        self.flushed[name] = True

    def rename(self, name: str, to: str) -> None:
        """Rename a file."""
        self.pass_failure_point()
        self.contents[to] = self.contents.pop(name)
        self.flushed[to] = self.flushed.pop(name)
        self.pass_failure_point()

    def flush(self) -> None:
        """Flush the folder, so that its present names survive a failure."""
        self.pass_failure_point()
        self.durable = {name: self.data_after_failure(name) for name in self.contents}

    def remove(self, name: str) -> None:
        """Remove a file."""
        self.pass_failure_point()
        del self.contents[name]

    # After the failure.

    def data_after_failure(self, name: str) -> bytes:
        """Return a file's contents after a failure."""
        data = self.contents[name]
        return data if self.flushed[name] else LEFTOVERS[self.leftover](data)

    def after_failure(self, renamed: bool) -> "CrashDisk":
        """Return the folder after a failure: `renamed` keeps names that were not flushed."""
        found = CrashDisk()
        if renamed:
            found.contents = {name: self.data_after_failure(name) for name in self.contents}
        else:
            found.contents = dict(self.durable)
        found.flushed = dict.fromkeys(found.contents, True)
        return found


def load(disk: CrashDisk) -> Snapshot | None:
    """Return the latest valid snapshot in the folder, or None."""
    found, _ = store.load(disk, "n0", lambda name, error: None)
    return found


def save_unless_power_fails(disk: CrashDisk, data: bytes, number: int) -> bool:
    """Save a generation, and return whether the save was reported as done."""
    try:
        store.save(disk, data, number)
    except PowerFailure:
        return False
    return True


def test_power_failure_at_any_operation_and_byte_leaves_a_complete_generation():
    old, new = file_format.encode(snapshot(1)), file_format.encode(snapshot(2))
    failures: list[tuple[int, int | None]] = [(operation, None) for operation in range(1, 8)]
    failures += [(1, byte) for byte in range(len(new))]
    seen = set()
    for failure, leftover, renamed in itertools.product(failures, LEFTOVERS, (False, True)):
        case = (*failure, leftover, renamed)
        disk = CrashDisk(leftover)
        store.save(disk, old, 1)
        disk.fail_at(*failure)
        reported = save_unless_power_fails(disk, new, 2)
        found = load(disk.after_failure(renamed))
        assert found is not None, case
        generation = found.head.list_version
        assert found == snapshot(generation), case
        assert generation in ((2,) if reported else (1, 2)), case
        seen.add((generation, reported))
    assert seen == {(1, False), (2, False), (2, True)}


class DiskWithoutFileFlush(CrashDisk):
    """A disk whose writes do not flush the file."""

    def write(self, name: str, data: bytes) -> None:
        """Write a file without a flush."""
        super().write(name, data)
        self.flushed[name] = False


def test_generation_is_lost_without_a_flush_before_the_rename():
    """Show that the simulated failures detect a missing flush, so the test above can fail."""
    disk = DiskWithoutFileFlush("zeros")
    store.save(disk, file_format.encode(snapshot(1)), 1)
    assert load(disk.after_failure(renamed=True)) is None


def test_killed_writers_leave_no_file_that_is_accepted_although_wrong():
    run = subprocess.run(
        [sys.executable, KILL_WRITER, "1000", "1"],
        capture_output=True,
        text=True,
        env=SCRIPT_ENVIRONMENT,
        timeout=120,
    )
    assert run.returncode == 0, run.stdout + run.stderr
    assert run.stdout.startswith("kills=1000")
    assert int(run.stdout.split("generations=")[1]) > 100
