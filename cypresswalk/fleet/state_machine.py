"""The fleet's replicated state machine: the same entries give the same state at every member.

No I/O, no clock, no randomness. Settings change by compare-and-set on the version that last changed
them. They take effect by a second command, after every acting balancer has reported that it can
read them. A command takes effect once however often it is proposed, since its id identifies it
(Raft dissertation, section 6.3).
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import msgspec

from cypresswalk.fleet.commands import (
    COMMAND_DECODER,
    ActivateSettings,
    AddNote,
    AnyCommand,
    BalancerReturned,
    BeginRelease,
    ChangeFinished,
    ChangeStarted,
    Command,
    FenceGroups,
    GrantLeave,
    GrantTurn,
    Halt,
    PauseRelease,
    PlaceReplicas,
    ProposeSettings,
    RejectSettings,
    RemoveFromRotation,
    ResetListSource,
    Resume,
    ReturnToRotation,
    RollBack,
    ServersSeenReady,
    SetDesiredMembers,
    TurnUnused,
    UpdateEndpointList,
    WaveObserved,
    encode,
)
from cypresswalk.fleet.disruption_bounds import balancer_bound, server_bound
from cypresswalk.fleet.records import STATE_DECODER, FleetState, PendingSettings
from cypresswalk.fleet.release_commands import apply_release_command
from cypresswalk.fleet.results import CommandResult
from cypresswalk.rollout import release as releases

MAX_REMEMBERED_RESULTS = 512  # enough since a requester repeats a command within seconds
MAX_SETTINGS_KEPT = 20  # versions that an operator can go back to
MAX_LISTED_SERVERS = 20_000
MAX_REMOVED_SERVERS = 10_000  # servers that operators have taken out of rotation
MAX_FENCED_GROUPS = 20
MAX_NOTE_LENGTH = 500  # characters


class StateMachine:
    """A `FleetState` to which the log's commands are applied, with the latest commands' results."""

    def __init__(self, snapshot: bytes = b""):
        """Start from a snapshot, or empty; raises msgspec.DecodeError if it can't be decoded."""
        self.state = STATE_DECODER.decode(snapshot) if snapshot else FleetState()
        self.results: OrderedDict[str, CommandResult] = OrderedDict(
            (ident, CommandResult(accepted, message))
            for ident, accepted, message in self.state.results
        )

    def dump(self) -> bytes:
        """Return a snapshot."""
        self.state.results = [
            (ident, result.accepted, result.message) for ident, result in self.results.items()
        ]
        return encode(self.state)

    def apply(self, data: bytes) -> tuple[AnyCommand | None, CommandResult]:
        """Apply an encoded command; return it and its result for the requester.

        For a command that can't be decoded return None and change nothing. The caller must then
        stop the member, since skipping the command would make its state differ from others.
        """
        try:
            command = COMMAND_DECODER.decode(data)
        except msgspec.DecodeError as error:
            return None, CommandResult(False, f"unreadable: {error}")
        known = self.results.get(command.ident)
        if known is not None:
            return command, known
        result = _HANDLERS[type(command)](self.state, command)
        self.results[command.ident] = result
        while len(self.results) > MAX_REMEMBERED_RESULTS:
            self.results.popitem(last=False)
        return command, result


def _in_version(state: FleetState) -> CommandResult:
    return CommandResult(True, f"version {state.version}")


def _by_force(why: str) -> str:
    return f" by force: {why}" if why else ""


def _propose_settings(state: FleetState, command: ProposeSettings) -> CommandResult:
    if command.base != state.settings_version:
        newest = state.settings_version
        why = f"stale: it was made on version {command.base}, version {newest} is the newest"
        return CommandResult(False, why)
    if state.pending is not None:
        return CommandResult(False, f"held: an offer by {state.pending.by} is being looked at")
    state.pending = PendingSettings(command.ident, command.by, command.at, command.settings)
    return CommandResult(True, "pending")


def _activate_settings(state: FleetState, command: ActivateSettings) -> CommandResult:
    pending = state.pending
    if pending is None or pending.proposal_id != command.proposal_id:
        return CommandResult(False, "no such offer")
    state.settings = pending.settings
    state.pending = None
    state.advance(pending.by, pending.at, "settings")
    state.settings_version = state.version
    settings_history = [*state.settings_history, (state.version, state.settings)]
    state.settings_history = settings_history[-MAX_SETTINGS_KEPT:]
    return _in_version(state)


def _reject_settings(state: FleetState, command: RejectSettings) -> CommandResult:
    pending = state.pending
    if pending is None or pending.proposal_id != command.proposal_id:
        return CommandResult(False, "no such offer")
    why = "; ".join(command.reasons)
    state.record(pending.by, pending.at, "settings refused: " + why[:MAX_NOTE_LENGTH])
    state.pending = None
    return CommandResult(True, why)


def _remove_from_rotation(state: FleetState, command: RemoveFromRotation) -> CommandResult:
    server = command.server
    if server in state.removed_servers:
        return CommandResult(True, f"out since version {state.version} or before")
    if len(state.removed_servers) >= MAX_REMOVED_SERVERS:
        return CommandResult(False, f"{MAX_REMOVED_SERVERS} servers are out already")
    if state.halted:
        return CommandResult(False, state.halt_reason())
    why = server_bound(state, server, command.seen)
    if why and not command.forced:
        return CommandResult(False, why)
    state.removed_servers[server] = command.by, command.at
    state.returning_servers.pop(server, None)
    state.advance(command.by, command.at, f"server {server} out" + _by_force(why))
    return _in_version(state)


def _return_to_rotation(state: FleetState, command: ReturnToRotation) -> CommandResult:
    server = command.server
    held_by = ""
    if state.release is not None and server in state.servers_out_for_release():
        held_by = f"release {state.release.plan.name} has it out"
    if state.removed_servers.pop(server, None) is None:
        return CommandResult(True, held_by or "it was not out")
    state.advance(command.by, command.at, f"server {server} back")
    if held_by:
        return CommandResult(True, f"version {state.version}; {held_by} still")
    state.returning_servers[server] = state.version
    return _in_version(state)


def _servers_seen_ready(state: FleetState, command: ServersSeenReady) -> CommandResult:
    state.returning_servers = {
        server: version
        for server, version in state.returning_servers.items()
        if command.servers.get(server) != version
    }
    return CommandResult(True, "noted")


def _update_endpoint_list(state: FleetState, command: UpdateEndpointList) -> CommandResult:
    # A list agent that lags behind, or entries out of order, must not bring back an older list.
    if command.epoch != state.list_epoch or command.generation <= state.list_generation:
        why = f"list {command.generation} is not newer than {state.list_generation}"
        return CommandResult(False, why)
    if len(command.servers) > MAX_LISTED_SERVERS:
        return CommandResult(False, f"more than {MAX_LISTED_SERVERS} servers")
    state.servers = command.servers
    state.list_generation = command.generation
    state.advance(command.by, command.at, f"list {command.generation}")
    state.list_version = state.version
    return _in_version(state)


def _reset_list_source(state: FleetState, command: ResetListSource) -> CommandResult:
    state.list_epoch += 1
    state.list_generation = -1
    state.advance(command.by, command.at, "the list's source begins anew")
    return _in_version(state)


def _add_note(state: FleetState, command: AddNote) -> CommandResult:
    state.record(command.by, command.at, command.what[:MAX_NOTE_LENGTH])
    return CommandResult(True, "noted")


def _set_desired_members(state: FleetState, command: SetDesiredMembers) -> CommandResult:
    state.voters = command.voters
    state.departed = command.departed
    what = f"voters {', '.join(command.voters)}"
    if command.departed:
        what += f"; left {', '.join(command.departed)}"
    state.record(command.by, command.at, what)
    return CommandResult(True, "noted")


def _grant_leave(state: FleetState, command: GrantLeave) -> CommandResult:
    name = command.name
    why = balancer_bound(state, name, command.zones, command.unavailable)
    release = state.release
    if state.halted:
        why = state.halt_reason()
    elif release is not None and release.members.get(name) in (
        releases.ChangeStatus.TURN_GRANTED,
        releases.ChangeStatus.CHANGING,
    ):
        why = f"release {release.plan.name} is changing it"
    if why and not command.forced:
        return CommandResult(False, why)
    state.leave_grants[name] = command.by, command.at, command.why
    what = f"balancer {name} out ({command.why})" + _by_force(why)
    state.record(command.by, command.at, what)
    return CommandResult(True, "it may go out")


def _balancer_returned(state: FleetState, command: BalancerReturned) -> CommandResult:
    # Keep a grant that was agreed after this return was proposed.
    if state.leave_grants.get(command.name) != command.grant:
        return CommandResult(False, "that place is not held")
    if state.release is not None:
        releases.end_unused_turn(state.release, command.name)
    del state.leave_grants[command.name]
    state.record(command.by, command.at, f"balancer {command.name} back")
    return CommandResult(True, "back")


def _halt(state: FleetState, command: Halt) -> CommandResult:
    state.halt(command.by, command.at, command.why)
    return CommandResult(True, state.halt_reason())


def _resume(state: FleetState, command: Resume) -> CommandResult:
    if state.halted is None:
        return CommandResult(True, "nothing was halted")
    if command.halts != state.halt_count:
        why = f"halted again meanwhile; {state.halt_reason()}. Look, and resume again"
        return CommandResult(False, why)
    state.halted = None
    if state.release is not None:
        state.release.boots_at_grant = {}  # only starts after the resumption count
    state.record(command.by, command.at, "resumed")
    return CommandResult(True, "resumed")


def _place_replicas(state: FleetState, command: PlaceReplicas) -> CommandResult:
    # Accept only each partition's next view: if two leaders propose it, the first one takes effect.
    accepted = {
        partition: placement
        for partition, placement in command.partitions.items()
        if placement[0] == state.partitions.get(partition, (0,))[0] + 1
    }
    state.partitions = state.partitions | accepted
    return CommandResult(True, f"{len(accepted)} of {len(command.partitions)}")


def _fence_groups(state: FleetState, command: FenceGroups) -> CommandResult:
    state.fenced_groups = [*state.fenced_groups, *command.groups][-MAX_FENCED_GROUPS:]
    state.record(command.by, command.at, command.what[:MAX_NOTE_LENGTH])
    return CommandResult(True, "noted")


_HANDLERS: dict[type[Command], Callable[[FleetState, Any], CommandResult]] = {
    ProposeSettings: _propose_settings,
    ActivateSettings: _activate_settings,
    RejectSettings: _reject_settings,
    RemoveFromRotation: _remove_from_rotation,
    ReturnToRotation: _return_to_rotation,
    ServersSeenReady: _servers_seen_ready,
    UpdateEndpointList: _update_endpoint_list,
    ResetListSource: _reset_list_source,
    AddNote: _add_note,
    SetDesiredMembers: _set_desired_members,
    GrantLeave: _grant_leave,
    BalancerReturned: _balancer_returned,
    Halt: _halt,
    Resume: _resume,
    PlaceReplicas: _place_replicas,
    FenceGroups: _fence_groups,
    BeginRelease: apply_release_command,
    GrantTurn: apply_release_command,
    ChangeStarted: apply_release_command,
    ChangeFinished: apply_release_command,
    TurnUnused: apply_release_command,
    WaveObserved: apply_release_command,
    RollBack: apply_release_command,
    PauseRelease: apply_release_command,
}
