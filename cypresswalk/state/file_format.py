r"""The file format of persisted state: a head of fixed size, then chunks, under one checksum.

    magic "CWSTATE\n" | version u16 | length of the rest u64 | BLAKE2b-128 of the others | chunks
    chunk: kind u8 ("h" head, "s" servers, "i" ids, "e" end) | length u32 | MessagePack

No I/O. Little-endian. Chunks are encoded one by one: encoding ten thousand servers at once would
hold the interpreter's lock, and with it the deciding thread, for ten milliseconds. msgspec checks
types as it decodes, so that a file with a right checksum and wrong contents is refused too. The
checksum is BLAKE2b (RFC 7693); any bit flipped in the head or the body is seen.
"""

import math
import struct
from collections.abc import Iterable, Iterator
from hashlib import blake2b

import msgspec

from cypresswalk.model import ServerState
from cypresswalk.state.snapshot import Header, ServerRecord, Snapshot

MAGIC = b"CWSTATE\n"
VERSION = 1
FIXED = struct.Struct("<8sHQ")
DIGEST = 16  # bytes
PART = struct.Struct("<cI")
# A hundred thousand ids and servers take a tenth of it.
MAX_BODY_BYTES = 64 << 20
STATES = {state.value for state in ServerState}

encoder = msgspec.msgpack.Encoder()
heads = msgspec.msgpack.Decoder(Header)
servers = msgspec.msgpack.Decoder(list[ServerRecord])
ids = msgspec.msgpack.Decoder(list[tuple[int, int]])


class FormatError(Exception):
    """The file is invalid; the message says why.

    Attributes:
        newer: a later version of this program wrote it.
    """

    def __init__(self, reason: str, newer: bool = False):
        """As above."""
        super().__init__(reason)
        self.newer = newer


def part(kind: bytes, value: object) -> bytes:
    """One chunk."""
    data = encoder.encode(value)
    return PART.pack(kind, len(data)) + data


def whole(parts: Iterable[bytes]) -> bytes:
    """The file, from its chunks. Raises FormatError beyond the largest size."""
    body = b"".join(parts) + part(b"e", None)
    if len(body) > MAX_BODY_BYTES:
        raise FormatError(f"{len(body)} bytes, more than {MAX_BODY_BYTES}")
    fixed = FIXED.pack(MAGIC, VERSION, len(body))
    return fixed + digest(fixed, body) + body


def digest(fixed: bytes, body: bytes) -> bytes:
    """The checksum of the head's other fields and the body."""
    checksum = blake2b(fixed, digest_size=DIGEST)
    checksum.update(body)
    return checksum.digest()


def encode(snapshot: Snapshot) -> bytes:
    """The file, encoded at once."""
    parts = [part(b"h", snapshot.head), part(b"s", snapshot.servers), part(b"i", snapshot.ids)]
    return whole(parts)


def decode(data: bytes) -> Snapshot:
    """All of it, or a FormatError. Nothing is decoded before the checksum is right."""
    if len(data) < FIXED.size + DIGEST:
        raise FormatError(f"{len(data)} bytes, too short for a head")
    magic, version, length = FIXED.unpack_from(data)
    if magic != MAGIC:
        raise FormatError("no state file")
    body = data[FIXED.size + DIGEST :]
    if length != len(body):
        raise FormatError(f"{len(body)} bytes follow the head, {length} are named there")
    if digest(data[: FIXED.size], body) != data[FIXED.size : FIXED.size + DIGEST]:
        raise FormatError("the checksum is wrong")
    if version > VERSION:
        raise FormatError(f"version {version}, this program reads up to {VERSION}", newer=True)
    if version < 1:
        raise FormatError(f"version {version}")
    try:
        return build(list(chunks(body)))
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError, struct.error) as error:
        raise FormatError(str(error)) from None


def chunks(body: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Each chunk's kind and contents. Raises ValueError or struct.error where one is cut short."""
    at = 0
    while at < len(body):
        kind, length = PART.unpack_from(body, at)
        at += PART.size
        if at + length > len(body):
            raise ValueError("a chunk is cut short")
        yield kind, body[at : at + length]
        at += length


def build(found: list[tuple[bytes, bytes]]) -> Snapshot:
    """The snapshot from all chunks. Raises ValueError and msgspec's errors."""
    if not found or found[0][0] != b"h" or found[-1][0] != b"e":
        raise ValueError("no head or no end")
    snapshot = Snapshot(heads.decode(found[0][1]), [], [])
    for kind, data in found[1:-1]:
        if kind == b"s":
            snapshot.servers += servers.decode(data)
        elif kind == b"i":
            snapshot.ids += ids.decode(data)
        else:
            raise ValueError(f"a chunk of kind {kind!r}")
    for server in snapshot.servers:
        check(server)
    return snapshot


def check(server: ServerRecord) -> None:
    """Raises ValueError where a figure is out of its range."""
    if server.state not in STATES:
        raise ValueError(f"server {server.id}: state {server.state!r}")
    counts = (
        server.health,
        server.misses,
        server.errors,
        server.failed,
        server.answers,
        server.since,
    )
    if (
        min(counts) < 0
        or math.isnan(server.limit)
        or server.limit < 0
        or not math.isfinite(server.strain)
    ):
        raise ValueError(f"server {server.id}: a figure out of its range")
    if any(not math.isfinite(total) for total, _ in (server.dealt, server.drops)):
        raise ValueError(f"server {server.id}: a sum that is no number")
