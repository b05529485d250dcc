"""Where the copies of each part of the ids lie: what the leader does about it. No I/O, no clock.

A part's view is a number and its holders, agreed in the log. It is ended by sealing one holder that has all of it; the next begins once
each of its holders has all: those of the old view that are heard have, newcomers fetch it from the sealed one. Holders that are
not heard are left out first, at once, as long as enough copies stay; making up goes a few parts at a time.

Wrong guesses here cost time and no more: who has not all knows it (copies/claims.py), and a view that is not the next of the one
agreed is refused by the log."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from cypresswalk.agreement.messages import Members
from cypresswalk.copies.messages import (
    AnyMessage,
    FetchPartition,
    PartitionFetched,
    PartitionSealed,
    ReplicaSlow,
    SealPartition,
)
from cypresswalk.copies.placement import PARTITIONS, choose_replicas

log = logging.getLogger(__name__)
SECOND = 1_000_000_000
SETTLE = 5 * SECOND  # fewer members than copies: so long the first placement waits for more
AGAIN = 3 * SECOND // 10  # a word unanswered for so long goes out once more
STUCK = 10 * SECOND  # a change that has come no further goes on with whom it has
BAD = 10 * SECOND  # a holder that a primary could not reach is left out of that part for so long
AT_ONCE = 6  # parts that are made up elsewhere at a time
STARTED = 2  # of them begun at one look, five of which a second go by

Views = dict[int, tuple[int, tuple[str, ...]]]


@dataclass(slots=True)
class PlacementChange:
    """From view `view` to the next."""

    view: int
    target: tuple[str, ...]
    since: int
    source: str = ""  # the holder that is sealed, once it has said so
    asked: str = ""  # whom to seal
    whole: set[str] = field(default_factory=set)
    said_at: dict[str, int] = field(default_factory=dict)
    proposed_at: int = -1 << 62
    new: bool = False  # begins with nothing


class ReplicaPlacement:
    def __init__(self, me: str, copies: int, least: int):
        self.me, self.copies, self.least = me, copies, least
        self.lost: dict[int, int] = {}  # parts without any copy: since when
        self.away: set[int] = set()  # parts of which no copy is heard
        self.renewed: set[int] = set()  # of these, those that an operator lets begin with nothing
        self.said_lost: set[int] = set()
        self.turned(0)

    def turned(self, now: int) -> None:
        """Leads from now on, or no more: nothing of before is known."""
        self.began = now
        self.able: dict[str, bool] = {}  # members that hold copies, as they told
        self.changes: dict[int, PlacementChange] = {}
        self.empty: set[tuple[int, int, str]] = set()  # part, view, holder: that has not all of it
        self.bad: dict[tuple[int, str], int] = {}  # part, holder: until when it is left out
        self.lacking: dict[int, int] = {}  # parts with fewer copies than asked for: since when
        self.lost.clear()
        self.away.clear()
        self.renewed.clear()

    def holds(self, member: str, able: bool) -> None:
        self.able[member] = able

    # Words.

    def heard(self, now: int, source: str, word: AnyMessage, views: Views) -> None:
        view, there = views.get(word.partition, (0, ()))
        change = self.changes.get(word.partition)
        match word:
            case PartitionSealed(complete=False) if word.view == view:
                self.empty.add((word.partition, view, source))
            case ReplicaSlow(replica=who) if word.view == view and who == source:
                self.empty.add((word.partition, view, source))
            case ReplicaSlow(replica=who) if word.view == view:
                if (word.partition, who) not in self.bad:
                    log.info(
                        "event=copy_left_out part=%d holder=%s told_by=%s",
                        word.partition,
                        who,
                        source,
                    )
                self.bad[word.partition, who] = now + BAD
            case PartitionSealed() if word.view == view and source in there:
                if change is None:  # by a leader before this one
                    change = self.changes[word.partition] = PlacementChange(view, (), now)
                change.source = change.source or source
            case PartitionFetched() if change is not None and word.view == change.view + 1:
                change.whole.add(source)

    # What is to be done.

    def tend(
        self,
        now: int,
        members: Members,
        views: Views,
        left: list[str],
        heard: Callable[[str], bool],
        longest: int,
    ) -> tuple[Views, list[tuple[str, AnyMessage]]]:
        """Views to propose, and words to send. `heard`: whether a member was heard lately; `longest`: for how long an id is held."""
        sends: list[tuple[str, AnyMessage]] = []
        there = {m.id: m.zone for m in members}
        alive = {ident for ident in there if self.able.get(ident) and heard(ident)}
        usable = {m.id: m.zone for m in members if m.id in alive and m.name not in left}
        self.bad = {key: until for key, until in self.bad.items() if until > now}
        self.empty = {key for key in self.empty if views.get(key[0], (0,))[0] == key[1]}
        if not views and not usable:
            return {}, []
        wait = len(usable) < self.copies and now - self.began < SETTLE
        proposals: Views = {}
        begun = 0
        for part in range(PARTITIONS):
            view, now_there = views.get(part, (0, ()))
            change = self.changes.get(part)
            able = {ident: zone for ident, zone in usable.items() if (part, ident) not in self.bad}
            wanted = choose_replicas(part, able, self.copies)
            whole = [
                h
                for h in now_there
                if h in alive and (part, view, h) not in self.empty and (part, h) not in self.bad
            ]
            # A holder that comes back whole ends a beginning with nothing.
            if change is not None and (change.view != view or change.new and whole):
                del self.changes[part]
                change = None
            self.note_lacking(now, part, len(whole))
            if change is None:
                change = self.next_change(
                    now, part, view, now_there, whole, wanted, there, usable, wait, longest
                )
                if change is None:
                    continue
                if not change.new and any(h not in whole for h in change.target):
                    making = sum(
                        any(h not in views[p][1] for h in c.target)
                        for p, c in self.changes.items()
                        if p in views
                    )
                    if making >= AT_ONCE or begun >= STARTED:
                        continue
                    begun += 1
                self.changes[part] = change
            ready = self.drive(now, part, change, whole, wanted, alive, sends)
            if ready and now - change.proposed_at > 2 * SECOND:
                change.proposed_at = now
                proposals[part] = view + 1, ready
        return proposals, sends

    def note_lacking(self, now: int, part: int, copies: int) -> None:
        if copies < self.copies:
            self.lacking.setdefault(part, now)
        else:
            self.lacking.pop(part, None)

    def next_change(
        self,
        now: int,
        part: int,
        view: int,
        now_there: tuple[str, ...],
        whole: list[str],
        wanted: tuple[str, ...],
        there: dict[str, str],
        usable: dict[str, str],
        wait: bool,
        longest: int,
    ) -> PlacementChange | None:
        if view == 0:
            return (
                PlacementChange(0, wanted, now, new=True)
                if len(wanted) >= self.least and not wait
                else None
            )
        if not whole:
            return self.without_copies(now, part, view, now_there, wanted, there, longest)
        self.lost.pop(part, None)
        self.away.discard(part)
        self.renewed.discard(part)
        self.said_lost.discard(part)
        if len(whole) < len(now_there) and len(whole) >= self.least:
            return PlacementChange(
                view, tuple(whole), now
            )  # at once, and claims go on; the copy is made up after that
        leaves = any(h not in usable for h in now_there)
        if (
            set(wanted) != set(now_there)
            and len(wanted) >= self.least
            and (len(wanted) >= len(whole) or leaves)
        ):
            return PlacementChange(view, wanted, now)
        return None

    def without_copies(
        self,
        now: int,
        part: int,
        view: int,
        now_there: tuple[str, ...],
        wanted: tuple[str, ...],
        there: dict[str, str],
        longest: int,
    ) -> PlacementChange | None:
        """No holder of it is heard. One that is a member still and has not said that it has nothing may come back whole."""
        self.away.add(part)
        gone = all(h not in there or (part, view, h) in self.empty for h in now_there)
        if gone:
            since = self.lost.setdefault(part, now)
            if part not in self.said_lost:
                self.said_lost.add(part)
                log.error(
                    "event=all_copies_lost part=%d view=%d claims_refused_for_s=%.0f",
                    part,
                    view,
                    longest / SECOND,
                )
        if part in self.renewed or gone and now - since > longest:
            if len(wanted) >= self.least:
                return PlacementChange(view, wanted, now, new=True)
        return None

    def drive(
        self,
        now: int,
        part: int,
        change: PlacementChange,
        whole: list[str],
        wanted: tuple[str, ...],
        alive: set[str],
        sends: list[tuple[str, AnyMessage]],
    ) -> tuple[str, ...]:
        """Goes one step further; the next view's holders once each has all."""

        def say(to: str, word: AnyMessage) -> None:
            if now - change.said_at.get(to, -1 << 62) >= AGAIN:
                change.said_at[to] = now
                sends.append((to, word))

        if change.new:
            change.target = change.target if set(change.target) <= alive else wanted
            for name in change.target:
                if name not in change.whole:
                    say(name, FetchPartition(part, change.view + 1, ""))
            return change.target if change.target and set(change.target) <= change.whole else ()
        if change.source not in whole:
            change.source = ""
            if not whole:
                return ()
            if change.asked not in whole:
                change.asked = whole[0]
            say(change.asked, SealPartition(part, change.view))
            return ()
        if not change.target or not set(change.target) <= alive:
            # Rather fewer copies at once than claims that wait: what lacks is made up in a change of its own.
            change.target = tuple(whole) if len(whole) >= self.least else wanted
        missing = [name for name in change.target if name not in whole and name not in change.whole]
        for name in missing:
            say(name, FetchPartition(part, change.view + 1, change.source))
        if (
            missing
            and now - change.since > STUCK
            and len(change.target) - len(missing) >= self.least
        ):
            return tuple(name for name in change.target if name not in missing)
        return () if missing else change.target

    # What it tells.

    def told(self, now: int, views: Views) -> dict[str, Any]:
        return {
            "copies": self.copies,
            "least": self.least,
            "parts": [[part, view, list(there)] for part, (view, there) in sorted(views.items())],
            "lacking": {
                part: round((now - since) / SECOND, 1)
                for part, since in sorted(self.lacking.items())
            },
            "lost": {
                part: round((now - since) / SECOND, 1) for part, since in sorted(self.lost.items())
            },
            "away": sorted(self.away),
            "changing": {
                part: [list(c.target), sorted(c.whole), c.source]
                for part, c in sorted(self.changes.items())
            },
            "able": sorted(ident for ident, able in self.able.items() if able),
        }
