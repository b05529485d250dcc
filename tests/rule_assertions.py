"""The four rules that no balancer may break, as assertions.

One: each flow has one answer, by its deadline. Two: no flow takes effect twice. Three: a server
that drains, is gone or is out of rotation gets nothing new. Four: a server that warms up gets no
more flows than its slow-start budget.
"""

from collections.abc import Container, Sequence
from dataclasses import dataclass
from math import sqrt

from cypresswalk.model import Effect, Flow, Outcome, Scope, Server, ServerState


@dataclass(slots=True)
class AttemptRecord:
    """One attempt of a flow, as a simulated host remembers it."""

    server: Server
    sent_at: int  # nanoseconds
    outcome: Outcome | None = None  # None while it is out

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have begun to serve the flow."""
        return self.outcome is None or not self.outcome.never_ran


# Rule one.


def assert_first_answer(answered: Container[object], who: object) -> None:
    """Nobody is answered twice."""
    assert who not in answered, "answered twice"


def assert_answered_in_time(answered: bool, now: int, deadline: int) -> None:
    """A flow has its answer once its deadline has come."""
    assert answered or now < deadline, "no answer in time"


# Rule two.


def assert_no_attempt_out(attempts: Sequence[AttemptRecord]) -> None:
    """No earlier attempt of a flow is still out as it is attempted again, or answered."""
    assert all(attempt.outcome is not None for attempt in attempts), "an earlier attempt is out"


def assert_no_second_effect(
    flow: Flow, earlier: Sequence[AttemptRecord], server: Server, now: int
) -> None:
    """A flow that may have run is attempted again only where a second run does no harm.

    That is anywhere for an idempotent flow; for one with an idempotency key within the window and
    the group of servers that drop repeats; nowhere for any other.
    """
    ran = [attempt for attempt in earlier if attempt.may_have_run]
    service_type = flow.service_type
    if not ran or service_type.effect is Effect.IDEMPOTENT:
        return
    assert service_type.effect is Effect.IDEMPOTENCY_KEY, "a non-idempotent flow may run twice"
    first = ran[0]
    assert now < first.sent_at + service_type.idempotency_window, "past the idempotency window"
    shares_keys = {
        Scope.ALL: True,
        Scope.ZONE: first.server.zone == server.zone,
        Scope.CELL: first.server.cell == server.cell,
    }
    assert shares_keys[service_type.scope], "outside the group that drops repeats"


def assert_reject_is_harmless(flow: Flow, attempts: Sequence[AttemptRecord]) -> None:
    """A rejected client may send its flow again: that must do no harm."""
    service_type = flow.service_type
    harmless = (
        service_type.effect is Effect.IDEMPOTENT
        or not any(attempt.may_have_run for attempt in attempts)
        or (service_type.effect is Effect.IDEMPOTENCY_KEY and service_type.scope is Scope.ALL)
    )
    assert harmless, "a reject though a repeat may do harm"


# Rule three.


def assert_takes_new_flows(state: ServerState, out_of_rotation: bool = False) -> None:
    """A server may get a new flow."""
    assert state is ServerState.READY, "an attempt at a server that drains or is gone"
    assert not out_of_rotation, "an attempt at a server that is out of rotation"


# Rule four.


def slow_start_limit(budget: float) -> float:
    """Most flows in a window that many balancers may send, which share a budget by chance."""
    return budget + 2 * sqrt(budget) + 2


def assert_within_slow_start_budget(count: int, limit: float) -> None:
    """A server that warms up got no more flows in a window."""
    assert count <= limit, f"{count} flows in a window of at most {limit:.1f}"
