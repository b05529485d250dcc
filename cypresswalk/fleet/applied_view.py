"""The part of the agreed state that the deciding thread acts on."""

from dataclasses import dataclass
from typing import Any

from cypresswalk.fleet.records import FleetState, ListedServer
from cypresswalk.rollout.release import UNFINISHED_PHASES, MemberKind

# A leave grant whose reason begins with this lasts until an operator ends the drain.
DRAINED = "drained"
DRAIN_ENDED = "called back"  # the reason of the leave grant that ends a drain


@dataclass(frozen=True, slots=True)
class AppliedView:
    """One version of the agreed state.

    Attributes:
        version: number of this version.
        settings_version: the version that last changed the settings.
        settings: the agreed settings.
        servers_out: names of the servers that get no new flows, sorted.
        list_version: the version that last changed the endpoint list.
        servers: the agreed endpoint list.
        drained_balancers: names of the balancers that an operator has drained.
        report_servers: whether balancers report the flow counts of each server, as they do during
            a release of servers.
    """

    version: int
    settings_version: int
    settings: dict[str, Any]
    servers_out: tuple[str, ...]
    list_version: int
    servers: tuple[ListedServer, ...]
    drained_balancers: tuple[str, ...] = ()
    report_servers: bool = False


def view_of(state: FleetState) -> AppliedView:
    """Return the view of the fleet state `state`."""
    release = state.release
    drained = tuple(
        name for name, (_, _, why) in state.leave_grants.items() if why.startswith(DRAINED)
    )
    return AppliedView(
        version=state.version,
        settings_version=state.settings_version,
        settings=state.settings,
        servers_out=tuple(sorted(state.servers_out())),
        list_version=state.list_version,
        servers=tuple(state.servers),
        drained_balancers=drained,
        report_servers=release is not None
        and release.plan.kind == MemberKind.SERVERS
        and release.phase in UNFINISHED_PHASES,
    )
