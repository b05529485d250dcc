"""A balancer's host: two processes side by side while it is changed, one part in the fleet."""

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
from cypresswalk.lab.cluster.simulation.release_world import OLD_VERSION, Reason, ReleaseWorld
from cypresswalk.lab.units import MILLISECOND, SECOND
from cypresswalk.rollout.agent_state import AgentState, AgentStep
from cypresswalk.rollout.balancer_agent import BalancerAgent

ADMINS = ("a", "b")  # addresses of the two processes
BUILDS = {
    "good": Build(),
    "aborts": Build(failure_share=0.1),
    "slow": Build(setup_ms=9),
    "falls": Build(crash_after_s=10.0),
    "never_ready": Build(becomes_ready=False),
}
SETUP_SPREAD = (0.5, 1.5)  # of a set-up's time
DRAIN_SPAN = SECOND * 7 // 10
CALL_BACK_SPAN = 600 * SECOND


@dataclass(slots=True)
class Traffic:
    """What all balancers get.

    Attributes:
        flows_per_s: at each balancer.
        failure_share: of all flows, at whichever balancer.
    """

    flows_per_s: int
    failure_share: float = 0.0


class BalancerHost(Host):
    """The host of one balancer.

    Attributes:
        process: the part in the fleet, of one of the host's processes.
        member_pid: of the process that has that part; 0 for none.
    """

    builds = BUILDS
    changing_steps = (AgentStep.STARTING_NEW, AgentStep.STOPPING_OLD)
    startup_time_s = (0.3, 1.5)
    leave_time_s = (0.1, 6)

    def __init__(self, world: ReleaseWorld[Any], process: Process, traffic: Traffic):
        """The host of the balancer that has that part in the fleet."""
        super().__init__(world, process.name, Random(f"{world.seed}/machine/{process.name}"))
        self.process = process
        self.member_pid = 0
        self._traffic = traffic
        process.on_start = self._connect

    def _connect(self, fleet: SimulatedFleetThread) -> None:
        fleet.readiness_provider = self.is_ready
        fleet.flow_counts_provider = self.flow_counts

    @property
    def frozen_until(self) -> int:
        """Virtual time until which nothing runs there."""
        return self.process.frozen_until

    @property
    def holds_slot(self) -> bool:
        """Whether it was drained, or the process of the old version was asked to leave."""
        is_leaving = any(process.is_leaving for process in self.running.values())
        return self.removed or (self.is_being_changed and is_leaving)

    def clock(self) -> int:
        """The host's clock, nanoseconds."""
        return self.process.clock()

    def make_agent(self, state: AgentState) -> BalancerAgent:
        """Returns an agent that goes on from a saved state."""
        return BalancerAgent(self.name, OLD_VERSION, ADMINS, state)

    def contacts(self) -> list[Process]:
        """The balancer of this host first."""
        others = [p for p in self.world.processes.values() if p is not self.process]
        return [self.process, *others]

    # What it serves.

    def is_ready(self) -> bool:
        """Whether flows that came now would be placed."""
        process = self.running.get(self.member_pid)
        fleet = self.process.fleet
        if process is None or fleet is None:
            return False
        is_leaving = self.removed or process.is_leaving
        return not is_leaving and fleet.may_act() and self.build_of(process.version).becomes_ready

    def is_serving(self) -> bool:
        """Whether it serves flows now."""
        return self.is_ready() and not self.process.is_frozen

    def serving_version(self) -> str:
        """The version of the process that has the part in the fleet."""
        return self.running[self.member_pid].version

    def flow_counts(self) -> FlowCounts:
        """What the process with the part in the fleet has served."""
        process = self.running.get(self.member_pid)
        if process is None:
            return 0, 0, 0, 0
        if self.is_ready():
            span = self.world.now - process.counted_until
            for _ in range(int(self._traffic.flows_per_s * span / SECOND)):
                self._count_flow(process)
        process.counted_until = self.world.now
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
        """What the process at that address answers to `check`, or an empty string."""
        process = next((p for p in self._answering() if p.admin == admin), None)
        if process is None:
            return "check: refused"
        if process.is_leaving:
            return "ERR leaving, 4 servers to place flows on"
        if self.removed:
            return "ERR drained, 4 servers to place flows on"
        fleet = self.process.fleet
        becomes_ready = self.build_of(process.version).becomes_ready
        return "" if becomes_ready and fleet is not None and fleet.may_act() else "ERR starting"

    def _answering(self) -> Sequence[HostProcess]:
        return [p for p in self.running.values() if p.ready_at <= self.world.now]

    # Its processes.

    def recover(self) -> None:
        """All faults are lifted: what runs there goes on, and its agent runs."""
        self.process.thaw()
        super().recover()
        self.world.schedule(self.process)

    def on_started(self, process: HostProcess) -> None:
        """A process was started; it takes the part in the fleet once it answers, if it is free."""
        self.world.call_later(process.ready_at - self.world.now, lambda: self._answers(process))

    def _answers(self, process: HostProcess) -> None:
        if process.pid in self.running and not self.member_pid:
            self._take_over(process)

    def _take_over(self, process: HostProcess) -> None:
        self.member_pid = process.pid
        process.counted_until = self.world.now
        self.process.start()

    def on_ended(self, process: HostProcess, planned: bool) -> None:
        """A process has ended; another one takes its part in the fleet over."""
        if process.pid == self.member_pid:
            self.member_pid = 0
            self._hand_over(planned)
        self.world.check_bound()

    def _hand_over(self, planned: bool) -> None:
        """After a planned end the successor inherits the lease, and the version acted on."""
        fleet = self.process.fleet
        lease_until = fleet.lease_until if fleet is not None else 0
        version = self.process.acts_on if fleet is not None else 0
        if planned:
            self.process.end()
        else:
            self.process.kill()
        successor = next(iter(self._answering()), None)
        if successor is None:
            return
        self._take_over(successor)
        if planned and self.process.fleet is not None:
            self.process.acts_on = version
            self.process.fleet.inherit_lease(lease_until, version)
            self.world.schedule(self.process)

    # Drains by call.

    def take_out(self) -> None:
        """An operator drains the balancer, if it runs."""
        if not self._is_callable() or self.removed:
            return
        asked_at = self.process.clock()

        def reply(ok: bool, body: Any) -> None:
            """Marks the balancer as removed if the drain was granted in time and it is ready."""
            is_timely = self.process.clock() - asked_at <= LEAVE_WINDOW
            if ok and is_timely and self.is_ready():
                self.world.on_going_out(self, Reason.DRAIN)
                self.removed = True
                self.world.check_bound()

        args = {"member": self.name, "why": DRAINED, "forced": False}
        command = self.world.make_command(f"{self.name} (call)", args)
        self.world.call(self.process, "go_out", command, DRAIN_SPAN, reply)

    def bring_back(self) -> None:
        """An operator calls the balancer back, if it runs."""
        if not self._is_callable() or not self.removed:
            return
        self.removed = False
        args = {"member": self.name, "why": DRAIN_ENDED, "forced": True}
        command = self.world.make_command(f"{self.name} (call)", args)
        self.world.call(self.process, "go_out", command, CALL_BACK_SPAN)

    def _is_callable(self) -> bool:
        return self.process.member is not None and not self.process.is_frozen
