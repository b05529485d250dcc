"""A failure of the power or a kill at any point of a write leaves a complete generation."""

import itertools
import subprocess
import sys
from pathlib import Path

from state_helpers import SCRIPT_ENVIRONMENT, snapshot

from cypresswalk.state import file_format, store
from cypresswalk.state.snapshot import Snapshot

KILL_WRITER = Path(__file__).parent / "kill_writer.py"
BLOCK = 512  # bytes that a disk writes at once

# What is found of a write that was not flushed.
LEFTOVERS = {
    "none": lambda data: b"",
    "part": lambda data: data[: len(data) // 2],
    "zeros": lambda data: bytes(len(data)),
    "all": lambda data: data,
    "torn": lambda data: data[:BLOCK] + bytes(max(len(data) - 2 * BLOCK, 0)) + data[-BLOCK:],
}


class PowerFailure(Exception):  # noqa: N818 (what happens to the disk, no error of the program)
    """The power has failed."""


class CrashDisk:
    """A folder whose power fails at a chosen operation, or at a chosen byte of a write.

    What was flushed stays. What was not is found as `leftover` says; a rename whose folder was not
    flushed may or may not be found.
    """

    def __init__(self, leftover: str = "none"):
        """An empty folder whose power does not fail; `leftover` is one of `LEFTOVERS`."""
        self.leftover = leftover
        self.failing_operation: int | None = None
        self.failing_byte: int | None = None
        self.operations = 0
        self.durable: dict[str, bytes] = {}  # names and contents at the folder's last flush
        self.contents: dict[str, bytes] = {}
        self.flushed: dict[str, bool] = {}

    def fail_at(self, operation: int, byte: int | None = None) -> None:
        """The power fails that many operations from now, after so many bytes if it is a write."""
        self.failing_operation = self.operations + operation
        self.failing_byte = byte

    def begin_operation(self) -> bool:
        """Counts an operation; whether the power fails in it."""
        self.operations += 1
        return self.operations == self.failing_operation

    def pass_failure_point(self) -> None:
        """The power may fail here."""
        if self.begin_operation():
            raise PowerFailure

    # As the program's own folder.

    def names(self) -> list[str]:
        """Names of all files."""
        return list(self.contents)

    def read(self, name: str, most: int) -> bytes:
        """A file's first bytes."""
        return self.contents[name][:most]

    def write(self, name: str, data: bytes) -> None:
        """Writes a file and flushes it."""
        fails = self.begin_operation()
        written = data[: self.failing_byte] if fails and self.failing_byte is not None else data
        self.contents[name] = written
        self.flushed[name] = False
        if fails:
            raise PowerFailure
        self.pass_failure_point()
        self.flushed[name] = True

    def rename(self, name: str, to: str) -> None:
        """Renames a file."""
        self.pass_failure_point()
        self.contents[to] = self.contents.pop(name)
        self.flushed[to] = self.flushed.pop(name)
        self.pass_failure_point()

    def flush(self) -> None:
        """Flushes the folder: all names stay from now on."""
        self.pass_failure_point()
        self.durable = {name: self.found(name) for name in self.contents}

    def remove(self, name: str) -> None:
        """Removes a file."""
        self.pass_failure_point()
        del self.contents[name]

    # After the failure.

    def found(self, name: str) -> bytes:
        """What is found of a file after a failure."""
        data = self.contents[name]
        return data if self.flushed[name] else LEFTOVERS[self.leftover](data)

    def after_failure(self, renamed: bool) -> "CrashDisk":
        """The folder as it is found: with unflushed names, or with those of the last flush."""
        found = CrashDisk()
        if renamed:
            found.contents = {name: self.found(name) for name in self.contents}
        else:
            found.contents = dict(self.durable)
        found.flushed = dict.fromkeys(found.contents, True)
        return found


def load(disk: CrashDisk) -> Snapshot | None:
    """The snapshot that a folder holds."""
    found, _ = store.load(disk, "n0", lambda name, error: None)
    return found


def save_through_failure(disk: CrashDisk, data: bytes, number: int) -> bool:
    """Saves a generation; whether it was reported as saved."""
    try:
        store.save(disk, data, number)
    except PowerFailure:
        return False
    return True


def test_power_failure_at_any_operation_and_byte_leaves_a_complete_generation():
    old, new = file_format.encode(snapshot(1)), file_format.encode(snapshot(2))
    failures = [(operation, None) for operation in range(1, 8)]
    failures += [(1, byte) for byte in range(len(new))]
    seen = set()
    for failure, leftover, renamed in itertools.product(failures, LEFTOVERS, (False, True)):
        case = (*failure, leftover, renamed)
        disk = CrashDisk(leftover)
        store.save(disk, old, 1)
        disk.fail_at(*failure)
        reported = save_through_failure(disk, new, 2)
        found = load(disk.after_failure(renamed))
        assert found is not None, case
        generation = found.head.list_version
        assert found == snapshot(generation), case
        assert generation in ((2,) if reported else (1, 2)), case
        seen.add((generation, reported))
    assert seen == {(1, False), (2, False), (2, True)}


class UnflushedDisk(CrashDisk):
    """Does not flush what is written."""

    def write(self, name: str, data: bytes) -> None:
        """Writes a file."""
        super().write(name, data)
        self.flushed[name] = False


def test_generation_is_lost_without_the_flush_before_the_rename():
    """The same failures find a wrong order: the test above can fail."""
    disk = UnflushedDisk("zeros")
    store.save(disk, file_format.encode(snapshot(1)), 1)
    assert load(disk.after_failure(renamed=True)) is None


def test_processes_killed_while_they_write_leave_nothing_that_is_accepted_yet_wrong():
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
