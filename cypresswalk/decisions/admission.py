"""Admission: whether a server may be sent a flow at all, and whether a flow is let in at all."""

import math

from cypresswalk.decisions.hashing import Draws
from cypresswalk.decisions.limits import ConcurrencyLimits, yield_rank
from cypresswalk.decisions.load import is_overloaded
from cypresswalk.decisions.outliers import MAX_FAILURES, OutlierDetection, is_outlier
from cypresswalk.decisions.traffic import Traffic
from cypresswalk.decisions.warm_up import WarmUp
from cypresswalk.model import SECOND, Flow, Server

MAX_PENDING_ATTEMPTS = 4  # per server: about one a core; more only wait there for each other
ERROR_ALLOWANCE = MAX_FAILURES
THROTTLE_TRIAL_INTERVAL = 3 * SECOND  # so seldom, hundreds of balancers overload nothing


class Admission:
    """Whether servers may be sent a flow."""

    def __init__(self, limits: ConcurrencyLimits, outliers: OutlierDetection, warm_up: WarmUp):
        """Read limits, ejections and warm-up where they are kept."""
        self._limits = limits
        self._outliers = outliers
        self._warm_up = warm_up

    def has_capacity(self, now: int, server: Server, flow: Flow, at_home: bool) -> bool:
        """Return whether the server may be sent the flow, however bad the others look.

        A server that warms up is sent only flows that its slow-start budget admitted, and has at
        most one more attempt pending than it has answered.

        Args:
            now: nanoseconds.
            server: where the flow may go.
            flow: the flow.
            at_home: the server is the one at the key's slot.
        """
        pending = len(server.pending_flows)
        if now < server.ejected_until or pending >= MAX_PENDING_ATTEMPTS:
            return False
        is_limited = server.concurrency_limit < math.inf
        if is_limited and not self._limits.has_room(now, server, flow, at_home):
            return False
        if not self._warm_up.applies(now, server):
            return True
        return server in flow.slow_start_admitted and pending <= server.established_count

    def is_preferred(self, now: int, server: Server, flow: Flow, at_home: bool) -> bool:
        """Return whether the flow should go to the server rather than to others.

        An overloaded server keeps a part of its own keys, the same at all balancers: copies of
        groups elsewhere cost. It is sent nobody else's.
        """
        outliers = self._outliers
        if outliers.zone_failures and outliers.zone_is_passed_over(now, server):
            return False
        if is_outlier(server) and outliers.awaits_trial(now, server):
            return False
        if not is_overloaded(now, server):
            return True
        return at_home and yield_rank(server, flow) < 1 - server.load


class ErrorThrottle:
    """Turns flows away while errors are most of what comes back.

    It protects what all servers rely on, as a store that each set-up asks, against clients that
    come back at once: twice what is taken is let in ("adaptive throttling", Site Reliability
    Engineering, chapter 21), and one trial flow now and then tells when it is over.
    """

    def __init__(self, traffic: Traffic, draws: Draws, now: int):
        """Begin with a trial allowed at once."""
        self._traffic = traffic
        self._draws = draws
        self._next_trial_at = now

    def turns_away(self, now: int, flow: Flow) -> bool:
        """Return whether the flow is turned away; without an attempt that counts as an error."""
        errors = self._traffic.errors.read(now) - ERROR_ALLOWANCE
        taken = self._traffic.established.read(now)
        if errors <= taken:
            return False
        if flow.last_outcome is not None:
            turned_away = not flow.last_outcome.never_ran
        else:
            turned_away = now < self._next_trial_at and self._draws.draw() < (errors - taken) / (
                errors + taken
            )
        if turned_away:
            self._traffic.errors.add(now, not flow.attempts)
        return turned_away

    def on_attempt_started(self, now: int) -> None:
        """A flow goes to a server: the next trial may wait."""
        self._next_trial_at = now + THROTTLE_TRIAL_INTERVAL
