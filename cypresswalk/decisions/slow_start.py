"""Slow start: how many flows go to servers that warm up.

A server that has started lately collapses under the sum of all balancers. So each balancer has a
budget for it, and each flow that comes is admitted to it by a chance that is taken from the budget,
used or not: the sum holds though all balancers see as many flows at once as this one does.
"""

import math
from collections.abc import Callable, Iterable

from cypresswalk.decisions.admission import MAX_PENDING_ATTEMPTS
from cypresswalk.decisions.balance import mean_occupancy
from cypresswalk.decisions.flow_table import FlowTable
from cypresswalk.decisions.hashing import hash64, unit_interval
from cypresswalk.decisions.health import is_up
from cypresswalk.decisions.limits import ConcurrencyLimits
from cypresswalk.decisions.load import is_overloaded
from cypresswalk.decisions.occupancy import occupancy_with
from cypresswalk.decisions.outliers import MAX_FAILURES
from cypresswalk.decisions.retries import in_idempotency_scope
from cypresswalk.decisions.traffic import Traffic
from cypresswalk.decisions.warm_up import WarmUp
from cypresswalk.measures import DecayingSum
from cypresswalk.model import SECOND, Flow, Server, Settings

MIN_FLOWS_PER_WINDOW = 1.0  # a budget of less than one flow can't be dealt
OTHER_KEYS_PART = 0.33  # of a flow a window: for flows whose own servers are others
MIN_TIME_SEEN = 0.05  # of a sum's time constant
MORE_THAN_ANY_BUDGET = (
    1e9  # flows; decays for longer than a process that gave its budget away still lives
)
HELD_TIME_CONSTANT = 10 * SECOND  # thrice the time in which a full server says so
HELD_INTERVAL = 1 * SECOND


class SlowStart:
    """The budgets of this balancer for servers that warm up.

    Args:
        settings: of the deployment.
        servers: all that the list has named, by id.
        flows: all flows held.
        traffic: what comes and ends here.
        limits: the servers' concurrency limits.
        warm_up: which servers warm up, and how far they are.
        now: nanoseconds.

    Attributes:
        held_when_warm: what a warm server holds from here for each unit of weight, as a decaying
            sum.
    """

    def __init__(
        self,
        settings: Settings,
        servers: dict[int, Server],
        flows: FlowTable,
        traffic: Traffic,
        limits: ConcurrencyLimits,
        warm_up: WarmUp,
        now: int,
    ):
        """Begin with nothing spent."""
        self.settings = settings
        self._servers = servers
        self._flows = flows
        self._traffic = traffic
        self._limits = limits
        self._warm_up = warm_up
        self._suspended_until = 0
        self.held_when_warm = DecayingSum(30 * SECOND, now)
        self._next_observation_at = now

    def begin(self, now: int, server: Server) -> None:
        """Set up the sums of a server that was listed for the first time."""
        time_constant = max(2 * self.settings.slow_start_window, 1)
        server.slow_start_spent = DecayingSum(time_constant, now)
        server.slow_start_fills = DecayingSum(time_constant, now)

    def on_predecessor_lost(self, now: int) -> None:
        """Count all budgets as spent for a window: what another process spent is not known."""
        self._suspended_until = now + self.settings.slow_start_window

    def give_away(self, now: int) -> None:
        """Spend all budgets: another process takes what is left."""
        for server in self._servers.values():
            server.slow_start_spent.add(now, MORE_THAN_ANY_BUDGET)
            server.owed_first_flow = False

    # Flows that come.

    def admit(self, now: int, flow: Flow, homes: Callable[[int], list[Server]]) -> None:
        """Draw which servers that warm up a flow may go to; `homes` gives those at a key's slot."""
        warming = self._warming_up(now)
        if not warming or now < self._suspended_until:
            return
        own_servers = homes(flow.key)
        usual = self._usual_flows_per_window(now)
        fleet_weight = sum(server.weight for server in self._servers.values() if is_up(server))
        key_part = self._part_of_key(flow)
        for server in warming:
            part = self._spend(now, server, usual)
            share = server.weight / max(fleet_weight, server.weight)
            # Where their own servers are full all flows get here, not a share of them.
            if server not in own_servers:
                part *= max(share, OTHER_KEYS_PART / max(usual, MIN_FLOWS_PER_WINDOW))
            is_owed = (
                server.owed_first_flow and not server.established_count and not server.pending_flows
            )
            # A key that makes up more of the flows here than the server of the fleet is let in
            # less.
            chance = 1.0 if is_owed else part * share / max(share, key_part)
            if unit_interval(hash64(flow.id ^ server.id)) < chance:
                flow.slow_start_admitted.append(server)

    def _warming_up(self, now: int) -> list[Server]:
        return [
            server
            for server in self._servers.values()
            if server.started_at and self._warm_up.applies(now, server) and is_up(server)
        ]

    def _usual_flows_per_window(self, now: int) -> float:
        """Return how many flows end well here in a window: this balancer's part of the capacity."""
        completed = self._traffic.completed
        seen = completed.part_seen(now, self._traffic.started_at)
        window = self.settings.slow_start_window
        return completed.read(now) / max(seen, MIN_TIME_SEEN) * window / completed.time_constant

    def _part_of_key(self, flow: Flow) -> float:
        """Return the part of the flows here that share the flow's key, without the flow itself."""
        if not flow.grouped:
            return 0.0
        return (self._flows.by_key[flow.key] - 1) / len(self._flows)

    def _spend(self, now: int, server: Server, usual: float) -> float:
        """Take up to a flow from the budget for a server, whether or not it is used.

        With less than a flow a window at each of many balancers, a flow is the budget, and less of
        it where many attempts are denied: then all are pressed.
        """
        budget = (
            self.settings.overload_factor
            * self._warm_up.fraction(now, server)
            * max(usual, MIN_FLOWS_PER_WINDOW)
        )
        part = min(max(budget - server.slow_start_spent.read(now), 0.0), 1.0)
        server.slow_start_spent.add(now, part)
        pressure = self._traffic.denied.read(now) / (self._traffic.established.read(now) + 1)
        return part / (1 + pressure) if usual < MIN_FLOWS_PER_WINDOW else part

    # Flows that would be given up.

    def observe(self, now: int) -> None:
        """Sample what a warm server holds from here, at most once a HELD_INTERVAL.

        It rises over about 10 s, so that a surge counts little, and decays over 30 s: after a mass
        restart there is no warm server to sample.
        """
        if now < self._next_observation_at:
            return
        self._next_observation_at = now + HELD_INTERVAL
        warm = [
            server
            for server in self._servers.values()
            if is_up(server) and not self._warm_up.applies(now, server)
        ]
        above = mean_occupancy(now, warm) - self.held_when_warm.read(now)
        self.held_when_warm.add(now, max(above, 0.0) * HELD_INTERVAL / HELD_TIME_CONSTANT)

    def fill(self, now: int, flow: Flow, candidates: Iterable[Server]) -> Server | None:
        """Return a server that warms up for a flow that would be given up, or None.

        It is one that holds less than its present part of what warm ones have held here: flows that
        stand for minutes say little by how many end in a window, which the budget goes by.
        """
        if not self.settings.can_migrate or now < self._suspended_until:
            return None
        for server in candidates:
            if self._may_fill(now, server, flow) and self._has_unfilled_part(now, server, flow):
                server.slow_start_fills.add(now, 1)
                return server
        return None

    def _may_fill(self, now: int, server: Server, flow: Flow) -> bool:
        most_pending = min(server.established_count, MAX_PENDING_ATTEMPTS - 1)
        return (
            self._warm_up.applies(now, server)
            and server not in flow.attempts
            and in_idempotency_scope(flow, server)
            and now >= server.ejected_until
            and len(server.pending_flows) <= most_pending
            and server.consecutive_failures < MAX_FAILURES
            and not is_overloaded(now, server)
        )

    def _has_unfilled_part(self, now: int, server: Server, flow: Flow) -> bool:
        part = self._warm_up.fraction(now, server) * self.held_when_warm.read(now) * server.weight
        limit = self._limits.current(now, server)
        # What it was found to hold, where flows from here stand there; that grows as it warms up.
        if server.established_flows and server.concurrency_limit < math.inf:
            part = max(part, limit)
        if occupancy_with(server, flow) > min(part, limit):
            return False
        # Half of it in a window: a set-up asks work of its own.
        return server.slow_start_fills.read(now) + 1 <= part / 2
