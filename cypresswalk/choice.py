"""Every decision of the balancer: which server a flow goes to, and when servers are judged, spared or left.

How it is called: a host makes one Balancer per instance from its settings, a seed and the time, tells it what
happens (listed, arrived, resumed, established, ended, left, silent, probed, delay_told, peer_told, woken)
and then calls decide() until that returns None, carrying out each decision at once. Inputs only update what
is known; all deciding is done in decide(). Times are whole nanoseconds of the host's clock. The types in
model.py are all that a host needs; `servers` and `flows` map ids to objects for its door alone.
"""

import math
from collections import Counter, deque
from collections.abc import Iterator
from hashlib import blake2b
from heapq import heappop, heappush
from itertools import chain, islice
from zlib import crc32

from cypresswalk.model import (
    SECOND,
    Abort,
    CheckHealth,
    Decision,
    Effect,
    EndpointUpdate,
    Flow,
    Migrate,
    Outcome,
    Reject,
    ScheduleWakeup,
    Scope,
    SendGossip,
    Server,
    ServerState,
    Settings,
    StartAttempt,
    Subscribe,
)

RISE, FALL = 2, 3  # the article's example, after HAProxy
NORMAL = 5 * SECOND  # the article's interval at full health
FAST = 1 * SECOND  # degraded or unknown: the design's
DOWN = 10 * SECOND  # down: the design's
JITTER = 0.1  # the article's 10%

TABLE_SIZE = 1021  # prime; fills give each of seventy servers 14 or 15 slots: even to 7%


def mix(number: int) -> int:
    """A hash that every instance agrees on; keyed CRCs of one id are related, this is not."""
    return int.from_bytes(blake2b(number.to_bytes(8, "little"), digest_size=16).digest(), "little")


def maglev(servers: list[Server]) -> list[Server]:
    """The lookup table: each server in turn takes its next free slot, as often as its weight asks."""
    table: list[Server | None] = [None] * TABLE_SIZE
    top = max(s.weight for s in servers)
    turns = []
    for server in sorted(servers, key=lambda s: s.id):
        digest = mix(server.id)
        offset, skip = (digest & (1 << 64) - 1) % TABLE_SIZE, 1 + (digest >> 64) % (TABLE_SIZE - 1)
        turns.append([server, offset, skip, 0.0])
    free = TABLE_SIZE
    while True:
        for turn in turns:
            server, slot, skip, credit = turn
            credit += server.weight / top
            if credit >= 1:
                credit -= 1
                while table[slot] is not None:
                    slot = (slot + skip) % TABLE_SIZE
                table[slot] = server
                free -= 1
                if not free:
                    return table
            turn[1], turn[3] = slot, credit


class Decaying:
    """A sum whose parts fade with the time constant `tau`; brought up to date when it is read."""

    __slots__ = ("tau", "total", "at")

    def __init__(self, tau: int, now: int):
        self.tau, self.total, self.at = tau, 0.0, now

    def read(self, now: int) -> float:
        self.total *= math.exp((self.at - now) / self.tau)
        self.at = now
        return self.total

    def add(self, now: int, amount: float) -> None:
        self.total = self.read(now) + amount


class Counted:
    """How many there were in the last `span`, by slots: no fewer (`most`), no more (`least`)."""

    def __init__(self, span: int, now: int):
        self.slot = -(-span // SLOTS)
        self.at, self.counts = now // self.slot, deque([0] * (SLOTS + 1), SLOTS + 1)

    def turn(self, now: int) -> deque:
        late = min(now // self.slot - self.at, SLOTS + 1)
        self.counts.extend([0] * late)
        self.at += max(now // self.slot - self.at, 0)
        return self.counts

    def add(self, now: int, number: int = 1) -> None:
        self.turn(now)[-1] += number

    def most(self, now: int) -> int:
        return sum(self.turn(now))

    def least(self, now: int) -> int:
        # The oldest slot may begin before the window, the next by less than a nanosecond a slot.
        return sum(islice(self.turn(now), 2, None))


class Balancer:
    def __init__(self, settings: Settings, seed: int, now: int):
        self.settings = settings
        self.servers: dict[int, Server] = {}
        self.flows: dict[int, Flow] = {}
        self.waiting, self.held = deque(), deque()  # flows
        self.freed, self.stale, self.members = False, True, []  # the tables' servers
        self.tables: list[tuple[list[Server], list[Server]]] = []
        self.walks: dict[tuple[int, int], list[Server]] = {}  # their servers from a slot on
        self.customers, self.keys = Counter(), Counter()  # flows held, by customer and by key
        self.seed, self.draws, self.entered, self.started = seed, 0, 0, now
        self.dealt_until = 0  # until then no cold server is dealt anything
        self.to_ask: list[Server] = []  # probes that a flow waits for
        self.to_tell: list[tuple[Server, float]] = []
        self.probes: list[tuple[int, int, Server]] = []  # a heap, by the probe clock
        self.doubted: dict[
            Server, None
        ] = {}  # something was heard of them: flows there may have to move
        self.next_home, self.homing = (
            now,
            None,
        )  # the server of another zone whose next flow comes home
        # Of other zones: sound servers in a row that left a connect unanswered, and when one may try again.
        self.ways: dict[int, tuple[int, int]] = {}
        self.next_wake = self.asks_failed = 0
        self.next_look = now  # when a server next wants a probe or gives up a flow
        self.next_ask = now if settings.list_polled else None
        self.silenced: dict[Flow, None] = {}  # to be moved: nothing comes back on them
        # Half a minute: long enough that a burst does not pass for capacity in the cold budget.
        self.carried, self.borne = Decaying(30 * SECOND, now), Decaying(30 * SECOND, now)
        # Ten seconds of set-ups: long against one set-up, short against a trouble.
        self.setup_time, self.setups = Decaying(10 * SECOND, now), Decaying(10 * SECOND, now)
        # Connects that ended in no set-up and flows given up; of these errors and what they turn away; those
        # that came up; and, while errors are most of it, when a flow goes in any case.
        self.denied, self.erred, self.took = (Decaying(10 * SECOND, now) for _ in range(3))
        self.next_trial = self.next_borne = now
        self.taken = self.further = None  # counts of flows, and of connects beyond their first
        self.on_settings(now, settings)
        # Half a minute: a balancer among hundreds sees a few flows in it.
        self.arrivals, self.hints = Decaying(30 * SECOND, now), Decaying(30 * SECOND, now)
        self.probe_time, self.probe_time_at = (
            0,
            now,
        )  # the clock that probes go by; see `probe_clock`

    # What has happened.

    def on_settings(self, now: int, settings: Settings) -> None:
        """Other settings from now on; flows that are held go by those that they came under."""
        window, before, self.settings = (
            settings.retry_window,
            self.settings.retry_window,
            settings,
        )
        if not window:
            self.taken = self.further = None
        elif self.taken is None or window != before:
            self.taken, self.further = Counted(window, now), Counted(window, now)
            if now > self.started:  # what went before is not known by this window
                self.assume_retry_budget_spent(now)
        targets = [
            t.message_latency_objective
            for t in settings.service_types
            if t.message_latency_objective
        ]
        self.message_target = min(targets, default=0)
        self.next_look = now

    def on_endpoints(self, now: int, form: EndpointUpdate, entries: list[Server]) -> None:
        if form is EndpointUpdate.FAILED:
            # Calls wait in turn at one service: coming back at once would keep it jammed, so waits double.
            self.asks_failed += 1
            wait = min(SECOND << min(self.asks_failed - 1, 4), self.settings.poll_within // 4)
            self.next_ask = now + self.jittered(wait, 0.3)
            return
        if form is not EndpointUpdate.CACHED:
            self.asks_failed = 0
        named = {entry.id for entry in entries}
        for entry in entries:
            server = self.servers.get(entry.id)
            if server is None:
                server = self.servers[entry.id] = entry
                server.health = RISE - 1
                server.fresh = form is not EndpointUpdate.CACHED
                server.dealt = Decaying(max(2 * self.settings.slow_start_window, 1), now)
                server.drops = Decaying(DROPS_TAU, now)
                server.filled = Decaying(max(2 * self.settings.slow_start_window, 1), now)
                # A new server is of no use before its first probe: that one is spread over two seconds of
                # time, and not at all where probes are cheap. Guards against a grown fleet that stands empty.
                stretch = self.stretch(now)
                spread = (1 - 1 / stretch) / stretch if server.fresh else 1.0
                self.probe_at(
                    server, self.probe_clock(now) + int(self.jittered(FAST, 0.9) * spread)
                )
            else:
                back = server.state is ServerState.GONE and entry.state is ServerState.READY
                if back or entry.since != server.since:
                    self.restart(now, server)
                server.zone, server.cell, server.weight = entry.zone, entry.cell, entry.weight
                server.since, server.state = entry.since, entry.state
        if form is not EndpointUpdate.DELTA:
            for server in self.servers.values():
                if server.id not in named:
                    server.state = ServerState.GONE
        self.stale = True
        self.next_look = now

    def restart(self, now: int, server: Server) -> None:
        server.health, server.known, server.fresh = RISE - 1, False, True
        self.probe_at(server, self.probe_clock(now))
        server.answers, server.misses, server.errors, server.failed, server.strain = 0, 0, 0, 0, 0.0
        server.full_until, server.limit = 0, math.inf

    def remove_from_rotation(self, now: int, server: Server) -> None:
        """By hand, until put back, whatever lists say. Twice is once."""
        if not server.barred:
            server.barred, server.barred_at, server.owed = True, now, False
            self.stale = True
            self.doubt(now, server)

    def return_to_rotation(self, now: int, server: Server) -> None:
        """As a server that has just started; its start time tells whether it is cold."""
        if server.barred:
            server.barred, server.owed, self.stale = False, True, True
            self.restart(now, server)
            self.next_look = now

    def on_predecessor_lost(self, now: int) -> None:
        """A balancer was lost in whose place this one comes: what it spent of cold servers' budgets is not
        known, so all of it counts as spent for its window."""
        self.dealt_until = now + self.settings.slow_start_window
        self.assume_retry_budget_spent(now)

    def assume_retry_budget_spent(self, now: int) -> None:
        """How many further connects another process made, in whose place this one comes, is not known."""
        if self.further is not None:
            self.further.add(now, math.ceil(self.settings.retry_budget_base))

    def yield_budgets(self, now: int) -> None:
        """Another process takes what is left of cold servers' budgets, and of that of further connects."""
        if self.further is not None:
            self.further.add(now, int(YIELDED))
        for server in self.servers.values():
            server.dealt.add(now, YIELDED)
            server.owed = False

    def is_avoided(self, now: int, server: Server) -> bool:
        """Whether new flows pass it over now, by hand, by the list or by own judgement."""
        placed = any(server in group for _, group in self.pools())
        return not placed or now < server.full_until or max(server.misses, server.errors) >= MISSES

    def on_flow(self, now: int, flow: Flow) -> None:
        self.hold(now, flow)
        if not flow.returning:
            self.arrivals.add(now, 1)
        if self.taken is not None:
            self.taken.add(now)
        self.waiting.append(flow)

    def on_flow_resumed(self, now: int, flow: Flow, server: Server) -> None:
        """An established flow that was routed through here already."""
        self.hold(now, flow)
        flow.attempts.append(server)
        flow.established = True
        self.take(flow, server, server.flows)

    def on_established(self, now: int, flow: Flow, took: int) -> None:
        server = flow.server
        flow.established = True
        server.out.pop(flow, None)
        server.flows[flow] = None
        self.freed = True
        server.answers += 1
        server.misses = server.errors = 0
        self.ways.pop(server.zone, None)
        server.owed = False
        if flow.last_outcome is Outcome.ERROR:
            # Told by a flow that another server took: guards against odd flows speaking against all servers.
            # What stands there may be served well: only new flows pass it over.
            flow.attempts[-2].errors += 1
            flow.attempts[-2].trial_at = now + self.jittered(TRIAL, JITTER)
        self.setup_time.add(now, took)
        self.setups.add(now, 1)
        self.took.add(now, 1)

    def on_ended(self, now: int, flow: Flow, outcome: Outcome, final: bool, took: int) -> None:
        server = flow.server
        self.drop(flow)
        if flow.established:
            if outcome is Outcome.OK:
                self.carried.add(now, 1)
            elif outcome is Outcome.RESET and self.up(server) and self.sheds(now, server):
                self.cut(now, server)
                # A server that drops what it has just set up is as good as full: guards against a few such
                # servers that draw most flows, one after another, since each leaves room for the next.
                if now - flow.attempt_sent_at < SETTLED:
                    server.full_until = now + self.jittered(TRIAL, JITTER)
                    # Only this balancer saw it, and the client comes back to another one.
                    self.news(now, server, SHED)
        else:
            self.judge_connect(now, server, outcome, took)
            self.erred.add(now, outcome is Outcome.ERROR)
            self.denied.add(now, outcome is not Outcome.MOOT)
            if not outcome.never_ran and flow.may_have_run_on is None:
                flow.may_have_run_on, flow.may_have_run_since = server, flow.attempt_sent_at
        flow.last_outcome, flow.server = outcome, None
        if final:
            self.forget(flow)
        else:
            self.waiting.append(flow)

    def sheds(self, now: int, server: Server) -> bool:
        """Whether what it drops says that it is full: it is strained, or drops one after another. Guards
        against a network that breaks a connection here and there, for which sound servers were limited."""
        server.drops.add(now, 1)
        return server.drops.read(now) > DROPS or self.strained(now, server)

    def cut(self, now: int, server: Server) -> None:
        """One step down from what was too much. Guards against the jam in which a full server's pile makes
        all messages late, and what it drops comes straight back, is set up at a price, is dropped again. With
        a flow or two here a step is a part of a flow, so it goes down from the limit, not from what stands;
        while the delay falls the last step is at work, and as deep a one again would empty the server."""
        if now - server.cut_at < CUT_EVERY:
            return
        keep = max(1 - server.delay / DRAIN, KEEP_LEAST if server.delay < HOPELESS else 0.0)
        held = self.load(server)
        if server.delay >= server.cut_delay > 0:
            held = min(held, self.limit(now, server))
        server.cut_delay = server.delay
        self.keep_at(now, server, max(CUT * keep * held, 1.0))

    def keep_at(self, now: int, server: Server, load: float) -> None:
        server.limit, server.cut_at = min(load, self.limit(now, server)), now
        self.doubt(now, server)

    def judge_connect(self, now: int, server: Server, outcome: Outcome, took: int) -> None:
        if outcome is Outcome.FULL:
            server.full_until = now + SECOND  # a second: a queue of new connections empties in less
        elif outcome in (Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET):
            server.misses += 1
            if server.misses == 1 and server.zone != self.settings.zone:
                lost = self.ways.get(server.zone, (0, 0))[0] + 1
                self.ways[server.zone] = lost, now + self.jittered(TRIAL, JITTER)
            server.trial_at = now + self.jittered(TRIAL, JITTER)
            if server.next_probe > self.probe_clock(now):
                self.probe_at(server, self.probe_clock(now))
            self.doubt(now, server)
            self.news(now, server, SHED)
            if outcome is Outcome.TIMEOUT:
                self.setup_time.add(now, took)
                self.setups.add(now, 1)

    def on_client_gone(self, now: int, flow: Flow) -> None:
        """The client is gone. A connect still out is forgotten here; its end tells nothing more."""
        self.forget(flow)
        if flow.server is not None:
            self.drop(flow)

    def on_silence(self, now: int, flow: Flow, alone: bool) -> None:
        """Its client speaks and nothing comes back. Guards against a server, or a way to it, that passes
        probes but no longer serves what stands there; `alone`, it answers others and is not blamed."""
        if not alone:
            self.judge_connect(now, flow.server, Outcome.RESET, 0)
        self.silenced[flow] = None

    def hold(self, now: int, flow: Flow) -> None:
        self.flows[flow.id] = flow
        self.keys[flow.key] += 1
        self.customers[flow.tenant] += 1

    def forget(self, flow: Flow) -> None:
        self.silenced.pop(flow, None)
        if self.flows.pop(flow.id, None) is not None:
            self.customers[flow.tenant] -= 1
            self.keys[flow.key] -= 1
            if not self.keys[flow.key]:
                del self.keys[flow.key]

    def take(self, flow: Flow, server: Server, where: dict) -> None:
        flow.server = server
        where[flow] = None
        if flow.grouped:
            server.groups[flow.key] += 1

    def drop(self, flow: Flow) -> None:
        server = flow.server
        if flow in server.out or flow in server.flows:
            server.out.pop(flow, None)
            server.flows.pop(flow, None)
            if flow.grouped:
                server.groups[flow.key] -= 1
                if not server.groups[flow.key]:
                    del server.groups[flow.key]
        self.freed = True

    def load(self, server: Server, flow: Flow | None = None) -> float:
        """What the server is asked from here, with that flow if one is given, counted in connections. A group
        asks its own work wherever any of it stands, or passing over would scatter groups everywhere."""
        groups = len(server.groups)
        if flow is None:
            return len(server.out) + len(server.flows) + GROUP_WORK * groups
        groups += flow.grouped and flow.key not in server.groups
        return len(server.out) + len(server.flows) + 1 + GROUP_WORK * groups

    def on_health_check_result(
        self, now: int, server: Server, passed: bool, load: float | None
    ) -> None:
        server.probing = False
        self.freed = True
        was_up = self.up(server)
        # The very first probe settles an unknown server either way.
        server.health = (
            min(server.health + 1, RISE + FALL - 1) if passed else max(server.health - 1, 0)
        )
        server.fresh = server.fresh and not passed
        server.known = True
        if load is not None:
            self.judge_strain(now, server, (load - LOAD_EASY) / (1 - LOAD_EASY))
        # Guards against one lost probe that keeps a server out for long which never failed before.
        server.failed = 0 if passed else server.failed + 1
        soon = server.health > 0 or server.failed < FALL
        interval = NORMAL if server.health == RISE + FALL - 1 else FAST if soon else DOWN
        self.probe_at(server, self.probe_clock(now) + self.jittered(interval, JITTER))
        if was_up != self.up(server):
            self.stale = True
        self.doubt(now, server)

    def probe_clock(self, now: int) -> int:
        """Runs with time, but no faster than this balancer's own flows can pay for probes of every server.
        Guards against many balancers whose probes cost more than their flows earn."""
        self.probe_time += int((now - self.probe_time_at) / self.stretch(now))
        self.probe_time_at = now
        return self.probe_time

    def stretch(self, now: int) -> float:
        if not self.settings.health_check_price:
            return 1.0
        seen = self.arrivals.tau * (1 - math.exp((self.started - now) / self.arrivals.tau))
        # One more than came: rather a few probes than none.
        flows = (self.arrivals.read(now) + 1) / max(seen, self.arrivals.tau)
        afford = flows * PROBE_POINTS / self.settings.health_check_price
        return max(1.0, len(self.servers) / NORMAL / afford)

    def on_message_delay(self, now: int, server: Server, delay: int) -> None:
        server.delay = delay
        self.judge_strain(now, server, delay / self.message_target if self.message_target else 0.0)

    def on_gossip(self, now: int, server: Server, strain: float) -> None:
        """A hint only: it has the server passed over for a while and moves nothing."""
        server.told_at = now
        if now - server.strain_at > STRAIN_HOLD or strain > server.strain:
            server.strain, server.strain_at = strain, now

    def news(self, now: int, server: Server, strain: float, hearers: float = 0.0) -> None:
        """Tells the others that a server is strained, or such as have no flow there would send it more. Where
        many hear the same, as many of them tell, by chance, as the price allows."""
        if (
            not self.settings.gossip
            or self.settings.instances < 2
            or now - server.told_at < TELL_EVERY
        ):
            return
        price = self.settings.gossip_price * HINT_PART * (self.settings.instances - 1)
        left = (self.arrivals.read(now) + 1) * HINT_POINTS - self.hints.read(now) * price
        if self.draw() * price < left and self.draw() * hearers * price < TELL_POINTS:
            server.told_at = now
            self.hints.add(now, 1)
            self.to_tell.append((server, max(strain, server.strain)))

    def doubt(self, now: int, server: Server) -> None:
        self.doubted[server] = None
        self.next_look = now

    def judge_strain(self, now: int, server: Server, strain: float) -> None:
        server.strain, server.strain_at = strain, now
        if strain >= STRAINED:
            # As many as have flows there.
            self.news(
                now, server, strain, len(self.flows) * self.settings.instances / len(self.servers)
            )
        if strain >= SHED:
            self.cut(now, server)
        elif strain >= STRAINED:
            self.keep_at(now, server, (EASE if strain >= WORN else 1.0) * self.load(server))
        self.doubt(now, server)

    def on_wakeup(self, now: int) -> None:
        self.next_wake = 0

    # What to do about it.

    def next_decision(self, now: int) -> Decision | None:
        # Any of them may be due first: flows that were tried before are held for a shorter time.
        if self.held and (self.freed or any(now >= flow.next_due(now) for flow in self.held)):
            self.waiting.extendleft(reversed(self.held))
            self.held.clear()
        self.freed = False
        if self.silenced:
            flow, _ = self.silenced.popitem()
            self.drop(flow)
            return Migrate(flow)
        if self.to_tell:
            return SendGossip(*self.to_tell.pop())
        while self.waiting:
            flow = self.waiting.popleft()
            if flow.id in self.flows:
                if (decision := self.place(now, flow)) is not None:
                    return decision
                self.held.append(flow)
        if self.to_ask:
            return CheckHealth(self.to_ask.pop())
        if self.next_ask is not None and now >= self.next_ask:
            self.next_ask = None
            return Subscribe()
        if now >= self.next_look and (decision := self.look(now)) is not None:
            return decision
        due = min(
            [self.next_look]
            + [self.next_ask] * (self.next_ask is not None)
            + [flow.next_due(now) for flow in self.held]
        )
        if not self.next_wake or due < self.next_wake:
            self.next_wake = due
            return ScheduleWakeup(due - now)
        return None

    def look(self, now: int) -> Decision | None:
        """Probes that are due and flows to be moved. Only what something was heard of is looked at: walking
        the whole fleet at each word took hundreds of balancers more time than all else together."""
        clock = self.probe_clock(now)
        while self.probes and self.probes[0][0] <= clock:
            at, _, server = heappop(self.probes)
            # An entry is void once the probe was put forward or is out.
            if (
                at == server.next_probe
                and not server.probing
                and server.state is not ServerState.GONE
            ):
                server.probing = True
                return CheckHealth(server)
        due = now + 60 * SECOND  # nothing to do: any time will do
        if self.probes:
            due = now + 1 + int((self.probes[0][0] - clock) * self.stretch(now))
        if self.settings.zone_crossing_price >= max(
            HOMING * self.settings.migration_price, DEAR_CROSSING
        ):
            if now >= self.next_home:
                far = [
                    s
                    for s in self.servers.values()
                    if s.zone != self.settings.zone
                    for _ in s.flows
                ]
                # No faster than new flows come: guards servers against a fleet that comes home at once.
                rate = min(
                    len(far) / HOMING_SPREAD, (self.arrivals.read(now) + 1) / self.arrivals.tau
                )
                self.next_home, self.homing = now + int(1 / max(rate, 1 / SECOND)), None
                if self.draw() < rate * SECOND and self.near_easy(now):
                    self.homing = far[self.draws % len(far)]
                    self.doubted[self.homing] = None
            due = min(due, self.next_home)
        for server in list(self.doubted):
            if now >= server.next_move:
                if (flow := self.to_move(now, server)) is not None:
                    return Migrate(flow)
            if server.next_move > now:
                due = min(due, server.next_move)
            else:
                del self.doubted[server]
        self.next_look = due
        return None

    def probe_at(self, server: Server, clock: int) -> None:
        server.next_probe = clock
        if self.settings.health_checks:
            self.entered += 1
            heappush(self.probes, (clock, self.entered, server))

    def place(self, now: int, flow: Flow) -> Decision | None:
        """None holds the flow for a while: set-ups under way will make room."""
        spent = len(flow.attempts) >= self.settings.max_attempts
        if flow.deadline <= now or spent or not self.may_go_again(now, flow):
            return self.give_up(now, flow)
        if now >= self.next_borne:
            self.bear(now)
        if not flow.await_checks_until:
            flow.await_checks_until = now + flow.service_type.setup_latency_objective // 10
            self.deal(now, flow)
            self.ask(now, flow)
        if now < flow.await_checks_until and any(s.probing for s in flow.awaited_checks):
            return None
        # A client that comes back to places that all miss their targets would only be dropped again. Guards
        # against the jam in which hundreds of balancers set up, by turns, what the servers cannot hold.
        # Where the nearest pool has fewer the next one's count: guards against rejects beside idle servers.
        places = chain.from_iterable(self.walk(table, flow.key) for table, _ in self.pools())
        if (
            flow.returning
            and flow.grouped
            and all(s.strain >= SHED and self.strained(now, s) for s in islice(places, CHOICES))
        ):
            return self.give_up(now, flow)
        # Guards what all servers stand on, as a store that each set-up asks, against clients that come
        # back at once: twice what was taken goes (as published for clients of an overloaded service).
        erred, took = self.erred.read(now) - MISSES, self.took.read(now)
        if erred > took and (
            not flow.last_outcome.never_ran
            if flow.attempts
            else now < self.next_trial and self.draw() < (erred - took) / (erred + took)
        ):
            self.erred.add(now, not flow.attempts)
            return self.give_up(now, flow)
        server = self.pick(now, flow)
        if server is None:
            if not flow.queued_until:
                flow.queued_until = min(
                    now + flow.service_type.setup_latency_objective // 2, flow.deadline
                )
            busy = any(len(s.out) >= IN_FLIGHT for s in self.servers.values())
            return None if busy and now < flow.queued_until else self.give_up(now, flow)
        if flow.attempts and self.further is not None:
            if not self.affords(now):
                return self.give_up(now, flow)
            self.further.add(now)
        if self.way_lost(server):
            self.ways[server.zone] = self.ways[server.zone][0], now + self.jittered(TRIAL, JITTER)
        flow.attempts.append(server)
        flow.attempt_sent_at = now
        self.next_trial = now + TELLS_BY
        self.take(flow, server, server.out)
        return StartAttempt(flow, server, self.patience(now, flow))

    def ask(self, now: int, flow: Flow) -> None:
        """Where probes bring load reports, a probe of the flow's places before it is placed. Guards against
        sending by reports as old as the interval that a balancer with few flows can pay for."""
        if self.settings.load_index < 0 or not self.settings.health_checks:
            return
        for table, _ in self.pools()[:1]:
            for server in islice(self.walk(table, flow.key), CHOICES):
                if server.probing or now - server.strain_at > FAST:
                    flow.awaited_checks.append(server)
                    if not server.probing:
                        server.probing = True
                        self.to_ask.append(server)

    def give_up(self, now: int, flow: Flow) -> Decision:
        """The final answer, at once. A reject only where another try does no harm."""
        self.forget(flow)
        self.denied.add(now, 1)
        harmless = (
            flow.may_have_run_on is None
            or flow.service_type.effect is Effect.IDEMPOTENT
            or flow.service_type.effect is Effect.IDEMPOTENCY_KEY
            and flow.service_type.scope is Scope.ALL
        )
        if not harmless:
            return Abort(flow)
        wait = (
            min(flow.service_type.setup_latency_objective, self.settings.max_retry_after)
            if self.settings.retry_after_allowed
            else 0
        )
        return Reject(flow, wait)

    def affords(self, now: int) -> bool:
        """Whether a further connect stays within what the settings allow in any window."""
        s = self.settings
        return self.further.most(
            now
        ) + 1 <= s.retry_budget_base + s.retry_budget_ratio * self.taken.least(now)

    def may_go_again(self, now: int, flow: Flow) -> bool:
        if flow.may_have_run_on is None or flow.service_type.effect is Effect.IDEMPOTENT:
            return True
        return (
            flow.service_type.effect is Effect.IDEMPOTENCY_KEY
            and now < flow.may_have_run_since + flow.service_type.idempotency_window
        )

    def patience(self, now: int, flow: Flow) -> int:
        """How long a connect may stay out: half the setup target, so that a second one can meet it; more
        where set-ups are slow everywhere; all there is for the last one, or one not to be repeated."""
        last = len(flow.attempts) >= self.settings.max_attempts
        if last or flow.service_type.effect is not Effect.IDEMPOTENT:
            return 0
        usual = self.setup_time.read(now) / max(self.setups.read(now), 1.0)
        span = max(flow.service_type.setup_latency_objective // 2, int(3 * usual))
        return span if now + span < flow.deadline else 0

    # Where to.

    def up(self, server: Server) -> bool:
        if server.state is not ServerState.READY or server.fresh or server.barred:
            return False
        return server.health >= RISE or not server.known

    def pools(self) -> list[tuple[list[Server], list[Server]]]:
        """The Maglev tables, nearest pool first, with the servers that each names. Without an up server the
        listed ones serve: probes that all time out must never empty the table."""
        if self.stale:
            self.stale = False
            ready = [
                s for s in self.servers.values() if s.state is ServerState.READY and not s.barred
            ]
            up = [s for s in ready if self.up(s)] or ready
            # Lists come in parts and mostly repeat what is known: a table is built when it would differ.
            members = [(s.id, s.zone, s.weight) for s in up]
            if members != self.members:
                self.members = members
                groups = [up]
                if self.settings.zone_crossing_price >= DEAR_CROSSING:
                    zone = self.settings.zone
                    groups = [[s for s in up if (s.zone == zone) is near] for near in (True, False)]
                self.tables = [(maglev(group), group) for group in groups if group]
                self.walks.clear()
        return self.tables

    def pick(self, now: int, flow: Flow) -> Server | None:
        """The key's slot, then where its group stands from here, then the first slot after it whose server
        need not be passed over; nearest pool first."""
        last = None
        pools = self.pools()
        # Guards against a server put back by hand that stays empty: of its small part few are its own keys.
        for server in (s for _, servers in pools for s in servers if s.owed):
            if (
                server not in flow.attempts
                and self.in_scope(flow, server)
                and self.admits(now, server, flow, True)
                and self.sound(now, server, flow, True)
            ):
                return server
        for table, servers in pools:
            home, spare = table[mix(flow.key) % TABLE_SIZE], None
            stands = [s for s in servers if flow.key in s.groups] if flow.grouped else []
            for place, server in enumerate(
                chain([home], stands, self.walk(table, flow.key)), -len(stands)
            ):
                if flow.grouped and place > CHOICES and (spare or last):
                    break
                # Being over the mean alone sends nobody to a cold server: its budget is for its own share.
                if spare and self.cold(now, server):
                    continue
                if self.in_scope(flow, server) and self.admits(now, server, flow, server is home):
                    if server not in flow.attempts and self.sound(
                        now, server, flow, server is home
                    ):
                        load = self.load(server, flow) / server.weight
                        if load * server.weight <= PASS_OVER_FLOOR or load <= PASS_OVER * self.mean(
                            now, servers
                        ):
                            return server
                        spare = spare or server
                    last = last or server
            # A server over the mean is still sound: that alone is no reason to cross to another pool.
            if spare:
                return spare
        return last or self.room(now, flow)

    def room(self, now: int, flow: Flow) -> Server | None:
        """Rather than give up: a cold server that holds less than its present part of what warm ones
        have held here. Flows that stand for minutes say little by how many end in a window, which is what the
        budget is dealt by. Guards against cold servers that stand empty beside rejects."""
        if not self.settings.can_migrate or now < self.dealt_until:
            return None
        for table, _ in self.pools():
            for server in self.walk(table, flow.key):
                if (
                    self.cold(now, server)
                    and server not in flow.attempts
                    and self.in_scope(flow, server)
                    and now >= server.full_until
                    and len(server.out) <= min(server.answers, IN_FLIGHT - 1)
                    and server.misses < MISSES
                    and not self.strained(now, server)
                ):
                    part = self.warmed(now, server) * self.borne.read(now) * server.weight
                    # What it was found to bear, where flows from here stand there: that grows as it warms.
                    # Guards against clients rejected for ten seconds beside it once no warm server can tell.
                    if server.flows and server.limit < math.inf:
                        part = max(part, self.limit(now, server))
                    load = self.load(server, flow)
                    # Half of it in a window: a set-up asks work of its own.
                    if (
                        load <= min(part, self.limit(now, server))
                        and server.filled.read(now) + 1 <= part / 2
                    ):
                        server.filled.add(now, 1)
                        return server
        return None

    def bear(self, now: int) -> None:
        """What a warm server holds from here. Follows the mean up slowly: a mass return is not borne yet,
        and down more slowly still: when most servers have restarted none is left to tell."""
        self.next_borne = now + FAST
        warm = [s for s in self.servers.values() if self.up(s) and not self.cold(now, s)]
        self.borne.add(now, max(self.mean(now, warm) - self.borne.read(now), 0.0) * FAST / BORNE)

    def walk(self, table: list[Server], key: int) -> Iterator[Server]:
        """The servers in the order in which the table names them from the key's slot on."""
        slot = mix(key) % TABLE_SIZE
        order, first = self.walks.get((id(table), slot)), []
        if order is None:
            for server in chain(table[slot:], table[:slot]):
                if server not in first:
                    first.append(server)
                    yield server
                    if len(first) > CHOICES:
                        break
            # All are asked for again and again while none admits anything: that order is made up once.
            if len(self.walks) >= WALKS:
                self.walks.clear()
            order = self.walks[id(table), slot] = list(
                dict.fromkeys(chain(table[slot:], table[:slot]))
            )
        yield from islice(order, len(first), None)

    def in_scope(self, flow: Flow, server: Server) -> bool:
        """Guards against a second effect: a referenced flow that may have run stays in its group."""
        ran = flow.may_have_run_on
        if (
            ran is None
            or flow.service_type.effect is Effect.IDEMPOTENT
            or flow.service_type.scope is Scope.ALL
        ):
            return True
        return (
            server.zone == ran.zone
            if flow.service_type.scope is Scope.ZONE
            else server.cell == ran.cell
        )

    def limit(self, now: int, server: Server) -> float:
        if server.limit == math.inf:
            return math.inf
        # Past ten time constants the cut is forgotten; the exponential would run out of range on a far clock.
        if now - server.cut_at > 10 * LIMIT_GROWTH:
            return math.inf
        limit = server.limit * math.exp((now - server.cut_at) / LIMIT_GROWTH)
        # What was too much for a cold server is not for a warmer one. Guards against servers that hold for
        # their whole warming what they bore in its first second, a group or none, beside clients rejected.
        if self.cold(server.cut_at, server):
            limit *= self.warmed(now, server) / self.warmed(server.cut_at, server)
        return limit

    def warmed(self, now: int, server: Server) -> float:
        """The part of its capacity that a server started lately is taken to have."""
        s, age = self.settings, min(max(now - server.since, 0), self.settings.warm_up_time)
        return s.warm_up_initial_fraction + (1 - s.warm_up_initial_fraction) * age / s.warm_up_time

    def fits(
        self, limit: float, server: Server, flow: Flow, without: float, with_it: float
    ) -> bool:
        """Whether that flow may be among what the limit leaves. Where one flow is more than the limit has
        left, the part is kept by a hash of key and server, mostly: so hundreds of balancers with a flow each
        yield the same groups to the same next servers, and in the sum as much as one that held them all."""
        if with_it <= limit or without >= limit:
            return with_it <= limit
        return without + (with_it - without) * self.rank(server, flow) <= limit

    def rank(self, server: Server, flow: Flow) -> float:
        """From 0 to 1: who yields first where only a part can stay; for one key mostly everywhere alike."""
        group, own = mix(flow.key ^ server.id), mix(flow.id ^ server.id)
        return (SAME_KEY * (group & 0xFFFFFFFF) + (1 - SAME_KEY) * (own & 0xFFFFFFFF)) / 0xFFFFFFFF

    def mean(self, now: int, servers: list[Server]) -> float:
        """This balancer's connections for each unit of weight, on the pool's sound servers: counting others,
        or other pools, all sound ones could be over and flows would cross zones or land on a bad one."""
        sound = [
            s
            for s in servers
            if s.misses < MISSES and now >= s.full_until and not self.strained(now, s)
        ]
        return sum(map(self.load, sound)) / sum(s.weight for s in sound) if sound else 0.0

    def admits(self, now: int, server: Server, flow: Flow, home: bool) -> bool:
        """Whether the server may be sent a flow at all, however bad the others look."""
        if now < server.full_until or len(server.out) >= IN_FLIGHT:
            return False
        limit = self.limit(now, server)
        if limit < math.inf:
            load, copy = self.load(server), flow.grouped and flow.key not in server.groups
            with_it = load + 1 + GROUP_WORK * copy
            # Another copy of a group needs room to spare: near their limits servers trade flows for copies.
            if load >= limit or copy and not home and with_it > COPY_ROOM * limit:
                return False
            if not self.fits(limit, server, flow, load, with_it):
                return False
        # Of a cold server's flows a part. In flight: one more than it has answered.
        return (
            not self.cold(now, server)
            or server in flow.slow_start_admitted
            and len(server.out) <= server.answers
        )

    def sound(self, now: int, server: Server, flow: Flow, home: bool) -> bool:
        """Guards against a server that passes probes and serves none, and slow ones' full share. Of its keys
        a strained server gives up part after part, the same at all balancers: copies of groups cost. Where
        one sound server of another zone after another does not answer the way is bad, not they: guards
        against a few connects lost at each of its servers, at each balancer."""
        if self.way_lost(server) and now < self.ways[server.zone][1]:
            return False
        if max(server.misses, server.errors) >= MISSES and (now < server.trial_at or server.out):
            return False
        return (
            not self.strained(now, server) or home and self.rank(server, flow) < 1 - server.strain
        )

    def way_lost(self, server: Server) -> bool:
        return self.ways.get(server.zone, (0, 0))[0] >= LOST_WAY

    def strained(self, now: int, server: Server) -> bool:
        return server.strain > STRAINED and now - server.strain_at < STRAIN_HOLD

    def cold(self, now: int, server: Server) -> bool:
        return server.since > 0 and now - server.since < self.settings.warm_up_time

    def deal(self, now: int, flow: Flow) -> None:
        """Guards cold servers against the sum of all balancers. Each flow that comes may go to a cold server
        by a chance that is dealt from this balancer's part of the budget, used or not: so the sum holds
        though all balancers see as many flows at once as this one does. The part is what ends well here in a
        window, a flow at least: with a few flows at each of many balancers that says nothing yet, and servers
        that had joined stood empty; and that flow less where many are denied: all are pressed. A key that
        makes up more of the flows here than the server of the fleet is let in less; one says nothing."""
        cold = [s for s in self.servers.values() if s.since and self.cold(now, s) and self.up(s)]
        if not cold or now < self.dealt_until:
            return
        s = self.settings
        seen = 1 - math.exp((self.started - now) / self.carried.tau)
        usual = self.carried.read(now) / max(seen, 0.05) * s.slow_start_window / self.carried.tau
        fleet = sum(server.weight for server in self.servers.values() if self.up(server))
        keys = (self.keys[flow.key] - 1) / len(self.flows) if flow.grouped else 0.0
        homes = [table[mix(flow.key) % TABLE_SIZE] for table, _ in self.pools()]
        for server in cold:
            budget = s.overload_factor * self.warmed(now, server) * max(usual, LEAST_USUAL)
            part = min(max(budget - server.dealt.read(now), 0.0), 1.0)
            server.dealt.add(now, part)
            part /= 1 + (usual < LEAST_USUAL) * self.denied.read(now) / (self.took.read(now) + 1)
            share = server.weight / max(fleet, server.weight)
            # Where their own servers are full all flows get here, not a share of them.
            part *= 1.0 if server in homes else max(share, OTHERS / max(usual, LEAST_USUAL))
            # One put back by hand is owed its first flow, and one flow a window is anyone's to send it.
            first = server.owed and not server.answers and not server.out
            chance = 1.0 if first else part * share / max(share, keys)
            if (mix(flow.id ^ server.id) & 0xFFFFFFFF) / 0xFFFFFFFF < chance:
                flow.slow_start_admitted.append(server)

    # Moving established flows.

    def to_move(self, now: int, server: Server) -> Flow | None:
        if not self.settings.can_migrate or not server.flows:
            return None
        if not self.up(server) and server.failed >= MISSES or server.misses >= MISSES:
            ready = [s for s in self.servers.values() if self.up(s)]
            sound = [s for s in ready if s.misses < MISSES and not self.strained(now, s)]
            if 2 * len(sound) < len(ready) or not sound:
                server.next_move = now + SECOND
                return None
            flow, pause = self.release(server), int(LOST_SPREAD / len(server.flows))
        elif server.barred and any(self.up(s) for s in self.servers.values()):
            left = max(server.barred_at + OUT_WITHIN - now, 0)
            flow, pause = self.release(server), max(left // len(server.flows), SHED_EVERY)
        elif self.load(server) > self.limit(now, server):
            flow, pause = self.release(server), SHED_EVERY
            load = self.load(server)
            alone = flow.grouped and server.groups[flow.key] == 1
            if self.fits(
                self.limit(now, server), server, flow, load - 1 - GROUP_WORK * alone, load
            ):
                return None  # until a further cut
        elif server is self.homing:
            self.homing, flow, pause = None, self.release(server), SHED_EVERY
        else:
            return None
        server.next_move = now + pause
        self.drop(flow)
        return flow

    def near_easy(self, now: int) -> bool:
        """Whether flows in another zone should come home: no near server is strained or was relieved."""
        near = [s for s in self.servers.values() if s.zone == self.settings.zone and self.up(s)]
        return bool(near) and all(
            now - s.strain_at > STRAIN_HOLD and s.misses < MISSES and self.limit(now, s) == math.inf
            for s in near
        )

    def release(self, server: Server) -> Flow:
        """A flow beyond its customer's share before others, the smallest group first, since a group asks its
        own work wherever any of it stands; of equals the one that yields first at all balancers."""
        shares = self.settings.quotas if self.settings.overage_weight < 1 else []
        over = {
            customer
            for customer, count in self.customers.items()
            if customer < len(shares) and count * self.settings.instances > shares[customer]
        }
        ranked = [(f.tenant not in over, server.groups[f.key]) for f in server.flows]
        first = min(ranked)
        return max(
            (f for f, place in zip(server.flows, ranked) if place == first),
            key=lambda f: self.rank(server, f),
        )

    def jittered(self, span: int, part: float) -> int:
        return int(span * (1 + part * (2 * self.draw() - 1)))

    def draw(self) -> float:
        self.draws += 1
        return crc32(self.draws.to_bytes(8, "little"), self.seed & 0xFFFFFFFF) / 0xFFFFFFFF


WALKS = 256  # of 1021 slots: with two hundred servers half a megabyte
SLOTS = 32  # of a window: three in a hundred of it are counted against the balancer
PROBE_POINTS = 0.01  # what probes may cost of a flow's worth: little beside what a bad server costs
DEAR_CROSSING = 0.03  # points a crossing: above it keeping groups whole across zones cannot pay
HOMING = 3  # a move costs its client a gap besides its price
HOMING_SPREAD = 8 * SECOND  # a near server must have time to say that it has enough
PASS_OVER = 1.5  # well over the mean; nearer to it, groups are scattered for little balance
PASS_OVER_FLOOR = 10  # a few flows with a group each: below that a count says nothing
LOST_WAY = 3  # FALL of the health counter: three in a row, here of servers
MISSES = 2  # one miss may be chance; the second puts a server that passes probes aside
WORN, EASE = 0.5, 0.97  # halfway to the target a few leave each second: waiting shrinks no pile
CUT = 0.85  # one step back under what was too much, as additive-increase limits often take
DRAIN = 4 * SECOND  # messages wait behind a pile; what stays leaves room to work it off in that
KEEP_LEAST, HOPELESS = (
    0.5,
    12 * SECOND,
)  # a cut takes about half; all where messages wait thrice as long
DROPS, DROPS_TAU = (
    1.5,
    5 * SECOND,
)  # two within three seconds: a full server drops each one that is new
SETTLED = 2 * SECOND  # a flow dropped within this time of its connect was among the newest
CUT_EVERY = 1 * SECOND  # a step takes effect before the next is judged
LIMIT_GROWTH = (
    30 * SECOND
)  # and is forgotten at three percent a second: loads change within seconds
TRIAL = 2 * SECOND  # how often one flow tries it: rarely against a time-out, often against trouble
YIELDED = 1e9  # flows: more than any budget, for longer than the process still lives
BORNE = 10 * SECOND  # thrice the time in which a server that has too much says so
LEAST_USUAL = 1.0  # flows a window: less than one can't be dealt
OTHERS = 0.33  # of it: with 0.45 one fleet of 64 in the ramp model still went over the rule
TELLS_BY = 3 * SECOND  # so seldom, hundreds of balancers together overload nothing
STRAINED = 0.3  # of the shortest message target: the served share starts to fall
LOAD_EASY = 0.7  # reported load that needs no care yet; capacity itself is a target missed
CHOICES = 3  # places of a group: with more, as servers are strained in turn, it goes to most
GROUP_WORK = 2  # told nowhere: as much as a few connections, else groups were not worth keeping
SAME_KEY = 0.8  # of that hash; the rest lets a group too big for any one server be split
COPY_ROOM = 0.75  # of the limit: the rest is for the groups that stand there already
IN_FLIGHT = 4  # set-ups out at a server: about one a core; more only wait there for each other
STRAIN_HOLD = 3 * SECOND  # notes come each second: three missed ones are no news
HINT_PART = 6 / 256  # of a full message, by which messages are priced
HINT_POINTS = 0.02  # what all hints may cost of a flow's worth
TELL_POINTS = 0.05  # what one word of a server's strain may cost, told a flow: one or two tellers
TELL_EVERY = 2 * SECOND  # within STRAIN_HOLD, or the others would come back before the next word
SHED = 1.0  # messages miss their target from here on
OUT_WITHIN = (
    2 * SECOND
)  # flows leave a server taken out by hand in that: it is about to be restarted
LOST_SPREAD = (
    2 * SECOND
)  # a lost server's flows come back over this time (as the logarithm), not at once
SHED_EVERY = (
    SECOND // 20
)  # what is over a limit goes within a second or two, not in one burst of set-ups
