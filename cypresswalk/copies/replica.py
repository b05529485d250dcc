"""One balancer's replicas of all partitions that it holds. No I/O, no clock: time is handed in.

A partition has a view: a number and its replicas, the first of them the primary. The primary stores
a record, has every other replica store it, and grants the key once all have flushed it; so each
replica alone knows every key that was ever granted. A view ends when one of its replicas is sealed:
from then on nothing can be granted in it. The next view begins with replicas that are complete:
they were replicas of the view before, or fetched everything from one that was sealed (Viewstamped
Replication and Vertical Paxos; docs/design/copies.md).

The owner reports what happens and carries out `effects` in their order: a change is flushed before
anything behind it is sent or answered.

Invariants:
    C1: a key is granted to one owner, over all views.
    C2: a grant is at all replicas of its view, flushed, before it is answered.
    C3: messages of another view change nothing.
    C4: a replica that is not complete answers nothing.
    C5: what is held stays until its time.
"""

from collections.abc import Sequence

from cypresswalk.copies.backup import Backup
from cypresswalk.copies.effects import Effect, StoredChange
from cypresswalk.copies.messages import (
    CompareDigests,
    DigestsDiffer,
    FetchPartition,
    FetchRecords,
    PartitionMessage,
    PartitionReceived,
    PartitionStatus,
    RecordReplicated,
    RecordsFetched,
    RecordStored,
    ReplicateRecord,
    ReservationRecord,
    SealPartition,
    ViewBegun,
    ViewSealed,
)
from cypresswalk.copies.partition import Partition
from cypresswalk.copies.primary import NO_TIME_LIMIT, Primary
from cypresswalk.copies.replica_state import ReplicaState
from cypresswalk.copies.view_changes import ViewChanges

# Keys at one replica, 250 bytes each; beyond them a primary refuses, since none is dropped early.
MAX_RECORDS = 1_000_000


class Replica:
    """One member's partitions; `wall_now` is wall time, `now` the owner's clock, in nanoseconds."""

    def __init__(self, member_id: str, max_records: int = MAX_RECORDS):
        """A replica without any partition."""
        self.state = ReplicaState(member_id, max_records)
        self.primary = Primary(self.state)
        self.backup = Backup(self.state)
        self.view_changes = ViewChanges(self.state)

    # What is known.

    @property
    def member_id(self) -> str:
        """The member whose replica this is."""
        return self.state.member_id

    @property
    def record_count(self) -> int:
        """Keys held in all partitions."""
        return self.state.record_count

    @property
    def partitions(self) -> dict[int, Partition]:
        """All partitions that were ever named here, by number."""
        return self.state.partitions

    @property
    def effects(self) -> list[Effect]:
        """What the owner has to do, in order; it removes what it has done."""
        return self.state.effects

    def partition(self, number: int) -> Partition:
        """The partition of that number, made where it is not known yet."""
        return self.state.partition(number)

    def take_effects(self) -> list[Effect]:
        """Removes and returns all effects."""
        effects = self.state.effects
        self.state.effects = []
        return effects

    def statuses(self) -> list[PartitionStatus]:
        """What a new file begins with."""
        return [
            PartitionStatus(
                number,
                partition.view,
                partition.replicas,
                partition.sealed,
                partition.complete,
                partition.fetched_view,
            )
            for number, partition in sorted(self.state.partitions.items())
        ]

    # Views.

    def begin_view(self, number: int, view: int, replicas: tuple[str, ...]) -> None:
        """A view is agreed."""
        self.view_changes.begin(number, view, replicas)

    def seal(self, number: int, view: int) -> bool:
        """Ends a view here, if this replica has all of it; says whether it has."""
        return self.view_changes.seal(number, view)

    def fetch(self, number: int, view: int, source: str) -> None:
        """Fetches all records for a view to come; without a source it begins empty."""
        self.view_changes.fetch(number, view, source)

    # Requests and messages.

    def reserve(
        self,
        wall_now: int,
        number: int,
        key: str,
        owner: str,
        held_until: int,
        token: object,
        now: int = 0,
    ) -> None:
        """A client asks for a key; `held_until` is wall time. Answered with `token`."""
        self.primary.reserve(wall_now, number, key, owner, held_until, token, now)

    def end_reservation(
        self, number: int, key: str, owner: str, outcome: str, token: object, now: int = 0
    ) -> None:
        """A client reports an outcome. Answered with `token`."""
        self.primary.end(number, key, owner, outcome, token, now)

    def on_message(
        self, source: str, message: PartitionMessage, wall_now: int = 0, now: int = 0
    ) -> None:
        """A message of another replica or of the leader; what does not fit its view is ignored."""
        partition = self.state.partition(message.partition)
        match message:
            case ReplicateRecord():
                self.backup.on_replicate_record(source, partition, message)
            case RecordReplicated():
                self.primary.on_record_replicated(source, partition, message)
            case CompareDigests():
                self.backup.on_compare_digests(wall_now, source, partition, message)
            case DigestsDiffer():
                self.primary.on_digests_differ(source, partition, message, now)
            case FetchRecords():
                self.view_changes.on_fetch_records(source, partition, message)
            case RecordsFetched():
                self.view_changes.on_records_fetched(source, partition, message)
            case SealPartition():
                self.view_changes.on_seal(source, partition, message)
            case FetchPartition():
                self.view_changes.on_fetch_partition(source, partition, message)

    # Time.

    def resend_pending(self, number: int, sent_before: int = NO_TIME_LIMIT) -> set[str]:
        """Sends unconfirmed records once more; returns the replicas that have not confirmed."""
        return self.primary.resend_pending(number, sent_before)

    def compare_digests(self, number: int) -> None:
        """Has the other replicas compare their records with those of this primary."""
        self.primary.compare_digests(number)

    def expire(self, wall_now: int, partition: Partition) -> None:
        """Drops records whose time is over."""
        self.state.expire(wall_now, partition)

    # After a start.

    def put(self, partition: Partition, record: ReservationRecord) -> None:
        """Adds or replaces a record, without any effect."""
        self.state.put(partition, record)

    def restore(self, changes: Sequence[StoredChange | PartitionStatus]) -> None:
        """Repeats what was written, in its order."""
        for change in changes:
            partition = self.state.partition(change.partition)
            match change:
                case RecordStored():
                    self.state.put(partition, change.record)
                case ViewSealed():
                    partition.sealed = True
                case ViewBegun():
                    self.state.begin_view(
                        partition, change.view, tuple(change.replicas), change.complete
                    )
                case PartitionReceived():
                    self.state.receive(partition, change.view, change.records, change.late)
                case PartitionStatus():
                    partition.view = change.view
                    partition.replicas = tuple(change.replicas)
                    partition.sealed = change.sealed
                    partition.complete = change.complete
                    partition.fetched_view = change.fetched_view
