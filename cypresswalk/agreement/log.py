"""One member's log in memory: a snapshot, then the entries after it."""

import msgspec

from cypresswalk.agreement.messages import ENTRY_MEMBERSHIP, Entry, Members

members_decoder = msgspec.msgpack.Decoder(Members)
encode = msgspec.msgpack.encode


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """All that is committed up to `index`: members, and the owner's state as `data`."""

    index: int
    term: int
    members: Members
    data: bytes


class Log:
    """The entries after a snapshot, with the changes of membership among them."""

    def __init__(self, snapshot: Snapshot, entries: list[Entry]):
        """`entries` begin right after the snapshot's index."""
        self.snapshot = snapshot
        self.entries = entries
        # Index and members, the latest last: a change counts as soon as it is in the log (Raft, 6).
        self.membership_changes: list[tuple[int, Members]] = []
        for index, entry in enumerate(entries, snapshot.index + 1):
            self._note_membership(index, entry)

    def _note_membership(self, index: int, entry: Entry) -> None:
        if entry.kind == ENTRY_MEMBERSHIP:
            self.membership_changes.append((index, members_decoder.decode(entry.data)))

    @property
    def first_index(self) -> int:
        """Index of the first entry after the snapshot."""
        return self.snapshot.index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry, or the snapshot's."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or the snapshot's."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    @property
    def members(self) -> Members:
        """The members by the latest change, committed or not."""
        return self.membership_changes[-1][1] if self.membership_changes else self.snapshot.members

    def members_at(self, index: int) -> Members:
        """The members by the latest change up to `index`."""
        return next(
            (members for at, members in reversed(self.membership_changes) if at <= index),
            self.snapshot.members,
        )

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None where it is compacted, or beyond the last."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.first_index
        return self.entries[position].term if 0 <= position < len(self.entries) else None

    def between(self, low: int, high: int) -> list[Entry]:
        """The entries from index `low` to `high`, both included."""
        start = max(low - self.first_index, 0)
        return self.entries[start : max(high - self.first_index + 1, 0)]

    def append(self, entry: Entry) -> int:
        """Adds an entry and returns its index."""
        self.entries.append(entry)
        self._note_membership(self.last_index, entry)
        return self.last_index

    def truncate_from(self, index: int) -> None:
        """Removes the entries from `index` on."""
        del self.entries[max(index - self.first_index, 0) :]
        while self.membership_changes and self.membership_changes[-1][0] >= index:
            self.membership_changes.pop()

    def restore(self, snapshot: Snapshot) -> None:
        """Begins with that snapshot; entries after it stay if they continue it (Raft, 7)."""
        if self.term_at(snapshot.index) == snapshot.term:
            self.entries = self.between(snapshot.index + 1, self.last_index)
            self.membership_changes = [
                change for change in self.membership_changes if change[0] > snapshot.index
            ]
        else:
            self.entries = []
            self.membership_changes = []
        self.snapshot = snapshot
