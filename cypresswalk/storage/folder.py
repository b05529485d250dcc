"""The folder that a store writes to, and what becomes of a store when a write fails."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Protocol


class Folder(Protocol):
    """The files of one folder. Each call raises OSError where it fails."""

    def names(self) -> list[str]:
        """The names of all files."""
        ...

    def read(self, name: str, max_bytes: int, /) -> bytes:
        """At most so many bytes from the file's begin."""
        ...

    def write(self, name: str, data: bytes) -> None:
        """Creates or replaces the file; flushed."""
        ...

    def add(self, name: str, data: bytes) -> None:
        """Appends to the file; flushed."""
        ...

    def inode(self, name: str) -> int:
        """A number that stays the same while the file is the same."""
        ...

    def rename(self, name: str, to: str) -> None:
        """Renames the file, in place of another of that name."""
        ...

    def flush(self) -> None:
        """Flushes the folder itself: names that were created, renamed or removed."""
        ...

    def remove(self, name: str) -> None:
        """Removes the file."""
        ...


class Breakable(Protocol):
    """A store that takes no more writes once one has failed."""

    broken: bool


@contextmanager
def broken_on_failure(store: Breakable) -> Iterator[None]:
    """Leaves the store broken if the block raises.

    What was being written may or may not be on disk, and a later flush that succeeds proves nothing
    (Rebello et al., "Can Applications Recover from fsync Failures?", USENIX ATC 2020).
    """
    store.broken = True
    yield
    store.broken = False


def require_unbroken(store: Breakable) -> None:
    """Raises OSError if an earlier write of the store failed."""
    if store.broken:
        raise OSError(5, "an earlier write failed")
