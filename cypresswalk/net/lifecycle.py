"""The phases of this process: starting beside a predecessor, serving, drained, shutting down."""

import logging
from enum import Enum
from typing import Protocol

from cypresswalk.model import SECOND, Flow
from cypresswalk.net.endpoints import EndpointTable
from cypresswalk.net.limits import Limits
from cypresswalk.net.logs import event
from cypresswalk.net.ports import Drivers, Extensions
from cypresswalk.net.session import Attempt, Session
from cypresswalk.net.timers import Timers

log = logging.getLogger(__name__)


class Phase(Enum):
    """A phase of this process, ended by an operator's command or a signal, never by time alone."""

    STARTING = "starting"  # a predecessor still serves; this process places no flows
    SERVING = "serving"
    DRAINED = "drained"  # by an operator: fails PING and migrates clients; can return to service
    LEAVING = "leaving"  # graceful shutdown: still answers requests until the process ends


class DrainingCore(Protocol):
    """The methods of the core that draining uses."""

    def migrate(self, now: int, flow: Flow) -> None:
        """Tell an established flow's client to reconnect to another balancer or server."""

    def on_attempt_timeout(self, now: int, attempt: Attempt) -> None:
        """Handle the timeout of an attempt."""


class Lifecycle:
    """The phase, the readiness for new flows, and the gradual migration of clients when draining.

    Times are nanoseconds.
    """

    def __init__(
        self,
        limits: Limits,
        timers: Timers,
        drivers: Drivers,
        extensions: Extensions,
        endpoints: EndpointTable,
        sessions: dict[Flow, Session],
        core: DrainingCore,
    ):
        """Start in the phase `SERVING`; `sessions` is the core's own map of its flows."""
        self.limits = limits
        self.timers = timers
        self.drivers = drivers
        self.extensions = extensions
        self.endpoints = endpoints
        self.sessions = sessions
        self.core = core
        self.phase = Phase.SERVING
        # Whether flows can be placed, apart from the lease (`Extensions.may_place_flows`); read by
        # clients' threads too.
        self.ready = False
        # Latest time for replies to OPEN while this process is drained or shutting down, else None.
        self.answer_deadline: int | None = None
        self.drained = False  # whether an operator drained it; kept across an upgrade
        self.stopped = False  # whether all sessions are over, apart from sending the last bytes
        # Number of the current migration of all clients; increasing it ends the one before.
        self.round = 0

    def update_readiness(self) -> None:
        """Recompute `ready`; must be called after each change of what it depends on."""
        # During a handover the predecessor goes on answering PING, so that there is no gap.
        accepting = (
            self.phase is Phase.SERVING
            or self.phase is Phase.LEAVING
            and self.extensions.has_other_process()
            and not self.drained
        )
        self.ready = accepting and self.endpoints.count_placeable() > 0

    def begin_serving(self, now: int) -> None:
        """Start serving after the predecessor has handed over or is gone."""
        if self.phase is Phase.STARTING:
            self.phase = Phase.SERVING
            log.info(event("taken_over", drained=self.drained))
            if self.drained:
                self._migrate_all(now, Phase.DRAINED, 0, 0)
            self.update_readiness()

    def drain(self, now: int) -> None:
        """Migrate all clients, until `return_to_service`."""
        self.drained = True
        if self.phase is Phase.SERVING:
            self._migrate_all(now, Phase.DRAINED, self.limits.drain_delay, self.limits.drain_time)

    def return_to_service(self) -> None:
        """End a drain."""
        self.phase = Phase.SERVING
        self.answer_deadline = None
        self.drained = False
        self.round += 1
        self.update_readiness()

    def stop(self, now: int) -> None:
        """Shut down gracefully: still answer requests while clients are migrated evenly.

        This ends well before the process is killed.
        """
        if self.phase is Phase.LEAVING:
            return
        span = (
            min(self.limits.longest_connect_timeout, self.limits.max_shutdown_time)
            + self.limits.shutdown_extension
        )
        # Clients are still sent here for a while after a stop begins, and in a rolling restart the
        # balancer restarted before this one is often still down, so a client migrated at once could
        # come straight back. With a successor that does not matter, and a longer migration spreads
        # the load of reconnecting clients.
        if self.extensions.has_other_process():
            delay = self.limits.min_migration_delay
        else:
            delay = max(span // 2, self.limits.min_migration_delay)
        answer_deadline = self._migrate_all(now, Phase.LEAVING, delay, span)
        self.drivers.stop_accepting_at(answer_deadline)
        if self.extensions.handover is not None:
            self.extensions.handover.hand_over(now)

    def _migrate_all(self, now: int, phase: Phase, delay: int, span: int) -> int:
        """Migrate clients evenly from `delay` to `span` after now; return the deadline."""
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
                    on_timeout = self.core.on_attempt_timeout
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
                self.core.migrate(now, flow)
            if self.phase is Phase.LEAVING:
                self.stopped = not self.sessions and not self._awaits_reservations()
            due = now + self.limits.shutdown_poll_interval
        elif established:
            self.core.migrate(now, established[0])
            due = now + (deadline - now) // len(established)
        else:
            due = min(now + self.limits.shutdown_poll_interval, deadline)
        self.timers.schedule(due, self._migrate_next, migration_round, deadline)

    def _awaits_reservations(self) -> bool:
        reservations = self.extensions.reservations
        return reservations is not None and bool(reservations.waiting)
