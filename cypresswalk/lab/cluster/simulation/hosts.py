"""Simulated host: an agent and the processes that it starts; base of both kinds of host."""

from abc import ABC, abstractmethod
from collections.abc import Collection
from dataclasses import dataclass, field
from random import Random
from typing import Any

from cypresswalk.fleet.messages import FlowCounts
from cypresswalk.lab.cluster.simulation.agent_runner import AgentRunner
from cypresswalk.lab.cluster.simulation.process import Process
from cypresswalk.lab.cluster.simulation.release_simulation import NEW_VERSION, ReleaseSimulation
from cypresswalk.lab.units import SECOND
from cypresswalk.rollout.agent_state import AgentState, AgentStep
from cypresswalk.rollout.change_agent import ChangeAgent

BASE_FAILURE_SHARE = 0.003  # of all flows, for every build


@dataclass(frozen=True, slots=True)
class Build:
    """Behaviour of a version of a program.

    Attributes:
        failure_share: share of failed flows, in addition to BASE_FAILURE_SHARE.
        setup_ms: time to set up a flow, milliseconds.
        crash_after_s: time from its start to a crash, seconds; None for never.
        becomes_ready: whether it ever becomes ready.
    """

    failure_share: float = 0.0
    setup_ms: int = 3
    crash_after_s: float | None = None
    becomes_ready: bool = True


@dataclass(slots=True)
class FlowCounter:
    """Counts of flows by outcome; `setup_time` is the sum of set-up times, nanoseconds."""

    established: int = 0
    rejected: int = 0
    failed: int = 0
    setup_time: int = 0

    def add_established(self, setup_time: int) -> None:
        """Count an established flow with its set-up time, nanoseconds."""
        self.established += 1
        self.setup_time += setup_time

    def as_counts(self) -> FlowCounts:
        """Return the counts in the form that members report."""
        return self.established, self.rejected, self.failed, self.setup_time


@dataclass(slots=True)
class HostProcess:
    """A process that an agent has started.

    Attributes:
        pid: process id.
        version: version of the program.
        admin: address of its admin port.
        ready_at: virtual time from which it answers.
        is_shutting_down: whether a clean shutdown was requested.
        flows: counts of the flows that it has served.
        counted_until: virtual time up to which `flows` counts.
    """

    pid: int
    version: str
    admin: str
    ready_at: int
    is_shutting_down: bool = False
    flows: FlowCounter = field(default_factory=FlowCounter)
    counted_until: int = 0


class Host(ABC):
    """A host, its agent and its processes.

    Attributes:
        name: name of the fleet member or server on this host.
        random: the host's own source of random draws.
        running: running processes by pid, the oldest first.
        latest_pid: pid of the process started last.
        agent: runner of the release's agent.
        removed: whether an operator has taken the member out.
        unavailable_since: virtual time since which it has not served though neither an agent nor
            an operator took it out; or None.
        serving_since: virtual time since which it has served; or None.
    """

    builds: dict[str, Build]  # by name
    changing_steps: tuple[AgentStep, ...]  # the agent's steps during which the member is changed
    startup_time_s: tuple[float, float]  # bounds of the time until a new process answers
    shutdown_time_s: tuple[float, float]  # bounds of the time that a process takes to shut down

    def __init__(self, simulation: ReleaseSimulation[Any], name: str, random: Random):
        """Create a host on which nothing runs."""
        self.simulation = simulation
        self.name = name
        self.random = random
        self.running: dict[int, HostProcess] = {}
        self.latest_pid = 0
        self.agent = AgentRunner(simulation, self)
        self.removed = False
        self.unavailable_since: int | None = None
        self.serving_since: int | None = None

    # What differs between balancers and servers.

    @property
    @abstractmethod
    def frozen_until(self) -> int:
        """Return the virtual time until which the host is frozen."""

    @property
    @abstractmethod
    def counts_against_bound(self) -> bool:
        """Return whether the member is out by a release or a call, and so counts as unavailable."""

    @abstractmethod
    def make_agent(self, state: AgentState) -> ChangeAgent:
        """Return an agent that continues from a saved state."""

    @abstractmethod
    def clock(self) -> int:
        """Return the time of the host's clock, nanoseconds."""

    @abstractmethod
    def contacts(self) -> list[Process]:
        """Return the balancers to call, in the order in which the agent tries them."""

    @abstractmethod
    def readiness_error(self, admin: str) -> str:
        """Return why the process at that address is not ready, or an empty string."""

    @abstractmethod
    def is_serving(self) -> bool:
        """Return whether the member serves flows now."""

    @abstractmethod
    def take_out(self) -> None:
        """Take the member out by an operator's call."""

    @abstractmethod
    def bring_back(self) -> None:
        """Bring the member back after `take_out`, by an operator's call."""

    @abstractmethod
    def on_started(self, process: HostProcess) -> None:
        """Handle the start of a process, which does not answer yet."""

    @abstractmethod
    def on_ended(self, process: HostProcess, planned: bool) -> None:
        """Handle the end of a process; `planned` if it was shut down, not if it crashed."""

    # Common to balancers and servers.

    @property
    def running_pids(self) -> Collection[int]:
        """Return the pids of the running processes."""
        return self.running.keys()

    @property
    def is_being_changed(self) -> bool:
        """Return whether the agent is changing the member."""
        return self.agent.saved.step in self.changing_steps

    @property
    def is_out(self) -> bool:
        """Return whether the member is out by a release or a call, or may be at any moment."""
        return self.removed or self.is_being_changed

    def build_of(self, version: str) -> Build:
        """Return the behaviour of that version."""
        return self.builds[self.simulation.build if version == NEW_VERSION else "good"]

    def observe(self) -> None:
        """Record whether the member serves."""
        now = self.simulation.now
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
        """End all faults: cancel a pending crash of the agent, and start it if it does not run."""
        self.agent.actions_until_crash = None
        self.agent.start()

    def start_process(self, version: str, admin: str) -> int:
        """Start a process and return its pid."""
        self.simulation.pid_count += 1
        pid = self.simulation.pid_count
        startup_time = int(self.random.uniform(*self.startup_time_s) * SECOND)
        process = HostProcess(pid, version, admin, self.simulation.now + startup_time)
        self.running[pid] = process
        self.latest_pid = pid
        self.on_started(process)
        crash_after_s = self.build_of(version).crash_after_s
        if crash_after_s is not None:
            self.simulation.call_later(int(crash_after_s * SECOND), lambda: self.end_process(pid))
        return pid

    def request_shutdown(self, pid: int) -> None:
        """Request a clean shutdown of a process; it ends a while later."""
        process = self.running.get(pid)
        if process is None or process.is_shutting_down:
            return
        self.simulation.on_stopping(self)
        process.is_shutting_down = True
        shutdown_time = int(self.random.uniform(*self.shutdown_time_s) * SECOND)
        self.simulation.call_later(shutdown_time, lambda: self.end_process(pid, planned=True))

    def end_process(self, pid: int, *, planned: bool = False) -> None:
        """End a process, if it runs."""
        process = self.running.pop(pid, None)
        if process is not None:
            self.on_ended(process, planned)

    def kill_all(self) -> None:
        """Kill the agent and all processes."""
        self.agent.kill()
        for pid in list(self.running):
            self.end_process(pid)
