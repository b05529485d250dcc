"""Retries: whether a flow may be attempted again, where, how long, and within which budget."""

import math
from dataclasses import dataclass

from cypresswalk.decisions.traffic import Traffic
from cypresswalk.measures import SlidingWindowCounter
from cypresswalk.model import Abort, Effect, Flow, Reject, Scope, Server, Settings

MORE_THAN_ANY_BUDGET = 1_000_000_000  # attempts


def may_retry(now: int, flow: Flow) -> bool:
    """Return whether one more attempt does no harm: the flow can't run twice."""
    if flow.may_have_run_on is None or flow.service_type.effect is Effect.IDEMPOTENT:
        return True
    return (
        flow.service_type.effect is Effect.IDEMPOTENCY_KEY
        and now < flow.may_have_run_since + flow.service_type.idempotency_window
    )


def in_idempotency_scope(flow: Flow, server: Server) -> bool:
    """Return whether an attempt there does no harm, where `may_retry` allows one."""
    ran_on = flow.may_have_run_on
    kind = flow.service_type
    if ran_on is None or kind.effect is Effect.IDEMPOTENT or kind.scope is Scope.ALL:
        return True
    if kind.scope is Scope.ZONE:
        return server.zone == ran_on.zone
    return server.cell == ran_on.cell


def final_answer(flow: Flow, settings: Settings) -> Reject | Abort:
    """Return the answer to a flow that is given up: a reject only where a retry does no harm."""
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
    """Return how long an attempt that starts now may stay out; 0 is up to the flow's deadline.

    That is half the set-up objective, so that a second attempt can still meet it, and longer where
    set-ups are slow everywhere. The last attempt, and one that must not be repeated, has all the
    time there is.
    """
    is_last = len(flow.attempts) >= settings.max_attempts
    if is_last or flow.service_type.effect is not Effect.IDEMPOTENT:
        return 0
    usual = traffic.usual_setup_time(now)
    timeout = max(flow.service_type.setup_latency_objective // 2, int(3 * usual))
    return timeout if now + timeout < flow.deadline else 0


@dataclass(slots=True)
class _Counts:
    """In the budget's window: flows taken, and attempts beyond their first."""

    flows: SlidingWindowCounter
    retries: SlidingWindowCounter


class RetryBudget:
    """Attempts beyond flows' first that the settings allow in any window.

    Without such a setting there is no limit.
    """

    def __init__(self, settings: Settings, now: int):
        """Begin the windows, if the settings state a budget."""
        self.settings = settings
        self._counts: _Counts | None = None
        self.apply_settings(now, settings, started_before=False)

    def apply_settings(self, now: int, settings: Settings, started_before: bool) -> None:
        """Go by other settings from now on.

        What went before is not known by a new window. Where this balancer has `started_before`, it
        counts as spent.
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
        """Count a flow that came."""
        if self._counts is not None:
            self._counts.flows.add(now)

    def try_spend(self, now: int) -> bool:
        """Count one more retry if the budget allows it; return whether it does."""
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
        """Count the base as spent: another process did, in whose place this one comes."""
        if self._counts is not None:
            self._counts.retries.add(now, math.ceil(self.settings.retry_budget_base))

    def give_away(self, now: int) -> None:
        """Spend all: another process takes what is left."""
        if self._counts is not None:
            self._counts.retries.add(now, MORE_THAN_ANY_BUDGET)
