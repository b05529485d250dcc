"""The state of one replica, which the parts of a `Replica` share."""

from cypresswalk.copies.effects import (
    AnswerRequest,
    Effect,
    SendMessage,
    SendToLeader,
    StoredChange,
    WriteChange,
)
from cypresswalk.copies.messages import AnyMessage, ReservationRecord
from cypresswalk.copies.partition import Partition
from cypresswalk.copies.reservations import RETRY, ReservationAnswer


class ReplicaState:
    """The partitions, the total number of records, and the effects that wait for the owner."""

    def __init__(self, member_id: str, max_records: int):
        """Create the state of a replica without partitions."""
        self.member_id = member_id
        self.max_records = max_records
        self.record_count = 0
        self.partitions: dict[int, Partition] = {}
        self.effects: list[Effect] = []

    def partition(self, number: int) -> Partition:
        """Return the partition with a number; create it if it does not exist yet."""
        partition = self.partitions.get(number)
        if partition is None:
            partition = Partition()
            self.partitions[number] = partition
        return partition

    def is_acting_primary(self, partition: Partition) -> bool:
        """Return whether this replica grants keys of the partition now."""
        return (
            partition.complete
            and not partition.sealed
            and partition.replicas[:1] == (self.member_id,)
        )

    # Changes of records. Each method keeps `record_count` up to date.

    def put(self, partition: Partition, record: ReservationRecord) -> None:
        """Add or replace a record."""
        self.record_count += partition.put(record)

    def replace(self, partition: Partition, records: list[ReservationRecord]) -> None:
        """Replace all records of a partition."""
        before = len(partition.records)
        partition.replace(records)
        self.record_count += len(partition.records) - before

    def expire(self, wall_now: int, partition: Partition) -> None:
        """Drop expired records of a partition."""
        before = len(partition.records)
        partition.expire(wall_now)
        self.record_count += len(partition.records) - before

    def begin_view(
        self, partition: Partition, view: int, replicas: tuple[str, ...], complete: bool
    ) -> None:
        """Enter a view; see `Partition.begin_view`."""
        before = len(partition.records)
        partition.begin_view(view, replicas, complete)
        self.record_count += len(partition.records) - before

    def receive(
        self,
        partition: Partition,
        view: int,
        records: list[ReservationRecord],
        for_current_view: bool,
    ) -> None:
        """Replace all records with those fetched for a view; see `Partition.receive`."""
        before = len(partition.records)
        partition.receive(view, records, for_current_view)
        self.record_count += len(partition.records) - before

    def abandon_pending(self, partition: Partition, reason: str) -> None:
        """Answer all requests that wait for confirmations with RETRY."""
        for pending in partition.pending.values():
            for token in pending.tokens:
                self.answer(token, ReservationAnswer(RETRY, reason=reason))
        partition.pending.clear()
        partition.pending_keys.clear()

    # Additions to the effects.

    def write(self, change: StoredChange) -> None:
        """Add the writing of a change."""
        self.effects.append(WriteChange(change))

    def send(self, receiver: str, message: AnyMessage) -> None:
        """Add a message to a member."""
        self.effects.append(SendMessage(receiver, message))

    def send_to_leader(self, message: AnyMessage) -> None:
        """Add a message to the leader."""
        self.effects.append(SendToLeader(message))

    def answer(self, token: object, answer: ReservationAnswer) -> None:
        """Add the answer to a request."""
        self.effects.append(AnswerRequest(token, answer))
