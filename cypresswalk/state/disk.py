"""A folder of files with one writer.

Every name is opened relative to the folder, no link is followed, and a lock that dies with its
holder keeps other writers out.
"""

import fcntl
import os
import stat

LOCK = "lock"
WRITE_BYTES = 1 << 18  # at once


class FolderLockedError(OSError):
    """Another process holds the folder."""


class DiskFolder:
    """The folder is opened anew for each operation: one that vanished and came back serves again.

    Each call raises OSError where it fails.
    """

    def __init__(self, path: str):
        """The folder need not be there yet."""
        self.path = path
        self.held: int | None = None

    def folder(self) -> int:
        """A descriptor of the folder, which must be this user's own."""
        descriptor = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_NOFOLLOW | os.O_CLOEXEC)
        owner = os.fstat(descriptor).st_uid
        if owner != os.geteuid():
            os.close(descriptor)
            raise PermissionError(1, f"the folder belongs to user {owner}")
        return descriptor

    def lock(self) -> None:
        """Held until `unlock` or the end of this process.

        Raises:
            FolderLockedError: another process has it.
            OSError: there is no folder.
        """
        folder = self.folder()
        try:
            self.held = os.open(
                LOCK, os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW | os.O_CLOEXEC, 0o600, dir_fd=folder
            )
        finally:
            os.close(folder)
        try:
            fcntl.flock(self.held, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(self.held)
            self.held = None
            raise FolderLockedError(11, "another process holds its lock") from None

    def unlock(self) -> None:
        """Lets another process have the folder."""
        if self.held is not None:
            os.close(self.held)
            self.held = None

    def names(self) -> list[str]:
        """Of all files in it."""
        folder = self.folder()
        try:
            return os.listdir(folder)
        finally:
            os.close(folder)

    def read(self, name: str, most: int) -> bytes:
        """At most so many bytes from the file's begin."""
        folder = self.folder()
        try:
            file = os.open(
                name, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC, dir_fd=folder
            )
        finally:
            os.close(folder)
        with os.fdopen(file, "rb") as reader:
            if not stat.S_ISREG(os.fstat(file).st_mode):
                raise OSError(22, "not a plain file")
            return reader.read(most)

    def write(self, name: str, data: bytes) -> None:
        """Creates or empties the file, writes and flushes it."""
        self.put(name, data, os.O_CREAT | os.O_TRUNC)

    def append(self, name: str, data: bytes) -> None:
        """Writes at the end of a file that is there, and flushes it."""
        self.put(name, data, os.O_APPEND)

    def put(self, name: str, data: bytes, how: int) -> None:
        """Opens the file with these flags, writes and flushes it."""
        folder = self.folder()
        try:
            flags = os.O_WRONLY | how | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC
            file = os.open(name, flags, 0o600, dir_fd=folder)
        finally:
            os.close(folder)
        with os.fdopen(file, "wb", buffering=0) as writer:
            if not stat.S_ISREG(os.fstat(file).st_mode):
                raise OSError(22, "not a plain file")
            rest = memoryview(data)
            while rest:
                rest = rest[writer.write(rest[:WRITE_BYTES]) :]
            os.fsync(file)

    def inode(self, name: str) -> int:
        """The file's number: another one if it was replaced."""
        folder = self.folder()
        try:
            return os.stat(name, dir_fd=folder, follow_symlinks=False).st_ino
        finally:
            os.close(folder)

    def rename(self, name: str, to: str) -> None:
        """Over whatever has that name."""
        folder = self.folder()
        try:
            os.rename(name, to, src_dir_fd=folder, dst_dir_fd=folder)
        finally:
            os.close(folder)

    def flush(self) -> None:
        """Flushes the folder itself: names, not contents."""
        folder = self.folder()
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def remove(self, name: str) -> None:
        """Takes the name out of the folder."""
        folder = self.folder()
        try:
            os.unlink(name, dir_fd=folder)
        finally:
            os.close(folder)
