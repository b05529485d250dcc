"""Retries: when and where a flow may be attempted again, with which timeout and budget."""

import math
from dataclasses import dataclass

from cypresswalk.decisions.traffic import Traffic
from cypresswalk.measures import SlidingWindowCounter
from cypresswalk.model import Abort, Effect, Flow, Reject, Scope, Server, Settings

MORE_THAN_ANY_BUDGET = 1_000_000_000  # attempts


def may_retry(now: int, flow: Flow) -> bool:
    """Return whether one more attempt is safe, because the flow can't take effect twice."""
    if flow.may_have_run_on is None or flow.service_type.effect is Effect.IDEMPOTENT:
        return True
    return (
        flow.service_type.effect is Effect.IDEMPOTENCY_KEY
        and now < flow.may_have_run_since + flow.service_type.idempotency_window
    )


def in_idempotency_scope(flow: Flow, server: Server) -> bool:
    """Return whether an attempt at this server is safe, provided that `may_retry` allows one."""
    ran_on = flow.may_have_run_on
    kind = flow.service_type
    if ran_on is None or kind.effect is Effect.IDEMPOTENT or kind.scope is Scope.ALL:
        return True
    if kind.scope is Scope.ZONE:
        return server.zone == ran_on.zone
    return server.cell == ran_on.cell


def final_answer(flow: Flow, settings: Settings) -> Reject | Abort:
    """Return the final answer to a failed flow: a reject only if the client may safely retry."""
    kind = flow.service_type
    harmless = (
        flow.may_have_run_on is None
        or kind.effect is Effect.IDEMPOTENT
        or (kind.effect is Effect.IDEMPOTENCY_KEY and kind.scope is Scope.ALL)
    )
    if not harmless:
        return Abort(flow)
    if not settings.retry_after_allowed:
        return Reject(flow, retry_after=0)
    return Reject(flow, min(kind.setup_latency_objective, settings.max_retry_after))


def attempt_timeout(now: int, flow: Flow, settings: Settings, traffic: Traffic) -> int:
    """Return the timeout in nanoseconds of an attempt that starts now; 0 for the flow's deadline.

    The timeout is half the set-up objective, so that a second attempt can still meet the objective,
    or longer if set-ups are slow everywhere. The last attempt, and one that must not be repeated,
    may take until the deadline.
    """
    is_last = len(flow.attempts) >= settings.max_attempts
    if is_last or flow.service_type.effect is not Effect.IDEMPOTENT:
        return 0
    mean = traffic.mean_setup_time(now)
    timeout = max(flow.service_type.setup_latency_objective // 2, int(3 * mean))
    return timeout if now + timeout < flow.deadline else 0


@dataclass(slots=True)
class _Counts:
    """The numbers of flows and retries in the budget's window."""

    flows: SlidingWindowCounter  # flows that arrived
    retries: SlidingWindowCounter  # attempts beyond the first of their flow


class RetryBudget:
    """The number of retries that the settings allow in any window.

    There is no limit if the settings don't state one.
    """

    def __init__(self, settings: Settings, now: int):
        """Start counting, if the settings state a budget."""
        self.settings = settings
        self._counts: _Counts | None = None
        self.apply_settings(now, settings, started_before=False)

    def apply_settings(self, now: int, settings: Settings, started_before: bool) -> None:
        """Apply new settings.

        The counts of a new window don't include earlier retries. So if this balancer has
        `started_before`, the base of the budget counts as spent.
        """
        window_before = self.settings.retry_window
        self.settings = settings
        window = settings.retry_window
        if not window:
            self._counts = None
        elif self._counts is None or window != window_before:
            self._counts = _Counts(
                SlidingWindowCounter(window, now), SlidingWindowCounter(window, now)
            )
            if started_before:
                self.assume_spent(now)

    def record_flow(self, now: int) -> None:
        """Count an arrived flow."""
        if self._counts is not None:
            self._counts.flows.add(now)

    def try_spend(self, now: int) -> bool:
        """Count one more retry if the budget allows it, and return whether it does."""
        counts = self._counts
        if counts is None:
            return True
        settings = self.settings
        allowed = (
            settings.retry_budget_base + settings.retry_budget_ratio * counts.flows.lower_bound(now)
        )
        if counts.retries.upper_bound(now) + 1 > allowed:
            return False
        counts.retries.add(now)
        return True

    def assume_spent(self, now: int) -> None:
        """Count the base of the budget as spent, as the process that this one replaces may have."""
        if self._counts is not None:
            self._counts.retries.add(now, math.ceil(self.settings.retry_budget_base))

    def spend_all(self, now: int) -> None:
        """Spend the whole budget; another process uses what is left of it."""
        if self._counts is not None:
            self._counts.retries.add(now, MORE_THAN_ANY_BUDGET)
