"""Explorer of the agreement: runs a schedule of faults and operators' calls to find violations.

Invariants are checked after every step. At the end all faults are cleared, and the fleet must
converge and still have all confirmed commands.
"""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from cypresswalk.lab.cluster.simulation.data_losses import DataLosses
from cypresswalk.lab.cluster.simulation.disk import StoredFile
from cypresswalk.lab.cluster.simulation.errors import ViolationError
from cypresswalk.lab.cluster.simulation.faults import CommonFaults, Picker, Target, ValueT
from cypresswalk.lab.cluster.simulation.fleet_simulation import FleetSimulation
from cypresswalk.lab.cluster.simulation.log_levels import only_critical
from cypresswalk.lab.cluster.simulation.network import MIN_DELAY
from cypresswalk.lab.cluster.simulation.operators import Operators
from cypresswalk.lab.cluster.simulation.process import CLOCK_RATES, Process
from cypresswalk.lab.cluster.simulation.schedule import (
    Schedule,
    ScheduledAction,
    draw_schedule,
    reduce_schedule,
)
from cypresswalk.lab.units import MILLISECOND, SECOND

STARTUP_TIME = 6 * SECOND  # before the first fault
# Time for a fleet without faults to converge: lease expiry, replacement of a dead voter and the
# retry after a disk failure.
RECOVERY_TIME = 40 * SECOND
LINK_DELAYS_S = (0.3, 1, 2, 4)
MAX_OPERATIONS_UNTIL_KILL = 6
UNREADABLE_MARK_COUNT = 5  # only settings with marks below this are made unreadable
# One value of each is drawn for each run.
LOSSES = (0.0, 0.02, 0.2)
DUPLICATIONS = (0.0, 0.1)
MAX_DELAYS_MS = (2, 20, 300)


@dataclass(slots=True)
class Outcome:
    """The results of a run.

    Attributes:
        seed: seed of the run.
        steps: number of simulation steps.
        states: fingerprints of the states reached.
        situations: how often each situation occurred.
        longest_contradiction: longest time for which a process acted on an old version,
            nanoseconds.
        violation: the broken rule, with seed and time; or empty.
        history: the last events, a line each.
        confirmed_count: number of confirmed commands.
    """

    seed: int
    steps: int = 0
    states: set[bytes] = field(default_factory=set)
    situations: Counter[str] = field(default_factory=Counter)
    longest_contradiction: int = 0
    violation: str = ""
    history: list[str] = field(default_factory=list)
    confirmed_count: int = 0


class Explorer:
    """An executor of a schedule of faults and calls in a simulation."""

    def __init__(self, simulation: FleetSimulation):
        """Create an explorer of the given simulation."""
        self.simulation = simulation
        self.operators = Operators(simulation)
        self._data_losses = DataLosses(simulation)
        self._backups: dict[str, dict[str, StoredFile]] = {}
        self._handlers = (
            CommonFaults(simulation, LINK_DELAYS_S).handlers()
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
                "kill_writing": self._kill_during_write,
                "refuses": self._refuse_settings,
            }
        )

    def execute(self, action: ScheduledAction) -> None:
        """Inject the fault or make the call."""
        process = self.simulation.processes[action.process]
        other = action.other if action.kind.startswith("cut") else ""
        self.simulation.note(f"{action.kind} {action.process} {other}")
        self.simulation.count(action.kind)
        target = Target(process, self.simulation.processes[action.other], _picker(action.number))
        self._handlers[action.kind](target)

    def _start(self, target: Target) -> None:
        if target.process.fleet is None:
            target.process.start()

    def _refuse_settings(self, target: Target) -> None:
        target.process.unreadable_marks.add(target.pick(range(UNREADABLE_MARK_COUNT)))

    # Disks.

    def _kill_during_write(self, target: Target) -> None:
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
        for process in self.simulation.processes.values():
            process.disk.repair()

    # The end.

    def finish(self) -> None:
        """Clear all faults; the fleet must converge and still have all confirmed commands."""
        self._clear_faults()
        self.simulation.note("all faults cleared")
        self.simulation.run(RECOVERY_TIME)
        leader = self.simulation.leader()
        if leader is None:
            states = describe_processes(self.simulation)
            raise ViolationError(f"no leader although all faults were cleared: {states}")
        self._check_versions(leader)
        self._check_members(leader)
        results = leader.live_member.machine.results
        for ident, command in self.operators.confirmed_commands.items():
            if ident not in results:
                raise ViolationError(
                    f"lost command: {ident}, confirmed at version {command.version}"
                )

    def _clear_faults(self) -> None:
        simulation = self.simulation
        simulation.network.heal()
        simulation.network.stop_losses()
        for process in simulation.processes.values():
            process.disk.repair()
            process.disk.operations_until_kill = None
            process.thaw()
            process.unreadable_marks.clear()
            if process.fleet is None:
                process.start()
            simulation.schedule(process)

    def _check_versions(self, leader: Process) -> None:
        newest = leader.live_member.state.version
        for process in self.simulation.processes.values():
            if not process.may_act or process.applied_version != newest:
                raise ViolationError(
                    f"{process.name} does not act on version {newest} although all faults "
                    f"were cleared: {describe_processes(self.simulation)}"
                )

    def _check_members(self, leader: Process) -> None:
        member = leader.live_member
        voters = sorted(m.name for m in member.members if m.voter)
        is_complete = len(member.members) == len(self.simulation.processes)
        if voters != sorted(member.state.voters) or not is_complete:
            raise ViolationError(
                f"the members are incomplete or their voters wrong: {member.members}"
            )
        processes = self.simulation.processes.values()
        if len({process.fleet.group() for process in processes if process.fleet is not None}) != 1:
            raise ViolationError("the processes do not all belong to one group")


def _picker(number: int) -> Picker:
    """Return a picker that uses a fixed number as the index."""

    def pick(values: Sequence[ValueT]) -> ValueT:
        """Return the value at the fixed number, modulo the count of values."""
        return values[number % len(values)]

    return pick


def describe_processes(simulation: FleetSimulation) -> str:
    """Describe the state of each balancer, for error messages."""
    return "; ".join(
        f"{process.name}: {_describe(process)}" for process in simulation.processes.values()
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
    return (
        f"{member.id[-4:]} {raft} acts {process.may_act} on {process.applied_version} "
        f"members {members}"
    )


def run_seed(
    seed: int,
    action_count: int = 100,
    voters: int = 3,
    followers: int = 1,
    schedule: Schedule | None = None,
) -> Outcome:
    """Run a fleet by a seed; the same seed and arguments give the same outcome.

    Args:
        seed: seed of all random draws.
        action_count: number of faults and calls.
        voters: number of balancers that vote.
        followers: number of further balancers.
        schedule: faults and calls to execute in place of drawn ones.
    """
    simulation = _draw_simulation(seed, voters, followers)
    if schedule is None:
        schedule = draw_schedule(seed, list(simulation.processes), action_count)
    outcome = Outcome(seed)
    explorer = Explorer(simulation)
    try:
        with only_critical("cypresswalk.fleet"):
            simulation.start()
            simulation.run(STARTUP_TIME)
            for action in schedule:
                explorer.execute(action)
                simulation.run(action.pause)
                outcome.states.add(simulation.fingerprint())
            explorer.finish()
    except ViolationError as error:
        outcome.violation = f"seed {seed}, at {simulation.now / SECOND:.3f} s: {error}"
    outcome.steps = simulation.steps
    outcome.situations = simulation.situations
    outcome.longest_contradiction = simulation.invariants.longest_contradiction
    outcome.history = simulation.history
    outcome.confirmed_count = len(explorer.operators.confirmed_commands)
    return outcome


def _draw_simulation(seed: int, voters: int, followers: int) -> FleetSimulation:
    random = Random(f"{seed}/shape")
    simulation = FleetSimulation(
        seed,
        voters,
        followers,
        loss=random.choice(LOSSES),
        duplication=random.choice(DUPLICATIONS),
        delay=(MIN_DELAY, random.choice(MAX_DELAYS_MS) * MILLISECOND),
    )
    for process in simulation.processes.values():
        process.clock_rate = random.uniform(*CLOCK_RATES)
    return simulation


def reduce_seed(seed: int, schedule: Schedule) -> Schedule:
    """Remove from a failing schedule what is not needed for the seed to fail."""
    return reduce_schedule(
        schedule, lambda shorter: bool(run_seed(seed, schedule=shorter).violation)
    )
