"""The state of one replica, shared by the parts of a `Replica`."""

from cypresswalk.copies.effects import (
    AnswerRequest,
    Effect,
    SendMessage,
    StoredChange,
    TellLeader,
    WriteChange,
)
from cypresswalk.copies.messages import AnyMessage, ReservationRecord
from cypresswalk.copies.partition import Partition
from cypresswalk.copies.reservations import RETRY, ReservationAnswer


class ReplicaState:
    """Partitions, the number of their records, and the effects that have gathered for the owner."""

    def __init__(self, member_id: str, max_records: int):
        """A replica without any partition."""
        self.member_id = member_id
        self.max_records = max_records
        self.record_count = 0
        self.partitions: dict[int, Partition] = {}
        self.effects: list[Effect] = []

    def partition(self, number: int) -> Partition:
        """The partition of that number, made where it is not known yet."""
        partition = self.partitions.get(number)
        if partition is None:
            partition = Partition()
            self.partitions[number] = partition
        return partition

    def is_acting_primary(self, partition: Partition) -> bool:
        """Whether this replica grants keys of the partition."""
        return (
            partition.complete
            and not partition.sealed
            and partition.replicas[:1] == (self.member_id,)
        )

    # Records. Each of these keeps the number of all records.

    def put(self, partition: Partition, record: ReservationRecord) -> None:
        """Adds or replaces a record."""
        self.record_count += partition.put(record)

    def replace(self, partition: Partition, records: list[ReservationRecord]) -> None:
        """Replaces all records."""
        before = len(partition.records)
        partition.replace(records)
        self.record_count += len(partition.records) - before

    def expire(self, wall_now: int, partition: Partition) -> None:
        """Drops records whose time is over."""
        before = len(partition.records)
        partition.expire(wall_now)
        self.record_count += len(partition.records) - before

    def begin_view(
        self, partition: Partition, view: int, replicas: tuple[str, ...], complete: bool
    ) -> None:
        """Enters a view."""
        before = len(partition.records)
        partition.begin_view(view, replicas, complete)
        self.record_count += len(partition.records) - before

    def receive(
        self, partition: Partition, view: int, records: list[ReservationRecord], late: bool
    ) -> None:
        """Takes all records for a view."""
        before = len(partition.records)
        partition.receive(view, records, late)
        self.record_count += len(partition.records) - before

    def abandon_pending(self, partition: Partition, reason: str) -> None:
        """Answers those that wait for confirmations with RETRY."""
        for pending in partition.pending.values():
            for token in pending.tokens:
                self.answer(token, ReservationAnswer(RETRY, reason=reason))
        partition.pending.clear()
        partition.pending_keys.clear()

    # Effects.

    def write(self, change: StoredChange) -> None:
        """Has a change written."""
        self.effects.append(WriteChange(change))

    def send(self, receiver: str, message: AnyMessage) -> None:
        """Has a message sent."""
        self.effects.append(SendMessage(receiver, message))

    def tell_leader(self, message: AnyMessage) -> None:
        """Has a message sent to the leader."""
        self.effects.append(TellLeader(message))

    def answer(self, token: object, answer: ReservationAnswer) -> None:
        """Has a request answered."""
        self.effects.append(AnswerRequest(token, answer))
