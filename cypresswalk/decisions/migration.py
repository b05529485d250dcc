"""Migration: which established flows are sent to look for a new server, and when.

Flows leave a server that is lost, that an operator took out, or that is over its limit; and flows
in another zone come home once the near servers are easy.
"""

import math

from cypresswalk.decisions.flow_table import FlowTable
from cypresswalk.decisions.hashing import Draws
from cypresswalk.decisions.health import is_up
from cypresswalk.decisions.limits import ConcurrencyLimits, fits, yield_rank
from cypresswalk.decisions.load import LOAD_VALID_FOR, is_overloaded
from cypresswalk.decisions.occupancy import GROUP_WORK, occupancy
from cypresswalk.decisions.outliers import MAX_FAILURES
from cypresswalk.decisions.placement import MIN_CROSSING_PRICE
from cypresswalk.decisions.reviews import Reviews
from cypresswalk.decisions.traffic import Traffic
from cypresswalk.model import SECOND, Flow, Server, Settings

LOST_SERVER_SPREAD = 2 * SECOND  # its flows come back over this time, not at once
OUT_OF_ROTATION_SPREAD = 2 * SECOND  # its flows leave in that: it is about to be restarted
OVER_LIMIT_INTERVAL = SECOND // 20  # what is over a limit goes within a second or two
RETRY_INTERVAL = 1 * SECOND  # too few sound servers: look again
HOME_SPREAD = 8 * SECOND  # a near server must have time to say that it has enough
MIN_CROSSING_PER_MIGRATION = 3  # a migration costs its client a gap besides its price


class Migration:
    """Picks the flows that migrate and paces them."""

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
        """Begin with no flow on its way home."""
        self.settings = settings
        self._servers = servers
        self._flows = flows
        self._limits = limits
        self._traffic = traffic
        self._reviews = reviews
        self._draws = draws
        self._next_return_at = now
        self._returning_from: Server | None = None  # whose next flow comes home

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
        """Return when to look again, at `latest` or before; call it after `next_flow` gave None."""
        due = latest
        if self._returns_home():
            due = min(due, self._next_return_at)
        for server in self._reviews.servers:
            due = min(due, server.next_migration_at)
        return due

    def flow_to_migrate(self, now: int, server: Server) -> Flow | None:
        """Return the flow that leaves the server now, if any; the next one leaves after a pause."""
        if not self.settings.can_migrate or not server.established_flows:
            return None
        if self._is_lost(server):
            if not self._can_do_without(now, server):
                return None
            pause = int(LOST_SERVER_SPREAD / len(server.established_flows))
        elif server.out_of_rotation and any(is_up(other) for other in self._servers.values()):
            left = max(server.out_of_rotation_since + OUT_OF_ROTATION_SPREAD - now, 0)
            pause = max(left // len(server.established_flows), OVER_LIMIT_INTERVAL)
        elif occupancy(server) > self._limits.current(now, server):
            if self._first_to_leave_may_stay(now, server):
                return None  # until a further cut
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

    def _can_do_without(self, now: int, server: Server) -> bool:
        """Return whether half of the servers that are up are sound; if not, look again later."""
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

        Flows beyond their tenant's quota go before others, and the smallest group first, since a
        group asks its own work wherever any of it stands; of equals the one that yields first
        everywhere.
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
        return max(candidates, key=lambda flow: yield_rank(server, flow))

    def _tenants_over_quota(self) -> set[int]:
        settings = self.settings
        quotas = settings.quotas if settings.overage_weight < 1 else []
        return {
            tenant
            for tenant, count in self._flows.by_tenant.items()
            if tenant < len(quotas) and count * settings.instances > quotas[tenant]
        }

    # Flows that stand in another zone come home.

    def _returns_home(self) -> bool:
        settings = self.settings
        return settings.zone_crossing_price >= max(
            MIN_CROSSING_PER_MIGRATION * settings.migration_price, MIN_CROSSING_PRICE
        )

    def _draw_return(self, now: int) -> None:
        """Draw now and then whether, and from which server, one flow comes home.

        No faster than new flows come: a fleet that comes home at once would overrun the near
        servers.
        """
        if not self._returns_home() or now < self._next_return_at:
            return
        far = [
            server
            for server in self._servers.values()
            if server.zone != self.settings.zone
            for _ in server.established_flows
        ]
        rate = min(len(far) / HOME_SPREAD, self._traffic.arrival_rate(now))
        self._next_return_at = now + int(1 / max(rate, 1 / SECOND))
        self._returning_from = None
        if self._draws.draw() < rate * SECOND and self._near_servers_are_easy(now):
            self._returning_from = far[self._draws.count % len(far)]
            self._reviews.servers[self._returning_from] = None

    def _near_servers_are_easy(self, now: int) -> bool:
        """Return whether no near server is overloaded, failing or limited."""
        near = [
            server
            for server in self._servers.values()
            if server.zone == self.settings.zone and is_up(server)
        ]
        return bool(near) and all(
            now - server.load_at > LOAD_VALID_FOR
            and server.consecutive_failures < MAX_FAILURES
            and self._limits.current(now, server) == math.inf
            for server in near
        )
