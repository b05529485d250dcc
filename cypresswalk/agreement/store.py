"""In which order a member's log is written and read, on any folder. No I/O of its own.

One file, `log.N`, holds a chain of sealed records (storage/record_chain.py). A record is added and
flushed before any message that relies on it; a new snapshot writes file N+1 (as `next`, flushed,
renamed, folder flushed) and removes N. A torn tail was never acknowledged and is cut off; any other
damage ends this incarnation; a file of a newer form, of another member or fleet is left alone.

`witness` names the file's inode, written before the file gets its name: a folder restored from a
copy has other inodes, or an older witness than its file, and is found before anything is sent. A
whole disk that was set back is found by the other members: by the leader when an acknowledged
append is refused, by everyone from `boot`, which counts this member's starts.
"""

import struct
from collections.abc import Callable
from hashlib import blake2b
from typing import Any

import msgspec

from cypresswalk.agreement.errors import DamagedLogError, ForeignFileError
from cypresswalk.agreement.log import Snapshot, encode
from cypresswalk.agreement.messages import Entry
from cypresswalk.agreement.ready import IndexedEntry, PersistentState, Ready, Vote
from cypresswalk.storage.folder import Folder, broken_on_failure, require_unbroken
from cypresswalk.storage.record_chain import (
    MAGIC,
    ChainDamagedError,
    ChainReader,
    first_key,
    seal_record,
)

NEXT_FILE = "next"
FILE_PREFIX = "log."
WITNESS_FILE = "witness"
LOST_PREFIX = "lost."
VERSION = 1
HEADER = MAGIC + struct.pack("<H", VERSION)
# Bytes of a file: many times a snapshot and the entries that are kept beside it.
MAX_FILE_BYTES = 256 << 20
MAX_WITNESS_BYTES = 4096
DIGEST_BYTES = 16

# Kinds of a record.
IDENTITY = 1
SNAPSHOT = 2
VOTE = 3
ENTRY = 4
TRUNCATE = 5


class LogIdentity(msgspec.Struct, frozen=True, array_like=True):
    """Whose file it is; `boot` counts the member's starts."""

    fleet: str
    group: str
    member: str
    boot: int


class InodeWitness(msgspec.Struct, frozen=True, array_like=True):
    """The files that this member wrote itself, as number and inode."""

    member: str
    files: list[tuple[int, int]]


witness_decoder = msgspec.msgpack.Decoder(InodeWitness)
RECORD_DECODERS: dict[int, msgspec.msgpack.Decoder[Any]] = {
    IDENTITY: msgspec.msgpack.Decoder(LogIdentity),
    SNAPSHOT: msgspec.msgpack.Decoder(Snapshot),
    VOTE: msgspec.msgpack.Decoder(Vote),
    ENTRY: msgspec.msgpack.Decoder(tuple[int, Entry]),
    TRUNCATE: msgspec.msgpack.Decoder(int),
}


class RecordReplay:
    """Builds the identity and the state from a file's records."""

    def __init__(self, file: str, fleet: str, name: str):
        """`fleet` and `name` are what the file must belong to."""
        self.file = file
        self.fleet = fleet
        self.name = name
        self.identity: LogIdentity | None = None
        self.state: PersistentState | None = None

    def apply(self, kind: int, body: bytes) -> None:
        """Applies the next record.

        Raises:
            DamagedLogError: it can't be decoded, or is not in its place.
            ForeignFileError: the file is of another member or fleet.
        """
        try:
            value = RECORD_DECODERS[kind].decode(body)
        except (KeyError, msgspec.DecodeError) as error:
            raise DamagedLogError(
                f"{self.file}: a record of kind {kind} can't be read: {error}"
            ) from error
        if kind == IDENTITY:
            self._check_owner(value)
            self.identity = value
        elif kind == SNAPSHOT:
            self.state = PersistentState(value)
        elif self.state is None:
            raise DamagedLogError(f"{self.file}: it does not begin with a snapshot")
        elif kind == VOTE:
            self.state.term, self.state.voted_for = value
        elif kind == TRUNCATE:
            del self.state.entries[max(value - self.state.snapshot.index - 1, 0) :]
        else:
            self._append(self.state, value)

    def _check_owner(self, identity: LogIdentity) -> None:
        name = identity.member.partition("#")[0]
        if identity.fleet != self.fleet or name != self.name:
            raise ForeignFileError(f"{self.file}: it is of {name!r} in fleet {identity.fleet!r}")

    def _append(self, state: PersistentState, indexed_entry: IndexedEntry) -> None:
        index, entry = indexed_entry
        if index != state.snapshot.index + len(state.entries) + 1:
            raise DamagedLogError(f"{self.file}: entry {index} out of its place")
        state.entries.append(entry)


class Store:
    """One member's log on disk.

    Methods raise OSError where the disk fails; after a failed write nothing may be written, and the
    owner ends this member until its next start.
    """

    def __init__(self, folder: Folder):
        """Nothing is read yet."""
        self.folder = folder
        self.number = 0
        self.key = b""
        self.broken = False
        self.identity: LogIdentity | None = None

    def _file_numbers(self) -> list[int]:
        """Of all log files, the latest first."""
        prefix = len(FILE_PREFIX)
        found = [name[prefix:] for name in self.folder.names() if name.startswith(FILE_PREFIX)]
        return sorted((int(text) for text in found if text.isdecimal()), reverse=True)

    # Reading.

    def load(
        self, fleet: str, name: str, on_tail_cut: Callable[[str], None]
    ) -> PersistentState | None:
        """The state on disk; None where there is none.

        Args:
            fleet: to which the file must belong.
            name: of the member, to which the file must belong.
            on_tail_cut: called with a text where a torn tail is ignored.

        Raises:
            DamagedLogError: what was acknowledged may be lost.
            ForeignFileError: the file must be left alone.
            OSError: the folder can't be read.
        """
        numbers = self._file_numbers()
        if not numbers:
            return None
        # The latest got its name after it was flushed, so it is whole; an older one must never take
        # its place.
        self.number = numbers[0]
        file = f"{FILE_PREFIX}{self.number}"
        data = self.folder.read(file, MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            raise ForeignFileError(f"{file}: over {MAX_FILE_BYTES} bytes")
        identity, state, end = self._decode(file, data, fleet, name)
        self.check_witness(file, identity)
        if end < len(data):
            on_tail_cut(
                f"{file}: {len(data) - end} bytes of a record that was never acknowledged "
                "are cut off"
            )
        return state

    def _decode(
        self, file: str, data: bytes, fleet: str, name: str
    ) -> tuple[LogIdentity, PersistentState, int]:
        """Identity, state and the number of sound bytes."""
        self._check_header(file, data)
        reader = ChainReader(file, data, len(HEADER), self.number)
        replay = RecordReplay(file, fleet, name)
        try:
            # A file gets its name once its snapshot is flushed: only what was added later may be
            # torn.
            while record := reader.next_record(may_be_torn=replay.state is not None):
                replay.apply(record.kind, record.body)
        except ChainDamagedError as error:
            raise DamagedLogError(str(error)) from error
        if replay.identity is None or replay.state is None:
            raise DamagedLogError(f"{file}: it ends before its snapshot")
        self.identity = replay.identity
        self.key = reader.key
        return replay.identity, replay.state, reader.end

    def _check_header(self, file: str, data: bytes) -> None:
        if data[: len(MAGIC)] != MAGIC:
            raise DamagedLogError(f"{file}: no log")
        if len(data) < len(HEADER):
            return
        (version,) = struct.unpack_from("<H", data, len(MAGIC))
        if version > VERSION:
            raise ForeignFileError(f"{file}: version {version}, this program reads up to {VERSION}")

    def check_witness(self, file: str, identity: LogIdentity) -> None:
        """Raises DamagedLogError where this is not the file that was written here."""
        try:
            data = self.folder.read(WITNESS_FILE, MAX_WITNESS_BYTES)
            body = data[DIGEST_BYTES:]
            witness = witness_decoder.decode(body)
        except (OSError, msgspec.DecodeError) as error:
            raise DamagedLogError(f"{WITNESS_FILE}: {error}") from error
        if data[:DIGEST_BYTES] != _digest(body):
            raise DamagedLogError(f"{WITNESS_FILE}: the checksum is wrong")
        place = (self.number, self.folder.inode(file))
        if witness.member != identity.member or place not in witness.files:
            raise DamagedLogError(f"{file}: it was put back from a copy")

    def set_aside(self) -> None:
        """Renames the files, so that a person may look at them; removes those set aside before."""
        names = self.folder.names()
        for name in names:
            if name.startswith(LOST_PREFIX):
                self.folder.remove(name)
        for number in self._file_numbers():
            self.folder.rename(f"{FILE_PREFIX}{number}", f"{LOST_PREFIX}{number}")
        self.folder.flush()
        suffixes = [name[len(LOST_PREFIX) :] for name in names]
        self.number = max([self.number, *(int(text) for text in suffixes if text.isdecimal())])
        self.identity = None
        self.broken = False

    # Writing.

    def begin(self, identity: LogIdentity, state: PersistentState) -> None:
        """Writes a new file.

        Done at each start: a torn tail goes, and `boot` is flushed before anything is sent.
        """
        self.identity = identity
        self._write_file(
            identity,
            state.snapshot,
            Vote(state.term, state.voted_for),
            list(enumerate(state.entries, state.snapshot.index + 1)),
        )

    def write(self, ready: Ready) -> None:
        """Writes what `ready` names; flushed when it returns.

        Raises:
            OSError: this or an earlier write failed.
        """
        require_unbroken(self)
        if ready.snapshot is not None:
            # With a snapshot there is always a vote, and `begin` comes before.
            assert ready.vote is not None
            assert self.identity is not None
            self._write_file(self.identity, ready.snapshot, ready.vote, ready.entries)
            return
        records: list[tuple[int, object]] = []
        if ready.truncate_from is not None:
            records.append((TRUNCATE, ready.truncate_from))
        if ready.vote is not None:
            records.append((VOTE, ready.vote))
        records += [(ENTRY, entry) for entry in ready.entries]
        if records:
            data, key = _seal_records(records, self.key)
            with broken_on_failure(self):
                self.folder.add(f"{FILE_PREFIX}{self.number}", data)
                self.key = key

    def _write_file(
        self,
        identity: LogIdentity,
        snapshot: Snapshot,
        vote: Vote,
        entries: list[IndexedEntry],
    ) -> None:
        """Writes the next file and its witness, then removes older files."""
        number = self.number + 1
        records: list[tuple[int, object]] = [
            (IDENTITY, identity),
            (SNAPSHOT, snapshot),
            (VOTE, vote),
        ]
        records += [(ENTRY, entry) for entry in entries]
        data, key = _seal_records(records, first_key(number))
        with broken_on_failure(self):
            self.folder.write(NEXT_FILE, HEADER + data)
            self._write_witness(identity, number)
            self.folder.rename(NEXT_FILE, f"{FILE_PREFIX}{number}")
            self.folder.flush()
            self.number = number
            self.key = key
            for old in self._file_numbers():
                if old < number:
                    self.folder.remove(f"{FILE_PREFIX}{old}")

    def _write_witness(self, identity: LogIdentity, number: int) -> None:
        """Names the new file and the one before it, so that either may be found after a crash."""
        files = [(number, self.folder.inode(NEXT_FILE))]
        if self.number in self._file_numbers():
            files.append((self.number, self.folder.inode(f"{FILE_PREFIX}{self.number}")))
        body = encode(InodeWitness(identity.member, files))
        new_witness = f"{WITNESS_FILE}.{NEXT_FILE}"
        self.folder.write(new_witness, _digest(body) + body)
        self.folder.rename(new_witness, WITNESS_FILE)
        self.folder.flush()


def _seal_records(records: list[tuple[int, object]], key: bytes) -> tuple[bytes, bytes]:
    """The bytes of records that follow `key`, and the key of the one after them."""
    parts = []
    for kind, value in records:
        data, key = seal_record(key, kind, encode(value))
        parts.append(data)
    return b"".join(parts), key


def _digest(body: bytes) -> bytes:
    return blake2b(body, digest_size=DIGEST_BYTES).digest()
