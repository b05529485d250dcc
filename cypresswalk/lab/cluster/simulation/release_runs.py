"""Plays a release among random faults, and brings it to its end once all are lifted."""

import logging
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any

from cypresswalk.fleet.records import FleetState
from cypresswalk.lab.cluster.simulation.errors import ViolationError
from cypresswalk.lab.cluster.simulation.faults import draw_pause
from cypresswalk.lab.cluster.simulation.process import CLOCK_RATES
from cypresswalk.lab.cluster.simulation.release_world import (
    NEW_VERSION,
    OLD_VERSION,
    ReleaseWorld,
)
from cypresswalk.lab.units import SECOND
from cypresswalk.rollout.release import Phase, Release

STARTUP_TIME = 8 * SECOND  # after which the release begins
FINISH_INTERVAL = 2 * SECOND  # between two looks at a release that is to come to its end
ROLL_BACK_AFTER_SHARE = 0.25  # of its time, after which the release of a bad build is rolled back
LOGGERS = ("cypresswalk.fleet", "cypresswalk.rollout")
NEVER_BEGUN = "never begun"
# Drawn for each run, as the longest time that a message takes.
MAX_DELAYS_MS = (2, 20, 100)


@dataclass(slots=True)
class Outcome:
    """What a run has shown.

    Attributes:
        seed: of the run.
        violation: which rule was broken, when and by which seed; or empty.
        situations: how often each was met.
        history: the last lines of it.
        steps: how many there were.
        duration: of the release, virtual time, nanoseconds.
        went_out: how many members went out.
        most_out: how many were out at once.
        end: the release's phase; or NEVER_BEGUN.
    """

    seed: int
    violation: str = ""
    situations: Counter[str] = field(default_factory=Counter)
    history: list[str] = field(default_factory=list)
    steps: int = 0
    duration: int = 0
    went_out: int = 0
    most_out: int = 0
    end: str = ""


def is_over(release: Release | None) -> bool:
    """Whether there is no release, or it has ended."""
    return release is None or release.phase in (Phase.DONE, Phase.ROLLED_BACK)


class ReleaseRun:
    """One release, in a world that it begins."""

    def __init__(
        self,
        world: ReleaseWorld[Any],
        random: Random,
        inject: Callable[[str], None],
        weights: Mapping[str, float],
        max_release_time: int,
    ):
        """Draws the balancers' clocks.

        Args:
            world: that does not run yet.
            random: draws faults and pauses.
            inject: injects a fault or makes a call of a kind.
            weights: how often each kind is drawn.
            max_release_time: to its end, once all faults are lifted, nanoseconds.
        """
        for logger in LOGGERS:
            logging.getLogger(logger).setLevel(logging.CRITICAL)
        self._world = world
        self._random = random
        self._inject = inject
        self._weights = weights
        self._max_release_time = max_release_time
        for process in world.processes.values():
            process.clock_rate = random.uniform(*CLOCK_RATES)

    def play(self, action_count: int) -> Outcome:
        """Plays so many faults and calls, and what follows."""
        world = self._world
        outcome = Outcome(world.seed)
        try:
            world.start()
            world.run(STARTUP_TIME)
            began_at = world.now
            world.begin_release(self._random)
            for _ in range(action_count):
                self._inject(self._draw_kind())
                world.run(draw_pause(self._random))
            outcome.end = self._finish()
            outcome.duration = world.now - began_at
        except ViolationError as error:
            outcome.violation = (
                f"seed {world.seed} ({world.build}, {len(world.hosts)} {world.kind}, "
                f"{world.max_out} may be out), at {world.now / SECOND:.3f} s: {error}"
            )
        outcome.situations = world.situations
        outcome.history = world.history
        outcome.steps = world.steps
        outcome.went_out = world.went_out
        outcome.most_out = world.most_out
        return outcome

    def _draw_kind(self) -> str:
        return self._random.choices(list(self._weights), list(self._weights.values()))[0]

    def _finish(self) -> str:
        """Lifts all faults, and resumes or rolls back as an operator would until the release ends.

        Returns:
            How the release has ended: done, or rolled back. Nobody is out then.

        Raises:
            ViolationError: it does not end, or versions run that it did not mean (rule E).
        """
        world = self._world
        world.lift_faults()
        end = world.now + self._max_release_time
        state: FleetState | None = None
        while world.now < end:
            world.run(FINISH_INTERVAL)
            for host in world.hosts.values():
                if host.removed:
                    host.bring_back()
            state = world.agreed_state()
            if state is None:
                continue
            world.return_removed(state)
            if is_over(state.release) and world.is_settled(state):
                return self._check_versions(state.release)
            self._operate(state, end)
        raise ViolationError(f"E: no end: {self._describe(state)}")

    def _check_versions(self, release: Release | None) -> str:
        wanted = NEW_VERSION if release is not None and release.phase == Phase.DONE else OLD_VERSION
        phase = release.phase if release is not None else NEVER_BEGUN
        versions = self._world.running_versions()
        if set(versions.values()) != {wanted}:
            raise ViolationError(f"E: the release is {phase}, and these run: {versions}")
        return phase

    def _operate(self, state: FleetState, end: int) -> None:
        """Resumes or rolls back a release that stands still, as an operator would."""
        world = self._world
        is_good = world.build == "good"
        release = state.release
        if release is not None and release.phase == Phase.PAUSED:
            world.set_paused(False)
        elif release is not None and release.phase == Phase.RUNNING and not is_good:
            is_late = world.now > end - int(self._max_release_time * (1 - ROLL_BACK_AFTER_SHARE))
            if state.halted or is_late:
                world.roll_back()
        if state.halted and (is_good or is_over(release)):
            world.resume()

    def _describe(self, state: FleetState | None) -> str:
        world = self._world
        agreed = "nothing agreed"
        if state is not None:
            agreed = (
                f"{state.release}, grants {state.leave_grants}, removed {state.removed_servers}, "
                f"returning {state.returning_servers}, halted {state.halted}"
            )
        hosts = "; ".join(
            f"{host.name} {host.agent.saved} {sorted(host.running)} "
            f"serves {host.is_serving()} removed {host.removed}"
            for host in world.hosts.values()
        )
        return f"{agreed}; {world.describe_leader()}; {hosts}"
