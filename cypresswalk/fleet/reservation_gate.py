"""Flows that must not run twice wait until their idempotency key is reserved at the replicas."""

from collections.abc import Callable

from cypresswalk.copies.events import ReservationEnded, ReservationRequested
from cypresswalk.copies.reservations import GRANTED, HELD, NEVER_RAN, REFUSED, ReservationAnswer
from cypresswalk.fleet.driver import FleetThread
from cypresswalk.model import Flow
from cypresswalk.net.core import Core
from cypresswalk.net.session import ERROR_REPLY, Session

REPLY_MARGIN = 50_000_000  # nanoseconds beyond its share that a flow waits for an answer


class ReservationGate:
    """Asks for reservations, and places or rejects flows by the answers.

    Each flow is answered within a share of its setup latency objective, whatever the replicas do.
    Called by the deciding thread, but for what it hands to the replication thread.

    Attributes:
        waiting: sessions that wait for an answer, the oldest first.
        granted: the reservation's owner of each flow that has one.
    """

    def __init__(self, core: Core, fleet: FleetThread, post: Callable[..., None], share: float):
        """Has no reservations.

        Args:
            core: of this balancer.
            fleet: its part in the fleet; must have a replication thread.
            post: has the deciding thread call a function with the time and more arguments.
            share: of the setup latency objective for which a flow waits, 0.0 to 1.0.
        """
        self.core = core
        self.fleet = fleet
        self.post = post
        self.share = share
        self.waiting: dict[Session, None] = {}
        self.granted: dict[Flow, str] = {}

    def request(self, now: int, session: Session) -> None:
        """Asks for the flow's reservation; the session is placed or rejected with the answer."""
        flow = flow_of(session)
        service_type = flow.service_type
        time_left = flow.deadline - now
        share = max(int(service_type.setup_latency_objective * self.share), 1)
        timeout = min(share, max(time_left // 2, 0))
        # As long as the flow may be under way, and a repeat of it come.
        lifetime = (
            service_type.idempotency_window
            + max(time_left, 0)
            + self.core.limits.longest_connect_timeout
        )
        self.waiting[session] = None
        # The replication thread may answer nothing: its process may be handing over, or failing.
        self.core.timers.schedule(now + timeout + REPLY_MARGIN, self.on_timeout, session)
        self.core.counters.add("claims")

        def reply(answer: ReservationAnswer, by: str) -> None:
            """Passes the answer on to the deciding thread."""
            self.post(self.on_answer, session, answer, by)

        deadline = self.fleet.now() + timeout
        event = ReservationRequested(flow_key(flow), lifetime, deadline, reply)
        self.fleet.replication.put(event)

    def on_answer(self, now: int, session: Session, answer: ReservationAnswer, by: str) -> None:
        """Places the flow if its key was reserved for it; else rejects it.

        Args:
            now: nanoseconds.
            session: that waits, or was answered after its timeout.
            answer: of the replicas.
            by: the owner under whose name the key is reserved.
        """
        core = self.core
        flow = flow_of(session)
        answered = session not in self.waiting
        self.waiting.pop(session, None)
        core.counters.add("claims_" + answer.result)
        if answer.result == GRANTED:
            self.granted[flow] = by
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
            # It runs, or may have run: not again, and no reply that makes a repeat seem harmless.
            core.counters.add("flows_claimed_elsewhere")
            core.end_session(now, session, ERROR_REPLY)
        else:
            core.end_session(now, session, core.retry_reply(flow))

    def on_timeout(self, now: int, session: Session) -> None:
        """Rejects a flow whose reservation was not answered."""
        if session in self.waiting:
            self.on_answer(now, session, ReservationAnswer(REFUSED), "")

    def finish(self, flow: Flow, how: str) -> None:
        """Releases the flow's reservation, if any; `how` is "ran", "never" or "unknown"."""
        by = self.granted.pop(flow, None)
        if by is not None:
            self.fleet.replication.put(ReservationEnded(flow_key(flow), by, how))


def flow_of(session: Session) -> Flow:
    """The flow of a session that has got as far as asking for a reservation."""
    assert session.flow is not None  # the core makes the flow before it asks
    return session.flow


def flow_key(flow: Flow) -> str:
    """Sixteen hex digits however long the client's own id was, the same at every balancer."""
    return f"{flow.id:016x}"
