"""What the fleet has agreed: the same at every member after the same entries. No I/O, no clock, no chance.

A version is a number and all that it holds: the settings, the server list, who is out by hand. Each change makes the next
number. Settings go by compare-and-set on the version that last changed them, and come into force by one entry, once every
balancer that acts has said that it can read them. A command is carried out once, however often it comes: its id tells."""

from collections import OrderedDict
from typing import Any

import msgspec

from cypresswalk.fleet.unavailability import SURELY
from cypresswalk.rollout import release as releases
from cypresswalk.rollout.bounds import violation_reason

REMEMBERED = (
    512  # ids of commands carried out, with what came of them: a caller asks again within seconds
)
HISTORY = 200  # records of who did what when
SETTINGS_KEPT = 20  # settings that can be gone back to
SERVERS = "servers"  # a release's kind
LIST_MOST = 20_000  # servers in an agreed list
OUT_MOST = 10_000  # servers out by hand


# Id, zone, cell, state, weight, its latest start in nanoseconds. No address: that may differ from one balancer to the next.
Listed = tuple[str, int, int, str, float, int]


class Command(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """`ident` is drawn by whoever asks; `by` names that person or balancer, `at` is its wall clock in milliseconds."""

    ident: str
    by: str
    at: int


class ProposeSettings(Command, frozen=True, tag="Offer"):
    """`base`: the version that last changed the settings, as the caller read it."""

    base: int
    settings: dict[str, Any]


class ActivateSettings(Command, frozen=True, tag="Activate"):
    offer: str


class RejectSettings(Command, frozen=True, tag="Refuse"):
    """`why`: a line for each balancer that can't read it."""

    offer: str
    why: list[str]


class RemoveFromRotation(Command, frozen=True, tag="Out"):
    """`forced`: beyond the bounds too. `seen`: servers that who leads takes for out, with why."""

    server: str
    forced: bool = False
    seen: dict[str, str] = {}


class ReturnToRotation(Command, frozen=True, tag="Back"):
    server: str


class ServersSeenReady(Command, frozen=True, tag="Seen"):
    """Servers that most balancers that act have seen ready since they came back, each with the version in which it did."""

    servers: dict[str, int]


class UpdateEndpointList(Command, frozen=True, tag="Listing"):
    """A list of servers as a majority of voters got it; only a later generation of the same source takes its place."""

    generation: int
    epoch: int
    servers: list[Listed]


class ResetListSource(Command, frozen=True, tag="Renew"):
    """By hand: the list source begins anew, so that its generations count from the first on again."""


class AddNote(Command, frozen=True, tag="Note"):
    """Something done by force at one balancer, for the record."""

    what: str


class SetDesiredMembers(Command, frozen=True, tag="Desire"):
    """Which names are to vote, and which are to leave."""

    voters: list[str]
    left: list[str]


class GrantLeave(Command, frozen=True, tag="Leave"):
    """A balancer is to go out. `zones`: all members by name; `seen`: those that who leads takes for out, with why."""

    name: str
    why: str
    forced: bool
    zones: dict[str, str]
    seen: dict[str, str]


class BalancerReturned(Command, frozen=True, tag="Return"):
    """It was seen ready again, and can no longer go out by that grant. `granted`: as `State.away` has it; another one stays."""

    name: str
    granted: tuple[str, int, str]


class Halt(Command, frozen=True):
    """Nothing more goes out, by any call, until a person resumes."""

    why: str


class Resume(Command, frozen=True):
    """`halts`: as the caller read it, so that a word on its way for long does not end a halt that came after it."""

    halts: int


class BeginRelease(Command, frozen=True, tag="Begin"):
    """A release. `known`: all members by name."""

    plan: releases.Plan
    known: list[str]


class GrantTurn(Command, frozen=True, tag="Go"):
    """The next balancer of the release may be changed. `zones`, `seen` as for Leave; `boot`: how often it has started, 0 if unknown."""

    name: str
    zones: dict[str, str]
    seen: dict[str, str]
    boot: int


class ChangeStarted(Command, frozen=True, tag="Began"):
    """By its agent, before it does anything. `zones`, `seen` as for Leave: whoever was lost since its turn was agreed counts."""

    name: str
    to: str
    zones: dict[str, str]
    seen: dict[str, str]


class ChangeFinished(Command, frozen=True, tag="Came"):
    """By its agent: which version runs now."""

    name: str
    runs: str
    why: str


class TurnUnused(Command, frozen=True, tag="Unused"):
    """A server's turn that its agent has not begun: it is in again."""

    name: str


class WaveObserved(Command, frozen=True, tag="Held"):
    wave: int


class RollBack(Command, frozen=True, tag="TurnBack"):
    """`release`: its name, so that a word on its way for long does not turn the next one."""

    release: str


class PauseRelease(Command, frozen=True, tag="Pause"):
    release: str
    on: bool


class PlaceReplicas(Command, frozen=True, tag="Place"):
    """Parts of the ids, by number: the next view of each, and its holders, the primary first."""

    parts: dict[int, tuple[int, tuple[str, ...]]]


class FenceGroups(Command, frozen=True, tag="Fence"):
    """The group begun by hand after most voters were lost: words of the groups named are not heard any more."""

    groups: list[str]
    what: str


AnyCommand = (
    ProposeSettings
    | ActivateSettings
    | RejectSettings
    | RemoveFromRotation
    | ReturnToRotation
    | UpdateEndpointList
    | ResetListSource
    | AddNote
    | SetDesiredMembers
    | FenceGroups
    | PlaceReplicas
    | GrantLeave
    | BalancerReturned
    | Halt
    | Resume
    | BeginRelease
    | GrantTurn
    | ChangeStarted
    | ChangeFinished
    | WaveObserved
    | RollBack
    | PauseRelease
    | ServersSeenReady
    | TurnUnused
)
commands = msgspec.msgpack.Decoder(AnyCommand)
encode = msgspec.msgpack.encode


class HistoryRecord(msgspec.Struct, frozen=True, array_like=True):
    version: int
    by: str
    at: int
    what: str


class PendingSettings(msgspec.Struct, frozen=True, array_like=True):
    offer: str
    by: str
    at: int
    settings: dict[str, Any]


class FleetState(msgspec.Struct, array_like=True):
    version: int = 0
    settings_version: int = 0
    settings: dict[str, Any] = {}
    pending: PendingSettings | None = None
    out: dict[str, tuple[str, int]] = {}  # server: who took it out, and when
    list_epoch: int = 0
    list_generation: int = -1
    list_version: int = 0
    servers: list[Listed] = []
    kept: list[tuple[int, dict[str, Any]]] = []  # settings by version, the latest last
    history: list[HistoryRecord] = []
    done: list[
        tuple[str, bool, str]
    ] = []  # ids of commands, the latest last, and what came of each
    voters: list[str] = []
    left: list[str] = []
    fenced: list[str] = []
    away: dict[
        str, tuple[str, int, str]
    ] = {}  # balancers that may go out or are: by whom, when, why
    release: releases.Release | None = None
    halted: tuple[str, int, str] | None = None  # by whom, when, why
    halts: int = 0  # how often anybody has halted
    parts: dict[
        int, tuple[int, tuple[str, ...]]
    ] = {}  # of the ids: the view of each, and its holders
    coming: dict[
        str, int
    ] = {}  # servers that are in again and not seen ready yet: since which version


states = msgspec.msgpack.Decoder(FleetState)


class StateMachine:
    def __init__(self, data: bytes = b""):
        """Raises msgspec.DecodeError where `data` is no state."""
        self.state = states.decode(data) if data else FleetState()
        self.done: OrderedDict[str, tuple[bool, str]] = OrderedDict(
            (i, (ok, why)) for i, ok, why in self.state.done
        )

    def dump(self) -> bytes:
        self.state.done = [(ident, *result) for ident, result in self.done.items()]
        return encode(self.state)

    def apply(self, data: bytes) -> tuple[AnyCommand | None, tuple[bool, str]]:
        """The command and what came of it, for who asked. One that this program can't read changes nothing here and is named:
        the member must not act on what it does not understand."""
        try:
            command = commands.decode(data)
        except msgspec.DecodeError as error:
            return None, (False, f"unreadable: {error}")
        if command.ident in self.done:
            return command, self.done[command.ident]
        result = self.carry_out(command)
        self.done[command.ident] = result
        while len(self.done) > REMEMBERED:
            self.done.popitem(last=False)
        return command, result

    def carry_out(self, command: AnyCommand) -> tuple[bool, str]:
        s = self.state
        match command:
            case ProposeSettings(base=base, settings=settings):
                if base != s.settings_version:
                    return (
                        False,
                        f"stale: it was made on version {base}, version {s.settings_version} is the newest",
                    )
                if s.pending is not None:
                    return False, f"held: an offer by {s.pending.by} is being looked at"
                s.pending = PendingSettings(command.ident, command.by, command.at, settings)
                return True, "pending"
            case ActivateSettings(offer=offer):
                if s.pending is None or s.pending.offer != offer:
                    return False, "no such offer"
                s.settings, by, at = s.pending.settings, s.pending.by, s.pending.at
                s.pending = None
                self.next(by, at, "settings")
                s.settings_version = s.version
                s.kept = [*s.kept, (s.version, s.settings)][-SETTINGS_KEPT:]
                return True, f"version {s.version}"
            case RejectSettings(offer=offer, why=why):
                if s.pending is None or s.pending.offer != offer:
                    return False, "no such offer"
                self.note(s.pending.by, s.pending.at, "settings refused: " + "; ".join(why)[:500])
                s.pending = None
                return True, "; ".join(why)
            case RemoveFromRotation(server=server, seen=seen):
                if server in s.out:
                    return True, f"out since version {s.version} or before"
                if len(s.out) >= OUT_MOST:
                    return False, f"{OUT_MOST} servers are out already"
                if s.halted:
                    return False, self.said_halted()
                why = self.server_bound(server, seen)
                if why and not command.forced:
                    return False, why
                s.out[server] = command.by, command.at
                s.coming.pop(server, None)
                self.next(
                    command.by,
                    command.at,
                    f"server {server} out" + (f" by force: {why}" if why else ""),
                )
                return True, f"version {s.version}"
            case ReturnToRotation(server=server):
                if s.out.pop(server, None) is None:
                    return (
                        True,
                        f"release {s.release.plan.name} has it out"
                        if server in self.held_out()
                        else "it was not out",
                    )
                self.next(command.by, command.at, f"server {server} back")
                if server in self.held_out():
                    return (
                        True,
                        f"version {s.version}; release {s.release.plan.name} has it out still",
                    )
                s.coming[server] = s.version
                return True, f"version {s.version}"
            case ServersSeenReady(servers=servers):
                s.coming = {
                    server: version
                    for server, version in s.coming.items()
                    if servers.get(server) != version
                }
                return True, "noted"
            case UpdateEndpointList(generation=generation, epoch=epoch, servers=servers):
                # Guards against a list agent that is behind, and a word that overtook another: never back.
                if epoch != s.list_epoch or generation <= s.list_generation:
                    return False, f"list {generation} is not newer than {s.list_generation}"
                if len(servers) > LIST_MOST:
                    return False, f"more than {LIST_MOST} servers"
                s.servers, s.list_generation = servers, generation
                self.next(command.by, command.at, f"list {generation}")
                s.list_version = s.version
                return True, f"version {s.version}"
            case ResetListSource():
                s.list_epoch, s.list_generation = s.list_epoch + 1, -1
                self.next(command.by, command.at, "the list's source begins anew")
                return True, f"version {s.version}"
            case AddNote(what=what):
                self.note(command.by, command.at, what[:500])
                return True, "noted"
            case SetDesiredMembers(voters=voters, left=left):
                s.voters, s.left = voters, left
                self.note(
                    command.by,
                    command.at,
                    f"voters {', '.join(voters)}" + (f"; left {', '.join(left)}" if left else ""),
                )
                return True, "noted"
            case GrantLeave(name=name, zones=zones, seen=seen):
                why = self.balancer_bound(name, zones, seen)
                if s.halted:
                    why = self.said_halted()
                elif s.release is not None and s.release.members.get(name) in ("out", "changing"):
                    why = f"release {s.release.plan.name} is changing it"
                if why and not command.forced:
                    return False, why
                s.away[name] = command.by, command.at, command.why
                self.note(
                    command.by,
                    command.at,
                    f"balancer {name} out ({command.why})" + (f" by force: {why}" if why else ""),
                )
                return True, "it may go out"
            case Halt(why=why):
                self.halt(command.by, command.at, why)
                return True, self.said_halted()
            case Resume(halts=halts):
                if s.halted is None:
                    return True, "nothing was halted"
                if halts != s.halts:
                    return (
                        False,
                        f"halted again meanwhile; {self.said_halted()}. Look, and resume again",
                    )
                s.halted = None
                if s.release is not None:
                    s.release.boots = {}  # starts count from here on
                self.note(command.by, command.at, "resumed")
                return True, "resumed"
            case (
                BeginRelease()
                | GrantTurn()
                | ChangeStarted()
                | ChangeFinished()
                | WaveObserved()
                | RollBack()
                | PauseRelease()
                | TurnUnused()
            ):
                before = self.held_out()
                result = self.on_release(command)
                after = self.held_out()
                if (
                    result[0]
                    and s.release.plan.kind == SERVERS
                    and not isinstance(command, ChangeStarted)
                ):
                    # Balancers act on it: whom it has out is a part of the version.
                    self.next(
                        command.by,
                        command.at,
                        f"release {s.release.plan.name}: {len(after)} servers out",
                    )
                    s.coming |= dict.fromkeys(before - after - set(s.out), s.version)
                    s.coming = {
                        server: version
                        for server, version in s.coming.items()
                        if server not in after
                    }
                    if isinstance(command, GrantTurn):
                        s.release.out_since_version[command.name] = s.version
                return result
            case BalancerReturned(name=name, granted=granted):
                # Guards a grant that was agreed after this return was proposed.
                if s.away.get(name) != granted:
                    return False, "that place is not held"
                if s.release is not None:
                    releases.returned(s.release, name)
                del s.away[name]
                self.note(command.by, command.at, f"balancer {name} back")
                return True, "back"
            case PlaceReplicas(parts=parts):
                # The next view of each and no other: two leaders that both looked at one view make one.
                made = {
                    part: place
                    for part, place in parts.items()
                    if place[0] == s.parts.get(part, (0,))[0] + 1
                }
                s.parts = s.parts | made
                return True, f"{len(made)} of {len(parts)}"
            case FenceGroups(groups=groups, what=what):
                s.fenced = [*s.fenced, *groups][-20:]
                self.note(command.by, command.at, what[:500])
                return True, "noted"

    def said_halted(self) -> str:
        by, _, why = self.state.halted
        return f"halted by {by}: {why}"

    def balancer_bound(
        self, name: str, zones: dict[str, str], seen: dict[str, str], heals: bool = False
    ) -> str:
        granted = {
            who: f"{why}, by {by}" for who, (by, _, why) in self.state.away.items() if who in zones
        }
        return violation_reason(
            self.state.settings.get("bounds", {}).get("balancers", {}),
            zones,
            granted,
            seen,
            name,
            heals,
        )

    def change_bound(self, name: str, zones: dict[str, str], seen: dict[str, str]) -> str:
        """On the way back one that is surely out is healed by it, or what a bad version has done to more than the bound allows could never
        be undone."""
        if self.state.release.plan.kind == SERVERS:
            fallen = name in seen or self.state.release.members.get(name) == "failed"
            return self.server_bound(name, seen, self.state.release.phase == "back" and fallen)
        return self.balancer_bound(
            name, zones, seen, self.state.release.phase == "back" and seen.get(name) in SURELY
        )

    def on_release(self, command: AnyCommand) -> tuple[bool, str]:
        s, by, at = self.state, command.by, command.at
        if isinstance(command, BeginRelease):
            known = (
                [name for name, *_ in s.servers] if command.plan.kind == SERVERS else command.known
            )
            begun, why = releases.begin(command.plan, by, at, s.release, known)
            if begun is None:
                return False, why
            s.release = begun
            self.note(by, at, why)
            return True, why
        now = s.release
        if now is None:
            return False, "there is no release"
        if isinstance(command, RollBack | PauseRelease) and command.release != now.plan.name:
            return False, f"release {now.plan.name} by {now.by} has come since"
        match command:
            case GrantTurn(name=name, zones=zones, seen=seen, boot=boot):
                why = releases.may_go(now, name, s.halted is not None) or self.change_bound(
                    name, zones, seen
                )
                if now.plan.kind == SERVERS:
                    if not why:
                        releases.go(now, name, boot)
                    return not why, why or "it is out"
                if name in s.away:
                    why = why or f"{name} is out already: {s.away[name][2]}, by {s.away[name][0]}"
                if not why:
                    releases.go(now, name, boot)
                    s.away[name] = by, at, f"release {now.plan.name}"
            case ChangeStarted(name=name, to=to, zones=zones, seen=seen):
                why = releases.began(now, name, to, s.halted is not None) or self.change_bound(
                    name, zones, seen
                )
                if not why:
                    now.members[name] = "changing"
            case ChangeFinished(name=name, runs=runs, why=told):
                bad = releases.came(now, name, runs, told)
                if bad:
                    self.halt(f"release {now.plan.name}", at, bad)
                self.note(by, at, f"{name} runs {runs or 'nothing'}: {now.members.get(name)}")
                return True, bad or "noted"
            case TurnUnused(name=name):
                why = (
                    ""
                    if now.plan.kind == SERVERS and now.members.get(name) == "out"
                    else f"{name} is {now.members.get(name)}"
                )
                if not why:
                    releases.returned(now, name)
            case WaveObserved(wave=wave):
                why = releases.held(now, wave)
                if not why:
                    self.note(
                        by,
                        at,
                        f"release {now.plan.name}: wave {wave} has held"
                        + (", done" if now.phase == "done" else ""),
                    )
            case RollBack():
                why = releases.turn_back(now)
                if not why:
                    self.note(by, at, f"release {now.plan.name}: back")
            case PauseRelease(on=on):
                why = (
                    ""
                    if now.phase == ("running" if on else "paused")
                    else f"the release is {now.phase}"
                )
                if not why:
                    now.phase = "paused" if on else "running"
                    self.note(by, at, f"release {now.plan.name}: {now.phase}")
        return not why, why or "noted"

    def halt(self, by: str, at: int, why: str) -> None:
        # The first one's word stands: who halts twice must not hide who halted.
        self.state.halts += 1
        if self.state.halted is None:
            self.state.halted = by, at, why[:200]
            self.note(by, at, f"halt: {why[:200]}")

    def held_out(self) -> set[str]:
        """Servers that a release has out."""
        now = self.state.release
        if now is None or now.plan.kind != SERVERS:
            return set()
        return {
            name for name, status in now.members.items() if status in ("out", "changing", "failed")
        }

    def all_out(self) -> set[str]:
        """Servers that nothing new is to go to, whatever the list says."""
        return set(self.state.out) | self.held_out()

    def server_zones(self) -> dict[str, str]:
        return {name: str(zone) for name, zone, *_ in self.state.servers}

    def server_bound(self, server: str, seen: dict[str, str], heals: bool = False) -> str:
        """Why that one may not go out besides those out by hand, by a release and by the list, and those that balancers hold for bad.
        Which the list takes out nobody here can stop: it counts all the same."""
        s = self.state
        scopes = s.settings.get("bounds", {}).get("servers", {})
        if not scopes:
            return ""
        listed = {name: state for name, _, _, state, _, _ in s.servers if state != "ready"}
        granted = dict.fromkeys(s.coming, "not seen ready again") | {
            name: f"release {s.release.plan.name}" for name in self.held_out()
        }
        granted |= {name: f"by {by}" for name, (by, _) in s.out.items()}
        return violation_reason(scopes, self.server_zones(), granted, seen | listed, server, heals)

    def next(self, by: str, at: int, what: str) -> None:
        self.state.version += 1
        self.note(by, at, what)

    def note(self, by: str, at: int, what: str) -> None:
        self.state.history = [*self.state.history, HistoryRecord(self.state.version, by, at, what)][
            -HISTORY:
        ]
