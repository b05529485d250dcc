"""Mutants of the release logic, each with one broken rule, which the model must detect."""

from dataclasses import replace

import pytest
from release_model import ModelFleet

from cypresswalk.fleet import disruption_bounds
from cypresswalk.fleet.release_control import (
    ReleaseAction,
    ReleaseControl,
    ReleaseSituation,
    ReleaseStep,
)
from cypresswalk.rollout import release
from cypresswalk.rollout.bounds import violation_reason
from cypresswalk.rollout.release import Release

GRANT_END_PROBABILITY = 0.05


def end_grants_while_agents_work(patch: pytest.MonkeyPatch) -> None:
    """End a leave grant that seems unused although the agent of its balancer is at work."""
    end_unused_turn, step = release.end_unused_turn, ModelFleet.step

    def end_any_turn(current: Release, name: str) -> None:
        end_unused_turn(current, name)
        if current.members.get(name) == "changing":
            current.members[name] = "old"

    def step_after_ending_grants(self: ModelFleet) -> None:
        for name in sorted(self.machine.state.leave_grants):
            if self.random.random() < GRANT_END_PROBABILITY:
                self.return_balancer(name)
        step(self)

    patch.setattr(release, "end_unused_turn", end_any_turn)
    patch.setattr(ModelFleet, "step", step_after_ending_grants)


def ignore_lost_balancers(patch: pytest.MonkeyPatch) -> None:
    """Do not count balancers that are out without a grant against a bound."""
    patch.setattr(
        disruption_bounds,
        "violation_reason",
        lambda scopes, zones, granted, observed, candidate, is_repair: violation_reason(
            scopes, zones, granted, {}, candidate
        ),
    )


def count_unheard_balancers_as_out(patch: pytest.MonkeyPatch) -> None:
    """Treat balancers that have not reported to a new leader as out, so that they may go out."""
    patch.setattr(
        disruption_bounds,
        "violation_reason",
        lambda scopes, zones, granted, observed, candidate, is_repair: violation_reason(
            scopes, zones, granted, observed, candidate, candidate in observed
        ),
    )


def ignore_halts(patch: pytest.MonkeyPatch) -> None:
    """Ignore halts in the leader and in the state machine."""
    turn_objection, next_action = release.turn_objection, ReleaseControl.next_action

    def turn_objection_despite_halt(current: Release, name: str, halted: bool) -> str:
        return turn_objection(current, name, False)

    def next_action_despite_halt(
        self: ReleaseControl, now: int, situation: ReleaseSituation
    ) -> ReleaseAction | None:
        return next_action(self, now, replace(situation, halted=False))

    patch.setattr(release, "turn_objection", turn_objection_despite_halt)
    patch.setattr("cypresswalk.fleet.release_control.turn_objection", turn_objection_despite_halt)
    patch.setattr(ReleaseControl, "next_action", next_action_despite_halt)


def skip_wave_observation(patch: pytest.MonkeyPatch) -> None:
    """Begin the next wave as soon as all members of the current one are changed."""
    observe_wave = ReleaseControl._observe_wave

    def pass_any_wave(current: Release, wave: int) -> str:
        current.wave = min(current.wave + 1, len(current.plan.waves) - 1)
        return ""

    def observe_or_pass(
        self: ReleaseControl, now: int, current: Release, wave: list[str]
    ) -> ReleaseAction:
        action = observe_wave(self, now, current, wave)
        return action or ReleaseAction(ReleaseStep.PASS_WAVE, wave=current.wave)

    patch.setattr(release, "pass_wave", pass_any_wave)
    patch.setattr(ReleaseControl, "_observe_wave", observe_or_pass)
