"""Chains of records in a file; each record has a seal, a hash keyed by the preceding seal.

    u32 length of the body | u8 kind | u32 CRC of these two | BLAKE2b-128 seal | body

The seal covers length, kind and body. Its key is the seal of the preceding record; the key of the
first record is derived from the file's number. Numbers are little-endian.

A reader distinguishes a torn tail from damage, as in Alagappan et al., "Protocol-Aware Recovery for
Consensus-Based Storage" (FAST 2018): a last record that is truncated, or has sectors that were
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
SECTOR = 512  # bytes; a disk writes a sector completely or not at all


class ChainDamagedError(Exception):
    """A corrupt record, as opposed to a torn tail.

    Attributes:
        file: name of the file.
        offset: offset of the record in the file, in bytes.
    """

    def __init__(self, file: str, offset: int):
        """Create the error for the record at `offset` of `file`."""
        super().__init__(f"{file}: damaged at byte {offset}")
        self.file = file
        self.offset = offset


class Record(NamedTuple):
    """A record that was read.

    Attributes:
        kind: kind of the record, defined by the store.
        body: encoded content.
        seal: seal of the record, and key of the next one.
    """

    kind: int
    body: bytes
    seal: bytes


def first_key(file_number: int) -> bytes:
    """Return the key of a file's first record."""
    return blake2b(b"%s%d/%d" % (MAGIC, KEY_VERSION, file_number), digest_size=16).digest()


def seal_record(key: bytes, kind: int, body: bytes) -> tuple[bytes, bytes]:
    """Return the record's bytes and its seal, which is the key of the next record."""
    seal = _seal(key, kind, body)
    return HEADER.pack(len(body), kind, _header_crc(len(body), kind), seal) + body, seal


def record_at(data: bytes, offset: int, key: bytes) -> Record | None:
    """Return the record at `offset`, or None if it is truncated or corrupt."""
    if offset + HEADER.size > len(data):
        return None
    length, kind, crc, seal = HEADER.unpack_from(data, offset)
    start = offset + HEADER.size
    body = data[start : start + length]
    if crc != _header_crc(length, kind) or len(body) != length or _seal(key, kind, body) != seal:
        return None
    return Record(kind, body, seal)


class ChainReader:
    """Sequential reader of the records of one file.

    Attributes:
        file: name of the file.
        data: bytes of the file.
        record_offset: offset of the latest record, in bytes.
        end: offset of the end of the latest record, in bytes. After the last record, any bytes from
            there on are a torn tail.
        key: key of the next record.
    """

    def __init__(self, file: str, data: bytes, offset: int, file_number: int):
        """Start before the first record, at `offset`; errors contain the name `file`."""
        self.file = file
        self.data = data
        self.record_offset = offset
        self.end = offset
        self.key = first_key(file_number)

    def next_record(self, *, may_be_torn: bool) -> Record | None:
        """Return the next record; None at the end of the file or before a torn tail.

        Args:
            may_be_torn: whether the next record may be a torn tail; otherwise an incomplete record
                counts as damage.

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
    """Return whether the record is truncated, or has a sector that was never written."""
    if offset + HEADER.size > len(data):
        return True
    length, kind, crc, _ = HEADER.unpack_from(data, offset)
    # Without the CRC, an acknowledged record with a damaged length could pass for the start of a
    # longer one.
    is_truncated = crc == _header_crc(length, kind) and offset + HEADER.size + length > len(data)
    return is_truncated or _has_unwritten_sector(data, offset)


def _has_unwritten_sector(data: bytes, offset: int) -> bool:
    """Return whether a sector between `offset` and the end of the file is all zeros."""
    next_sector = offset - offset % SECTOR + SECTOR
    boundaries = [offset, *range(next_sector, len(data), SECTOR), len(data)]
    return any(
        not any(data[low:high]) for low, high in zip(boundaries, boundaries[1:], strict=False)
    )
