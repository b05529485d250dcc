"""Balance between servers: how much each holds from here, beside the mean of the sound ones."""

from cypresswalk.decisions.occupancy import occupancy, occupancy_with
from cypresswalk.decisions.outliers import is_sound
from cypresswalk.model import Flow, Server

MAX_OVER_MEAN = 1.5  # nearer to the mean, groups are scattered for little balance
MIN_PASS_OVER = 10  # connections: below that a few flows with a group each say nothing


def mean_occupancy(now: int, servers: list[Server]) -> float:
    """Return this balancer's connections for each unit of weight, on the sound servers among them.

    Counting others, all sound ones could be over the mean and flows would land on a bad one.
    """
    sound = [server for server in servers if is_sound(now, server)]
    if not sound:
        return 0.0
    return sum(map(occupancy, sound)) / sum(server.weight for server in sound)


def is_over_mean(now: int, server: Server, flow: Flow, servers: list[Server]) -> bool:
    """Return whether the server would hold far more than the mean of `servers` with the flow."""
    relative = occupancy_with(server, flow) / server.weight
    if relative * server.weight <= MIN_PASS_OVER:
        return False
    return relative > MAX_OVER_MEAN * mean_occupancy(now, servers)
