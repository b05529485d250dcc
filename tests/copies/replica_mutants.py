"""Deliberately broken replicas, each without one guard, for the random runs to detect."""

from typing import Any

from cypresswalk.copies.effects import Effect, WriteChange
from cypresswalk.copies.messages import PartitionMessage, ReplicateRecord, ReservationRecord
from cypresswalk.copies.partition import Partition
from cypresswalk.copies.primary import Primary
from cypresswalk.copies.replica import Replica


def is_write(effect: Effect) -> bool:
    """Whether an effect is carried out after all others by the mutant that writes last."""
    return isinstance(effect, WriteChange)


class AnswersBeforeWriting(Replica):
    """It answers, and sends, before what it grants is written."""

    def reserve(self, *args: Any, **kwargs: Any) -> None:
        """Reserve, and put what is to be written last."""
        super().reserve(*args, **kwargs)
        self.effects.sort(key=is_write)

    def on_message(self, *args: Any, **kwargs: Any) -> None:
        """Take a message, and put what is to be written last."""
        super().on_message(*args, **kwargs)
        self.effects.sort(key=is_write)


class HastyPrimary(Primary):
    """It answers before any other replica has the record."""

    def record(
        self,
        number: int,
        partition: Partition,
        record: ReservationRecord,
        tokens: list[object],
        now: int,
    ) -> None:
        """Record, and answer at once."""
        super().record(number, partition, record, [], now)
        self.settle(partition, record, tokens)


class AnswersBeforeReplication(Replica):
    """A replica with a primary that does not wait for the others."""

    def __init__(self, member_id: str) -> None:
        """Start with the hasty primary."""
        super().__init__(member_id)
        self.primary = HastyPrimary(self.state)


class TrustsEmptyReplica(Replica):
    """It takes itself for complete in each view that names it."""

    def begin_view(self, number: int, view: int, replicas: tuple[str, ...]) -> None:
        """Begin the view as if it were complete."""
        super().begin_view(number, view, replicas)
        self.partition(number).complete = self.member_id in replicas


class AcceptsOldViews(Replica):
    """It takes records of an older view for those of its own, and abandons none of its own."""

    def on_message(
        self, source: str, message: PartitionMessage, wall_now: int = 0, now: int = 0
    ) -> None:
        """Take a record as if its primary had sent it in this view."""
        if not isinstance(message, ReplicateRecord):
            super().on_message(source, message, wall_now, now)
            return
        partition = self.partition(message.partition)
        renewed = ReplicateRecord(
            message.partition, partition.view, message.sequence, message.record
        )
        partition.sealed, sealed = False, partition.sealed
        primary = partition.replicas[0] if partition.replicas else source
        super().on_message(primary, renewed, wall_now, now)
        partition.sealed = sealed

    def begin_view(self, number: int, view: int, replicas: tuple[str, ...]) -> None:
        """Begin the view, with the records that were pending in the last."""
        partition = self.partition(number)
        pending, partition.pending = partition.pending, {}
        super().begin_view(number, view, replicas)
        partition.pending = pending
