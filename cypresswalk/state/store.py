"""In which order a generation is written and read, on any file layer. No I/O of its own.

A generation is written to `next`, flushed, renamed to `state.N`, and the folder flushed; only then is the one before the
last removed. So at any moment that the power fails the folder holds the last generation that was reported written, whole
(Pillai et al., "All File Systems Are Not Created Equal", OSDI 2014: without the flush before the rename the new name may
come to an empty file; without the folder's flush the rename itself may be lost)."""

from collections.abc import Callable
from typing import Protocol

from cypresswalk.state import file_format
from cypresswalk.state.snapshot import Snapshot

NEXT, PREFIX, KEEP = "next", "state.", 2


class Files(Protocol):
    """One folder. Each call raises OSError where it fails."""

    def names(self) -> list[str]: ...
    def read(self, name: str, most: int) -> bytes: ...
    def write(self, name: str, data: bytes) -> None: ...  # created or emptied, written, flushed
    def rename(self, name: str, to: str) -> None: ...
    def flush(self) -> None: ...  # the folder itself
    def remove(self, name: str) -> None: ...


class ForeignFileError(Exception):
    """The folder holds a file that is not this program's to replace; the message says which and why."""


def generations(files: Files) -> list[int]:
    """The latest first. Other names are nobody's business."""
    numbers = [name[len(PREFIX) :] for name in files.names() if name.startswith(PREFIX)]
    return sorted((int(number) for number in numbers if number.isdecimal()), reverse=True)


def load(
    files: Files, balancer: str, told: Callable[[str, str], None]
) -> tuple[Snapshot | None, int]:
    """The latest generation that can be believed, or None, and the latest number there is. `told` gets a file and the
    reason for each that can't. Raises ForeignFile for one of a newer version or of another balancer, OSError where the folder
    can't be read."""
    numbers = generations(files)
    for number in numbers[:KEEP]:
        name = f"{PREFIX}{number}"
        try:
            kept = file_format.decode(
                files.read(
                    name, file_format.LARGEST + file_format.FIXED.size + file_format.DIGEST + 1
                )
            )
        except file_format.FormatError as error:
            if error.newer:
                raise ForeignFileError(f"{name}: {error}") from None
            told(name, str(error))
            continue
        except OSError as error:
            told(name, error.strerror or str(error))
            continue
        if kept.head.balancer != balancer:
            raise ForeignFileError(f"{name}: it is of balancer {kept.head.balancer!r}")
        return kept, numbers[0]
    return None, numbers[0] if numbers else 0


def save(files: Files, data: bytes, number: int) -> None:
    """As generation `number`. Raises OSError; then the generations before still stand."""
    files.write(NEXT, data)
    files.rename(NEXT, f"{PREFIX}{number}")
    files.flush()
    for old in generations(files):
        if old <= number - KEEP:
            files.remove(f"{PREFIX}{old}")
