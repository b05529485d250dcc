"""Tests of reservations of idempotency keys, made at replicas before a flow is placed."""

from pathlib import Path

import pytest
from binding_helpers import BindingHarness
from helpers import endpoint_entry, present

from cypresswalk.copies.events import ReservationEnded, ReservationRequested
from cypresswalk.copies.reservations import ReservationAnswer
from cypresswalk.model import SECOND

MILLISECOND = SECOND // 1000
OWNER = "n0#1/1.1"
BUSY = b"BUSY\r\n"


class ReservationHarness(BindingHarness):
    """Binding whose reservation requests wait until the test answers them."""

    def __init__(self, folder: Path):
        """Start with one listed server."""
        super().__init__(folder, endpoint_entry("s-1"), copies={})
        self.events: list[ReservationRequested | ReservationEnded] = []
        replication = present(self.binding.fleet.replication)
        replication.put = self.events.append  # type: ignore[assignment, method-assign]

    def answer(self, kind: str, outcome: str = "", request: int = 0) -> None:
        """Answer the request at index `request` of the events, as the replicas do."""
        answer = ReservationAnswer(kind, "n9#1/1.1", outcome)
        event = self.events[request]
        assert isinstance(event, ReservationRequested)
        event.reply(answer, OWNER)
        self.process_posted()
        self.core.carry_out_decisions(self.now)

    def ended_with(self, place: int) -> str:
        """Return the outcome of the ended reservation at index `place` of the events."""
        event = self.events[place]
        assert isinstance(event, ReservationEnded)
        return event.outcome

    def waiting(self) -> int:
        """Return the number of flows that wait for their reservation."""
        return len(present(self.core.extensions.reservations).waiting)


@pytest.fixture
def harness(tmp_path: Path) -> ReservationHarness:
    """Return a core with reservations."""
    return ReservationHarness(tmp_path)


def test_non_idempotent_flow_waits_for_its_reservation_and_others_do_not(harness):
    harness.open("r1")
    assert len(harness.drivers.attempts) == 1
    assert not harness.events
    session = harness.open("o1", "book")
    assert len(harness.drivers.attempts) == 1
    assert harness.waiting() == 1
    request = harness.events[0]
    service_type = session.flow.service_type
    assert isinstance(request, ReservationRequested)
    assert len(request.key) == 16
    assert request.hold_ns >= service_type.idempotency_window
    time_left = request.deadline - harness.binding.fleet.now()
    assert time_left <= service_type.setup_latency_objective // 2
    harness.answer("granted")
    assert len(harness.drivers.attempts) == 2
    harness.core.on_established(harness.now, harness.drivers.attempts[-1])
    assert harness.events[1] == ReservationEnded(request.key, OWNER, "ran")


@pytest.mark.parametrize(
    "kind, outcome, line",
    [
        ("held", "out", b"ERR\r\n"),
        ("held", "ran", b"ERR\r\n"),
        ("held", "unknown", b"ERR\r\n"),
        ("held", "never", b"BUSY 200\r\n"),
        ("refused", "", b"BUSY 200\r\n"),
    ],
)
def test_reply_to_a_flow_without_its_reservation_follows_from_the_answer(
    harness, kind, outcome, line
):
    settings = harness.core.balancer.settings
    settings.retry_after_allowed = True
    settings.max_retry_after = SECOND
    session = harness.open("o1", "book")
    session.flow.service_type.setup_latency_objective = 200 * MILLISECOND
    harness.answer(kind, outcome)
    assert harness.drivers.replies() == [line]
    assert not harness.drivers.attempts
    assert not harness.waiting()


def test_reservation_of_a_client_that_left_before_its_attempt_ends_as_never_run(harness):
    session = harness.open("o1", "book")
    harness.core.on_client_left(harness.now, session)
    harness.answer("granted")
    assert not harness.drivers.attempts
    assert harness.ended_with(1) == "never"
    # Once the attempt was sent, its outcome is unknown.
    session = harness.open("o2", "book")
    harness.answer("granted", request=2)
    harness.core.on_client_left(harness.now, session)
    assert harness.ended_with(3) == "unknown"


def test_flow_without_an_answer_is_rejected_in_time_and_a_stopping_process_waits_for_it(harness):
    harness.core.lifecycle.stop(harness.now)
    session = harness.open("o1", "book")
    objective = session.flow.service_type.setup_latency_objective
    harness.now += objective // 4
    harness.core.timers.run_due(harness.now)
    assert not harness.drivers.replies()
    assert not harness.core.lifecycle.stopped
    harness.now += objective // 2
    harness.core.timers.run_due(harness.now)
    assert harness.drivers.replies() == [BUSY]
    harness.answer("granted")  # too late: no attempt is sent, and the reservation ends
    assert not harness.drivers.attempts
    assert harness.ended_with(1) == "never"
    harness.now += 10 * SECOND
    harness.core.timers.run_due(harness.now)
    assert harness.core.lifecycle.stopped
