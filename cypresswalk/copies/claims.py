"""Claims on ids, granted to the first, kept by all holders of the id's part. No I/O, no clock: time is handed in.

A part has a view: a number and its holders, the first of them the primary. The primary records a claim, has every other holder
record it, and grants it once all have flushed it; so each holder alone knows every claim that was ever granted. A view ends when one
of its holders is sealed: from then on nothing can be granted in it. The next view begins with holders that are whole: they were
holders of the view before, or took everything from one that was sealed.

How it is called: `begin`, `seal`, `tell_whole` set the views; `claim`, `ended`, `heard` say what comes; `out` holds what to do, in
order: ("write", record) flushed before anything behind it, ("send", to, word), ("answer", token, answer).

Invariants: C1 an id is granted to one claimer, over all views; C2 a grant is at all holders of its view, flushed, before it is said;
C3 words of another view change nothing; C4 a holder that is not whole answers nothing; C5 what is held stays until its time."""

from dataclasses import dataclass
from typing import Any

import msgspec

MOST = 1_000_000        # ids in one part; beyond them claims are refused, none is forgotten


class Word(msgspec.Struct, frozen=True, array_like=True, tag=True):
    part: int
    view: int


class Record(msgspec.Struct, frozen=True, array_like=True):
    """`how`: "out" while nobody has said how it ended, then "ran", "never" or "unknown"."""
    ident: str
    by: str
    until: int          # wall time in nanoseconds up to which it is held
    how: str


class Copy(Word, frozen=True):
    number: int
    record: Record


class Copied(Word, frozen=True):
    number: int


class Whole(Word, frozen=True):
    """All that a sealed holder has, for one that is to hold the part from the view named on."""
    records: list[Record]


@dataclass(slots=True)
class Part:
    view: int = 0
    holders: tuple[str, ...] = ()
    sealed: bool = False
    whole: bool = False
    sure: set[str] = None   # ids that all holders of this view have, as this primary has seen since it started
    brought: int = 0        # the view for which all was brought here, before it began
    records: dict[str, Record] = None
    waiting: dict[int, tuple[Record, set[str], list[object]]] = None     # copies out: who has not it yet, who asked


@dataclass(frozen=True, slots=True)
class Answer:
    """`kind`: "granted", "held" (by whom, and how that ended), "refused" (why; nothing was granted)."""
    kind: str
    by: str = ""
    how: str = ""
    why: str = ""


class Holder:
    def __init__(self, me: str):
        self.me = me
        self.parts: dict[int, Part] = {}
        self.out: list[tuple[Any, ...]] = []
        self.numbers = 0

    def part(self, number: int) -> Part:
        part = self.parts.get(number)
        if part is None:
            part = self.parts[number] = Part(records={}, waiting={}, sure=set())
        return part

    # Views.

    def begin(self, number: int, view: int, holders: tuple[str, ...], fresh: bool = False) -> None:
        """A view that is agreed. `fresh`: the part has never been held, or an operator or time has said that what it held counts no
        more; only then is a holder without a past a whole one."""
        part = self.part(number)
        if view <= part.view:
            return
        self.give_up(part, "another view of its holders has begun")
        # Whole: all that a holder of the view just before has, or that was brought for this one. Guards against one that was away for a
        # view and takes what it had before for all there is.
        stays = self.me in holders and (part.brought == view or part.whole and view == part.view + 1 and self.me in part.holders)
        stays = stays or fresh and self.me in holders
        if (fresh or not stays) and part.brought <= view:
            part.records = {}       # what was brought for a later view stays for that one
        part.view, part.holders, part.sealed, part.whole, part.sure = view, holders, False, stays, set()
        self.out.append(("write", ("view", number, view, holders, stays, fresh)))

    def seal(self, number: int, view: int) -> bool:
        """Nothing is granted in that view any more, nor copied. Whether this one is whole, so that others can begin from it. To be
        flushed before it is told."""
        part = self.part(number)
        if part.view != view or not part.whole or self.me not in part.holders:
            return False
        part.sealed = True
        self.give_up(part, "its holders change")
        self.out.append(("write", ("seal", number, view)))
        return True

    def tell_whole(self, number: int, view: int, to: str) -> None:
        """From a sealed one to one that is to hold the part in `view`."""
        part = self.part(number)
        if part.sealed and part.whole:
            self.out.append(("send", to, Whole(number, view, list(part.records.values()))))

    def give_up(self, part: Part, why: str) -> None:
        for record, _, askers in part.waiting.values():
            for asker in askers:
                self.out.append(("answer", asker, Answer("refused", why=why)))
        part.waiting.clear()

    # Claims, at the primary.

    def claim(self, now: int, number: int, ident: str, by: str, until: int, token: object) -> None:
        """Asked again by the same one: the same answer. `until` in wall time."""
        part = self.part(number)
        if not part.whole or part.sealed or not part.holders or part.holders[0] != self.me:
            self.out.append(("answer", token, Answer("refused", why="not the primary of that part now")))
            return
        self.forget(now, part)
        known = part.records.get(ident)
        if known is not None:
            for record, _, askers in part.waiting.values():
                if record.ident == ident and record.how == "out":
                    askers.append(token) if by == record.by else self.out.append(
                        ("answer", token, Answer("held", record.by, "out")))
                    return
            if known.by == by and known.how == "out" and ident not in part.sure:
                # Recorded here, but perhaps not everywhere: this one, or the primary before it, died between two copies.
                self.record(number, part, known, [token])
            else:
                self.settle(part, known, [token], known.by == by)
            return
        if len(part.records) >= MOST:
            self.out.append(("answer", token, Answer("refused", why=f"{MOST} ids are held in its part")))
            return
        self.record(number, part, Record(ident, by, until, "out"), [token])

    def ended(self, now: int, number: int, ident: str, by: str, how: str, token: object) -> None:
        """How it ended, by whom it was granted to. From "out" once; "unknown" may become what is found out."""
        part = self.part(number)
        known = part.records.get(ident)
        if not part.whole or part.sealed or not part.holders or part.holders[0] != self.me or known is None or known.by != by:
            self.out.append(("answer", token, Answer("refused", why="not held here by that one")))
        elif known.how == how or known.how not in ("out", "unknown"):
            self.out.append(("answer", token, Answer("held", known.by, known.how)))
        else:
            self.record(number, part, Record(ident, by, known.until, how), [token])

    def record(self, number: int, part: Part, record: Record, tokens: list[object]) -> None:
        self.numbers += 1
        part.records[record.ident] = record
        self.out.append(("write", ("record", number, record)))
        others = set(part.holders[1:])
        if not others:
            self.settle(part, record, tokens)
            return
        part.waiting[self.numbers] = record, others, tokens
        for other in sorted(others):
            self.out.append(("send", other, Copy(number, part.view, self.numbers, record)))

    def settle(self, part: Part, record: Record, tokens: list[object], same: bool = True) -> None:
        if same:
            part.sure.add(record.ident)
        for token in tokens:
            granted = same and record.how == "out"
            self.out.append(("answer", token, Answer("granted" if granted else "held", record.by, record.how)))

    def again(self, number: int) -> None:
        """What is not copied yet is sent once more."""
        part = self.part(number)
        for copy, (record, missing, _) in part.waiting.items():
            for other in sorted(missing):
                self.out.append(("send", other, Copy(number, part.view, copy, record)))

    def forget(self, now: int, part: Part) -> None:
        if len(part.records) % 64 == 0:
            for ident in [ident for ident, record in part.records.items() if record.until < now]:
                if not any(record.ident == ident for record, _, _ in part.waiting.values()):
                    del part.records[ident]
                    part.sure.discard(ident)

    # Words between holders.

    def heard(self, source: str, word: Word) -> None:
        part = self.part(word.part)
        match word:
            case Copy():
                if (word.view == part.view and part.whole and not part.sealed and self.me in part.holders[1:]
                        and source == part.holders[0]):
                    part.records[word.record.ident] = word.record
                    self.out.append(("write", ("record", word.part, word.record)))
                    self.out.append(("send", source, Copied(word.part, word.view, word.number)))
            case Copied():
                waiting = part.waiting.get(word.number) if word.view == part.view and not part.sealed else None
                if waiting is not None:
                    waiting[1].discard(source)
                    if not waiting[1]:
                        del part.waiting[word.number]
                        self.settle(part, waiting[0], waiting[2])
            case Whole():
                # For a view that has not begun here: what it held before is of no use beside a sealed one's.
                late = word.view == part.view and self.me in part.holders and not part.whole
                if late or word.view > part.view and part.brought < word.view and not (part.whole and self.me in part.holders):
                    part.records = {record.ident: record for record in word.records}
                    part.brought, part.whole = word.view, part.whole or late
                    self.out.append(("write", ("whole", word.part, word.view, word.records, late)))

    # After a start.

    def restore(self, written: list[tuple]) -> None:
        """What was written, in its order."""
        for what, number, *rest in written:
            part = self.part(number)
            match what:
                case "record":
                    part.records[rest[0].ident] = rest[0]
                case "seal":
                    part.sealed = True
                case "view":
                    view, holders, whole, fresh = rest
                    if (fresh or not whole) and part.brought <= view:
                        part.records = {}
                    part.view, part.holders, part.sealed, part.whole = view, holders, False, whole
                case "whole":
                    view, records, late = rest
                    part.records = {record.ident: record for record in records}
                    part.brought, part.whole = view, part.whole or late
