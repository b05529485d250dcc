"""Searches the agreement for violations: a run by a schedule of faults and operators' calls.

Invariants are checked after every step; at the end all faults are lifted, and the fleet must
converge and have all that it promised.
"""

import logging
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from cypresswalk.lab.cluster.simulation.data_losses import DataLosses
from cypresswalk.lab.cluster.simulation.disk import StoredFile
from cypresswalk.lab.cluster.simulation.errors import ViolationError
from cypresswalk.lab.cluster.simulation.faults import Picker, Target, ValueT, WorldFaults
from cypresswalk.lab.cluster.simulation.network import MIN_DELAY
from cypresswalk.lab.cluster.simulation.operators import Operators
from cypresswalk.lab.cluster.simulation.process import CLOCK_RATES, Process
from cypresswalk.lab.cluster.simulation.schedule import (
    Schedule,
    ScheduledAction,
    draw_schedule,
    reduce_schedule,
)
from cypresswalk.lab.cluster.simulation.world import World
from cypresswalk.lab.units import MILLISECOND, SECOND

STARTUP_TIME = 6 * SECOND  # after which the first fault is injected
# Within which a fleet without faults must converge: leases, a dead voter's replacement, a disk
# that is tried again.
RECOVERY_TIME = 40 * SECOND
LINK_DELAYS_S = (0.3, 1, 2, 4)
MAX_OPERATIONS_UNTIL_KILL = 6
UNREADABLE_MARK_COUNT = 5
# Drawn for each run.
LOSSES = (0.0, 0.02, 0.2)
DUPLICATIONS = (0.0, 0.1)
MAX_DELAYS_MS = (2, 20, 300)


@dataclass(slots=True)
class Outcome:
    """What a run has shown.

    Attributes:
        seed: of the run.
        steps: how many there were.
        states: fingerprints of those that were met.
        situations: how often each was met.
        longest_contradiction: for which a process acted on an older version, nanoseconds.
        violation: which rule was broken, when and by which seed; or empty.
        history: the last lines of it.
        promise_count: how many commands were confirmed.
    """

    seed: int
    steps: int = 0
    states: set[bytes] = field(default_factory=set)
    situations: Counter[str] = field(default_factory=Counter)
    longest_contradiction: int = 0
    violation: str = ""
    history: list[str] = field(default_factory=list)
    promise_count: int = 0


class Explorer:
    """Carries out a schedule in a world."""

    def __init__(self, world: World):
        """Has done nothing yet."""
        self.world = world
        self.operators = Operators(world)
        self._data_losses = DataLosses(world)
        self._backups: dict[str, dict[str, StoredFile]] = {}
        self._handlers = (
            WorldFaults(world, LINK_DELAYS_S).handlers()
            | self.operators.handlers()
            | {
                "kill": lambda target: target.process.kill(),
                "start": self._start,
                "copy": self._back_up,
                "wipe": self._wipe,
                "put_back": self._restore,
                "disk_fails": self._fail_disk,
                "disk_full": self._fill_disk,
                "disk_well": self._repair_disks,
                "kill_writing": self._kill_in_a_write,
                "refuses": self._refuse_settings,
            }
        )

    def carry_out(self, action: ScheduledAction) -> None:
        """Injects the fault or makes the call."""
        process = self.world.processes[action.process]
        other = action.other if action.kind.startswith("cut") else ""
        self.world.note(f"{action.kind} {action.process} {other}")
        self.world.count(action.kind)
        target = Target(process, self.world.processes[action.other], _picker(action.number))
        self._handlers[action.kind](target)

    def _start(self, target: Target) -> None:
        if target.process.fleet is None:
            target.process.start()

    def _refuse_settings(self, target: Target) -> None:
        target.process.unreadable_marks.add(target.pick(range(UNREADABLE_MARK_COUNT)))

    # Disks.

    def _kill_in_a_write(self, target: Target) -> None:
        operations = target.pick(range(MAX_OPERATIONS_UNTIL_KILL))
        target.process.disk.operations_until_kill = operations

    def _back_up(self, target: Target) -> None:
        if target.process.fleet is None:
            self._backups[target.process.name] = target.process.disk.copy()

    def _wipe(self, target: Target) -> None:
        process = target.process
        if self._data_losses.permit(process):
            process.kill()
            process.disk.wipe()
            process.start()

    def _restore(self, target: Target) -> None:
        process = target.process
        if process.name in self._backups and self._data_losses.permit(process):
            process.kill()
            process.disk.restore(self._backups[process.name], with_inodes=False)
            process.start()

    def _fail_disk(self, target: Target) -> None:
        target.process.disk.failing = True

    def _fill_disk(self, target: Target) -> None:
        target.process.disk.full = True

    def _repair_disks(self, target: Target) -> None:
        for process in self.world.processes.values():
            process.disk.repair()

    # The end.

    def finish(self) -> None:
        """Lifts all faults; the fleet must converge and have all that it promised."""
        self._lift_faults()
        self.world.note("all faults lifted")
        self.world.run(RECOVERY_TIME)
        leader = self.world.leader()
        if leader is None:
            states = describe_processes(self.world)
            raise ViolationError(f"no leader though all faults were lifted: {states}")
        self._check_versions(leader)
        self._check_members(leader)
        results = leader.live_member.machine.results
        for ident, promise in self.operators.promises.items():
            if ident not in results:
                raise ViolationError(f"forgotten: {ident}, promised at version {promise.version}")

    def _lift_faults(self) -> None:
        world = self.world
        world.network.heal()
        world.network.stop_losses()
        for process in world.processes.values():
            process.disk.repair()
            process.disk.operations_until_kill = None
            process.thaw()
            process.unreadable_marks.clear()
            if process.fleet is None:
                process.start()
            world.schedule(process)

    def _check_versions(self, leader: Process) -> None:
        newest = leader.live_member.state.version
        for process in self.world.processes.values():
            if not process.acts or process.acts_on != newest:
                raise ViolationError(
                    f"{process.name} does not act on version {newest} though all faults were "
                    f"lifted: {describe_processes(self.world)}"
                )

    def _check_members(self, leader: Process) -> None:
        member = leader.live_member
        voters = sorted(m.name for m in member.members if m.voter)
        is_complete = len(member.members) == len(self.world.processes)
        if voters != sorted(member.state.voters) or not is_complete:
            raise ViolationError(f"members are not whole: {member.members}")
        processes = self.world.processes.values()
        if len({process.fleet.group() for process in processes if process.fleet is not None}) != 1:
            raise ViolationError("two groups")


def _picker(number: int) -> Picker:
    """Picks always the same one of as many values."""

    def pick(values: Sequence[ValueT]) -> ValueT:
        """Returns the value at the fixed number, modulo the count of values."""
        return values[number % len(values)]

    return pick


def describe_processes(world: World) -> str:
    """The state of each balancer, for people."""
    return "; ".join(
        f"{process.name}: {_describe(process)}" for process in world.processes.values()
    )


def _describe(process: Process) -> str:
    if process.fleet is None:
        return "down"
    member = process.member
    if member is None:
        return "stopped"
    node = member.node
    raft = node and (node.role.value, node.term, node.commit_index, node.log.last_index)
    members = [(m.id[:2] + m.id[-4:], m.voter) for m in member.members]
    return f"{member.id[-4:]} {raft} acts {process.acts} on {process.acts_on} members {members}"


def run_seed(
    seed: int,
    action_count: int = 100,
    voters: int = 3,
    followers: int = 1,
    schedule: Schedule | None = None,
) -> Outcome:
    """Runs a fleet by a seed; the same seed and arguments give the same outcome.

    Args:
        seed: of all random draws.
        action_count: how many faults and calls are drawn.
        voters: how many balancers vote.
        followers: how many more there are.
        schedule: what is carried out in place of the drawn one.
    """
    logging.getLogger("cypresswalk.fleet").setLevel(logging.CRITICAL)
    world = _draw_world(seed, voters, followers)
    if schedule is None:
        schedule = draw_schedule(seed, list(world.processes), action_count)
    outcome = Outcome(seed)
    explorer = Explorer(world)
    try:
        world.start()
        world.run(STARTUP_TIME)
        for action in schedule:
            explorer.carry_out(action)
            world.run(action.pause)
            outcome.states.add(world.fingerprint())
        explorer.finish()
    except ViolationError as error:
        outcome.violation = f"seed {seed}, at {world.now / SECOND:.3f} s: {error}"
    outcome.steps = world.steps
    outcome.situations = world.situations
    outcome.longest_contradiction = world.invariants.longest_contradiction
    outcome.history = world.history
    outcome.promise_count = len(explorer.operators.promises)
    return outcome


def _draw_world(seed: int, voters: int, followers: int) -> World:
    random = Random(f"{seed}/shape")
    world = World(
        seed,
        voters,
        followers,
        loss=random.choice(LOSSES),
        duplication=random.choice(DUPLICATIONS),
        delay=(MIN_DELAY, random.choice(MAX_DELAYS_MS) * MILLISECOND),
    )
    for process in world.processes.values():
        process.clock_rate = random.uniform(*CLOCK_RATES)
    return world


def reduce_seed(seed: int, schedule: Schedule) -> Schedule:
    """Takes out of a schedule by which the seed fails all that it can fail without."""
    return reduce_schedule(
        schedule, lambda shorter: bool(run_seed(seed, schedule=shorter).violation)
    )
