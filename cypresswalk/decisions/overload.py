"""Reactions to the reported load of servers: gossip, concurrency limits and flow migration."""

from cypresswalk.decisions.flow_table import FlowTable
from cypresswalk.decisions.gossip import Gossip
from cypresswalk.decisions.limits import ConcurrencyLimits
from cypresswalk.decisions.load import (
    HIGH_LOAD,
    LOAD_VALID_FOR,
    OBJECTIVE_MISSED,
    OVERLOADED,
    is_overloaded,
    load_from_utilization,
)
from cypresswalk.decisions.occupancy import occupancy
from cypresswalk.decisions.reviews import Reviews
from cypresswalk.model import Server, Settings

GRADUAL_CUT_FACTOR = 0.97  # of the occupancy, at each report of a load of HIGH_LOAD or more
MAX_SINGLE_DROPS = 1.5  # exceeded by two within three seconds; a full server drops each new flow


class OverloadControl:
    """The reactions to load, message delays and drops of servers.

    Args:
        settings: the deployment's settings.
        servers: all servers that the balancer knows, by id.
        flows: all flows that this balancer holds.
        limits: the servers' concurrency limits.
        gossip: the messages to the other balancers.
        reviews: the servers whose flows may have to migrate.
    """

    def __init__(
        self,
        settings: Settings,
        servers: dict[int, Server],
        flows: FlowTable,
        limits: ConcurrencyLimits,
        gossip: Gossip,
        reviews: Reviews,
    ):
        """Keep the rules and apply the settings."""
        self._servers = servers
        self._flows = flows
        self._limits = limits
        self._gossip = gossip
        self._reviews = reviews
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self.settings = settings
        objectives = [kind.message_latency_objective for kind in settings.service_types]
        self._message_objective = min((span for span in objectives if span), default=0)

    def on_load(self, now: int, server: Server, load: float) -> None:
        """Record a server's load, where 1.0 means messages at their objective, and react to it."""
        server.load = load
        server.load_reported_at = now
        if load >= OVERLOADED:
            # Estimate: one balancer for each flow on a server with the mean number of flows.
            informed_balancers = len(self._flows) * self.settings.instances / len(self._servers)
            self._gossip.offer(now, server, load, informed_balancers)
        if load >= OBJECTIVE_MISSED:
            self._limits.cut(now, server)
        elif load >= OVERLOADED:
            factor = GRADUAL_CUT_FACTOR if load >= HIGH_LOAD else 1.0
            self._limits.lower_to(now, server, factor * occupancy(server))
        self._reviews.request(now, server)

    def on_utilization(self, now: int, server: Server, utilization: float) -> None:
        """Record the fraction of its capacity that a server reports as in use."""
        self.on_load(now, server, load_from_utilization(utilization))

    def on_message_delay(self, now: int, server: Server, delay: int) -> None:
        """Record the message delay of a server, in nanoseconds."""
        server.message_delay = delay
        objective = self._message_objective
        self.on_load(now, server, delay / objective if objective else 0.0)

    def on_gossip(self, now: int, server: Server, load: float) -> None:
        """Record a load that another balancer reported.

        New flows then skip the server for a while, but nothing migrates.
        """
        server.gossiped_at = now
        if now - server.load_reported_at > LOAD_VALID_FOR or load > server.load:
            server.load = load
            server.load_reported_at = now

    def record_drop(self, now: int, server: Server) -> bool:
        """Record a flow that the server dropped and return whether the server counts as full.

        A server counts as full if it is overloaded or drops several flows in a short time. A single
        connection may be broken by the network and says nothing about the server.
        """
        server.recent_drops.add(now, 1)
        return server.recent_drops.read(now) > MAX_SINGLE_DROPS or is_overloaded(now, server)
