"""Storage of a member's log in a folder. The module does no I/O itself.

One file, `log.N`, holds a chain of sealed records (storage/record_chain.py). A record is appended
and flushed before any message that relies on it is sent. A new snapshot is written to file N+1,
which is created as `next`, flushed and renamed; then the folder is flushed and file N is removed. A
torn tail was never acknowledged and is cut off. Any other damage ends this incarnation. A file of a
newer format, of another member or of another fleet is left unchanged.

The file `witness` contains the inode of the log file and is written before the log file gets its
final name. A folder restored from a copy has other inodes, or a witness that is older than its log
file, and is therefore detected before anything is sent. A whole disk that was reset to an earlier
state is detected by the other members: by the leader when an acknowledged append is rejected, and
by all members from `boot`, the number of this member's starts.
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
# Many times the size of a snapshot and the entries that are kept after it.
MAX_FILE_BYTES = 256 << 20
MAX_WITNESS_BYTES = 4096
DIGEST_BYTES = 16

# Kinds of records.
IDENTITY = 1
SNAPSHOT = 2
VOTE = 3
ENTRY = 4
TRUNCATE = 5


class LogIdentity(msgspec.Struct, frozen=True, array_like=True):
    """The owner of a log file.

    Attributes:
        fleet: name of the fleet.
        group: id of the group.
        member: id of the member, "name#incarnation".
        boot: number of the member's starts.
    """

    fleet: str
    group: str
    member: str
    boot: int


class InodeWitness(msgspec.Struct, frozen=True, array_like=True):
    """The content of the file `witness`.

    Attributes:
        member: id of the member.
        files: number and inode of each log file that this member has written itself.
    """

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
    """Reconstruction of the identity and the state from a file's records.

    Attributes:
        identity: identity found in the file, if any yet.
        state: state after the records so far; None before the snapshot.
    """

    def __init__(self, file: str, fleet: str, name: str):
        """Start without records; the file has to belong to the member `name` of `fleet`."""
        self.file = file
        self.fleet = fleet
        self.name = name
        self.identity: LogIdentity | None = None
        self.state: PersistentState | None = None

    def apply(self, kind: int, body: bytes) -> None:
        """Apply the next record.

        Raises:
            DamagedLogError: the record can't be decoded or is out of sequence.
            ForeignFileError: the file belongs to another member or fleet.
        """
        try:
            value = RECORD_DECODERS[kind].decode(body)
        except (KeyError, msgspec.DecodeError) as error:
            raise DamagedLogError(
                f"{self.file}: a record of kind {kind} can't be decoded: {error}"
            ) from error
        if kind == IDENTITY:
            self._check_owner(value)
            self.identity = value
        elif kind == SNAPSHOT:
            self.state = PersistentState(value)
        elif self.state is None:
            raise DamagedLogError(f"{self.file}: a record precedes the snapshot")
        elif kind == VOTE:
            self.state.term, self.state.voted_for = value
        elif kind == TRUNCATE:
            del self.state.entries[max(value - self.state.snapshot.index - 1, 0) :]
        else:
            self._append(self.state, value)

    def _check_owner(self, identity: LogIdentity) -> None:
        name = identity.member.partition("#")[0]
        if identity.fleet != self.fleet or name != self.name:
            raise ForeignFileError(
                f"{self.file}: it belongs to {name!r} in fleet {identity.fleet!r}"
            )

    def _append(self, state: PersistentState, indexed_entry: IndexedEntry) -> None:
        index, entry = indexed_entry
        if index != state.snapshot.index + len(state.entries) + 1:
            raise DamagedLogError(f"{self.file}: entry {index} is out of sequence")
        state.entries.append(entry)


class Store:
    """One member's log on disk.

    Methods raise OSError if the disk fails. After a failed write the store accepts no more writes,
    and the owner stops this member until its next start.

    Attributes:
        file_number: highest number of a log file so far; the next file gets the number after it.
        key: key of the next record.
        broken: whether a write has failed or is in progress.
        identity: identity in the latest log file; None before one is read or written.
    """

    def __init__(self, folder: Folder):
        """Start without reading anything."""
        self.folder = folder
        self.file_number = 0
        self.key = b""
        self.broken = False
        self.identity: LogIdentity | None = None

    def _file_numbers(self) -> list[int]:
        """Return the numbers of all log files, latest first."""
        prefix = len(FILE_PREFIX)
        found = [name[prefix:] for name in self.folder.names() if name.startswith(FILE_PREFIX)]
        return sorted((int(text) for text in found if text.isdecimal()), reverse=True)

    # Reading.

    def load(
        self, fleet: str, name: str, on_tail_cut: Callable[[str], None]
    ) -> PersistentState | None:
        """Return the state on disk; None if there is no log file.

        Args:
            fleet: fleet that the file has to belong to.
            name: name of the member that the file has to belong to.
            on_tail_cut: called with a text if a torn tail is ignored.

        Raises:
            DamagedLogError: acknowledged entries may be lost.
            ForeignFileError: the file must be left unchanged.
            OSError: the folder can't be read.
        """
        numbers = self._file_numbers()
        if not numbers:
            return None
        # The latest file was renamed after it was flushed, so it is complete. An older one must
        # never be used instead.
        self.file_number = numbers[0]
        file = f"{FILE_PREFIX}{self.file_number}"
        data = self.folder.read(file, MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            raise ForeignFileError(f"{file}: over {MAX_FILE_BYTES} bytes")
        identity, state, end = self._decode(file, data, fleet, name)
        self.check_witness(file, identity)
        if end < len(data):
            on_tail_cut(
                f"{file}: cut off {len(data) - end} bytes of a record that was never acknowledged"
            )
        return state

    def _decode(
        self, file: str, data: bytes, fleet: str, name: str
    ) -> tuple[LogIdentity, PersistentState, int]:
        """Return identity, state and the number of intact bytes."""
        self._check_header(file, data)
        reader = ChainReader(file, data, len(HEADER), self.file_number)
        replay = RecordReplay(file, fleet, name)
        try:
            # A file is renamed after its snapshot is flushed, so only records appended later may be
            # torn.
            while record := reader.next_record(may_be_torn=replay.state is not None):
                replay.apply(record.kind, record.body)
        except ChainDamagedError as error:
            raise DamagedLogError(str(error)) from error
        if replay.identity is None or replay.state is None:
            raise DamagedLogError(f"{file}: it has no identity or no snapshot")
        self.identity = replay.identity
        self.key = reader.key
        return replay.identity, replay.state, reader.end

    def _check_header(self, file: str, data: bytes) -> None:
        if data[: len(MAGIC)] != MAGIC:
            raise DamagedLogError(f"{file}: not a log file")
        if len(data) < len(HEADER):
            return
        (version,) = struct.unpack_from("<H", data, len(MAGIC))
        if version > VERSION:
            raise ForeignFileError(
                f"{file}: version {version}, this program supports up to {VERSION}"
            )

    def check_witness(self, file: str, identity: LogIdentity) -> None:
        """Raise DamagedLogError unless the witness lists the file as written by this member."""
        try:
            data = self.folder.read(WITNESS_FILE, MAX_WITNESS_BYTES)
            body = data[DIGEST_BYTES:]
            witness = witness_decoder.decode(body)
        except (OSError, msgspec.DecodeError) as error:
            raise DamagedLogError(f"{WITNESS_FILE}: {error}") from error
        if data[:DIGEST_BYTES] != _digest(body):
            raise DamagedLogError(f"{WITNESS_FILE}: the checksum is wrong")
        written_file = (self.file_number, self.folder.inode(file))
        if witness.member != identity.member or written_file not in witness.files:
            raise DamagedLogError(f"{file}: it was restored from a copy")

    def set_aside(self) -> None:
        """Rename the log files for inspection by a person; remove those set aside earlier."""
        names = self.folder.names()
        for name in names:
            if name.startswith(LOST_PREFIX):
                self.folder.remove(name)
        for number in self._file_numbers():
            self.folder.rename(f"{FILE_PREFIX}{number}", f"{LOST_PREFIX}{number}")
        self.folder.flush()
        suffixes = [name[len(LOST_PREFIX) :] for name in names]
        self.file_number = max(
            [self.file_number, *(int(text) for text in suffixes if text.isdecimal())]
        )
        self.identity = None
        self.broken = False

    # Writing.

    def begin_file(self, identity: LogIdentity, state: PersistentState) -> None:
        """Write a new file.

        This happens at each start. It drops a torn tail, and `boot` is flushed before anything is
        sent.
        """
        self.identity = identity
        self._write_file(
            identity,
            state.snapshot,
            Vote(state.term, state.voted_for),
            list(enumerate(state.entries, state.snapshot.index + 1)),
        )

    def write(self, ready: Ready) -> None:
        """Write and flush the vote, snapshot, truncation and entries of `ready`.

        Raises:
            OSError: this or an earlier write failed.
        """
        require_unbroken(self)
        if ready.snapshot is not None:
            # A snapshot always comes with a vote, and `begin_file` is called first.
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
                self.folder.append(f"{FILE_PREFIX}{self.file_number}", data)
                self.key = key

    def _write_file(
        self,
        identity: LogIdentity,
        snapshot: Snapshot,
        vote: Vote,
        entries: list[IndexedEntry],
    ) -> None:
        """Write the next file and the witness, then remove older files."""
        number = self.file_number + 1
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
            self.file_number = number
            self.key = key
            for old in self._file_numbers():
                if old < number:
                    self.folder.remove(f"{FILE_PREFIX}{old}")

    def _write_witness(self, identity: LogIdentity, number: int) -> None:
        """Write a witness of the new file and the one before it.

        After a crash either of them may be the latest.
        """
        files = [(number, self.folder.inode(NEXT_FILE))]
        if self.file_number in self._file_numbers():
            files.append((self.file_number, self.folder.inode(f"{FILE_PREFIX}{self.file_number}")))
        body = encode(InodeWitness(identity.member, files))
        new_witness = f"{WITNESS_FILE}.{NEXT_FILE}"
        self.folder.write(new_witness, _digest(body) + body)
        self.folder.rename(new_witness, WITNESS_FILE)
        self.folder.flush()


def _seal_records(records: list[tuple[int, object]], key: bytes) -> tuple[bytes, bytes]:
    """Return the encoded records, of which the first has `key`, and the key after the last."""
    parts = []
    for kind, value in records:
        data, key = seal_record(key, kind, encode(value))
        parts.append(data)
    return b"".join(parts), key


def _digest(body: bytes) -> bytes:
    return blake2b(body, digest_size=DIGEST_BYTES).digest()
