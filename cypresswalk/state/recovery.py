"""Restores a snapshot into a balancer, with less weight the older it is.

No I/O and no clock. A file from the future, or one of unknown age, counts as infinitely old. Old
knowledge may make a balancer careful but never ejects a healthy fleet: see `Recovery`. Beliefs are
knowledge that loses value with age: health, counts of failures, load and limits.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from cypresswalk.decisions.balancer import Balancer
from cypresswalk.decisions.health import FALL, RISE
from cypresswalk.decisions.outliers import MAX_FAILURES
from cypresswalk.measures import DecayingSum
from cypresswalk.model import SECOND, Server, ServerState
from cypresswalk.state.snapshot import ServerRecord, Snapshot, SumsRecord, observations

# A belief loses half its weight in one half-life. A server's faults last tens of seconds: hangs of
# 7 to 24 s and returns after 6 to 28 s were seen.
FAULT_HALF_LIFE = 20 * SECOND
# An id is repeated only by its client's retries, which end within a minute; ids are kept for five.
MAX_ID_AGE = 300 * SECOND
# The sums decay by themselves; after ten minutes all of them are close to zero.
MAX_SUMS_AGE = 600 * SECOND
MAX_CLOCK_SKEW = 2 * SECOND  # between two readings of wall time; a time further ahead is future
MAX_EJECTED_FRACTION = 0.5  # if beliefs would eject more of the servers, all are ignored
MIN_WEIGHT = 0.01  # beliefs with less weight are not restored
# Names of the counts in the log: servers whose drain was restored, whose beliefs were restored, and
# which the restored beliefs eject; records ignored since their server restarted or is not listed.
COUNTS = ("drains", "beliefs", "aside", "restarted", "unknown")


def belief_weight(age: int, half_life: int) -> float:
    """Return the weight of a belief of that age: 1 at age 0, 0.5 after one half-life."""
    return 0.5 ** (age / half_life) if age >= 0 else 0.0


def age_of(learned: int, now: int) -> int | None:
    """Return the age of what was learned at that time, or None if the time is in the future.

    In that case the clock was set back, or the file is from another machine.
    """
    return None if learned > now + MAX_CLOCK_SKEW else max(now - learned, 0)


def decay_count(count: int, weight: float) -> int:
    """Return the weighted count, rounded half down, since one failure may be chance."""
    return math.ceil(count * weight - 0.5)


def restore_sum(decaying: DecayingSum, saved: tuple[float, int], now: int) -> None:
    """Restore a saved total into a decaying sum, unless it is invalid or from the future."""
    total, at = saved
    if at <= now + MAX_CLOCK_SKEW and math.isfinite(total) and total >= 0:
        decaying.total = total
        decaying.updated_at = min(at, now)


def record_weight(record: ServerRecord, now: int) -> float:
    """Return the weight of a server's record, 0 if its age is unknown."""
    age = age_of(record.learned, now)
    return 0.0 if age is None else belief_weight(age, FAULT_HALF_LIFE)


def would_be_ejected(record: ServerRecord, weight: float) -> bool:
    """Return whether the server would be ejected if its record were restored with this weight."""
    down = record.known and record.health < RISE and decay_count(FALL, weight) >= MAX_FAILURES
    failures = max(decay_count(record.misses, weight), decay_count(record.errors, weight))
    return down or failures >= MAX_FAILURES


@dataclass(slots=True)
class Recovery:
    """The restoration of a snapshot into a balancer that has just been started with its last list.

    Facts are restored whatever their age: a server that was listed as draining or gone, and has not
    started since, gets no flows until a live list names it. Beliefs are restored by weight: counts
    of failures shrink to zero, and health returns to unknown. If the weighted beliefs would eject
    more than half of the servers in service, all are ignored: the fault was then probably not in
    the servers but nearer to the balancer, or the file is from another time.

    Attributes:
        snapshot: the snapshot to restore.
        now: current time, in nanoseconds.
        list_version: version of the list that the balancer was started with.
        list_address: address that this list came from.
        counts: how much was restored or ignored, by the names in `COUNTS`.
        learned: by server, its observations and the time at which they were learned.
    """

    snapshot: Snapshot
    now: int
    list_version: int
    list_address: str
    counts: dict[str, int] = field(default_factory=dict)
    learned: dict[int, tuple[tuple[object, ...], int]] = field(default_factory=dict)

    def apply(self, balancer: Balancer) -> dict[str, int]:
        """Restore the snapshot into the balancer; return `counts` for the log."""
        self.counts = dict.fromkeys(COUNTS, 0)
        pairs = self._matching_servers(balancer)
        for server, record in pairs:
            self._restore_drain(server, record)
        self._restore_beliefs(balancer, pairs)
        self._restore_sums(balancer)
        balancer.on_servers_restored(self.now)
        for server, record in pairs:
            self.learned[server.id] = observations(server), record.learned
        return self.counts

    def _matching_servers(self, balancer: Balancer) -> list[tuple[Server, ServerRecord]]:
        pairs = []
        for record in self.snapshot.servers:
            server = balancer.servers.get(record.id)
            if server is None:
                self.counts["unknown"] += 1
            elif server.started_at != record.since:
                # The server has restarted: the record describes another process.
                self.counts["restarted"] += 1
            else:
                pairs.append((server, record))
        return pairs

    def _restore_drain(self, server: Server, record: ServerRecord) -> None:
        state = ServerState(record.state)
        head = self.snapshot.head
        newer_list = (
            self.list_address == head.list_address and self.list_version > head.list_version
        )
        if state is not ServerState.READY and server.state is ServerState.READY and not newer_list:
            server.state = state
            self.counts["drains"] += 1

    def _restore_beliefs(
        self, balancer: Balancer, pairs: list[tuple[Server, ServerRecord]]
    ) -> None:
        ready = [s for s in balancer.servers.values() if s.state is ServerState.READY]
        ejected = sum(
            server.state is ServerState.READY
            and would_be_ejected(record, record_weight(record, self.now))
            for server, record in pairs
        )
        if not ready or ejected > MAX_EJECTED_FRACTION * len(ready):
            return
        self.counts["aside"] = ejected
        for server, record in pairs:
            weight = record_weight(record, self.now)
            if weight > MIN_WEIGHT:
                self.counts["beliefs"] += 1
                self._restore_server(server, record, weight)

    def _restore_server(self, server: Server, record: ServerRecord, weight: float) -> None:
        server.consecutive_failures = decay_count(record.misses, weight)
        server.consecutive_errors = decay_count(record.errors, weight)
        server.failed_checks = decay_count(record.failed, weight)
        if record.known and decay_count(FALL, weight) >= MAX_FAILURES:
            # A server that was down stays down until a health check passes; one that was up becomes
            # unknown, which counts as up.
            server.health = min(record.health, RISE)
            server.checked = record.health < RISE
        server.awaiting_first_pass = record.fresh
        server.established_count = record.answers
        # These times expire by themselves; none may lie further ahead than it could when set.
        server.next_trial_at = min(record.next_trial_at, self.now + SECOND)
        server.ejected_until = min(record.ejected_until, self.now + SECOND)
        server.load = record.strain
        server.load_reported_at = min(record.strain_at, self.now)
        server.message_delay = record.delay
        server.concurrency_limit = record.limit
        server.limit_cut_at = min(record.limit_cut_at, self.now)
        restore_sum(server.recent_drops, record.recent_drops, self.now)
        # The spent part of a slow-start budget is kept, or a restart would allow it twice.
        restore_sum(server.slow_start_spent, record.slow_start_spent, self.now)

    def _restore_sums(self, balancer: Balancer) -> None:
        head = self.snapshot.head
        age = age_of(head.taken, self.now)
        if age is None or age > MAX_SUMS_AGE or head.started > head.taken:
            return
        sums = balancer.sums()
        for name in SumsRecord.__struct_fields__:
            restore_sum(sums[name], getattr(head.sums, name), self.now)
        balancer.traffic.started_at = min(head.started, balancer.traffic.started_at)

    def recent_ids(self) -> Iterable[int]:
        """Yield the ids of flows that clients may still retry, oldest first."""
        for ident, served in self.snapshot.ids:
            age = age_of(served, self.now)
            if age is not None and age <= MAX_ID_AGE:
                yield ident
