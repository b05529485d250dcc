"""Where the replicas of each partition of the idempotency keys lie: what the leader does about it.

No I/O, no clock. A partition's view is a number and its replicas, agreed in the log. It is ended by
sealing one replica that is complete; the next begins once each of its replicas is complete: those
of the old view that are heard are, newcomers fetch it from the sealed one. Replicas that are not
heard are left out first, at once, as long as enough stay; making up for them goes a few partitions
at a time.

Wrong guesses here cost time and no more: a replica that is not complete knows it
(copies/replica.py), and a view that is not the next of the agreed one is rejected by the log.
"""

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
SETTLING_TIME = 5 * SECOND  # with fewer members than replicas the first placement waits for more
RESEND_INTERVAL = 3 * SECOND // 10  # an unanswered message goes out once more
REPROPOSE_INTERVAL = 2 * SECOND
STUCK_TIME = 10 * SECOND  # a change that has come no further goes on with the replicas it has
SLOW_TIME = 10 * SECOND  # a replica that its primary could not reach is left out for so long
MAX_MAKING_UP = 6  # partitions that get new replicas at a time
MAX_STARTED_PER_RUN = 2  # of them; there are five runs a second
LONG_AGO = -1 << 62

Replicas = tuple[str, ...]  # members' ids, the primary first
Views = dict[int, tuple[int, Replicas]]  # by partition
Messages = list[tuple[str, AnyMessage]]  # with the member that each goes to


@dataclass(slots=True)
class PlacementChange:
    """A partition's change from one view to the next.

    Attributes:
        view: the view that ends.
        target: the next view's replicas.
        since: when the change began, in nanoseconds.
        source: the replica that was sealed, once it has said so.
        asked: the replica that was asked to seal.
        complete: members that have said that they are complete for the next view.
        sent_at: when each member was last sent a message.
        proposed_at: when the next view was last proposed.
        starts_empty: the next view begins without any key.
    """

    view: int
    target: Replicas
    since: int
    source: str = ""
    asked: str = ""
    complete: set[str] = field(default_factory=set)
    sent_at: dict[str, int] = field(default_factory=dict)
    proposed_at: int = LONG_AGO
    starts_empty: bool = False


@dataclass(slots=True)
class _Run:
    """What is known of all members in one run of the duty, and what it has started."""

    now: int
    views: Views
    zones: dict[str, str]  # of all members, by id
    alive: set[str]  # able to hold replicas, and heard
    usable: dict[str, str]  # alive and not leaving: zones by id
    waits: bool  # for more members before the first placement
    retention: int  # nanoseconds for which a key is kept at the longest
    started: int = 0  # changes that bring in new replicas


@dataclass(frozen=True, slots=True)
class _Partition:
    """One partition in one run."""

    number: int
    view: int
    replicas: Replicas
    complete: list[str]  # replicas that are heard and complete
    wanted: Replicas


class ReplicaPlacement:
    """Places the replicas of all partitions, as long as this member leads."""

    def __init__(self, me: str, copies: int, least: int):
        """Place nothing yet.

        Args:
            me: this member's id.
            copies: replicas of each partition.
            least: fewer replicas grant nothing.
        """
        self.me = me
        self.copies = copies
        self.least = least
        # Partitions that have lost all replicas: since when.
        self.lost: dict[int, int] = {}
        # Partitions of which no complete replica is heard.
        self.unreachable: set[int] = set()
        # Those of them that an operator lets begin empty.
        self.renewed: set[int] = set()
        self._logged_lost: set[int] = set()
        self.reset(0)

    def reset(self, now: int) -> None:
        """Begin or cease to lead at `now` (nanoseconds): nothing of before is known."""
        self.began = now
        # Whether each member can hold replicas, as it said.
        self.able: dict[str, bool] = {}
        self.changes: dict[int, PlacementChange] = {}
        # Partition, view and member: a replica that is not complete.
        self.incomplete: set[tuple[int, int, str]] = set()
        # Partition and member: until when it is left out.
        self.slow_until: dict[tuple[int, str], int] = {}
        # Partitions with fewer replicas than asked for: since when.
        self.lacking: dict[int, int] = {}
        self.lost.clear()
        self.unreachable.clear()
        self.renewed.clear()

    def on_capability(self, member: str, able: bool) -> None:
        """Note whether a member can hold replicas."""
        self.able[member] = able

    def on_message(self, now: int, source: str, message: AnyMessage, views: Views) -> None:
        """Take over what a replica reports to the leader."""
        match message:
            case PartitionSealed():
                self._on_sealed(now, source, message, views)
            case ReplicaSlow():
                self._on_slow(now, source, message, views)
            case PartitionFetched():
                change = self.changes.get(message.partition)
                if change is not None and message.view == change.view + 1:
                    change.complete.add(source)

    def _on_sealed(self, now: int, source: str, message: PartitionSealed, views: Views) -> None:
        number = message.partition
        view, replicas = views.get(number, (0, ()))
        if message.view != view:
            return
        if not message.complete:
            self.incomplete.add((number, view, source))
        elif source in replicas:
            change = self.changes.get(number)
            if change is None:  # asked for by an earlier leader
                change = self.changes[number] = PlacementChange(view, (), now)
            change.source = change.source or source

    def _on_slow(self, now: int, source: str, message: ReplicaSlow, views: Views) -> None:
        number, slow = message.partition, message.replica
        view, _ = views.get(number, (0, ()))
        if message.view != view:
            return
        if slow == source:
            self.incomplete.add((number, view, source))
            return
        if (number, slow) not in self.slow_until:
            log.info("event=copy_left_out part=%d holder=%s told_by=%s", number, slow, source)
        self.slow_until[number, slow] = now + SLOW_TIME

    def next_steps(
        self,
        now: int,
        members: Members,
        views: Views,
        departed: list[str],
        hears: Callable[[str], bool],
        retention: int,
    ) -> tuple[Views, Messages]:
        """Return views to propose, and messages to send.

        Args:
            now: nanoseconds.
            members: of the group.
            views: as agreed.
            departed: names that are to leave.
            hears: whether a member was heard lately, by its id.
            retention: nanoseconds for which a key is kept at the longest.
        """
        run = self._begin_run(now, members, views, departed, hears, retention)
        if not views and not run.usable:
            return {}, []
        proposals: Views = {}
        messages: Messages = []
        for number in range(PARTITIONS):
            partition = self._look_at(run, number)
            change = self._change_under_way(partition)
            self._note_lacking(now, partition)
            if change is None:
                change = self._start_change(run, partition)
            if change is None:
                continue
            replicas = self._drive(run, partition, change, messages)
            if replicas and now - change.proposed_at > REPROPOSE_INTERVAL:
                change.proposed_at = now
                proposals[number] = partition.view + 1, replicas
        return proposals, messages

    def _begin_run(
        self,
        now: int,
        members: Members,
        views: Views,
        departed: list[str],
        hears: Callable[[str], bool],
        retention: int,
    ) -> _Run:
        zones = {member.id: member.zone for member in members}
        alive = {member for member in zones if self.able.get(member) and hears(member)}
        usable = {
            member.id: member.zone
            for member in members
            if member.id in alive and member.name not in departed
        }
        self.slow_until = {key: until for key, until in self.slow_until.items() if until > now}
        self.incomplete = {
            key for key in self.incomplete if views.get(key[0], (0, ()))[0] == key[1]
        }
        waits = len(usable) < self.copies and now - self.began < SETTLING_TIME
        return _Run(now, views, zones, alive, usable, waits, retention)

    def _look_at(self, run: _Run, number: int) -> _Partition:
        view, replicas = run.views.get(number, (0, ()))
        able = {
            member: zone
            for member, zone in run.usable.items()
            if (number, member) not in self.slow_until
        }
        complete = [
            member
            for member in replicas
            if member in run.alive
            and (number, view, member) not in self.incomplete
            and (number, member) not in self.slow_until
        ]
        return _Partition(
            number, view, replicas, complete, choose_replicas(number, able, self.copies)
        )

    def _change_under_way(self, partition: _Partition) -> PlacementChange | None:
        change = self.changes.get(partition.number)
        if change is None:
            return None
        # A replica that comes back complete ends a beginning without keys.
        if change.view != partition.view or change.starts_empty and partition.complete:
            del self.changes[partition.number]
            return None
        return change

    def _start_change(self, run: _Run, partition: _Partition) -> PlacementChange | None:
        """Start the change that the partition needs, if any may start now."""
        change = self._next_change(run, partition)
        if change is None:
            return None
        if _makes_up(change, partition):
            if run.started >= MAX_STARTED_PER_RUN or self._making_up(run.views) >= MAX_MAKING_UP:
                return None
            run.started += 1
        self.changes[partition.number] = change
        return change

    def _making_up(self, views: Views) -> int:
        """Return how many changes bring in new replicas."""
        return sum(
            any(member not in views[number][1] for member in change.target)
            for number, change in self.changes.items()
            if number in views
        )

    def _note_lacking(self, now: int, partition: _Partition) -> None:
        if len(partition.complete) < self.copies:
            self.lacking.setdefault(partition.number, now)
        else:
            self.lacking.pop(partition.number, None)

    def _next_change(self, run: _Run, partition: _Partition) -> PlacementChange | None:
        view, wanted, complete = partition.view, partition.wanted, partition.complete
        if view == 0:
            if len(wanted) < self.least or run.waits:
                return None
            return PlacementChange(0, wanted, run.now, starts_empty=True)
        if not complete:
            return self._change_without_replicas(run, partition)
        self._note_reachable(partition.number)
        if self.least <= len(complete) < len(partition.replicas):
            # At once, so that claims go on; the missing replica is made up after that.
            return PlacementChange(view, tuple(complete), run.now)
        if set(wanted) == set(partition.replicas) or len(wanted) < self.least:
            return None
        leaves = any(member not in run.usable for member in partition.replicas)
        if len(wanted) >= len(complete) or leaves:
            return PlacementChange(view, wanted, run.now)
        return None

    def _note_reachable(self, number: int) -> None:
        self.lost.pop(number, None)
        self.unreachable.discard(number)
        self.renewed.discard(number)
        self._logged_lost.discard(number)

    def _change_without_replicas(self, run: _Run, partition: _Partition) -> PlacementChange | None:
        """No complete replica is heard; begin empty once no key of the partition can be valid.

        A replica that is a member still and has not said that it is incomplete may come back.
        """
        number, view = partition.number, partition.view
        self.unreachable.add(number)
        begins_empty = number in self.renewed
        if all(
            member not in run.zones or (number, view, member) in self.incomplete
            for member in partition.replicas
        ):
            since = self.lost.setdefault(number, run.now)
            self._log_lost(run, partition)
            begins_empty = begins_empty or run.now - since > run.retention
        if begins_empty and len(partition.wanted) >= self.least:
            return PlacementChange(view, partition.wanted, run.now, starts_empty=True)
        return None

    def _log_lost(self, run: _Run, partition: _Partition) -> None:
        if partition.number in self._logged_lost:
            return
        self._logged_lost.add(partition.number)
        log.error(
            "event=all_copies_lost part=%d view=%d claims_refused_for_s=%.0f",
            partition.number,
            partition.view,
            run.retention / SECOND,
        )

    def _drive(
        self, run: _Run, partition: _Partition, change: PlacementChange, messages: Messages
    ) -> Replicas:
        """Take the change one step further; return the next view's replicas once it can begin."""
        if change.starts_empty:
            return self._drive_empty(run, partition, change, messages)
        if not self._is_sealed(run, partition, change, messages):
            return ()
        complete = partition.complete
        if not change.target or not set(change.target) <= run.alive:
            # Rather fewer replicas at once than claims that wait; what lacks is made up later.
            enough = len(complete) >= self.least
            change.target = tuple(complete) if enough else partition.wanted
        missing = [
            member
            for member in change.target
            if member not in complete and member not in change.complete
        ]
        fetch = FetchPartition(partition.number, change.view + 1, change.source)
        for member in missing:
            _send(run, change, member, fetch, messages)
        if not missing:
            return change.target
        stuck = run.now - change.since > STUCK_TIME
        if stuck and len(change.target) - len(missing) >= self.least:
            return tuple(member for member in change.target if member not in missing)
        return ()

    def _drive_empty(
        self, run: _Run, partition: _Partition, change: PlacementChange, messages: Messages
    ) -> Replicas:
        if not set(change.target) <= run.alive:
            change.target = partition.wanted
        begin = FetchPartition(partition.number, change.view + 1, "")
        for member in change.target:
            if member not in change.complete:
                _send(run, change, member, begin, messages)
        return change.target if set(change.target) <= change.complete else ()

    def _is_sealed(
        self, run: _Run, partition: _Partition, change: PlacementChange, messages: Messages
    ) -> bool:
        """Whether a complete replica is sealed; asks one to seal where none is."""
        complete = partition.complete
        if change.source in complete:
            return True
        change.source = ""
        if complete:
            if change.asked not in complete:
                change.asked = complete[0]
            seal = SealPartition(partition.number, change.view)
            _send(run, change, change.asked, seal, messages)
        return False

    def report(self, now: int, views: Views) -> dict[str, Any]:
        """Return where replicas lie, for people; the keys are part of the tools' interface."""
        return {
            "copies": self.copies,
            "least": self.least,
            "parts": [
                [number, view, list(replicas)] for number, (view, replicas) in sorted(views.items())
            ],
            "lacking": _ages(now, self.lacking),
            "lost": _ages(now, self.lost),
            "away": sorted(self.unreachable),
            "changing": {
                number: [list(change.target), sorted(change.complete), change.source]
                for number, change in sorted(self.changes.items())
            },
            "able": sorted(member for member, able in self.able.items() if able),
        }


def _makes_up(change: PlacementChange, partition: _Partition) -> bool:
    """Whether the change brings in new replicas."""
    if change.starts_empty:
        return False
    return any(member not in partition.complete for member in change.target)


def _send(
    run: _Run, change: PlacementChange, to: str, message: AnyMessage, messages: Messages
) -> None:
    """Send unless the member was sent a message of this change a moment ago."""
    if run.now - change.sent_at.get(to, LONG_AGO) >= RESEND_INTERVAL:
        change.sent_at[to] = run.now
        messages.append((to, message))


def _ages(now: int, since: dict[int, int]) -> dict[int, float]:
    return {number: round((now - began) / SECOND, 1) for number, began in sorted(since.items())}
