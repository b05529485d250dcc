"""What is kept of a balancer's knowledge, how it loses weight with age, and how it goes back into a balancer.

No I/O and no clock. Times are nanoseconds of wall time, as the balancer's own clock counts them; a file from the future, or
one whose age cannot be told, counts as endlessly old. Old knowledge may make a balancer careful and never shuts a sound
fleet out: see `Recovery`."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from msgspec import Struct

from cypresswalk.decisions.balancer import Balancer
from cypresswalk.decisions.health import FALL, RISE
from cypresswalk.decisions.outliers import MAX_FAILURES
from cypresswalk.measures import DecayingSum
from cypresswalk.model import SECOND, Server, ServerState

# Half-lives: after one, half of it is believed.
# A server's troubles last tens of seconds (hangs of 7 to 24 s were seen, returns after 6 to 28 s).
TROUBLE_HALF = 20 * SECOND
# A client's id comes again within its own retries, which end within a minute; five of those and it is let go.
IDS_KEPT = 300 * SECOND
# Sums of flows are read beside their own decay; past ten minutes nothing is left of any.
SUMS_KEPT = 600 * SECOND
SKEW = 2 * SECOND  # what two readings of wall time may differ by without one being from the future
HALF_THE_FLEET = 0.5  # more of it put aside by old knowledge than this: none of that is believed
CHUNK = 250  # servers in one slice: a tenth of a millisecond
IDS_CHUNK = 2000  # ids in one slice: a third of a millisecond


class ServerRecord(Struct, array_like=True, forbid_unknown_fields=True):
    """One server. `learned`: when something was last heard of it, by whichever life of the balancer heard it."""

    id: int
    since: int  # its start, as the list told it
    state: str
    learned: int
    health: int
    known: bool
    fresh: bool
    misses: int
    errors: int
    failed: int
    answers: int
    trial_at: int
    full_until: int
    strain: float
    strain_at: int
    limit: float  # inf where it has none
    cut_at: int
    delay: int
    dealt: tuple[float, int]  # a decaying sum: its total, and when that held
    drops: tuple[float, int]


class SumsRecord(Struct, forbid_unknown_fields=True):
    """The balancer's own sums, as (total, when)."""

    carried: tuple[float, int]
    arrivals: tuple[float, int]
    hints: tuple[float, int]
    setup_time: tuple[float, int]
    setups: tuple[float, int]


class Header(Struct, forbid_unknown_fields=True):
    balancer: str
    taken: int  # when it was copied
    started: int  # since when the sums have run
    list_version: int
    list_address: str
    again: float  # the share of flows that came again, as clients marked them
    sums: SumsRecord


class Snapshot(Struct):
    head: Header
    servers: list[ServerRecord]
    ids: list[tuple[int, int]]  # a flow's id, and when it was served


def sum_of(decaying: DecayingSum) -> tuple[float, int]:
    return decaying.total, decaying.updated_at


def server_kept(server: Server, learned: int) -> ServerRecord:
    return ServerRecord(
        server.id,
        server.started_at,
        server.state.value,
        learned,
        server.health,
        server.checked,
        server.awaiting_first_pass,
        server.consecutive_failures,
        server.consecutive_errors,
        server.failed_checks,
        server.established_count,
        server.next_trial_at,
        server.ejected_until,
        server.load,
        server.load_at,
        server.concurrency_limit,
        server.limit_cut_at,
        server.message_delay,
        sum_of(server.slow_start_spent),
        sum_of(server.recent_drops),
    )


def sums_kept(balancer: Balancer) -> SumsRecord:
    return SumsRecord(
        **{name: sum_of(balancer.sums()[name]) for name in SumsRecord.__struct_fields__}
    )


def evidence(server: Server) -> tuple:
    """Changes whenever something is heard of the server, and not when time passes. Guards against a loop of restarts that
    writes old knowledge anew as if it had just been learned."""
    return (
        server.health,
        server.checked,
        server.awaiting_first_pass,
        server.consecutive_failures,
        server.consecutive_errors,
        server.failed_checks,
        server.established_count,
        server.load_at,
        server.limit_cut_at,
        server.ejected_until,
        server.next_check_at,
        server.started_at,
        server.state,
    )


def weight(age: int, half: int) -> float:
    """What is left of a belief of that age: 1 at once, a half after one half-life."""
    return 0.5 ** (age / half) if age >= 0 else 0.0


def age_of(learned: int, now: int) -> int | None:
    """None where it can't be told: from the future, since a clock went back or the file came from elsewhere."""
    return None if learned > now + SKEW else max(now - learned, 0)


@dataclass(slots=True)
class Recovery:
    """Puts what was kept back into a balancer that has just been started with its last list.

    Facts go back whatever their age: a server that was told to drain or gone, and was not started since, is not sent
    anything until a live list names it. Beliefs go back by weight: counts of misses shrink and vanish; health returns to
    unknown. If what remains would put more than half of the servers in service aside, it is not believed at all: then the
    fault lay nearer than the servers, or the file is from another time."""

    kept: Snapshot
    now: int
    list_version: int  # of the list that the balancer was started with
    list_address: str
    done: dict[str, int] = field(default_factory=dict)
    before: dict[int, tuple[tuple, int]] = field(
        default_factory=dict
    )  # evidence and when it was learned, by server

    def into(self, balancer: Balancer) -> dict[str, int]:
        """What was taken over, in counts for the log."""
        self.done = dict.fromkeys(("drains", "beliefs", "aside", "restarted", "unknown"), 0)
        pairs = []
        for kept in self.kept.servers:
            server = balancer.servers.get(kept.id)
            if server is None:
                self.done["unknown"] += 1
            elif server.started_at != kept.since:
                self.done["restarted"] += (
                    1  # it started since: what was known is of another process
                )
            else:
                pairs.append((server, kept))
        for server, kept in pairs:
            self.drained(server, kept)
        self.believe(balancer, pairs)
        self.sums(balancer)
        balancer.placement.stale = True
        for server, kept in pairs:
            self.before[server.id] = evidence(server), kept.learned
        return self.done

    def drained(self, server: Server, kept: ServerRecord) -> None:
        state = ServerState(kept.state)
        newer_list = (
            self.list_address == self.kept.head.list_address
            and self.list_version > self.kept.head.list_version
        )
        if state is not ServerState.READY and server.state is ServerState.READY and not newer_list:
            server.state = state
            self.done["drains"] += 1

    def believe(self, balancer: Balancer, pairs: list[tuple[Server, ServerRecord]]) -> None:
        ready = [s for s in balancer.servers.values() if s.state is ServerState.READY]
        aside = sum(s.state is ServerState.READY and self.bad(k) for s, k in pairs)
        if not ready or aside > HALF_THE_FLEET * len(ready):
            return
        self.done["aside"] = aside
        for server, kept in pairs:
            part = self.part(kept)
            if part <= 0.01:
                continue
            self.done["beliefs"] += 1
            server.consecutive_failures, server.consecutive_errors = (
                faded(kept.misses, part),
                faded(kept.errors, part),
            )
            server.failed_checks = faded(kept.failed, part)
            if kept.known and faded(FALL, part) >= MAX_FAILURES:
                # Down stays down until a probe says otherwise; up is what an unknown server is taken for anyhow.
                server.health, server.checked = min(kept.health, RISE), kept.health < RISE
            server.awaiting_first_pass = kept.fresh
            server.established_count = kept.answers
            # These run out by themselves; none may reach further than it would have.
            server.next_trial_at, server.ejected_until = (
                min(kept.trial_at, self.now + SECOND),
                min(kept.full_until, self.now + SECOND),
            )
            server.load, server.load_at, server.message_delay = (
                kept.strain,
                min(kept.strain_at, self.now),
                kept.delay,
            )
            server.concurrency_limit, server.limit_cut_at = kept.limit, min(kept.cut_at, self.now)
            restore(server.recent_drops, kept.drops, self.now)
            # What was dealt of a cold server's budget counts on, or a restart would spend it twice.
            restore(server.slow_start_spent, kept.dealt, self.now)

    def part(self, kept: ServerRecord) -> float:
        age = age_of(kept.learned, self.now)
        return 0.0 if age is None else weight(age, TROUBLE_HALF)

    def bad(self, kept: ServerRecord) -> bool:
        """Whether it would be put aside by what is left of what was known."""
        part = self.part(kept)
        down = kept.known and kept.health < RISE and faded(FALL, part) >= MAX_FAILURES
        return down or max(faded(kept.misses, part), faded(kept.errors, part)) >= MAX_FAILURES

    def sums(self, balancer: Balancer) -> None:
        head = self.kept.head
        age = age_of(head.taken, self.now)
        if age is None or age > SUMS_KEPT or head.started > head.taken:
            return
        for name in SumsRecord.__struct_fields__:
            restore(balancer.sums()[name], getattr(head.sums, name), self.now)
        balancer.traffic.started_at = min(head.started, balancer.traffic.started_at)

    def ids(self) -> Iterable[int]:
        """The ids that may still come again, the oldest first."""
        for ident, served in self.kept.ids:
            age = age_of(served, self.now)
            if age is not None and age <= IDS_KEPT:
                yield ident


def faded(count: int, part: float) -> int:
    """Rounded half down: one miss may be chance, and half of one is none."""
    return math.ceil(count * part - 0.5)


def restore(decaying: DecayingSum, kept: tuple[float, int], now: int) -> None:
    total, at = kept
    if at <= now + SKEW and math.isfinite(total) and total >= 0:
        decaying.total, decaying.updated_at = total, min(at, now)
