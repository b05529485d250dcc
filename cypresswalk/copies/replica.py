"""One balancer's replicas of all its partitions. It does no I/O; times are passed in as arguments.

A partition has a view: a number and the replicas, the first of which is the primary. The primary
stores a record, has every other replica store it, and grants the key once all have flushed it, so
each single replica has every key that was ever granted. A view ends when one of its replicas is
sealed: from then on nothing can be granted in it. The next view begins with complete replicas. They
were replicas of the previous view or fetched all records from a sealed one (Viewstamped Replication
and Vertical Paxos; docs/design/copies.md).

The owner passes in events and carries out `effects` in their order: a change is flushed before any
later effect is sent or answered.

Invariants:
    C1: a key is granted to only one owner, over all views.
    C2: a grant is flushed at all replicas of its view before it is answered.
    C3: a message of another view changes nothing.
    C4: an incomplete replica answers nothing.
    C5: a record is kept until it expires.
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

# Keys at one replica, 250 bytes each. A primary refuses further keys, since a record must not be
# dropped before it expires.
MAX_RECORDS = 1_000_000


class Replica:
    """The partitions of one member.

    In all methods `wall_now` is the wall time and `now` the owner's clock, in nanoseconds.
    """

    def __init__(self, member_id: str, max_records: int = MAX_RECORDS):
        """Create a replica without partitions."""
        self.state = ReplicaState(member_id, max_records)
        self.primary = Primary(self.state)
        self.backup = Backup(self.state)
        self.view_changes = ViewChanges(self.state)

    # State.

    @property
    def member_id(self) -> str:
        """Return the id of the member that has this replica."""
        return self.state.member_id

    @property
    def record_count(self) -> int:
        """Return the number of keys in all partitions."""
        return self.state.record_count

    @property
    def partitions(self) -> dict[int, Partition]:
        """Return all partitions that were ever referred to here, by number."""
        return self.state.partitions

    @property
    def effects(self) -> list[Effect]:
        """Return the effects for the owner to carry out in order; it removes those it has done."""
        return self.state.effects

    def partition(self, number: int) -> Partition:
        """Return the partition with a number; create it if it does not exist yet."""
        return self.state.partition(number)

    def take_effects(self) -> list[Effect]:
        """Remove and return all effects."""
        effects = self.state.effects
        self.state.effects = []
        return effects

    def statuses(self) -> list[PartitionStatus]:
        """Return the state of each partition, to be stored at the start of a new file."""
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
        """Enter an agreed view."""
        self.view_changes.begin(number, view, replicas)

    def seal(self, number: int, view: int) -> bool:
        """Seal a view if this replica is complete in it; return whether it is."""
        return self.view_changes.seal(number, view)

    def fetch(self, number: int, view: int, source: str) -> None:
        """Fetch all records for a later view; with an empty `source`, start without records."""
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
        """Handle a client's request for a key.

        `held_until` is a wall time in nanoseconds; the answer is an effect with `token`.
        """
        self.primary.reserve(wall_now, number, key, owner, held_until, token, now)

    def end_reservation(
        self, number: int, key: str, owner: str, outcome: str, token: object, now: int = 0
    ) -> None:
        """Handle a client's report of an outcome; the answer is an effect with `token`."""
        self.primary.end_reservation(number, key, owner, outcome, token, now)

    def on_message(
        self, source: str, message: PartitionMessage, wall_now: int = 0, now: int = 0
    ) -> None:
        """Handle a message of a replica or of the leader; ignore one of an unexpected view."""
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
        """Resend unconfirmed records; return the replicas that have not confirmed them."""
        return self.primary.resend_pending(number, sent_before)

    def compare_digests(self, number: int) -> None:
        """If this replica is the acting primary, ask the backups to compare their records."""
        self.primary.compare_digests(number)

    def expire(self, wall_now: int, partition: Partition) -> None:
        """Drop expired records of a partition."""
        self.state.expire(wall_now, partition)

    # Restoring after a start.

    def put(self, partition: Partition, record: ReservationRecord) -> None:
        """Add or replace a record without adding an effect."""
        self.state.put(partition, record)

    def restore(self, changes: Sequence[StoredChange | PartitionStatus]) -> None:
        """Apply stored changes, in the order in which they were written."""
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
                    self.state.receive(
                        partition, change.view, change.records, change.for_current_view
                    )
                case PartitionStatus():
                    partition.view = change.view
                    partition.replicas = tuple(change.replicas)
                    partition.sealed = change.sealed
                    partition.complete = change.complete
                    partition.fetched_view = change.fetched_view
