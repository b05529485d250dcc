"""A folder of files that one process writes at a time.

Every file is opened relative to the folder and no symbolic link is followed. A lock, which the
kernel releases when its holder ends, keeps other writers out.
"""

import fcntl
import os
import stat

LOCK = "lock"
WRITE_BYTES = 1 << 18  # at most, in one system call


class FolderLockedError(OSError):
    """Another process holds the folder's lock."""


class DiskFolder:
    """A folder on disk.

    Each operation opens the folder again, so that a folder that was removed and created again can
    be used. Every method raises OSError if its operation fails.

    Attributes:
        path: path of the folder.
        lock_descriptor: descriptor of the lock file while this process holds the lock, else None.
    """

    def __init__(self, path: str):
        """Use the folder at `path`, which need not exist yet."""
        self.path = path
        self.lock_descriptor: int | None = None

    def open_folder(self) -> int:
        """Return a descriptor of the folder; raise PermissionError if another user owns it."""
        descriptor = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_NOFOLLOW | os.O_CLOEXEC)
        owner = os.fstat(descriptor).st_uid
        if owner != os.geteuid():
            os.close(descriptor)
            raise PermissionError(1, f"the folder belongs to user {owner}")
        return descriptor

    def lock(self) -> None:
        """Take the folder's lock until `unlock` or the end of this process.

        Raises:
            FolderLockedError: another process holds the lock.
            OSError: the folder can't be opened.
        """
        folder = self.open_folder()
        try:
            self.lock_descriptor = os.open(
                LOCK, os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW | os.O_CLOEXEC, 0o600, dir_fd=folder
            )
        finally:
            os.close(folder)
        try:
            fcntl.flock(self.lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(self.lock_descriptor)
            self.lock_descriptor = None
            raise FolderLockedError(11, "another process holds its lock") from None

    def unlock(self) -> None:
        """Release the lock, so that another process can take it."""
        if self.lock_descriptor is not None:
            os.close(self.lock_descriptor)
            self.lock_descriptor = None

    def names(self) -> list[str]:
        """Return the names of all files in the folder."""
        folder = self.open_folder()
        try:
            return os.listdir(folder)
        finally:
            os.close(folder)

    def read(self, name: str, max_bytes: int) -> bytes:
        """Return the file's first `max_bytes` bytes, or fewer if it is shorter."""
        folder = self.open_folder()
        try:
            file = os.open(
                name, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC, dir_fd=folder
            )
        finally:
            os.close(folder)
        with os.fdopen(file, "rb") as reader:
            if not stat.S_ISREG(os.fstat(file).st_mode):
                raise OSError(22, "not a plain file")
            return reader.read(max_bytes)

    def write(self, name: str, data: bytes) -> None:
        """Create or truncate the file, write the data and flush it to disk."""
        self.write_with_flags(name, data, os.O_CREAT | os.O_TRUNC)

    def append(self, name: str, data: bytes) -> None:
        """Append to an existing file and flush it to disk."""
        self.write_with_flags(name, data, os.O_APPEND)

    def write_with_flags(self, name: str, data: bytes, open_flags: int) -> None:
        """Open the file with `open_flags`, write the data and flush it to disk."""
        folder = self.open_folder()
        try:
            flags = os.O_WRONLY | open_flags | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC
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
        """Return the file's inode number, which differs after the file was replaced."""
        folder = self.open_folder()
        try:
            return os.stat(name, dir_fd=folder, follow_symlinks=False).st_ino
        finally:
            os.close(folder)

    def rename(self, name: str, to: str) -> None:
        """Rename the file, replacing any file named `to`."""
        folder = self.open_folder()
        try:
            os.rename(name, to, src_dir_fd=folder, dst_dir_fd=folder)
        finally:
            os.close(folder)

    def flush(self) -> None:
        """Flush the folder's entries (file names) to disk; contents are flushed by writes."""
        folder = self.open_folder()
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def remove(self, name: str) -> None:
        """Remove the file from the folder."""
        folder = self.open_folder()
        try:
            os.unlink(name, dir_fd=folder)
        finally:
            os.close(folder)
