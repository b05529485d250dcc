"""Changes of a partition's view: sealing, fetching, beginning.

The leader seals one replica that has all of a view, has those of the next view fetch from it, and
lets the next view be agreed once each has everything.
"""

from cypresswalk.copies.messages import (
    FetchPartition,
    FetchRecords,
    PartitionFetched,
    PartitionReceived,
    PartitionSealed,
    RecordsFetched,
    ReservationRecord,
    SealPartition,
    ViewBegun,
    ViewSealed,
)
from cypresswalk.copies.partition import Partition, PartitionFetch
from cypresswalk.copies.replica_state import ReplicaState

MAX_RECORDS_PER_FETCH = 4_000  # some 300 KB


class ViewChanges:
    """What a replica does when the replicas of a partition change."""

    def __init__(self, state: ReplicaState):
        """`state` is shared with the rest of the replica."""
        self.state = state

    def begin(self, number: int, view: int, replicas: tuple[str, ...]) -> None:
        """Enters a view that is agreed.

        This replica is complete in it if it was in the view just before, or has fetched everything
        for this one; one that was away for a view is not.
        """
        partition = self.state.partition(number)
        if view <= partition.view:
            return
        self.state.abandon_pending(partition, "another view of its holders has begun")
        member_id = self.state.member_id
        was_complete = (
            partition.complete and view == partition.view + 1 and member_id in partition.replicas
        )
        complete = member_id in replicas and (partition.fetched_view == view or was_complete)
        self.state.begin_view(partition, view, replicas, complete)
        self.state.write(ViewBegun(number, view, replicas, complete))

    # Sealing.

    def seal(self, number: int, view: int) -> bool:
        """Ends a view at this replica, if it has all of it, and says whether it has.

        The change is to be flushed before anybody is told.
        """
        partition = self.state.partition(number)
        if (
            partition.view != view
            or not partition.complete
            or self.state.member_id not in partition.replicas
        ):
            return False
        if not partition.sealed:
            partition.sealed = True
            self.state.abandon_pending(partition, "its holders change")
            self.state.write(ViewSealed(number, view))
        return True

    def on_seal(self, source: str, partition: Partition, message: SealPartition) -> None:
        """Seals and answers; a replica that is behind has nothing to say."""
        if message.view == partition.view:
            complete = self.seal(message.partition, message.view)
            self.state.send(source, PartitionSealed(message.partition, message.view, complete))

    # Fetching.

    def fetch(self, number: int, view: int, source: str) -> None:
        """Fetches all records for a view to come from a sealed replica of the one before.

        Without a source the partition begins empty: the leader knows that no replica has anything.
        Asked again, it goes on where it was.
        """
        partition = self.state.partition(number)
        if self.has_all(partition, view):
            return
        if not source:
            # Not for a view that has begun: this replica may have lost its disk since it was told.
            if view > partition.view:
                self._receive(number, view, [])
            return
        fetch = partition.fetch
        if fetch is None or fetch.view != view or fetch.source != source:
            fetch = PartitionFetch(view, source)
            partition.fetch = fetch
        self.state.send(source, FetchRecords(number, view, len(fetch.records)))

    def has_all(self, partition: Partition, view: int) -> bool:
        """Whether this replica could begin that view complete, or has."""
        return partition.fetched_view == view or (partition.complete and partition.view == view)

    def on_fetch_partition(
        self, source: str, partition: Partition, message: FetchPartition
    ) -> None:
        """Fetches, and answers once it has everything."""
        self.fetch(message.partition, message.view, message.source)
        if self.has_all(partition, message.view):
            self.state.send(source, PartitionFetched(message.partition, message.view))

    def on_fetch_records(self, source: str, partition: Partition, message: FetchRecords) -> None:
        """Sends records to a replica of the next view."""
        if not partition.sealed or not partition.complete or message.view != partition.view + 1:
            return
        records = list(partition.records.values())
        end = message.offset + MAX_RECORDS_PER_FETCH
        self.state.send(
            source,
            RecordsFetched(
                message.partition,
                message.view,
                message.offset,
                len(records),
                records[message.offset : end],
            ),
        )

    def on_records_fetched(
        self, source: str, partition: Partition, message: RecordsFetched
    ) -> None:
        """Takes the next records, and asks for more until all are here."""
        fetch = partition.fetch
        if (
            fetch is None
            or fetch.view != message.view
            or fetch.source != source
            or len(fetch.records) != message.offset
        ):
            return
        fetch.records += message.records
        count = len(fetch.records)
        if count < message.total and message.records:
            self.state.send(source, FetchRecords(message.partition, message.view, count))
            return
        partition.fetch = None
        if count == message.total:
            self._receive(message.partition, message.view, fetch.records)

    def _receive(self, number: int, view: int, records: list[ReservationRecord]) -> None:
        """Takes all records for a view to come, or one in which this replica is not complete."""
        partition = self.state.partition(number)
        is_replica = self.state.member_id in partition.replicas
        late = view == partition.view and is_replica and not partition.complete
        early = (
            view > partition.view
            and partition.fetched_view < view
            and not (partition.complete and is_replica)
        )
        if late or early:
            self.state.receive(partition, view, records, late)
            self.state.write(PartitionReceived(number, view, records, late))
            # At once, not when the leader asks again: the partition grants nothing meanwhile.
            self.state.tell_leader(PartitionFetched(number, view))
