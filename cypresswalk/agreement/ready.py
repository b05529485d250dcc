"""The state that a member keeps on disk, and the pending work for its owner."""

from dataclasses import dataclass, field
from typing import NamedTuple, TypeAlias

from cypresswalk.agreement.log import Snapshot
from cypresswalk.agreement.messages import AnyMessage, Entry

IndexedEntry: TypeAlias = tuple[int, Entry]


class Vote(NamedTuple):
    """A member's vote.

    Attributes:
        term: the member's current term.
        candidate: id of the member voted for in this term, or an empty string.
    """

    term: int
    candidate: str


class ConfirmedRead(NamedTuple):
    """A read that the owner may answer once it has applied the entry at `commit_index`.

    Attributes:
        token: the owner's identification of the read.
        commit_index: index of the last entry that the answer has to include.
    """

    token: object
    commit_index: int


@dataclass(slots=True)
class PersistentState:
    """The state of one member on disk.

    Attributes:
        snapshot: the latest snapshot.
        entries: entries after the snapshot.
        term: current term.
        voted_for: id of the member voted for in this term, or an empty string.
    """

    snapshot: Snapshot
    entries: list[Entry] = field(default_factory=list)
    term: int = 0
    voted_for: str = ""


@dataclass(slots=True)
class Ready:
    """Work for the owner, in this order: write and flush, `Node.on_persisted`, send, apply.

    Attributes:
        vote: term and vote to write.
        snapshot: snapshot to write to a new file, followed by `entries`.
        truncate_from: index from which on to remove the entries on disk.
        entries: entries to write, with their indexes.
        messages: messages to send, each with its receiver's id.
        restore: snapshot to restore the owner's state from, before `committed` is applied.
        committed: entries to apply, with their indexes.
        reads: reads to answer, each after the entry at its index is applied.
        data_loss: whether the leader found that this member has lost acknowledged entries; the
            other fields must then be ignored.
    """

    vote: Vote | None = None
    snapshot: Snapshot | None = None
    truncate_from: int | None = None
    entries: list[IndexedEntry] = field(default_factory=list)
    messages: list[tuple[str, AnyMessage]] = field(default_factory=list)
    restore: Snapshot | None = None
    committed: list[IndexedEntry] = field(default_factory=list)
    reads: list[ConfirmedRead] = field(default_factory=list)
    data_loss: bool = False

    @property
    def must_write(self) -> bool:
        """Return whether there is anything to write."""
        return (
            self.vote is not None
            or self.snapshot is not None
            or self.truncate_from is not None
            or bool(self.entries)
        )

    @property
    def is_empty(self) -> bool:
        """Return whether there is no work at all."""
        return not (
            self.must_write
            or self.messages
            or self.committed
            or self.reads
            or self.restore
            or self.data_loss
        )
