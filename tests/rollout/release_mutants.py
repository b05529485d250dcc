"""Deliberately broken rules of a release, for the model to detect."""

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

FREED_PROBABILITY = 0.05


def slots_are_freed_while_an_agent_works(patch: pytest.MonkeyPatch) -> None:
    """A grant that nobody was seen to use is free while its agent works."""
    returned, step = release.end_unused_turn, ModelFleet.step

    def returned_as_old(now: Release, name: str) -> None:
        returned(now, name)
        if now.members.get(name) == "changing":
            now.members[name] = "old"

    def step_after_freeing(self: ModelFleet) -> None:
        for name in sorted(self.machine.state.leave_grants):
            if self.random.random() < FREED_PROBABILITY:
                self.return_balancer(name)
        step(self)

    patch.setattr(release, "end_unused_turn", returned_as_old)
    patch.setattr(ModelFleet, "step", step_after_freeing)


def lost_balancers_are_not_counted(patch: pytest.MonkeyPatch) -> None:
    """Balancers that are out by themselves take no place of a bound."""
    patch.setattr(
        disruption_bounds,
        "violation_reason",
        lambda scopes, zones, granted, observed, candidate, heals: violation_reason(
            scopes, zones, granted, {}, candidate
        ),
    )


def unknown_members_are_taken_for_out(patch: pytest.MonkeyPatch) -> None:
    """Whoever has not said anything to a new leader is out already, and may go."""
    patch.setattr(
        disruption_bounds,
        "violation_reason",
        lambda scopes, zones, granted, observed, candidate, heals: violation_reason(
            scopes, zones, granted, observed, candidate, candidate in observed
        ),
    )


def halts_are_ignored(patch: pytest.MonkeyPatch) -> None:
    """Neither the leader nor the state machine heeds a halt."""
    turn_objection, next_action = release.turn_objection, ReleaseControl.next_action

    def turn_objection_despite_halt(now: Release, name: str, halted: bool) -> str:
        return turn_objection(now, name, False)

    def next_action_despite_halt(
        self: ReleaseControl, now: int, situation: ReleaseSituation
    ) -> ReleaseAction | None:
        return next_action(self, now, replace(situation, halted=False))

    patch.setattr(release, "turn_objection", turn_objection_despite_halt)
    patch.setattr("cypresswalk.fleet.release_control.turn_objection", turn_objection_despite_halt)
    patch.setattr(ReleaseControl, "next_action", next_action_despite_halt)


def waves_are_not_observed(patch: pytest.MonkeyPatch) -> None:
    """The next wave begins as soon as one is changed."""
    observe_wave = ReleaseControl._observe_wave

    def pass_any_wave(now: Release, wave: int) -> str:
        now.wave = min(now.wave + 1, len(now.plan.waves) - 1)
        return ""

    def observe_or_pass(
        self: ReleaseControl, now: int, current: Release, wave: list[str]
    ) -> ReleaseAction:
        action = observe_wave(self, now, current, wave)
        return action or ReleaseAction(ReleaseStep.PASS_WAVE, wave=current.wave)

    patch.setattr(release, "pass_wave", pass_any_wave)
    patch.setattr(ReleaseControl, "_observe_wave", observe_or_pass)
