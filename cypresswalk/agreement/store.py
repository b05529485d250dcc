"""In which order a member's log is written and read, on any file layer. No I/O of its own.

One file, `log.N`, of records that follow each other: u32 length | u8 kind | u32 CRC of these two | BLAKE2b-128 | body, each digest
keyed by the one before it, the first by the file's number. A record is added and flushed before any word that relies on it; a new snapshot
writes file N+1 whole (`next`, flushed, renamed, folder flushed) and removes N. Reading tells three things apart (as in
Alagappan et al., "Protocol-Aware Recovery for Consensus-Based Storage", FAST 2018): a last record that is cut short or has
sectors that were never written was never acknowledged, and goes; anything else that is wrong is damage, and this member must not vote under its name
again; a file of a newer form, of another member or fleet is left alone.

`witness` names the file's inode, written before the file gets its name: a folder put back from a copy has other inodes, or an
older witness than its file, and is found out before a word is said. What that does not see (a whole disk set back) the others
do: the leader by an append refused that was acknowledged, everyone by `boot`, which counts this member's starts."""

import struct
from collections.abc import Callable
from hashlib import blake2b
from typing import Protocol
from zlib import crc32

import msgspec

from cypresswalk.agreement.log import Snapshot, encode
from cypresswalk.agreement.messages import Entry
from cypresswalk.agreement.node import PersistentState, Ready

NEXT, PREFIX, WITNESS, LOST = "next", "log.", "witness", "lost."
MAGIC, VERSION = b"CWAGREE\n", 1
RECORD = struct.Struct("<IBI16s")
LARGEST = (
    256 << 20
)  # of a file: a snapshot and what the bounds of a log let stand beside it, many times over
SECTOR = 512  # what a disk writes whole or not at all
IDENTITY, SNAPSHOT, VOTE, ENTRY, TRUNCATE = range(1, 6)


class LogIdentity(msgspec.Struct, frozen=True, array_like=True):
    """Whose file it is. `boot` counts its starts."""

    fleet: str
    group: str
    member: str
    boot: int


class InodeWitness(msgspec.Struct, frozen=True, array_like=True):
    member: str
    files: list[tuple[int, int]]  # the number of a log file and its inode


class Files(Protocol):
    """One folder. Each call raises OSError where it fails."""

    def names(self) -> list[str]: ...
    def read(self, name: str, most: int) -> bytes: ...
    def write(self, name: str, data: bytes) -> None: ...  # created or emptied, written, flushed
    def add(self, name: str, data: bytes) -> None: ...  # at its end, flushed
    def inode(self, name: str) -> int: ...  # the same while the file is the same
    def rename(self, name: str, to: str) -> None: ...
    def flush(self) -> None: ...  # the folder itself
    def remove(self, name: str) -> None: ...


class DamagedLogError(Exception):
    """What was acknowledged may be lost; the message says where. This member is another one from now on."""


class ForeignFileError(Exception):
    """Not this program's to replace; the message says which file and why."""


witnesses = msgspec.msgpack.Decoder(InodeWitness)
votes = msgspec.msgpack.Decoder(tuple[int, str])
numbered = msgspec.msgpack.Decoder(tuple[int, Entry])
DECODERS = {
    IDENTITY: msgspec.msgpack.Decoder(LogIdentity),
    SNAPSHOT: msgspec.msgpack.Decoder(Snapshot),
    VOTE: votes,
    ENTRY: numbered,
    TRUNCATE: msgspec.msgpack.Decoder(int),
}


def first_key(number: int) -> bytes:
    return blake2b(b"%s%d/%d" % (MAGIC, VERSION, number), digest_size=16).digest()


def sealed(key: bytes, kind: int, body: bytes) -> bytes:
    return blake2b(struct.pack("<IB", len(body), kind) + body, key=key, digest_size=16).digest()


class Store:
    """Raises OSError where the disk fails: what was being written may or may not be there, and nothing may be written after it
    (a flush that failed once proves nothing when it succeeds later; Rebello et al., "Can Applications Recover from fsync
    Failures?", USENIX ATC 2020). The owner ends this member until its next start."""

    def __init__(self, files: Files):
        self.files, self.number, self.key, self.broken = files, 0, b"", False
        self.life: LogIdentity | None = None

    # Reading.

    def numbers(self) -> list[int]:
        found = [name[len(PREFIX) :] for name in self.files.names() if name.startswith(PREFIX)]
        return sorted((int(text) for text in found if text.isdecimal()), reverse=True)

    def load(self, fleet: str, name: str, told: Callable[[str], None]) -> PersistentState | None:
        """None where there is none. Raises Damaged, Foreign, OSError."""
        numbers = self.numbers()
        if not numbers:
            return None
        # The rename of a later one came to the disk, so it is whole: never an older one in its place.
        self.number = numbers[0]
        file = f"{PREFIX}{self.number}"
        data = self.files.read(file, LARGEST + 1)
        if len(data) > LARGEST:
            raise ForeignFileError(f"{file}: over {LARGEST} bytes")
        kept, sound = self.decode(file, data, fleet, name)
        self.check_witness(file)
        if sound < len(data):
            told(
                f"{file}: {len(data) - sound} bytes of a record that was never acknowledged are cut off"
            )
        return kept

    def check_witness(self, file: str) -> None:
        """Raises Damaged where this is not the file that was written here."""
        try:
            data = self.files.read(WITNESS, 4096)
            witness = witnesses.decode(data[16:])
        except (OSError, msgspec.DecodeError) as error:
            raise DamagedLogError(f"{WITNESS}: {error}") from None
        if data[:16] != blake2b(data[16:], digest_size=16).digest():
            raise DamagedLogError(f"{WITNESS}: the checksum is wrong")
        if (
            witness.member != self.life.member
            or (self.number, self.files.inode(file)) not in witness.files
        ):
            raise DamagedLogError(f"{file}: it was put back from a copy")

    def set_aside(self) -> None:
        """What was found can't be gone on from; one such file is kept for people to look at."""
        names = self.files.names()
        for name in names:
            if name.startswith(LOST):
                self.files.remove(name)
        for number in self.numbers():
            self.files.rename(f"{PREFIX}{number}", f"{LOST}{number}")
        self.files.flush()
        self.number = max(
            [self.number, *(int(n[len(LOST) :]) for n in names if n[len(LOST) :].isdecimal())]
        )
        self.life, self.broken = None, False

    def decode(self, file: str, data: bytes, fleet: str, name: str) -> tuple[PersistentState, int]:
        head = MAGIC + struct.pack("<H", VERSION)
        if data[: len(MAGIC)] != MAGIC:
            raise DamagedLogError(f"{file}: no log")
        (version,) = struct.unpack_from("<H", data, len(MAGIC)) if len(data) >= len(head) else (0,)
        if version > VERSION:
            raise ForeignFileError(f"{file}: version {version}, this program reads up to {VERSION}")
        at, key = len(head), first_key(self.number)
        life, kept = None, None
        while at < len(data):
            record = record_at(data, at, key)
            if record is None:
                if kept is None or not torn(data, at):
                    raise DamagedLogError(f"{file}: damaged at byte {at}")
                break
            kind, body, key = record
            at += RECORD.size + len(body)
            try:
                value = DECODERS[kind].decode(body)
            except (KeyError, msgspec.DecodeError) as error:
                raise DamagedLogError(
                    f"{file}: a record of kind {kind} can't be read: {error}"
                ) from None
            if kind == IDENTITY:
                life = value
                if life.fleet != fleet or life.member.partition("#")[0] != name:
                    raise ForeignFileError(
                        f"{file}: it is of {life.member.partition('#')[0]!r} in fleet {life.fleet!r}"
                    )
            elif kind == SNAPSHOT:
                kept = PersistentState(value)
            elif kept is None:
                raise DamagedLogError(f"{file}: it does not begin with a snapshot")
            elif kind == VOTE:
                kept.term, kept.voted = value
            elif kind == TRUNCATE:
                del kept.entries[max(value - kept.snapshot.index - 1, 0) :]
            elif value[0] != kept.snapshot.index + len(kept.entries) + 1:
                raise DamagedLogError(f"{file}: entry {value[0]} out of its place")
            else:
                kept.entries.append(value[1])
        if life is None or kept is None:
            raise DamagedLogError(f"{file}: it ends before its snapshot")
        self.life, self.key = life, key
        return kept, at

    # Writing.

    def begin(self, life: LogIdentity, kept: PersistentState) -> None:
        """A whole new file. At each start too: so a torn tail goes for good, and `boot` is on disk before a word is said."""
        self.life = life
        self.whole(
            kept.snapshot,
            (kept.term, kept.voted),
            list(enumerate(kept.entries, kept.snapshot.index + 1)),
        )

    def whole(
        self, snapshot: Snapshot, vote: tuple[int, str], entries: list[tuple[int, Entry]]
    ) -> None:
        number = self.number + 1
        parts = [
            (IDENTITY, self.life),
            (SNAPSHOT, snapshot),
            (VOTE, vote),
            *((ENTRY, entry) for entry in entries),
        ]
        data, key = self.records(parts, first_key(number))
        with Guard(self):
            self.files.write(NEXT, MAGIC + struct.pack("<H", VERSION) + data)
            places = [(number, self.files.inode(NEXT))]
            if self.number in self.numbers():
                places.append((self.number, self.files.inode(f"{PREFIX}{self.number}")))
            body = encode(InodeWitness(self.life.member, places))
            self.files.write(f"{WITNESS}.{NEXT}", blake2b(body, digest_size=16).digest() + body)
            self.files.rename(f"{WITNESS}.{NEXT}", WITNESS)
            self.files.flush()
            self.files.rename(NEXT, f"{PREFIX}{number}")
            self.files.flush()
            self.number, self.key = number, key
            for old in self.numbers():
                if old < number:
                    self.files.remove(f"{PREFIX}{old}")

    def records(self, parts: list[tuple[int, object]], key: bytes) -> tuple[bytes, bytes]:
        out = []
        for kind, value in parts:
            body = encode(value)
            data, key = sealed_record(key, kind, body)
            out.append(data)
        return b"".join(out), key

    def write(self, work: Ready) -> None:
        """All of it, flushed; or OSError."""
        if self.broken:
            raise OSError(5, "an earlier write failed")
        if work.snapshot is not None:
            self.whole(work.snapshot, work.vote, work.entries)
            return
        parts: list[tuple[int, object]] = []
        if work.cut is not None:
            parts.append((TRUNCATE, work.cut))
        if work.vote is not None:
            parts.append((VOTE, work.vote))
        parts += [(ENTRY, entry) for entry in work.entries]
        if parts:
            data, key = self.records(parts, self.key)
            with Guard(self):
                self.files.add(f"{PREFIX}{self.number}", data)
                self.key = key


def sealed_record(key: bytes, kind: int, body: bytes) -> tuple[bytes, bytes]:
    seal = sealed(key, kind, body)
    return RECORD.pack(len(body), kind, head_sum(len(body), kind), seal) + body, seal


def record_at(data: bytes, at: int, key: bytes) -> tuple[int, bytes, bytes] | None:
    if at + RECORD.size > len(data):
        return None
    length, kind, crc, seal = RECORD.unpack_from(data, at)
    body = data[at + RECORD.size : at + RECORD.size + length]
    if crc != head_sum(length, kind) or len(body) != length or sealed(key, kind, body) != seal:
        return None
    return kind, body, seal


def torn(data: bytes, at: int) -> bool:
    """Whether what stands there is the beginning of a record that a lost moment cut short: it ends before its length, or
    one of its sectors was never written and reads as zeros. Anything else was whole once."""
    if at + RECORD.size > len(data):
        return True
    length, kind, crc, _ = RECORD.unpack_from(data, at)
    # A length that damage made up would have an acknowledged record pass for the beginning of a longer one.
    return (
        crc == head_sum(length, kind)
        and at + RECORD.size + length > len(data)
        or unwritten(data, at)
    )


def head_sum(length: int, kind: int) -> int:
    return crc32(struct.pack("<IB", length, kind))


def unwritten(data: bytes, at: int) -> bool:
    """Whether a sector from there to the file's end holds nothing at all."""
    borders = [at, *range(at - at % SECTOR + SECTOR, len(data), SECTOR), len(data)]
    return any(not any(data[low:high]) for low, high in zip(borders, borders[1:]))


class Guard:
    """Whatever fails inside leaves the store broken for good."""

    def __init__(self, store: Store):
        self.store = store

    def __enter__(self) -> None:
        self.store.broken = True

    def __exit__(self, kind: object, *_: object) -> None:
        if kind is None:
            self.store.broken = False
