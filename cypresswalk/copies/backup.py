"""The backup role of a replica: storing the records that the primary sends."""

from cypresswalk.copies.messages import (
    CompareDigests,
    DigestsDiffer,
    RecordReplicated,
    RecordStored,
    ReplicateRecord,
)
from cypresswalk.copies.partition import Partition, digest_bucket
from cypresswalk.copies.replica_state import ReplicaState

# A backup accepts records up to this multiple of the limit at which a primary refuses keys, since
# the primaries that send them may hold fewer records.
MAX_BACKUP_FACTOR = 2
MAX_DIFFERING_BUCKETS = 4  # number of buckets reported in answer to one comparison
MAX_RECORDS_PER_MESSAGE = 4_000  # some 300 KB


class Backup:
    """The part of a replica that handles partitions of which another member is the primary."""

    def __init__(self, state: ReplicaState):
        """Use the `state` that the parts of the replica share."""
        self.state = state

    def on_replicate_record(
        self, source: str, partition: Partition, message: ReplicateRecord
    ) -> None:
        """Store the record if it comes from the primary of the current view."""
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
        """Report the records of buckets whose digests differ from the primary's."""
        if message.view != partition.view or not partition.complete or partition.sealed:
            return
        if not partition.is_primary(source):
            return
        # Each replica drops expired records by its own clock, so the current bucket may differ.
        current_bucket = digest_bucket(wall_now)
        differing = [
            bucket
            for bucket in partition.digests.keys() | message.digests.keys()
            if bucket > current_bucket
            and partition.digests.get(bucket) != message.digests.get(bucket)
        ]
        for bucket in sorted(differing)[:MAX_DIFFERING_BUCKETS]:
            records = partition.records_in_bucket(bucket)[:MAX_RECORDS_PER_MESSAGE]
            self.state.send(
                source, DigestsDiffer(message.partition, partition.view, bucket, records)
            )
