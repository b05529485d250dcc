"""One member's log in memory: a snapshot and the entries after it."""

import msgspec

from cypresswalk.agreement.messages import ENTRY_MEMBERSHIP, Entry, Members

members_decoder = msgspec.msgpack.Decoder(Members)
encode = msgspec.msgpack.encode


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The committed state up to an index, in place of the entries.

    Attributes:
        index: index of the last entry that the snapshot covers.
        term: term of that entry.
        members: members of the group at that index.
        data: the owner's encoded state.
    """

    index: int
    term: int
    members: Members
    data: bytes


class Log:
    """The entries after a snapshot, and an index of the membership changes among them.

    Attributes:
        snapshot: the snapshot that the entries follow.
        entries: entries from index `snapshot.index + 1` on.
        membership_changes: index and members of each membership change, oldest first. A change
            takes effect as soon as it is in the log (Raft, 6).
    """

    def __init__(self, snapshot: Snapshot, entries: list[Entry]):
        """Start with `entries`, of which the first has index `snapshot.index + 1`."""
        self.snapshot = snapshot
        self.entries = entries
        self.membership_changes: list[tuple[int, Members]] = []
        for index, entry in enumerate(entries, snapshot.index + 1):
            self._record_membership(index, entry)

    def _record_membership(self, index: int, entry: Entry) -> None:
        if entry.kind == ENTRY_MEMBERSHIP:
            self.membership_changes.append((index, members_decoder.decode(entry.data)))

    @property
    def first_index(self) -> int:
        """Return the index of the first entry after the snapshot."""
        return self.snapshot.index + 1

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, or of the snapshot if there are no entries."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry, or of the snapshot if there are no entries."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    @property
    def members(self) -> Members:
        """Return the members as of the latest change, committed or not."""
        return self.membership_changes[-1][1] if self.membership_changes else self.snapshot.members

    def members_at(self, index: int) -> Members:
        """Return the members as of the latest change up to `index`."""
        return next(
            (members for at, members in reversed(self.membership_changes) if at <= index),
            self.snapshot.members,
        )

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry; None if it is compacted or after the last entry."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.first_index
        return self.entries[position].term if 0 <= position < len(self.entries) else None

    def between(self, low: int, high: int) -> list[Entry]:
        """Return the entries from index `low` to `high`, both inclusive."""
        start = max(low - self.first_index, 0)
        return self.entries[start : max(high - self.first_index + 1, 0)]

    def append(self, entry: Entry) -> int:
        """Append an entry and return its index."""
        self.entries.append(entry)
        self._record_membership(self.last_index, entry)
        return self.last_index

    def truncate_from(self, index: int) -> None:
        """Remove the entries from `index` on."""
        del self.entries[max(index - self.first_index, 0) :]
        while self.membership_changes and self.membership_changes[-1][0] >= index:
            self.membership_changes.pop()

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the log's start with `snapshot`.

        Entries after it are kept if the log contains the snapshot's last entry, and removed
        otherwise (Raft, 7).
        """
        if self.term_at(snapshot.index) == snapshot.term:
            self.entries = self.between(snapshot.index + 1, self.last_index)
            self.membership_changes = [
                change for change in self.membership_changes if change[0] > snapshot.index
            ]
        else:
            self.entries = []
            self.membership_changes = []
        self.snapshot = snapshot
