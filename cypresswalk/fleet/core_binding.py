"""What the deciding thread does about what is agreed: settings, list and servers out by hand go into its core. Called by that
thread alone, but for `check`, which reads what never changes.

What this balancer was told itself binds it at once; what others agreed is added. Nothing loosens on its own list's word: a
server that the agreed list does not have in service, or that is out by hand, gets nothing new whatever this balancer's own list
agent says."""

import copy
import logging
import time
import uuid
from collections.abc import Callable
from hashlib import blake2b
from typing import Any

import msgspec

from cypresswalk.choice import MISSES, RISE
from cypresswalk.copies.replica import ReservationAnswer
from cypresswalk.fleet.driver import Fleet
from cypresswalk.fleet.member import CALLED_BACK, DRAINED, AppliedView
from cypresswalk.fleet.messages import ServerReport
from cypresswalk.fleet.state_machine import Listed
from cypresswalk.fleet.unavailability import GO
from cypresswalk.hosting import SettingsError, decode_settings
from cypresswalk.model import EndpointUpdate, Flow, Outcome, Server, ServerState
from cypresswalk.net.config import Address, Config, read
from cypresswalk.net.core import Core
from cypresswalk.net.lifecycle import Phase
from cypresswalk.net.logs import event
from cypresswalk.net.parsers.admin_commands import AdminCommand
from cypresswalk.net.parsers.endpoint_list import EndpointListDecoder, server_number
from cypresswalk.net.session import ERROR_REPLY, Attempt, Session
from cypresswalk.operator import FleetTable
from cypresswalk.rollout import bounds

log = logging.getLogger(__name__)
# Of the settings in the balancer's file, those that decide where flows may go and how many; the rest says who it is.
SHARED = (
    "serviceTypes",
    "tenants",
    "limits",
    "rules",
    "deductions",
    "extra",
    "overagePayoff",
    "instances",
    "bounds",
)
# What is built into the program at its start: another value there is refused, not half followed.
FIXED = (
    ("limits", "dialTimeout"),
    ("extra", "groups"),
    ("extra", "tellsLoad"),
    ("extra", "tellsDelay"),
)
SPARE = 50_000_000  # nanoseconds beyond its share that a flow waits for word of its claim
CALL_SPAN = 0.7  # seconds: a caller at `admin_addr` waits one
TOLD_MOST = 1000  # servers told of at a time: the first by name, the same at all balancers
UP, REJECTED, FELL, TOOK = range(4)
ENDS = {
    Outcome.FULL: REJECTED,
    Outcome.ERROR: FELL,
    Outcome.TIMEOUT: FELL,
    Outcome.CONNECT_FAILED: FELL,
    Outcome.RESET: FELL,
}
TIGHTNESS = {ServerState.READY: 0, ServerState.DRAINING: 1, ServerState.GONE: 2}


def shared(params: dict[str, Any]) -> dict[str, Any]:
    return {name: params[name] for name in SHARED if name in params}


def merged(own: dict[str, Any], agreed: dict[str, Any]) -> dict[str, Any]:
    """This balancer's settings with what the fleet has agreed in their place, part by part."""
    params = {name: value for name, value in own.items() if name not in SHARED}
    return params | copy.deepcopy(agreed)


def objection(own: dict[str, Any], settings: object) -> str:
    """Why a balancer with those settings of its own could not act on these, or nothing."""
    if not isinstance(settings, dict):
        return "no table of settings"
    if unknown := sorted(set(settings) - set(SHARED)):
        return f"{', '.join(unknown)}: not among what the fleet agrees on ({', '.join(SHARED)})"
    params = merged(own, settings)
    try:
        decoded = decode_settings(params)
        names = [kind["name"] for kind in params["serviceTypes"]]
        tenants = [tenant["name"] for tenant in params.get("tenants") or []]
        if not names or len(set(names)) != len(names) or len(set(tenants)) != len(tenants):
            return "serviceTypes, tenants: none, or a name twice"
        if not all(isinstance(name, str) for name in (*names, *tenants)):
            return "serviceTypes, tenants: a name that is no text"
        if any(float(kind["giveUp"]) <= 0 for kind in params["serviceTypes"]):
            return "serviceTypes: giveUp must be above 0"
    except (SettingsError, KeyError, TypeError, ValueError, AttributeError) as error:
        return str(error) or type(error).__name__
    if "bounds" in settings and (why := bounds.objection(settings["bounds"])):
        return why
    if (
        decoded.instances < 1
        or decoded.max_attempts < 1
        or min(k.setup_latency_objective for k in decoded.service_types) <= 0
    ):
        return "instances, maxConnects, setupTarget: each above 0"
    for part, name in FIXED:
        if (params.get(part) or {}).get(name) != (own.get(part) or {}).get(name):
            return f"{part}.{name}: takes effect at a start alone, so it stays {(own.get(part) or {}).get(name)!r} here"
    return ""


class CoreBinding:
    def __init__(
        self,
        table: FleetTable,
        config: Config,
        core: Core,
        post: Callable[..., None],
        registry: Callable[[], EndpointListDecoder],
    ):
        self.core, self.registry, self.post = core, registry, post
        self.params = read(config.path)["settings"]
        self.fleet = Fleet(
            table,
            lambda settings: objection(self.params, settings),
            shared(self.params),
            lambda view: post(self.act_on, view),
            lambda: post(self.leased),
        )
        self.version = 0
        self.settings_version = 0
        self.list_version = 0
        self.out: set[str] = set()  # by the fleet
        self.here: set[str] = set()  # by force, at this balancer alone
        self.list_agreed: dict[int, tuple[ServerState, int]] | None = None
        # What this balancer's own agent says, by number.
        self.own: dict[int, tuple[Server, Address]] = {
            server.id: (as_listed(server), core.endpoints.addresses[server.id])
            for server in core.balancer.servers.values()
            if server.id in core.endpoints.addresses
        }
        self.told: tuple[int, bytes] = (-1, b"")
        self.who = table.name
        self.settings: dict[str, Any] | None = None
        self.places = dict(core.tenants)  # customers' numbers, which flows that are held count by
        if self.fleet.copies is not None:
            core.extensions.reservations = Claims(core, self.fleet, post, table.copies.share)
            if (
                core.lifecycle.phase is not Phase.STARTING
            ):  # else the process before this one tells what it spent
                core.balancer.on_predecessor_lost(core.balancer.started)
        self.took = 0  # the sum of set-ups, nanoseconds
        self.last_served = (0, 0, 0, 0)
        self.fleet.served = self.served
        self.watch = False  # servers are being changed
        self.by_server: dict[
            int, list[int]
        ] = {}  # connects brought up, rejected, failed, and their set-ups' sum
        self.fleet.servers = self.of_servers
        self.fleet.ready = lambda: core.lifecycle.ready and self.fleet.may_act()
        core.extensions.fleet = self
        core.extensions.holds_lease = self.fleet.may_act

    def served(self) -> tuple[int, int, int, int]:
        """By the fleet's thread: what this process has answered since it began."""
        counts = self.core.metrics.counts
        try:
            up, rejected, failed = (
                sum(counts[end].values()) for end in ("fulfilled", "throttled", "faulted")
            )
            self.last_served = up, rejected, failed, self.took
        except RuntimeError:
            pass  # a service type was added meanwhile
        return self.last_served

    # What this balancer sees of servers.

    def came_up(self, attempt: Attempt, took: int) -> None:
        self.took += took
        counts = self.by_server.setdefault(attempt.server.id, [0, 0, 0, 0])
        counts[UP] += 1
        counts[TOOK] += took

    def fell(self, attempt: Attempt, outcome: Outcome) -> None:
        """A connect that came to nothing, or what stood there and was broken off."""
        if outcome in ENDS:
            self.by_server.setdefault(attempt.server.id, [0, 0, 0, 0])[ENDS[outcome]] += 1

    def of_servers(self) -> ServerReport:
        """By the fleet's thread: copies are taken in one step, each figure by itself."""
        registry, bad, standing = self.registry(), [], {}
        for server in list(self.core.balancer.servers.values()):
            name = registry.names.get(server.id)
            if name is None:
                continue
            if server.barred and server.flows:
                standing[name] = len(server.flows) + len(server.out)
            # Out by hand or not: so one that comes back bad is known to be.
            ready = (
                not server.fresh
                and server.misses < MISSES
                and (server.health >= RISE or not server.known)
            )
            if server.state is ServerState.READY and not ready:
                bad.append(name)
        served = (
            {
                registry.names[ident]: tuple(counts)
                for ident, counts in list(self.by_server.items())[:TOLD_MOST]
                if ident in registry.names
            }
            if self.watch
            else {}
        )
        return ServerReport(sorted(bad)[:TOLD_MOST], standing, served)

    # The lease.

    def leased(self, now: int) -> None:
        self.core.lifecycle.update_readiness()

    # Views.

    def act_on(self, now: int, view: AppliedView) -> None:
        """Raises nothing that would leave it half done: a view that can't be followed is not acted on, so no lease holds."""
        if view.version <= self.version:
            return
        if self.version == 0 and self.who in view.away and not self.core.lifecycle.drained:
            # Drained in its life before, or on the machine that this one replaces: the yes holds until drain-off. It has taken
            # nothing until now, since it has no lease yet.
            log.info(event("drained_still"))
            self.core.commands.apply(now, AdminCommand("drain-on"))
        if view.settings_version > self.settings_version:
            why = objection(self.params, view.settings)
            if why:
                log.error(
                    event("agreed_settings_unreadable", version=view.settings_version, why=why)
                )
                return
            self.settle(now, view.settings)
            self.settings_version = view.settings_version
            log.info(event("settings_agreed", version=view.settings_version))
        for ident in sorted(set(view.out) - self.out):
            self.core.commands.apply(now, AdminCommand("set-down", ident), known=True)
        for ident in sorted(self.out - set(view.out)):
            if ident not in self.here:
                self.core.commands.apply(now, AdminCommand("set-up", ident), known=True)
        self.out, self.watch = set(view.out), view.watch
        if view.list_version > self.list_version:
            self.list_version = view.list_version
            self.follow(now, view.servers)
        self.version = view.version
        self.fleet.acted(view.version)
        log.info(event("acting_on", version=view.version, out=len(self.out)))

    def settle(self, now: int, agreed: dict[str, Any]) -> None:
        params, core = merged(self.params, agreed), self.core
        settings = decode_settings(params)
        kinds = {kind["name"]: i for i, kind in enumerate(params["serviceTypes"])}
        places = self.places  # a name keeps the number it had
        names = [tenant["name"] for tenant in params.get("tenants") or []]
        for name in names:
            places.setdefault(name, len(places))
        shares = dict(zip(names, settings.quotas))
        if shares:
            settings.quotas = [
                shares.get(name, float("inf")) for name in sorted(places, key=places.get)
            ]
        core.balancer.on_settings(now, settings)
        self.settings = agreed
        core.service_types, core.tenants = kinds, {name: places[name] for name in names}
        for counts in core.metrics.counts.values():
            for name in kinds:
                counts.setdefault(name, 0)
        core.lifecycle.update_readiness()

    # Two processes of this balancer side by side (net/handover.py): one part in the fleet, one lease.

    def handed(self) -> dict[str, Any]:
        return {
            "until": self.fleet.until,
            "version": self.version,
            "settings_version": self.settings_version,
            "settings": self.settings,
            "out": sorted(self.out),
            "here": sorted(self.here),
            "list_version": self.list_version,
            "list": None
            if self.list_agreed is None
            else [[i, s.value, since] for i, (s, since) in self.list_agreed.items()],
        }

    def inherit(self, now: int, told: dict[str, Any]) -> None:
        """From the process before this one, which has the part in the fleet still: its lease serves both until it ends.
        Raises KeyError, TypeError or ValueError, having changed nothing, where what it tells is odd."""
        until, version = int(told["until"]), int(told["version"])
        list_agreed = (
            None
            if told["list"] is None
            else {int(i): (ServerState(s), int(since)) for i, s, since in told["list"]}
        )
        out, here, settings = (
            {str(s) for s in told["out"]},
            {str(s) for s in told["here"]},
            told["settings"],
        )
        if version < self.version or settings is not None and objection(self.params, settings):
            return  # without that lease it waits until it has its own part
        if settings is not None and int(told["settings_version"]) > self.settings_version:
            self.settle(now, settings)
            self.settings_version = int(told["settings_version"])
        self.out, self.here, self.list_agreed = out, here, list_agreed
        self.list_version, self.version = int(told["list_version"]), version
        for ident in sorted(out | here):
            self.core.commands.apply(now, AdminCommand("set-down", ident), known=True)
        self.core.on_endpoints(now, EndpointUpdate.DELTA, [])
        self.fleet.inherit(until, version)

    # Lists.

    def follow(self, now: int, servers: tuple[Listed, ...]) -> None:
        self.list_agreed = {}
        for ident, _, _, state, _, since in servers:
            self.list_agreed[server_number(ident)] = ServerState(state), since
        self.core.on_endpoints(now, EndpointUpdate.DELTA, [])

    def listed(
        self, now: int, form: EndpointUpdate, entries: list[tuple[Server, Address]]
    ) -> tuple[EndpointUpdate, list]:
        """What this balancer's own agent told becomes what it acts on: of both lists the tighter word."""
        for server, where in entries:
            self.own[server.id] = as_listed(server), where
        if form is not EndpointUpdate.DELTA:
            named = {server.id for server, _ in entries}
            for ident, (server, _) in self.own.items():
                if ident not in named:
                    server.state = ServerState.GONE
        self.report()
        effective = []
        for ident, (server, where) in self.own.items():
            state, since = self.tighter(ident, server)
            known = self.core.balancer.servers.get(ident)
            before = known and (known.state, known.since, known.zone, known.cell, known.weight)
            if (
                before != (state, since, server.zone, server.cell, server.weight)
                or self.core.endpoints.addresses.get(ident) != where
            ):
                made = as_listed(server)
                made.state, made.since = state, since
                effective.append((made, where))
        return EndpointUpdate.DELTA, effective

    def tighter(self, ident: int, server: Server) -> tuple[ServerState, int]:
        if self.list_agreed is None:
            return server.state, server.since
        state, since = self.list_agreed.get(ident, (ServerState.GONE, 0))
        return max((server.state, state), key=TIGHTNESS.get), max(since, server.since)

    def report(self) -> None:
        """To the leader, which compares what the voters were told."""
        registry = self.registry()
        servers = sorted(
            (registry.names[s.id], s.zone, s.cell, s.state.value, float(s.weight), s.since)
            for s, _ in self.own.values()
            if s.state is not ServerState.GONE and s.id in registry.names
        )
        digest = blake2b(msgspec.msgpack.encode(servers), digest_size=16).digest()
        if (registry.version, digest) != self.told and registry.version > 0:
            self.told = registry.version, digest
            self.fleet.told_list(registry.version, digest, servers)

    # Calls.

    def takes(self, now: int, call: AdminCommand) -> bool:
        """Whether the answer comes from the fleet."""
        if call.name == "drain-on" and not self.core.lifecycle.drained:
            self.ask_out(call, False)
            return True
        if call.name == "drain-off" and self.core.lifecycle.drained:
            self.core.commands.run(now, call)
            # Its place is free once it is seen ready; until then a restart must not drain it anew.
            self.fleet.call(
                "go_out", self.out_args(CALLED_BACK, True), lambda ok, body: None, 600.0
            )
            return True
        if call.name == "drain-on-here":
            self.core.commands.run(now, call)
            self.fleet.call(
                "go_out",
                self.out_args(f"{DRAINED} by force at it alone", True),
                lambda ok, body: None,
                600.0,
            )
            return True
        if call.name not in ("set-down", "set-up", "set-down-here", "set-up-here"):
            return False
        if not self.fleet.started.is_set():
            call.answers.put(
                b"ERR this process has no part in the fleet yet; call another balancer\r\n"
            )
            return True
        if call.name.endswith("-here"):
            self.by_force(now, call)
            return True
        if call.name == "set-down" and server_number(call.server) not in self.core.balancer.servers:
            self.core.commands.reply(call, "no list has named that server")
            return True
        args = {
            "ident": uuid.uuid4().hex,
            "by": f"{self.who} (call)",
            "at": time.time_ns() // 1_000_000,
            "server": call.server,
        }

        def reply(ok: bool, body: Any) -> None:
            self.post(self.agreed, call, ok, body)

        self.fleet.call("out" if call.name == "set-down" else "back", args, reply, CALL_SPAN)
        return True

    def out_args(self, why: str, forced: bool) -> dict[str, Any]:
        return {
            "ident": uuid.uuid4().hex,
            "by": f"{self.who} (call)",
            "at": time.time_ns() // 1_000_000,
            "member": self.who,
            "why": why,
            "forced": forced,
        }

    def ask_out(self, call: AdminCommand, forced: bool) -> None:
        """This balancer may go out only with the fleet's yes, and only at once: what it was granted is another's again later."""
        if not self.fleet.started.is_set():
            call.answers.put(
                b"ERR this process has no part in the fleet yet; call again in a moment\r\n"
            )
            return
        asked = self.fleet.now()

        def reply(ok: bool, body: Any) -> None:
            self.post(self.may_go, call, asked, ok, body)

        self.fleet.call("go_out", self.out_args(DRAINED, forced), reply, CALL_SPAN)

    def may_go(self, now: int, call: AdminCommand, asked: int, ok: bool, body: Any) -> None:
        if not ok:
            self.core.commands.reply(
                call, f"not granted: {body.get('why', body) if isinstance(body, dict) else body}"
            )
        elif self.fleet.now() - asked > GO:
            self.core.commands.reply(call, "the grant came too late to be used; ask again")
        else:
            self.core.commands.run(now, call)

    def agreed(self, now: int, call: AdminCommand, ok: bool, body: Any) -> None:
        """The yes comes after the fleet's and this balancer's own: it acts already on what it has agreed to."""
        if not ok:
            self.core.commands.reply(
                call, f"not agreed: {body.get('why', body) if isinstance(body, dict) else body}"
            )
            return
        if call.name == "set-down":
            self.out.add(call.server)
            self.core.commands.apply(now, AdminCommand("set-down", call.server), known=True)
        elif call.server in self.out and call.server not in self.here:
            self.out.discard(call.server)
            self.core.commands.apply(now, AdminCommand("set-up", call.server), known=True)
        self.core.commands.reply(call, None)

    def by_force(self, now: int, call: AdminCommand) -> None:
        """At this balancer alone, said so and recorded with the fleet as soon as that can be had."""
        down = call.name == "set-down-here"
        why = self.core.commands.apply(now, call)
        if why is None:
            self.here.add(call.server) if down else self.here.discard(call.server)
            if not down and call.server in self.out:
                self.core.commands.apply(now, AdminCommand("set-down", call.server), known=True)
                why = "out by the fleet still: `set-up` ends that"
            self.fleet.call(
                "note",
                {
                    "ident": uuid.uuid4().hex,
                    "by": self.who,
                    "at": time.time_ns() // 1_000_000,
                    "what": f"{call.name} {call.server} at {self.who} alone",
                },
                lambda ok, body: None,
                600.0,
            )
        self.core.commands.reply(call, why)


class Claims:
    """Flows that must not run twice wait here for their claim: each is answered within a share of its setup target whatever the
    holders do. Called by the deciding thread alone, but for what it hands to the copies' thread."""

    def __init__(self, core: Core, fleet: Fleet, post: Callable[..., None], share: float):
        self.core, self.fleet, self.post, self.share = core, fleet, post, share
        self.waiting: dict[Session, None] = {}
        self.granted: dict[Flow, str] = {}  # under what name

    def ask(self, now: int, session: Session) -> None:
        flow = session.flow
        span = max(int(flow.service_type.setup_latency_objective * self.share), 1)
        left = min(span, max((flow.deadline - now) // 2, 0))
        kind = flow.service_type
        # Held while it may be under way, and a repeat of it come.
        held = kind.idempotency_window + max(flow.deadline - now, 0) + self.core.limits.longest
        self.waiting[session] = None
        # Whatever becomes of the copies' thread: guards a flow against a process that hands over or fails just now.
        self.core.timers.schedule(now + left + SPARE, self.late, session)
        self.core.counters.add("claims")

        def reply(answer: ReservationAnswer, by: str) -> None:
            self.post(self.answered, session, answer, by)

        self.fleet.copies.put("claim", ident_of(flow), held, self.fleet.now() + left, reply)

    def answered(self, now: int, session: Session, answer: ReservationAnswer, by: str) -> None:
        core, flow = self.core, session.flow
        late = session not in self.waiting
        self.waiting.pop(session, None)
        core.counters.add("claims_" + answer.kind)
        if answer.kind == "granted":
            self.granted[flow] = by
            if session.finished or late:  # its client has left, or has its answer
                self.finish(flow, "never")
            elif (
                core.lifecycle.answer_deadline is not None
                and now >= core.lifecycle.answer_deadline
                or not core.extensions.may_act()
            ):
                core.end_session(now, session, core.retry_reply(flow))
            else:
                core.place(now, session)
        elif session.finished or late:
            pass
        elif answer.kind == "held" and answer.how != "never":
            core.counters.add("flows_claimed_elsewhere")
            core.end_session(
                now, session, ERROR_REPLY
            )  # it runs, or may have run: not again, and no word that a repeat does no harm
        else:
            core.end_session(now, session, core.retry_reply(flow))

    def late(self, now: int, session: Session) -> None:
        if session in self.waiting:
            self.answered(now, session, ReservationAnswer("refused"), "")

    def finish(self, flow: Flow, how: str) -> None:
        by = self.granted.pop(flow, None)
        if by is not None:
            self.fleet.copies.put("finish", ident_of(flow), by, how)


def ident_of(flow: Flow) -> str:
    """Sixteen digits however long the client's own was, the same at every balancer."""
    return f"{flow.id:016x}"


def as_listed(server: Server) -> Server:
    """What a list says of it, without what this balancer has learned."""
    return Server(
        id=server.id,
        zone=server.zone,
        cell=server.cell,
        weight=server.weight,
        since=server.since,
        state=server.state,
    )
