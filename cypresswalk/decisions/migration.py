"""Migration: which established flows are sent to look for a new server, and when.

Flows leave a server that is lost, that an operator took out of rotation, or that is over its limit.
Flows in another zone return to the balancer's zone once its servers have capacity.
"""

import math

from cypresswalk.decisions.flow_table import FlowTable
from cypresswalk.decisions.hashing import Draws
from cypresswalk.decisions.health import is_up
from cypresswalk.decisions.limits import ConcurrencyLimits, eviction_rank, fits
from cypresswalk.decisions.load import LOAD_VALID_FOR, is_overloaded
from cypresswalk.decisions.occupancy import GROUP_WORK, occupancy
from cypresswalk.decisions.outliers import MAX_FAILURES
from cypresswalk.decisions.placement import MIN_CROSSING_PRICE
from cypresswalk.decisions.reviews import Reviews
from cypresswalk.decisions.traffic import Traffic
from cypresswalk.model import SECOND, Flow, Server, Settings

LOST_SERVER_SPREAD = 2 * SECOND  # its flows migrate over this time, not at once
OUT_OF_ROTATION_SPREAD = 2 * SECOND  # its flows migrate in this time: it will soon be restarted
OVER_LIMIT_INTERVAL = SECOND // 20  # flows over a limit leave within a second or two
RETRY_INTERVAL = 1 * SECOND  # until the next try when too few servers are sound
RETURN_SPREAD = 8 * SECOND  # gives servers of the own zone time to report that they are full
MIN_CROSSING_PER_MIGRATION = 3  # ratio of prices; a migration also interrupts the client


class Migration:
    """The choice and the pace of flows that migrate."""

    def __init__(
        self,
        settings: Settings,
        servers: dict[int, Server],
        flows: FlowTable,
        limits: ConcurrencyLimits,
        traffic: Traffic,
        reviews: Reviews,
        draws: Draws,
        now: int,
    ):
        """Start with no flow chosen to return to this zone."""
        self.settings = settings
        self._servers = servers
        self._flows = flows
        self._limits = limits
        self._traffic = traffic
        self._reviews = reviews
        self._draws = draws
        self._next_return_at = now
        self._returning_from: Server | None = None  # its next flow returns to this zone

    def next_flow(self, now: int) -> Flow | None:
        """Return an established flow that migrates now, or None."""
        self._draw_return(now)
        for server in list(self._reviews.servers):
            if now >= server.next_migration_at:
                flow = self.flow_to_migrate(now, server)
                if flow is not None:
                    return flow
            if server.next_migration_at <= now:
                del self._reviews.servers[server]
        return None

    def next_due_at(self, now: int, latest: int) -> int:
        """Return when to call `next_flow` again, no later than `latest`.

        Call it after `next_flow` returned None.
        """
        due = latest
        if self._returns_flows():
            due = min(due, self._next_return_at)
        for server in self._reviews.servers:
            due = min(due, server.next_migration_at)
        return due

    def flow_to_migrate(self, now: int, server: Server) -> Flow | None:
        """Return the flow that leaves the server now, or None; the next leaves after a pause."""
        if not self.settings.can_migrate or not server.established_flows:
            return None
        if self._is_lost(server):
            if not self._enough_servers_are_sound(now, server):
                return None
            pause = int(LOST_SERVER_SPREAD / len(server.established_flows))
        elif server.out_of_rotation and any(is_up(other) for other in self._servers.values()):
            left = max(server.out_of_rotation_since + OUT_OF_ROTATION_SPREAD - now, 0)
            pause = max(left // len(server.established_flows), OVER_LIMIT_INTERVAL)
        elif occupancy(server) > self._limits.current(now, server):
            if self._first_to_leave_may_stay(now, server):
                return None  # until the limit is cut again
            pause = OVER_LIMIT_INTERVAL
        elif server is self._returning_from:
            self._returning_from = None
            pause = OVER_LIMIT_INTERVAL
        else:
            return None
        server.next_migration_at = now + pause
        return self.first_to_leave(server)

    @staticmethod
    def _is_lost(server: Server) -> bool:
        if server.consecutive_failures >= MAX_FAILURES:
            return True
        return not is_up(server) and server.failed_checks >= MAX_FAILURES

    def _enough_servers_are_sound(self, now: int, server: Server) -> bool:
        """Return whether half of the servers that are up are sound; if not, schedule a retry."""
        up = [other for other in self._servers.values() if is_up(other)]
        sound = [
            other
            for other in up
            if other.consecutive_failures < MAX_FAILURES and not is_overloaded(now, other)
        ]
        if sound and 2 * len(sound) >= len(up):
            return True
        server.next_migration_at = now + RETRY_INTERVAL
        return False

    def _first_to_leave_may_stay(self, now: int, server: Server) -> bool:
        flow = self.first_to_leave(server)
        held = occupancy(server)
        is_last_of_group = flow.grouped and server.group_sizes[flow.key] == 1
        held_without = held - 1 - GROUP_WORK * is_last_of_group
        return fits(self._limits.current(now, server), server, flow, held_without, held)

    def first_to_leave(self, server: Server) -> Flow:
        """Return the established flow that leaves a server first.

        Flows of tenants over their quota go before others. Among those, flows of the smallest group
        go first, because a group costs its own work on every server that has any of its flows. The
        eviction rank, which is mostly the same at all balancers, breaks ties.
        """
        over_quota = self._tenants_over_quota()
        ranked = [
            (flow.tenant not in over_quota, server.group_sizes[flow.key])
            for flow in server.established_flows
        ]
        first = min(ranked)
        candidates = (
            flow
            for flow, rank in zip(server.established_flows, ranked, strict=True)
            if rank == first
        )
        return max(candidates, key=lambda flow: eviction_rank(server, flow))

    def _tenants_over_quota(self) -> set[int]:
        settings = self.settings
        quotas = settings.quotas if settings.overage_weight < 1 else []
        return {
            tenant
            for tenant, count in self._flows.by_tenant.items()
            if tenant < len(quotas) and count * settings.instances > quotas[tenant]
        }

    # Return of flows from other zones.

    def _returns_flows(self) -> bool:
        settings = self.settings
        return settings.zone_crossing_price >= max(
            MIN_CROSSING_PER_MIGRATION * settings.migration_price, MIN_CROSSING_PRICE
        )

    def _draw_return(self, now: int) -> None:
        """Draw from time to time whether a flow returns to this zone, and from which server.

        Flows return no faster than new flows arrive. If the balancers of a whole fleet returned
        theirs at once, they would overload the servers of the zone.
        """
        if not self._returns_flows() or now < self._next_return_at:
            return
        # The servers in other zones, once for each flow there.
        far = [
            server
            for server in self._servers.values()
            if server.zone != self.settings.zone
            for _ in server.established_flows
        ]
        rate = min(len(far) / RETURN_SPREAD, self._traffic.arrival_rate(now))
        self._next_return_at = now + int(1 / max(rate, 1 / SECOND))
        self._returning_from = None
        if self._draws.draw() < rate * SECOND and self._near_servers_have_capacity(now):
            self._returning_from = far[self._draws.count % len(far)]
            self._reviews.servers[self._returning_from] = None

    def _near_servers_have_capacity(self, now: int) -> bool:
        """Return whether no server of this zone is overloaded, failing or limited."""
        near = [
            server
            for server in self._servers.values()
            if server.zone == self.settings.zone and is_up(server)
        ]
        return bool(near) and all(
            now - server.load_reported_at > LOAD_VALID_FOR
            and server.consecutive_failures < MAX_FAILURES
            and self._limits.current(now, server) == math.inf
            for server in near
        )
