"""Load of servers: 1.0 is a message at its latency objective, or all capacity in use.

It is learned from a server's reports, from message delays and from gossip.
"""

from cypresswalk.model import SECOND, Server

OVERLOADED = 0.3  # of the shortest message latency objective: the share served starts to fall
HIGH_LOAD = 0.5  # from here on what leaves by itself is too little: occupancy must shrink
OBJECTIVE_MISSED = 1.0  # messages miss their objective from here on
EASY_UTILIZATION = 0.7  # reported utilization that needs no care yet; 1.0 is an objective missed
LOAD_VALID_FOR = 3 * SECOND  # reports come each second: three missed ones say nothing any more


def is_overloaded(now: int, server: Server) -> bool:
    """Return whether the server's last known load is recent and over the threshold."""
    return server.load > OVERLOADED and now - server.load_at < LOAD_VALID_FOR


def misses_objective(now: int, server: Server) -> bool:
    """Return whether messages there miss their latency objective."""
    return server.load >= OBJECTIVE_MISSED and is_overloaded(now, server)


def load_from_utilization(utilization: float) -> float:
    """Return the load for a reported utilization, a part of the capacity."""
    return (utilization - EASY_UTILIZATION) / (1 - EASY_UTILIZATION)
