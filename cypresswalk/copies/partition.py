"""One partition of the keys, as a replica holds it."""

from dataclasses import dataclass, field
from hashlib import blake2b
from heapq import heappop, heappush

from cypresswalk.copies.messages import ReservationRecord, encoder

DIGEST_BUCKET_BITS = 34  # of nanoseconds: records that end within the same 17 s share a digest


def digest_bucket(wall_time: int) -> int:
    """The bucket of a time in nanoseconds."""
    return wall_time >> DIGEST_BUCKET_BITS


@dataclass(slots=True)
class PendingRecord:
    """A record that not all replicas have confirmed yet, at the primary.

    Attributes:
        record: that was sent.
        missing: the replicas that have not confirmed it.
        tokens: of the requests to answer once all have.
        sent_at: when it was first sent, by the owner's clock.
    """

    record: ReservationRecord
    missing: set[str]
    tokens: list[object]
    sent_at: int


@dataclass(slots=True)
class PartitionFetch:
    """All records on their way from a sealed replica, for a view to come."""

    view: int
    source: str
    records: list[ReservationRecord] = field(default_factory=list)


@dataclass(slots=True)
class Partition:
    """Records and view of one partition.

    Attributes:
        view: the number of the latest view known; 0 for none.
        replicas: of that view, the primary first.
        sealed: nothing is granted or stored in that view any more.
        complete: this replica has all that was granted.
        fetched_view: the view for which all was fetched before it began.
        records: by key.
        expiry_heap: times until which keys are held, and the keys.
        digests: by bucket, the XOR of the digests of its records.
        confirmed: keys that all replicas are known to have, at the primary.
        pending: records on their way to the other replicas, by sequence number.
        pending_keys: the latest sequence number of each key on its way.
        fetch: what is being fetched.
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
        """Whether that member is the primary of the view."""
        return self.replicas[:1] == (member_id,)

    def begin_view(self, view: int, replicas: tuple[str, ...], complete: bool) -> None:
        """Enters a view; records of a replica that is not complete there are dropped."""
        if not complete and self.fetched_view <= view:
            # What was fetched for a later view stays for that one.
            self.replace([])
        self.view = view
        self.replicas = replicas
        self.sealed = False
        self.complete = complete
        self.confirmed = set()

    def receive(self, view: int, records: list[ReservationRecord], late: bool) -> None:
        """Takes all records for a view; `late` if it has begun already."""
        self.replace(records)
        self.fetched_view = view
        self.complete = self.complete or late

    def replace(self, records: list[ReservationRecord]) -> None:
        """Holds these records and no others."""
        self.records = {record.key: record for record in records}
        self.expiry_heap = sorted((record.held_until, record.key) for record in records)
        self.digests = {}
        for record in records:
            self._toggle_digest(record)

    def put(self, record: ReservationRecord) -> bool:
        """Adds a record, or replaces that of the same key; returns whether the key is new."""
        known = self.records.get(record.key)
        if known is None or known.held_until != record.held_until:
            heappush(self.expiry_heap, (record.held_until, record.key))
        if known is not None:
            self._toggle_digest(known)
        self._toggle_digest(record)
        self.records[record.key] = record
        return known is None

    def has_expired(self, wall_now: int) -> bool:
        """Whether the time of the earliest record, or of one that replaced it, is over."""
        return bool(self.expiry_heap) and self.expiry_heap[0][0] < wall_now

    def expire(self, wall_now: int) -> None:
        """Drops records whose time is over.

        None while it is sealed, since others fetch its records by offset.
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
        """The records that are held until a time in that bucket."""
        return [
            record for record in self.records.values() if digest_bucket(record.held_until) == bucket
        ]

    def _toggle_digest(self, record: ReservationRecord) -> None:
        """Adds a record to its bucket's digest, or takes it out."""
        bucket = record.held_until >> DIGEST_BUCKET_BITS
        digest = int.from_bytes(blake2b(encoder.encode(record), digest_size=7).digest(), "big")
        total = self.digests.get(bucket, 0) ^ digest
        if total:
            self.digests[bucket] = total
        else:
            self.digests.pop(bucket, None)
