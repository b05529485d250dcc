"""One member's log: a snapshot's place, then entries. Knows no disk."""

import msgspec

from cypresswalk.agreement.messages import ENTRY_MEMBERSHIP, Entry, Members

members_decoder = msgspec.msgpack.Decoder(Members)
encode = msgspec.msgpack.encode


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """All that was agreed up to `index`: the members then, and the state as its owner put it."""

    index: int
    term: int
    members: Members
    data: bytes


class Log:
    def __init__(self, snapshot: Snapshot, entries: list[Entry]):
        self.snapshot, self.entries = snapshot, entries
        # Where the members changed, the latest last: a change counts as soon as it stands in the log.
        self.changes: list[tuple[int, Members]] = []
        for number, entry in enumerate(entries, snapshot.index + 1):
            self.note(number, entry)

    def note(self, index: int, entry: Entry) -> None:
        if entry.kind == ENTRY_MEMBERSHIP:
            self.changes.append((index, members_decoder.decode(entry.data)))

    @property
    def first(self) -> int:
        return self.snapshot.index + 1

    @property
    def last(self) -> int:
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.snapshot.term

    @property
    def members(self) -> Members:
        return self.changes[-1][1] if self.changes else self.snapshot.members

    def members_at(self, index: int) -> Members:
        return next(
            (members for at, members in reversed(self.changes) if at <= index),
            self.snapshot.members,
        )

    def term(self, index: int) -> int | None:
        """None where it is not known any more, or not yet."""
        if index == self.snapshot.index:
            return self.snapshot.term
        at = index - self.first
        return self.entries[at].term if 0 <= at < len(self.entries) else None

    def between(self, low: int, high: int) -> list[Entry]:
        """From `low` to `high`, both included."""
        return self.entries[max(low - self.first, 0) : max(high - self.first + 1, 0)]

    def append(self, entry: Entry) -> int:
        self.entries.append(entry)
        self.note(self.last, entry)
        return self.last

    def cut(self, index: int) -> None:
        """Nothing stays from `index` on."""
        del self.entries[max(index - self.first, 0) :]
        while self.changes and self.changes[-1][0] >= index:
            self.changes.pop()

    def begin_at(self, snapshot: Snapshot) -> None:
        """What the snapshot holds goes; what follows it stays if it is of the same history."""
        if self.term(snapshot.index) == snapshot.term:
            self.entries = self.between(snapshot.index + 1, self.last)
            self.changes = [change for change in self.changes if change[0] > snapshot.index]
        else:
            self.entries, self.changes = [], []
        self.snapshot = snapshot
