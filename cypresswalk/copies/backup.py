"""A replica that is not the primary: stores what the primary sends."""

from cypresswalk.copies.messages import (
    CompareDigests,
    DigestsDiffer,
    RecordReplicated,
    RecordStored,
    ReplicateRecord,
)
from cypresswalk.copies.partition import Partition, digest_bucket
from cypresswalk.copies.replica_state import ReplicaState

MAX_BACKUP_FACTOR = 2  # times the limit of records, for those of primaries that hold less
MAX_DIFFERING_BUCKETS = 4  # reported in answer to one comparison
MAX_RECORDS_PER_MESSAGE = 4_000  # some 300 KB


class Backup:
    """What a replica does for partitions of which another one is the primary."""

    def __init__(self, state: ReplicaState):
        """`state` is shared with the rest of the replica."""
        self.state = state

    def on_replicate_record(
        self, source: str, partition: Partition, message: ReplicateRecord
    ) -> None:
        """Stores the record, if it comes from the primary of this view."""
        if message.view != partition.view or not partition.complete or partition.sealed:
            return
        if self.state.member_id not in partition.replicas[1:] or source != partition.replicas[0]:
            return
        has_room = self.state.record_count < MAX_BACKUP_FACTOR * self.state.max_records
        if not has_room and message.record.key not in partition.records:
            return
        self.state.put(partition, message.record)
        self.state.write(RecordStored(message.partition, message.record))
        self.state.send(source, RecordReplicated(message.partition, message.view, message.sequence))

    def on_compare_digests(
        self, wall_now: int, source: str, partition: Partition, message: CompareDigests
    ) -> None:
        """Reports the records of buckets that differ from the primary's."""
        if message.view != partition.view or not partition.complete or partition.sealed:
            return
        if not partition.is_primary(source):
            return
        # Records that end about now are dropped at each replica by its own clock.
        current = digest_bucket(wall_now)
        differing = [
            bucket
            for bucket in partition.digests.keys() | message.digests.keys()
            if bucket > current and partition.digests.get(bucket) != message.digests.get(bucket)
        ]
        for bucket in sorted(differing)[:MAX_DIFFERING_BUCKETS]:
            records = partition.records_in_bucket(bucket)[:MAX_RECORDS_PER_MESSAGE]
            self.state.send(
                source, DigestsDiffer(message.partition, partition.view, bucket, records)
            )
