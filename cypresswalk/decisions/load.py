"""Load of servers: 1.0 is a message delay at its objective, or all capacity in use.

It is known from a server's reports, from message delays and from gossip.
"""

from cypresswalk.model import SECOND, Server

OVERLOADED = 0.3  # of the shortest message latency objective; above it, service starts to degrade
HIGH_LOAD = 0.5  # from here on flows don't end fast enough by themselves; occupancy must be cut
OBJECTIVE_MISSED = 1.0  # messages miss their objective from here on
ZERO_LOAD_UTILIZATION = 0.7  # reported utilization that is load 0; 1.0 is an objective missed
LOAD_VALID_FOR = 3 * SECOND  # reports come each second; after three missed ones the load is stale


def is_overloaded(now: int, server: Server) -> bool:
    """Return whether the server's last known load is recent and over the threshold."""
    return server.load > OVERLOADED and now - server.load_reported_at < LOAD_VALID_FOR


def misses_objective(now: int, server: Server) -> bool:
    """Return whether messages at the server miss their latency objective."""
    return server.load >= OBJECTIVE_MISSED and is_overloaded(now, server)


def load_from_utilization(utilization: float) -> float:
    """Return the load for a reported utilization, which is a fraction of the capacity."""
    return (utilization - ZERO_LOAD_UTILIZATION) / (1 - ZERO_LOAD_UTILIZATION)
