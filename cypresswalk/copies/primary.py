"""The primary of a partition: grants keys and has the other replicas store each record."""

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

MAX_PENDING_RECORDS = 4_096  # per partition, not confirmed by all replicas
MAX_PENDING_TOKENS = 64  # requests of one owner that wait for the same key
NO_TIME_LIMIT = 1 << 62

NOT_PRIMARY = ReservationAnswer(RETRY, reason="not the primary of that part now")
TOO_MANY_KEYS = ReservationAnswer(REFUSED, reason="too many ids are held there")
NOT_THE_OWNER = ReservationAnswer(REFUSED, reason="not held here by that one")


class Primary:
    """What a replica does for partitions of which it is the primary."""

    def __init__(self, state: ReplicaState):
        """`state` is shared with the rest of the replica."""
        self.state = state
        self.last_sequence = 0

    # Requests of clients. `wall_now` is wall time, `now` the owner's clock, both in nanoseconds.

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
        """Grants a key to the first owner that asks; the same owner gets the same answer again."""
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
            self.record(number, partition, record, [token], now)

    def _reserve_known(
        self,
        number: int,
        partition: Partition,
        known: ReservationRecord,
        owner: str,
        token: object,
        now: int,
    ) -> None:
        """Answers for a key that has a record, or waits while it is being granted."""
        pending = partition.pending.get(partition.pending_keys.get(known.key, -1))
        is_same_owner = known.owner == owner
        if pending is not None and pending.record.outcome == PENDING:
            if owner != pending.record.owner:
                answer = ReservationAnswer(HELD, pending.record.owner, PENDING)
                self.state.answer(token, answer)
            elif len(pending.tokens) < MAX_PENDING_TOKENS:
                pending.tokens.append(token)
        elif is_same_owner and known.outcome == PENDING and known.key not in partition.confirmed:
            # This primary or the one before it may have died before all replicas had it.
            self.record(number, partition, known, [token], now)
        else:
            self.settle(partition, known, [token], is_same_owner)

    def end(self, number: int, key: str, owner: str, outcome: str, token: object, now: int) -> None:
        """Records an outcome, once; only UNKNOWN may become another."""
        partition = self.state.partition(number)
        known = partition.records.get(key)
        if not self.state.is_acting_primary(partition):
            self.state.answer(token, NOT_PRIMARY)
        elif known is None or known.owner != owner:
            self.state.answer(token, NOT_THE_OWNER)
        elif known.outcome == outcome or known.outcome not in (PENDING, UNKNOWN):
            self.state.answer(token, ReservationAnswer(HELD, known.owner, known.outcome))
        else:
            record = ReservationRecord(key, owner, known.held_until, outcome)
            self.record(number, partition, record, [token], now)

    # Replication.

    def record(
        self,
        number: int,
        partition: Partition,
        record: ReservationRecord,
        tokens: list[object],
        now: int,
    ) -> None:
        """Stores a record here and at the others, then answers."""
        self.last_sequence += 1
        sequence = self.last_sequence
        self.state.put(partition, record)
        self.state.write(RecordStored(number, record))
        others = set(partition.replicas[1:])
        if not others:
            self.settle(partition, record, tokens)
            return
        partition.pending[sequence] = PendingRecord(record, others, tokens, now)
        partition.pending_keys[record.key] = sequence
        for other in sorted(others):
            self.state.send(other, ReplicateRecord(number, partition.view, sequence, record))

    def settle(
        self,
        partition: Partition,
        record: ReservationRecord,
        tokens: list[object],
        is_owner: bool = True,
    ) -> None:
        """Answers requests for a key that all replicas have; grants it to its owner alone."""
        if is_owner:
            partition.confirmed.add(record.key)
        is_granted = is_owner and record.outcome == PENDING
        result = GRANTED if is_granted else HELD
        for token in tokens:
            self.state.answer(token, ReservationAnswer(result, record.owner, record.outcome))

    def on_record_replicated(
        self, source: str, partition: Partition, message: RecordReplicated
    ) -> None:
        """Notes a confirmation; with the last one the record is settled."""
        if message.view != partition.view or partition.sealed:
            return
        pending = partition.pending.get(message.sequence)
        if pending is None:
            return
        pending.missing.discard(source)
        if pending.missing:
            return
        del partition.pending[message.sequence]
        if partition.pending_keys.get(pending.record.key) == message.sequence:
            del partition.pending_keys[pending.record.key]
        self.settle(partition, pending.record, pending.tokens)

    def resend_pending(self, number: int, sent_before: int = NO_TIME_LIMIT) -> set[str]:
        """Sends what is not confirmed once more; returns the replicas that have not confirmed."""
        partition = self.state.partition(number)
        late: set[str] = set()
        for sequence, pending in partition.pending.items():
            if pending.sent_at < sent_before:
                late |= pending.missing
                for other in sorted(pending.missing):
                    self.state.send(
                        other, ReplicateRecord(number, partition.view, sequence, pending.record)
                    )
        return late

    # Repair: a change of view can leave a record that was never granted at some replicas alone.

    def compare_digests(self, number: int) -> None:
        """Has the other replicas compare their records with those of this one."""
        partition = self.state.partition(number)
        if self.state.is_acting_primary(partition):
            for other in partition.replicas[1:]:
                self.state.send(
                    other, CompareDigests(number, partition.view, dict(partition.digests))
                )

    def on_digests_differ(
        self, source: str, partition: Partition, message: DigestsDiffer, now: int
    ) -> None:
        """Replicates what differs once more; a record that both have is this replica's."""
        if (
            message.view != partition.view
            or not self.state.is_acting_primary(partition)
            or source not in partition.replicas
        ):
            return
        theirs = {record.key: record for record in message.records}
        differing = [record for key, record in theirs.items() if key not in partition.records]
        differing += [
            record
            for record in partition.records.values()
            if digest_bucket(record.held_until) == message.bucket
            and theirs.get(record.key) != record
        ]
        for record in differing[: MAX_PENDING_RECORDS - len(partition.pending)]:
            if record.key not in partition.pending_keys:
                self.record(message.partition, partition, record, [], now)
