"""Events that cross in one turn of the core: each flow has one answer, whatever their order."""

import random
from collections.abc import Callable

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


def test_acceptance_behind_the_attempt_timeout_in_one_turn_does_not_count():
    harness = CoreHarness()
    session = harness.open(1)
    attempt = harness.drivers.pending[session]
    harness.now = session.flow.deadline
    harness.core.timers.run_due(harness.now)
    harness.core.on_established(harness.now, attempt)
    harness.step()
    assert harness.drivers.answers[session] == BUSY


class CrossingEvents:
    """What may happen to a session in one turn, drawn by a seed."""

    def __init__(self, harness: CoreHarness, seed: int):
        """Events at the harness's core."""
        self.harness = harness
        self.chance = random.Random(f"crossings {seed}")

    def draw(self) -> list[Callable[[], None]]:
        """Events for all sessions whose attempts are out, in any order."""
        events = []
        for session, attempt in list(self.harness.drivers.pending.items()):
            choices = [
                lambda attempt=attempt: self.establish(attempt),
                lambda attempt=attempt: self.end(attempt),
                lambda session=session: self.leave(session),
                lambda: None,
            ]
            events.append(self.chance.choice(choices))
            if self.chance.random() < 0.5:
                events.append(lambda session=session: self.leave(session))
        self.chance.shuffle(events)
        return events

    def establish(self, attempt: Attempt) -> None:
        """The server accepts."""
        self.harness.core.on_established(self.harness.now, attempt)

    def end(self, attempt: Attempt) -> None:
        """The attempt fails."""
        self.harness.drivers.close_attempt(attempt)
        outcome = self.chance.choice([Outcome.RESET, Outcome.FULL, Outcome.CONNECT_FAILED])
        self.harness.core.on_attempt_ended(self.harness.now, attempt, outcome)

    def leave(self, session: Session) -> None:
        """The client leaves."""
        self.harness.core.on_client_left(self.harness.now, session)


@pytest.mark.parametrize("seed", range(20))
def test_events_that_cross_in_one_turn_leave_one_answer_or_none_for_a_client_that_left(seed):
    harness = CoreHarness()
    events = CrossingEvents(harness, seed)
    sessions = [harness.open(number) for number in range(1, 7)]
    for _ in range(60):
        turn = events.draw()
        harness.now += events.chance.randrange(100 * MILLISECOND)
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
    # It is not idempotent, but nothing ran: the client may try again.
    assert harness.drivers.answers[session] == BUSY
    other = harness.open(2, "c=book,t=north,d=900")
    harness.pass_time(SECOND)
    assert harness.drivers.answers[other] == ERROR
