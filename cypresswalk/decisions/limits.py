"""Concurrency limits: how many connections this balancer allows on a server that was overloaded.

A limit is cut in multiplicative steps, as in AIMD, from the current occupancy or from the last
limit. It grows back exponentially until it is dropped.
"""

import math

from cypresswalk.decisions.hashing import hash_number
from cypresswalk.decisions.occupancy import GROUP_WORK, occupancy
from cypresswalk.decisions.reviews import Reviews
from cypresswalk.decisions.warm_up import WarmUp
from cypresswalk.model import SECOND, Flow, Server

CUT_FACTOR = 0.85
MIN_CUT_INTERVAL = 1 * SECOND  # a step must take effect before the next one
DRAIN_TIME = 4 * SECOND  # a cut frees enough capacity to work off the delay within this time
MIN_KEPT_FRACTION = 0.5  # a cut removes about half at most
EVACUATION_DELAY = 12 * SECOND  # from this message delay on, a cut may leave only one flow
GROWTH_TIME_CONSTANT = 30 * SECOND
MAX_LIMIT_AGE = 10 * GROWTH_TIME_CONSTANT
COPY_HEADROOM = 0.75  # of the limit; the rest is for groups already on the server
KEY_HASH_WEIGHT = 0.8  # of the rank; the rest splits groups too big for one server


def eviction_rank(server: Server, flow: Flow) -> float:
    """Return the flow's rank from 0 to 1; flows of the highest rank leave the server first.

    The rank depends mostly on the key, so that all balancers evict the same groups.
    """
    group = hash_number(flow.key ^ server.id) & 0xFFFFFFFF
    own = hash_number(flow.id ^ server.id) & 0xFFFFFFFF
    return (KEY_HASH_WEIGHT * group + (1 - KEY_HASH_WEIGHT) * own) / 0xFFFFFFFF


def fits(limit: float, server: Server, flow: Flow, held_without: float, held_with: float) -> bool:
    """Return whether the limit allows the flow on the server.

    If only a fraction of the flow fits, its rank decides. So hundreds of balancers with one flow
    each keep as many in total as one balancer that held them all.

    Args:
        limit: the number of connections that the server may hold.
        server: the server that has the flow or is to get it.
        flow: the flow.
        held_without: the server's occupancy without the flow.
        held_with: the server's occupancy with the flow.
    """
    if held_with <= limit or held_without >= limit:
        return held_with <= limit
    return held_without + (held_with - held_without) * eviction_rank(server, flow) <= limit


class ConcurrencyLimits:
    """The concurrency limits of servers; a server with a new limit is reviewed for migrations."""

    def __init__(self, warm_up: WarmUp, reviews: Reviews):
        """Keep the warm-up state and the servers to review."""
        self._warm_up = warm_up
        self._reviews = reviews

    def current(self, now: int, server: Server) -> float:
        """Return how many connections the server may hold now; infinity if it has no limit."""
        if server.concurrency_limit == math.inf:
            return math.inf
        age = now - server.limit_cut_at
        # The limit is dropped; on a clock far from zero, the exponential would overflow.
        if age > MAX_LIMIT_AGE:
            return math.inf
        limit = server.concurrency_limit * math.exp(age / GROWTH_TIME_CONSTANT)
        # A limit found during warm-up grows with the server's capacity.
        if self._warm_up.applies(server.limit_cut_at, server):
            limit *= self._warm_up.fraction(now, server) / self._warm_up.fraction(
                server.limit_cut_at, server
            )
        return limit

    def cut(self, now: int, server: Server) -> None:
        """Lower the limit by one step.

        While the message delay falls, the last step is taking effect, and the new limit is computed
        from the current occupancy. Otherwise it is computed from the last limit if that is lower,
        because a step is a fraction of a flow if this balancer has only one or two on the server.
        """
        if now - server.limit_cut_at < MIN_CUT_INTERVAL:
            return
        least = MIN_KEPT_FRACTION if server.message_delay < EVACUATION_DELAY else 0.0
        kept = max(1 - server.message_delay / DRAIN_TIME, least)
        held = occupancy(server)
        if server.message_delay >= server.delay_at_cut > 0:
            held = min(held, self.current(now, server))
        server.delay_at_cut = server.message_delay
        self.lower_to(now, server, max(CUT_FACTOR * kept * held, 1.0))

    def lower_to(self, now: int, server: Server, connections: float) -> None:
        """Set the server's limit to `connections`, unless its current limit is lower."""
        server.concurrency_limit = min(connections, self.current(now, server))
        server.limit_cut_at = now
        self._reviews.request(now, server)

    def has_room(self, now: int, server: Server, flow: Flow, owns_slot: bool) -> bool:
        """Return whether the limit allows one more flow.

        A group's first flow on a server that doesn't own the group's slot needs headroom. Otherwise
        servers near their limits would hold fewer flows because of the work of extra group copies.

        Args:
            now: the current time in nanoseconds.
            server: the server that the flow may go to.
            flow: the flow.
            owns_slot: whether the server owns the slot of the flow's key.
        """
        limit = self.current(now, server)
        if limit == math.inf:
            return True
        held = occupancy(server)
        new_copy = flow.grouped and flow.key not in server.group_sizes
        held_with = held + 1 + GROUP_WORK * new_copy
        if held >= limit:
            return False
        if new_copy and not owns_slot and held_with > COPY_HEADROOM * limit:
            return False
        return fits(limit, server, flow, held, held_with)
