"""The interface of the folder that a store writes to, and handling of failed writes."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Protocol


class Folder(Protocol):
    """The files of one folder; each method raises OSError if it fails."""

    def names(self) -> list[str]:
        """Return the names of all files."""
        ...

    def read(self, name: str, max_bytes: int, /) -> bytes:
        """Return at most `max_bytes` bytes from the start of the file."""
        ...

    def write(self, name: str, data: bytes) -> None:
        """Create or replace the file, and flush it."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Append to the file, and flush it."""
        ...

    def inode(self, name: str) -> int:
        """Return the inode number, which stays the same as long as the file exists."""
        ...

    def rename(self, name: str, to: str) -> None:
        """Rename the file to `to`, and replace a file of that name."""
        ...

    def flush(self) -> None:
        """Flush the folder itself: names that were created, renamed or removed."""
        ...

    def remove(self, name: str) -> None:
        """Remove the file."""
        ...


class FailStopStore(Protocol):
    """A store that accepts no more writes once one has failed.

    Attributes:
        broken: whether a write has failed or is in progress.
    """

    broken: bool


@contextmanager
def broken_on_failure(store: FailStopStore) -> Iterator[None]:
    """Mark the store as broken if the block raises.

    The data of a failed write may or may not be on disk, and a later successful flush doesn't prove
    that it is (Rebello et al., "Can Applications Recover from fsync Failures?", USENIX ATC 2020).
    """
    store.broken = True
    yield
    store.broken = False


def require_unbroken(store: FailStopStore) -> None:
    """Raise OSError if an earlier write of the store has failed."""
    if store.broken:
        raise OSError(5, "an earlier write failed")
