"""The leader's duty to drive the current release. No I/O, no clock."""

from cypresswalk.fleet.commands import (
    AnyCommand,
    GrantTurn,
    Halt,
    TurnUnused,
    WaveObserved,
)
from cypresswalk.fleet.leader_availability import BalancerDuty, ServerDuty
from cypresswalk.fleet.member_context import MemberContext
from cypresswalk.fleet.release_control import (
    ReleaseAction,
    ReleaseControl,
    ReleaseSituation,
    ReleaseStep,
)
from cypresswalk.rollout.release import MemberKind, Release


class ReleaseDuty:
    """Duty to pass the situation to `ReleaseControl` and to propose the commands it decides on."""

    def __init__(self, context: MemberContext, balancers: BalancerDuty, servers: ServerDuty):
        """Begin without observations."""
        self.context = context
        self.balancers = balancers
        self.servers = servers
        self.control = ReleaseControl()

    def run(self, now: int) -> None:
        """Take the next step; raise BusyError if too little is known or the log is busy."""
        context = self.context
        release = context.state.release
        if release is None or not context.has_committed_in_term():
            return
        if release.plan.kind == MemberKind.SERVERS:
            unavailable = self.servers.unhealthy_for_bound(now)
            zones: dict[str, str] = {}
            situation = self._servers_situation(release, unavailable)
        else:
            unavailable = self.balancers.unavailable(now)
            zones = context.zones()
            situation = self._balancers_situation(now, release, unavailable)
        action = self.control.next_action(now, situation)
        if action is not None:
            boot = situation.boots.get(action.name, 0)
            context.propose(now, self._command(release, action, zones, unavailable, boot))

    def _servers_situation(self, release: Release, unavailable: dict[str, str]) -> ReleaseSituation:
        state = self.context.state
        return ReleaseSituation(
            release,
            halted=state.halted is not None,
            served=self.servers.observations.served,
            out=set(unavailable) - set(state.returning_servers),
            counted_against_bound=state.servers_out_for_release() | set(state.returning_servers),
            boots={},
        )

    def _balancers_situation(
        self, now: int, release: Release, unavailable: dict[str, str]
    ) -> ReleaseSituation:
        state = self.context.state
        reports = self.balancers.reports
        max_age = self.context.config.max_contradiction
        return ReleaseSituation(
            release,
            halted=state.halted is not None,
            served={
                name: latest.served
                for name, latest in reports.items()
                if now - latest.received_at <= max_age
            },
            out=set(unavailable),
            counted_against_bound=set(state.leave_grants),
            boots={name: latest.boot for name, latest in reports.items()},
        )

    def _command(
        self,
        release: Release,
        action: ReleaseAction,
        zones: dict[str, str],
        unavailable: dict[str, str],
        boot: int,
    ) -> AnyCommand:
        header = self.context.command_header("release", f"release {release.plan.name}")
        match action.step:
            case ReleaseStep.GRANT_TURN:
                return GrantTurn(*header, action.name, zones, unavailable, boot)
            case ReleaseStep.END_UNUSED_TURN:
                return TurnUnused(*header, action.name)
            case ReleaseStep.PASS_WAVE:
                return WaveObserved(*header, action.wave)
            case ReleaseStep.HALT:
                return Halt(*header, action.reason)
