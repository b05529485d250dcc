"""Building of the command for a call. No I/O, no clock.

All functions raise KeyError, TypeError, ValueError or msgspec.ValidationError if the arguments are
malformed or the command could never be applied.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from cypresswalk.fleet.commands import (
    AddNote,
    AnyCommand,
    BeginRelease,
    ChangeFinished,
    ChangeStarted,
    GrantLeave,
    Halt,
    PauseRelease,
    ProposeSettings,
    RemoveFromRotation,
    ResetListSource,
    Resume,
    ReturnToRotation,
    RollBack,
    SetDesiredMembers,
)
from cypresswalk.fleet.leader import LeaderDuties
from cypresswalk.fleet.records import FleetState
from cypresswalk.rollout.release import MemberKind, Plan

MAX_VOTERS = 7
NEVER = 1 << 62  # greater than any version

# Calls whose arguments are the fields of a command.
CALL_COMMANDS: dict[str, type[AnyCommand]] = {
    "offer": ProposeSettings,
    "out": RemoveFromRotation,
    "back": ReturnToRotation,
    "note": AddNote,
    "renew": ResetListSource,
    "halt": Halt,
    "resume": Resume,
    "release_came": ChangeFinished,
    "release_back": RollBack,
    "release_pause": PauseRelease,
}


def command_of_call(duties: LeaderDuties, now: int, name: str, args: dict[str, Any]) -> AnyCommand:
    """Return the command for a call; raise BusyError if too little is known yet."""
    builder = _BUILDERS.get(name)
    if builder is not None:
        return builder(duties, now, args)
    command_class = CALL_COMMANDS.get(name)
    if command_class is None:
        raise ValueError("no such call")
    if name == "out":
        args = args | {"seen": _unhealthy_for_removal(duties, now, args)}
    command = command_class(**args)
    return msgspec.convert(msgspec.to_builtins(command), command_class)


def _unhealthy_for_removal(duties: LeaderDuties, now: int, args: dict[str, Any]) -> dict[str, str]:
    # During a halt the removal is refused anyway. The caller should get that reason, not BusyError.
    if args.get("forced") or duties.context.state.halted:
        return duties.servers.unhealthy(now)
    return duties.servers.unhealthy_for_bound(now)


def _header(args: dict[str, Any]) -> tuple[str, str, int]:
    return str(args["ident"]), str(args["by"]), int(args["at"])


def _begin_release(duties: LeaderDuties, now: int, args: dict[str, Any]) -> AnyCommand:
    plan = msgspec.convert(args["plan"], Plan)
    return BeginRelease(*_header(args), plan, sorted(duties.context.zones()))


def _grant_leave(duties: LeaderDuties, now: int, args: dict[str, Any]) -> AnyCommand:
    return GrantLeave(
        *_header(args),
        name=str(args["member"]),
        why=str(args["why"]),
        forced=bool(args.get("forced")),
        zones=duties.context.zones(),
        unavailable=duties.balancers.unavailable(now),
    )


def _change_started(duties: LeaderDuties, now: int, args: dict[str, Any]) -> AnyCommand:
    header = _header(args)
    name = str(args["member"])
    context = duties.context
    release = context.state.release
    if release is None or release.plan.kind != MemberKind.SERVERS:
        unavailable = duties.balancers.unavailable(now)
        return ChangeStarted(*header, name, str(args["to"]), context.zones(), unavailable)
    if not duties.all_act_on(release.out_since_version.get(name, NEVER), now):
        raise ValueError("not every balancer has taken the server out of rotation yet")
    to = str(args["to"])
    return ChangeStarted(*header, name, to, {}, duties.servers.unhealthy_for_bound(now))


def _join(duties: LeaderDuties, now: int, args: dict[str, Any]) -> AnyCommand:
    state, member = duties.context.state, str(args["member"])
    voters = list(state.voters)
    if args.get("voter") and member not in voters:
        voters.append(member)
    departed = [name for name in state.departed if name != member]
    return _desired_members(args, voters, departed)


def _leave(duties: LeaderDuties, now: int, args: dict[str, Any]) -> AnyCommand:
    state, member = duties.context.state, str(args["member"])
    voters = [name for name in state.voters if name != member]
    return _desired_members(args, voters, sorted({*state.departed, member}))


def _replace(duties: LeaderDuties, now: int, args: dict[str, Any]) -> AnyCommand:
    context, member, other = duties.context, str(args["member"]), str(args["other"])
    state: FleetState = context.state
    if member not in state.voters:
        raise ValueError(f"{member} is no voter; the voters are {', '.join(state.voters)}")
    if not any(existing.name == other for existing in context.members):
        raise ValueError(f"{other} is no member yet")
    voters = [other if name == member else name for name in state.voters]
    return _desired_members(args, voters, sorted({*state.departed, member} - {other}))


def _desired_members(args: dict[str, Any], voters: list[str], departed: list[str]) -> AnyCommand:
    if not 1 <= len(voters) <= MAX_VOTERS or len(set(voters)) != len(voters):
        raise ValueError(f"{len(voters)} voters; 1 to {MAX_VOTERS} are allowed")
    return SetDesiredMembers(*_header(args), voters, departed)


_BUILDERS: dict[str, Callable[[LeaderDuties, int, dict[str, Any]], AnyCommand]] = {
    "join": _join,
    "leave": _leave,
    "replace": _replace,
    "release_begin": _begin_release,
    "go_out": _grant_leave,
    "release_began": _change_started,
}
