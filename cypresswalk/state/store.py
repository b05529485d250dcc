"""Writes and reads generations of the state (numbered snapshot files) in a crash-safe order.

Does no I/O of its own: `Files` is the file layer. A generation is written to `next`, flushed and
renamed to `state.N`, and the folder is flushed; only then is the generation before the previous one
removed. So after a power failure at any moment the folder holds, complete, the last generation that
was reported as written (Pillai et al., "All File Systems Are Not Created Equal", OSDI 2014: without
the flush before the rename the new name may refer to an empty file; without the folder's flush the
rename itself may be lost).
"""

from collections.abc import Callable
from typing import Protocol

from cypresswalk.state import file_format
from cypresswalk.state.snapshot import Snapshot

NEXT = "next"
PREFIX = "state."
KEPT_GENERATIONS = 2
MAX_FILE_BYTES = (
    file_format.MAX_BODY_BYTES + file_format.FILE_HEADER_FIELDS.size + file_format.CHECKSUM_BYTES
)


class Files(Protocol):
    """The operations that a folder needs. Every method raises OSError if its operation fails."""

    def names(self) -> list[str]:
        """Return the names of all files in the folder."""

    def read(self, name: str, max_bytes: int) -> bytes:
        """Return the file's first `max_bytes` bytes, or fewer if it is shorter."""

    def write(self, name: str, data: bytes) -> None:
        """Create or truncate the file, write the data and flush it to disk."""

    def rename(self, name: str, to: str) -> None:
        """Rename the file, replacing any file named `to`."""

    def flush(self) -> None:
        """Flush the folder's entries (file names) to disk."""

    def remove(self, name: str) -> None:
        """Remove the file from the folder."""


class ForeignFileError(Exception):
    """The folder holds a file that this program must not replace; the message names the file."""


def list_generations(files: Files) -> list[int]:
    """Return the numbers of the generations in the folder, latest first; ignore other files."""
    numbers = [name[len(PREFIX) :] for name in files.names() if name.startswith(PREFIX)]
    return sorted((int(number) for number in numbers if number.isdecimal()), reverse=True)


def load(
    files: Files, balancer: str, on_invalid: Callable[[str, str], None]
) -> tuple[Snapshot | None, int]:
    """Return the latest valid generation, or None, and the latest generation's number, or 0.

    Args:
        files: the folder.
        balancer: name of the balancer that must have written the state.
        on_invalid: called with the name of each invalid file and the reason.

    Raises:
        ForeignFileError: a newer version of the program or another balancer wrote a file.
        OSError: the folder can't be read.
    """
    numbers = list_generations(files)
    for number in numbers[:KEPT_GENERATIONS]:
        name = f"{PREFIX}{number}"
        try:
            snapshot = file_format.decode(files.read(name, MAX_FILE_BYTES + 1))
        except file_format.FormatError as error:
            if error.newer:
                raise ForeignFileError(f"{name}: {error}") from None
            on_invalid(name, str(error))
            continue
        except OSError as error:
            on_invalid(name, error.strerror or str(error))
            continue
        if snapshot.head.balancer != balancer:
            raise ForeignFileError(f"{name}: it is of balancer {snapshot.head.balancer!r}")
        return snapshot, numbers[0]
    return None, numbers[0] if numbers else 0


def save(files: Files, data: bytes, number: int) -> None:
    """Write generation `number`. Raise OSError if it fails; earlier generations then remain."""
    files.write(NEXT, data)
    files.rename(NEXT, f"{PREFIX}{number}")
    files.flush()
    for old in list_generations(files):
        if old <= number - KEPT_GENERATIONS:
            files.remove(f"{PREFIX}{old}")
