"""Deliberately broken replicas, each of which lacks one check; the random runs must detect them."""

from typing import Any

from cypresswalk.copies.effects import Effect, WriteChange
from cypresswalk.copies.messages import PartitionMessage, ReplicateRecord, ReservationRecord
from cypresswalk.copies.partition import Partition
from cypresswalk.copies.primary import Primary
from cypresswalk.copies.replica import Replica


def is_write(effect: Effect) -> bool:
    """Return whether an effect is a write, which `AnswersBeforeWriting` moves to the end."""
    return isinstance(effect, WriteChange)


class AnswersBeforeWriting(Replica):
    """A replica that answers and sends before it writes the records that it grants."""

    def reserve(self, *args: Any, **kwargs: Any) -> None:
        """Handle a request, and move the writes behind the other effects."""
        super().reserve(*args, **kwargs)
        self.effects.sort(key=is_write)

    def on_message(self, *args: Any, **kwargs: Any) -> None:
        """Handle a message, and move the writes behind the other effects."""
        super().on_message(*args, **kwargs)
        self.effects.sort(key=is_write)


class NonWaitingPrimary(Primary):
    """A primary that answers before any other replica has the record."""

    def replicate_record(
        self,
        number: int,
        partition: Partition,
        record: ReservationRecord,
        tokens: list[object],
        now: int,
    ) -> None:
        """Replicate a record, and answer at once."""
        super().replicate_record(number, partition, record, [], now)
        self.answer_confirmed(partition, record, tokens)


class AnswersBeforeReplication(Replica):
    """A replica that, as the primary, does not wait for confirmations."""

    def __init__(self, member_id: str) -> None:
        """Create the replica with a `NonWaitingPrimary`."""
        super().__init__(member_id)
        self.primary = NonWaitingPrimary(self.state)


class TrustsEmptyReplica(Replica):
    """A replica that considers itself complete in every view of which it is a replica."""

    def begin_view(self, number: int, view: int, replicas: tuple[str, ...]) -> None:
        """Enter the view as a complete replica."""
        super().begin_view(number, view, replicas)
        self.partition(number).complete = self.member_id in replicas


class AcceptsOldViews(Replica):
    """A replica that accepts records of older views, and keeps pending records over views."""

    def on_message(
        self, source: str, message: PartitionMessage, wall_now: int = 0, now: int = 0
    ) -> None:
        """Handle a record as if its primary had sent it in the current view."""
        if not isinstance(message, ReplicateRecord):
            super().on_message(source, message, wall_now, now)
            return
        partition = self.partition(message.partition)
        current = ReplicateRecord(
            message.partition, partition.view, message.sequence, message.record
        )
        partition.sealed, sealed = False, partition.sealed
        primary = partition.replicas[0] if partition.replicas else source
        super().on_message(primary, current, wall_now, now)
        partition.sealed = sealed

    def begin_view(self, number: int, view: int, replicas: tuple[str, ...]) -> None:
        """Enter the view, and keep the records that were pending in the previous one."""
        partition = self.partition(number)
        pending, partition.pending = partition.pending, {}
        super().begin_view(number, view, replicas)
        partition.pending = pending
