"""Balance between servers: each server's occupancy against the mean of the sound servers."""

from cypresswalk.decisions.occupancy import occupancy, occupancy_with
from cypresswalk.decisions.outliers import is_sound
from cypresswalk.model import Flow, Server

MAX_OVER_MEAN = 1.5  # a lower bound would scatter groups for little better balance
MIN_OCCUPANCY_TO_BALANCE = 10  # connections; below it, a few flows with a group each dominate


def mean_occupancy(now: int, servers: list[Server]) -> float:
    """Return the mean occupancy per unit of weight of those servers that are sound.

    If other servers counted, all sound ones could be over the mean and flows would go to a bad one.
    """
    sound = [server for server in servers if is_sound(now, server)]
    if not sound:
        return 0.0
    return sum(map(occupancy, sound)) / sum(server.weight for server in sound)


def is_over_mean(now: int, server: Server, flow: Flow, servers: list[Server]) -> bool:
    """Return whether the server, given the flow, would hold far more than the mean of `servers`."""
    relative = occupancy_with(server, flow) / server.weight
    if relative * server.weight <= MIN_OCCUPANCY_TO_BALANCE:
        return False
    return relative > MAX_OVER_MEAN * mean_occupancy(now, servers)
