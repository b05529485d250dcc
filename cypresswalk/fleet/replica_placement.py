"""The leader's placement of the replicas of each partition of the idempotency keys.

No I/O, no clock. A partition's view is a number and its replicas, agreed in the log. Sealing one
complete replica ends a view: nothing is granted in it any more. The next view begins when each of
its replicas is complete. Reachable replicas of the old view are complete already; new ones fetch
the partition from the sealed one. Unreachable replicas are left out at once, as long as enough
others remain. Replacing them follows, for a few partitions at a time.

A wrong decision here only costs time: a replica that is not complete knows it (copies/replica.py),
and the state machine rejects a view that does not directly follow the agreed one.
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
# The first placement waits this long if fewer members can hold replicas than are needed.
SETTLING_TIME = 5 * SECOND
RESEND_INTERVAL = 3 * SECOND // 10  # after which an unanswered message is sent again
REPROPOSE_INTERVAL = 2 * SECOND
STUCK_TIME = 10 * SECOND  # after which a change goes on with the replicas that are complete
SLOW_TIME = 10 * SECOND  # for which a replica that its primary could not reach is left out
MAX_REPLACING = 6  # partitions that get new replicas at the same time
MAX_STARTED_PER_RUN = 2  # such partitions; the leader runs five times a second
LONG_AGO = -1 << 62

Replicas = tuple[str, ...]  # members' ids, the primary first
Views = dict[int, tuple[int, Replicas]]  # by partition
Messages = list[tuple[str, AnyMessage]]  # with the member that each goes to


@dataclass(slots=True)
class PlacementChange:
    """A partition's change from one view to the next.

    Attributes:
        view: number of the view that ends.
        target: replicas of the next view.
        since: time at which the change began, in nanoseconds.
        source: replica that has reported that it is sealed, or an empty string.
        seal_target: replica that was asked to seal.
        complete: members that have reported that they are complete for the next view.
        sent_at: times at which members were last sent a message, in nanoseconds.
        proposed_at: time at which the next view was last proposed, in nanoseconds.
        starts_empty: whether the next view begins without any key.
    """

    view: int
    target: Replicas
    since: int
    source: str = ""
    seal_target: str = ""
    complete: set[str] = field(default_factory=set)
    sent_at: dict[str, int] = field(default_factory=dict)
    proposed_at: int = LONG_AGO
    starts_empty: bool = False


@dataclass(slots=True)
class _Run:
    """Knowledge of all members in one run of the placement, and the changes that it started."""

    now: int
    views: Views
    zones: dict[str, str]  # of all members, by id
    alive: set[str]  # able to hold replicas and heard from recently
    usable: dict[str, str]  # zones of members that are alive and not leaving, by id
    awaits_members: bool  # whether the first placement waits for more members
    retention: int  # longest time for which a key is kept, in nanoseconds
    started: int = 0  # number of changes started that add replicas


@dataclass(frozen=True, slots=True)
class _Partition:
    """State of one partition in one run."""

    number: int
    view: int
    replicas: Replicas
    complete: list[str]  # replicas that are alive and complete
    wanted: Replicas  # best placement on the usable members


class ReplicaPlacement:
    """Placement of the replicas of all partitions while this member leads."""

    def __init__(self, own_id: str, replica_count: int, min_replicas: int):
        """Start without any knowledge.

        Args:
            own_id: this member's id.
            replica_count: number of replicas of each partition.
            min_replicas: number of replicas below which a partition grants no reservation.
        """
        self.own_id = own_id
        self.replica_count = replica_count
        self.min_replicas = min_replicas
        # By partition that has lost all replicas: since when.
        self.lost: dict[int, int] = {}
        # Partitions without a reachable complete replica.
        self.unreachable: set[int] = set()
        # Partitions that an operator has allowed to begin empty.
        self.may_begin_empty: set[int] = set()
        self._logged_lost: set[int] = set()
        self.reset(0)

    def reset(self, now: int) -> None:
        """Discard all knowledge as this member begins or ceases to lead at `now` (nanoseconds)."""
        self.reset_at = now
        # By member: whether it can hold replicas, from its own report.
        self.can_hold_replicas: dict[str, bool] = {}
        self.changes: dict[int, PlacementChange] = {}
        # Partition, view and member of each replica that is not complete.
        self.incomplete: set[tuple[int, int, str]] = set()
        # By partition and member: until when the replica is left out.
        self.slow_until: dict[tuple[int, str], int] = {}
        # By partition with too few complete replicas: since when.
        self.under_replicated: dict[int, int] = {}
        self.lost.clear()
        self.unreachable.clear()
        self.may_begin_empty.clear()

    def on_capability(self, member: str, able: bool) -> None:
        """Record whether a member can hold replicas."""
        self.can_hold_replicas[member] = able

    def on_message(self, now: int, source: str, message: AnyMessage, views: Views) -> None:
        """Process a replica's message to the leader."""
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
            if change is None:  # an earlier leader asked it to seal
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
        heard_recently: Callable[[str], bool],
        retention: int,
    ) -> tuple[Views, Messages]:
        """Return views to propose, and messages to send.

        Args:
            now: nanoseconds.
            members: members of the group.
            views: agreed views.
            departed: names of members that are to leave.
            heard_recently: tells whether the member with an id was heard from recently.
            retention: longest time for which a key is kept, in nanoseconds.
        """
        run = self._begin_run(now, members, views, departed, heard_recently, retention)
        if not views and not run.usable:
            return {}, []
        proposals: Views = {}
        messages: Messages = []
        for number in range(PARTITIONS):
            partition = self._inspect(run, number)
            change = self._current_change(partition)
            self._track_under_replicated(now, partition)
            if change is None:
                change = self._start_change(run, partition)
            if change is None:
                continue
            replicas = self._advance_change(run, partition, change, messages)
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
        heard_recently: Callable[[str], bool],
        retention: int,
    ) -> _Run:
        zones = {member.id: member.zone for member in members}
        alive = {
            member
            for member in zones
            if self.can_hold_replicas.get(member) and heard_recently(member)
        }
        usable = {
            member.id: member.zone
            for member in members
            if member.id in alive and member.name not in departed
        }
        self.slow_until = {key: until for key, until in self.slow_until.items() if until > now}
        self.incomplete = {
            key for key in self.incomplete if views.get(key[0], (0, ()))[0] == key[1]
        }
        awaits_members = len(usable) < self.replica_count and now - self.reset_at < SETTLING_TIME
        return _Run(now, views, zones, alive, usable, awaits_members, retention)

    def _inspect(self, run: _Run, number: int) -> _Partition:
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
            number, view, replicas, complete, choose_replicas(number, able, self.replica_count)
        )

    def _current_change(self, partition: _Partition) -> PlacementChange | None:
        change = self.changes.get(partition.number)
        if change is None:
            return None
        # The return of a complete replica cancels a change to an empty view.
        if change.view != partition.view or change.starts_empty and partition.complete:
            del self.changes[partition.number]
            return None
        return change

    def _start_change(self, run: _Run, partition: _Partition) -> PlacementChange | None:
        """Start the change that the partition needs, if any may start now."""
        change = self._next_change(run, partition)
        if change is None:
            return None
        if _adds_replicas(change, partition):
            if (
                run.started >= MAX_STARTED_PER_RUN
                or self._count_replacing(run.views) >= MAX_REPLACING
            ):
                return None
            run.started += 1
        self.changes[partition.number] = change
        return change

    def _count_replacing(self, views: Views) -> int:
        """Return the number of changes that add replicas."""
        return sum(
            any(member not in views[number][1] for member in change.target)
            for number, change in self.changes.items()
            if number in views
        )

    def _track_under_replicated(self, now: int, partition: _Partition) -> None:
        if len(partition.complete) < self.replica_count:
            self.under_replicated.setdefault(partition.number, now)
        else:
            self.under_replicated.pop(partition.number, None)

    def _next_change(self, run: _Run, partition: _Partition) -> PlacementChange | None:
        view, wanted, complete = partition.view, partition.wanted, partition.complete
        if view == 0:
            if len(wanted) < self.min_replicas or run.awaits_members:
                return None
            return PlacementChange(0, wanted, run.now, starts_empty=True)
        if not complete:
            return self._change_without_replicas(run, partition)
        self._note_reachable(partition.number)
        if self.min_replicas <= len(complete) < len(partition.replicas):
            # Don't wait for a new replica, so that reservations go on; it is added after that.
            return PlacementChange(view, tuple(complete), run.now)
        if set(wanted) == set(partition.replicas) or len(wanted) < self.min_replicas:
            return None
        leaves = any(member not in run.usable for member in partition.replicas)
        if len(wanted) >= len(complete) or leaves:
            return PlacementChange(view, wanted, run.now)
        return None

    def _note_reachable(self, number: int) -> None:
        self.lost.pop(number, None)
        self.unreachable.discard(number)
        self.may_begin_empty.discard(number)
        self._logged_lost.discard(number)

    def _change_without_replicas(self, run: _Run, partition: _Partition) -> PlacementChange | None:
        """Return a change to an empty view if no key of the partition can still be valid.

        Called if no complete replica is reachable. A replica that is still a member and has not
        reported that it is incomplete may come back.
        """
        number, view = partition.number, partition.view
        self.unreachable.add(number)
        begins_empty = number in self.may_begin_empty
        if all(
            member not in run.zones or (number, view, member) in self.incomplete
            for member in partition.replicas
        ):
            since = self.lost.setdefault(number, run.now)
            self._log_lost(run, partition)
            begins_empty = begins_empty or run.now - since > run.retention
        if begins_empty and len(partition.wanted) >= self.min_replicas:
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

    def _advance_change(
        self, run: _Run, partition: _Partition, change: PlacementChange, messages: Messages
    ) -> Replicas:
        """Advance the change by a step; return the next view's replicas when it can begin."""
        if change.starts_empty:
            return self._advance_empty_change(run, partition, change, messages)
        if not self._is_sealed(run, partition, change, messages):
            return ()
        complete = partition.complete
        if not change.target or not set(change.target) <= run.alive:
            # Prefer fewer replicas now to reservations that wait; missing ones are added later.
            enough = len(complete) >= self.min_replicas
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
        if stuck and len(change.target) - len(missing) >= self.min_replicas:
            return tuple(member for member in change.target if member not in missing)
        return ()

    def _advance_empty_change(
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
        """Return whether a complete replica is sealed; ask one to seal if none is."""
        complete = partition.complete
        if change.source in complete:
            return True
        change.source = ""
        if complete:
            if change.seal_target not in complete:
                change.seal_target = complete[0]
            seal = SealPartition(partition.number, change.view)
            _send(run, change, change.seal_target, seal, messages)
        return False

    def report(self, now: int, views: Views) -> dict[str, Any]:
        """Return the placement, for people; the keys are part of the tools' interface."""
        return {
            "copies": self.replica_count,
            "least": self.min_replicas,
            "parts": [
                [number, view, list(replicas)] for number, (view, replicas) in sorted(views.items())
            ],
            "lacking": _ages(now, self.under_replicated),
            "lost": _ages(now, self.lost),
            "away": sorted(self.unreachable),
            "changing": {
                number: [list(change.target), sorted(change.complete), change.source]
                for number, change in sorted(self.changes.items())
            },
            "able": sorted(member for member, able in self.can_hold_replicas.items() if able),
        }


def _adds_replicas(change: PlacementChange, partition: _Partition) -> bool:
    """Return whether the change adds replicas."""
    if change.starts_empty:
        return False
    return any(member not in partition.complete for member in change.target)


def _send(
    run: _Run, change: PlacementChange, to: str, message: AnyMessage, messages: Messages
) -> None:
    """Send a message, unless the member was sent one of this change a moment ago."""
    if run.now - change.sent_at.get(to, LONG_AGO) >= RESEND_INTERVAL:
        change.sent_at[to] = run.now
        messages.append((to, message))


def _ages(now: int, since: dict[int, int]) -> dict[int, float]:
    return {number: round((now - began) / SECOND, 1) for number, began in sorted(since.items())}
