"""A replica's records on disk, in files `copies.N` of the member's folder. I/O uses `Folder`.

A file contains a header and batches, as a chain of sealed records (storage/record_chain.py). A torn
tail was never acknowledged and is cut off; after any other damage the replica's data counts as
lost. The header names the member that wrote the file and the number of its process start, and
contains the state of the partitions. A file is removed once all keys in it and in all older files
have expired, or after a compaction (copies/compaction.py).

If the newest file of a folder is from another member, or not from one of the starts just before
this one, the folder was restored from a copy or is left from a failed start, and its data counts as
lost.
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
NEW_FILE = "copies"  # the name of a file until its header is written
VERSION = 1

# Kinds of records.
HEAD = 1
BATCH = 2

SEGMENT_BYTES = 16 << 20  # size after which a new file is begun
MAX_FILE_BYTES = 1 << 30  # limit for reading; a fetched partition is one batch


class FileHead(msgspec.Struct, frozen=True, array_like=True):
    """The header: the first record of a file.

    `cut_file` is the number of the file whose torn tail was cut off before this file was begun, and
    the offset of the cut in bytes; (0, 0) if there was none.
    """

    version: int
    member: str
    boot: int
    partitions: list[PartitionStatus]
    cut_file: tuple[int, int] = (0, 0)


head_decoder = msgspec.msgpack.Decoder(FileHead)
batch_decoder = msgspec.msgpack.Decoder(list[StoredChange])


class FileContent(NamedTuple):
    """The content of a file; `end` is the offset of the first byte after its valid records."""

    head: FileHead
    changes: list[StoredChange]
    end: int
    torn_bytes: int


class RecordLog:
    """The log of a replica's changes on disk, in the order in which they happened.

    Methods raise OSError if the disk fails; the owner must then read all files again before it
    sends anything.
    """

    def __init__(self, folder: Folder):
        """Create a log that has not read its files yet."""
        self.folder = folder
        self.broken = False
        self.file_number = 0
        self.chain_key = b""
        self.member = ""
        self.boot = 0
        # By file number: the wall time in nanoseconds at which the last key in the file expires.
        self.expiry_times: dict[int, int] = {}
        self.file_sizes: dict[int, int] = {}  # bytes, by file number
        # The number of the file whose tail was found torn, and the offset of the cut in bytes.
        self.cut_file: tuple[int, int] = (0, 0)

    @property
    def total_bytes(self) -> int:
        """Return the size of all files."""
        return sum(self.file_sizes.values())

    def file_numbers(self) -> list[int]:
        """Return the numbers of all files in ascending order."""
        prefix_length = len(FILE_PREFIX)
        found = [
            name[prefix_length:] for name in self.folder.names() if name.startswith(FILE_PREFIX)
        ]
        return sorted(int(text) for text in found if text.isdecimal())

    # Reading.

    def load(
        self, member: str, boots: tuple[int, ...], on_tail_cut: Callable[[str], None]
    ) -> list[StoredChange | PartitionStatus]:
        """Read all files; return the states in the first file's header, then all changes in order.

        Args:
            member: the id of the member that must have written the newest file.
            boots: the numbers of the process starts that may have written the newest file.
            on_tail_cut: a callback, called with a description of each torn tail that is ignored.

        Raises:
            DataLostError: the files are damaged, or are not the latest of this member.
            OSError: the folder can't be read.
        """
        changes: list[StoredChange | PartitionStatus] = []
        numbers = self.file_numbers()
        self.file_number = max(numbers, default=0)
        self.expiry_times = {}
        self.file_sizes = {}
        self.cut_file = (0, 0)
        for number in numbers:
            content = self._read(number)
            self.file_sizes[number] = content.end + content.torn_bytes
            # A torn tail stays in its file, and the header of the next file refers to it. Without
            # such a reference the tail was once intact, so data was lost.
            if self.cut_file != (0, 0) and content.head.cut_file != self.cut_file:
                file_number, offset = self.cut_file
                raise DataLostError(f"{FILE_PREFIX}{file_number}: damaged at byte {offset}")
            self.cut_file = (number, content.end) if content.torn_bytes else (0, 0)
            if number == numbers[-1]:
                _check_owner(number, content.head, member, boots)
            if not changes:
                changes += content.head.partitions
            changes += content.changes
            self.expiry_times[number] = max(map(_latest_expiry, content.changes), default=0)
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
            raise DataLostError(f"{name}: not a file of reservation records")
        reader = ChainReader(name, data, len(MAGIC), number)
        head: FileHead | None = None
        changes: list[StoredChange] = []
        try:
            # A file gets its name only once its header is flushed, so only a batch may be torn.
            while record := reader.next_record(may_be_torn=head is not None):
                if head is None:
                    head = head_decoder.decode(record.body)
                else:
                    changes += batch_decoder.decode(record.body)
        except ChainDamagedError as error:
            raise DataLostError(str(error)) from error
        except msgspec.DecodeError as error:
            raise DataLostError(
                f"{name}: the record at byte {reader.record_offset} can't be decoded: {error}"
            ) from error
        if head is None:
            raise DataLostError(f"{name}: the file ends before its header")
        return FileContent(head, changes, reader.end, len(data) - reader.end)

    # Writing.

    def clear(self) -> None:
        """Remove all files, since their data counts as lost."""
        with broken_on_failure(self):
            for number in self.file_numbers():
                self.folder.remove(f"{FILE_PREFIX}{number}")
            self.folder.flush()
            self.expiry_times = {}
            self.file_sizes = {}
            self.cut_file = (0, 0)

    def begin_file(self, member: str, boot: int, partitions: list[PartitionStatus]) -> None:
        """Begin a new file, at each process start and when the last one is full."""
        number = self.file_number + 1
        body = encode(FileHead(VERSION, member, boot, partitions, self.cut_file))
        data, key = seal_record(first_key(number), HEAD, body)
        with broken_on_failure(self):
            self.folder.write(NEW_FILE, MAGIC + data)
            self.folder.rename(NEW_FILE, f"{FILE_PREFIX}{number}")
            self.folder.flush()
        self.file_number = number
        self.chain_key = key
        self.file_sizes[number] = len(MAGIC) + len(data)
        self.member = member
        self.boot = boot
        self.expiry_times[number] = 0
        self.cut_file = (0, 0)

    def begin_next_file(self, partitions: list[PartitionStatus]) -> None:
        """Begin a new file of the same member and start."""
        self.begin_file(self.member, self.boot, partitions)

    def write(
        self, changes: list[StoredChange], partitions: Callable[[], list[PartitionStatus]]
    ) -> None:
        """Write and flush a batch.

        `partitions` is called if a new file is begun, and returns the states for its header.

        Raises:
            OSError: this write or an earlier one failed.
        """
        require_unbroken(self)
        data, key = seal_record(self.chain_key, BATCH, encode(changes))
        with broken_on_failure(self):
            self.folder.append(f"{FILE_PREFIX}{self.file_number}", data)
        self.chain_key = key
        self.file_sizes[self.file_number] += len(data)
        latest = max(_latest_expiry(change) for change in changes)
        self.expiry_times[self.file_number] = max(self.expiry_times[self.file_number], latest)
        if self.file_sizes[self.file_number] > SEGMENT_BYTES:
            self.begin_next_file(partitions())

    def remove_expired_files(self, now: int) -> None:
        """Remove old files, from the oldest up to the first with a key that has not expired.

        `now` is wall time in nanoseconds.
        """
        for number in sorted(self.expiry_times):
            if number == self.file_number or self.expiry_times[number] >= now:
                return
            self._remove(number)

    def remove_files_before(self, first: int) -> None:
        """Remove all files before the one with this number, the oldest first."""
        for number in sorted(self.expiry_times):
            if number >= first:
                return
            self._remove(number)

    def _remove(self, number: int) -> None:
        with broken_on_failure(self):
            self.folder.remove(f"{FILE_PREFIX}{number}")
            # Otherwise a crash could leave an older file without a later one.
            self.folder.flush()
        del self.expiry_times[number]
        del self.file_sizes[number]


def _check_owner(number: int, head: FileHead, member: str, boots: tuple[int, ...]) -> None:
    if head.member != member or head.boot not in boots:
        raise DataLostError(
            f"{FILE_PREFIX}{number}: it belongs to {head.member}, start {head.boot}, "
            f"not to {member}, start {boots[0]}"
        )


def _latest_expiry(change: StoredChange) -> int:
    """Return the wall time at which the last key of a change expires; 0 if it has no keys."""
    match change:
        case RecordStored(record=record):
            return record.held_until
        case PartitionReceived(records=records):
            return max((record.held_until for record in records), default=0)
    return 0
