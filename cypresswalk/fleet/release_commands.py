"""Handlers of the release commands: a table from command class to function on the fleet's state.

No I/O, no clock. What counts against the bound is, in a release of balancers, their leave grants,
and in a release of servers, the servers that it keeps out of rotation. Each change of the
latter starts a new version.
"""

from collections.abc import Callable
from typing import Any

from cypresswalk.fleet.commands import (
    BeginRelease,
    ChangeFinished,
    ChangeStarted,
    Command,
    GrantTurn,
    PauseRelease,
    RollBack,
    TurnUnused,
    WaveObserved,
)
from cypresswalk.fleet.disruption_bounds import change_bound
from cypresswalk.fleet.records import FleetState
from cypresswalk.fleet.results import CommandResult
from cypresswalk.rollout import release as releases
from cypresswalk.rollout.release import ChangeStatus, MemberKind, Phase, Release


def apply_release_command(state: FleetState, command: Command) -> CommandResult:
    """Apply a release command; for a release of servers, all but ChangeStarted start a version."""
    before = state.servers_out_for_release()
    if isinstance(command, BeginRelease):
        result = _begin_release(state, command)
    else:
        result = _apply_to_current(state, command)
    release = state.release
    if (
        result.accepted
        and release is not None
        and release.plan.kind == MemberKind.SERVERS
        and not isinstance(command, ChangeStarted)
    ):
        _advance_server_release(state, release, command, before)
    return result


def _advance_server_release(
    state: FleetState, release: Release, command: Command, before: set[str]
) -> None:
    after = state.servers_out_for_release()
    what = f"release {release.plan.name}: {len(after)} servers out"
    state.advance(command.by, command.at, what)
    returned = before - after - set(state.removed_servers)
    state.returning_servers |= dict.fromkeys(returned, state.version)
    state.returning_servers = {
        server: version
        for server, version in state.returning_servers.items()
        if server not in after
    }
    if isinstance(command, GrantTurn):
        release.out_since_version[command.name] = state.version


def _begin_release(state: FleetState, command: BeginRelease) -> CommandResult:
    known = command.known
    if command.plan.kind == MemberKind.SERVERS:
        known = [name for name, *_ in state.servers]
    begun, why = releases.begin(command.plan, command.by, command.at, state.release, known)
    if begun is None:
        return CommandResult(False, why)
    state.release = begun
    state.record(command.by, command.at, why)
    return CommandResult(True, why)


def _apply_to_current(state: FleetState, command: Command) -> CommandResult:
    release = state.release
    if release is None:
        return CommandResult(False, "there is no release")
    if isinstance(command, RollBack | PauseRelease) and command.release != release.plan.name:
        why = f"release {release.plan.name} by {release.started_by} has come since"
        return CommandResult(False, why)
    return _HANDLERS[type(command)](state, release, command)


def _result(why: str) -> CommandResult:
    return CommandResult(not why, why or "noted")


def _grant_turn(state: FleetState, release: Release, command: GrantTurn) -> CommandResult:
    name = command.name
    why = releases.turn_objection(release, name, state.halted is not None) or change_bound(
        state, name, command.zones, command.unavailable
    )
    if release.plan.kind == MemberKind.SERVERS:
        if not why:
            releases.grant_turn(release, name, command.boot)
        return CommandResult(not why, why or "it is out")
    if name in state.leave_grants:
        by, _, granted_for = state.leave_grants[name]
        why = why or f"{name} is out already: {granted_for}, by {by}"
    if not why:
        releases.grant_turn(release, name, command.boot)
        state.leave_grants[name] = command.by, command.at, f"release {release.plan.name}"
    return _result(why)


def _change_started(state: FleetState, release: Release, command: ChangeStarted) -> CommandResult:
    name = command.name
    why = releases.start_objection(
        release, name, command.to, state.halted is not None
    ) or change_bound(state, name, command.zones, command.unavailable)
    if not why:
        release.members[name] = ChangeStatus.CHANGING
    return _result(why)


def _change_finished(state: FleetState, release: Release, command: ChangeFinished) -> CommandResult:
    name = command.name
    problem = releases.record_report(release, name, command.runs, command.why)
    if problem:
        state.halt(f"release {release.plan.name}", command.at, problem)
    what = f"{name} runs {command.runs or 'nothing'}: {release.members.get(name)}"
    state.record(command.by, command.at, what)
    return CommandResult(True, problem or "noted")


def _turn_unused(state: FleetState, release: Release, command: TurnUnused) -> CommandResult:
    status = release.members.get(command.name)
    if release.plan.kind != MemberKind.SERVERS or status != ChangeStatus.TURN_GRANTED:
        return CommandResult(False, f"{command.name} is {status}")
    releases.end_unused_turn(release, command.name)
    return _result("")


def _wave_observed(state: FleetState, release: Release, command: WaveObserved) -> CommandResult:
    why = releases.pass_wave(release, command.wave)
    if not why:
        done = ", done" if release.phase == Phase.DONE else ""
        what = f"release {release.plan.name}: wave {command.wave} has held{done}"
        state.record(command.by, command.at, what)
    return _result(why)


def _roll_back(state: FleetState, release: Release, command: RollBack) -> CommandResult:
    why = releases.roll_back(release)
    if not why:
        state.record(command.by, command.at, f"release {release.plan.name}: back")
    return _result(why)


def _pause_release(state: FleetState, release: Release, command: PauseRelease) -> CommandResult:
    if release.phase != (Phase.RUNNING if command.on else Phase.PAUSED):
        return _result(f"the release is {release.phase}")
    release.phase = Phase.PAUSED if command.on else Phase.RUNNING
    state.record(command.by, command.at, f"release {release.plan.name}: {release.phase}")
    return _result("")


_HANDLERS: dict[type[Command], Callable[[FleetState, Release, Any], CommandResult]] = {
    GrantTurn: _grant_turn,
    ChangeStarted: _change_started,
    ChangeFinished: _change_finished,
    TurnUnused: _turn_unused,
    WaveObserved: _wave_observed,
    RollBack: _roll_back,
    PauseRelease: _pause_release,
}
