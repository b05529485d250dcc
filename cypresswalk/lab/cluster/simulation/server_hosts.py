"""A server's host: one process at a time, without a part in the fleet."""

from random import Random
from typing import Any

from cypresswalk.lab.cluster.simulation.errors import ViolationError
from cypresswalk.lab.cluster.simulation.hosts import Build, Host, HostProcess
from cypresswalk.lab.cluster.simulation.process import CLOCK_RATES, MAX_CLOCK_BASE, Process
from cypresswalk.lab.cluster.simulation.release_world import OLD_VERSION, Reason, ReleaseWorld
from cypresswalk.rollout.agent_state import AgentState, AgentStep
from cypresswalk.rollout.server_agent import ServerAgent

ADMINS = ("a", "a")  # a server has one address
BUILDS = {
    "good": Build(),
    "aborts": Build(failure_share=0.2),
    "falls": Build(crash_after_s=6.0),
    "never_ready": Build(becomes_ready=False),
}
OUT_BEFORE = "out since"  # so begins the answer where an earlier call took the server out


class ServerHost(Host):
    """The host of one server."""

    builds = BUILDS
    changing_steps = (AgentStep.DRAINING, AgentStep.REPLACING, AgentStep.RESTORING)
    startup_time_s = (0.1, 1.0)
    leave_time_s = (0.1, 3)

    def __init__(self, world: ReleaseWorld[Any], name: str):
        """The host of the server of that name."""
        super().__init__(world, name, Random(f"{world.seed}/server/{name}"))
        self._clock_base = self.random.randrange(MAX_CLOCK_BASE)
        self._clock_rate = self.random.uniform(*CLOCK_RATES)
        self._brought_back_at = -1  # by an operator's call, virtual time

    @property
    def frozen_until(self) -> int:
        """Servers are never frozen."""
        return 0

    @property
    def holds_slot(self) -> bool:
        """Whether it is out by the program's own doing."""
        return self.is_out

    def clock(self) -> int:
        """The host's clock, nanoseconds."""
        return self._clock_base + int(self.world.now * self._clock_rate)

    def make_agent(self, state: AgentState) -> ServerAgent:
        """Returns an agent that goes on from a saved state."""
        return ServerAgent(self.name, OLD_VERSION, ADMINS, state)

    def contacts(self) -> list[Process]:
        """All balancers."""
        return list(self.world.processes.values())

    def is_serving(self) -> bool:
        """Whether the server answers."""
        return any(self._answers(process) for process in self.running.values())

    def _answers(self, process: HostProcess) -> bool:
        has_begun = process.ready_at <= self.world.now and not process.is_leaving
        return has_begun and self.build_of(process.version).becomes_ready

    def running_version(self) -> str:
        """The version of its process, or an empty string."""
        return next((process.version for process in self.running.values()), "")

    def readiness_error(self, admin: str) -> str:
        """Why the server does not answer, or an empty string."""
        return "" if self.is_serving() else "check: refused"

    def on_started(self, process: HostProcess) -> None:
        """A process was started; there may be one alone."""
        if len(self.running) > 1:
            raise ViolationError(f"{self.name} runs twice")

    def on_ended(self, process: HostProcess, planned: bool) -> None:
        """A process has ended, and all flows there."""
        self.world.on_process_ended(self)

    # By an operator's call.

    def take_out(self) -> None:
        """An operator takes the server out of rotation."""
        if self.removed:
            return
        asked_at = self.world.now

        def reply(ok: bool, body: Any) -> None:
            """Marks the server as removed if confirmed and not brought back since the call."""
            self.world.note(f"out {self.name}: {ok} {body}")
            # A rollback that was asked for meanwhile may have brought it in again.
            if ok and self._brought_back_at < asked_at:
                self.removed = True
                if not body["why"].startswith(OUT_BEFORE):
                    self.world.on_going_out(self, Reason.OPERATOR)

        self.world.operator_call("out", {"server": self.name}, reply)

    def bring_back(self) -> None:
        """An operator returns the server to rotation."""
        self._brought_back_at = self.world.now
        self.removed = False
        self.world.operator_call("back", {"server": self.name})
