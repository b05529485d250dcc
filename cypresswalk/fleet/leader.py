"""The leader's duties, in the order in which it carries them out. No I/O, no clock."""

from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from cypresswalk.agreement.errors import BusyError
from cypresswalk.fleet.leader_availability import BalancerDuty, BalancerReport, ServerDuty
from cypresswalk.fleet.leader_membership import MembershipDuty
from cypresswalk.fleet.leader_releases import ReleaseDuty
from cypresswalk.fleet.leader_replicas import ReplicaDuty
from cypresswalk.fleet.leader_settings import EndpointListDuty, SettingsDuty
from cypresswalk.fleet.leases import LeaseGrants
from cypresswalk.fleet.member_context import SECOND, MemberContext
from cypresswalk.fleet.messages import LeaseRequest
from cypresswalk.fleet.replica_placement import ReplicaPlacement
from cypresswalk.fleet.unavailability import name_of
from cypresswalk.rollout.evidence import ServedCounts

DUTY_INTERVAL = SECOND // 5


@dataclass(frozen=True, slots=True)
class LeaseRead:
    """A read token for a member's lease request, which is granted once the read is confirmed."""

    member: str
    number: int


@dataclass(frozen=True, slots=True)
class AppliedVersion:
    """The version that a member acts on, and the time (ns) of the first report that named it."""

    version: int
    since: int


class LeaderDuties:
    """The state and the periodic duties of a leader.

    The object is recreated whenever the member gains or loses leadership, so that no outdated
    information is used. Without leadership the duties are idle and `grants` is None.
    """

    def __init__(
        self,
        context: MemberContext,
        now: int,
        own_settings: dict[str, Any] | None,
        placement: ReplicaPlacement | None,
    ):
        """Begin a period of leadership if the member is the leader at `now` (nanoseconds)."""
        self.context = context
        self.grants: LeaseGrants | None = None
        if context.is_leader:
            self.grants = LeaseGrants(context.config.max_contradiction, now)
        self.run_at = now
        # By member id.
        self.applied_versions: dict[str, AppliedVersion] = {}
        self.data_losses: dict[str, int] = {}
        self.settings = SettingsDuty(context, self.grants, own_settings)
        self.endpoint_list = EndpointListDuty(context)
        self.membership = MembershipDuty(context)
        self.replicas = ReplicaDuty(context, placement) if placement is not None else None
        self.balancers = BalancerDuty(context, self.grants)
        self.servers = ServerDuty(context, self.grants)
        self.releases = ReleaseDuty(context, self.balancers, self.servers)

    def run(self, now: int) -> None:
        """Carry out the duties in order; if the log is busy, the rest wait for the next run."""
        self.run_at = now + DUTY_INTERVAL
        with suppress(BusyError):  # retried at the next run
            self.settings.run(now)
            self.endpoint_list.run(now)
            self.membership.run(now)
            if self.replicas is not None:
                self.replicas.run(now)
            self.balancers.run(now)
            self.servers.run(now)
            self.releases.run(now)

    def all_act_on(self, version: int, now: int) -> bool:
        """Return whether no balancer may act on an older version; False without leadership."""
        return self.grants is not None and not self.outdated_members(version, now)

    def outdated_members(self, version: int, now: int) -> list[str]:
        """Return the members that may still act on an older version; empty without grants."""
        if self.grants is None:
            return []
        ids = [member.id for member in self.context.members]
        return self.grants.possibly_outdated(now, version, ids)

    def on_lease_request(self, now: int, source: str, request: LeaseRequest) -> None:
        """Store a member's report, and grant its lease once a majority confirms the leadership."""
        if not self.context.is_leader or not self.context.is_member(source):
            return
        self._store_report(now, source, request)
        with suppress(BusyError):  # the member retries
            self.context.raft.read_index(now, LeaseRead(source, request.number))

    def _store_report(self, now: int, source: str, request: LeaseRequest) -> None:
        assert self.grants is not None, "a leader's duties have grants"
        self.grants.on_version(source, request.version)
        applied = self.applied_versions.get(source)
        if applied is None or applied.version != request.version:
            self.applied_versions[source] = AppliedVersion(request.version, now)
        if request.proposal_id:
            self.settings.objections[source] = request.proposal_id, request.objection
        self.endpoint_list.received[source] = request.generation, request.digest
        self.data_losses[source] = request.data_losses
        if self.replicas is not None:
            self.replicas.placement.on_capability(source, request.holds_replicas)
        balancer_report = BalancerReport(ServedCounts(*request.flow_counts), now, request.boot)
        self.balancers.reports[name_of(source)] = balancer_report
        self.balancers.tracker.on_readiness(now, source, request.ready, request.last_lease)
        report = request.servers
        self.servers.observations.on_report(now, source, request.version, report)

    def grant_lease(self, now: int, read: LeaseRead) -> bool:
        """Record that the lease is granted; return False if this member is no longer the leader."""
        if self.grants is None:
            return False
        self.grants.grant(now, read.member)
        self.balancers.tracker.on_lease_granted(now, read.member, read.number)
        return True
