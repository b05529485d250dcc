"""Linearizable reads, which the leader answers after confirming that nothing newer was agreed.

No I/O, no clock. The keys of the answers are part of the tools' interface.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from cypresswalk.agreement.messages import Member
from cypresswalk.fleet.disruption_bounds import change_bound
from cypresswalk.fleet.leader import LeaderDuties
from cypresswalk.fleet.member_context import SECOND
from cypresswalk.fleet.server_observations import INCONCLUSIVE_REASON
from cypresswalk.rollout.release import ChangeStatus, MemberKind, Release

NEVER = 1 << 62  # greater than any version, so no balancer acts on it


def show(duties: LeaderDuties, now: int) -> dict[str, Any]:
    """Return the agreed settings and endpoint list, and the servers that operators took out."""
    state = duties.context.state
    return {
        "version": state.version,
        "settings_version": state.settings_version,
        "settings": state.settings,
        "out": state.removed_servers,
        "list_generation": state.list_generation,
        "list_version": state.list_version,
        "servers": state.servers,
        "pending": msgspec.to_builtins(state.pending),
        "kept": state.settings_history,
    }


def history(duties: LeaderDuties, now: int) -> dict[str, Any]:
    """Return the history records: author, time and change."""
    return {"history": [msgspec.to_builtins(record) for record in duties.context.state.history]}


def copies(duties: LeaderDuties, now: int) -> dict[str, Any]:
    """Return the placement of the replicas of idempotency keys."""
    if duties.replicas is None:
        return {"copies": 0}
    return duties.replicas.placement.report(now, duties.context.state.partitions)


def release(duties: LeaderDuties, now: int) -> dict[str, Any]:
    """Return the current release and what it waits for."""
    state = duties.context.state
    return {
        "release": msgspec.to_builtins(state.release),
        "halted": state.halted,
        "halts": state.halt_count,
        "away": state.leave_grants,
        "waits": duties.releases.control.waits_for,
        "seen_out": duties.balancers.unavailable(now),
        "servers_bad": duties.servers.unhealthy(now),
        "coming": state.returning_servers,
        "served": {
            name: [f.served.established, f.served.rejected, f.served.failed, f.served.setup_ns]
            for name, f in duties.balancers.reports.items()
        },
    }


def turn(duties: LeaderDuties, now: int, name: str) -> dict[str, Any]:
    """Return the state of the release for the agent of target `name`, which polls twice a second.

    The key `crowded` is the reason why a target that is being changed may not go out now, if others
    became unavailable in the meantime, or an empty string.
    """
    current = duties.context.state.release
    if current is None or name not in current.members:
        return {"status": ""}
    if current.plan.kind == MemberKind.SERVERS:
        return _server_turn(duties, now, name, current)
    return _common_turn(duties, name, current) | {
        "crowded": _balancer_bound_objection(duties, now, name, current),
    }


def _common_turn(duties: LeaderDuties, name: str, current: Release) -> dict[str, Any]:
    return {
        "status": current.members[name],
        "since": current.plan.from_version,
        "to": current.plan.to_version,
        "phase": current.phase,
        "halted": duties.context.state.halted is not None,
    }


def _balancer_bound_objection(duties: LeaderDuties, now: int, name: str, current: Release) -> str:
    if current.members[name] != ChangeStatus.CHANGING:
        return ""
    context = duties.context
    unavailable = duties.balancers.unavailable(now)
    return change_bound(context.state, name, context.zones(), unavailable)


def _server_turn(duties: LeaderDuties, now: int, name: str, current: Release) -> dict[str, Any]:
    crowded = ""
    if current.members[name] == ChangeStatus.CHANGING:
        crowded = INCONCLUSIVE_REASON
        if duties.servers.is_conclusive(now):
            unavailable = duties.servers.unhealthy(now)
            crowded = change_bound(duties.context.state, name, {}, unavailable)
    return _common_turn(duties, name, current) | {
        "crowded": crowded,
        "settled": duties.all_act_on(current.out_since_version.get(name, NEVER), now),
        "standing": duties.servers.open_flows(now, name),
        "empty_s": current.plan.drain_timeout_s,
    }


def status(duties: LeaderDuties, now: int) -> dict[str, Any]:
    """Return the leader, the members with their replication lag, and what is out of rotation."""
    context = duties.context
    state = context.state
    placement = duties.replicas.placement if duties.replicas is not None else None
    servers_out = sorted(state.servers_out())
    return {
        "group": context.group,
        "leader": context.id,
        "term": context.raft.term,
        "index": context.raft.commit_index,
        "version": state.version,
        "settings_version": state.settings_version,
        "list_generation": state.list_generation,
        "list_version": state.list_version,
        "out": state.removed_servers,
        "voters": state.voters,
        "left": state.departed,
        "pending": msgspec.to_builtins(state.pending),
        "members": [_member_status(duties, now, member) for member in context.members],
        "away": state.leave_grants,
        "seen_out": duties.balancers.unavailable(now),
        "halted": state.halted,
        "halts": state.halt_count,
        "bounds": state.settings.get("bounds", {}),
        "held_out": sorted(state.servers_out_for_release()),
        "coming": state.returning_servers,
        "servers_bad": duties.servers.unhealthy(now),
        "standing": {name: duties.servers.open_flows(now, name) for name in servers_out},
        "parts_without_copies": sorted(placement.unreachable) if placement is not None else [],
    }


def _member_status(duties: LeaderDuties, now: int, member: Member) -> dict[str, Any]:
    node = duties.context.raft
    peer = node.peers.get(member.id)
    acting = duties.applied_versions.get(member.id)
    since = acting.since if acting is not None else now
    return {
        "id": member.id,
        "name": member.name,
        "voter": member.voter,
        "address": member.address,
        "zone": member.zone,
        "leads": member.id == duties.context.id,
        "acts_on": acting.version if acting is not None else None,
        "since_s": round((now - since) / SECOND, 1),
        "lapsed": duties.grants.lapsed(now, member.id) if duties.grants is not None else None,
        "heard_s": 0.0 if peer is None else round((now - peer.last_response_at) / SECOND, 1),
        "behind": 0 if peer is None else node.log.last_index - peer.match_index,
        "wipes": duties.data_losses.get(member.id, 0),
    }


QUERIES: dict[str, Callable[[LeaderDuties, int], dict[str, Any]]] = {
    "status": status,
    "show": show,
    "history": history,
    "copies": copies,
    "release": release,
}
