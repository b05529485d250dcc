"""Reservation of idempotency keys at the replicas, for flows that must not run twice.

Such a flow is not placed until its key is reserved.
"""

from collections.abc import Callable

from cypresswalk.copies.events import ReservationEnded, ReservationRequested
from cypresswalk.copies.reservations import GRANTED, HELD, NEVER_RAN, REFUSED, ReservationAnswer
from cypresswalk.fleet.driver import FleetThread
from cypresswalk.model import Flow
from cypresswalk.net.core import Core
from cypresswalk.net.session import ERROR_REPLY, Session

REPLY_MARGIN = 50_000_000  # nanoseconds that a flow waits for an answer beyond its timeout


class ReservationGate:
    """Client of the replicas that requests reservations and places or rejects flows by the answers.

    Each flow is answered within a share of its setup latency objective, whatever the replicas do.
    The deciding thread calls all methods; only the reply callback of a request runs in the
    replication thread.

    Attributes:
        waiting: sessions that wait for an answer, the oldest first.
        granted: owner of the reservation, by flow that has one.
    """

    def __init__(self, core: Core, fleet: FleetThread, post: Callable[..., None], share: float):
        """Start without reservations.

        Args:
            core: core of this balancer.
            fleet: its fleet thread, which must have a replication thread.
            post: makes the deciding thread call a function with the time and further arguments.
            share: part of the setup latency objective for which a flow waits, 0.0 to 1.0.
        """
        assert fleet.replication is not None
        self.core = core
        self.fleet = fleet
        self.replication = fleet.replication
        self.post = post
        self.share = share
        self.waiting: dict[Session, None] = {}
        self.granted: dict[Flow, str] = {}

    def request(self, now: int, session: Session) -> None:
        """Request the flow's reservation; the answer places or rejects the session."""
        flow = flow_of(session)
        service_type = flow.service_type
        time_left = flow.deadline - now
        share = max(int(service_type.setup_latency_objective * self.share), 1)
        timeout = min(share, max(time_left // 2, 0))
        # Covers the time for which the flow may run and a repeat of it may arrive.
        lifetime = (
            service_type.idempotency_window
            + max(time_left, 0)
            + self.core.limits.longest_connect_timeout
        )
        self.waiting[session] = None
        # The replication thread may not answer, since its process may be handing over or failing.
        self.core.timers.schedule(now + timeout + REPLY_MARGIN, self.on_timeout, session)
        self.core.counters.add("claims")

        def reply(answer: ReservationAnswer, owner: str) -> None:
            """Pass the answer on to the deciding thread."""
            self.post(self.on_answer, session, answer, owner)

        deadline = self.fleet.now() + timeout
        event = ReservationRequested(flow_key(flow), lifetime, deadline, reply)
        self.replication.put(event)

    def on_answer(self, now: int, session: Session, answer: ReservationAnswer, owner: str) -> None:
        """Place the flow if its key was reserved for it; otherwise reject it.

        Args:
            now: nanoseconds.
            session: session that waits, or whose timeout has passed.
            answer: answer of the replicas.
            owner: owner under whose name the key is reserved.
        """
        core = self.core
        flow = flow_of(session)
        answered = session not in self.waiting
        self.waiting.pop(session, None)
        core.counters.add("claims_" + answer.result)
        if answer.result == GRANTED:
            self.granted[flow] = owner
            if session.finished or answered:
                self.finish(flow, NEVER_RAN)
            elif (
                core.lifecycle.answer_deadline is not None
                and now >= core.lifecycle.answer_deadline
                or not core.extensions.may_place_flows()
            ):
                core.end_session(now, session, core.retry_reply(flow))
            else:
                core.place(now, session)
        elif session.finished or answered:
            pass
        elif answer.result == HELD and answer.outcome != NEVER_RAN:
            # The flow runs or may have run: don't run it again, and don't invite a retry.
            core.counters.add("flows_claimed_elsewhere")
            core.end_session(now, session, ERROR_REPLY)
        else:
            core.end_session(now, session, core.retry_reply(flow))

    def on_timeout(self, now: int, session: Session) -> None:
        """Reject a flow whose reservation request was not answered."""
        if session in self.waiting:
            self.on_answer(now, session, ReservationAnswer(REFUSED), "")

    def finish(self, flow: Flow, how: str) -> None:
        """End the flow's reservation, if any; `how` is "ran", "never" or "unknown"."""
        owner = self.granted.pop(flow, None)
        if owner is not None:
            self.replication.put(ReservationEnded(flow_key(flow), owner, how))


def flow_of(session: Session) -> Flow:
    """Return the flow of a session that requests a reservation."""
    assert session.flow is not None  # the core creates the flow before the request
    return session.flow


def flow_key(flow: Flow) -> str:
    """Return the flow's key: 16 hex digits, the same at every balancer, for ids of any length."""
    return f"{flow.id:016x}"
