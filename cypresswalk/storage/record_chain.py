"""Records that follow each other in a file, each sealed with the seal of the one before.

    u32 length of the body | u8 kind | u32 CRC of these two | BLAKE2b-128 seal | body

The seal covers length, kind and body and is keyed by the seal before it; the first is keyed by the
file's number. Numbers are little-endian.

A reader tells a torn tail from damage, as in Alagappan et al., "Protocol-Aware Recovery for
Consensus-Based Storage" (FAST 2018): a last record that is cut short, or has sectors that were
never written, was never acknowledged.
"""

import struct
from hashlib import blake2b
from typing import NamedTuple
from zlib import crc32

MAGIC = b"CWAGREE\n"
KEY_VERSION = 1
HEADER = struct.Struct("<IBI16s")
LENGTH_AND_KIND = struct.Struct("<IB")
SECTOR = 512  # bytes that a disk writes whole or not at all


class ChainDamagedError(Exception):
    """A record that was whole once is not any more.

    Attributes:
        file: its name.
        offset: of the record, in bytes.
    """

    def __init__(self, file: str, offset: int):
        """Names the file and the record's offset in bytes."""
        super().__init__(f"{file}: damaged at byte {offset}")
        self.file = file
        self.offset = offset


class Record(NamedTuple):
    """A record that was read; its seal is the key of the next one."""

    kind: int
    body: bytes
    seal: bytes


def first_key(file_number: int) -> bytes:
    """The key of a file's first record."""
    return blake2b(b"%s%d/%d" % (MAGIC, KEY_VERSION, file_number), digest_size=16).digest()


def seal_record(key: bytes, kind: int, body: bytes) -> tuple[bytes, bytes]:
    """The record's bytes and its seal, the key of the next one."""
    seal = _seal(key, kind, body)
    return HEADER.pack(len(body), kind, _header_crc(len(body), kind), seal) + body, seal


def record_at(data: bytes, offset: int, key: bytes) -> Record | None:
    """The record at that offset, or None if it is not whole."""
    if offset + HEADER.size > len(data):
        return None
    length, kind, crc, seal = HEADER.unpack_from(data, offset)
    start = offset + HEADER.size
    body = data[start : start + length]
    if crc != _header_crc(length, kind) or len(body) != length or _seal(key, kind, body) != seal:
        return None
    return Record(kind, body, seal)


class ChainReader:
    """Reads the records of one file, one after the other.

    Attributes:
        record_offset: of the latest record, in bytes.
        end: of the latest record, in bytes; what follows at the end of reading is a torn tail.
        key: of the next record.
    """

    def __init__(self, file: str, data: bytes, offset: int, file_number: int):
        """The first record stands at `offset`; `file` is named in errors."""
        self.file = file
        self.data = data
        self.record_offset = offset
        self.end = offset
        self.key = first_key(file_number)

    def next_record(self, *, may_be_torn: bool) -> Record | None:
        """The next record; None at the end, or, if it may be torn, before a torn tail.

        Raises:
            ChainDamagedError: the next record is damaged.
        """
        if self.end >= len(self.data):
            return None
        record = record_at(self.data, self.end, self.key)
        if record is None:
            if not may_be_torn or not _is_torn(self.data, self.end):
                raise ChainDamagedError(self.file, self.end)
            return None
        self.record_offset = self.end
        self.end += HEADER.size + len(record.body)
        self.key = record.seal
        return record


def _seal(key: bytes, kind: int, body: bytes) -> bytes:
    message = LENGTH_AND_KIND.pack(len(body), kind) + body
    return blake2b(message, key=key, digest_size=16).digest()


def _header_crc(length: int, kind: int) -> int:
    return crc32(LENGTH_AND_KIND.pack(length, kind))


def _is_torn(data: bytes, offset: int) -> bool:
    """Whether a crash cut the record short, or left a sector of it unwritten."""
    if offset + HEADER.size > len(data):
        return True
    length, kind, crc, _ = HEADER.unpack_from(data, offset)
    # Without its CRC a damaged length would let an acknowledged record pass for the begin of a
    # longer one.
    is_cut_short = crc == _header_crc(length, kind) and offset + HEADER.size + length > len(data)
    return is_cut_short or _has_unwritten_sector(data, offset)


def _has_unwritten_sector(data: bytes, offset: int) -> bool:
    """Whether a sector from there to the file's end reads as zeros."""
    next_sector = offset - offset % SECTOR + SECTOR
    borders = [offset, *range(next_sector, len(data), SECTOR), len(data)]
    return any(not any(data[low:high]) for low, high in zip(borders, borders[1:], strict=False))
