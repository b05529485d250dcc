"""Concurrency limits: how much this balancer lets a server hold once it was found to hold too much.

A limit is cut by steps, as additive-increase limits are, from what stands or from the last limit,
and grows again exponentially until it is forgotten.
"""

import math

from cypresswalk.decisions.hashing import hash64
from cypresswalk.decisions.occupancy import GROUP_WORK, occupancy
from cypresswalk.decisions.reviews import Reviews
from cypresswalk.decisions.warm_up import WarmUp
from cypresswalk.model import SECOND, Flow, Server

CUT_FACTOR = 0.85
MIN_CUT_INTERVAL = 1 * SECOND  # a step takes effect before the next is judged
DRAIN_TIME = 4 * SECOND  # what stays after a cut leaves room to work the delay off in that
MIN_KEPT_PART = 0.5  # a cut takes about half at most
HOPELESS_DELAY = 12 * SECOND  # messages wait so long that all but one flow are cut
GROWTH_TIME_CONSTANT = 30 * SECOND
FORGOTTEN_AFTER = 10 * GROWTH_TIME_CONSTANT
COPY_HEADROOM = 0.75  # of the limit: the rest is for the groups that stand there already
SAME_KEY_PART = 0.8  # of the rank; the rest lets a group too big for any one server be split


def yield_rank(server: Server, flow: Flow) -> float:
    """Return from 0 to 1 how late a flow yields where only a part can stay on a server.

    For one key it is mostly the same at all balancers: so they yield the same groups.
    """
    group = hash64(flow.key ^ server.id) & 0xFFFFFFFF
    own = hash64(flow.id ^ server.id) & 0xFFFFFFFF
    return (SAME_KEY_PART * group + (1 - SAME_KEY_PART) * own) / 0xFFFFFFFF


def fits(limit: float, server: Server, flow: Flow, without: float, with_it: float) -> bool:
    """Return whether the flow may be among what the limit leaves.

    Where one flow is more than the limit has left, the part is kept by its rank: hundreds of
    balancers with a flow each keep in the sum as much as one that held them all.

    Args:
        limit: connections that the server may hold.
        server: where the flow stands or is to go.
        flow: the flow.
        without: the server's occupancy without the flow.
        with_it: its occupancy with the flow.
    """
    if with_it <= limit or without >= limit:
        return with_it <= limit
    return without + (with_it - without) * yield_rank(server, flow) <= limit


class ConcurrencyLimits:
    """Finds and applies the limits of servers; flows over a new limit are put up for review."""

    def __init__(self, warm_up: WarmUp, reviews: Reviews):
        """Keep where flows over a limit are put up for review."""
        self._warm_up = warm_up
        self._reviews = reviews

    def current(self, now: int, server: Server) -> float:
        """Return the connections that the server may hold now; infinity where none was found."""
        if server.concurrency_limit == math.inf:
            return math.inf
        age = now - server.limit_cut_at
        # Forgotten; the exponential would run out of range on a far clock.
        if age > FORGOTTEN_AFTER:
            return math.inf
        limit = server.concurrency_limit * math.exp(age / GROWTH_TIME_CONSTANT)
        # What was too much while it warmed up is not for a warmer server.
        if self._warm_up.applies(server.limit_cut_at, server):
            limit *= self._warm_up.fraction(now, server) / self._warm_up.fraction(
                server.limit_cut_at, server
            )
        return limit

    def cut(self, now: int, server: Server) -> None:
        """Take one step down from what was too much.

        While the delay falls the last step is at work: then it goes down from what stands.
        Otherwise it goes down from the last limit, since with a flow or two here a step is a part
        of a flow.
        """
        if now - server.limit_cut_at < MIN_CUT_INTERVAL:
            return
        least = MIN_KEPT_PART if server.message_delay < HOPELESS_DELAY else 0.0
        kept = max(1 - server.message_delay / DRAIN_TIME, least)
        held = occupancy(server)
        if server.message_delay >= server.delay_at_cut > 0:
            held = min(held, self.current(now, server))
        server.delay_at_cut = server.message_delay
        self.keep_at(now, server, max(CUT_FACTOR * kept * held, 1.0))

    def keep_at(self, now: int, server: Server, connections: float) -> None:
        """Let the server hold no more than that, or its present limit if that is lower."""
        server.concurrency_limit = min(connections, self.current(now, server))
        server.limit_cut_at = now
        self._reviews.request(now, server)

    def has_room(self, now: int, server: Server, flow: Flow, at_home: bool) -> bool:
        """Return whether the limit lets the flow in.

        A further copy of a group needs room to spare: near their limits servers would trade flows
        for copies.

        Args:
            now: nanoseconds.
            server: where the flow may go.
            flow: the flow.
            at_home: the server is the one at the key's slot.
        """
        limit = self.current(now, server)
        if limit == math.inf:
            return True
        held = occupancy(server)
        new_copy = flow.grouped and flow.key not in server.group_sizes
        held_with_it = held + 1 + GROUP_WORK * new_copy
        if held >= limit:
            return False
        if new_copy and not at_home and held_with_it > COPY_HEADROOM * limit:
            return False
        return fits(limit, server, flow, held, held_with_it)
