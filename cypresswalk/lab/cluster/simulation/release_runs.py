"""Runs a release under random faults, then without faults until it ends."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any

from cypresswalk.fleet.records import FleetState
from cypresswalk.lab.cluster.simulation.errors import ViolationError
from cypresswalk.lab.cluster.simulation.faults import draw_pause
from cypresswalk.lab.cluster.simulation.log_levels import only_critical
from cypresswalk.lab.cluster.simulation.process import CLOCK_RATES
from cypresswalk.lab.cluster.simulation.release_simulation import (
    NEW_VERSION,
    OLD_VERSION,
    ReleaseSimulation,
)
from cypresswalk.lab.units import SECOND
from cypresswalk.rollout.release import Phase, Release

STARTUP_TIME = 8 * SECOND  # after which the release begins
FINISH_INTERVAL = 2 * SECOND  # between two checks whether the release has ended
ROLL_BACK_AFTER_SHARE = 0.25  # of the time allowed to end; then a bad build is rolled back
LOGGERS = ("cypresswalk.fleet", "cypresswalk.rollout")
NEVER_BEGUN = "never begun"
# Longest delays of a message; one is drawn for each run.
MAX_DELAYS_MS = (2, 20, 100)


@dataclass(slots=True)
class Outcome:
    """The results of a run.

    Attributes:
        seed: seed of the run.
        violation: the broken rule, with seed and time; or empty.
        situations: how often each situation occurred.
        history: the last events, a line each.
        steps: number of simulation steps.
        duration: duration of the release in virtual time, nanoseconds.
        departure_count: how many times a member went out.
        max_members_out: most members that were out at once.
        end: phase in which the release ended; or NEVER_BEGUN.
    """

    seed: int
    violation: str = ""
    situations: Counter[str] = field(default_factory=Counter)
    history: list[str] = field(default_factory=list)
    steps: int = 0
    duration: int = 0
    departure_count: int = 0
    max_members_out: int = 0
    end: str = ""


def is_over(release: Release | None) -> bool:
    """Return whether there is no release, or it has ended."""
    return release is None or release.phase in (Phase.DONE, Phase.ROLLED_BACK)


class ReleaseRun:
    """The run of one release in a simulation, from the start of the simulation on."""

    def __init__(
        self,
        simulation: ReleaseSimulation[Any],
        random: Random,
        inject: Callable[[str], None],
        weights: Mapping[str, float],
        max_release_time: int,
    ):
        """Draw the rates of the balancers' clocks.

        Args:
            simulation: the simulation, not started yet.
            random: source of the draws of faults and pauses.
            inject: function that injects a fault or makes a call of a given kind.
            weights: relative frequency of each kind.
            max_release_time: time for the release to end once all faults are cleared, nanoseconds.
        """
        self._simulation = simulation
        self._random = random
        self._inject = inject
        self._weights = weights
        self._max_release_time = max_release_time
        for process in simulation.processes.values():
            process.clock_rate = random.uniform(*CLOCK_RATES)

    def run(self, action_count: int) -> Outcome:
        """Run a release with the given number of faults and calls, and finish it without faults."""
        simulation = self._simulation
        outcome = Outcome(simulation.seed)
        try:
            with only_critical(*LOGGERS):
                self._run_release(action_count, outcome)
        except ViolationError as error:
            outcome.violation = (
                f"seed {simulation.seed} ({simulation.build}, "
                f"{len(simulation.hosts)} {simulation.kind}, "
                f"{simulation.max_unavailable} may be out), "
                f"at {simulation.now / SECOND:.3f} s: {error}"
            )
        outcome.situations = simulation.situations
        outcome.history = simulation.history
        outcome.steps = simulation.steps
        outcome.departure_count = simulation.departure_count
        outcome.max_members_out = simulation.max_members_out
        return outcome

    def _run_release(self, action_count: int, outcome: Outcome) -> None:
        simulation = self._simulation
        simulation.start()
        simulation.run(STARTUP_TIME)
        began_at = simulation.now
        simulation.begin_release(self._random)
        for _ in range(action_count):
            self._inject(self._draw_kind())
            simulation.run(draw_pause(self._random))
        outcome.end = self._finish()
        outcome.duration = simulation.now - began_at

    def _draw_kind(self) -> str:
        return self._random.choices(list(self._weights), list(self._weights.values()))[0]

    def _finish(self) -> str:
        """Clear all faults, and resume or roll back as an operator would until the release ends.

        Returns:
            The phase in which the release has ended, done or rolled back; no member is out then.

        Raises:
            ViolationError: the release does not end, or a host runs the wrong version (rule E).
        """
        simulation = self._simulation
        simulation.clear_faults()
        end = simulation.now + self._max_release_time
        state: FleetState | None = None
        while simulation.now < end:
            simulation.run(FINISH_INTERVAL)
            for host in simulation.hosts.values():
                if host.removed:
                    host.bring_back()
            state = simulation.agreed_state()
            if state is None:
                continue
            simulation.return_removed(state)
            if is_over(state.release) and simulation.is_settled(state):
                return self._check_versions(state.release)
            self._act_as_operator(state, end)
        raise ViolationError(f"E: the release does not end: {self._describe(state)}")

    def _check_versions(self, release: Release | None) -> str:
        expected = (
            NEW_VERSION if release is not None and release.phase == Phase.DONE else OLD_VERSION
        )
        phase = release.phase if release is not None else NEVER_BEGUN
        versions = self._simulation.running_versions()
        if set(versions.values()) != {expected}:
            raise ViolationError(
                f"E: the release is {phase}, but the running versions are {versions}"
            )
        return phase

    def _act_as_operator(self, state: FleetState, end: int) -> None:
        """Resume or roll back a release that makes no progress, as an operator would."""
        simulation = self._simulation
        is_good = simulation.build == "good"
        release = state.release
        if release is not None and release.phase == Phase.PAUSED:
            simulation.set_paused(False)
        elif release is not None and release.phase == Phase.RUNNING and not is_good:
            is_late = simulation.now > end - int(
                self._max_release_time * (1 - ROLL_BACK_AFTER_SHARE)
            )
            if state.halted or is_late:
                simulation.roll_back()
        if state.halted and (is_good or is_over(release)):
            simulation.resume()

    def _describe(self, state: FleetState | None) -> str:
        simulation = self._simulation
        agreed = "nothing agreed"
        if state is not None:
            agreed = (
                f"{state.release}, grants {state.leave_grants}, removed {state.removed_servers}, "
                f"returning {state.returning_servers}, halted {state.halted}"
            )
        hosts = "; ".join(
            f"{host.name} {host.agent.saved} {sorted(host.running)} "
            f"serves {host.is_serving()} removed {host.removed}"
            for host in simulation.hosts.values()
        )
        return f"{agreed}; {simulation.describe_leader()}; {hosts}"
