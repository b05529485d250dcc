"""In-memory folder that simulates crashes, disk failures and a full disk."""

import errno
from random import Random
from typing import NamedTuple

from cypresswalk.lab.cluster.simulation.errors import ProcessKilledError
from cypresswalk.storage.record_chain import SECTOR


class StoredFile(NamedTuple):
    """A file's content and its inode number."""

    data: bytes
    inode: int


class UnflushedRename(NamedTuple):
    """A rename that a crash may undo; `replaced` is the file that had the new name before."""

    name: str
    new_name: str
    replaced: StoredFile | None


class SimulatedDisk:
    """A folder with the interface of `storage.folder.Folder`.

    Written content is durable when the call returns; a rename is so only after `flush`.

    Attributes:
        files: the files by name.
        lock_descriptor: always None, since only one process uses the folder and needs no lock.
        operations_until_kill: number of operations that succeed before the process is killed in
            the middle of the next one; None for never.
        failing: whether every writing operation fails.
        full: whether every writing operation finds no space.
    """

    def __init__(self, random: Random):
        """Create an empty folder; `random` draws what is left after a crash."""
        self.files: dict[str, StoredFile] = {}
        self.lock_descriptor = None
        self.operations_until_kill: int | None = None
        self.failing = False
        self.full = False
        self._random = random
        self._unflushed: list[UnflushedRename] = []
        self._last_inode = 1

    # Operations called by a process.

    def lock(self) -> None:
        """Do nothing."""

    def unlock(self) -> None:
        """Do nothing."""

    def names(self) -> list[str]:
        """Return the names of all files."""
        return list(self.files)

    def read(self, name: str, max_bytes: int, /) -> bytes:
        """Return the first bytes of the file, `max_bytes` at most."""
        return self._file(name).data[:max_bytes]

    def inode(self, name: str) -> int:
        """Return the file's inode number, which changes when the file is replaced."""
        return self._file(name).inode

    def write(self, name: str, data: bytes) -> None:
        """Create or overwrite the file; if killed, only the first part is written."""
        dies = self._begin_operation()
        inode = self.files[name].inode if name in self.files else self._new_inode()
        if dies:
            data = data[: self._random.randrange(len(data) + 1)]
        self.files[name] = StoredFile(data, inode)
        if dies:
            raise ProcessKilledError

    def append(self, name: str, data: bytes) -> None:
        """Append to the file; a crash or a failure may leave a part of `data`."""
        # A KeyError means that the folder is gone; a real folder raises OSError.
        before, inode = self.files[name]
        if self.failing:
            # After a failed flush the data may be on disk in full, in part or not at all.
            self.files[name] = StoredFile(before + self._torn(data, len(before)), inode)
        dies = self._begin_operation()
        if dies:
            data = self._torn(data, len(before))
        self.files[name] = StoredFile(before + data, inode)
        if dies:
            raise ProcessKilledError

    def rename(self, name: str, to: str) -> None:
        """Rename the file; replace a file that has the new name."""
        dies = self._begin_operation()
        if dies and self._random.random() < 0.5:
            raise ProcessKilledError
        self._unflushed.append(UnflushedRename(name, to, self.files.get(to)))
        self.files[to] = self.files.pop(name)
        if dies:
            raise ProcessKilledError

    def flush(self) -> None:
        """Make created, renamed and removed names durable."""
        if self._begin_operation():
            raise ProcessKilledError
        self._unflushed.clear()

    def remove(self, name: str) -> None:
        """Remove the file."""
        if self._begin_operation():
            raise ProcessKilledError
        self.files.pop(name, None)

    # Faults, repairs and backups.

    def crash(self) -> None:
        """Simulate a crash: undo some unflushed renames, the latest first."""
        while self._unflushed and self._random.random() < 0.5:
            rename = self._unflushed.pop()
            if rename.new_name in self.files:
                self.files[rename.name] = self.files.pop(rename.new_name)
            if rename.replaced is not None:
                self.files[rename.new_name] = rename.replaced
        self._unflushed.clear()
        self.operations_until_kill = None
        self.repair()

    def repair(self) -> None:
        """End failures and lack of space."""
        self.failing = False
        self.full = False

    def copy(self) -> dict[str, StoredFile]:
        """Return a backup for `restore`."""
        return dict(self.files)

    def restore(self, files: dict[str, StoredFile], *, with_inodes: bool) -> None:
        """Replace all files with those of a backup.

        Args:
            files: the backup.
            with_inodes: whether inode numbers are restored too; else each file gets a new one.
        """
        if with_inodes:
            self.files = dict(files)
        else:
            self.files = {
                name: StoredFile(file.data, self._new_inode()) for name, file in files.items()
            }

    def damage(self, name: str, data: bytes) -> None:
        """Replace the file's content; its inode number stays."""
        self.files[name] = StoredFile(data, self._file(name).inode)

    def wipe(self) -> None:
        """Delete all files."""
        self.files = {}
        self._unflushed = []

    def _file(self, name: str) -> StoredFile:
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, name)
        return self.files[name]

    def _begin_operation(self) -> bool:
        """Return whether the process is killed in this operation; raise OSError on a disk fault."""
        if self.full:
            raise OSError(errno.ENOSPC, "no space left")
        if self.failing:
            raise OSError(errno.EIO, "input/output error")
        if self.operations_until_kill is None:
            return False
        self.operations_until_kill -= 1
        return self.operations_until_kill < 0

    def _torn(self, data: bytes, offset: int) -> bytes:
        """Return `data` as a torn write leaves it: truncated, or with some sectors zeroed."""
        if self._random.random() < 0.5:
            return data[: self._random.randrange(len(data) + 1)]
        first_border = SECTOR - offset % SECTOR
        borders = [0, *range(first_border, len(data), SECTOR), len(data)]
        written = b""
        for low, high in zip(borders, borders[1:], strict=False):
            written += data[low:high] if self._random.random() < 0.5 else bytes(high - low)
        return written

    def _new_inode(self) -> int:
        self._last_inode += 1
        return self._last_inode
