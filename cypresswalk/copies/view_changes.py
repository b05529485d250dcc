"""Changes of a partition's view: sealing the old one, fetching records, beginning the new one.

The leader seals one complete replica of a view and has the replicas of the next view fetch their
records from it. Once each of them has all records, the leader proposes the next view to the fleet.
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
    """The part of a replica that handles changes of a partition's view."""

    def __init__(self, state: ReplicaState):
        """Use the `state` that the parts of the replica share."""
        self.state = state

    def begin(self, number: int, view: int, replicas: tuple[str, ...]) -> None:
        """Enter an agreed view.

        This replica is complete in it if it was complete in the previous view, or has fetched all
        records for this one. A replica that missed a view in between is not complete.
        """
        partition = self.state.partition(number)
        if view <= partition.view:
            return
        self.state.abandon_pending(partition, "a new view of the partition has begun")
        member_id = self.state.member_id
        was_complete = (
            partition.complete and view == partition.view + 1 and member_id in partition.replicas
        )
        complete = member_id in replicas and (partition.fetched_view == view or was_complete)
        self.state.begin_view(partition, view, replicas, complete)
        self.state.write(ViewBegun(number, view, replicas, complete))

    # Sealing.

    def seal(self, number: int, view: int) -> bool:
        """Seal a view if this replica is complete in it; return whether it is.

        The owner must flush the change before it sends or answers anything.
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
            self.state.abandon_pending(partition, "the replicas of the partition are being changed")
            self.state.write(ViewSealed(number, view))
        return True

    def on_seal(self, source: str, partition: Partition, message: SealPartition) -> None:
        """Seal the view and answer; ignore a request for any view but the current one."""
        if message.view == partition.view:
            complete = self.seal(message.partition, message.view)
            self.state.send(source, PartitionSealed(message.partition, message.view, complete))

    # Fetching.

    def fetch(self, number: int, view: int, source: str) -> None:
        """Fetch all records for a later view from a sealed replica of the previous one.

        With an empty `source` the partition starts without records: the leader knows that no
        replica has any. A repeated call resumes the transfer where it stopped.
        """
        partition = self.state.partition(number)
        if self.is_complete_for(partition, view):
            return
        if not source:
            # Not for a view that has begun: this replica may have lost its disk since the request.
            if view > partition.view:
                self._receive(number, view, [])
            return
        fetch = partition.fetch
        if fetch is None or fetch.view != view or fetch.source != source:
            fetch = PartitionFetch(view, source)
            partition.fetch = fetch
        self.state.send(source, FetchRecords(number, view, len(fetch.records)))

    def is_complete_for(self, partition: Partition, view: int) -> bool:
        """Return whether this replica is complete in a view, or will be once it begins."""
        return partition.fetched_view == view or (partition.complete and partition.view == view)

    def on_fetch_partition(
        self, source: str, partition: Partition, message: FetchPartition
    ) -> None:
        """Fetch the records; answer if this replica already has them all."""
        self.fetch(message.partition, message.view, message.source)
        if self.is_complete_for(partition, message.view):
            self.state.send(source, PartitionFetched(message.partition, message.view))

    def on_fetch_records(self, source: str, partition: Partition, message: FetchRecords) -> None:
        """Send records to a replica of the next view."""
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
        """Add the received records, and request more until all have arrived."""
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
        """Accept all records for a later view, or for the current one if it is incomplete here."""
        partition = self.state.partition(number)
        is_replica = self.state.member_id in partition.replicas
        for_current_view = view == partition.view and is_replica and not partition.complete
        for_later_view = (
            view > partition.view
            and partition.fetched_view < view
            and not (partition.complete and is_replica)
        )
        if for_current_view or for_later_view:
            self.state.receive(partition, view, records, for_current_view)
            self.state.write(PartitionReceived(number, view, records, for_current_view))
            # Report at once, not when the leader asks again, since the partition grants nothing
            # until then.
            self.state.send_to_leader(PartitionFetched(number, view))
