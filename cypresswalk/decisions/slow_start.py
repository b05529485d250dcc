"""Slow start: how many flows go to servers that warm up.

A server that has just started would collapse under the flows of all balancers together. So each
balancer has a budget for it. Each arriving flow is admitted to the server with a probability that
is taken from the budget whether or not the flow goes there. So the budgets hold in total even if
all balancers get as many flows at once as this one does.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from cypresswalk.decisions.admission import MAX_PENDING_ATTEMPTS
from cypresswalk.decisions.balance import mean_occupancy
from cypresswalk.decisions.flow_table import FlowTable
from cypresswalk.decisions.hashing import hash_number, unit_interval
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

MIN_FLOWS_PER_WINDOW = 1.0  # a budget below one flow can't be spent
OTHER_KEYS_ALLOWANCE = 0.33  # flows per window, for flows of slots that other servers own
DISPLACED_WINDOWS = 2  # after the loss of a server, in which the clients of its groups return
MIN_FRACTION_SEEN = 0.05  # of a sum's steady value
MORE_THAN_ANY_BUDGET = 1e9  # flows; takes longer to decay than a replaced process keeps running
OCCUPANCY_TIME_CONSTANT = 10 * SECOND  # three times as long as a full server takes to report it
OCCUPANCY_SAMPLE_INTERVAL = 1 * SECOND


class SlotTable(Protocol):
    """The owners of the keys' slots."""

    def ownership(self, key: int) -> Callable[[Server], bool]:
        """Return a function that tells whether a server owns the key's slot in its pool now."""

    def displaced_at(self, key: int) -> int | None:
        """Return when the owner of the key's slot was last lost; None if it never was."""


@dataclass(slots=True)
class Draw:
    """What one flow may get of the budgets of servers that warm up, drawn when it arrived.

    Attributes:
        flow_id: the flow's id, by whose hash the chances are decided.
        amounts: the part of a flow, 0 to 1, that was taken from each budget; servers without a
            budget left are missing.
        first_flows: servers that get the flow whatever their budget.
        owns_slot: tells whether a server owns the slot of the flow's key.
        fleet_weight: the weight of all servers that were up.
        other_keys_fraction: the least fraction for flows of slots that other servers own.
        key_share: the fraction of this balancer's flows that are others with the same key.
        displaced_fraction: the fraction by which flows of a lost server's groups are admitted.
        pressure_divisor: by which amounts shrink because attempts are denied everywhere.
    """

    flow_id: int
    amounts: dict[Server, float]
    first_flows: list[Server]
    owns_slot: Callable[[Server], bool]
    fleet_weight: float
    other_keys_fraction: float
    key_share: float
    displaced_fraction: float
    pressure_divisor: float

    def admits(self, server: Server) -> bool:
        """Return whether the flow may go to the server; always the same for the same server."""
        if server in self.first_flows:
            return True
        amount = self.amounts.get(server)
        if amount is None:
            return False
        allowance = amount / self.pressure_divisor
        share = server.weight / max(self.fleet_weight, server.weight)
        # Keys whose slots other servers own: if these servers are full, all flows of such keys
        # may come to this server, not only its share of them. So fewer are admitted.
        if not self.owns_slot(server):
            allowance *= max(share, self.other_keys_fraction)
        # A key whose share of this balancer's flows exceeds the server's share of the fleet
        # is admitted less often.
        probability = allowance * self.displaced_fraction * share / max(share, self.key_share)
        return unit_interval(hash_number(self.flow_id ^ server.id)) < probability


class SlowStart:
    """The budgets of this balancer for servers that warm up.

    Args:
        settings: the deployment's settings.
        servers: all servers that the balancer knows, by id.
        flows: all flows that this balancer holds.
        traffic: the arrivals and completions of this balancer.
        limits: the servers' concurrency limits.
        warm_up: the warm-up state of the servers.
        now: the current time in nanoseconds.

    Attributes:
        warm_occupancy: this balancer's connections on a warm server per unit of weight, as a
            decaying sum.
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
        """Start with unspent budgets."""
        self.settings = settings
        self._servers = servers
        self._flows = flows
        self._traffic = traffic
        self._limits = limits
        self._warm_up = warm_up
        self._suspended_until = 0
        self._stale = True  # which servers are up, or when they started, may have changed
        self._started: list[Server] = []  # servers that are up and whose start time is known
        self._fleet_weight = 0.0  # of all servers that are up
        self.warm_occupancy = DecayingSum(30 * SECOND, now)
        self._next_sample_at = now

    def add_server(self, now: int, server: Server) -> None:
        """Create the sums of a server that is listed for the first time."""
        time_constant = max(2 * self.settings.slow_start_window, 1)
        server.slow_start_spent = DecayingSum(time_constant, now)
        server.slow_start_excess = DecayingSum(time_constant, now)

    def mark_stale(self) -> None:
        """Look at all servers anew at the next flow: the list, or which are up, has changed."""
        self._stale = True

    def on_predecessor_lost(self, now: int) -> None:
        """Count all budgets as spent for a window; what the predecessor spent is unknown."""
        self._suspended_until = now + self.settings.slow_start_window

    def spend_all(self, now: int) -> None:
        """Spend all budgets; another process uses what is left of them."""
        for server in self._servers.values():
            server.slow_start_spent.add(now, MORE_THAN_ANY_BUDGET)
            server.first_flow_pending = False

    # Arriving flows.

    def admit(self, now: int, flow: Flow, slots: SlotTable) -> None:
        """Draw from the budgets of all warming servers for a flow, and store the result with it.

        The budgets hold in total only if each flow draws from all of them, wherever it goes. Which
        servers admit the flow is computed later, for the few that it comes to.

        Args:
            now: the current time in nanoseconds.
            flow: the flow; its `slow_start_draw` is set if servers warm up.
            slots: the owners of the keys' slots.
        """
        if self._stale:
            self._look_at_servers()
        if not self._started or now < self._suspended_until:
            return
        flows_per_window = self._flows_per_window(now)
        amounts, first_flows = self._draw_from_budgets(now, flows_per_window)
        if not amounts and not first_flows:
            return
        flow.slow_start_draw = Draw(
            flow.id,
            amounts,
            first_flows,
            slots.ownership(flow.key),
            self._fleet_weight,
            OTHER_KEYS_ALLOWANCE / max(flows_per_window, MIN_FLOWS_PER_WINDOW),
            self._key_share(flow),
            self._displaced_fraction(now, flow, slots, flows_per_window),
            self._pressure_divisor(now, flows_per_window),
        )

    def _look_at_servers(self) -> None:
        self._stale = False
        up = [server for server in self._servers.values() if is_up(server)]
        self._fleet_weight = sum(server.weight for server in up)
        self._started = [server for server in up if server.started_at]

    def _flows_per_window(self, now: int) -> float:
        """Return how many flows complete per window, which is this balancer's share of capacity."""
        completed = self._traffic.completed
        fraction_seen = completed.accumulated_fraction(now, self._traffic.started_at)
        window = self.settings.slow_start_window
        return (
            completed.read(now)
            / max(fraction_seen, MIN_FRACTION_SEEN)
            * window
            / completed.time_constant
        )

    def _key_share(self, flow: Flow) -> float:
        """Return the fraction of this balancer's flows that are other flows with the same key."""
        if not flow.grouped:
            return 0.0
        return (self._flows.by_key[flow.key] - 1) / len(self._flows)

    def _displaced_fraction(
        self, now: int, flow: Flow, slots: SlotTable, flows_per_window: float
    ) -> float:
        """Return by which fraction flows of a group are admitted whose server was lost, else 1.

        All flows of the group return at once, to one server, through many balancers. The budget
        expects only as many of them as complete per window.
        """
        displaced_at = slots.displaced_at(flow.key) if flow.grouped else None
        span = DISPLACED_WINDOWS * self.settings.slow_start_window
        if displaced_at is None or now - displaced_at >= span:
            return 1.0
        return min(flows_per_window / len(self._flows), 1.0)

    def _draw_from_budgets(
        self, now: int, flows_per_window: float
    ) -> tuple[dict[Server, float], list[Server]]:
        """Take up to one flow from the budget of each warming server, whether or not it is used.

        Where less than one flow completes per window, as at each of many balancers, the budgets are
        computed for one flow.

        Returns:
            The amounts that were taken, without those of 0, and the servers that get their first
            flow since they returned to rotation.
        """
        warm_up_time = self.settings.warm_up_time
        base_flows = max(flows_per_window, MIN_FLOWS_PER_WINDOW)
        # Servers that started together have mostly spent the same.
        draws: dict[tuple[int, float, int], tuple[float, float]] = {}
        amounts: dict[Server, float] = {}
        first_flows = []
        for server in self._started:
            started_at = server.started_at
            if now - started_at >= warm_up_time:
                continue
            spent = server.slow_start_spent
            before = (started_at, spent.total, spent.updated_at)
            draw = draws.get(before)
            if draw is None:
                budget = (
                    self.settings.overload_factor * self._warm_up.fraction(now, server) * base_flows
                )
                amount = min(max(budget - spent.read(now), 0.0), 1.0)
                draw = draws[before] = (spent.total + amount, amount)
            spent.total, amount = draw
            spent.updated_at = now
            if amount:
                amounts[server] = amount
            if (
                server.first_flow_pending
                and not server.established_count
                and not server.pending_flows
            ):
                first_flows.append(server)
        return amounts, first_flows

    def _pressure_divisor(self, now: int, flows_per_window: float) -> float:
        """Return by what drawn amounts are divided, 1 or more.

        A balancer with less than one flow per window gets less the more attempts are denied,
        because all balancers are short of capacity at the same time.
        """
        if flows_per_window >= MIN_FLOWS_PER_WINDOW:
            return 1.0
        return 1 + self._traffic.denied.read(now) / (self._traffic.established.read(now) + 1)

    # Flows that would be rejected.

    def sample_occupancy(self, now: int) -> None:
        """Sample `warm_occupancy`, at most once per OCCUPANCY_SAMPLE_INTERVAL.

        The value rises over about 10 s, so that a surge counts little. It decays over 30 s,
        because after a mass restart there is no warm server to sample.
        """
        if now < self._next_sample_at:
            return
        self._next_sample_at = now + OCCUPANCY_SAMPLE_INTERVAL
        warm = [
            server
            for server in self._servers.values()
            if is_up(server) and not self._warm_up.applies(now, server)
        ]
        above = mean_occupancy(now, warm) - self.warm_occupancy.read(now)
        self.warm_occupancy.add(
            now, max(above, 0.0) * OCCUPANCY_SAMPLE_INTERVAL / OCCUPANCY_TIME_CONSTANT
        )

    def pick_beyond_budget(
        self, now: int, flow: Flow, candidates: Iterable[Server]
    ) -> Server | None:
        """Return a warming server for a flow that would otherwise be rejected, or None.

        The server holds less than its current share of `warm_occupancy`. Unlike the budget, this
        doesn't depend on how many flows complete per window, which says little about flows that
        stay open for minutes.
        """
        if not self.settings.can_migrate or now < self._suspended_until:
            return None
        for server in candidates:
            if self._may_exceed_budget(now, server, flow) and self._is_below_warm_share(
                now, server, flow
            ):
                server.slow_start_excess.add(now, 1)
                return server
        return None

    def _may_exceed_budget(self, now: int, server: Server, flow: Flow) -> bool:
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

    def _is_below_warm_share(self, now: int, server: Server, flow: Flow) -> bool:
        target = self._warm_up.fraction(now, server) * self.warm_occupancy.read(now) * server.weight
        limit = self._limits.current(now, server)
        # If the server has flows of this balancer, its limit says how much it can hold; the limit
        # grows as the server warms up.
        if server.established_flows and server.concurrency_limit < math.inf:
            target = max(target, limit)
        if occupancy_with(server, flow) > min(target, limit):
            return False
        # At most half of the target per window, because each set-up costs work of its own.
        return server.slow_start_excess.read(now) + 1 <= target / 2
