"""Baseline placement policies for comparison with the product, run in the product's program.

`python -m cypresswalk.lab.baselines random|least|maglev` runs one. They are part of the lab, not of
the product. Each keeps the product's health checks, failure counters, bookkeeping and answers and
replaces only the choice of the server. None of them migrates established flows, limits the
concurrency of a server or sends fewer flows to a cold one.
"""

import sys

from cypresswalk.decisions.balancer import Balancer
from cypresswalk.decisions.hashing import Draws
from cypresswalk.decisions.maglev import slot_of
from cypresswalk.decisions.migration import Migration
from cypresswalk.decisions.placement import Placement
from cypresswalk.decisions.retries import in_idempotency_scope
from cypresswalk.model import Flow, Server, Settings
from cypresswalk.service.program import main


class NoMigration(Migration):
    """A migration policy that migrates no established flow."""

    def flow_to_migrate(self, now: int, server: Server) -> Flow | None:
        """Return None: no flow is migrated."""
        return None


class PlainPlacement(Placement):
    """A base of the baseline placements, which replace only the choice of the server."""

    def candidates(self, flow: Flow) -> list[Server]:
        """Return the available servers not attempted yet, or all available ones if none is left."""
        servers = [
            server
            for pool in self.pools()
            for server in pool.servers
            if in_idempotency_scope(flow, server)
        ]
        return [server for server in servers if server not in flow.attempts] or servers


class RandomPlacement(PlainPlacement):
    """A placement on a random server."""

    draws: Draws

    def pick(self, now: int, flow: Flow) -> Server | None:
        """Return a random candidate."""
        servers = self.candidates(flow)
        if not servers:
            return None
        return servers[int(self.draws.draw() * len(servers)) % len(servers)]


class LeastConnectionsPlacement(PlainPlacement):
    """A placement on the server with the fewest connections of this balancer alone."""

    def pick(self, now: int, flow: Flow) -> Server | None:
        """Return the first candidate with the fewest connections per weight."""
        return min(
            self.candidates(flow),
            key=lambda server: (
                (len(server.pending_flows) + len(server.established_flows)) / server.weight
            ),
            default=None,
        )


class MaglevPlacement(PlainPlacement):
    """A placement by the key's slot of the Maglev table (NSDI 2016, section 3.4).

    If that server was tried already, the next slot of a server not tried yet is used.
    """

    def pick(self, now: int, flow: Flow) -> Server | None:
        """Return the first candidate, starting at the key's slot."""
        allowed = self.candidates(flow)
        for pool in self.pools():
            first_server = pool.table[slot_of(flow.key)]
            for server in [first_server, *self.walk(pool, flow.key)]:
                if server in allowed:
                    return server
        return None


class RandomBalancer(Balancer):
    """A balancer that places at random and migrates nothing."""

    placement_type = RandomPlacement
    migration_type = NoMigration

    def __init__(self, settings: Settings, seed: int, now: int):
        """Share the balancer's source of random numbers with the placement."""
        super().__init__(settings, seed, now)
        assert isinstance(self.placement, RandomPlacement)
        self.placement.draws = self.draws


class LeastConnectionsBalancer(Balancer):
    """A balancer that places by its own connection counts and migrates nothing."""

    placement_type = LeastConnectionsPlacement
    migration_type = NoMigration


class MaglevBalancer(Balancer):
    """A balancer that places by the Maglev table alone and migrates nothing."""

    placement_type = MaglevPlacement
    migration_type = NoMigration


POLICIES = {
    "random": RandomBalancer,
    "least": LeastConnectionsBalancer,
    "maglev": MaglevBalancer,
}

if __name__ == "__main__":
    sys.exit(main(POLICIES[sys.argv[1]]))
