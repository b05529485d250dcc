"""A host: an agent, and the processes that it starts there. Balancers' and servers' share this."""

from abc import ABC, abstractmethod
from collections.abc import Collection
from dataclasses import dataclass, field
from random import Random
from typing import Any

from cypresswalk.fleet.messages import FlowCounts
from cypresswalk.lab.cluster.simulation.agent_runner import AgentRunner
from cypresswalk.lab.cluster.simulation.process import Process
from cypresswalk.lab.cluster.simulation.release_world import NEW_VERSION, ReleaseWorld
from cypresswalk.lab.units import SECOND
from cypresswalk.rollout.agent_state import AgentState, AgentStep
from cypresswalk.rollout.change_agent import ChangeAgent

BASE_FAILURE_SHARE = 0.003  # of all flows, whatever the build


@dataclass(frozen=True, slots=True)
class Build:
    """What a version of a program does.

    Attributes:
        failure_share: of its flows, beside BASE_FAILURE_SHARE.
        setup_ms: how long it takes to set a flow up, milliseconds.
        crash_after_s: after how long it ends by itself, seconds; None for never.
        becomes_ready: whether it is ever ready.
    """

    failure_share: float = 0.0
    setup_ms: int = 3
    crash_after_s: float | None = None
    becomes_ready: bool = True


@dataclass(slots=True)
class FlowCounter:
    """Counts flows by how they went; `setup_time` is the sum of their set-ups, nanoseconds."""

    established: int = 0
    rejected: int = 0
    failed: int = 0
    setup_time: int = 0

    def add_established(self, setup_time: int) -> None:
        """Counts a flow that was set up in so many nanoseconds."""
        self.established += 1
        self.setup_time += setup_time

    def as_counts(self) -> FlowCounts:
        """The counts as members report them."""
        return self.established, self.rejected, self.failed, self.setup_time


@dataclass(slots=True)
class HostProcess:
    """A process that an agent has started.

    Attributes:
        pid: its id.
        version: that it runs.
        admin: the address at which it is called.
        ready_at: virtual time from which it answers.
        is_leaving: it was asked to leave.
        flows: that it has served.
        counted_until: virtual time up to which `flows` has them.
    """

    pid: int
    version: str
    admin: str
    ready_at: int
    is_leaving: bool = False
    flows: FlowCounter = field(default_factory=FlowCounter)
    counted_until: int = 0


class Host(ABC):
    """A host and what runs there.

    Attributes:
        name: of the member that runs there.
        random: the host's own draws.
        running: its processes by pid, the oldest first.
        latest_pid: of the process that was started last.
        agent: the release's agent.
        removed: an operator has taken the member out.
        unavailable_since: virtual time since which it serves nobody, by no call; or None.
        serving_since: virtual time since which it serves; or None.
    """

    builds: dict[str, Build]  # by name
    changing_steps: tuple[AgentStep, ...]  # of the agent, while it changes the member
    startup_time_s: tuple[float, float]  # bounds of the time until a new process answers
    leave_time_s: tuple[float, float]  # bounds of the time that a process takes to leave

    def __init__(self, world: ReleaseWorld[Any], name: str, random: Random):
        """A host on which nothing runs."""
        self.world = world
        self.name = name
        self.random = random
        self.running: dict[int, HostProcess] = {}
        self.latest_pid = 0
        self.agent = AgentRunner(world, self)
        self.removed = False
        self.unavailable_since: int | None = None
        self.serving_since: int | None = None

    # What differs between balancers and servers.

    @property
    @abstractmethod
    def frozen_until(self) -> int:
        """Virtual time until which nothing runs there."""

    @property
    @abstractmethod
    def holds_slot(self) -> bool:
        """Whether it has gone out by the program's own doing."""

    @abstractmethod
    def make_agent(self, state: AgentState) -> ChangeAgent:
        """Returns an agent that goes on from a saved state."""

    @abstractmethod
    def clock(self) -> int:
        """The host's clock, nanoseconds."""

    @abstractmethod
    def contacts(self) -> list[Process]:
        """The balancers that the agent calls, the first that answers."""

    @abstractmethod
    def readiness_error(self, admin: str) -> str:
        """Why the process at that address is not ready, or an empty string."""

    @abstractmethod
    def is_serving(self) -> bool:
        """Whether it serves flows now."""

    @abstractmethod
    def take_out(self) -> None:
        """An operator takes the member out by a call."""

    @abstractmethod
    def bring_back(self) -> None:
        """An operator ends what `take_out` began."""

    @abstractmethod
    def on_started(self, process: HostProcess) -> None:
        """A process was started; it does not answer yet."""

    @abstractmethod
    def on_ended(self, process: HostProcess, planned: bool) -> None:
        """A process has ended, after it was asked to leave or by a fault."""

    # What is shared.

    @property
    def running_pids(self) -> Collection[int]:
        """Of the processes that run."""
        return self.running.keys()

    @property
    def is_being_changed(self) -> bool:
        """Whether the agent is changing the member."""
        return self.agent.saved.step in self.changing_steps

    @property
    def is_out(self) -> bool:
        """Whether it is out by the program's own doing, or may be at any moment."""
        return self.removed or self.is_being_changed

    def build_of(self, version: str) -> Build:
        """What that version does."""
        return self.builds[self.world.build if version == NEW_VERSION else "good"]

    def observe(self) -> None:
        """Notes whether it serves."""
        now = self.world.now
        if self.is_serving():
            self.unavailable_since = None
            if self.serving_since is None:
                self.serving_since = now
            return
        self.serving_since = None
        if self.is_out:
            self.unavailable_since = None
        elif self.unavailable_since is None:
            self.unavailable_since = now

    def recover(self) -> None:
        """All faults are lifted: its agent runs, and goes on running."""
        self.agent.actions_until_crash = None
        self.agent.start()

    def start_process(self, version: str, admin: str) -> int:
        """Starts a process and returns its id."""
        self.world.pid_count += 1
        pid = self.world.pid_count
        startup_time = int(self.random.uniform(*self.startup_time_s) * SECOND)
        process = HostProcess(pid, version, admin, self.world.now + startup_time)
        self.running[pid] = process
        self.latest_pid = pid
        self.on_started(process)
        crash_after_s = self.build_of(version).crash_after_s
        if crash_after_s is not None:
            self.world.call_later(int(crash_after_s * SECOND), lambda: self.end_process(pid))
        return pid

    def ask_to_leave(self, pid: int) -> None:
        """Asks a process to leave; it ends a while later."""
        process = self.running.get(pid)
        if process is None or process.is_leaving:
            return
        self.world.on_stopping(self)
        process.is_leaving = True
        leave_time = int(self.random.uniform(*self.leave_time_s) * SECOND)
        self.world.call_later(leave_time, lambda: self.end_process(pid, planned=True))

    def end_process(self, pid: int, *, planned: bool = False) -> None:
        """Ends a process, if it runs."""
        process = self.running.pop(pid, None)
        if process is not None:
            self.on_ended(process, planned)

    def lose(self) -> None:
        """The agent and all processes end."""
        self.agent.kill()
        for pid in list(self.running):
            self.end_process(pid)
