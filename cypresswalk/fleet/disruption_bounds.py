"""Checks of whether the agreed bounds allow one more balancer or server to go out of service.

All functions are pure.
"""

from cypresswalk.fleet.records import FleetState
from cypresswalk.fleet.unavailability import CERTAINLY_OUT
from cypresswalk.rollout.bounds import violation_reason
from cypresswalk.rollout.release import ChangeStatus, MemberKind, Phase


def balancer_bound(
    state: FleetState,
    name: str,
    zones: dict[str, str],
    unavailable: dict[str, str],
    is_repair: bool = False,
) -> str:
    """Return why the balancer may not go out, or an empty string.

    Args:
        state: the agreed state, with the bounds and the leave grants.
        name: name of the balancer.
        zones: zones of all members, by name.
        unavailable: members that the leader considers out, each with the reason.
        is_repair: whether the change is to bring back a balancer that is out already.
    """
    granted = {
        member: f"{why}, by {by}"
        for member, (by, _, why) in state.leave_grants.items()
        if member in zones
    }
    scopes = state.settings.get("bounds", {}).get("balancers", {})
    return violation_reason(scopes, zones, granted, unavailable, name, is_repair)


def server_bound(
    state: FleetState, server: str, unavailable: dict[str, str], is_repair: bool = False
) -> str:
    """Return why the server may not go out, or an empty string.

    Servers count as out if an operator, a release or the endpoint list has taken them out, if they
    have not been seen ready since their return, or if they are in `unavailable`, the servers that
    balancers find unhealthy.
    """
    scopes = state.settings.get("bounds", {}).get("servers", {})
    if not scopes:
        return ""
    zones = {name: str(zone) for name, zone, *_ in state.servers}
    listed = {name: status for name, _, _, status, _, _ in state.servers if status != "ready"}
    granted = dict.fromkeys(state.returning_servers, "not seen ready again")
    if state.release is not None:
        reason = f"release {state.release.plan.name}"
        granted |= dict.fromkeys(state.servers_out_for_release(), reason)
    granted |= {name: f"by {by}" for name, (by, _) in state.removed_servers.items()}
    return violation_reason(scopes, zones, granted, unavailable | listed, server, is_repair)


def change_bound(
    state: FleetState, name: str, zones: dict[str, str], unavailable: dict[str, str]
) -> str:
    """Return why the current release may not change that balancer or server, or an empty string.

    During a rollback, changing a balancer or server that is certainly out counts as a repair.
    Otherwise a bad version that took out more than the bound allows could never be rolled back.
    """
    release = state.release
    if release is None:
        raise ValueError("there is no release")
    rolls_back = release.phase == Phase.ROLLING_BACK
    if release.plan.kind == MemberKind.SERVERS:
        failed = name in unavailable or release.members.get(name) == ChangeStatus.FAILED
        return server_bound(state, name, unavailable, rolls_back and failed)
    certainly_out = unavailable.get(name) in CERTAINLY_OUT
    return balancer_bound(state, name, zones, unavailable, rolls_back and certainly_out)
