"""What the leader does about a release: who goes next, whether a wave is healthy, when to halt.

No I/O, no clock. All that must survive a leader stands in the agreed log; what stands here (since
when a wave is healthy, what each target had served then) begins anew with the next leader, which so
observes for at least as long.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from cypresswalk.rollout.evidence import Evidence, ServedCounts
from cypresswalk.rollout.release import ChangeStatus, MemberKind, Phase, Release, turn_objection

SECOND = 1_000_000_000
TURN_RETRY_INTERVAL = SECOND // 2  # a turn that was rejected is asked for again
MAX_CHANGED_OUT = 10 * SECOND  # a changed target that is out for so long is taken for lost
MAX_FALLS = 2  # times that a changed server may become unhealthy again
TURN_UNUSED = 30 * SECOND  # a server's agent has not begun: all balancers must have heard first
LONG_AGO = -1 << 62
UNKNOWN_BOOT = 1 << 62
MAX_NAMES_SHOWN = 5


class ReleaseStep(Enum):
    """Kinds of commands that `ReleaseControl` asks for."""

    GRANT_TURN = "grant_turn"
    END_UNUSED_TURN = "end_unused_turn"
    PASS_WAVE = "pass_wave"
    HALT = "halt"


@dataclass(frozen=True, slots=True)
class ReleaseAction:
    """One command to propose; `name`, `reason` and `wave` as the step needs them."""

    step: ReleaseStep
    name: str = ""
    reason: str = ""
    wave: int = 0


@dataclass(frozen=True, slots=True)
class ReleaseSituation:
    """What is known of a release and its targets.

    Attributes:
        release: as agreed.
        halted: whether a halt is in force.
        served: flow counts by name, of those heard lately.
        out: targets that are out, for whatever cause.
        held_slots: targets that count against a bound: with a leave grant, or kept out by the
            release.
        boots: how often each target has started, as it last said.
    """

    release: Release
    halted: bool
    served: dict[str, ServedCounts]
    out: set[str]
    held_slots: set[str]
    boots: dict[str, int]


@dataclass
class ReleaseControl:
    """Observations of the release under way.

    Attributes:
        observed: name and phase of the release that the other attributes are of.
        wave: the wave that is observed.
        healthy_since: since when all of the wave are changed and none is out.
        evidence: whether changed targets serve as well as the others.
        changing_since: of targets whose agents are at work.
        turn_since: of servers whose agents have not begun.
        returned_since: of changed servers that have not been seen ready yet.
        falls: of changed servers: how often each became unhealthy again.
        tried_at: when each target's turn was last asked for.
        out_since: of changed targets that are out.
        boots: of changed targets whose starts before their turn are unknown.
        was_halted: whether a halt was in force at the last look.
        waits_for: what is waited for, for people.
    """

    observed: str = ""
    wave: int = -1
    healthy_since: int | None = None
    evidence: Evidence = field(default_factory=Evidence)
    changing_since: dict[str, int] = field(default_factory=dict)
    turn_since: dict[str, int] = field(default_factory=dict)
    returned_since: dict[str, int] = field(default_factory=dict)
    falls: dict[str, int] = field(default_factory=dict)
    tried_at: dict[str, int] = field(default_factory=dict)
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
            action = self._late_server(now, situation)
            if action is not None:
                return action
        action = self._silent_agent(now, situation)
        if action is not None:
            return action
        if release.phase == Phase.ROLLING_BACK:
            return self._grant_next_turn(now, situation, _worst_first(situation))
        return self._advance_wave(now, situation)

    def _begin_observation(self, situation: ReleaseSituation) -> None:
        """Forget what was observed of another release, phase or wave.

        Also where a person has resumed: what counts is what comes from then on, or one fault would
        halt the release for ever.
        """
        release = situation.release
        observed = release.plan.name + release.phase
        if self.observed != observed or self.was_halted and not situation.halted:
            self.observed = observed
            self.wave = -1
            self.evidence = Evidence()
            self.out_since = {}
            self.boots = {}
            self.falls = {}
        if self.wave != release.wave:
            self.wave = release.wave
            self.healthy_since = None
            self.tried_at.clear()
        self.was_halted = situation.halted

    def _late_server(self, now: int, situation: ReleaseSituation) -> ReleaseAction | None:
        """Return what to do about a server whose agent, or whose return, is late."""
        release = situation.release
        members = sorted(release.members.items())
        out = [name for name, status in members if status == ChangeStatus.TURN_GRANTED]
        self.turn_since = _since(self.turn_since, now, out)
        returned = [
            name
            for name, status in members
            if status == ChangeStatus.NEW and name in situation.held_slots
        ]
        self.returned_since = _since(self.returned_since, now, returned)
        for name, since in self.turn_since.items():
            if (
                now - since > TURN_UNUSED
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

    def _silent_agent(self, now: int, situation: ReleaseSituation) -> ReleaseAction | None:
        """Return a halt where an agent has been at work for too long."""
        release = situation.release
        changing = [
            name for name, status in release.members.items() if status == ChangeStatus.CHANGING
        ]
        self.changing_since = _since(self.changing_since, now, changing)
        if situation.halted:
            return None
        change_s = release.plan.change_timeout_s
        for name, since in sorted(self.changing_since.items()):
            if now - since > change_s * SECOND:
                reason = f"the agent of {name} has said nothing for {change_s:g} s"
                return ReleaseAction(ReleaseStep.HALT, reason=reason)
        return None

    def _advance_wave(self, now: int, situation: ReleaseSituation) -> ReleaseAction | None:
        release = situation.release
        wave = release.plan.waves[release.wave]
        self.evidence.observe(now, release.members, wave, situation.served)
        if situation.halted:
            self.waits_for = "halted"
            return None
        problem = self._lost_target(now, situation) or self.evidence.first_failure(
            release.plan, now
        )
        if problem:
            return ReleaseAction(ReleaseStep.HALT, reason=problem)
        all_changed = all(release.members[name] == ChangeStatus.NEW for name in wave)
        if all_changed and not set(wave) & (situation.out | situation.held_slots):
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
            if now - self.tried_at.get(name, LONG_AGO) >= TURN_RETRY_INTERVAL:
                self.tried_at[name] = now
                return ReleaseAction(ReleaseStep.GRANT_TURN, name)
        names = ", ".join(candidates[:MAX_NAMES_SHOWN])
        self.waits_for = f"waits for {names or 'those that are being changed'}"
        return None

    def _lost_target(self, now: int, situation: ReleaseSituation) -> str:
        """Return why a changed target does not stay in, or an empty string.

        It is out for long, or its process ended and another was started in its place. One that
        falls over and over would never be out for long, and no wave of it would ever be healthy.
        """
        release, out = situation.release, situation.out
        changed = [
            name for name, status in sorted(release.members.items()) if status == ChangeStatus.NEW
        ]
        if release.plan.kind == MemberKind.SERVERS:
            fallen = self._fallen_server(changed, out)
            if fallen:
                return fallen
        self.out_since = _since(self.out_since, now, [name for name in changed if name in out])
        for name, since in self.out_since.items():
            if now - since > MAX_CHANGED_OUT:
                return f"{name} was changed and has been out for {(now - since) / SECOND:.0f} s"
        return self._restarted_target(situation, changed)

    def _fallen_server(self, changed: list[str], out: set[str]) -> str:
        """Count falls, since nobody tells how often a server has started; one may be its start."""
        self.falls |= {
            name: self.falls.get(name, 0) + 1
            for name in changed
            if name in out and name not in self.out_since
        }
        for name in changed:
            if self.falls.get(name, 0) >= MAX_FALLS:
                return f"{name} was changed, came up and fell over, {MAX_FALLS} times"
        return ""

    def _restarted_target(self, situation: ReleaseSituation, changed: list[str]) -> str:
        boots = situation.boots
        self.boots = {name: boot for name, boot in self.boots.items() if name in changed}
        for name in changed:
            before = situation.release.boots.get(name, 0)
            if before:
                expected = before + 1  # one start is the change itself
            else:
                expected = self.boots.setdefault(name, boots.get(name, UNKNOWN_BOOT))
            if boots.get(name, 0) > expected:
                return f"{name} was changed and then began anew by itself"
        return ""

    def _observe_wave(self, now: int, release: Release, wave: list[str]) -> ReleaseAction | None:
        """All of the wave are changed and in: pass it once enough is known and time is up."""
        plan = release.plan
        if self.healthy_since is None:
            self.healthy_since = now
        passed = now - self.healthy_since
        unknown = self.evidence.missing(plan, wave)
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


def _since(before: dict[str, int], now: int, names: Iterable[str]) -> dict[str, int]:
    """Return since when each name has been there, with `now` for new ones."""
    return {name: before.get(name, now) for name in names}


def _worst_first(situation: ReleaseSituation) -> list[str]:
    """Return targets to be taken back: first those that failed, then by failed flows."""
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
