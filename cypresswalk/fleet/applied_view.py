"""The part of the agreed state that the deciding thread acts on."""

from dataclasses import dataclass
from typing import Any

from cypresswalk.fleet.records import FleetState, ListedServer
from cypresswalk.rollout.release import UNFINISHED, MemberKind

DRAINED = "drained"  # so begins the reason of a leave that lasts until the balancer is called back
CALLED_BACK = "called back"


@dataclass(frozen=True, slots=True)
class AppliedView:
    """One version of the agreed state.

    Attributes:
        version: its number.
        settings_version: the version that last changed the settings.
        settings: as agreed.
        servers_out: servers that get no new flow, sorted.
        list_version: the version that last changed the endpoint list.
        servers: the endpoint list.
        drained_balancers: those that were drained by call.
        report_servers: servers are being changed: what each answers is to be reported.
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
    """Return the view of that state."""
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
        and release.phase in UNFINISHED,
    )
