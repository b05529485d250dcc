"""The balancer without its sockets: what comes in becomes a call of the module, what the module decides a call
of the drivers. No I/O and no clock of its own; one thread alone calls it."""

import logging
from collections import OrderedDict
from collections.abc import Callable
from enum import Enum
from heapq import heappop, heappush
from typing import Protocol

from cypresswalk.decisions.balancer import Balancer
from cypresswalk.hosting import flow_of_attempt, nanoseconds, pack_gossip, unpack_gossip
from cypresswalk.model import (
    SECOND,
    Abort,
    CheckHealth,
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
from cypresswalk.net.config import Address, Config
from cypresswalk.net.counters import Counters
from cypresswalk.net.limits import MILLISECOND
from cypresswalk.net.logs import event
from cypresswalk.net.metrics import Metrics
from cypresswalk.net.parsers.admin_commands import AdminCommand
from cypresswalk.net.parsers.endpoint_list import server_number, stable_hash
from cypresswalk.net.parsers.lines import OpenRequest
from cypresswalk.net.parsers.load_reports import LoadReportParser

FAILED, BUSY = b"ERR\r\n", b"BUSY\r\n"
WAITS_MOST = (
    20  # times the longest connect timeout: what waits longer has no clock, or means no good
)
log = logging.getLogger(__name__)


class Phase(Enum):
    """Of this process. From one to the next by an operator's call or a signal, never by itself."""

    STARTING = "starting"  # beside an older process that serves still: places nothing
    SERVING = "serving"
    DRAINED = "drained"  # by hand: says no to PING, sends its clients away, and may be called back
    LEAVING = "leaving"  # a planned stop: goes on answering until it ends


class Session:
    """A client's connection, from its first line to its end."""

    __slots__ = ("opening", "flow", "leg", "standing", "over", "link")

    def __init__(self, link: object):
        self.opening: OpenRequest | None = None
        self.flow: Flow | None = None
        self.leg: Attempt | None = None  # the latest connect on its behalf
        self.standing = False  # lines pass
        self.over = False  # answered with a no, moved, or ended
        self.link = link  # the driver's


class Attempt:
    """One connect to a server."""

    __slots__ = ("session", "server", "number", "sent", "latest", "gauge", "asked_at", "link")

    def __init__(
        self, session: Session, server: Server, number: int, sent: int, latest: int, gauge: "Gauge"
    ):
        self.session, self.server, self.number, self.sent, self.gauge = (
            session,
            server,
            number,
            sent,
            gauge,
        )
        self.latest = latest  # its line goes out before then or not at all
        self.asked_at = 0  # when the oldest line went out that nothing came back for
        self.link: object = None  # the driver's


class Gauge:
    """What lines say of one server's delay, where it does not tell that itself. Thinned out to what the module
    uses: one word a second while messages take long, and the first that does not."""

    __slots__ = ("server", "enough", "every", "told_at", "long", "way", "answered")

    def __init__(self, server: Server, enough: int, every: int):
        self.server, self.enough, self.every = server, enough, every
        self.told_at, self.long = 0, False
        self.way: int | None = None  # the shortest set-up seen: the network's part of a delay
        self.answered = 0  # when the latest line went out that something came back for

    def set_up(self, took: int) -> None:
        self.way = took if self.way is None else min(self.way, took)

    def worth_telling(self, now: int, took: int) -> int | None:
        delay = max(took - (self.way or 0), 0)
        if delay > self.enough:
            if self.long and now - self.told_at < self.every:
                return None
            self.long = True
        elif not self.long:
            return None
        else:
            self.long = False
        self.told_at = now
        return delay


class Drivers(Protocol):
    """What the core asks of the sockets; none of these waits."""

    def connect(self, leg: Attempt, address: Address, line: bytes) -> None: ...
    def join(self, leg: Attempt) -> None: ...
    def drop(self, leg: Attempt) -> None: ...
    def recall(self, leg: Attempt) -> bool: ...
    def close_door(self, at: int) -> None: ...
    def answer(self, session: Session, line: bytes) -> None: ...
    def close(self, session: Session) -> None: ...
    def move(self, session: Session) -> None: ...
    def probe(self, server: Server, address: Address) -> None: ...
    def subscribe(self) -> None: ...
    def tell(self, message: bytes) -> None: ...


class Core:
    def __init__(
        self,
        config: Config,
        drivers: Drivers,
        counters: Counters,
        now: int,
        policy: type[Balancer] = Balancer,
    ):
        self.limits, self.drivers, self.counters = config.limits, drivers, counters
        self.service_types, self.customers = config.service_types, config.tenants
        self.groups = config.groups
        self.notes = LoadReportParser(config.reports_load, config.reports_delay, self.limits)
        self.balancer = policy(config.settings, config.seed, now)
        self.addresses: dict[int, Address] = {}
        self.withheld: dict[int, tuple[int, Server, Address]] = {}  # believed from then on
        self.gauges: dict[int, Gauge] = {}
        self.sessions: dict[Flow, Session] = {}
        self.seen: OrderedDict[int, None] = OrderedDict()  # the latest ids, the oldest first
        self.timers: list[tuple[int, int, Callable, tuple]] = []
        self.entered = 0
        self.phase = Phase.SERVING
        self.ready = False  # flows can be placed
        self.close_at: int | None = (
            None  # no flow is answered later: this process is drained or leaves
        )
        self.departures = (
            0  # rounds of moving all clients; a new one, or a call back, ends the one before
        )
        self.figures = Metrics(self.service_types)
        self.side = None  # what stands beside this process, where operators upgrade it under load
        self.agreement = None  # what balancers have agreed, where they do (cypresswalk/fleet/)
        self.lease: Callable[[], bool] | None = (
            None  # there: whether this one may act now. Asked at each decision,
        )
        # not by a timer: guards against a process that was frozen and wakes with a queue full of work.
        self.claims = (
            None  # ids that must not run twice lie on further machines (cypresswalk/copies/)
        )
        self.drained = False  # by hand; stays so over an upgrade
        self.stopped = False
        self.hear(now)

    # What has come in.

    def opened(self, now: int, session: Session, opening: OpenRequest) -> None:
        values, settings = opening.values, self.balancer.settings
        kind, customer = (
            self.service_types.get(values.get("c")),
            self.customers.get(values.get("t"), 0),
        )
        wait = nanoseconds(float(values.get("d", 0)), "d")
        unknown = kind is None or (
            values.get("t") not in self.customers if self.customers else "t" in values
        )
        # Guards servers, and what is known of their health, against lines that they would turn away.
        if (
            unknown
            or not 0 < wait <= WAITS_MOST * self.limits.longest_attempt_timeout
            and "at" not in values
        ):
            return self.refuse(now, session, "opening_odd", line=opening.encode(0)[:200])
        until = now + wait - self.limits.answer_margin
        ident, group = stable_hash(opening.ident), values.get("g") if self.groups else None
        key = stable_hash(group or opening.key) if group or opening.key.strip("0-") else ident
        # An id is new with every connection: guards a client's flow, and servers, against those who say its id again.
        if ident in self.seen:
            return self.refuse(now, session, "flow_twice", flow=opening.ident)
        self.seen[ident] = None
        if len(self.seen) > self.limits.max_remembered_flows:
            self.seen.popitem(last=False)
        if self.close_at is not None:
            until = min(until, self.close_at)
        flow = Flow(
            ident,
            settings.service_types[kind],
            key,
            until,
            customer,
            grouped=bool(group),
            returning=values.get("r") == "1" or values.get("again") == "1",
        )
        session.opening, session.flow = opening, flow
        if "at" in values:
            self.counters.add("flows_handed_over")
            self.at(now + self.limits.first_line_timeout, self.resume_unknown, session)
            self.at(now + self.limits.resume_timeout, self.resume_late, session)
            self.resume(now, session)
            return
        self.counters.add("flows_taken")
        if flow.returning:
            self.counters.add("flows_again")
        # Guards against running out of descriptors: nothing was sent, so a reject does no harm.
        beside = self.side.held if self.side is not None else 0
        if self.claims is not None:
            beside += len(self.claims.waiting)
        if len(self.sessions) + beside >= self.limits.max_flows:
            self.counters.add("flows_beyond_sockets")
            self.end(now, session, BUSY)
            return
        if not self.may_act():
            self.counters.add("flows_without_lease")
            self.end(now, session, self.come_back(flow))
            return
        if self.claims is not None and flow.service_type.effect is not Effect.IDEMPOTENT:
            self.claims.ask(now, session)
            return
        self.place(now, session)

    def place(self, now: int, session: Session) -> None:
        self.sessions[session.flow] = session
        self.balancer.on_flow(now, session.flow)

    def refuse(self, now: int, session: Session, why: str, **words: object) -> None:
        log.warning(event(why, **words))
        self.counters.add("flows_odd")
        self.end(now, session, FAILED)

    def resume(self, now: int, session: Session) -> None:
        """A connection that stood at a server before this balancer started. Many come at once: one that fails
        is tried again."""
        if session.over or session.leg is not None:
            return
        server = self.balancer.servers.get(server_number(session.opening.values["at"]))
        if (
            server is None
            or server.state is ServerState.GONE
            or server.out_of_rotation
            or not self.may_act()
        ):
            self.at(now + self.limits.resume_retry_interval, self.resume, session)
            return
        self.connect(now, session, server, 0, now + self.limits.resume_timeout)

    def resume_unknown(self, now: int, session: Session) -> None:
        """The list would have named that server by now: guards against names made up."""
        if server_number(session.opening.values["at"]) not in self.balancer.servers:
            self.resume_late(now, session)

    def resume_late(self, now: int, session: Session) -> None:
        if not session.over and not session.standing:
            if session.leg is not None:
                self.drivers.drop(session.leg)
            asked = session.opening
            self.refuse(now, session, "resume_failed", flow=asked.ident, server=asked.values["at"])

    def up(self, now: int, leg: Attempt) -> None:
        session, flow = leg.session, leg.session.flow
        if session.leg is not leg or session.over:
            self.drivers.drop(leg)
            return
        if flow not in self.sessions:
            self.sessions[flow] = session
            self.balancer.on_flow_resumed(now, flow, leg.server)
        elif (
            flow_of_attempt(self.balancer, flow.id, leg.number) is not flow or now >= flow.deadline
        ):
            self.drivers.drop(leg)  # the timer that is due gives it up
            return
        else:
            self.balancer.on_established(now, flow, now - leg.sent)
        session.standing = True
        if self.claims is not None:
            self.claims.finish(flow, "ran")
        if self.agreement is not None:
            self.agreement.came_up(leg, now - leg.sent)
        self.counters.add("flows_established")
        self.figures.ended("fulfilled", session.opening.values["c"])
        self.drivers.join(leg)

    def ended(self, now: int, leg: Attempt, outcome: Outcome) -> None:
        """The server's side has ended: before UP, or with all that it had to say passed on."""
        session, flow = leg.session, leg.session.flow
        if session.leg is not leg or session.over:
            return
        self.counters.add("connects_" + outcome.name.lower())
        if self.agreement is not None:
            self.agreement.fell(leg, outcome)
        if session.standing:
            session.over = True
        else:
            session.leg = None
        if flow not in self.sessions:
            self.at(now + self.limits.resume_retry_interval, self.resume, session)
        elif flow_of_attempt(self.balancer, flow.id, leg.number) is flow:
            final = session.standing
            if final:
                del self.sessions[flow]
            self.balancer.on_ended(now, flow, outcome, final, now - leg.sent)

    def left(self, now: int, session: Session) -> None:
        """The client's side has ended, or has never been sound."""
        if session.over:
            return
        session.over = True
        flow = session.flow
        if session.leg is not None and not session.standing:
            self.drivers.drop(session.leg)
        if self.claims is not None and flow is not None and not session.standing:
            self.claims.finish(
                flow, "never" if flow.may_have_run_on is None and session.leg is None else "unknown"
            )
        if flow is not None and self.sessions.pop(flow, None) is not None:
            self.counters.add("flows_left")
            self.balancer.on_client_gone(now, flow)

    def impatient(self, now: int, session: Session) -> None:
        """A client that said more before it had its answer. Guards against commands by the hundred being served."""
        answered = session.over or session.standing
        self.left(now, session)
        if not answered:
            self.refuse(now, session, "client_impatient", flow=session.opening.ident)

    def probed(self, now: int, server: Server, passed: bool, load: list[float]) -> None:
        self.counters.add("probes_passed" if passed else "probes_failed")
        at = self.balancer.settings.load_index
        self.balancer.on_health_check_result(
            now, server, passed, load[at] if 0 <= at < len(load) else None
        )

    def delayed(self, now: int, server: Server, delay: int) -> None:
        """A message takes that long at the server, by its own word or by what its lines show."""
        self.counters.add("delays")
        self.balancer.on_message_delay(now, server, delay)

    def listed(
        self,
        now: int,
        form: EndpointUpdate,
        entries: list[tuple[Server, Address]],
        older: bool = False,
    ) -> None:
        self.counters.add("lists")
        if self.agreement is not None:
            form, entries = self.agreement.listed(now, form, entries)
        if older:
            entries = [entry for entry in entries if not self.withhold(now, *entry)]
        for server, address in entries:
            self.withheld.pop(server.id, None)
            self.addresses[server.id] = address
        self.balancer.on_endpoints(now, form, [server for server, _ in entries])
        self.settle()
        if form is not EndpointUpdate.DELTA or any(
            server.state is not ServerState.READY for server, _ in entries
        ):
            self.recall(now, lambda server: server.state is not ServerState.READY)

    def recall(self, now: int, leaves: Callable[[Server], bool]) -> None:
        """Connects in dial to such a server go elsewhere. Guards against a first line that goes out once that is told, or after
        an operator's yes, since a dial takes its time."""
        for session in list(self.sessions.values()):
            leg = session.leg
            if (
                leg is not None
                and not session.standing
                and leaves(leg.server)
                and self.drivers.recall(leg)
            ):
                self.ended(now, leg, Outcome.MOOT)

    def settle(self) -> None:
        # Of two processes at one door the elder says yes for both: guards against a front that hears a no in between.
        beside = self.side is not None and self.side.other is not None
        here = (
            self.phase is Phase.SERVING
            or self.phase is Phase.LEAVING
            and beside
            and not self.drained
        )
        self.ready = here and self.placeable() > 0

    def may_act(self) -> bool:
        return self.lease is None or self.lease()

    def come_back(self, flow: Flow) -> bytes:
        """A reject that tells when, where that is allowed. Nothing of the flow has run."""
        settings = self.balancer.settings
        wait = (
            min(flow.service_type.setup_latency_objective, settings.max_retry_after)
            if settings.retry_after_allowed
            else 0
        )
        return b"BUSY %d\r\n" % (wait // MILLISECOND) if wait else BUSY

    def unleased(self, now: int, flow: Flow) -> None:
        """The module has chosen a server, on rules that others may act on no more: the flow is answered at once."""
        self.counters.add("flows_without_lease")
        harmless = flow.may_have_run_on is None or flow.service_type.effect is Effect.IDEMPOTENT
        self.balancer.on_client_gone(now, flow)
        self.end(now, self.sessions.pop(flow), self.come_back(flow) if harmless else FAILED)

    def succeeded(self) -> bool:
        """Another process takes this one's clients already, at the same door."""
        return self.side is not None and self.side.succeeded

    def withhold(self, now: int, server: Server, address: Address) -> bool:
        """Whether an older list brings back, without a start since, a server that drains or is gone: that waits until the
        address has caught up. Guards against new flows there after all; of two addresses the newer may know less."""
        known = self.balancer.servers.get(server.id)
        back = (
            known is not None
            and known.state is not ServerState.READY
            and server.state is ServerState.READY
            and server.started_at <= known.started_at
        )
        if back:
            self.withheld[server.id] = now + self.limits.list_convergence_time, server, address
            self.at(now + self.limits.list_convergence_time, self.believe, server.id)
        return back

    def believe(self, now: int, ident: int) -> None:
        # One that a second address has withheld since waits its own time.
        if ident in self.withheld and self.withheld[ident][0] <= now:
            self.listed(now, EndpointUpdate.DELTA, [self.withheld.pop(ident)[1:]])

    def taken_back(self, entries: list[tuple[Server, Address]]) -> list[tuple[Server, Address]]:
        """Of an address's last words those that have servers drain or go, but for such as have started again since."""
        known = self.balancer.servers
        return [
            (server, address)
            for server, address in entries
            if server.state is not ServerState.READY
            and server.id in known
            and server.started_at >= known[server.id].started_at
        ]

    def list_failed(self, now: int) -> None:
        self.counters.add("lists_failed")
        if self.balancer.settings.list_polled:
            self.balancer.on_endpoints(now, EndpointUpdate.FAILED, [])

    def hint(self, now: int, message: bytes) -> None:
        hint = unpack_gossip(self.balancer, message)
        self.counters.add("hints_heard" if hint else "hints_odd")
        if hint:
            self.balancer.on_gossip(now, *hint)

    def woken(self, now: int) -> None:
        self.balancer.on_wakeup(now)

    # Time.

    def at(self, when: int, call: Callable, *words: object) -> None:
        self.entered += 1
        heappush(self.timers, (when, self.entered, call, words))

    def next_due(self) -> int | None:
        return self.timers[0][0] if self.timers else None

    def pass_time(self, now: int) -> None:
        while self.timers and self.timers[0][0] <= now:
            _, _, call, words = heappop(self.timers)
            call(now, *words)

    def connect_late(self, now: int, leg: Attempt) -> None:
        session = leg.session
        if session.leg is leg and not session.over and not session.standing:
            # In dial still: then it is certain that nothing ran.
            outcome = Outcome.CONNECT_FAILED if self.drivers.recall(leg) else Outcome.TIMEOUT
            self.drivers.drop(leg)
            if session.flow in self.sessions:
                self.ended(now, leg, outcome)

    def hear(self, now: int) -> None:
        """Tells the module of connections on which nothing comes back."""
        for flow, session in list(self.sessions.items()):
            asked_at = session.leg.asked_at if session.standing else 0
            if not asked_at:
                continue
            # Who asked later has its answer: then it is this connection, and not the server that is slow.
            alone = session.leg.gauge.answered > asked_at
            if now - asked_at > (
                self.limits.single_silence_timeout if alone else self.limits.silence_timeout
            ):
                session.leg.asked_at = 0
                self.counters.add("flows_silent")
                self.balancer.on_silence(now, flow, alone)
        self.at(now + self.limits.silence_check_interval, self.hear)

    # What the module decides.

    def pull(self, now: int) -> None:
        if self.phase is Phase.STARTING:
            return
        while (decision := self.balancer.next_decision(now)) is not None:
            match decision:
                case StartAttempt(flow) if not self.may_act():
                    self.unleased(now, flow)
                case StartAttempt(flow, server, timeout):
                    until = min(now + timeout, flow.deadline) if timeout else flow.deadline
                    self.connect(now, self.sessions[flow], server, len(flow.attempts) - 1, until)
                case Reject(flow, wait):
                    self.counters.add("flows_rejected")
                    answer = b"BUSY %d\r\n" % (wait // MILLISECOND) if wait else BUSY
                    self.end(now, self.sessions.pop(flow), answer)
                case Abort(flow):
                    self.counters.add("flows_aborted")
                    self.end(now, self.sessions.pop(flow), FAILED)
                case Migrate(flow):
                    self.move(now, flow)
                case CheckHealth() if self.succeeded():
                    pass  # the other process probes for both
                case CheckHealth(server):
                    self.counters.add("probes_sent")
                    self.drivers.probe(server, self.addresses[server.id])
                case SendGossip(server, strain):
                    self.counters.add("hints_told")
                    self.drivers.tell(pack_gossip(server, strain))
                case Subscribe():
                    self.drivers.subscribe()
                case ScheduleWakeup(after):
                    self.at(now + after, self.woken)

    def connect(self, now: int, session: Session, server: Server, number: int, until: int) -> None:
        gauge = self.gauges.get(server.id)
        if gauge is None:
            gauge = self.gauges[server.id] = Gauge(
                server,
                max(self.limits.min_reported_delay, self.limits.own_delay_allowance),
                self.limits.delay_report_interval,
            )
        flow = session.flow
        latest = (
            until if flow.may_have_run_on is None else min(until, flow.idempotency_expires_at())
        )
        leg = session.leg = Attempt(session, server, number, now, latest, gauge)
        self.at(until, self.connect_late, leg)
        self.counters.add("connects")
        line = session.opening.encode(max((until - now) // MILLISECOND, 1))
        self.drivers.connect(leg, self.addresses[server.id], line)

    def end(self, now: int, session: Session, line: bytes) -> None:
        session.over = True
        if self.claims is not None and session.flow is not None:
            self.claims.finish(
                session.flow,
                "never"
                if session.flow.may_have_run_on is None and session.leg is None
                else "unknown",
            )
        if session.flow is not None:
            self.figures.ended(
                "faulted" if line == FAILED else "throttled", session.opening.values["c"]
            )
        self.drivers.answer(session, line)
        self.at(now + self.limits.linger_timeout, self.close, session)

    def close(self, now: int, session: Session) -> None:
        self.drivers.close(session)

    def move(self, now: int, flow: Flow) -> None:
        session = self.sessions.pop(flow)
        session.over = True
        self.counters.add("flows_moved")
        self.drivers.move(session)
        self.balancer.on_ended(now, flow, Outcome.CANCELLED, True, now - session.leg.sent)

    # Clients sent away: a planned stop, or a drain by hand.

    def stop(self, now: int) -> None:
        """Goes on taking and answering flows while those that stand are moved evenly; then all is over well
        before the kill."""
        if self.phase is Phase.LEAVING:
            return
        span = (
            min(self.limits.longest_attempt_timeout, self.limits.max_leave_time)
            + self.limits.leave_extension
        )
        # A client moved at once would come straight back: some still come here for a while. And in a round of restarts
        # the balancer before this one is often away still, with nobody to go to.
        # One that stands beside this one is there: the longer the moves take, the less they press on anyone.
        beside = self.side is not None and self.side.other is not None
        self.depart(
            now,
            Phase.LEAVING,
            self.limits.min_leave_delay if beside else max(span // 2, self.limits.min_leave_delay),
            span,
        )
        self.drivers.close_door(self.close_at)
        if self.side is not None:
            self.side.hand_over(now)

    def depart(self, now: int, phase: Phase, begin: int, span: int) -> None:
        self.phase, self.close_at = phase, now + span
        self.departures += 1
        self.settle()
        standing = sum(session.standing for session in self.sessions.values())
        log.info(
            event(
                "stop" if phase is Phase.LEAVING else "drain",
                standing=standing,
                seconds=span / SECOND,
            )
        )
        for flow, session in self.sessions.items():
            if not session.standing and flow.deadline > self.close_at:
                flow.deadline = self.close_at
                if session.leg is not None:
                    self.at(flow.deadline, self.connect_late, session.leg)
        self.at(now + begin, self.leave, self.departures)

    def leave(self, now: int, departure: int) -> None:
        if departure != self.departures:
            return
        if self.side is not None:
            self.side.tell_held()
        standing = [flow for flow, session in self.sessions.items() if session.standing]
        if now >= self.close_at:
            for flow in standing:
                self.move(now, flow)
            if self.phase is Phase.LEAVING:
                waiting = self.claims is not None and self.claims.waiting
                self.stopped = not self.sessions and not waiting
            self.at(now + self.limits.leave_poll_interval, self.leave, departure)
        elif standing:
            self.move(now, standing[0])
            self.at(now + (self.close_at - now) // len(standing), self.leave, departure)
        else:
            self.at(
                min(now + self.limits.leave_poll_interval, self.close_at), self.leave, departure
            )

    def begin(self, now: int) -> None:
        """The process before this one has handed over, or has gone."""
        if self.phase is Phase.STARTING:
            self.phase = Phase.SERVING
            log.info(event("taken_over", drained=self.drained))
            if self.drained:
                self.depart(now, Phase.DRAINED, 0, 0)
            self.settle()

    # What operators ask.

    def called(self, now: int, call: AdminCommand) -> None:
        """A yes is a promise: it is said once this has acted, and a call given up by its caller is not begun."""
        if not call.begin():
            return
        self.counters.add("calls_" + call.name.replace("-", "_"))
        if call.name == "vars":
            call.answers.put(self.figures.text(now, self))
            return
        if self.agreement is not None and self.agreement.takes(now, call):
            return
        self.act(now, call)

    def act(self, now: int, call: AdminCommand) -> None:
        why = self.obey(now, call)
        if call.name == "check" or self.side is None or not self.side.forward(now, call, why):
            self.reply(call, why)

    def reply(self, call: AdminCommand, why: str | None) -> None:
        if call.name != "check":
            log.info(event("call", call=call.name, server=call.server, refused=why or "no"))
        call.answers.put(b"ERR " + why.encode() + b"\r\n" if why else b"OK\r\n")

    def obey(
        self, now: int, call: AdminCommand, forwarded: bool = False, known: bool = False
    ) -> str | None:
        """Why not, if not. `forwarded`: it was called at the process beside this one, whose list names the server if it is
        `known`; that process answers for both."""
        match call.name:
            case "check":
                beside = self.phase is Phase.STARTING and self.side.informed and not self.drained
                if (beside or self.phase is Phase.SERVING) and self.placeable() and self.may_act():
                    return None
                return f"{self.phase.value}, {self.placeable()} servers to place flows on" + (
                    "" if self.may_act() else ", no lease of the fleet's"
                )
            case "set-down-here" | "set-up-here" | "drain-on-here" if self.agreement is None:
                return "balancers agree on nothing here; set-down and set-up are this one's alone"
            case "drain-on" | "drain-on-here" | "drain-off" if self.phase is Phase.LEAVING:
                return (
                    None
                    if forwarded or self.side is not None and self.side.other
                    else "this process is leaving"
                )
            case "drain-on" | "drain-on-here" | "drain-off" if self.phase is Phase.STARTING:
                self.drained = call.name != "drain-off"
            case "drain-on" | "drain-on-here":
                self.drained = True
                if self.phase is Phase.SERVING:
                    self.depart(now, Phase.DRAINED, self.limits.drain_delay, self.limits.drain_time)
            case "drain-off":
                self.phase, self.close_at, self.drained = Phase.SERVING, None, False
                self.departures += 1
                self.settle()
            case "set-down" | "set-up" | "set-down-here" | "set-up-here":
                number = server_number(call.server)
                if number not in self.balancer.servers:
                    if not known:
                        return "no list has named that server"
                    # The other process knows it already; until this one's list names it, it is gone and out.
                    self.balancer.on_endpoints(
                        now, EndpointUpdate.DELTA, [Server(id=number, state=ServerState.GONE)]
                    )
                server = self.balancer.servers[number]
                self.bar(now, server) if call.name.startswith("set-down") else self.unbar(
                    now, server
                )
        return None

    def placeable(self) -> int:
        return sum(
            s.state is ServerState.READY and not s.out_of_rotation
            for s in self.balancer.servers.values()
        )

    def bar(self, now: int, server: Server) -> None:
        self.balancer.remove_from_rotation(now, server)
        self.settle()
        self.recall(now, lambda other: other is server)

    def unbar(self, now: int, server: Server) -> None:
        self.balancer.return_to_rotation(now, server)
        self.settle()
