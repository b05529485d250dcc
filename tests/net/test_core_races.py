"""Tests of concurrent events in one turn of the core: each flow gets one reply in any order.

A turn is one iteration of the deciding thread's loop, which ends with executing the decisions.
"""

import random
from collections.abc import Callable
from functools import partial

import pytest
from core_helpers import UP, CoreHarness

from cypresswalk.model import SECOND, Outcome
from cypresswalk.net.limits import MILLISECOND
from cypresswalk.net.session import Attempt, Session

BUSY = b"BUSY\r\n"
ERROR = b"ERR\r\n"


def test_acceptance_just_before_the_attempt_timeout_in_one_turn_counts():
    harness = CoreHarness()
    session = harness.open(1)
    attempt = harness.drivers.pending[session]
    harness.now = session.flow.deadline - 1
    harness.core.on_established(harness.now, attempt)
    harness.core.timers.run_due(harness.now)
    harness.now = session.flow.deadline
    harness.step()
    assert harness.drivers.answers[session] == UP


def test_acceptance_after_the_attempt_timeout_in_one_turn_does_not_count():
    harness = CoreHarness()
    session = harness.open(1)
    attempt = harness.drivers.pending[session]
    harness.now = session.flow.deadline
    harness.core.timers.run_due(harness.now)
    harness.core.on_established(harness.now, attempt)
    harness.step()
    assert harness.drivers.answers[session] == BUSY


class ConcurrentEvents:
    """A generator of random events for all sessions in one turn of the core."""

    def __init__(self, harness: CoreHarness, seed: int):
        """Create a generator for the harness's core; `seed` determines its events."""
        self.harness = harness
        self.rng = random.Random(f"crossings {seed}")

    def draw(self) -> list[Callable[[], None]]:
        """Return events for all sessions with a pending attempt, in random order."""
        events: list[Callable[[], None]] = []
        for session, attempt in list(self.harness.drivers.pending.items()):
            choices: list[Callable[[], None]] = [
                partial(self.establish, attempt),
                partial(self.end, attempt),
                partial(self.leave, session),
                lambda: None,
            ]
            events.append(self.rng.choice(choices))
            if self.rng.random() < 0.5:
                events.append(partial(self.leave, session))
        self.rng.shuffle(events)
        return events

    def establish(self, attempt: Attempt) -> None:
        """Report that the server accepts."""
        self.harness.core.on_established(self.harness.now, attempt)

    def end(self, attempt: Attempt) -> None:
        """Report that the attempt fails."""
        self.harness.drivers.close_attempt(attempt)
        outcome = self.rng.choice([Outcome.RESET, Outcome.FULL, Outcome.CONNECT_FAILED])
        self.harness.core.on_attempt_ended(self.harness.now, attempt, outcome)

    def leave(self, session: Session) -> None:
        """Report that the client leaves."""
        self.harness.core.on_client_left(self.harness.now, session)


@pytest.mark.parametrize("seed", range(20))
def test_concurrent_events_in_one_turn_give_one_reply_or_none_for_a_client_that_left(seed):
    harness = CoreHarness()
    events = ConcurrentEvents(harness, seed)
    sessions = [harness.open(number) for number in range(1, 7)]
    for _ in range(60):
        turn = events.draw()
        harness.now += events.rng.randrange(100 * MILLISECOND)
        for event in turn:
            event()
        harness.step()
    harness.pass_time(2 * SECOND)
    unanswered = [session for session in sessions if session not in harness.drivers.answers]
    assert all(session.finished for session in unanswered)
    assert not harness.drivers.pending


def test_attempt_that_still_dials_at_its_timeout_is_known_not_to_have_run():
    harness = CoreHarness()
    session = harness.open(1, "c=book,t=north,d=900")
    harness.drivers.dialing.add(harness.drivers.pending[session])
    harness.pass_time(SECOND)
    # The flow is not idempotent, but it did not run, so the client may retry.
    assert harness.drivers.answers[session] == BUSY
    other = harness.open(2, "c=book,t=north,d=900")
    harness.pass_time(SECOND)
    assert harness.drivers.answers[other] == ERROR
