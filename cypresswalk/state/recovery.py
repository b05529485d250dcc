"""How a snapshot loses weight with age, and how it goes back into a balancer.

No I/O and no clock. A file from the future, or one whose age cannot be told, counts as endlessly
old. Old knowledge may make a balancer careful and never ejects a healthy fleet: see `Recovery`.
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

# After one half-life, half of a belief is left. A server's faults last tens of seconds: hangs of
# 7 to 24 s were seen, returns after 6 to 28 s.
FAULT_HALF_LIFE = 20 * SECOND
# A client's id comes again within its own retries, which end within a minute; five are kept.
MAX_ID_AGE = 300 * SECOND
# Sums of flows decay by themselves; past ten minutes nothing is left of any.
MAX_SUMS_AGE = 600 * SECOND
MAX_CLOCK_SKEW = 2 * SECOND  # between two readings of wall time; beyond it is the future
MAX_EJECTED_FRACTION = 0.5  # more of the fleet ejected by old knowledge: none of that is believed
MIN_WEIGHT = 0.01  # a belief of less is not taken over
COUNTS = ("drains", "beliefs", "aside", "restarted", "unknown")  # as the log names them


def belief_weight(age: int, half_life: int) -> float:
    """What is left of a belief of that age: 1 at once, a half after one half-life."""
    return 0.5 ** (age / half_life) if age >= 0 else 0.0


def age_of(learned: int, now: int) -> int | None:
    """None if it is from the future: a clock went back, or the file came from elsewhere."""
    return None if learned > now + MAX_CLOCK_SKEW else max(now - learned, 0)


def decayed(count: int, weight: float) -> int:
    """Rounded half down: one failure may be chance, and half of one is none."""
    return math.ceil(count * weight - 0.5)


def restore_sum(decaying: DecayingSum, saved: tuple[float, int], now: int) -> None:
    """Puts a saved total into a decaying sum, unless it makes no sense."""
    total, at = saved
    if at <= now + MAX_CLOCK_SKEW and math.isfinite(total) and total >= 0:
        decaying.total = total
        decaying.updated_at = min(at, now)


def record_weight(record: ServerRecord, now: int) -> float:
    """What is left of what was known of a server."""
    age = age_of(record.learned, now)
    return 0.0 if age is None else belief_weight(age, FAULT_HALF_LIFE)


def is_ejected(record: ServerRecord, weight: float) -> bool:
    """Whether the server would be ejected by what is left of what was known."""
    down = record.known and record.health < RISE and decayed(FALL, weight) >= MAX_FAILURES
    failures = max(decayed(record.misses, weight), decayed(record.errors, weight))
    return down or failures >= MAX_FAILURES


@dataclass(slots=True)
class Recovery:
    """Puts a snapshot back into a balancer that has just been started with its last list.

    Facts go back whatever their age: a server that was told to drain or gone, and was not started
    since, is not sent anything until a live list names it. Beliefs go back by weight: counts of
    failures shrink and vanish; health returns to unknown. If what remains would eject more than
    half of the servers in service, it is not believed at all: then the fault lay nearer than the
    servers, or the file is from another time.
    """

    snapshot: Snapshot
    now: int
    list_version: int  # of the list that the balancer was started with
    list_address: str
    counts: dict[str, int] = field(default_factory=dict)  # of what was taken over, by `COUNTS`
    # By server: what was observed of it, and when that was learned.
    learned: dict[int, tuple[tuple[object, ...], int]] = field(default_factory=dict)

    def apply(self, balancer: Balancer) -> dict[str, int]:
        """Returns what was taken over, in counts for the log."""
        self.counts = dict.fromkeys(COUNTS, 0)
        pairs = self._matching_servers(balancer)
        for server, record in pairs:
            self._restore_drain(server, record)
        self._restore_beliefs(balancer, pairs)
        self._restore_sums(balancer)
        balancer.placement.stale = True
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
                # It started since: what was known is of another process.
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
            and is_ejected(record, record_weight(record, self.now))
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
        server.consecutive_failures = decayed(record.misses, weight)
        server.consecutive_errors = decayed(record.errors, weight)
        server.failed_checks = decayed(record.failed, weight)
        if record.known and decayed(FALL, weight) >= MAX_FAILURES:
            # Down stays down until a health check; an unknown server is taken for up anyhow.
            server.health = min(record.health, RISE)
            server.checked = record.health < RISE
        server.awaiting_first_pass = record.fresh
        server.established_count = record.answers
        # These run out by themselves; none may reach further than it would have.
        server.next_trial_at = min(record.trial_at, self.now + SECOND)
        server.ejected_until = min(record.full_until, self.now + SECOND)
        server.load = record.strain
        server.load_reported_at = min(record.strain_at, self.now)
        server.message_delay = record.delay
        server.concurrency_limit = record.limit
        server.limit_cut_at = min(record.cut_at, self.now)
        restore_sum(server.recent_drops, record.drops, self.now)
        # What was spent of a slow-start budget counts on, or a restart would spend it twice.
        restore_sum(server.slow_start_spent, record.dealt, self.now)

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
        """The ids of flows that may still come again, the oldest first."""
        for ident, served in self.snapshot.ids:
            age = age_of(served, self.now)
            if age is not None and age <= MAX_ID_AGE:
                yield ident
