"""What whoever leads tells those who ask: nothing older than what was agreed when they asked. No I/O, no clock."""

from typing import TYPE_CHECKING, Any

import msgspec

from cypresswalk.fleet.disruption_bounds import change_bound
from cypresswalk.fleet.records import SERVERS
from cypresswalk.fleet.unavailability import SECOND

if TYPE_CHECKING:
    from cypresswalk.fleet.member import Member

UNTOLD = "most balancers have not said yet which servers are bad"


def show(member: "Member", now: int) -> dict[str, Any]:
    s = member.agreed.state
    return {
        "version": s.version,
        "settings_version": s.settings_version,
        "settings": s.settings,
        "out": s.removed_servers,
        "list_generation": s.list_generation,
        "list_version": s.list_version,
        "servers": s.servers,
        "pending": msgspec.to_builtins(s.pending),
        "kept": s.settings_history,
    }


def copies(member: "Member", now: int) -> dict[str, Any]:
    return (
        member.placing.told(now, member.agreed.state.partitions)
        if member.placing is not None
        else {"copies": 0}
    )


def release(member: "Member", now: int) -> dict[str, Any]:
    s = member.agreed.state
    return {
        "release": msgspec.to_builtins(s.release),
        "halted": s.halted,
        "halts": s.halt_count,
        "away": s.leave_grants,
        "waits": member.releasing.last,
        "seen_out": member.seen_out(now),
        "servers_bad": member.wards.bad(now, member.idents()),
        "coming": s.returning_servers,
        "served": {
            name: [f.up, f.rejected, f.failed, f.took] for name, (f, _) in member.figures.items()
        },
    }


def turn(member: "Member", now: int, name: str) -> dict[str, Any]:
    """To its agent, which asks twice a second: no more than that needs. `crowded`: why one that is being changed may not go out now,
    since others were lost meanwhile."""
    s = member.agreed.state
    if s.release is None or name not in s.release.members:
        return {"status": ""}
    plan, status = s.release.plan, s.release.members[name]
    if plan.kind == SERVERS:
        seen = member.wards.bad(now, member.idents())
        told = member.wards.can_tell(now, member.idents())
        return {
            "status": status,
            "since": plan.since,
            "to": plan.to,
            "phase": s.release.phase,
            "halted": s.halted is not None,
            "crowded": ""
            if status != "changing"
            else change_bound(member.agreed.state, name, {}, seen)
            if told
            else UNTOLD,
            "settled": member.settled(s.release.outs.get(name, 1 << 62), now),
            "standing": member.standing(now, name),
            "empty_s": plan.empty_s,
        }
    return {
        "status": status,
        "since": plan.since,
        "to": plan.to,
        "phase": s.release.phase,
        "halted": s.halted is not None,
        "crowded": change_bound(member.agreed.state, name, member.zones(), member.seen_out(now))
        if status == "changing"
        else "",
    }


def history(member: "Member", now: int) -> dict[str, Any]:
    return {"history": [msgspec.to_builtins(record) for record in member.agreed.state.history]}


def status(member: "Member", now: int) -> dict[str, Any]:
    s, members = member.agreed.state, []
    for m in member.members:
        peer = member.node.peers.get(m.id)
        acts, since = member.acting.get(m.id, (None, now))
        members.append(
            {
                "id": m.id,
                "name": m.name,
                "voter": m.voter,
                "address": m.address,
                "zone": m.zone,
                "leads": m.id == member.id,
                "acts_on": acts,
                "since_s": round((now - since) / SECOND, 1),
                "lapsed": member.given.lapsed(now, m.id) if member.given else None,
                "heard_s": 0.0 if peer is None else round((now - peer.heard_at) / SECOND, 1),
                "behind": 0 if peer is None else member.node.log.last - peer.match,
                "wipes": member.wiped.get(m.id, 0),
            }
        )
    return {
        "group": member.group,
        "leader": member.id,
        "term": member.node.term,
        "index": member.node.commit,
        "version": s.version,
        "settings_version": s.settings_version,
        "list_generation": s.list_generation,
        "list_version": s.list_version,
        "out": s.removed_servers,
        "voters": s.voters,
        "left": s.departed,
        "pending": msgspec.to_builtins(s.pending),
        "members": members,
        "away": s.leave_grants,
        "seen_out": member.seen_out(now),
        "halted": s.halted,
        "halts": s.halt_count,
        "bounds": s.settings.get("bounds", {}),
        "held_out": sorted(member.agreed.state.servers_out_for_release()),
        "coming": s.returning_servers,
        "servers_bad": member.wards.bad(now, member.idents()),
        "standing": {
            name: member.standing(now, name) for name in sorted(member.agreed.state.servers_out())
        },
        "parts_without_copies": sorted(member.placing.away) if member.placing is not None else [],
    }
