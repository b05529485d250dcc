"""The primary role of a replica: granting keys and replicating the records to the backups."""

from cypresswalk.copies.messages import (
    CompareDigests,
    DigestsDiffer,
    RecordReplicated,
    RecordStored,
    ReplicateRecord,
    ReservationRecord,
)
from cypresswalk.copies.partition import Partition, PendingRecord, digest_bucket
from cypresswalk.copies.replica_state import ReplicaState
from cypresswalk.copies.reservations import (
    GRANTED,
    HELD,
    PENDING,
    REFUSED,
    RETRY,
    UNKNOWN,
    ReservationAnswer,
)

MAX_PENDING_RECORDS = 4_096  # unconfirmed records per partition
NO_TIME_LIMIT = 1 << 62

NOT_PRIMARY = ReservationAnswer(RETRY, reason="not the acting primary of the partition")
TOO_MANY_KEYS = ReservationAnswer(REFUSED, reason="the primary holds too many keys")
NOT_THE_OWNER = ReservationAnswer(REFUSED, reason="the key is not reserved by this owner")


class Primary:
    """The part of a replica that handles partitions of which it is the primary."""

    def __init__(self, state: ReplicaState):
        """Use the `state` that the parts of the replica share."""
        self.state = state
        self.last_sequence = 0

    # Requests of clients. `wall_now` is the wall time and `now` the owner's clock, in nanoseconds.

    def reserve(
        self,
        wall_now: int,
        number: int,
        key: str,
        owner: str,
        held_until: int,
        token: object,
        now: int,
    ) -> None:
        """Grant a key to the first owner that requests it.

        The same owner gets the same answer to a repeated request.
        """
        partition = self.state.partition(number)
        if not self.state.is_acting_primary(partition):
            self.state.answer(token, NOT_PRIMARY)
            return
        if partition.has_expired(wall_now):
            self.state.expire(wall_now, partition)
        known = partition.records.get(key)
        if known is not None:
            self._reserve_known(number, partition, known, owner, token, now)
        elif (
            self.state.record_count >= self.state.max_records
            or len(partition.pending) >= MAX_PENDING_RECORDS
        ):
            self.state.answer(token, TOO_MANY_KEYS)
        else:
            record = ReservationRecord(key, owner, held_until, PENDING)
            self.replicate_record(number, partition, record, [token], now)

    def _reserve_known(
        self,
        number: int,
        partition: Partition,
        known: ReservationRecord,
        owner: str,
        token: object,
        now: int,
    ) -> None:
        """Answer a request for a key that has a record.

        While the record is being replicated, a request waits for the confirmations: the next
        primary might not have the record. Only another owner's request during the replication of
        a grant is answered at once: it is held, whether or not the grant is confirmed.
        """
        pending = partition.pending_record(known.key)
        is_same_owner = known.owner == owner
        if pending is not None:
            if pending.record.outcome == PENDING and not is_same_owner:
                self.state.answer(token, ReservationAnswer(HELD, known.owner, PENDING))
            else:
                pending.add_token(token)
        elif known.key not in partition.confirmed and (is_same_owner or known.outcome != PENDING):
            # This primary or its predecessor may have crashed before all replicas had the record.
            self.replicate_record(number, partition, known, [token], now)
        else:
            self.answer_confirmed(partition, known, [token], is_same_owner)

    def end_reservation(
        self, number: int, key: str, owner: str, outcome: str, token: object, now: int
    ) -> None:
        """Record an outcome; once recorded, only UNKNOWN may be replaced."""
        partition = self.state.partition(number)
        known = partition.records.get(key)
        if not self.state.is_acting_primary(partition):
            self.state.answer(token, NOT_PRIMARY)
        elif known is None or known.owner != owner:
            self.state.answer(token, NOT_THE_OWNER)
        elif known.outcome == outcome or known.outcome not in (PENDING, UNKNOWN):
            pending = partition.pending_record(key)
            if pending is not None:
                pending.add_token(token)
            elif key not in partition.confirmed:
                self.replicate_record(number, partition, known, [token], now)
            else:
                self.state.answer(token, ReservationAnswer(HELD, known.owner, known.outcome))
        else:
            record = ReservationRecord(key, owner, known.held_until, outcome)
            self.replicate_record(number, partition, record, [token], now)

    # Replication.

    def replicate_record(
        self,
        number: int,
        partition: Partition,
        record: ReservationRecord,
        tokens: list[object],
        now: int,
    ) -> None:
        """Store a record here, send it to the backups, and answer once all have confirmed it."""
        self.last_sequence += 1
        sequence = self.last_sequence
        self.state.put(partition, record)
        self.state.write(RecordStored(number, record))
        others = set(partition.replicas[1:])
        if not others:
            self.answer_confirmed(partition, record, tokens)
            return
        partition.pending[sequence] = PendingRecord(record, others, tokens, now)
        partition.pending_keys[record.key] = sequence
        for other in sorted(others):
            self.state.send(other, ReplicateRecord(number, partition.view, sequence, record))

    def answer_confirmed(
        self,
        partition: Partition,
        record: ReservationRecord,
        tokens: list[object],
        is_owner: bool = True,
    ) -> None:
        """Answer requests for a key that has a record; grant it only to its owner.

        `is_owner` says whether the requests are the owner's; the key then counts as confirmed.
        """
        if is_owner:
            partition.confirmed.add(record.key)
        is_granted = is_owner and record.outcome == PENDING
        result = GRANTED if is_granted else HELD
        for token in tokens:
            self.state.answer(token, ReservationAnswer(result, record.owner, record.outcome))

    def on_record_replicated(
        self, source: str, partition: Partition, message: RecordReplicated
    ) -> None:
        """Note a replica's confirmation; answer the requests once all replicas have confirmed."""
        if message.view != partition.view or partition.sealed:
            return
        pending = partition.pending.get(message.sequence)
        if pending is None:
            return
        pending.unconfirmed.discard(source)
        if pending.unconfirmed:
            return
        del partition.pending[message.sequence]
        if partition.pending_keys.get(pending.record.key) == message.sequence:
            del partition.pending_keys[pending.record.key]
        self.answer_confirmed(partition, pending.record, pending.tokens)

    def resend_pending(self, number: int, sent_before: int = NO_TIME_LIMIT) -> set[str]:
        """Resend unconfirmed records; return the replicas that have not confirmed them.

        Only records that were first sent before `sent_before` are resent, a time in nanoseconds of
        the owner's clock.
        """
        partition = self.state.partition(number)
        unconfirmed: set[str] = set()
        for sequence, pending in partition.pending.items():
            if pending.sent_at < sent_before:
                unconfirmed |= pending.unconfirmed
                for other in sorted(pending.unconfirmed):
                    self.state.send(
                        other, ReplicateRecord(number, partition.view, sequence, pending.record)
                    )
        return unconfirmed

    # Repair: after a view change, a record that was never granted may exist at only some replicas.

    def compare_digests(self, number: int) -> None:
        """Ask the backups to compare their records with those of this replica."""
        partition = self.state.partition(number)
        if self.state.is_acting_primary(partition):
            for other in partition.replicas[1:]:
                self.state.send(
                    other, CompareDigests(number, partition.view, dict(partition.digests))
                )

    def on_digests_differ(
        self, source: str, partition: Partition, message: DigestsDiffer, now: int
    ) -> None:
        """Replicate the differing records again; where both have a record, this replica's wins."""
        if (
            message.view != partition.view
            or not self.state.is_acting_primary(partition)
            or source not in partition.replicas
        ):
            return
        backup_records = {record.key: record for record in message.records}
        differing = [
            record for key, record in backup_records.items() if key not in partition.records
        ]
        differing += [
            record
            for record in partition.records.values()
            if digest_bucket(record.held_until) == message.bucket
            and backup_records.get(record.key) != record
        ]
        for record in differing[: MAX_PENDING_RECORDS - len(partition.pending)]:
            if record.key not in partition.pending_keys:
                self.replicate_record(message.partition, partition, record, [], now)
