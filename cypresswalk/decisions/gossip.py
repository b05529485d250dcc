"""Gossip: a few bytes that tell all other balancers of a server's load.

A message costs each balancer that hears it. So as many balancers tell as the price allows, by
chance, and a server is told of at most once in a while.
"""

from cypresswalk.decisions.hashing import Draws
from cypresswalk.decisions.traffic import Traffic
from cypresswalk.measures import DecayingSum
from cypresswalk.model import SECOND, SendGossip, Server, Settings

SENT_TIME_CONSTANT = 30 * SECOND
MESSAGE_PART = 6 / 256  # of a full message, by which messages are priced
MAX_POINTS_PER_FLOW = 0.02  # what all gossip may cost of a flow's worth
MAX_POINTS_PER_NEWS = 0.05  # a flow, for one news of a server that many balancers hear
MIN_INTERVAL = 2 * SECOND  # per server; within `load.LOAD_VALID_FOR`


class Gossip:
    """Decides which news of servers this balancer tells.

    Attributes:
        sent: messages of the last half minute, as a decaying sum.
        outbox: news that wait to be sent; the latest goes first.
    """

    def __init__(self, settings: Settings, traffic: Traffic, draws: Draws, now: int):
        """Begin with nothing to tell."""
        self.settings = settings
        self._traffic = traffic
        self._draws = draws
        self.sent = DecayingSum(SENT_TIME_CONSTANT, now)
        self.outbox: list[SendGossip] = []

    def offer(self, now: int, server: Server, load: float, tellers: float = 0.0) -> None:
        """Tell of a server's load, if that is due and within the price.

        Args:
            now: nanoseconds.
            server: of which something is to be told.
            load: what is known of it; its last load is told if that is higher.
            tellers: how many flows' balancers learn the same and might tell it too.
        """
        settings = self.settings
        if not settings.gossip or settings.instances < 2:
            return
        if now - server.gossiped_at < MIN_INTERVAL:
            return
        price = settings.gossip_price * MESSAGE_PART * (settings.instances - 1)
        budget = (
            self._traffic.recent_arrivals(now) * MAX_POINTS_PER_FLOW - self.sent.read(now) * price
        )
        draw = self._draws.draw
        if draw() * price < budget and draw() * tellers * price < MAX_POINTS_PER_NEWS:
            server.gossiped_at = now
            self.sent.add(now, 1)
            self.outbox.append(SendGossip(server, max(load, server.load)))
