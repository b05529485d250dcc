"""The leader's control of a release: which target is next, whether a wave is healthy, when to halt.

No I/O, no clock. State that must survive a change of leader is in the agreed log. The observations
here (since when a wave has been healthy, what each target had served then) start empty with the
next leader, which therefore observes for at least as long.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from cypresswalk.rollout.evidence import Evidence, ServedCounts
from cypresswalk.rollout.release import ChangeStatus, MemberKind, Phase, Release, turn_objection

SECOND = 1_000_000_000
TURN_RETRY_INTERVAL = SECOND // 2  # between two proposals of the same target's turn
MAX_CHANGED_OUT = 10 * SECOND  # after which a changed target that is out counts as lost
MAX_RELAPSES = 2  # number of times that a changed server becomes unhealthy before a halt
# A server's turn ends after this time if its agent has not used it. The agent can begin only after
# all balancers act on the version that takes the server out.
UNUSED_TURN_TIMEOUT = 30 * SECOND
LONG_AGO = -1 << 62
UNKNOWN_BOOT = 1 << 62
MAX_NAMES_SHOWN = 5


class ReleaseStep(Enum):
    """Kind of a command that `ReleaseControl` proposes."""

    GRANT_TURN = "grant_turn"
    END_UNUSED_TURN = "end_unused_turn"
    PASS_WAVE = "pass_wave"
    HALT = "halt"


@dataclass(frozen=True, slots=True)
class ReleaseAction:
    """A command to propose; the step decides which of `name`, `reason` and `wave` are used."""

    step: ReleaseStep
    name: str = ""
    reason: str = ""
    wave: int = 0


@dataclass(frozen=True, slots=True)
class ReleaseSituation:
    """The leader's present knowledge of a release and its targets.

    Attributes:
        release: the release, as agreed.
        halted: whether a halt is in force.
        served: flow counts by name, of targets with a recent report.
        out: targets that are out, for whatever cause.
        counted_against_bound: targets that have a leave grant or that the release keeps out, which
            count against a bound.
        boots: number of starts by target, from its latest report.
    """

    release: Release
    halted: bool
    served: dict[str, ServedCounts]
    out: set[str]
    counted_against_bound: set[str]
    boots: dict[str, int]


@dataclass
class ReleaseControl:
    """Observations of the current release, and the next step that follows from them.

    Times are in nanoseconds; dictionaries have the target's name as key.

    Attributes:
        observed: name and phase of the release that the other attributes belong to.
        wave: number of the wave that is observed.
        healthy_since: time since which the whole wave has been changed and none of it out.
        evidence: comparison of the flows of changed targets with those of the others.
        changing_since: times since which agents have been changing their targets.
        turn_since: times since which servers have had a turn that their agents have not used.
        returned_since: times since which changed servers have waited to be seen ready.
        relapses: numbers of times that changed servers became unhealthy again.
        turn_proposed_at: times at which turns were last proposed.
        out_since: times since which changed targets have been out.
        boots: numbers of starts of changed targets whose starts before their turn are unknown.
        was_halted: whether a halt was in force at the previous call.
        waits_for: the condition that the release waits for, for people.
    """

    observed: str = ""
    wave: int = -1
    healthy_since: int | None = None
    evidence: Evidence = field(default_factory=Evidence)
    changing_since: dict[str, int] = field(default_factory=dict)
    turn_since: dict[str, int] = field(default_factory=dict)
    returned_since: dict[str, int] = field(default_factory=dict)
    relapses: dict[str, int] = field(default_factory=dict)
    turn_proposed_at: dict[str, int] = field(default_factory=dict)
    out_since: dict[str, int] = field(default_factory=dict)
    boots: dict[str, int] = field(default_factory=dict)
    was_halted: bool = False
    waits_for: str = ""

    def next_action(self, now: int, situation: ReleaseSituation) -> ReleaseAction | None:
        """Return the next command to propose, or None; `now` in nanoseconds."""
        release = situation.release
        if release.phase not in (Phase.RUNNING, Phase.ROLLING_BACK):
            self.waits_for = ""
            return None
        self._begin_observation(situation)
        if release.plan.kind == MemberKind.SERVERS:
            action = self._check_late_servers(now, situation)
            if action is not None:
                return action
        action = self._check_agents(now, situation)
        if action is not None:
            return action
        if release.phase == Phase.ROLLING_BACK:
            return self._grant_next_turn(now, situation, _rollback_order(situation))
        return self._advance_wave(now, situation)

    def _begin_observation(self, situation: ReleaseSituation) -> None:
        """Discard observations of another release, phase or wave.

        They are also discarded after a person has resumed the release. Otherwise the fault that
        halted it would halt it again at once, for ever.
        """
        release = situation.release
        observed = release.plan.name + release.phase
        if self.observed != observed or self.was_halted and not situation.halted:
            self.observed = observed
            self.wave = -1
            self.evidence = Evidence()
            self.out_since = {}
            self.boots = {}
            self.relapses = {}
        if self.wave != release.wave:
            self.wave = release.wave
            self.healthy_since = None
            self.turn_proposed_at.clear()
        self.was_halted = situation.halted

    def _check_late_servers(self, now: int, situation: ReleaseSituation) -> ReleaseAction | None:
        """Return the action for a server whose agent or return to rotation is late, or None."""
        release = situation.release
        members = sorted(release.members.items())
        out = [name for name, status in members if status == ChangeStatus.TURN_GRANTED]
        self.turn_since = _track_since(self.turn_since, now, out)
        returned = [
            name
            for name, status in members
            if status == ChangeStatus.NEW and name in situation.counted_against_bound
        ]
        self.returned_since = _track_since(self.returned_since, now, returned)
        for name, since in self.turn_since.items():
            if (
                now - since > UNUSED_TURN_TIMEOUT
                or situation.halted
                and release.phase != Phase.ROLLING_BACK
            ):
                return ReleaseAction(ReleaseStep.END_UNUSED_TURN, name)
        if situation.halted:
            return None
        change_s = release.plan.change_timeout_s
        for name, since in self.returned_since.items():
            if now - since > change_s * SECOND:
                reason = (
                    f"{name} was changed, and most balancers have not seen it ready"
                    f" for {change_s:g} s"
                )
                return ReleaseAction(ReleaseStep.HALT, reason=reason)
        return None

    def _check_agents(self, now: int, situation: ReleaseSituation) -> ReleaseAction | None:
        """Return a halt if an agent has taken too long for its change."""
        release = situation.release
        changing = [
            name for name, status in release.members.items() if status == ChangeStatus.CHANGING
        ]
        self.changing_since = _track_since(self.changing_since, now, changing)
        if situation.halted:
            return None
        change_s = release.plan.change_timeout_s
        for name, since in sorted(self.changing_since.items()):
            if now - since > change_s * SECOND:
                reason = f"the agent of {name} has not reported for {change_s:g} s"
                return ReleaseAction(ReleaseStep.HALT, reason=reason)
        return None

    def _advance_wave(self, now: int, situation: ReleaseSituation) -> ReleaseAction | None:
        release = situation.release
        wave = release.plan.waves[release.wave]
        self.evidence.observe(now, release.members, wave, situation.served)
        if situation.halted:
            self.waits_for = "halted"
            return None
        problem = self._lost_target_reason(now, situation) or self.evidence.first_failure(
            release.plan, now
        )
        if problem:
            return ReleaseAction(ReleaseStep.HALT, reason=problem)
        all_changed = all(release.members[name] == ChangeStatus.NEW for name in wave)
        if all_changed and not set(wave) & (situation.out | situation.counted_against_bound):
            return self._observe_wave(now, release, wave)
        self.healthy_since = None
        candidates = [
            name
            for name in wave
            if release.members[name] in (ChangeStatus.OLD, ChangeStatus.FAILED)
        ]
        return self._grant_next_turn(now, situation, candidates)

    def _grant_next_turn(
        self, now: int, situation: ReleaseSituation, candidates: list[str]
    ) -> ReleaseAction | None:
        for name in candidates:
            if turn_objection(situation.release, name, situation.halted):
                continue
            if now - self.turn_proposed_at.get(name, LONG_AGO) >= TURN_RETRY_INTERVAL:
                self.turn_proposed_at[name] = now
                return ReleaseAction(ReleaseStep.GRANT_TURN, name)
        names = ", ".join(candidates[:MAX_NAMES_SHOWN])
        self.waits_for = f"waits for {names or 'those that are being changed'}"
        return None

    def _lost_target_reason(self, now: int, situation: ReleaseSituation) -> str:
        """Return why a changed target counts as lost, or an empty string.

        It has been out for too long, or its process ended and another was started. A target that
        fails again and again is never out for long, but its wave never becomes healthy either.
        """
        release, out = situation.release, situation.out
        changed = [
            name for name, status in sorted(release.members.items()) if status == ChangeStatus.NEW
        ]
        if release.plan.kind == MemberKind.SERVERS:
            relapsed = self._relapsed_server_reason(changed, out)
            if relapsed:
                return relapsed
        self.out_since = _track_since(
            self.out_since, now, [name for name in changed if name in out]
        )
        for name, since in self.out_since.items():
            if now - since > MAX_CHANGED_OUT:
                return f"{name} was changed and has been out for {(now - since) / SECOND:.0f} s"
        return self._restarted_target_reason(situation, changed)

    def _relapsed_server_reason(self, changed: list[str], out: set[str]) -> str:
        """Count relapses and return why a server has too many, or an empty string.

        They are counted because servers don't report their number of starts. One relapse is allowed
        since it may be the start after the change.
        """
        self.relapses |= {
            name: self.relapses.get(name, 0) + 1
            for name in changed
            if name in out and name not in self.out_since
        }
        for name in changed:
            if self.relapses.get(name, 0) >= MAX_RELAPSES:
                return f"{name} was changed, became unhealthy again, {MAX_RELAPSES} times"
        return ""

    def _restarted_target_reason(self, situation: ReleaseSituation, changed: list[str]) -> str:
        boots = situation.boots
        self.boots = {name: boot for name, boot in self.boots.items() if name in changed}
        for name in changed:
            before = situation.release.boots_at_grant.get(name, 0)
            if before:
                expected = before + 1  # the change itself starts the target once
            else:
                expected = self.boots.setdefault(name, boots.get(name, UNKNOWN_BOOT))
            if boots.get(name, 0) > expected:
                return f"{name} was changed and then restarted by itself"
        return ""

    def _observe_wave(self, now: int, release: Release, wave: list[str]) -> ReleaseAction | None:
        """Observe a changed wave in service; pass it after its hold time, given evidence."""
        plan = release.plan
        if self.healthy_since is None:
            self.healthy_since = now
        passed = now - self.healthy_since
        unknown = self.evidence.missing_evidence(plan, wave)
        self.waits_for = (
            f"wave {release.wave} holds for {passed / SECOND:.1f} of {plan.hold_s:g} s:"
            f" {unknown or 'good'}"
        )
        if passed < plan.hold_s * SECOND:
            return None
        if not unknown:
            return ReleaseAction(ReleaseStep.PASS_WAVE, wave=release.wave)
        if passed > plan.hold_s * plan.max_hold_periods * SECOND:
            reason = (
                f"nothing is known of wave {release.wave} after {passed / SECOND:.0f} s: {unknown}"
            )
            return ReleaseAction(ReleaseStep.HALT, reason=reason)
        return None


def _track_since(before: dict[str, int], now: int, names: Iterable[str]) -> dict[str, int]:
    """Return the time since which each name has been in `names`; for new ones it is `now`."""
    return {name: before.get(name, now) for name in names}


def _rollback_order(situation: ReleaseSituation) -> list[str]:
    """Return the targets to roll back: first failed ones, then by share of failed flows."""
    members = situation.release.members
    candidates = [
        name
        for name, status in members.items()
        if status in (ChangeStatus.NEW, ChangeStatus.FAILED)
    ]
    return sorted(
        candidates,
        key=lambda name: (
            members[name] != ChangeStatus.FAILED,
            -situation.served.get(name, ServedCounts()).failure_share,
            name,
        ),
    )
