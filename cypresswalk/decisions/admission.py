"""Admission: whether a server may get a flow, and whether a flow is admitted at all."""

import math

from cypresswalk.decisions.hashing import Draws
from cypresswalk.decisions.limits import ConcurrencyLimits, eviction_rank
from cypresswalk.decisions.load import is_overloaded
from cypresswalk.decisions.outliers import MAX_FAILURES, OutlierDetection, is_outlier
from cypresswalk.decisions.traffic import Traffic
from cypresswalk.decisions.warm_up import WarmUp
from cypresswalk.model import SECOND, Flow, Server

MAX_PENDING_ATTEMPTS = 4  # per server: about one per core; more would only queue there
ERROR_ALLOWANCE = MAX_FAILURES  # errors that are ignored; one is no reason to reject flows
THROTTLE_TRIAL_INTERVAL = 3 * SECOND  # rare enough that hundreds of balancers cause no overload


class Admission:
    """The rules that decide whether a server may get a flow."""

    def __init__(self, limits: ConcurrencyLimits, outliers: OutlierDetection, warm_up: WarmUp):
        """Keep the rules that hold the limits, the ejections and the warm-up state."""
        self._limits = limits
        self._outliers = outliers
        self._warm_up = warm_up

    def has_capacity(self, now: int, server: Server, flow: Flow, owns_slot: bool) -> bool:
        """Return whether the server may get the flow, whatever the state of the other servers.

        A warming server gets only flows that its slow-start budget admitted, and may have at most
        one pending attempt more than it has established.

        Args:
            now: the current time in nanoseconds.
            server: the server that the flow may go to.
            flow: the flow.
            owns_slot: whether the server owns the slot of the flow's key.
        """
        pending = len(server.pending_flows)
        if now < server.ejected_until or pending >= MAX_PENDING_ATTEMPTS:
            return False
        is_limited = server.concurrency_limit < math.inf
        if is_limited and not self._limits.has_room(now, server, flow, owns_slot):
            return False
        if not self._warm_up.applies(now, server):
            return True
        draw = flow.slow_start_draw
        return draw is not None and pending <= server.established_count and draw.admits(server)

    def is_preferred(self, now: int, server: Server, flow: Flow, owns_slot: bool) -> bool:
        """Return whether the flow should go to the server rather than to others.

        An overloaded server still gets a part of the keys whose slots it owns, the same part at
        all balancers, because copies of groups on other servers cost extra work. It gets no flows
        of other keys.
        """
        outliers = self._outliers
        if outliers.zone_failures and outliers.zone_is_skipped(now, server):
            return False
        if is_outlier(server) and outliers.awaits_trial(now, server):
            return False
        if not is_overloaded(now, server):
            return True
        return owns_slot and eviction_rank(server, flow) < 1 - server.load


class ErrorThrottle:
    """Adaptive throttling: rejects flows while most attempts end in errors.

    This protects a dependency that all servers share, such as a store that each set-up queries,
    from clients that reconnect at once. As in Site Reliability Engineering, chapter 21, twice the
    number of accepted flows is admitted. An occasional trial flow shows when the fault is over.
    """

    def __init__(self, traffic: Traffic, draws: Draws, now: int):
        """Start with a trial allowed at once."""
        self._traffic = traffic
        self._draws = draws
        self._next_trial_at = now

    def should_reject(self, now: int, flow: Flow) -> bool:
        """Return whether to reject the flow.

        While errors outnumber established attempts, a flow whose last attempt may have run is
        rejected. A flow without an attempt is rejected at random, unless a trial is due; that
        counts as an error.
        """
        errors = self._traffic.errors.read(now) - ERROR_ALLOWANCE
        established = self._traffic.established.read(now)
        if errors <= established:
            return False
        if flow.last_outcome is not None:
            rejected = not flow.last_outcome.never_ran
        else:
            rejected = now < self._next_trial_at and self._draws.draw() < (errors - established) / (
                errors + established
            )
        if rejected:
            self._traffic.errors.add(now, not flow.attempts)
        return rejected

    def on_attempt_started(self, now: int) -> None:
        """Postpone the next trial, because a flow is being attempted."""
        self._next_trial_at = now + THROTTLE_TRIAL_INTERVAL
