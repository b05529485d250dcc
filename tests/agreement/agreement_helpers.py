"""A fleet in virtual time, its links and its operators, and Raft nodes without a host."""

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
from cypresswalk.lab.cluster.simulation.process import Process
from cypresswalk.lab.cluster.simulation.world import World
from cypresswalk.model import SECOND

# Within which a fleet that starts has a leader, and leases at all members.
STARTUP_TIME = 8 * SECOND
CALL_TIMEOUT = 6 * SECOND

# Operators' calls that change the replicated state: they carry an id, the caller and a time.
CALL_NUMBERS = count()
CHANGING_CALLS = ("out", "back", "offer", "replace")

# Whether a message from one node may reach another.
MessageFilter = Callable[[str, str, Message], bool]


class PendingCall:
    """An operator's call and its answer, once that has come."""

    def __init__(self) -> None:
        """Start without an answer."""
        self.answers: list[tuple[bool, Any]] = []

    def on_answer(self, accepted: bool, body: Any) -> None:
        """Take the member's answer."""
        self.answers.append((accepted, body))

    @property
    def answer(self) -> tuple[bool, Any]:
        """Whether it was accepted, and the body of the one answer.

        Raises:
            LookupError: there is none, or more than one.
        """
        if len(self.answers) != 1:
            raise LookupError(f"{len(self.answers)} answers: {self.answers}")
        return self.answers[0]

    @property
    def accepted(self) -> bool:
        """Whether the member said yes."""
        return self.answer[0]

    @property
    def body(self) -> Any:
        """What the member said with it."""
        return self.answer[1]


def started_world(seed: int, voters: int = 3, followers: int = 0) -> World:
    """A fleet that has a leader, and leases at all members."""
    world = World(seed, voters, followers)
    world.start()
    world.run(STARTUP_TIME)
    assert world.leader() is not None
    assert all_act(world)
    return world


def all_act(world: World) -> bool:
    """Whether every member has a lease and acts on what it knows."""
    return all(process.acts for process in world.processes.values())


def any_acts(world: World) -> bool:
    """Whether some member has a lease."""
    return any(process.acts for process in world.processes.values())


def other_processes(world: World, process: Process) -> list[Process]:
    """All members but one."""
    return [other for other in world.processes.values() if other is not process]


def leader_of(world: World) -> Process:
    """The member that leads.

    Raises:
        LookupError: nobody does; no AssertionError, by which a mutant would count as detected.
    """
    leader = world.leader()
    if leader is None:
        raise LookupError("nobody leads")
    return leader


def member_of(process: Process) -> Member:
    """What a process is in its group.

    Raises:
        LookupError: it does not run.
    """
    if process.fleet is None or process.fleet.member is None:
        raise LookupError(f"{process.name} does not run")
    return process.fleet.member


def node_of(process: Process) -> Node:
    """The Raft node of a process.

    Raises:
        LookupError: it does not run, or has no part in the group yet.
    """
    node = member_of(process).node
    if node is None:
        raise LookupError(f"{process.name} is no member yet")
    return node


def removed_servers(process: Process) -> set[str]:
    """Servers that are out of rotation, as one member knows it."""
    return set(member_of(process).state.removed_servers)


def isolate(world: World, process: Process) -> None:
    """Nothing arrives at one member, nor from it."""
    world.network.isolate(process.name, world.processes)


def call(world: World, process: Process, name: str, **arguments: Any) -> PendingCall:
    """Make an operator's call at one member; the answer comes as time passes."""
    pending = PendingCall()
    if name in CHANGING_CALLS:
        caller = {"ident": f"{name}/{next(CALL_NUMBERS)}", "by": "test", "at": 0}
        arguments = caller | arguments
    world.call(process, name, arguments, CALL_TIMEOUT, pending.on_answer)
    return pending


def initial_state(members: tuple[GroupMember, ...]) -> PersistentState:
    """What a member of a new group has stored."""
    return PersistentState(Snapshot(0, 0, members, b""))


def elected_single_node() -> Node:
    """The one member of its group, which has elected itself and written what that takes."""
    members = (GroupMember("a#1", True),)
    timing = Timing(max_uncommitted_entries=8)
    node = Node("a#1", initial_state(members), timing, Random(1), 0)
    node.tick(node.due())
    while (work := node.take_ready()) is not None:
        node.on_persisted(0, work)
    return node


def deliver_all(source: str, target: str, message: Message) -> bool:
    """The filter that loses nothing."""
    return True


class FiveNodes:
    """Nodes a to e without a host; messages are carried by hand.

    For cases that take more luck than random runs have.
    """

    NAMES = "abcde"

    def __init__(self) -> None:
        """Start five followers, which write at once and are sent one entry at a time."""
        members = tuple(GroupMember(name, True) for name in self.NAMES)
        timing = Timing(max_append_entries=1)
        self.nodes = {
            name: Node(name, initial_state(members), timing, Random(name), 0) for name in self.NAMES
        }
        self.now = 0

    def pump(self, names: str, delivers: MessageFilter = deliver_all) -> None:
        """Carry messages among the named nodes until none has anything to do."""
        busy = True
        while busy:
            busy = any([self._step(name, names, delivers) for name in names])

    def _step(self, name: str, names: str, delivers: MessageFilter) -> bool:
        work = self.nodes[name].take_ready()
        if work is None:
            return False
        self.nodes[name].on_persisted(self.now, work)
        for target, message in work.messages:
            if target in names and delivers(name, target, message):
                self.nodes[target].step(self.now, name, message)
        return True

    def elect(self, name: str, names: str, delivers: MessageFilter = deliver_all) -> None:
        """Let one node's election timer run out, again and again, until it leads."""
        for _ in range(6):
            self.now += 10 * SECOND
            self.nodes[name].state.due_at = self.now
            self.nodes[name].tick(self.now)
            self.pump(names, delivers)
            if self.nodes[name].role is Role.LEADER:
                return
        raise AssertionError(f"{name} was not elected")
