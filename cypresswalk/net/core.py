"""The core of the balancer: passes events to the decisions and their results to the drivers.

The decisions are made by cypresswalk/decisions/. The core does no I/O, reads no clock, and is
called by one thread only, the deciding thread. The methods follow the life of a request: accepted,
admitted, placed, attempted, established or retried or rejected, ended.
"""

import logging
from collections.abc import Callable

from cypresswalk.decisions.balancer import Balancer
from cypresswalk.hosting import flow_of_attempt, nanoseconds, pack_gossip, unpack_gossip
from cypresswalk.model import (
    Abort,
    CheckHealth,
    Decision,
    Effect,
    EndpointUpdate,
    Flow,
    Migrate,
    Outcome,
    Reject,
    ScheduleWakeup,
    SendGossip,
    Server,
    ServerState,
    StartAttempt,
    Subscribe,
)
from cypresswalk.net.config import Config
from cypresswalk.net.counters import Counters
from cypresswalk.net.delay_gauge import DelayGauge
from cypresswalk.net.endpoints import EndpointTable
from cypresswalk.net.flow_ids import FlowIds
from cypresswalk.net.lifecycle import Lifecycle, Phase
from cypresswalk.net.limits import MILLISECOND
from cypresswalk.net.logs import event
from cypresswalk.net.metrics import ESTABLISHED, FAILED, REJECTED, Metrics
from cypresswalk.net.operator_commands import OperatorCommands
from cypresswalk.net.parsers.endpoint_list import stable_hash
from cypresswalk.net.parsers.lines import OpenRequest
from cypresswalk.net.parsers.load_reports import LoadReportParser
from cypresswalk.net.ports import Drivers, Endpoint, Extensions
from cypresswalk.net.resumption import Resumption
from cypresswalk.net.session import (
    BUSY_REPLY,
    ERROR_REPLY,
    PONG_REPLY,
    Attempt,
    Session,
    busy_reply,
)
from cypresswalk.net.silence import SilenceDetector
from cypresswalk.net.timers import Timers

log = logging.getLogger(__name__)

# A client's set-up timeout may be up to this many times the longest `giveUp` of any service type;
# a request with a longer one is refused.
MAX_CONNECT_TIMEOUTS = 20


class Core:
    """The sessions of one balancer and the handlers that connect them to its decisions.

    The `on_...` methods handle events; `carry_out_decisions` executes the resulting decisions. All
    times are nanoseconds of one monotonic clock.
    """

    def __init__(
        self,
        config: Config,
        drivers: Drivers,
        counters: Counters,
        now: int,
        policy: type[Balancer] = Balancer,
    ):
        """Create and connect all parts; `policy` is the class that makes the decisions."""
        self.limits = config.limits
        self.drivers = drivers
        self.counters = counters
        self.service_types = config.service_types
        self.tenants = config.tenants
        self.groups = config.groups
        self.load_reports = LoadReportParser(config.reports_load, config.reports_delay, self.limits)
        self.balancer = policy(config.settings, config.seed, now)
        self.sessions: dict[Flow, Session] = {}  # flows that are being placed or established
        self.flow_ids = FlowIds(self.limits.max_remembered_flows)
        self.seen_ids = self.flow_ids.arrived  # the ids that arrived last, oldest first
        self.delay_gauges: dict[int, DelayGauge] = {}  # by `Server.id`
        self.timers = Timers()
        self.extensions = Extensions()
        self.metrics = Metrics(self.service_types, self.balancer, counters, self.sessions)
        self.endpoints = EndpointTable(self.balancer, self.limits, self.timers, self.on_endpoints)
        self.lifecycle = Lifecycle(
            self.limits,
            self.timers,
            drivers,
            self.extensions,
            self.endpoints,
            self.sessions,
            self,
        )
        self.resumption = Resumption(self.balancer, self.limits, self.timers, self.extensions, self)
        self.commands = OperatorCommands(
            self.balancer,
            self.endpoints,
            self.lifecycle,
            self.extensions,
            self.metrics,
            counters,
            self.cancel_unsent_attempts,
        )
        self.silence = SilenceDetector(
            self.sessions, self.balancer, counters, self.limits, self.timers
        )
        self.silence.check(now)

    # Accepting, admitting and placing a request.

    def on_open(self, now: int, session: Session, request: OpenRequest, waited: int = 0) -> None:
        """Handle a client's OPEN request, which arrived `waited` nanoseconds before it was read."""
        timeout = nanoseconds(float(request.values.get("d", 0)), "d")
        if not self._is_acceptable(request, timeout):
            self._refuse(now, session, "request_invalid", line=request.encode(0)[:200])
            return
        flow_id = stable_hash(request.ident)
        # Each connection must use a new id: a repeated one must not disturb the flow that has it.
        if self.flow_ids.is_known(flow_id):
            self._refuse(now, session, "flow_twice", flow=request.ident)
            return
        self.flow_ids.add(flow_id)
        session.request = request
        session.flow = flow = self._make_flow(now, request, flow_id, timeout - waited)
        if "at" in request.values:
            self.counters.add("flows_handed_over")  # resumed at the server that the client names
            self.resumption.begin(now, session)
            return
        self.counters.add("flows_taken")
        if flow.returning:
            self.counters.add("flows_again")
        self._admit(now, session)

    def on_no_slot(self, now: int, request: OpenRequest) -> None:
        """Count a request that the listener has rejected, since all slots for clients are held."""
        self.counters.add("flows_beyond_sockets")
        service_type = request.values.get("c", "")
        if service_type in self.service_types:
            self.metrics.count(REJECTED, service_type)

    def ping_reply(self) -> bytes:
        """Return the reply to PING; called by any thread."""
        ready = self.lifecycle.ready and self.extensions.may_place_flows()
        return PONG_REPLY if ready else ERROR_REPLY

    def _is_acceptable(self, request: OpenRequest, timeout: int) -> bool:
        """Return whether the request's service type, tenant and timeout fit the settings.

        Servers would refuse it otherwise. A resumed flow (`at`) may have any timeout, since
        `Limits.resume_timeout` applies to it instead.
        """
        values = request.values
        tenant = values.get("t")
        known_tenant = tenant in self.tenants if self.tenants else tenant is None
        if values.get("c") not in self.service_types or not known_tenant:
            return False
        return (
            0 < timeout <= MAX_CONNECT_TIMEOUTS * self.limits.longest_connect_timeout
            or "at" in values
        )

    def _make_flow(self, now: int, request: OpenRequest, flow_id: int, timeout: int) -> Flow:
        values = request.values
        group = values.get("g") if self.groups else None
        # A key of zeros and hyphens only means that there is no key.
        has_key = group or request.key.strip("0-")
        key = stable_hash(group or request.key) if has_key else flow_id
        deadline = now + timeout - self.limits.answer_margin
        if self.lifecycle.answer_deadline is not None:
            deadline = min(deadline, self.lifecycle.answer_deadline)
        return Flow(
            flow_id,
            self.balancer.settings.service_types[self.service_types[values["c"]]],
            key,
            deadline,
            self.tenants.get(values.get("t", ""), 0),
            grouped=bool(group),
            returning=values.get("r") == "1" or values.get("again") == "1",
        )

    def _admit(self, now: int, session: Session) -> None:
        """Reject the flow, request its reservation if it needs one, or place it."""
        flow = session.flow
        extensions = self.extensions
        # Descriptors must not run out during a flow. Nothing was sent yet, so rejecting is safe.
        if len(self.sessions) + extensions.flows_elsewhere() >= self.limits.max_flows:
            self.counters.add("flows_beyond_sockets")
            self.end_session(now, session, BUSY_REPLY)
        elif not extensions.may_place_flows():
            self.counters.add("flows_without_lease")
            self.end_session(now, session, self.retry_reply(flow))
        elif (
            extensions.reservations is not None
            and flow.service_type.effect is not Effect.IDEMPOTENT
        ):
            extensions.reservations.request(now, session)
        else:
            self.place(now, session)

    def place(self, now: int, session: Session) -> None:
        """Pass an admitted flow to the decisions."""
        self.sessions[session.flow] = session
        self.balancer.on_flow(now, session.flow)

    # Executing decisions.

    def carry_out_decisions(self, now: int) -> None:
        """Execute each pending decision at once, until there is none left."""
        if self.lifecycle.phase is Phase.STARTING:
            return
        while (decision := self.balancer.next_decision(now)) is not None:
            self._carry_out(now, decision)

    def _carry_out(self, now: int, decision: Decision) -> None:  # noqa: C901 (a case per decision)
        match decision:
            case StartAttempt(flow) if not self.extensions.may_place_flows():
                self._end_without_lease(now, flow)
            case StartAttempt(flow, server, timeout):
                deadline = min(now + timeout, flow.deadline) if timeout else flow.deadline
                number = len(flow.attempts) - 1
                self.start_attempt(now, self.sessions[flow], server, number, deadline)
            case Reject(flow, retry_after):
                self.counters.add("flows_rejected")
                self.end_session(now, self.sessions.pop(flow), busy_reply(retry_after))
            case Abort(flow):
                self.counters.add("flows_aborted")
                self.end_session(now, self.sessions.pop(flow), ERROR_REPLY)
            case Migrate(flow):
                self.migrate(now, flow)
            case CheckHealth() if self.extensions.is_replaced():
                pass  # the successor checks the servers for both processes
            case CheckHealth(server):
                self.counters.add("probes_sent")
                self.drivers.check_health(server, self.endpoints.addresses[server.id])
            case SendGossip(server, load):
                self.counters.add("hints_told")
                self.drivers.send_gossip(pack_gossip(server, load))
            case Subscribe():
                self.drivers.request_endpoints()
            case ScheduleWakeup(delay):
                self.counters.add("wakeups")
                self.timers.schedule(now + delay, self.balancer.on_wakeup)

    def start_attempt(
        self, now: int, session: Session, server: Server, number: int, deadline: int
    ) -> None:
        """Start an attempt to connect a session to a server, which ends by `deadline`."""
        flow = session.flow
        if flow.may_have_run_on is None:
            send_deadline: int | float = deadline
        else:
            send_deadline = min(deadline, flow.idempotency_expires_at())
        gauge = self._delay_gauge(server)
        attempt = Attempt(session, server, number, now, send_deadline, gauge)
        session.attempt = attempt
        self.timers.schedule(deadline, self.on_attempt_timeout, attempt)
        self.counters.add("connects")
        line = session.request.encode(max((deadline - now) // MILLISECOND, 1))
        self.drivers.connect(attempt, self.endpoints.addresses[server.id], line)

    def _delay_gauge(self, server: Server) -> DelayGauge:
        gauge = self.delay_gauges.get(server.id)
        if gauge is None:
            threshold = max(self.limits.min_reported_delay, self.limits.own_delay_allowance)
            gauge = DelayGauge(server, threshold, self.limits.delay_report_interval)
            self.delay_gauges[server.id] = gauge
        return gauge

    # Establishment and end of an attempt.

    def on_established(self, now: int, attempt: Attempt) -> None:
        """Handle a server's acceptance of the session."""
        session = attempt.session
        flow = session.flow
        if session.attempt is not attempt or session.finished:
            self.drivers.close_attempt(attempt)
            return
        duration = now - attempt.started_at
        if flow not in self.sessions:
            self.sessions[flow] = session
            self.balancer.on_flow_resumed(now, flow, attempt.server)
        elif (
            flow_of_attempt(self.balancer, flow.id, attempt.number) is not flow
            or now >= flow.deadline
        ):
            self.drivers.close_attempt(attempt)  # the timer that is due ends the session
            return
        else:
            self.balancer.on_established(now, flow, duration)
        session.established = True
        if self.extensions.reservations is not None:
            self.extensions.reservations.finish(flow, "ran")
        if self.extensions.fleet is not None:
            self.extensions.fleet.on_attempt_established(attempt, duration)
        self.counters.add("flows_established")
        self.metrics.count(ESTABLISHED, session.request.values["c"])
        self.drivers.start_relay(attempt)

    def on_attempt_timeout(self, now: int, attempt: Attempt) -> None:
        """Handle the timeout of an attempt."""
        session = attempt.session
        if session.attempt is attempt and not session.finished and not session.established:
            # If the request was not sent yet, the flow cannot have run.
            unsent = self.drivers.cancel_unsent(attempt)
            outcome = Outcome.CONNECT_FAILED if unsent else Outcome.TIMEOUT
            self.drivers.close_attempt(attempt)
            if session.flow in self.sessions:
                self.on_attempt_ended(now, attempt, outcome)

    def on_attempt_ended(self, now: int, attempt: Attempt, outcome: Outcome) -> None:
        """Handle a failed, timed-out or cancelled attempt, or the end of an established flow."""
        session = attempt.session
        flow = session.flow
        if session.attempt is not attempt or session.finished:
            return
        self.counters.add("connects_" + outcome.name.lower())
        if self.extensions.fleet is not None:
            self.extensions.fleet.on_attempt_ended(attempt, outcome)
        if session.established:
            self._finish(session)
        else:
            session.attempt = None
        if flow not in self.sessions:
            self.resumption.retry_later(now, session)
        elif flow_of_attempt(self.balancer, flow.id, attempt.number) is flow:
            final = session.established
            if final:
                del self.sessions[flow]
            self.balancer.on_ended(now, flow, outcome, final, now - attempt.started_at)

    def cancel_unsent_attempts(self, now: int, is_leaving: Callable[[Server], bool]) -> None:
        """Cancel attempts that have sent nothing yet to a leaving server, to place them elsewhere.

        Connecting takes time: otherwise a request could be sent after the server was known to
        leave, or after an operator's command to take it out of rotation was answered with OK.
        """
        for session in list(self.sessions.values()):
            attempt = session.attempt
            if (
                attempt is not None
                and not session.established
                and is_leaving(attempt.server)
                and self.drivers.cancel_unsent(attempt)
            ):
                self.on_attempt_ended(now, attempt, Outcome.NOT_SENT)

    # End of a session.

    def on_client_left(self, now: int, session: Session) -> None:
        """Handle the end of the client's connection, or its violation of the protocol."""
        if session.finished:
            return
        self._finish(session)
        if session.attempt is not None and not session.established:
            self.drivers.close_attempt(session.attempt)
        if session.has_flow:
            if not session.established:
                self._finish_reservation(session)
            if self.sessions.pop(session.flow, None) is not None:
                self.counters.add("flows_left")
                self.balancer.on_client_gone(now, session.flow)

    def on_early_client_data(self, now: int, session: Session) -> None:
        """Refuse a client that sent more before the reply to its request.

        Otherwise a client could send hundreds of commands without waiting for replies.
        """
        answered = session.finished or session.established
        self.on_client_left(now, session)
        if not answered:
            self._refuse(now, session, "client_impatient", flow=session.request.ident)

    def on_resume_failed(self, now: int, session: Session) -> None:
        """Refuse a session that was not resumed in time."""
        if not session.finished and not session.established:
            if session.attempt is not None:
                self.drivers.close_attempt(session.attempt)
            request = session.request
            server = request.values["at"]
            self._refuse(now, session, "resume_failed", flow=request.ident, server=server)

    def migrate(self, now: int, flow: Flow) -> None:
        """Tell the client of an established flow to reconnect to another server."""
        session = self.sessions.pop(flow)
        attempt = session.attempt
        assert attempt is not None  # since the session is established
        self._finish(session)
        self.counters.add("flows_moved")
        self.drivers.migrate(session)
        self.balancer.on_ended(now, flow, Outcome.CANCELLED, True, now - attempt.started_at)

    def end_session(self, now: int, session: Session, reply: bytes) -> None:
        """Send the only reply to a session that is not established, and finish it."""
        self._finish(session)
        if session.has_flow:
            self._finish_reservation(session)
            result = FAILED if reply == ERROR_REPLY else REJECTED
            self.metrics.count(result, session.request.values["c"])
        self.drivers.send_reply(session, reply)
        self.timers.schedule(now + self.limits.linger_timeout, self._close, session)

    def _finish(self, session: Session) -> None:
        session.finished = True
        if session.has_flow:
            flow = session.flow
            self.flow_ids.close(flow.id, attempted=bool(flow.attempts))

    def _close(self, now: int, session: Session) -> None:
        self.drivers.close_client(session)

    def _refuse(self, now: int, session: Session, log_event: str, **fields: object) -> None:
        log.warning(event(log_event, **fields))
        self.counters.add("flows_odd")
        self.end_session(now, session, ERROR_REPLY)

    def _end_without_lease(self, now: int, flow: Flow) -> None:
        """Reject a flow at once, since its server may have been chosen by outdated rules."""
        self.counters.add("flows_without_lease")
        idempotent = flow.service_type.effect is Effect.IDEMPOTENT
        safe_to_retry = flow.may_have_run_on is None or idempotent
        # Remove the flow from the decisions in the same way as if its client had gone.
        self.balancer.on_client_gone(now, flow)
        reply = self.retry_reply(flow) if safe_to_retry else ERROR_REPLY
        self.end_session(now, self.sessions.pop(flow), reply)

    def _finish_reservation(self, session: Session) -> None:
        if self.extensions.reservations is not None:
            never_ran = session.flow.may_have_run_on is None and session.attempt is None
            self.extensions.reservations.finish(session.flow, "never" if never_ran else "unknown")

    def retry_reply(self, flow: Flow) -> bytes:
        """Return the reply for a flow that is safe to retry, with a delay if settings allow it."""
        settings = self.balancer.settings
        if not settings.retry_after_allowed:
            return BUSY_REPLY
        objective = flow.service_type.setup_latency_objective
        return busy_reply(min(objective, settings.max_retry_after))

    # Information about servers.

    def on_endpoints(
        self,
        now: int,
        update: EndpointUpdate,
        entries: list[Endpoint],
        older: bool = False,
    ) -> None:
        """Handle a change of the endpoint list.

        Args:
            now: The current time, in nanoseconds.
            update: The kind of update, such as a whole list or changed entries.
            entries: The entries of the update.
            older: Whether the update is from a list that is older than one applied before.
        """
        self.counters.add("lists")
        if self.extensions.fleet is not None:
            update, entries = self.extensions.fleet.merge_endpoints(now, update, entries)
        if older:
            entries = self.endpoints.withhold_returning(now, entries)
        servers = self.endpoints.accept(entries)
        self.balancer.on_endpoints(now, update, servers)
        for number in self.balancer.remove_gone_servers(now):
            self.endpoints.forget(number)
            self.delay_gauges.pop(number, None)
        self.lifecycle.update_readiness()
        if update is not EndpointUpdate.DELTA or any(
            server.state is not ServerState.READY for server in servers
        ):
            self.cancel_unsent_attempts(now, lambda server: server.state is not ServerState.READY)

    def on_endpoints_failed(self, now: int) -> None:
        """Handle a failed call for the endpoint list, or the end of its watch."""
        self.counters.add("lists_failed")
        if self.balancer.settings.list_polled:
            self.balancer.on_endpoints(now, EndpointUpdate.FAILED, [])

    def on_health_check_result(
        self, now: int, server: Server, passed: bool, load: list[float]
    ) -> None:
        """Handle the result of a health check.

        `load` holds the values of the server's load report, or is empty if there is none.
        """
        self.counters.add("probes_passed" if passed else "probes_failed")
        index = self.balancer.settings.load_index
        reported = load[index] if 0 <= index < len(load) else None
        self.balancer.on_health_check_result(now, server, passed, reported)

    def on_message_delay(self, now: int, server: Server, delay: int) -> None:
        """Handle a server's message delay, reported by it or estimated from relayed lines."""
        self.counters.add("delays")
        self.balancer.on_message_delay(now, server, delay)

    def on_gossip(self, now: int, message: bytes) -> None:
        """Handle a gossip datagram of another balancer."""
        gossip = unpack_gossip(self.balancer, message)
        self.counters.add("hints_heard" if gossip else "hints_odd")
        if gossip:
            self.balancer.on_gossip(now, *gossip)
