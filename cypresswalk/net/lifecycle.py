"""The phases of this process: start beside a predecessor, service, drain, shutdown."""

import logging
from enum import Enum
from typing import Protocol

from cypresswalk.model import SECOND, Flow
from cypresswalk.net.endpoints import EndpointBook
from cypresswalk.net.limits import Limits
from cypresswalk.net.logs import event
from cypresswalk.net.ports import Drivers, Extensions
from cypresswalk.net.session import Attempt, Session
from cypresswalk.net.timers import Timers

log = logging.getLogger(__name__)


class Phase(Enum):
    """Of this process. An operator's command or a signal ends one, never time alone."""

    STARTING = "starting"  # beside a predecessor that still serves: places nothing
    SERVING = "serving"
    DRAINED = "drained"  # by an operator: fails PING, migrates its clients, may be called back
    LEAVING = "leaving"  # graceful shutdown: goes on answering until it ends


class RequestHandler(Protocol):
    """What draining asks of the core."""

    def migrate(self, now: int, flow: Flow) -> None:
        """Has an established flow's client look for another balancer or server."""

    def on_attempt_timeout(self, now: int, attempt: Attempt) -> None:
        """An attempt's time is up."""


class Lifecycle:
    """The phase, whether new flows are welcome, and the even migration of clients before an end.

    Times are nanoseconds.
    """

    def __init__(
        self,
        limits: Limits,
        timers: Timers,
        drivers: Drivers,
        extensions: Extensions,
        endpoints: EndpointBook,
        sessions: dict[Flow, Session],
        requests: RequestHandler,
    ):
        """`sessions` is the core's own map of all flows that are held or established."""
        self.limits = limits
        self.timers = timers
        self.drivers = drivers
        self.extensions = extensions
        self.endpoints = endpoints
        self.sessions = sessions
        self.requests = requests
        self.phase = Phase.SERVING
        # Flows can be placed, but for the lease (`Extensions.may_act`); read by clients' threads.
        self.ready = False
        # No flow is answered later, while this process is drained or leaves.
        self.answer_deadline: int | None = None
        self.drained = False  # by an operator; stays so over an upgrade
        self.stopped = False  # all is over but the last bytes
        self.round = 0  # of migrating all clients; a new one, or a call back, ends the one before

    def update_readiness(self) -> None:
        """Derives `ready` anew; to be called after each change of what it depends on."""
        # Of two processes at one address the predecessor answers PING for both, without a gap.
        accepting = (
            self.phase is Phase.SERVING
            or self.phase is Phase.LEAVING
            and self.extensions.has_other_process()
            and not self.drained
        )
        self.ready = accepting and self.endpoints.count_placeable() > 0

    def begin_serving(self, now: int) -> None:
        """The predecessor has handed over, or is gone."""
        if self.phase is Phase.STARTING:
            self.phase = Phase.SERVING
            log.info(event("taken_over", drained=self.drained))
            if self.drained:
                self._migrate_all(now, Phase.DRAINED, 0, 0)
            self.update_readiness()

    def drain(self, now: int) -> None:
        """Migrates all clients until called back."""
        self.drained = True
        if self.phase is Phase.SERVING:
            self._migrate_all(now, Phase.DRAINED, self.limits.drain_delay, self.limits.drain_time)

    def return_to_service(self) -> None:
        """Ends a drain."""
        self.phase = Phase.SERVING
        self.answer_deadline = None
        self.drained = False
        self.round += 1
        self.update_readiness()

    def stop(self, now: int) -> None:
        """Goes on answering while clients are migrated evenly; ends well before the kill."""
        if self.phase is Phase.LEAVING:
            return
        span = (
            min(self.limits.longest_connect_timeout, self.limits.max_leave_time)
            + self.limits.leave_extension
        )
        # A client that is migrated at once would come straight back, since some are still sent here
        # for a while, and in a rolling restart the balancer before this one is often still away. A
        # successor is there: the longer the migration takes, the less it presses on anyone.
        if self.extensions.has_other_process():
            delay = self.limits.min_leave_delay
        else:
            delay = max(span // 2, self.limits.min_leave_delay)
        answer_deadline = self._migrate_all(now, Phase.LEAVING, delay, span)
        self.drivers.stop_accepting_at(answer_deadline)
        if self.extensions.handover is not None:
            self.extensions.handover.hand_over(now)

    def _migrate_all(self, now: int, phase: Phase, delay: int, span: int) -> int:
        """Migrates clients evenly from `delay` to `span` after now; returns the deadline."""
        deadline = self.answer_deadline = now + span
        self.phase = phase
        self.round += 1
        self.update_readiness()
        name = "stop" if phase is Phase.LEAVING else "drain"
        established = sum(session.established for session in self.sessions.values())
        log.info(event(name, standing=established, seconds=span / SECOND))
        for flow, session in self.sessions.items():
            if not session.established and flow.deadline > deadline:
                flow.deadline = deadline
                if session.attempt is not None:
                    on_timeout = self.requests.on_attempt_timeout
                    self.timers.schedule(flow.deadline, on_timeout, session.attempt)
        self.timers.schedule(now + delay, self._migrate_next, self.round, deadline)
        return deadline

    def _migrate_next(self, now: int, migration_round: int, deadline: int) -> None:
        if migration_round != self.round:
            return
        if self.extensions.handover is not None:
            self.extensions.handover.send_session_count()
        established = [flow for flow, session in self.sessions.items() if session.established]
        if now >= deadline:
            for flow in established:
                self.requests.migrate(now, flow)
            if self.phase is Phase.LEAVING:
                self.stopped = not self.sessions and not self._awaits_reservations()
            due = now + self.limits.leave_poll_interval
        elif established:
            self.requests.migrate(now, established[0])
            due = now + (deadline - now) // len(established)
        else:
            due = min(now + self.limits.leave_poll_interval, deadline)
        self.timers.schedule(due, self._migrate_next, migration_round, deadline)

    def _awaits_reservations(self) -> bool:
        reservations = self.extensions.reservations
        return reservations is not None and bool(reservations.waiting)
