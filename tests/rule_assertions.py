"""Assertions for the four rules that no balancer may break.

One: each flow gets exactly one answer, by its deadline. Two: no flow takes effect twice. Three: a
server that drains, is gone or is out of rotation gets no new flows. Four: a server that warms up
gets no more flows than its slow-start budget.
"""

from collections.abc import Container, Sequence
from dataclasses import dataclass
from math import sqrt

from cypresswalk.model import Effect, Flow, Outcome, Scope, Server, ServerState


@dataclass(slots=True)
class AttemptRecord:
    """One attempt of a flow, as a simulated host records it."""

    server: Server
    sent_at: int  # nanoseconds
    outcome: Outcome | None = None  # None until the attempt ends

    @property
    def may_have_run(self) -> bool:
        """Return whether the server may have started to serve the flow."""
        return self.outcome is None or not self.outcome.never_ran


# Rule one.


def assert_first_answer(answered: Container[object], who: object) -> None:
    """Assert that a flow or client has no answer yet."""
    assert who not in answered, "answered twice"


def assert_answered_in_time(answered: bool, now: int, deadline: int) -> None:
    """Assert that a flow is answered by its deadline."""
    assert answered or now < deadline, "no answer in time"


# Rule two.


def assert_no_pending_attempt(attempts: Sequence[AttemptRecord]) -> None:
    """Assert that all earlier attempts have ended when a flow is attempted again or answered."""
    assert all(attempt.outcome is not None for attempt in attempts), (
        "an earlier attempt has not ended"
    )


def assert_no_second_effect(
    flow: Flow, earlier: Sequence[AttemptRecord], server: Server, now: int
) -> None:
    """Assert that a flow that may have run is attempted again only where that is safe.

    This is every server for an idempotent flow; for one with an idempotency key, the servers that
    drop repeats, while they do; and no server for other flows.
    """
    ran = [attempt for attempt in earlier if attempt.may_have_run]
    service_type = flow.service_type
    if not ran or service_type.effect is Effect.IDEMPOTENT:
        return
    assert service_type.effect is Effect.IDEMPOTENCY_KEY, "a non-idempotent flow may run twice"
    first = ran[0]
    assert now < first.sent_at + service_type.idempotency_window, "past the idempotency window"
    drops_repeats = {
        Scope.ALL: True,
        Scope.ZONE: first.server.zone == server.zone,
        Scope.CELL: first.server.cell == server.cell,
    }
    assert drops_repeats[service_type.scope], "outside the servers that drop repeats"


def assert_reject_is_harmless(flow: Flow, attempts: Sequence[AttemptRecord]) -> None:
    """Assert that a rejected client can safely send its flow again."""
    service_type = flow.service_type
    harmless = (
        service_type.effect is Effect.IDEMPOTENT
        or not any(attempt.may_have_run for attempt in attempts)
        or (service_type.effect is Effect.IDEMPOTENCY_KEY and service_type.scope is Scope.ALL)
    )
    assert harmless, "rejected although a repeat is not safe"


# Rule three.


def assert_takes_new_flows(state: ServerState, out_of_rotation: bool = False) -> None:
    """Assert that a server may get a new flow."""
    assert state is ServerState.READY, "attempt at a server that drains or is gone"
    assert not out_of_rotation, "attempt at a server that is out of rotation"


# Rule four.


def slow_start_limit(budget: float) -> float:
    """Return the limit on flows per window for balancers that spend a shared budget at random."""
    return budget + 2 * sqrt(budget) + 2


def assert_within_slow_start_budget(count: int, limit: float) -> None:
    """Assert that a server that warms up got at most `limit` flows in a window."""
    assert count <= limit, f"{count} flows in a window, which is above the limit of {limit:.1f}"
