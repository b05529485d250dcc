"""A folder in memory that crashes, fails and fills up as a disk does."""

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
    """One folder, as `storage.folder.Folder` has it.

    What a call flushes is on disk when it returns; a name given by `rename` only after `flush`.

    Attributes:
        files: by name.
        held: whether the folder's lock is held; never, as one process alone uses it.
        operations_until_kill: how many more operations are carried out until the process dies in
            the middle of one; None for never.
        failing: every operation that writes fails.
        full: every operation that writes finds no space.
    """

    def __init__(self, random: Random):
        """An empty folder; `random` draws what a crash leaves."""
        self.files: dict[str, StoredFile] = {}
        self.held = None
        self.operations_until_kill: int | None = None
        self.failing = False
        self.full = False
        self._random = random
        self._unflushed: list[UnflushedRename] = []
        self._last_inode = 1

    # Operations of a process.

    def lock(self) -> None:
        """Does nothing."""

    def unlock(self) -> None:
        """Does nothing."""

    def names(self) -> list[str]:
        """The names of all files."""
        return list(self.files)

    def read(self, name: str, max_bytes: int, /) -> bytes:
        """At most so many bytes from the file's begin."""
        return self._file(name).data[:max_bytes]

    def inode(self, name: str) -> int:
        """A number that stays the same while the file is the same."""
        return self._file(name).inode

    def write(self, name: str, data: bytes) -> None:
        """Creates or replaces the file; a crash leaves a begin of it."""
        dies = self._begin_operation()
        inode = self.files[name].inode if name in self.files else self._new_inode()
        if dies:
            data = data[: self._random.randrange(len(data) + 1)]
        self.files[name] = StoredFile(data, inode)
        if dies:
            raise ProcessKilledError

    def append(self, name: str, data: bytes) -> None:
        """Appends to the file; a crash or a failure may leave a part of `data`."""
        # A KeyError says that the folder is gone, which is an OSError of a real one.
        before, inode = self.files[name]
        if self.failing:
            # What a failed flush covered may be there or not, or in part.
            self.files[name] = StoredFile(before + self._torn(data, len(before)), inode)
        dies = self._begin_operation()
        if dies:
            data = self._torn(data, len(before))
        self.files[name] = StoredFile(before + data, inode)
        if dies:
            raise ProcessKilledError

    def rename(self, name: str, to: str) -> None:
        """Renames the file, in place of another of that name."""
        dies = self._begin_operation()
        if dies and self._random.random() < 0.5:
            raise ProcessKilledError
        self._unflushed.append(UnflushedRename(name, to, self.files.get(to)))
        self.files[to] = self.files.pop(name)
        if dies:
            raise ProcessKilledError

    def flush(self) -> None:
        """Flushes names that were created, renamed or removed."""
        if self._begin_operation():
            raise ProcessKilledError
        self._unflushed.clear()

    def remove(self, name: str) -> None:
        """Removes the file."""
        if self._begin_operation():
            raise ProcessKilledError
        self.files.pop(name, None)

    # What happens to the disk from outside.

    def crash(self) -> None:
        """The process or the power ends: unflushed renames may be undone, the last first."""
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
        """Operations fail no more."""
        self.failing = False
        self.full = False

    def copy(self) -> dict[str, StoredFile]:
        """A backup, for `restore`."""
        return dict(self.files)

    def restore(self, files: dict[str, StoredFile], *, with_inodes: bool) -> None:
        """Puts a backup back.

        Args:
            files: the backup.
            with_inodes: the whole disk is as it was; else each file is a new one.
        """
        if with_inodes:
            self.files = dict(files)
        else:
            self.files = {
                name: StoredFile(file.data, self._new_inode()) for name, file in files.items()
            }

    def damage(self, name: str, data: bytes) -> None:
        """Gives the file another content; it stays the same file."""
        self.files[name] = StoredFile(data, self._file(name).inode)

    def wipe(self) -> None:
        """All files are gone."""
        self.files = {}
        self._unflushed = []

    def _file(self, name: str) -> StoredFile:
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, name)
        return self.files[name]

    def _begin_operation(self) -> bool:
        """Whether the process dies in this operation; raises OSError where the disk fails."""
        if self.full:
            raise OSError(errno.ENOSPC, "no space left")
        if self.failing:
            raise OSError(errno.EIO, "input/output error")
        if self.operations_until_kill is None:
            return False
        self.operations_until_kill -= 1
        return self.operations_until_kill < 0

    def _torn(self, data: bytes, offset: int) -> bytes:
        """What is left of `data` at that offset: a begin of it, or all, some sectors zeros."""
        if self._random.random() < 0.5:
            return data[: self._random.randrange(len(data) + 1)]
        first_border = SECTOR - offset % SECTOR
        borders = [0, *range(first_border, len(data), SECTOR), len(data)]
        left = b""
        for low, high in zip(borders, borders[1:], strict=False):
            left += data[low:high] if self._random.random() < 0.5 else bytes(high - low)
        return left

    def _new_inode(self) -> int:
        self._last_inode += 1
        return self._last_inode
