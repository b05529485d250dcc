"""What follows from load that is told of a server: gossip, a limit, flows put up for review."""

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

EASE_FACTOR = 0.97  # of what stands, each time that load above HIGH_LOAD is told
MAX_SINGLE_DROPS = 1.5  # two within three seconds: a full server drops each one that is new


class OverloadControl:
    """Reacts to load, delays and drops of servers.

    Args:
        settings: of the deployment.
        servers: all that the list has named, by id.
        flows: all flows held.
        limits: the servers' concurrency limits.
        gossip: tells the other balancers.
        reviews: servers whose flows may have to migrate.
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
        """Begin with no load known."""
        self._servers = servers
        self._flows = flows
        self._limits = limits
        self._gossip = gossip
        self._reviews = reviews
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Go by other settings from now on."""
        self.settings = settings
        objectives = [kind.message_latency_objective for kind in settings.service_types]
        self._message_objective = min((span for span in objectives if span), default=0)

    def on_load(self, now: int, server: Server, load: float) -> None:
        """Take over a server's own load, 1.0 at its objective."""
        server.load = load
        server.load_at = now
        if load >= OVERLOADED:
            # As many balancers learn it as have flows there.
            tellers = len(self._flows) * self.settings.instances / len(self._servers)
            self._gossip.offer(now, server, load, tellers)
        if load >= OBJECTIVE_MISSED:
            self._limits.cut(now, server)
        elif load >= OVERLOADED:
            factor = EASE_FACTOR if load >= HIGH_LOAD else 1.0
            self._limits.keep_at(now, server, factor * occupancy(server))
        self._reviews.request(now, server)

    def on_utilization(self, now: int, server: Server, utilization: float) -> None:
        """Take over the part of its capacity that a server reports as in use."""
        self.on_load(now, server, load_from_utilization(utilization))

    def on_message_delay(self, now: int, server: Server, delay: int) -> None:
        """Take over what a message takes at the server, in nanoseconds."""
        server.message_delay = delay
        objective = self._message_objective
        self.on_load(now, server, delay / objective if objective else 0.0)

    def on_gossip(self, now: int, server: Server, load: float) -> None:
        """Take over a load that another balancer tells.

        It has the server passed over for a while and migrates nothing.
        """
        server.gossiped_at = now
        if now - server.load_at > LOAD_VALID_FOR or load > server.load:
            server.load = load
            server.load_at = now

    def record_drop(self, now: int, server: Server) -> bool:
        """Count a flow that the server broke off; return whether it now counts as full.

        It does where the server is overloaded or drops one flow after another. A network that
        breaks a connection here and there says nothing about sound servers.
        """
        server.recent_drops.add(now, 1)
        return server.recent_drops.read(now) > MAX_SINGLE_DROPS or is_overloaded(now, server)
