"""Helpers for a simulated fleet with operators' calls, and for Raft nodes without a host."""

from collections.abc import Callable
from itertools import count
from random import Random
from typing import Any

from cypresswalk.agreement.log import Snapshot
from cypresswalk.agreement.member_state import Role
from cypresswalk.agreement.messages import Member as GroupMember
from cypresswalk.agreement.messages import Message
from cypresswalk.agreement.node import Node
from cypresswalk.agreement.ready import PersistentState
from cypresswalk.agreement.timing import Timing
from cypresswalk.fleet.member import Member
from cypresswalk.lab.cluster.simulation.fleet_simulation import FleetSimulation
from cypresswalk.lab.cluster.simulation.process import Process
from cypresswalk.model import SECOND

# Time in which a starting fleet elects a leader and all members get leases.
STARTUP_TIME = 8 * SECOND
CALL_TIMEOUT = 6 * SECOND

# Operators' calls that change the replicated state; they need an id, the caller and a time.
CALL_NUMBERS = count()
CHANGING_CALLS = ("out", "back", "offer", "replace")

# Returns whether a message from one node may reach another: source, target, message.
MessageFilter = Callable[[str, str, Message], bool]


class PendingCall:
    """An operator's call, and its answer once it has arrived."""

    def __init__(self) -> None:
        """Start without an answer."""
        self.answers: list[tuple[bool, Any]] = []

    def on_answer(self, accepted: bool, body: Any) -> None:
        """Record the member's answer."""
        self.answers.append((accepted, body))

    @property
    def answer(self) -> tuple[bool, Any]:
        """Return whether the call was accepted, and the body of its only answer.

        Raises:
            LookupError: there is no answer, or more than one.
        """
        if len(self.answers) != 1:
            raise LookupError(f"{len(self.answers)} answers: {self.answers}")
        return self.answers[0]

    @property
    def accepted(self) -> bool:
        """Return whether the member accepted the call."""
        return self.answer[0]

    @property
    def body(self) -> Any:
        """Return the body of the answer."""
        return self.answer[1]


def start_simulation(seed: int, voters: int = 3, followers: int = 0) -> FleetSimulation:
    """Start a simulated fleet, and run it until it has a leader and all members have leases."""
    simulation = FleetSimulation(seed, voters, followers)
    simulation.start()
    simulation.run(STARTUP_TIME)
    assert simulation.leader() is not None
    assert all_have_leases(simulation)
    return simulation


def all_have_leases(simulation: FleetSimulation) -> bool:
    """Return whether every member has a lease, and so may act on its state."""
    return all(process.may_act for process in simulation.processes.values())


def any_has_lease(simulation: FleetSimulation) -> bool:
    """Return whether any member has a lease."""
    return any(process.may_act for process in simulation.processes.values())


def other_processes(simulation: FleetSimulation, process: Process) -> list[Process]:
    """Return all members except `process`."""
    return [other for other in simulation.processes.values() if other is not process]


def leader_of(simulation: FleetSimulation) -> Process:
    """Return the leader.

    Raises:
        LookupError: there is no leader. An AssertionError would count as detection of a mutant.
    """
    leader = simulation.leader()
    if leader is None:
        raise LookupError("there is no leader")
    return leader


def member_of(process: Process) -> Member:
    """Return the group member that a process runs.

    Raises:
        LookupError: the process is not running.
    """
    if process.fleet is None or process.fleet.member is None:
        raise LookupError(f"{process.name} is not running")
    return process.fleet.member


def node_of(process: Process) -> Node:
    """Return the Raft node of a process.

    Raises:
        LookupError: the process is not running, or is not a member of the group yet.
    """
    node = member_of(process).node
    if node is None:
        raise LookupError(f"{process.name} is not a member yet")
    return node


def removed_servers(process: Process) -> set[str]:
    """Return the servers that are out of rotation in the state of one member."""
    return set(member_of(process).state.removed_servers)


def isolate(simulation: FleetSimulation, process: Process) -> None:
    """Cut one member off from all others, in both directions."""
    simulation.network.isolate(process.name, simulation.processes)


def call(simulation: FleetSimulation, process: Process, name: str, **arguments: Any) -> PendingCall:
    """Make an operator's call at one member; the answer arrives as virtual time passes."""
    pending = PendingCall()
    if name in CHANGING_CALLS:
        caller = {"ident": f"{name}/{next(CALL_NUMBERS)}", "by": "test", "at": 0}
        arguments = caller | arguments
    simulation.call(process, name, arguments, CALL_TIMEOUT, pending.on_answer)
    return pending


def initial_state(members: tuple[GroupMember, ...]) -> PersistentState:
    """Return the stored state of a member of a new group."""
    return PersistentState(Snapshot(0, 0, members, b""))


def elected_single_node() -> Node:
    """Return the only member of a group, after it has elected itself and flushed its writes."""
    members = (GroupMember("a#1", True),)
    timing = Timing(max_uncommitted_entries=8)
    node = Node("a#1", initial_state(members), timing, Random(1), 0)
    node.tick(node.due())
    while (ready := node.take_ready()) is not None:
        node.on_persisted(0, ready)
    return node


def deliver_all(source: str, target: str, message: Message) -> bool:
    """Let all messages pass."""
    return True


class FiveNodes:
    """Nodes a to e without a host; the test delivers their messages.

    This is for cases that random runs are unlikely to reach.
    """

    NAMES = "abcde"

    def __init__(self) -> None:
        """Start five followers that flush at once and receive one entry per append."""
        members = tuple(GroupMember(name, True) for name in self.NAMES)
        timing = Timing(max_append_entries=1)
        self.nodes = {
            name: Node(name, initial_state(members), timing, Random(name), 0) for name in self.NAMES
        }
        self.now = 0

    def run_until_idle(self, names: str, may_deliver: MessageFilter = deliver_all) -> None:
        """Deliver messages among the named nodes until none has pending work."""
        busy = True
        while busy:
            busy = any([self._step(name, names, may_deliver) for name in names])

    def _step(self, name: str, names: str, may_deliver: MessageFilter) -> bool:
        ready = self.nodes[name].take_ready()
        if ready is None:
            return False
        self.nodes[name].on_persisted(self.now, ready)
        for target, message in ready.messages:
            if target in names and may_deliver(name, target, message):
                self.nodes[target].step(self.now, name, message)
        return True

    def elect(self, name: str, names: str, may_deliver: MessageFilter = deliver_all) -> None:
        """Expire one node's election timer repeatedly until it is the leader."""
        for _ in range(6):
            self.now += 10 * SECOND
            self.nodes[name].state.due_at = self.now
            self.nodes[name].tick(self.now)
            self.run_until_idle(names, may_deliver)
            if self.nodes[name].role is Role.LEADER:
                return
        raise AssertionError(f"{name} was not elected")
