"""What a holder has written, in files of its member's folder: `copies.N`, N rising. No I/O of its own.

A file is a head and batches, chained and sealed like the agreed log's records (agreement/store.py): a last batch that is cut short or
has sectors that were never written was never acknowledged, and goes; anything else that is wrong is damage, and what this holder
had counts as lost. Each begins with who wrote it, at which start, and how all its parts stood; the one before it goes once every
id in it has been held for its time, so nothing is ever rewritten.

A folder in which the newest file is of another member, or not of the start just before this one, was put back from a copy, or holds
what a start that failed left: what it has counts as lost."""

from collections.abc import Callable
from typing import Any

import msgspec

from cypresswalk.agreement.store import (
    MAGIC,
    RECORD,
    Files,
    Guard,
    first_key,
    record_at,
    sealed_record,
    torn,
)
from cypresswalk.copies.messages import (
    PartitionReceived,
    PartitionStatus,
    RecordStored,
    ViewBegun,
    ViewSealed,
    encode,
)

PREFIX = "copies."
HEAD, BATCH = 1, 2
SEGMENT = 16 << 20  # bytes after which a new file is begun
LARGEST = 1 << 30  # of a file: a part brought here whole stands in one batch
TOTAL = 8 << 30  # of all; beyond them the disk counts as full


class Head(msgspec.Struct, frozen=True, array_like=True):
    version: int
    member: str
    boot: int
    stands: list[PartitionStatus]
    before: tuple[int, int] = (0, 0)  # a file that was cut off when this one was begun, and where


heads = msgspec.msgpack.Decoder(Head)
batches = msgspec.msgpack.Decoder(list[RecordStored | ViewBegun | ViewSealed | PartitionReceived])


class DataLostError(Exception):
    """What this holder had can't be relied on; the message says why."""


class RecordLog:
    """Raises OSError where the disk fails: the owner reads all anew before it says another word."""

    def __init__(self, files: Files):
        self.files, self.broken = files, False
        self.number, self.key, self.size = 0, b"", 0
        self.member, self.boot = "", 0
        self.ends: dict[int, int] = {}  # by file: until when its latest id is held
        self.cut: tuple[int, int] = (0, 0)

    def numbers(self) -> list[int]:
        found = [name[len(PREFIX) :] for name in self.files.names() if name.startswith(PREFIX)]
        return sorted(int(text) for text in found if text.isdecimal())

    # Reading.

    def load(self, member: str, boots: tuple[int, ...], told: Callable[[str], None]) -> list[Any]:
        """All that was written, in its order; nothing where there is no file. `boots`: the starts of which the newest file may be.
        Raises Lost, OSError."""
        written: list[Any] = []
        numbers = self.numbers()
        self.number, self.ends, self.cut = max(numbers, default=0), {}, (0, 0)
        for number in numbers:
            head, values, sound, cut = self.read(number)
            # What was cut off once stays there: the next file says so. Anywhere else it was whole once.
            if self.cut != (0, 0) and head.before != self.cut:
                raise DataLostError(f"{PREFIX}{self.cut[0]}: damaged at byte {self.cut[1]}")
            self.cut = (number, sound) if cut else (0, 0)
            if number == numbers[-1] and (head.member, head.boot in boots) != (member, True):
                raise DataLostError(
                    f"{PREFIX}{number}: it is of {head.member}, start {head.boot}, not of {member}, start {boots[0]}"
                )
            if not written:
                written += head.stands
            written += values
            self.ends[number] = max((end_of(value) for value in values), default=0)
            if cut:
                told(
                    f"{PREFIX}{number}: {cut} bytes of a batch that was never acknowledged are cut off"
                )
        return written

    def read(self, number: int) -> tuple[Head, list[Any], int, int]:
        """Also how many bytes are sound, and how many are not."""
        name = f"{PREFIX}{number}"
        data = self.files.read(name, LARGEST)
        if data[: len(MAGIC)] != MAGIC:
            raise DataLostError(f"{name}: no file of copies")
        at, key, head, values = len(MAGIC), first_key(number), None, []
        while at < len(data):
            found = record_at(data, at, key)
            if found is None:
                if head is None or not torn(data, at):
                    raise DataLostError(f"{name}: damaged at byte {at}")
                break
            kind, body, key = found
            try:
                if head is None:
                    head = heads.decode(body)
                else:
                    values += batches.decode(body)
            except msgspec.DecodeError as error:
                raise DataLostError(
                    f"{name}: what stands at byte {at} can't be read: {error}"
                ) from None
            at += RECORD.size + len(body)
        if head is None:
            raise DataLostError(f"{name}: it ends before its head")
        return head, values, at, len(data) - at

    # Writing.

    def clear(self) -> None:
        """All that is there counts as lost."""
        with Guard(self):
            for number in self.numbers():
                self.files.remove(f"{PREFIX}{number}")
            self.files.flush()
            self.ends, self.cut = {}, (0, 0)

    def begin(self, member: str, boot: int, stands: list[PartitionStatus]) -> None:
        """A new file, at each start and after each SEGMENT bytes. Its name stands only once it is whole."""
        number = self.number + 1
        body = encode(Head(1, member, boot, stands, self.cut))
        data, key = sealed_record(first_key(number), HEAD, body)
        with Guard(self):
            self.files.write("copies", MAGIC + data)
            self.files.rename("copies", f"{PREFIX}{number}")
            self.files.flush()
        self.number, self.key, self.size = number, key, len(data)
        self.member, self.boot = member, boot
        self.ends[number], self.cut = 0, (0, 0)

    def write(self, values: list[Any], stands: Callable[[], list[PartitionStatus]]) -> None:
        """Flushed when it returns."""
        if self.broken:
            raise OSError(5, "an earlier write failed")
        data, key = sealed_record(self.key, BATCH, encode(values))
        with Guard(self):
            self.files.add(f"{PREFIX}{self.number}", data)
        self.key, self.size = key, self.size + len(data)
        self.ends[self.number] = max(self.ends[self.number], max(end_of(value) for value in values))
        if self.size > SEGMENT:
            self.begin(self.member, self.boot, stands())

    def drop(self, now: int) -> None:
        """Files before the newest go, the oldest first, once all in them has been held for its time (`now`: wall time)."""
        for number in sorted(self.ends):
            if number == self.number or self.ends[number] >= now:
                return
            with Guard(self):
                self.files.remove(f"{PREFIX}{number}")
            del self.ends[number]


def end_of(value: Any) -> int:
    match value:
        case RecordStored(record=record):
            return record.until
        case PartitionReceived(records=records):
            return max((record.until for record in records), default=0)
    return 0
