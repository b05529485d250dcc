"""In which order a generation of the state is written and read, on any file layer.

No I/O of its own. A generation is written to `next`, flushed, renamed to `state.N`, and the folder
flushed; only then is the one before the last removed. So at any moment that the power fails the
folder holds the last generation that was reported written, complete (Pillai et al., "All File
Systems Are Not Created Equal", OSDI 2014: without the flush before the rename the new name may come
to an empty file; without the folder's flush the rename itself may be lost).
"""

from collections.abc import Callable
from typing import Protocol

from cypresswalk.state import file_format
from cypresswalk.state.snapshot import Snapshot

NEXT = "next"
PREFIX = "state."
KEPT_GENERATIONS = 2
MAX_FILE_BYTES = file_format.MAX_BODY_BYTES + file_format.FIXED.size + file_format.DIGEST


class Files(Protocol):
    """One folder. Each call raises OSError where it fails."""

    def names(self) -> list[str]:
        """Of all files in it."""

    def read(self, name: str, most: int) -> bytes:
        """At most so many bytes from the file's begin."""

    def write(self, name: str, data: bytes) -> None:
        """Creates or empties the file, writes and flushes it."""

    def rename(self, name: str, to: str) -> None:
        """Over whatever has that name."""

    def flush(self) -> None:
        """Flushes the folder itself."""

    def remove(self, name: str) -> None:
        """Takes the name out of the folder."""


class ForeignFileError(Exception):
    """The folder holds a file that this program may not replace; the message says which."""


def generations(files: Files) -> list[int]:
    """The numbers of those that are there, the latest first. Other names are passed over."""
    numbers = [name[len(PREFIX) :] for name in files.names() if name.startswith(PREFIX)]
    return sorted((int(number) for number in numbers if number.isdecimal()), reverse=True)


def load(
    files: Files, balancer: str, on_invalid: Callable[[str, str], None]
) -> tuple[Snapshot | None, int]:
    """The latest valid generation, or None, and the latest number there is.

    Args:
        files: the folder.
        balancer: whose state it must be.
        on_invalid: called with the name of each invalid file, and the reason.

    Raises:
        ForeignFileError: a file of a newer version or of another balancer.
        OSError: the folder can't be read.
    """
    numbers = generations(files)
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
    """Writes generation `number`. Raises OSError; then the generations before still stand."""
    files.write(NEXT, data)
    files.rename(NEXT, f"{PREFIX}{number}")
    files.flush()
    for old in generations(files):
        if old <= number - KEPT_GENERATIONS:
            files.remove(f"{PREFIX}{old}")
