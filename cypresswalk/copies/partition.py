"""The data of one partition, the keys with one value of a hash, at a replica."""

from dataclasses import dataclass, field
from hashlib import blake2b
from heapq import heappop, heappush

from cypresswalk.copies.messages import ReservationRecord, encoder

MAX_PENDING_TOKENS = 64  # requests that wait for the same record; more get no answer
DIGEST_BUCKET_BITS = 34  # 2^34 ns: records that expire within the same 17 s share a digest


def digest_bucket(wall_time: int) -> int:
    """Return the digest bucket of a wall time in nanoseconds."""
    return wall_time >> DIGEST_BUCKET_BITS


@dataclass(slots=True)
class PendingRecord:
    """A record at the primary that not all replicas have confirmed yet.

    Attributes:
        record: the record that was sent.
        unconfirmed: the replicas that have not confirmed it.
        tokens: the tokens of the requests to answer once all replicas have confirmed it.
        sent_at: the time at which it was first sent, in nanoseconds of the owner's clock.
    """

    record: ReservationRecord
    unconfirmed: set[str]
    tokens: list[object]
    sent_at: int

    def add_token(self, token: object) -> None:
        """Let a request wait for the confirmations, unless too many wait already."""
        if len(self.tokens) < MAX_PENDING_TOKENS:
            self.tokens.append(token)


@dataclass(slots=True)
class PartitionFetch:
    """A transfer in progress of all records from a sealed replica, for a later view."""

    view: int
    source: str
    records: list[ReservationRecord] = field(default_factory=list)


@dataclass(slots=True)
class Partition:
    """The records and the view of one partition.

    Attributes:
        view: the number of the latest known view; 0 if there is none.
        replicas: the replicas of that view, the primary first.
        sealed: whether the view is sealed, so that nothing is granted or stored in it any more.
        complete: whether this replica has every record that was granted.
        fetched_view: the number of the view for which all records were fetched before it began.
        records: the records by key.
        expiry_heap: a heap of the expiry times (wall time in nanoseconds) and keys of records.
        digests: the XOR of the records' digests, by bucket.
        confirmed: at the primary, the keys that all replicas are known to have.
        pending: records that are being replicated, by sequence number.
        pending_keys: the latest sequence number of each key that is being replicated.
        fetch: the transfer in progress, if any.
    """

    view: int = 0
    replicas: tuple[str, ...] = ()
    sealed: bool = False
    complete: bool = False
    fetched_view: int = 0
    records: dict[str, ReservationRecord] = field(default_factory=dict)
    expiry_heap: list[tuple[int, str]] = field(default_factory=list)
    digests: dict[int, int] = field(default_factory=dict)
    confirmed: set[str] = field(default_factory=set)
    pending: dict[int, PendingRecord] = field(default_factory=dict)
    pending_keys: dict[str, int] = field(default_factory=dict)
    fetch: PartitionFetch | None = None

    def is_primary(self, member_id: str) -> bool:
        """Return whether a member is the primary of the view."""
        return self.replicas[:1] == (member_id,)

    def pending_record(self, key: str) -> PendingRecord | None:
        """Return the latest record of a key that is being replicated, or None."""
        return self.pending.get(self.pending_keys.get(key, -1))

    def begin_view(self, view: int, replicas: tuple[str, ...], complete: bool) -> None:
        """Enter a view; if this replica is not complete in it, drop all records."""
        if not complete and self.fetched_view <= view:
            # Records that were fetched for a later view are kept for it.
            self.replace([])
        self.view = view
        self.replicas = replicas
        self.sealed = False
        self.complete = complete
        self.confirmed = set()

    def receive(self, view: int, records: list[ReservationRecord], for_current_view: bool) -> None:
        """Replace all records with those fetched for a view.

        `for_current_view` says that the view has already begun here, and that the records make this
        replica complete in it.
        """
        self.replace(records)
        self.fetched_view = view
        self.complete = self.complete or for_current_view

    def replace(self, records: list[ReservationRecord]) -> None:
        """Replace all records with these."""
        self.records = {record.key: record for record in records}
        self.expiry_heap = sorted((record.held_until, record.key) for record in records)
        self.digests = {}
        for record in records:
            self._toggle_digest(record)

    def put(self, record: ReservationRecord) -> bool:
        """Add a record or replace the one of the same key; return whether the key is new."""
        known = self.records.get(record.key)
        if known is None or known.held_until != record.held_until:
            heappush(self.expiry_heap, (record.held_until, record.key))
        if known is not None:
            self._toggle_digest(known)
        self._toggle_digest(record)
        self.records[record.key] = record
        return known is None

    def has_expired(self, wall_now: int) -> bool:
        """Return whether the earliest entry of the expiry heap has expired.

        That record may have been replaced since by one that expires later.
        """
        return bool(self.expiry_heap) and self.expiry_heap[0][0] < wall_now

    def expire(self, wall_now: int) -> None:
        """Drop expired records.

        Do nothing while the partition is sealed, since other replicas fetch its records by offset.
        """
        while self.has_expired(wall_now) and not self.sealed:
            held_until, key = self.expiry_heap[0]
            if key in self.pending_keys:
                return
            heappop(self.expiry_heap)
            record = self.records.get(key)
            if record is not None and record.held_until <= held_until:
                self._toggle_digest(self.records.pop(key))
                self.confirmed.discard(key)

    def records_in_bucket(self, bucket: int) -> list[ReservationRecord]:
        """Return the records that expire within a bucket."""
        return [
            record for record in self.records.values() if digest_bucket(record.held_until) == bucket
        ]

    def _toggle_digest(self, record: ReservationRecord) -> None:
        """Add a record to its bucket's digest, or remove it if it is included."""
        bucket = record.held_until >> DIGEST_BUCKET_BITS
        digest = int.from_bytes(blake2b(encoder.encode(record), digest_size=7).digest(), "big")
        total = self.digests.get(bucket, 0) ^ digest
        if total:
            self.digests[bucket] = total
        else:
            self.digests.pop(bucket, None)
