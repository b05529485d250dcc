"""Simulated host of a balancer: during a change two processes, one of them the fleet member."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

from cypresswalk.fleet.applied_view import DRAIN_ENDED, DRAINED
from cypresswalk.fleet.messages import FlowCounts
from cypresswalk.fleet.unavailability import LEAVE_WINDOW
from cypresswalk.lab.cluster.simulation.hosts import (
    BASE_FAILURE_SHARE,
    Build,
    Host,
    HostProcess,
)
from cypresswalk.lab.cluster.simulation.process import Process, SimulatedFleetThread
from cypresswalk.lab.cluster.simulation.release_simulation import (
    OLD_VERSION,
    Reason,
    ReleaseSimulation,
)
from cypresswalk.lab.units import MILLISECOND, SECOND
from cypresswalk.rollout.agent_state import AgentState, AgentStep
from cypresswalk.rollout.balancer_agent import BalancerAgent

ADMINS = ("a", "b")  # admin addresses of the two processes
BUILDS = {
    "good": Build(),
    "aborts": Build(failure_share=0.1),
    "slow": Build(setup_ms=9),
    "falls": Build(crash_after_s=10.0),
    "never_ready": Build(becomes_ready=False),
}
SETUP_SPREAD = (0.5, 1.5)  # bounds of the random factor on a set-up time
DRAIN_SPAN = SECOND * 7 // 10  # within which the fleet must answer a call to drain
CALL_BACK_SPAN = 600 * SECOND  # within which it must answer a call to end a drain


@dataclass(slots=True)
class Traffic:
    """The load on all balancers.

    Attributes:
        flows_per_s: new flows per second at each balancer.
        failure_share: additional share of failed flows, the same at all balancers.
    """

    flows_per_s: int
    failure_share: float = 0.0


class BalancerHost(Host):
    """Host of one balancer.

    Attributes:
        process: the fleet member, which one of the host's processes runs.
        member_pid: pid of the process that runs the fleet member; 0 for none.
    """

    builds = BUILDS
    changing_steps = (AgentStep.STARTING_NEW, AgentStep.STOPPING_OLD)
    startup_time_s = (0.3, 1.5)
    shutdown_time_s = (0.1, 6)

    def __init__(self, simulation: ReleaseSimulation[Any], process: Process, traffic: Traffic):
        """Create the host of the given fleet member."""
        super().__init__(
            simulation, process.name, Random(f"{simulation.seed}/machine/{process.name}")
        )
        self.process = process
        self.member_pid = 0
        self._traffic = traffic
        process.on_start = self._connect

    def _connect(self, fleet: SimulatedFleetThread) -> None:
        fleet.readiness_provider = self.is_ready
        fleet.flow_counts_provider = self.flow_counts

    @property
    def frozen_until(self) -> int:
        """Return the virtual time until which the host is frozen."""
        return self.process.frozen_until

    @property
    def counts_against_bound(self) -> bool:
        """Return whether the balancer is drained, or a change by its agent shuts a process down."""
        is_shutting_down = any(process.is_shutting_down for process in self.running.values())
        return self.removed or (self.is_being_changed and is_shutting_down)

    def clock(self) -> int:
        """Return the time of the host's clock, nanoseconds."""
        return self.process.clock()

    def make_agent(self, state: AgentState) -> BalancerAgent:
        """Return an agent that continues from a saved state."""
        return BalancerAgent(self.name, OLD_VERSION, ADMINS, state)

    def contacts(self) -> list[Process]:
        """Return all balancers, the one on this host first."""
        others = [p for p in self.simulation.processes.values() if p is not self.process]
        return [self.process, *others]

    # Flows.

    def is_ready(self) -> bool:
        """Return whether a new flow would be placed."""
        process = self.running.get(self.member_pid)
        fleet = self.process.fleet
        if process is None or fleet is None:
            return False
        is_shutting_down = self.removed or process.is_shutting_down
        return (
            not is_shutting_down
            and fleet.may_act()
            and self.build_of(process.version).becomes_ready
        )

    def is_serving(self) -> bool:
        """Return whether the balancer serves flows now."""
        return self.is_ready() and not self.process.is_frozen

    def serving_version(self) -> str:
        """Return the version of the process that runs the fleet member."""
        return self.running[self.member_pid].version

    def flow_counts(self) -> FlowCounts:
        """Return the flow counts of the process that runs the fleet member."""
        process = self.running.get(self.member_pid)
        if process is None:
            return 0, 0, 0, 0
        if self.is_ready():
            span = self.simulation.now - process.counted_until
            for _ in range(int(self._traffic.flows_per_s * span / SECOND)):
                self._count_flow(process)
        process.counted_until = self.simulation.now
        return process.flows.as_counts()

    def _count_flow(self, process: HostProcess) -> None:
        build = self.build_of(process.version)
        failure_share = build.failure_share + self._traffic.failure_share + BASE_FAILURE_SHARE
        if self.random.random() < failure_share:
            process.flows.failed += 1
        else:
            spread = self.random.uniform(*SETUP_SPREAD)
            process.flows.add_established(int(build.setup_ms * MILLISECOND * spread))

    def readiness_error(self, admin: str) -> str:
        """Return the error that the process at that address answers to `check`, or ""."""
        process = next((p for p in self._answering() if p.admin == admin), None)
        if process is None:
            return "check: refused"
        if process.is_shutting_down:
            return "ERR leaving, 4 servers to place flows on"
        if self.removed:
            return "ERR drained, 4 servers to place flows on"
        fleet = self.process.fleet
        becomes_ready = self.build_of(process.version).becomes_ready
        return "" if becomes_ready and fleet is not None and fleet.may_act() else "ERR starting"

    def _answering(self) -> Sequence[HostProcess]:
        return [p for p in self.running.values() if p.ready_at <= self.simulation.now]

    # Processes.

    def recover(self) -> None:
        """End all faults: end a freeze, and start the agent if it does not run."""
        self.process.thaw()
        super().recover()
        self.simulation.schedule(self.process)

    def on_started(self, process: HostProcess) -> None:
        """Let the process become the fleet member once it answers, if no other process is."""
        self.simulation.call_later(
            process.ready_at - self.simulation.now, lambda: self._on_answering(process)
        )

    def _on_answering(self, process: HostProcess) -> None:
        if process.pid in self.running and not self.member_pid:
            self._take_over(process)

    def _take_over(self, process: HostProcess) -> None:
        self.member_pid = process.pid
        process.counted_until = self.simulation.now
        self.process.start()

    def on_ended(self, process: HostProcess, planned: bool) -> None:
        """Handle the end of a process; if it was the fleet member, another process takes over."""
        if process.pid == self.member_pid:
            self.member_pid = 0
            self._hand_over(planned)
        self.simulation.check_bound()

    def _hand_over(self, planned: bool) -> None:
        """Let another process take over; after a planned end it inherits lease and version."""
        fleet = self.process.fleet
        lease_until = fleet.lease_until if fleet is not None else 0
        version = self.process.applied_version if fleet is not None else 0
        if planned:
            self.process.end()
        else:
            self.process.kill()
        successor = next(iter(self._answering()), None)
        if successor is None:
            return
        self._take_over(successor)
        if planned and self.process.fleet is not None:
            self.process.applied_version = version
            self.process.fleet.inherit_lease(lease_until, version)
            self.simulation.schedule(self.process)

    # Drains by operators' calls.

    def take_out(self) -> None:
        """Drain the balancer by an operator's call, if it runs."""
        if not self._accepts_calls() or self.removed:
            return
        asked_at = self.process.clock()

        def reply(ok: bool, body: Any) -> None:
            """Mark the balancer as removed if the drain was granted in time and it is ready."""
            is_timely = self.process.clock() - asked_at <= LEAVE_WINDOW
            if ok and is_timely and self.is_ready():
                self.simulation.on_taken_out(self, Reason.DRAIN)
                self.removed = True
                self.simulation.check_bound()

        args = {"member": self.name, "why": DRAINED, "forced": False}
        command = self.simulation.make_command(f"{self.name} (call)", args)
        self.simulation.call(self.process, "go_out", command, DRAIN_SPAN, reply)

    def bring_back(self) -> None:
        """End the balancer's drain by an operator's call, if it runs."""
        if not self._accepts_calls() or not self.removed:
            return
        self.removed = False
        args = {"member": self.name, "why": DRAIN_ENDED, "forced": True}
        command = self.simulation.make_command(f"{self.name} (call)", args)
        self.simulation.call(self.process, "go_out", command, CALL_BACK_SPAN)

    def _accepts_calls(self) -> bool:
        return self.process.member is not None and not self.process.is_frozen
