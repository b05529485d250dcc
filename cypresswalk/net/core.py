"""The balancer without its sockets: events call the decisions, decisions call the drivers.

No I/O and no clock of its own; one thread alone calls it. A request goes through this module from
top to bottom: accepted, admitted, placed, attempted, established or retried or rejected, ended.
"""

import logging
from collections import OrderedDict
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
from cypresswalk.net.endpoints import EndpointBook
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
from cypresswalk.net.session import BUSY_REPLY, ERROR_REPLY, Attempt, Session, busy_reply
from cypresswalk.net.silence import SilenceDetector
from cypresswalk.net.timers import Timers

log = logging.getLogger(__name__)

# Times the longest `giveUp` of any service type; a client that asks for more is refused.
MAX_CONNECT_TIMEOUTS = 20


class Core:
    """The on_... methods take events; `carry_out_decisions` does what the decisions ask for.

    All times are nanoseconds of one monotonic clock.
    """

    def __init__(
        self,
        config: Config,
        drivers: Drivers,
        counters: Counters,
        now: int,
        policy: type[Balancer] = Balancer,
    ):
        """Connects all parts; `policy` is the class that makes the decisions."""
        # Over 40 lines since it makes one part a line.
        self.limits = config.limits
        self.drivers = drivers
        self.counters = counters
        self.service_types = config.service_types
        self.tenants = config.tenants
        self.groups = config.groups
        self.load_reports = LoadReportParser(config.reports_load, config.reports_delay, self.limits)
        self.balancer = policy(config.settings, config.seed, now)
        self.sessions: dict[Flow, Session] = {}  # flows that are held or established
        self.seen_ids: OrderedDict[int, None] = OrderedDict()  # the latest flows', oldest first
        self.delay_gauges: dict[int, DelayGauge] = {}  # by the server's number
        self.timers = Timers()
        self.extensions = Extensions()
        self.metrics = Metrics(self.service_types, self.balancer, counters, self.sessions)
        self.endpoints = EndpointBook(self.balancer, self.limits, self.timers, self.on_endpoints)
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

    # A request is accepted, admitted and placed.

    def on_open(self, now: int, session: Session, request: OpenRequest) -> None:
        """A client's first line has come."""
        timeout = nanoseconds(float(request.values.get("d", 0)), "d")
        if not self._is_acceptable(request, timeout):
            self._refuse(now, session, "request_invalid", line=request.encode(0)[:200])
            return
        flow_id = stable_hash(request.ident)
        # An id is new with every connection: sent again it may not disturb the flow that has it.
        if flow_id in self.seen_ids:
            self._refuse(now, session, "flow_twice", flow=request.ident)
            return
        self.seen_ids[flow_id] = None
        if len(self.seen_ids) > self.limits.max_remembered_flows:
            self.seen_ids.popitem(last=False)
        session.request = request
        session.flow = flow = self._make_flow(now, request, flow_id, timeout)
        if "at" in request.values:
            self.counters.add("flows_handed_over")  # resumed at the server that the client names
            self.resumption.begin(now, session)
            return
        self.counters.add("flows_taken")
        if flow.returning:
            self.counters.add("flows_again")
        self._admit(now, session)

    def _is_acceptable(self, request: OpenRequest, timeout: int) -> bool:
        """Whether the settings know what the request names; servers would refuse it otherwise."""
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
        """Places the flow if this process may take it, after its reservation where it needs one."""
        flow = session.flow
        extensions = self.extensions
        # Descriptors must not run out in mid-flow. Nothing was sent, so a reject does no harm.
        if len(self.sessions) + extensions.flows_elsewhere() >= self.limits.max_flows:
            self.counters.add("flows_beyond_sockets")
            self.end_session(now, session, BUSY_REPLY)
        elif not extensions.may_act():
            self.counters.add("flows_without_lease")
            self.end_session(now, session, self.retry_reply(flow))
        elif (
            extensions.reservations is not None
            and flow.service_type.effect is not Effect.IDEMPOTENT
        ):
            extensions.reservations.ask(now, session)
        else:
            self.place(now, session)

    def place(self, now: int, session: Session) -> None:
        """Hands an admitted flow to the decisions."""
        self.sessions[session.flow] = session
        self.balancer.on_flow(now, session.flow)

    # What the decisions ask for.

    def carry_out_decisions(self, now: int) -> None:
        """Pulls decisions until there is none, and carries each out at once."""
        if self.lifecycle.phase is Phase.STARTING:
            return
        while (decision := self.balancer.next_decision(now)) is not None:
            self._carry_out(now, decision)

    def _carry_out(self, now: int, decision: Decision) -> None:  # noqa: C901 (one case a decision)
        match decision:
            case StartAttempt(flow) if not self.extensions.may_act():
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
                pass  # the other process checks for both
            case CheckHealth(server):
                self.counters.add("probes_sent")
                self.drivers.check_health(server, self.endpoints.addresses[server.id])
            case SendGossip(server, load):
                self.counters.add("hints_told")
                self.drivers.send_gossip(pack_gossip(server, load))
            case Subscribe():
                self.drivers.request_endpoints()
            case ScheduleWakeup(delay):
                self.timers.schedule(now + delay, self.balancer.on_wakeup)

    def start_attempt(
        self, now: int, session: Session, server: Server, number: int, deadline: int
    ) -> None:
        """Connects a session to a server; the attempt ends by `deadline`."""
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

    # An attempt is established, or ends.

    def on_established(self, now: int, attempt: Attempt) -> None:
        """The server has accepted the session."""
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
            self.drivers.close_attempt(attempt)  # the timer that is due ends it
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
        """The attempt's time is up."""
        session = attempt.session
        if session.attempt is attempt and not session.finished and not session.established:
            # Without a connection yet it is certain that nothing ran.
            recalled = self.drivers.cancel_unsent(attempt)
            outcome = Outcome.CONNECT_FAILED if recalled else Outcome.TIMEOUT
            self.drivers.close_attempt(attempt)
            if session.flow in self.sessions:
                self.on_attempt_ended(now, attempt, outcome)

    def on_attempt_ended(self, now: int, attempt: Attempt, outcome: Outcome) -> None:
        """The attempt failed, timed out or was recalled; or its established connection ended."""
        session = attempt.session
        flow = session.flow
        if session.attempt is not attempt or session.finished:
            return
        self.counters.add("connects_" + outcome.name.lower())
        if self.extensions.fleet is not None:
            self.extensions.fleet.on_attempt_ended(attempt, outcome)
        if session.established:
            session.finished = True
        else:
            session.attempt = None
        if flow not in self.sessions:
            self.resumption.retry_later(now, session)
        elif flow_of_attempt(self.balancer, flow.id, attempt.number) is flow:
            final = session.established
            if final:
                del self.sessions[flow]
            self.balancer.on_ended(now, flow, outcome, final, now - attempt.started_at)

    def cancel_unsent_attempts(self, now: int, leaves: Callable[[Server], bool]) -> None:
        """Attempts that have sent nothing yet to a server that leaves go elsewhere.

        A connection takes its time to be set up: without this a first line would go out after the
        server was known to leave, or after an operator's OK.
        """
        for session in list(self.sessions.values()):
            attempt = session.attempt
            if (
                attempt is not None
                and not session.established
                and leaves(attempt.server)
                and self.drivers.cancel_unsent(attempt)
            ):
                self.on_attempt_ended(now, attempt, Outcome.MOOT)

    # A session ends.

    def on_client_left(self, now: int, session: Session) -> None:
        """The client's side has ended, or broke the protocol."""
        if session.finished:
            return
        session.finished = True
        if session.attempt is not None and not session.established:
            self.drivers.close_attempt(session.attempt)
        if session.has_flow:
            if not session.established:
                self._finish_reservation(session)
            if self.sessions.pop(session.flow, None) is not None:
                self.counters.add("flows_left")
                self.balancer.on_client_gone(now, session.flow)

    def on_early_client_data(self, now: int, session: Session) -> None:
        """The client sent more before its reply; served, it could send commands by the hundred."""
        answered = session.finished or session.established
        self.on_client_left(now, session)
        if not answered:
            self._refuse(now, session, "client_impatient", flow=session.request.ident)

    def on_resume_failed(self, now: int, session: Session) -> None:
        """The time to resume is over: refuses the session unless it is established."""
        if not session.finished and not session.established:
            if session.attempt is not None:
                self.drivers.close_attempt(session.attempt)
            request = session.request
            server = request.values["at"]
            self._refuse(now, session, "resume_failed", flow=request.ident, server=server)

    def migrate(self, now: int, flow: Flow) -> None:
        """Tells an established client to look for another server."""
        session = self.sessions.pop(flow)
        attempt = session.attempt
        assert attempt is not None  # the session is established
        session.finished = True
        self.counters.add("flows_moved")
        self.drivers.migrate(session)
        self.balancer.on_ended(now, flow, Outcome.CANCELLED, True, now - attempt.started_at)

    def end_session(self, now: int, session: Session, reply: bytes) -> None:
        """Sends a session that is not established its only reply."""
        session.finished = True
        if session.has_flow:
            self._finish_reservation(session)
            result = FAILED if reply == ERROR_REPLY else REJECTED
            self.metrics.count(result, session.request.values["c"])
        self.drivers.send_reply(session, reply)
        self.timers.schedule(now + self.limits.linger_timeout, self._close, session)

    def _close(self, now: int, session: Session) -> None:
        self.drivers.close_client(session)

    def _refuse(self, now: int, session: Session, log_event: str, **fields: object) -> None:
        log.warning(event(log_event, **fields))
        self.counters.add("flows_odd")
        self.end_session(now, session, ERROR_REPLY)

    def _end_without_lease(self, now: int, flow: Flow) -> None:
        """Answers a flow at once: the rules by which its server was chosen may be out of date."""
        self.counters.add("flows_without_lease")
        idempotent = flow.service_type.effect is Effect.IDEMPOTENT
        harmless = flow.may_have_run_on is None or idempotent
        # For the decisions the flow is over: it leaves them as one whose client has gone.
        self.balancer.on_client_gone(now, flow)
        reply = self.retry_reply(flow) if harmless else ERROR_REPLY
        self.end_session(now, self.sessions.pop(flow), reply)

    def _finish_reservation(self, session: Session) -> None:
        if self.extensions.reservations is not None:
            never_ran = session.flow.may_have_run_on is None and session.attempt is None
            self.extensions.reservations.finish(session.flow, "never" if never_ran else "unknown")

    def retry_reply(self, flow: Flow) -> bytes:
        """The reply where a repeat does no harm: when to come back, if that may be said."""
        settings = self.balancer.settings
        if not settings.retry_after_allowed:
            return BUSY_REPLY
        objective = flow.service_type.setup_latency_objective
        return busy_reply(min(objective, settings.max_retry_after))

    # What is known of servers.

    def on_endpoints(
        self,
        now: int,
        update: EndpointUpdate,
        entries: list[Endpoint],
        older: bool = False,
    ) -> None:
        """The endpoint list has changed; `older`: it knows less than a list that was acted on."""
        self.counters.add("lists")
        if self.extensions.fleet is not None:
            update, entries = self.extensions.fleet.merge_endpoints(now, update, entries)
        if older:
            entries = self.endpoints.withhold_returning(now, entries)
        servers = self.endpoints.accept(entries)
        self.balancer.on_endpoints(now, update, servers)
        self.lifecycle.update_readiness()
        if update is not EndpointUpdate.DELTA or any(
            server.state is not ServerState.READY for server in servers
        ):
            self.cancel_unsent_attempts(now, lambda server: server.state is not ServerState.READY)

    def on_endpoints_failed(self, now: int) -> None:
        """A call for the endpoint list failed, or its watch broke."""
        self.counters.add("lists_failed")
        if self.balancer.settings.list_polled:
            self.balancer.on_endpoints(now, EndpointUpdate.FAILED, [])

    def on_health_check_result(
        self, now: int, server: Server, passed: bool, load: list[float]
    ) -> None:
        """A health check has ended; `load` holds the figures of the server's report, or nothing."""
        self.counters.add("probes_passed" if passed else "probes_failed")
        index = self.balancer.settings.load_index
        reported = load[index] if 0 <= index < len(load) else None
        self.balancer.on_health_check_result(now, server, passed, reported)

    def on_message_delay(self, now: int, server: Server, delay: int) -> None:
        """A message takes so long at the server, as it reports or as relayed lines show."""
        self.counters.add("delays")
        self.balancer.on_message_delay(now, server, delay)

    def on_gossip(self, now: int, message: bytes) -> None:
        """Another balancer has sent a datagram."""
        gossip = unpack_gossip(self.balancer, message)
        self.counters.add("hints_heard" if gossip else "hints_odd")
        if gossip:
            self.balancer.on_gossip(now, *gossip)
