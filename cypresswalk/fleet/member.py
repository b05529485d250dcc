"""One balancer's part in the fleet: founding, joining, leases, versions and calls, round one `agreement.Node`. No I/O, no clock.

How it is called: `heard`, `passed`, `call`, `acted`, `told_list` say what happens; then the owner takes `take()` until None and for
each piece begins or writes what it says, flushed, calls `written`, sends, calls `apply`. One thread alone calls it.

Whoever finds a group (founding.py) joins it as a follower under an incarnation of its own; the leader makes it a voter in place of an
older incarnation of its name once it has caught up."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random
from typing import Any

import msgspec

from cypresswalk.agreement.messages import ENTRY_COMMAND, Entry, Members, Message
from cypresswalk.agreement.messages import Member as One
from cypresswalk.agreement.node import BusyError, Node, PersistentState, Ready, Role, Timing
from cypresswalk.copies.messages import MAX_CLOCK_SKEW
from cypresswalk.fleet import commands, queries
from cypresswalk.fleet.bootstrap import FRESH, Founding
from cypresswalk.fleet.commands import AnyCommand
from cypresswalk.fleet.leases import HeldLease, LeaseGrants
from cypresswalk.fleet.messages import (
    AnyFrame,
    Call,
    DiscoveryRequest,
    DiscoveryResponse,
    LeaseGrant,
    LeaseRequest,
    Result,
    ServerReport,
)
from cypresswalk.fleet.records import SERVERS
from cypresswalk.fleet.release_control import ReleaseControl
from cypresswalk.fleet.replica_placement import ReplicaPlacement
from cypresswalk.fleet.server_observations import ServerObservations
from cypresswalk.fleet.state_machine import StateMachine
from cypresswalk.fleet.unavailability import UnavailabilityTracker, name_of
from cypresswalk.rollout.evidence import Served
from cypresswalk.rollout.release import UNFINISHED, Plan

log = logging.getLogger(__name__)
SECOND = 1_000_000_000
HAIL = SECOND // 2  # how often one without a group looks for one
TEND = SECOND // 5  # how often a leader looks after members and offers
AGAIN = SECOND // 2  # a call unanswered for so long goes to whoever leads by then
CALLS = 1000  # waiting here at a time; beyond them a call is refused at once
COMPACT = 512  # entries agreed since the last snapshot: it is taken anew
BEHIND = 16  # entries that one may lack and count as caught up
DRAINED = "drained"  # so begins the reason of one that is to stay out until it is called back
CALLED_BACK = "called back"
WAITS_MOST = (
    20  # times the longest connect timeout: the longest that a client may ask for (net/core.py)
)
VOTERS = 7
TELLS = {
    "status": queries.status,
    "show": queries.show,
    "history": queries.history,
    "copies": queries.copies,
    "release": queries.release,
}
Reply = Callable[[bool, Any], None]


class UnreadableEntryError(Exception):
    """An entry that this program can't read: it must not go on as if it were not there."""


@dataclass(frozen=True, slots=True)
class MemberConfig:
    fleet: str
    name: str
    address: str
    zone: str
    first: tuple[tuple[str, str], ...]  # names and addresses of the first members
    stated: int  # nanoseconds for which two may act on contradicting versions
    timing: Timing = Timing()

    @property
    def first_digest(self) -> str:
        names = "\n".join(f"{name} {address}" for name, address in sorted(self.first))
        return blake2b(names.encode(), digest_size=8).hexdigest()

    @property
    def founder(self) -> bool:
        return any(name == self.name for name, _ in self.first)


@dataclass(frozen=True, slots=True)
class AppliedView:
    """What the deciding thread is to act on."""

    version: int
    settings_version: int
    settings: dict[str, Any]
    out: tuple[str, ...]
    list_version: int
    servers: tuple
    away: tuple[str, ...] = ()  # balancers that were drained by call
    watch: bool = False  # servers are being changed: what each answers is to be told


@dataclass(slots=True)
class MemberEffects:
    """In this order: `begin` or the work written and flushed, `Member.written`, send, `Member.apply`."""

    begin: tuple[str, PersistentState] | None = None  # a new file, of that group
    work: Ready | None = None
    sends: list[tuple[str, AnyFrame]] = field(
        default_factory=list
    )  # to a member's id, or an address with a colon
    reborn: str = ""  # why this identity is given up; the rest is void


@dataclass(slots=True)
class PendingCall:
    """A call that somebody here asked."""

    name: str
    args: dict[str, Any]
    reply: Reply
    until: int
    again_at: int = 0
    sent: bool = False


class Member(Founding):
    def __init__(
        self,
        about: MemberConfig,
        ident: str,
        group: str,
        kept: PersistentState | None,
        now: int,
        chance: Random,
        check: Callable[[dict], str],
        own: dict[str, Any] | None = None,
        placing: ReplicaPlacement | None = None,
    ):
        """`check`: why this balancer could not act on those settings, or nothing. `own`: those of its file, offered where the
        fleet has none yet. Raises msgspec.DecodeError where what was kept is no state."""
        self.about, self.id, self.group, self.chance, self.check, self.own = (
            about,
            ident,
            group,
            chance,
            check,
            own,
        )
        self.node: Node | None = None
        self.agreed, self.applied = StateMachine(), -1
        self.sends: list[tuple[str, AnyFrame]] = []
        self.begin: tuple[str, PersistentState] | None = None
        self.reborn = ""
        self.held = HeldLease(about.stated, now)
        self.ask_at, self.hail_at, self.tend_at = now, now, now
        self.hails: dict[str, tuple[int, DiscoveryResponse]] = {}  # answers, by name
        self.joining: dict[
            str, tuple[int, DiscoveryRequest]
        ] = {}  # at the leader: who wants in, by name
        self.given: LeaseGrants | None = None
        self.objections: dict[
            str, tuple[str, str]
        ] = {}  # by member: the offer it looked at, why not
        self.reports: dict[str, tuple[int, bytes]] = {}  # by member: its list
        self.wipes = 0
        self.wiped: dict[str, int] = {}
        self.acts_on = 0
        self.acting: dict[
            str, tuple[int, int]
        ] = {}  # by member: the version it acts on, heard first when
        self.list_told: tuple[int, bytes, list] = (-1, b"", [])
        self.calls: dict[int, PendingCall] = {}
        self.numbers = 0
        self.results: dict[str, list[Reply]] = {}  # at the leader: who waits for which command
        self.settling: list[
            tuple[int, int, Reply]
        ] = []  # who waits until all act on a version, until when
        self.said: set[str] = set()
        self.led_before = False
        self.views: list[AppliedView] = []
        self.viewed: tuple | None = None
        self.placing = placing  # where copies of claims lie, if this balancer keeps any
        self.holds = False
        self.ready: Callable[[], bool | None] = lambda: (
            None
        )  # of this balancer, as its deciding thread has it
        self.served: Callable[[], tuple[int, int, int, int]] = lambda: (0, 0, 0, 0)
        self.servers: Callable[[], ServerReport] = ServerReport
        self.wards = ServerObservations(about.stated)  # at the leader
        self.boot = 0  # how often it has started under this identity
        self.boots: dict[str, int] = {}  # at the leader, by name
        self.figures: dict[
            str, tuple[Served, int]
        ] = {}  # and what each has served, and when it said so
        self.releasing = ReleaseControl()
        self.places = UnavailabilityTracker(about.stated)  # at the leader
        self.wall: Callable[[], int] = lambda: 0  # milliseconds, for people
        self.placed: list[
            dict[int, tuple[int, tuple[str, ...]]]
        ] = []  # views of parts, for whoever keeps copies here
        if kept is not None:
            self.start(kept, now)

    def start(self, kept: PersistentState, now: int) -> None:
        self.node = Node(self.id, kept, self.about.timing, self.chance, now)

    def once(self, what: str, **words: object) -> None:
        key = what + repr(sorted(words.items()))
        if key not in self.said and len(self.said) < 1000:
            self.said.add(key)
            log.warning(
                "event=%s %s", what, " ".join(f"{name}={value}" for name, value in words.items())
            )

    # What is known.

    @property
    def leads(self) -> bool:
        return self.node is not None and self.node.role is Role.LEADER

    @property
    def leader(self) -> str:
        return self.node.leader if self.node is not None else ""

    @property
    def members(self) -> Members:
        return self.node.log.members if self.node is not None else ()

    def address_of(self, ident: str) -> str:
        return next((m.address for m in self.members if m.id == ident), "")

    def lease_until(self) -> int:
        """Until when the deciding thread may act on the version that it has; 0 for not at all."""
        return self.held.until(self.acts_on)

    def due(self) -> int:
        due = [self.ask_at, self.hail_at]
        if self.node is not None:
            due.append(self.node.due())
        if self.leads:
            due.append(self.tend_at)
        due += [min(w.again_at, w.until) for w in self.calls.values()] + [
            until for _, until, _ in self.settling
        ]
        return min(due)

    # Time.

    def passed(self, now: int) -> None:
        if self.node is not None:
            self.node.passed(now)
            if self.leads != self.led_before:
                self.led_before = self.leads
                self.turned(now)
        if now >= self.hail_at:
            self.hail_at = now + HAIL + self.chance.randrange(HAIL // 4)
            self.look_for_group(now)
        if now >= self.ask_at:
            self.ask(now)
        if self.leads and now >= self.tend_at:
            self.tend_at = now + TEND
            self.tend(now)
        for number, waiting in list(self.calls.items()):
            if now >= waiting.until:
                del self.calls[number]
                said = (
                    "it may or may not come into force; ask for the state"
                    if waiting.sent and waiting.name != "status"
                    else "nothing was done"
                )
                waiting.reply(
                    False,
                    {"why": f"the fleet did not answer in time; {said}", "unsure": waiting.sent},
                )
            elif now >= waiting.again_at:
                self.pass_on(now, number, waiting)
        self.look_settled(now)

    def turned(self, now: int) -> None:
        """It leads now, or does no more."""
        self.given = LeaseGrants(self.about.stated, now) if self.leads else None
        self.objections, self.reports, self.joining, self.acting, self.wiped = {}, {}, {}, {}, {}
        self.places, self.wards = (
            UnavailabilityTracker(self.about.stated),
            ServerObservations(self.about.stated),
        )
        self.figures, self.boots, self.releasing = {}, {}, ReleaseControl()
        self.results = {}
        settling, self.settling = self.settling, []
        for _, _, reply in settling:
            reply(False, {"why": "another leads now; ask again", "again": True})
        if self.placing is not None:
            self.placing.turned(now)
        self.tend_at = now
        log.info(
            "event=%s term=%d member=%s",
            "leading" if self.leads else "following",
            self.node.term,
            self.id,
        )

    # Leases.

    def ask(self, now: int) -> None:
        waits = self.about.stated // 4 if now < self.lease_until() else self.about.stated // 20
        self.ask_at = now + waits - self.chance.randrange(waits // 4)
        if self.node is None or not self.leader:
            return
        pending = self.agreed.state.pending
        offer = pending.proposal_id if pending else ""
        objection = self.check(pending.settings)[:300] if pending else ""
        generation, digest, _ = self.list_told
        ask = LeaseRequest(
            self.held.ask(now),
            self.acts_on,
            offer,
            objection,
            generation,
            digest,
            self.wipes,
            self.holds,
            self.ready(),
            self.served(),
            self.boot,
            self.held.latest,
            self.servers(),
        )
        if self.leads:
            self.asked(now, self.id, ask)
        else:
            self.sends.append((self.leader, ask))

    def asked(self, now: int, source: str, ask: LeaseRequest) -> None:
        if not self.leads or not any(m.id == source for m in self.members):
            return
        self.given.said(source, ask.version)
        if self.acting.get(source, (None,))[0] != ask.version:
            self.acting[source] = ask.version, now
        if ask.offer:
            self.objections[source] = ask.offer, ask.objection
        self.reports[source] = ask.generation, ask.digest
        self.wiped[source] = ask.wipes
        if self.placing is not None:
            self.placing.holds(source, ask.holds)
        name = name_of(source)
        self.figures[name], self.boots[name] = (Served(*ask.served), now), ask.boot
        self.places.asked(now, source, ask.ready, ask.lease)
        self.wards.asked(now, source, ask.version, ask.servers)
        try:
            self.node.read(now, ("lease", source, ask.number))
        except BusyError:
            pass  # it asks again

    def granted(self, now: int, grant: LeaseGrant) -> None:
        self.held.granted(grant.number, grant.version)

    def acted(self, now: int, version: int) -> None:
        """The deciding thread acts on it now."""
        if version > self.acts_on:
            self.acts_on = version
            self.ask_at = now  # so that those who wait for all to act on it hear of it

    def told_list(self, now: int, generation: int, digest: bytes, servers: list) -> None:
        self.list_told = generation, digest, servers
        if self.node is not None and self.node.is_voter():
            self.ask_at = min(self.ask_at, now)

    # The leader looks after members, offers and lists.

    def tend(self, now: int) -> None:
        try:
            self.tend_offer(now)
            self.tend_list(now)
            self.tend_members(now)
            self.tend_copies(now)
            self.tend_away(now)
            self.tend_coming(now)
            self.tend_release(now)
        except BusyError:
            pass  # at the next look

    def propose(self, now: int, command: AnyCommand) -> None:
        self.node.propose(now, commands.encode(command))

    def tend_offer(self, now: int) -> None:
        s = self.agreed.state
        if s.pending is None:
            if (
                s.settings_version == 0
                and self.own is not None
                and f"first:{self.group}" not in self.agreed.results
                and self.node.log.term(self.node.commit) == self.node.term
            ):
                self.propose(
                    now,
                    commands.ProposeSettings(
                        f"first:{self.group}", self.about.name, self.wall(), 0, self.own
                    ),
                )
            return
        offer = s.pending.proposal_id
        why = [
            f"{member.partition('#')[0]}: {text}"
            for member, (seen, text) in sorted(self.objections.items())
            if seen == offer and text
        ]
        mine = self.check(s.pending.settings)
        if mine and not any(line.startswith(f"{self.about.name}:") for line in why):
            why.append(f"{self.about.name}: {mine}"[:400])
        if why:
            self.propose(
                now,
                commands.RejectSettings(
                    f"refuse:{offer}", self.about.name, s.pending.at, offer, why
                ),
            )
        elif all(
            self.objections.get(m.id, ("",))[0] == offer
            or m.id == self.id
            or self.given.lapsed(now, m.id)
            for m in self.members
        ):
            self.propose(
                now,
                commands.ActivateSettings(
                    f"activate:{offer}", self.about.name, s.pending.at, offer
                ),
            )

    def tend_list(self, now: int) -> None:
        """A list that a majority of the voters got from their own agents, the same to the byte. Guards against one agent that
        lies; one that is behind names a generation that is no later than the agreed one."""
        generation, digest, servers = self.list_told
        s = self.agreed.state
        if generation <= s.list_generation:
            return
        voters = self.node.voters
        alike = sum(v == self.id or self.reports.get(v) == (generation, digest) for v in voters)
        if alike >= self.node.majority(len(voters)):
            self.propose(
                now,
                commands.UpdateEndpointList(
                    f"list:{s.list_epoch}:{generation}",
                    self.about.name,
                    self.wall(),
                    generation,
                    s.list_epoch,
                    servers,
                ),
            )

    def tend_members(self, now: int) -> None:
        members = self.node.log.members
        names = {m.name for m in members if m.voter}
        desired = self.agreed.state.voters
        if not desired:
            if self.node.log.term(self.node.commit) == self.node.term:
                self.propose(
                    now,
                    commands.SetDesiredMembers(
                        f"voters:{self.group}", self.about.name, self.wall(), sorted(names), []
                    ),
                )
            return
        wanted = self.next_members(now, members, desired)
        if wanted is not None:
            self.node.change(now, wanted)

    def zones(self) -> dict[str, str]:
        return {m.name: m.zone for m in self.members if m.name not in self.agreed.state.departed}

    def seen_out(self, now: int) -> dict[str, str]:
        unheard = {m.id for m in self.members if not self.hears(now, m.id)}
        # Who leads no more knows of nobody's lease.
        lapsed = {
            ident for ident in unheard if self.given is not None and self.given.lapsed(now, ident)
        }
        return self.places.seen_out(now, self.members, self.agreed.state.departed, unheard, lapsed)

    def tend_away(self, now: int) -> None:
        s = self.agreed.state
        doing = s.release.members if s.release is not None else {}
        free = self.places.tend(
            now,
            s.leave_grants,
            {name for name in s.leave_grants if doing.get(name) == "changing"},
            {name for name in s.leave_grants if doing.get(name) == "out"},
            self.seen_out(now),
            {m.name for m in self.members},
        )
        if free is not None:
            self.propose(now, commands.BalancerReturned(*self.head("return"), *free))

    def idents(self) -> set[str]:
        """Of members that have not left."""
        return {m.id for m in self.members if m.name not in self.agreed.state.departed}

    def bad_servers(self, now: int) -> dict[str, str]:
        """Raises Busy where a bound rests on it and nobody can tell yet."""
        if not self.wards.can_tell(now, self.idents()) and self.agreed.state.settings.get(
            "bounds", {}
        ).get("servers"):
            raise BusyError(queries.UNTOLD)
        return self.wards.bad(now, self.idents())

    def standing(self, now: int, server: str) -> int | None:
        """Flows at a server of all balancers that may act; None where one of them has not said."""
        acting = {
            ident
            for ident in self.idents()
            if self.given is None or not self.given.lapsed(now, ident)
        }
        return self.wards.standing(now, acting, server)

    def tend_coming(self, now: int) -> None:
        s = self.agreed.state
        self.wards.keep(self.idents())
        if s.returning_servers:
            ready = self.wards.ready_again(
                now, self.idents(), s.returning_servers, {name for name, *_ in s.servers}
            )
            if ready:
                self.propose(now, commands.ServersSeenReady(*self.head("seen"), ready))

    def settled(self, version: int, now: int) -> bool:
        """Whether every balancer acts on that version, or acts no more."""
        return self.given is not None and not self.given.may_act_below(
            now, version, [m.id for m in self.members]
        )

    def head(self, what: str, by: str = "") -> tuple[str, str, int]:
        """Of a command that the leader proposes by itself."""
        return f"{what}:{self.chance.getrandbits(64):016x}", by or self.about.name, self.wall()

    def tend_release(self, now: int) -> None:
        s = self.agreed.state
        if s.release is None or self.node.log.term(self.node.commit) != self.node.term:
            return
        if s.release.plan.kind == SERVERS:
            seen, zones = self.bad_servers(now), {}
            served, out, away, boots = (
                self.wards.served,
                set(seen) - set(s.returning_servers),
                self.agreed.state.servers_out_for_release() | set(s.returning_servers),
                {},
            )
        else:
            seen, zones = self.seen_out(now), self.zones()
            served = {
                name: figures
                for name, (figures, at) in self.figures.items()
                if now - at <= self.about.stated
            }
            out, away, boots = set(seen), set(s.leave_grants), self.boots
        do = self.releasing.tend(now, s.release, s.halted is not None, served, out, away, boots)
        if do is None:
            return
        head = self.head("release", f"release {s.release.plan.name}")
        match do.what:
            case "go":
                self.propose(
                    now, commands.GrantTurn(*head, do.name, zones, seen, boots.get(do.name, 0))
                )
            case "unused":
                self.propose(now, commands.TurnUnused(*head, do.name))
            case "held":
                self.propose(now, commands.WaveObserved(*head, do.wave))
            case "halt":
                self.propose(now, commands.Halt(*head, do.why))

    def tend_copies(self, now: int) -> None:
        s = self.agreed.state
        if self.placing is None or self.node.log.term(self.node.commit) != self.node.term:
            return  # what leaders before it agreed on is not all known here
        proposals, sends = self.placing.tend(
            now,
            self.members,
            s.partitions,
            s.departed,
            lambda ident: self.hears(now, ident),
            longest_held(s.settings),
        )
        self.sends += sends
        if proposals:
            self.propose(now, commands.PlaceReplicas(*self.head("place"), proposals))

    def hears(self, now: int, ident: str) -> bool:
        peer = self.node.peers.get(ident)
        # Voters are beaten five times as often.
        return (
            ident == self.id
            or peer is not None
            and now - peer.heard_at < (FRESH // 2 if ident in self.node.voters else FRESH)
        )

    def holder_said(self, now: int, source: str, words: list) -> None:
        """To who leads, of copies."""
        if self.leads and self.placing is not None:
            for word in words:
                self.placing.heard(now, source, word, self.agreed.state.partitions)
            self.tend_at = now

    def next_members(self, now: int, members: Members, desired: list[str]) -> Members | None:
        """The next step, one at a time, towards who should vote and who should be there."""
        newest = {m.name: m for m in members}  # a later incarnation stands behind an earlier one
        gone = [
            m for m in members if m.name in self.agreed.state.departed or newest[m.name] is not m
        ]
        # One that leaves stays while copies lie there alone or with others: they are taken elsewhere first.
        held = {h for _, there in self.agreed.state.partitions.values() for h in there}
        gone = [
            m
            for m in gone
            if newest[m.name] is not m or m.voter or m.id not in held or not self.hears(now, m.id)
        ]
        if any(not m.voter for m in gone):
            return tuple(m for m in members if m.voter or m not in gone)
        # All that wait at once: a change goes to every member, and two hundred that start together would make two hundred.
        joining, self.joining = self.joining, {}
        new = [
            One(hail.id, False, hail.address, hail.zone)
            for at, hail in joining.values()
            if now - at < FRESH and not any(m.id == hail.id for m in members)
        ]
        if new:
            return (*members, *new)
        for name in desired:
            member = newest.get(name)
            if (
                member is not None
                and not member.voter
                and member not in gone
                and self.caught_up(now, member.id)
            ):
                return tuple(
                    One(m.id, True, m.address, m.zone) if m is member else m for m in members
                )
        ready = {m.name for m in members if m.voter and newest[m.name] is m}
        for member in members:
            # A voter goes once another stands for it; or at once where it was told to leave, as long as others stay.
            spare = member.voter and (member in gone or member.name not in desired)
            if spare and (
                member.name in ready
                and member in gone
                or all(n in ready for n in desired if n in newest)
            ):
                if sum(m.voter for m in members) > 1:
                    return tuple(
                        One(m.id, False, m.address, m.zone) if m is member else m for m in members
                    )
        return None

    def caught_up(self, now: int, ident: str) -> bool:
        peer = self.node.peers.get(ident)
        return (
            peer is not None
            and peer.sure is not None
            and now - peer.heard_at < FRESH
            and peer.match >= self.node.commit - BEHIND
        )

    # Frames.

    def heard(self, now: int, source: str, frame: AnyFrame) -> None:
        """`source`: the id that its connection's Hello named."""
        match frame:
            case DiscoveryRequest():
                self.hailed(now, frame)
            case DiscoveryResponse():
                self.hail_answered(now, frame)
            case LeaseRequest():
                self.asked(now, source, frame)
            case LeaseGrant():
                self.granted(now, frame)
            case Call():

                def reply(ok: bool, body: Any) -> None:
                    self.sends.append((source, Result(frame.number, ok, body)))

                if self.leads:
                    self.lead_call(now, frame.name, frame.args, reply)
                else:
                    reply(False, {"why": "not the leader", "again": True})
            case Result():
                waiting = self.calls.get(frame.number)
                if waiting is not None and not (
                    isinstance(frame.body, dict) and frame.body.get("again")
                ):
                    del self.calls[frame.number]
                    waiting.reply(frame.ok, frame.body)
            case Message() if self.node is not None:
                self.node.heard(now, source, frame)

    # Calls.

    def call(self, now: int, name: str, args: dict[str, Any], reply: Reply, span: int) -> None:
        """`reply` is called once, within `span` nanoseconds. Asked again for as long: a command's ident makes that harmless."""
        if len(self.calls) >= CALLS:
            reply(False, {"why": "too many calls wait", "unsure": False})
            return
        self.numbers += 1
        waiting = self.calls[self.numbers] = PendingCall(name, args, reply, now + span)
        self.pass_on(now, self.numbers, waiting)

    def pass_on(self, now: int, number: int, waiting: PendingCall) -> None:
        if self.leads:
            waiting.again_at = now + 4 * AGAIN
            waiting.sent = True

            def reply(ok: bool, body: Any) -> None:
                if isinstance(body, dict) and body.get("again"):
                    waiting.again_at = min(waiting.again_at, now + AGAIN)
                elif self.calls.pop(number, None) is not None:
                    waiting.reply(ok, body)

            self.lead_call(now, waiting.name, waiting.args, reply)
        elif self.leader:
            waiting.again_at = now + AGAIN
            waiting.sent = True
            self.sends.append((self.leader, Call(number, waiting.name, waiting.args)))
        else:
            waiting.again_at = now + AGAIN // 5

    def lead_call(self, now: int, name: str, args: dict[str, Any], reply: Reply) -> None:
        try:
            if name in TELLS or name == "turn":
                self.node.read(now, ("call", name, args, reply))
            elif name == "copies_renew":
                self.renew_parts(now, [int(part) for part in args["parts"]], str(args["by"]), reply)
            elif name == "settled":
                if len(self.settling) >= CALLS:
                    raise BusyError("too many calls wait")
                self.settling.append((int(args["version"]), now + 2 * self.about.stated, reply))
            else:
                self.lead_command(now, self.command(now, name, args), reply)
        except BusyError as error:
            reply(False, {"why": str(error), "again": True})
        except (KeyError, TypeError, ValueError, msgspec.ValidationError) as error:
            reply(False, {"why": f"{name}: {type(error).__name__} {error}", "unsure": False})

    def command(self, now: int, name: str, args: dict[str, Any]) -> AnyCommand:
        """Raises ValueError where it could never be carried out."""
        kinds = {
            "offer": commands.ProposeSettings,
            "out": commands.RemoveFromRotation,
            "back": commands.ReturnToRotation,
            "note": commands.AddNote,
            "renew": commands.ResetListSource,
            "halt": commands.Halt,
            "resume": commands.Resume,
            "release_came": commands.ChangeFinished,
            "release_back": commands.RollBack,
            "release_pause": commands.PauseRelease,
        }
        if name in ("join", "leave", "replace"):
            return self.desire(name, args)
        if name == "release_begin":
            plan = msgspec.convert(args["plan"], Plan)
            return commands.BeginRelease(
                str(args["ident"]),
                str(args["by"]),
                int(args["at"]),
                plan,
                sorted({m.name for m in self.members if m.name not in self.agreed.state.departed}),
            )
        if name in ("go_out", "release_began"):
            head = str(args["ident"]), str(args["by"]), int(args["at"]), str(args["member"])
            if name == "go_out":
                return commands.GrantLeave(
                    *head,
                    str(args["why"]),
                    bool(args.get("forced")),
                    self.zones(),
                    self.seen_out(now),
                )
            release = self.agreed.state.release
            if release is None or release.plan.kind != SERVERS:
                return commands.ChangeStarted(
                    *head, str(args["to"]), self.zones(), self.seen_out(now)
                )
            if not self.settled(release.outs.get(str(args["member"]), 1 << 62), now):
                raise ValueError("not every balancer acts on it yet")
            return commands.ChangeStarted(*head, str(args["to"]), {}, self.bad_servers(now))
        if name not in kinds:
            raise ValueError("no such call")
        if name == "out":
            # Under a halt it is refused whatever is seen, and its caller is to hear of that.
            whatever = args.get("forced") or self.agreed.state.halted
            args = args | {
                "seen": self.wards.bad(now, self.idents()) if whatever else self.bad_servers(now)
            }
        command = kinds[name](**args)
        return msgspec.convert(msgspec.to_builtins(command), type(command))

    def renew_parts(self, now: int, parts: list[int], by: str, reply: Reply) -> None:
        """An operator's word that parts without any copy may begin with nothing: what was claimed there may run again."""
        if self.placing is None:
            raise ValueError("no copies are kept here")
        have = [part for part in parts if part not in self.placing.away]
        if have or not parts:
            raise ValueError(f"parts {have} have copies" if have else "no part named")
        self.propose(
            now,
            commands.AddNote(*self.head("renew", by), f"copies begun anew with nothing: {parts}"),
        )
        self.placing.renewed.update(parts)
        reply(True, {"why": f"{len(parts)} parts begin anew"})

    def desire(self, name: str, args: dict[str, Any]) -> commands.SetDesiredMembers:
        s, who = self.agreed.state, str(args["member"])
        voters, left = list(s.voters), list(s.departed)
        if name == "join":
            left = [n for n in left if n != who]
            if args.get("voter") and who not in voters:
                voters.append(who)
        elif name == "leave":
            voters, left = [n for n in voters if n != who], sorted({*left, who})
        else:
            other = str(args["other"])
            if who not in voters:
                raise ValueError(f"{who} is no voter; there are {', '.join(voters)}")
            if not any(m.name == other for m in self.members):
                raise ValueError(f"{other} is no member yet")
            voters = [other if n == who else n for n in voters]
            left = sorted({*left, who} - {other})
        if not 1 <= len(voters) <= VOTERS or len(set(voters)) != len(voters):
            raise ValueError(f"{len(voters)} voters; 1 to {VOTERS} are allowed")
        return commands.SetDesiredMembers(
            str(args["ident"]), str(args["by"]), int(args["at"]), voters, left
        )

    def lead_command(self, now: int, command: AnyCommand, reply: Reply) -> None:
        known = self.agreed.results.get(command.ident)
        if known is not None:
            self.answer(command, known, reply)
            return
        waiting = self.results.setdefault(command.ident, [])
        waiting.append(reply)
        if len(waiting) == 1:
            try:
                self.propose(now, command)
            except BusyError:
                del self.results[command.ident]
                raise

    def answer(self, command: AnyCommand, result: tuple[bool, str], reply: Reply) -> None:
        ok, why = result
        if isinstance(command, commands.ProposeSettings) and ok and why == "pending":
            activated = self.agreed.results.get(f"activate:{command.ident}")
            refused = self.agreed.results.get(f"refuse:{command.ident}")
            if activated is None and refused is None:
                self.results.setdefault(f"end:{command.ident}", []).append(reply)
                return
            ok, why = activated or (False, refused[1])
        reply(ok, {"why": why, "version": self.agreed.state.version})

    def look_settled(self, now: int) -> None:
        waiting, self.settling = self.settling, []
        for version, until, reply in waiting:
            below = (
                self.given.may_act_below(now, version, [m.id for m in self.members])
                if self.given
                else []
            )
            if self.given and not below:
                reply(True, {"version": version})
            elif now >= until:
                reply(
                    False,
                    {
                        "why": "may act on an older version still: " + ", ".join(below),
                        "unsure": False,
                    },
                )
            else:
                self.settling.append((version, until, reply))

    # What the owner carries out.

    def take(self) -> MemberEffects | None:
        if self.reborn:
            return MemberEffects(reborn=self.reborn)
        work = self.node.take() if self.node is not None else None
        if work is not None and work.disowned:
            return MemberEffects(
                reborn="it lacks what it had acknowledged: its folder was put back from an older copy, or lost a part"
            )
        step = MemberEffects(self.begin, work, self.sends)
        self.sends, self.begin = [], None
        if work is not None:
            step.sends += work.words
        return step if step.begin or work or step.sends else None

    def written(self, now: int, work: Ready) -> None:
        self.node.written(now, work)
        if self.leads != self.led_before:
            self.led_before = self.leads
            self.turned(now)

    def apply(self, now: int, work: Ready) -> None:
        if work.install is not None and work.install.index > self.applied:
            if work.install.data:
                self.agreed = StateMachine(work.install.data)
                self.placed.append(self.agreed.state.partitions)
            self.applied = work.install.index
        for index, entry in work.agreed:
            self.applied = index
            if entry.kind == ENTRY_COMMAND:
                self.apply_one(now, entry)
        for token, index in work.reads:
            self.confirmed(now, token)
        self.show()
        snapshot = self.node.log.snapshot
        if self.applied - snapshot.index >= COMPACT or snapshot.index < 0 <= self.applied:
            self.node.compact(self.applied, self.agreed.dump())
        self.look_settled(now)

    def apply_one(self, now: int, entry: Entry) -> None:
        command, result = self.agreed.apply(entry.data)
        if command is None:
            raise UnreadableEntryError(result[1])
        for reply in self.results.pop(command.ident, ()):
            self.answer(command, result, reply)
        if isinstance(command, commands.PlaceReplicas):
            # Each view by itself: a holder that skipped one would not know that it has all.
            self.placed.append(
                {
                    part: place
                    for part, place in command.partitions.items()
                    if self.agreed.state.partitions.get(part) == place
                }
            )
            self.tend_at = now
            if self.leads:
                # Those that only follow would hear at their next beat that it is agreed, and claims there wait for them.
                for peer in self.node.peers.values():
                    peer.beat_at = min(peer.beat_at, now)
        if isinstance(command, commands.ActivateSettings | commands.RejectSettings):
            for reply in self.results.pop(f"end:{command.proposal_id}", ()):
                ok, why = result
                reply(
                    ok and isinstance(command, commands.ActivateSettings),
                    {"why": why, "version": self.agreed.state.version},
                )
        if (
            isinstance(command, commands.ProposeSettings)
            and result[0]
            and self.agreed.state.pending
        ):
            self.ask_at = now  # says at once whether it can be read here

    def confirmed(self, now: int, token: tuple) -> None:
        """Nothing agreed before this was asked is missing here."""
        match token:
            case ("lease", member, number):
                if self.given is None:
                    return
                self.given.grant(now, member)
                self.places.leased(now, member, number)
                grant = LeaseGrant(number, self.agreed.state.version)
                if member == self.id:
                    self.granted(now, grant)
                else:
                    self.sends.append((member, grant))
            case ("replaced", hail):
                if not any(m.id == hail.id for m in self.members):
                    self.answer_hail(hail, replaced=True)
            case ("call", "turn", args, reply):
                reply(True, queries.turn(self, now, str(args.get("member", ""))))
            case ("call", name, _, reply):
                reply(True, TELLS[name](self, now))

    def show(self) -> None:
        """A view for the deciding thread, if it is another than the last."""
        s = self.agreed.state
        if self.applied < 0 or self.viewed == (s.version,):
            return
        self.viewed = (s.version,)
        watch = (
            s.release is not None
            and s.release.plan.kind == SERVERS
            and s.release.phase in UNFINISHED
        )
        self.views.append(
            AppliedView(
                s.version,
                s.settings_version,
                s.settings,
                tuple(sorted(self.agreed.state.servers_out())),
                s.list_version,
                tuple(s.servers),
                tuple(
                    name for name, (_, _, why) in s.leave_grants.items() if why.startswith(DRAINED)
                ),
                watch,
            )
        )


def longest_held(settings: dict[str, Any]) -> int:
    """The longest time in nanoseconds for which an id is held under these settings, with the clocks' difference."""
    kinds = settings.get("serviceTypes") or []
    window = max((float(kind.get("window", 0.0)) for kind in kinds), default=0.0)
    longest = max((float(kind.get("giveUp", 0.0)) for kind in kinds), default=0.0)
    return int((window + (WAITS_MOST + 1) * longest) * 1_000_000) + 2 * MAX_CLOCK_SKEW
