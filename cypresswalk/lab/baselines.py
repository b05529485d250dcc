"""Plain policies to compare the product with, each in the product's own program.

`python -m cypresswalk.lab.baselines random|least|maglev` runs one. They belong to the lab, never to
the product. Each keeps the product's health checks, failure counters, bookkeeping and answers, and
replaces the choice of the server alone; none migrates an established flow, limits a server or
spares a cold one.
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
    """Lets every established flow stand."""

    def flow_to_migrate(self, now: int, server: Server) -> Flow | None:
        """Return None."""
        return None


class PlainPlacement(Placement):
    """Replaces the choice of the server alone."""

    def candidates(self, flow: Flow) -> list[Server]:
        """Return servers that are up and not attempted yet, or all that are up."""
        servers = [
            server
            for pool in self.pools()
            for server in pool.servers
            if in_idempotency_scope(flow, server)
        ]
        return [server for server in servers if server not in flow.attempts] or servers


class RandomPlacement(PlainPlacement):
    """Any server."""

    draws: Draws

    def pick(self, now: int, flow: Flow) -> Server | None:
        """Return one drawn from the candidates."""
        servers = self.candidates(flow)
        if not servers:
            return None
        return servers[int(self.draws.draw() * len(servers)) % len(servers)]


class LeastConnectionsPlacement(PlainPlacement):
    """The server with the fewest connections of this balancer; it sees no other's."""

    def pick(self, now: int, flow: Flow) -> Server | None:
        """Return the first of the candidates with the fewest connections by weight."""
        return min(
            self.candidates(flow),
            key=lambda server: (
                (len(server.pending_flows) + len(server.established_flows)) / server.weight
            ),
            default=None,
        )


class MaglevPlacement(PlainPlacement):
    """The key's slot, else the next slot of a server not tried yet (NSDI 2016, section 3.4)."""

    def pick(self, now: int, flow: Flow) -> Server | None:
        """Return the first candidate from the key's slot on."""
        allowed = self.candidates(flow)
        for pool in self.pools():
            home = pool.table[slot_of(flow.key)]
            for server in [home, *self.walk(pool, flow.key)]:
                if server in allowed:
                    return server
        return None


class RandomBalancer(Balancer):
    """Places at random and migrates nothing."""

    placement_type = RandomPlacement
    migration_type = NoMigration

    def __init__(self, settings: Settings, seed: int, now: int):
        """Draw from the same numbers as the rest of the balancer."""
        super().__init__(settings, seed, now)
        assert isinstance(self.placement, RandomPlacement)
        self.placement.draws = self.draws


class LeastConnectionsBalancer(Balancer):
    """Places by its own connections and migrates nothing."""

    placement_type = LeastConnectionsPlacement
    migration_type = NoMigration


class MaglevBalancer(Balancer):
    """Places by the lookup table alone and migrates nothing."""

    placement_type = MaglevPlacement
    migration_type = NoMigration


POLICIES = {
    "random": RandomBalancer,
    "least": LeastConnectionsBalancer,
    "maglev": MaglevBalancer,
}

if __name__ == "__main__":
    sys.exit(main(POLICIES[sys.argv[1]]))
