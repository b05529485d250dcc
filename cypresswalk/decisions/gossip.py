"""Gossip: short messages that report a server's load to all other balancers.

Each message has a cost for every balancer that receives it. So each balancer decides at random
whether to send, such that the total cost stays within the budget, and gossip about one server is
limited to one message per MIN_INTERVAL.
"""

from cypresswalk.decisions.hashing import Draws
from cypresswalk.decisions.traffic import Traffic
from cypresswalk.measures import DecayingSum
from cypresswalk.model import SECOND, SendGossip, Server, Settings

SENT_TIME_CONSTANT = 30 * SECOND
MESSAGE_FRACTION = 6 / 256  # size relative to a full message, which the price is for
MAX_POINTS_PER_FLOW = 0.02  # limit on the cost of gossip per flow, as a fraction of its value
MAX_POINTS_PER_REPORT = 0.05  # limit on the cost of one observation that many balancers report
MIN_INTERVAL = 2 * SECOND  # per server; shorter than `load.LOAD_VALID_FOR`


class Gossip:
    """The gossip messages that this balancer sends.

    Attributes:
        sent: messages of the last half minute, as a decaying sum.
        outbox: messages to send; the latest is sent first.
    """

    def __init__(self, settings: Settings, traffic: Traffic, draws: Draws, now: int):
        """Start with nothing to send."""
        self.settings = settings
        self._traffic = traffic
        self._draws = draws
        self.sent = DecayingSum(SENT_TIME_CONSTANT, now)
        self.outbox: list[SendGossip] = []

    def offer(self, now: int, server: Server, load: float, informed_balancers: float = 0.0) -> None:
        """Queue a message about a server's load, if one is due and within the budget.

        Args:
            now: the current time in nanoseconds.
            server: the server that the message is about.
            load: the load to report; the server's last known load is sent if that is higher.
            informed_balancers: the estimated number of balancers that observe the same and may
                report it too.
        """
        settings = self.settings
        if not settings.gossip or settings.instances < 2:
            return
        if now - server.gossiped_at < MIN_INTERVAL:
            return
        price = settings.gossip_price * MESSAGE_FRACTION * (settings.instances - 1)
        budget = (
            self._traffic.recent_arrivals(now) * MAX_POINTS_PER_FLOW - self.sent.read(now) * price
        )
        draw = self._draws.draw
        if draw() * price < budget and draw() * informed_balancers * price < MAX_POINTS_PER_REPORT:
            server.gossiped_at = now
            self.sent.add(now, 1)
            self.outbox.append(SendGossip(server, max(load, server.load)))
