"""The leader's record of the balancers and servers that are out, and its duties for them.

No I/O, no clock.
"""

from dataclasses import dataclass

from cypresswalk.agreement.errors import BusyError
from cypresswalk.fleet.commands import BalancerReturned, ServersSeenReady
from cypresswalk.fleet.leases import LeaseGrants
from cypresswalk.fleet.member_context import MemberContext
from cypresswalk.fleet.server_observations import INCONCLUSIVE_REASON, ServerObservations
from cypresswalk.fleet.unavailability import UnavailabilityTracker
from cypresswalk.rollout.evidence import ServedCounts
from cypresswalk.rollout.release import ChangeStatus


@dataclass(frozen=True, slots=True)
class BalancerReport:
    """A balancer's latest report on itself.

    Attributes:
        served: flow counts of its process.
        received_at: time of receipt, nanoseconds.
        boot: number of its starts under its identity.
    """

    served: ServedCounts
    received_at: int
    boot: int


class BalancerDuty:
    """Duty to track which balancers are out and to end their leave grants."""

    def __init__(self, context: MemberContext, grants: LeaseGrants | None):
        """Begin with nothing known."""
        self.context = context
        self.grants = grants
        self.tracker = UnavailabilityTracker(context.config.max_contradiction)
        # By balancer name.
        self.reports: dict[str, BalancerReport] = {}

    def unavailable(self, now: int) -> dict[str, str]:
        """Return the balancers that are out, by name, each with the reason."""
        context, grants = self.context, self.grants
        unreachable = {m.id for m in context.members if not context.heard_recently(now, m.id)}
        # Without leadership, the state of the members' leases is unknown.
        lapsed = {
            member for member in unreachable if grants is not None and grants.lapsed(now, member)
        }
        departed = context.state.departed
        return self.tracker.unavailable(now, context.members, departed, unreachable, lapsed)

    def run(self, now: int) -> None:
        """End the next leave grant that is over; raise BusyError if the log is busy."""
        context = self.context
        grants = context.state.leave_grants
        release = context.state.release
        statuses = release.members if release is not None else {}
        ended = self.tracker.next_ended_grant(
            now,
            grants,
            changing={name for name in grants if statuses.get(name) == ChangeStatus.CHANGING},
            waiting={name for name in grants if statuses.get(name) == ChangeStatus.TURN_GRANTED},
            unavailable=self.unavailable(now),
            present={member.name for member in context.members},
        )
        if ended is not None:
            context.propose(now, BalancerReturned(*context.command_header("return"), *ended))


class ServerDuty:
    """Duty to track which servers are out and to record returning ones that were seen ready."""

    def __init__(self, context: MemberContext, grants: LeaseGrants | None):
        """Begin with nothing known."""
        self.context = context
        self.grants = grants
        self.observations = ServerObservations(context.config.max_contradiction)

    def unhealthy(self, now: int) -> dict[str, str]:
        """Return the servers that balancers are known to find unhealthy, each with the reason."""
        return self.observations.unhealthy(now, self.context.remaining_ids())

    def is_conclusive(self, now: int) -> bool:
        """Return whether enough balancers have reported recently."""
        return self.observations.conclusive(now, self.context.remaining_ids())

    def unhealthy_for_bound(self, now: int) -> dict[str, str]:
        """Return the same as `unhealthy`; raise BusyError if a bound depends on too few reports."""
        bounds = self.context.state.settings.get("bounds", {})
        if not self.is_conclusive(now) and bounds.get("servers"):
            raise BusyError(INCONCLUSIVE_REASON)
        return self.unhealthy(now)

    def open_flows(self, now: int, server: str) -> int | None:
        """Return a server's flows at all balancers that may act; None without all reports."""
        acting = {
            member
            for member in self.context.remaining_ids()
            if self.grants is None or not self.grants.lapsed(now, member)
        }
        return self.observations.open_flows(now, acting, server)

    def run(self, now: int) -> None:
        """Record returning servers that were seen ready; raise BusyError if the log is busy."""
        context = self.context
        members = context.remaining_ids()
        self.observations.retain(members)
        returning = context.state.returning_servers
        if not returning:
            return
        listed = {name for name, *_ in context.state.servers}
        ready = self.observations.seen_ready(now, members, returning, listed)
        if ready:
            context.propose(now, ServersSeenReady(*context.command_header("seen"), ready))
