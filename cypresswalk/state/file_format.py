r"""The file format of persisted state: a file header of fixed size, then chunks.

    magic "CWSTATE\n" | version u16 | length of chunks u64 | BLAKE2b-128 of all else | chunks
    chunk: kind u8 ("h" head, "s" servers, "i" ids, "e" end) | length u32 | MessagePack

No I/O. Integers are little-endian. Chunks are encoded one by one, since encoding ten thousand
servers at once would hold the interpreter's lock, and so block the deciding thread, for ten
milliseconds. The checksum is BLAKE2b (RFC 7693); it detects any flipped bit in the file header or
the chunks. msgspec checks types as it decodes, so invalid contents under a valid checksum are
refused too.
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
FILE_HEADER_FIELDS = struct.Struct("<8sHQ")  # the file header without its checksum
CHECKSUM_BYTES = 16
CHUNK_HEADER = struct.Struct("<cI")  # a chunk's kind and length
# A hundred thousand ids and servers take a tenth of this size.
MAX_BODY_BYTES = 64 << 20
STATES = {state.value for state in ServerState}

encoder = msgspec.msgpack.Encoder()
header_decoder = msgspec.msgpack.Decoder(Header)
servers_decoder = msgspec.msgpack.Decoder(list[ServerRecord])
ids_decoder = msgspec.msgpack.Decoder(list[tuple[int, int]])


class FormatError(Exception):
    """The file is invalid, or the state too large for one; the message gives the reason.

    Attributes:
        newer: whether a newer version of this program wrote the file.
    """

    def __init__(self, reason: str, newer: bool = False):
        """Take the message; `newer` as in the attribute."""
        super().__init__(reason)
        self.newer = newer


def encode_chunk(kind: bytes, value: object) -> bytes:
    """Return a value encoded as a chunk of that kind."""
    data = encoder.encode(value)
    return CHUNK_HEADER.pack(kind, len(data)) + data


def encode_file(chunks: Iterable[bytes]) -> bytes:
    """Return a file of these chunks. Raise FormatError if it exceeds MAX_BODY_BYTES."""
    body = b"".join(chunks) + encode_chunk(b"e", None)
    if len(body) > MAX_BODY_BYTES:
        raise FormatError(f"{len(body)} bytes, more than {MAX_BODY_BYTES}")
    header_fields = FILE_HEADER_FIELDS.pack(MAGIC, VERSION, len(body))
    return header_fields + compute_checksum(header_fields, body) + body


def compute_checksum(header_fields: bytes, body: bytes) -> bytes:
    """Return the checksum of the file header's other fields and the chunks."""
    checksum = blake2b(header_fields, digest_size=CHECKSUM_BYTES)
    checksum.update(body)
    return checksum.digest()


def encode(snapshot: Snapshot) -> bytes:
    """Return the file of a snapshot, which is encoded in one go."""
    chunks = [
        encode_chunk(b"h", snapshot.head),
        encode_chunk(b"s", snapshot.servers),
        encode_chunk(b"i", snapshot.ids),
    ]
    return encode_file(chunks)


def decode(data: bytes) -> Snapshot:
    """Return a file's snapshot. Raise FormatError if it is invalid; check the checksum first."""
    if len(data) < FILE_HEADER_FIELDS.size + CHECKSUM_BYTES:
        raise FormatError(f"{len(data)} bytes, shorter than the file header")
    magic, version, length = FILE_HEADER_FIELDS.unpack_from(data)
    if magic != MAGIC:
        raise FormatError("not a state file")
    body = data[FILE_HEADER_FIELDS.size + CHECKSUM_BYTES :]
    if length != len(body):
        raise FormatError(f"{len(body)} bytes follow the file header, {length} are stated there")
    if (
        compute_checksum(data[: FILE_HEADER_FIELDS.size], body)
        != data[FILE_HEADER_FIELDS.size : FILE_HEADER_FIELDS.size + CHECKSUM_BYTES]
    ):
        raise FormatError("the checksum does not match")
    if version > VERSION:
        raise FormatError(f"version {version}, this program reads up to {VERSION}", newer=True)
    if version < 1:
        raise FormatError(f"version {version}")
    try:
        return build_snapshot(list(read_chunks(body)))
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError, struct.error) as error:
        raise FormatError(str(error)) from None


def read_chunks(body: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Yield each chunk's kind and data. Raise ValueError or struct.error if one is truncated."""
    offset = 0
    while offset < len(body):
        kind, length = CHUNK_HEADER.unpack_from(body, offset)
        offset += CHUNK_HEADER.size
        if offset + length > len(body):
            raise ValueError("a chunk is truncated")
        yield kind, body[offset : offset + length]
        offset += length


def build_snapshot(chunks: list[tuple[bytes, bytes]]) -> Snapshot:
    """Return the snapshot that the chunks hold. Raise ValueError or an error of msgspec."""
    if not chunks or chunks[0][0] != b"h" or chunks[-1][0] != b"e":
        raise ValueError("no head chunk at the start or no end chunk at the end")
    snapshot = Snapshot(header_decoder.decode(chunks[0][1]), [], [])
    for kind, data in chunks[1:-1]:
        if kind == b"s":
            snapshot.servers += servers_decoder.decode(data)
        elif kind == b"i":
            snapshot.ids += ids_decoder.decode(data)
        else:
            raise ValueError(f"unknown chunk kind {kind!r}")
    for server in snapshot.servers:
        check_server(server)
    return snapshot


def check_server(server: ServerRecord) -> None:
    """Raise ValueError if a field is out of its range."""
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
        raise ValueError(f"server {server.id}: a value out of its range")
    if any(not math.isfinite(total) for total, _ in (server.slow_start_spent, server.recent_drops)):
        raise ValueError(f"server {server.id}: a sum is not a finite number")
