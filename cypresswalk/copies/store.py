"""A replica's records on disk, in files `copies.N` of its member's folder. No I/O of its own.

A file holds a header and batches, as a chain of sealed records (storage/record_chain.py): a torn
tail was never acknowledged and is cut off; any other damage means that what this replica had is
lost. The header says who wrote the file, at which start, and in which state its partitions were. A
file is removed once every key in it has been held for its time, so nothing is ever rewritten.

A folder whose newest file is of another member, or not of the start just before this one, was
restored from a copy, or holds what a failed start left: what it has counts as lost.
"""

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from cypresswalk.copies.effects import StoredChange
from cypresswalk.copies.errors import DataLostError
from cypresswalk.copies.messages import (
    PartitionReceived,
    PartitionStatus,
    RecordStored,
    encode,
)
from cypresswalk.storage.folder import Folder, broken_on_failure, require_unbroken
from cypresswalk.storage.record_chain import (
    MAGIC,
    ChainDamagedError,
    ChainReader,
    first_key,
    seal_record,
)

FILE_PREFIX = "copies."
NEW_FILE = "copies"
VERSION = 1

# Kinds of a record.
HEAD = 1
BATCH = 2

SEGMENT_BYTES = 16 << 20  # after which a new file is begun
MAX_FILE_BYTES = 1 << 30  # a whole partition that was fetched is one batch


class FileHead(msgspec.Struct, frozen=True, array_like=True):
    """The first record of a file.

    `cut_file` names the file whose torn tail was cut off when this one was begun, and the byte; (0,
    0) if none.
    """

    version: int
    member: str
    boot: int
    partitions: list[PartitionStatus]
    cut_file: tuple[int, int] = (0, 0)


head_decoder = msgspec.msgpack.Decoder(FileHead)
batch_decoder = msgspec.msgpack.Decoder(list[StoredChange])


class FileContent(NamedTuple):
    """What a file holds; `end` is the first byte after its sound records."""

    head: FileHead
    changes: list[StoredChange]
    end: int
    torn_bytes: int


class RecordLog:
    """A replica's changes on disk, in the order in which they happened.

    Methods raise OSError where the disk fails; the owner then reads everything anew before it sends
    anything.
    """

    def __init__(self, folder: Folder):
        """Nothing is read yet."""
        self.folder = folder
        self.broken = False
        self.number = 0
        self.key = b""
        self.size = 0
        self.member = ""
        self.boot = 0
        # By file: until when (wall time, nanoseconds) its latest key is held.
        self.held_until: dict[int, int] = {}
        # The file whose tail was found torn, and the byte.
        self.cut_file: tuple[int, int] = (0, 0)

    def numbers(self) -> list[int]:
        """Of all files, rising."""
        prefix = len(FILE_PREFIX)
        found = [name[prefix:] for name in self.folder.names() if name.startswith(FILE_PREFIX)]
        return sorted(int(text) for text in found if text.isdecimal())

    # Reading.

    def load(
        self, member: str, boots: tuple[int, ...], on_tail_cut: Callable[[str], None]
    ) -> list[StoredChange | PartitionStatus]:
        """All changes, in order, after the states that the first file begins with.

        Args:
            member: of whom the newest file must be.
            boots: the starts of which the newest file may be.
            on_tail_cut: called with a text where a torn tail is ignored.

        Raises:
            DataLostError: the files are damaged, or not this member's latest.
            OSError: the folder can't be read.
        """
        changes: list[StoredChange | PartitionStatus] = []
        numbers = self.numbers()
        self.number = max(numbers, default=0)
        self.held_until = {}
        self.cut_file = (0, 0)
        for number in numbers:
            content = self._read(number)
            # A torn tail stays in its file: the next file names it. Any other was whole once.
            if self.cut_file != (0, 0) and content.head.cut_file != self.cut_file:
                file_number, offset = self.cut_file
                raise DataLostError(f"{FILE_PREFIX}{file_number}: damaged at byte {offset}")
            self.cut_file = (number, content.end) if content.torn_bytes else (0, 0)
            if number == numbers[-1]:
                _check_owner(number, content.head, member, boots)
            if not changes:
                changes += content.head.partitions
            changes += content.changes
            self.held_until[number] = max(map(_held_until, content.changes), default=0)
            if content.torn_bytes:
                on_tail_cut(
                    f"{FILE_PREFIX}{number}: {content.torn_bytes} bytes of a batch "
                    "that was never acknowledged are cut off"
                )
        return changes

    def _read(self, number: int) -> FileContent:
        name = f"{FILE_PREFIX}{number}"
        data = self.folder.read(name, MAX_FILE_BYTES)
        if data[: len(MAGIC)] != MAGIC:
            raise DataLostError(f"{name}: no file of copies")
        reader = ChainReader(name, data, len(MAGIC), number)
        head: FileHead | None = None
        changes: list[StoredChange] = []
        try:
            # A file gets its name once its head is flushed: only a batch may be torn.
            while record := reader.next_record(may_be_torn=head is not None):
                if head is None:
                    head = head_decoder.decode(record.body)
                else:
                    changes += batch_decoder.decode(record.body)
        except ChainDamagedError as error:
            raise DataLostError(str(error)) from error
        except msgspec.DecodeError as error:
            raise DataLostError(
                f"{name}: what stands at byte {reader.record_offset} can't be read: {error}"
            ) from error
        if head is None:
            raise DataLostError(f"{name}: it ends before its head")
        return FileContent(head, changes, reader.end, len(data) - reader.end)

    # Writing.

    def clear(self) -> None:
        """Removes all files, since what they hold counts as lost."""
        with broken_on_failure(self):
            for number in self.numbers():
                self.folder.remove(f"{FILE_PREFIX}{number}")
            self.folder.flush()
            self.held_until = {}
            self.cut_file = (0, 0)

    def begin(self, member: str, boot: int, partitions: list[PartitionStatus]) -> None:
        """Begins a file, at each start and after each segment."""
        number = self.number + 1
        body = encode(FileHead(VERSION, member, boot, partitions, self.cut_file))
        data, key = seal_record(first_key(number), HEAD, body)
        with broken_on_failure(self):
            self.folder.write(NEW_FILE, MAGIC + data)
            self.folder.rename(NEW_FILE, f"{FILE_PREFIX}{number}")
            self.folder.flush()
        self.number = number
        self.key = key
        self.size = len(data)
        self.member = member
        self.boot = boot
        self.held_until[number] = 0
        self.cut_file = (0, 0)

    def write(
        self, changes: list[StoredChange], partitions: Callable[[], list[PartitionStatus]]
    ) -> None:
        """Writes a batch; flushed when it returns.

        `partitions` is called where a new file begins.

        Raises:
            OSError: this or an earlier write failed.
        """
        require_unbroken(self)
        data, key = seal_record(self.key, BATCH, encode(changes))
        with broken_on_failure(self):
            self.folder.add(f"{FILE_PREFIX}{self.number}", data)
        self.key = key
        self.size += len(data)
        latest = max(_held_until(change) for change in changes)
        self.held_until[self.number] = max(self.held_until[self.number], latest)
        if self.size > SEGMENT_BYTES:
            self.begin(self.member, self.boot, partitions())

    def drop_expired(self, now: int) -> None:
        """Removes older files, the oldest first, whose keys have all been held for their time.

        `now` is wall time in nanoseconds.
        """
        for number in sorted(self.held_until):
            if number == self.number or self.held_until[number] >= now:
                return
            with broken_on_failure(self):
                self.folder.remove(f"{FILE_PREFIX}{number}")
            del self.held_until[number]


def _check_owner(number: int, head: FileHead, member: str, boots: tuple[int, ...]) -> None:
    if head.member != member or head.boot not in boots:
        raise DataLostError(
            f"{FILE_PREFIX}{number}: it is of {head.member}, start {head.boot}, "
            f"not of {member}, start {boots[0]}"
        )


def _held_until(change: StoredChange) -> int:
    """Until when the change's keys are held; 0 if it has none."""
    match change:
        case RecordStored(record=record):
            return record.held_until
        case PartitionReceived(records=records):
            return max((record.held_until for record in records), default=0)
    return 0
