"""What stands on disk for a member, and what its owner must do next."""

from dataclasses import dataclass, field
from typing import NamedTuple, TypeAlias

from cypresswalk.agreement.log import Snapshot
from cypresswalk.agreement.messages import AnyMessage, Entry

IndexedEntry: TypeAlias = tuple[int, Entry]


class Vote(NamedTuple):
    """The current term and the member voted for in it, or an empty string."""

    term: int
    candidate: str


class ConfirmedRead(NamedTuple):
    """A read that may be answered once the entry at `commit_index` is applied."""

    token: object
    commit_index: int


@dataclass(slots=True)
class PersistentState:
    """What stands on disk for one member."""

    snapshot: Snapshot
    entries: list[Entry] = field(default_factory=list)
    term: int = 0
    voted_for: str = ""


@dataclass(slots=True)
class Ready:
    """Work for the owner, in this order: write and flush, `Node.on_persisted`, send, apply.

    Attributes:
        vote: to be written.
        snapshot: to be written, with all that follows it, in a new file.
        truncate_from: the index from which on no entry of the log stays on disk.
        entries: to be written.
        messages: to be sent, each with its receiver's id.
        restore: a state to begin from, before `committed` is applied.
        committed: to be applied.
        reads: to be answered after the index of each is applied.
        data_loss: the leader found that this member lost acknowledged entries; the rest is void.
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
        """Whether anything has to be flushed."""
        return (
            self.vote is not None
            or self.snapshot is not None
            or self.truncate_from is not None
            or bool(self.entries)
        )

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to do."""
        return not (
            self.must_write
            or self.messages
            or self.committed
            or self.reads
            or self.restore
            or self.data_loss
        )
