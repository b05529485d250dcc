"""Claims on ids, granted to the first, kept by all holders of the id's part. No I/O, no clock: time is handed in.

A part has a view: a number and its holders, the first of them the primary. The primary records a claim, has every other holder
record it, and grants it once all have flushed it; so each holder alone knows every claim that was ever granted. A view ends when one
of its holders is sealed: from then on nothing can be granted in it. The next view begins with holders that are whole: they were
holders of the view before, or fetched everything from one that was sealed.

How it is called: `begin`, `seal`, `bring` set the views; `claim`, `ended`, `heard` say what comes; `out` holds what to do, in
order: ("write", value) flushed before anything behind it, ("send", to, word), ("leader", word), ("answer", token, answer).

Invariants: C1 an id is granted to one claimer, over all views; C2 a grant is at all holders of its view, flushed, before it is said;
C3 words of another view change nothing; C4 a holder that is not whole answers nothing; C5 what is held stays until its time."""

from dataclasses import dataclass, field
from hashlib import blake2b
from heapq import heappop, heappush
from typing import Any

from cypresswalk.copies.messages import (
    CompareDigests,
    DigestsDiffer,
    FetchPartition,
    FetchRecords,
    PartitionFetched,
    PartitionMessage,
    PartitionReceived,
    PartitionSealed,
    PartitionStatus,
    RecordReplicated,
    RecordsFetched,
    RecordStored,
    ReplicateRecord,
    ReservationRecord,
    SealPartition,
    ViewBegun,
    ViewSealed,
    encode,
)

MAX_RECORDS = 1_000_000  # ids at one holder, 250 bytes each: beyond them a primary refuses claims; none is forgotten before its time
SPILL = 2  # times that may come as copies from primaries that hold less
PIECE = 4_000  # records in one answer to a fetch: some 300 KB
UNDERWAY = 4_096  # records of one part that copies have not confirmed
BUCKET = 34  # bits of nanoseconds: 17 s
UNLIKE = 4  # buckets that one holder tells of at a time
ASKERS = 64  # that wait for one id at a time


@dataclass(slots=True)
class Copying:
    """A record on its way to the other holders."""

    record: ReservationRecord
    missing: set[str]
    askers: list[object]
    since: int  # by the owner's clock


@dataclass(slots=True)
class Partition:
    view: int = 0
    holders: tuple[str, ...] = ()
    sealed: bool = False
    whole: bool = False
    brought: int = 0  # the view for which all was brought here, before it began
    records: dict[str, ReservationRecord] = field(default_factory=dict)
    ends: list[tuple[int, str]] = field(default_factory=list)  # a heap: until when ids are held
    sums: dict[int, int] = field(
        default_factory=dict
    )  # by bucket: what its records come to, in any order
    sure: set[str] = field(
        default_factory=set
    )  # ids that all holders of this view have, as this primary has seen since it started
    waiting: dict[int, Copying] = field(default_factory=dict)
    copying: dict[str, int] = field(default_factory=dict)  # ids on their way: the latest number
    coming: tuple[int, str, list[ReservationRecord]] | None = (
        None  # what is being fetched: for which view, from whom
    )


@dataclass(frozen=True, slots=True)
class ReservationAnswer:
    """`kind`: "granted", "held" (by whom, and how that ended), "again" (not now or not here) and "refused" (why; nothing was
    granted)."""

    kind: str
    by: str = ""
    how: str = ""
    why: str = ""


class Replica:
    def __init__(self, me: str, most: int = MAX_RECORDS):
        self.me, self.most, self.held = me, most, 0
        self.parts: dict[int, Partition] = {}
        self.out: list[tuple[Any, ...]] = []
        self.numbers = 0

    def part(self, number: int) -> Partition:
        part = self.parts.get(number)
        if part is None:
            part = self.parts[number] = Partition()
        return part

    # Views.

    def begin(self, number: int, view: int, holders: tuple[str, ...]) -> None:
        """A view that is agreed."""
        part = self.part(number)
        if view <= part.view:
            return
        self.give_up(part, "another view of its holders has begun")
        # Whole: all that a holder of the view just before has, or that was brought for this one. Guards against one that was away for a
        # view and takes what it had before for all there is.
        stays = self.me in holders and (
            part.brought == view or part.whole and view == part.view + 1 and self.me in part.holders
        )
        self.enter(part, view, holders, stays)
        self.out.append(("write", ViewBegun(number, view, holders, stays)))

    def enter(self, part: Partition, view: int, holders: tuple[str, ...], whole: bool) -> None:
        if not whole and part.brought <= view:
            self.replace(part, [])  # what was brought for a later view stays for that one
        part.view, part.holders, part.sealed, part.whole, part.sure = (
            view,
            holders,
            False,
            whole,
            set(),
        )

    def replace(self, part: Partition, records: list[ReservationRecord]) -> None:
        self.held -= len(part.records)
        part.records = {record.ident: record for record in records}
        self.held += len(part.records)
        part.ends = sorted((record.until, record.ident) for record in records)
        part.sums = {}
        for record in records:
            self.count(part, record)

    def put(self, part: Partition, record: ReservationRecord) -> None:
        known = part.records.get(record.ident)
        if known is None or known.until != record.until:
            heappush(part.ends, (record.until, record.ident))
        if known is not None:
            self.count(part, known)
        else:
            self.held += 1
        self.count(part, record)
        part.records[record.ident] = record

    def count(self, part: Partition, record: ReservationRecord) -> None:
        """In or out: of what comes twice nothing stays."""
        bucket = record.until >> BUCKET
        total = part.sums.get(bucket, 0) ^ int.from_bytes(
            blake2b(encode(record), digest_size=7).digest(), "big"
        )
        if total:
            part.sums[bucket] = total
        else:
            part.sums.pop(bucket, None)

    def seal(self, number: int, view: int) -> bool:
        """Nothing is granted in that view any more, nor copied. Whether this one is whole, so that others can begin from it. To be
        flushed before it is told."""
        part = self.part(number)
        if part.view != view or not part.whole or self.me not in part.holders:
            return False
        if not part.sealed:
            part.sealed = True
            self.give_up(part, "its holders change")
            self.out.append(("write", ViewSealed(number, view)))
        return True

    def bring(self, number: int, view: int, source: str) -> None:
        """All of the part, for a view to come, from a sealed holder of the one before; from nobody, if it is to begin with nothing:
        whoever says so knows that no holder has anything. Asked again: goes on where it was."""
        part = self.part(number)
        if self.has(number, view):
            return
        if not source:
            # Not for a view that has begun: guards one that lost its disk against a word from before.
            if view > part.view:
                self.got(number, view, [])
            return
        if part.coming is None or part.coming[:2] != (view, source):
            part.coming = view, source, []
        self.out.append(("send", source, FetchRecords(number, view, len(part.coming[2]))))

    def has(self, number: int, view: int) -> bool:
        """Whether it could begin that view whole, or has."""
        part = self.part(number)
        return part.brought == view or part.whole and part.view == view

    def give_up(self, part: Partition, why: str) -> None:
        for copying in part.waiting.values():
            for asker in copying.askers:
                self.out.append(("answer", asker, ReservationAnswer("again", why=why)))
        part.waiting.clear()
        part.copying.clear()

    # Claims, at the primary.

    def leads(self, part: Partition) -> bool:
        return part.whole and not part.sealed and part.holders[:1] == (self.me,)

    def claim(
        self, now: int, number: int, ident: str, by: str, until: int, token: object, at: int = 0
    ) -> None:
        """Asked again by the same one: the same answer. `now`, `until`: wall time; `at`: the owner's clock."""
        part = self.part(number)
        if not self.leads(part):
            self.out.append(
                (
                    "answer",
                    token,
                    ReservationAnswer("again", why="not the primary of that part now"),
                )
            )
            return
        self.forget(now, part)
        known = part.records.get(ident)
        if known is not None:
            copying = part.waiting.get(part.copying.get(ident, -1))
            if copying is not None and copying.record.how == "out":
                if by != copying.record.by:
                    self.out.append(
                        ("answer", token, ReservationAnswer("held", copying.record.by, "out"))
                    )
                elif len(copying.askers) < ASKERS:
                    copying.askers.append(token)
                return
            if known.by == by and known.how == "out" and ident not in part.sure:
                # Recorded here, but perhaps not everywhere: this one, or the primary before it, died between two copies.
                self.record(number, part, known, [token], at)
            else:
                self.settle(part, known, [token], known.by == by)
            return
        if self.held >= self.most or len(part.waiting) >= UNDERWAY:
            self.out.append(
                ("answer", token, ReservationAnswer("refused", why="too many ids are held there"))
            )
            return
        self.record(number, part, ReservationRecord(ident, by, until, "out"), [token], at)

    def ended(
        self, now: int, number: int, ident: str, by: str, how: str, token: object, at: int = 0
    ) -> None:
        """How it ended, by whom it was granted to. From "out" once; "unknown" may become what is found out."""
        part = self.part(number)
        known = part.records.get(ident)
        if not self.leads(part):
            self.out.append(
                (
                    "answer",
                    token,
                    ReservationAnswer("again", why="not the primary of that part now"),
                )
            )
        elif known is None or known.by != by:
            self.out.append(
                ("answer", token, ReservationAnswer("refused", why="not held here by that one"))
            )
        elif known.how == how or known.how not in ("out", "unknown"):
            self.out.append(("answer", token, ReservationAnswer("held", known.by, known.how)))
        else:
            self.record(number, part, ReservationRecord(ident, by, known.until, how), [token], at)

    def record(
        self, number: int, part: Partition, record: ReservationRecord, tokens: list[object], at: int
    ) -> None:
        self.numbers += 1
        self.put(part, record)
        self.out.append(("write", RecordStored(number, record)))
        others = set(part.holders[1:])
        if not others:
            self.settle(part, record, tokens)
            return
        part.waiting[self.numbers] = Copying(record, others, tokens, at)
        part.copying[record.ident] = self.numbers
        for other in sorted(others):
            self.out.append(
                ("send", other, ReplicateRecord(number, part.view, self.numbers, record))
            )

    def settle(
        self, part: Partition, record: ReservationRecord, tokens: list[object], same: bool = True
    ) -> None:
        if same:
            part.sure.add(record.ident)
        for token in tokens:
            granted = same and record.how == "out"
            self.out.append(
                (
                    "answer",
                    token,
                    ReservationAnswer("granted" if granted else "held", record.by, record.how),
                )
            )

    def again(self, number: int, before: int = 1 << 62) -> set[str]:
        """What was sent before that and is not copied yet is sent once more. Whom it waits for."""
        part, late = self.part(number), set()
        for copy, copying in part.waiting.items():
            if copying.since < before:
                late |= copying.missing
                for other in sorted(copying.missing):
                    self.out.append(
                        ("send", other, ReplicateRecord(number, part.view, copy, copying.record))
                    )
        return late

    def forget(self, now: int, part: Partition) -> None:
        """Not while it is sealed: others fetch it piece by piece."""
        while part.ends and part.ends[0][0] < now and not part.sealed:
            until, ident = part.ends[0]
            if ident in part.copying:
                return
            heappop(part.ends)
            record = part.records.get(ident)
            if record is not None and record.until <= until:
                self.count(part, part.records.pop(ident))
                self.held -= 1
                part.sure.discard(ident)

    # What a change of view left at some holders alone was never granted; still they are to be alike, so that what is unlike tells.

    def compare(self, number: int) -> None:
        part = self.part(number)
        if self.leads(part):
            for other in part.holders[1:]:
                self.out.append(("send", other, CompareDigests(number, part.view, dict(part.sums))))

    def compared(self, now: int, source: str, part: Partition, word: CompareDigests) -> None:
        # What ends about now goes at each holder by its own clock.
        soon = now >> BUCKET
        unlike = [
            b
            for b in part.sums.keys() | word.sums.keys()
            if b > soon and part.sums.get(b) != word.sums.get(b)
        ]
        for bucket in sorted(unlike)[:UNLIKE]:
            records = [
                record for record in part.records.values() if record.until >> BUCKET == bucket
            ]
            self.out.append(
                ("send", source, DigestsDiffer(word.part, part.view, bucket, records[:PIECE]))
            )

    def differs(self, part: Partition, word: DigestsDiffer, at: int) -> None:
        """The primary's word is the one that counts: what was granted, all have alike."""
        theirs = {record.ident: record for record in word.records}
        unlike = [record for ident, record in theirs.items() if ident not in part.records]
        unlike += [
            record
            for record in part.records.values()
            if record.until >> BUCKET == word.bucket and theirs.get(record.ident) != record
        ]
        for record in unlike[: UNDERWAY - len(part.waiting)]:
            if record.ident not in part.copying:
                self.record(word.part, part, record, [], at)

    # Words between holders, and from who leads.

    def heard(self, source: str, word: PartitionMessage, now: int = 0, at: int = 0) -> None:
        """`now`: wall time; `at`: the owner's clock."""
        part = self.part(word.part)
        match word:
            case ReplicateRecord():
                if (
                    word.view == part.view
                    and part.whole
                    and not part.sealed
                    and self.me in part.holders[1:]
                    and source == part.holders[0]
                    and (self.held < SPILL * self.most or word.record.ident in part.records)
                ):
                    self.put(part, word.record)
                    self.out.append(("write", RecordStored(word.part, word.record)))
                    self.out.append(
                        ("send", source, RecordReplicated(word.part, word.view, word.number))
                    )
            case RecordReplicated():
                copying = (
                    part.waiting.get(word.number)
                    if word.view == part.view and not part.sealed
                    else None
                )
                if copying is not None:
                    copying.missing.discard(source)
                    if not copying.missing:
                        del part.waiting[word.number]
                        if part.copying.get(copying.record.ident) == word.number:
                            del part.copying[copying.record.ident]
                        self.settle(part, copying.record, copying.askers)
            case CompareDigests() if (
                word.view == part.view
                and part.whole
                and not part.sealed
                and part.holders[:1] == (source,)
            ):
                self.compared(now, source, part, word)
            case DigestsDiffer() if (
                word.view == part.view and self.leads(part) and source in part.holders
            ):
                self.differs(part, word, at)
            case FetchRecords():
                if part.sealed and part.whole and word.view == part.view + 1:
                    records = list(part.records.values())
                    self.out.append(
                        (
                            "send",
                            source,
                            RecordsFetched(
                                word.part,
                                word.view,
                                word.offset,
                                len(records),
                                records[word.offset : word.offset + PIECE],
                            ),
                        )
                    )
            case RecordsFetched():
                self.fetched(source, part, word)
            case SealPartition() if (
                word.view == part.view
            ):  # one that is behind has nothing to say of it
                sound = self.seal(word.part, word.view)
                self.out.append(("send", source, PartitionSealed(word.part, word.view, sound)))
            case FetchPartition():
                self.bring(word.part, word.view, word.source)
                if self.has(word.part, word.view):
                    self.out.append(("send", source, PartitionFetched(word.part, word.view)))

    def fetched(self, source: str, part: Partition, word: RecordsFetched) -> None:
        if (
            part.coming is None
            or part.coming[:2] != (word.view, source)
            or word.offset != len(part.coming[2])
        ):
            return
        records = part.coming[2]
        records += word.records
        if len(records) < word.total and word.records:
            self.out.append(("send", source, FetchRecords(word.part, word.view, len(records))))
            return
        part.coming = None
        if len(records) == word.total:
            self.got(word.part, word.view, records)

    def got(self, number: int, view: int, records: list[ReservationRecord]) -> None:
        """For a view that has not begun here: what it held before is of no use beside a sealed one's."""
        part = self.part(number)
        late = view == part.view and self.me in part.holders and not part.whole
        if (
            late
            or view > part.view
            and part.brought < view
            and not (part.whole and self.me in part.holders)
        ):
            self.replace(part, records)
            part.brought, part.whole = view, part.whole or late
            self.out.append(("write", PartitionReceived(number, view, records, late)))
            # At once, and not at the next word from who leads: the part grants nothing meanwhile.
            self.out.append(("leader", PartitionFetched(number, view)))

    # After a start.

    def restore(self, written: list[Any]) -> None:
        """What was written, in its order."""
        for value in written:
            part = self.part(value.part)
            match value:
                case RecordStored():
                    self.put(part, value.record)
                case ViewSealed():
                    part.sealed = True
                case ViewBegun():
                    self.enter(part, value.view, tuple(value.holders), value.whole)
                case PartitionReceived():
                    self.replace(part, value.records)
                    part.brought, part.whole = value.view, part.whole or value.late
                case PartitionStatus():
                    part.view, part.holders, part.sealed = (
                        value.view,
                        tuple(value.holders),
                        value.sealed,
                    )
                    part.whole, part.brought = value.whole, value.brought

    def stands(self) -> list[PartitionStatus]:
        """What a new file begins with."""
        return [
            PartitionStatus(number, p.view, p.holders, p.sealed, p.whole, p.brought)
            for number, p in sorted(self.parts.items())
        ]
