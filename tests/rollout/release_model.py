"""A simple model of a fleet during a release.

The state machine and the leader's release control are the real ones. Agents, balancers and the
flows that they answer are simulated with a seeded random generator.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from cypresswalk.fleet import commands
from cypresswalk.fleet.commands import Command, encode
from cypresswalk.fleet.release_control import (
    ReleaseAction,
    ReleaseControl,
    ReleaseSituation,
    ReleaseStep,
)
from cypresswalk.fleet.state_machine import StateMachine
from cypresswalk.model import SECOND
from cypresswalk.rollout.evidence import ServedCounts
from cypresswalk.rollout.release import Plan, Release

MILLISECOND = SECOND // 1000

OLD_VERSION = "v1"
NEW_VERSION = "v2"
PLAN = Plan(
    name="r1",
    from_version=OLD_VERSION,
    to_version=NEW_VERSION,
    waves=[["n0"], ["n1", "n2"], ["n3", "n4", "n5"]],
    hold_s=10.0,
    min_flows=50,
    max_hold_periods=3.0,
    max_excess_failure_share=0.01,
    max_setup_ratio=1.5,
    change_timeout_s=30.0,
)
ZONES = {f"n{i}": f"z{i % 3}" for i in range(6)}
MAX_OUT = 2

STEP_S = 0.2
FLOWS_PER_STEP = 20
SETUP_TIME = 3 * MILLISECOND
SLOW_SETUP_TIME = 9 * MILLISECOND
FAILURE_PROBABILITY = 0.005
BAD_FAILURE_PROBABILITY = 0.1
STILL_UNHEARD_PROBABILITY = 0.7
CHANGE_STARTS_PROBABILITY = 0.5
CHANGE_ENDS_PROBABILITY = 0.3

# The number of steps with random faults, and upper ends of the faults' ranges for one random number
# from 0 to 1 per step.
FAULTY_STEPS = 2000
DEATH_BELOW = 0.05
REVIVAL_BELOW = 0.09
LEADER_CHANGE_BELOW = 0.1
HALT_BELOW = 0.103
RESUME_BELOW = 0.13
MAX_DEAD = 2


@dataclass
class Served:
    """Counts of the flows that a balancer's process has answered since it started.

    Attributes:
        established: Flows that were set up.
        failed: Flows that failed.
        setup_time: Sum of set-up times, nanoseconds.
    """

    established: int = 0
    failed: int = 0
    setup_time: int = 0

    def counts(self) -> ServedCounts:
        """Return the counts in the form that the leader receives."""
        return ServedCounts(self.established, 0, self.failed, self.setup_time)


class ModelFleet:
    """A state machine with simulated agents, flows of balancers, and changing leaders.

    Attributes:
        versions: The version that each balancer runs, by name.
        bad_version: The version that fails a tenth of its flows.
        slow_version: The version whose set-ups take three times as long.
        dead: Balancers that do not run and whose agents do nothing.
        unheard: Balancers that have not reported to a new leader yet.
        peak_out: The highest number of balancers that the release took out at once.
        flows_per_step: Number of flows that each balancer is sent in a step.
    """

    def __init__(self, seed: int) -> None:
        """Begin the release `PLAN`."""
        self.random = Random(seed)
        self.machine = StateMachine()
        self.machine.state.settings = {"bounds": {"balancers": {"all": MAX_OUT}}}
        self.now = 0
        self.last_command = 0
        self.leader = ReleaseControl()
        self.versions = dict.fromkeys(ZONES, OLD_VERSION)
        self.targets: dict[str, str] = {}  # target version of each change under way, by name
        self.served = {name: Served() for name in ZONES}
        self.bad_version = ""
        self.slow_version = ""
        self.dead: set[str] = set()
        self.unheard: set[str] = set()
        self.peak_out = 0
        self.flows_per_step = FLOWS_PER_STEP
        assert self.apply(commands.BeginRelease, PLAN, sorted(ZONES))[0]

    def apply(self, command: type[Command], *arguments: Any) -> Any:
        """Apply a command and return its result."""
        self.last_command += 1
        entry = command(f"c{self.last_command}", "test", 0, *arguments)
        return self.machine.apply(encode(entry))[1]

    @property
    def release(self) -> Release:
        """Return the agreed release; `__init__` has begun one."""
        release = self.machine.state.release
        if release is None:
            raise LookupError("there is no release")
        return release

    @property
    def halt_reason(self) -> str:
        """Return the reason of the current halt, or an empty string."""
        halted = self.machine.state.halted
        return halted[2] if halted is not None else ""

    @property
    def is_halted(self) -> bool:
        """Return whether a halt is in force."""
        return self.machine.state.halted is not None

    def out(self) -> set[str]:
        """Return the balancers that the release has taken out."""
        members = self.release.members
        return {name for name, status in members.items() if status in ("out", "changing")}

    def count_of(self, version: str) -> int:
        """Return how many balancers run a version."""
        return list(self.versions.values()).count(version)

    def change_leader(self) -> None:
        """Replace the leader by one that has received no reports yet."""
        self.leader = ReleaseControl()
        self.unheard = set(ZONES)

    def return_balancer(self, name: str) -> None:
        """Apply the return of a balancer that has a leave grant."""
        self.apply(commands.BalancerReturned, name, self.machine.state.leave_grants[name])

    def step(self) -> None:
        """Simulate one step, a fifth of a second."""
        self.now += int(STEP_S * SECOND)
        for name, version in self.versions.items():
            if name not in self.dead:
                self._serve(name, version)
        unavailable = self._unavailable()
        self._run_leader(unavailable)
        for name, status in list(self.release.members.items()):
            if name not in self.dead:
                self._run_agent(name, status, unavailable)
        out = self.out()
        self.peak_out = max(self.peak_out, len(out))
        assert len(out) <= MAX_OUT or self.dead

    def _serve(self, name: str, version: str) -> None:
        served = self.served[name]
        for _ in range(self.flows_per_step):
            is_bad = version == self.bad_version
            failed = is_bad and self.random.random() < BAD_FAILURE_PROBABILITY
            if failed or self.random.random() < FAILURE_PROBABILITY:
                served.failed += 1
                continue
            served.established += 1
            served.setup_time += SLOW_SETUP_TIME if version == self.slow_version else SETUP_TIME

    def _unavailable(self) -> dict[str, str]:
        """Return the balancers that the leader counts as out, each with the reason."""
        self.unheard = {
            name
            for name in sorted(self.unheard)
            if self.random.random() < STILL_UNHEARD_PROBABILITY
        }
        unheard = dict.fromkeys(self.unheard, "has not said that it is ready")
        return unheard | dict.fromkeys(self.dead, "not heard")

    def _run_leader(self, unavailable: dict[str, str]) -> None:
        counts = {name: s.counts() for name, s in self.served.items() if name not in self.dead}
        situation = ReleaseSituation(
            release=self.release,
            halted=self.is_halted,
            served=counts,
            out=set(unavailable),
            counted_against_bound=set(self.machine.state.leave_grants),
            boots={},
        )
        action = self.leader.next_action(self.now, situation)
        if action is not None:
            self._propose(action, unavailable)

    def _propose(self, action: ReleaseAction, unavailable: dict[str, str]) -> None:
        match action.step:
            case ReleaseStep.GRANT_TURN:
                self.apply(commands.GrantTurn, action.name, ZONES, unavailable, 0)
            case ReleaseStep.PASS_WAVE:
                self.apply(commands.WaveObserved, action.wave)
            case ReleaseStep.HALT:
                self.apply(commands.Halt, action.reason)
            case _:
                raise ValueError(action)

    def _run_agent(self, name: str, status: str, unavailable: dict[str, str]) -> None:
        if status == "out":
            if self.random.random() < CHANGE_STARTS_PROBABILITY:
                self._start_change(name, unavailable)
        elif status == "changing":
            if self.random.random() < CHANGE_ENDS_PROBABILITY:
                self.versions[name] = self.targets.get(name, self.versions[name])
                self.served[name] = Served()
                self.apply(commands.ChangeFinished, name, self.versions[name], "")
        elif name in self.machine.state.leave_grants:
            self.return_balancer(name)

    def _start_change(self, name: str, unavailable: dict[str, str]) -> None:
        target = OLD_VERSION if self.release.phase == "back" else NEW_VERSION
        if self.apply(commands.ChangeStarted, name, target, ZONES, unavailable)[0]:
            self.targets[name] = target

    def run_until(self, condition: Callable[[], bool], seconds: int) -> None:
        """Run until the condition holds, or until that many seconds after the start."""
        while not condition() and self.now < seconds * SECOND:
            self.step()

    def run_until_rolled_back(self, seconds: int = 600) -> None:
        """Run until the release is rolled back; fail if that takes more than that many seconds."""
        end = self.now // SECOND + seconds
        self.run_until(lambda: self.release.phase == "backed", end)
        state = (self.release, self.machine.state.halted, self.leader.waits_for)
        assert self.release.phase == "backed", state


def inject_random_fault(fleet: ModelFleet) -> None:
    """At random, kill or revive a balancer, change the leader, halt or resume, or do nothing."""
    draw = fleet.random.random()
    if draw < DEATH_BELOW and len(fleet.dead) < MAX_DEAD:
        fleet.dead.add(fleet.random.choice(sorted(ZONES)))
        if fleet.random.random() < 0.5:
            fleet.change_leader()  # the dead balancer was the leader
    elif draw < REVIVAL_BELOW and fleet.dead:
        fleet.dead.discard(fleet.random.choice(sorted(fleet.dead)))
    elif draw < LEADER_CHANGE_BELOW:
        fleet.change_leader()
    elif draw < HALT_BELOW:
        fleet.apply(commands.Halt, "by hand")
    elif draw < RESUME_BELOW:
        fleet.apply(commands.Resume, fleet.machine.state.halt_count)


def assert_halt_and_bound_respected(fleet: ModelFleet, out_before: set[str], halted: bool) -> None:
    """Assert that nothing went out during a halt and that the bound holds, given dead balancers.

    Args:
        fleet: The fleet after a step.
        out_before: Balancers that were out before that step.
        halted: Whether a halt was in force before that step.
    """
    out = fleet.out()
    gone_out = out - out_before
    if halted and fleet.is_halted and fleet.release.phase == "running":
        assert not gone_out
    if gone_out:
        assert len(out | fleet.dead) <= MAX_OUT + len(fleet.dead & out)


def run_release_with_faults(seed: int) -> ModelFleet:
    """Run a release with random faults, and check that it can be rolled back afterwards."""
    fleet = ModelFleet(seed)
    for _ in range(FAULTY_STEPS):
        inject_random_fault(fleet)
        out_before, halted = fleet.out(), fleet.is_halted
        fleet.step()
        assert_halt_and_bound_respected(fleet, out_before, halted)
    fleet.dead.clear()
    fleet.apply(commands.RollBack, "r1")
    fleet.run_until_rolled_back(900)
    assert set(fleet.versions.values()) == {OLD_VERSION}
    return fleet
