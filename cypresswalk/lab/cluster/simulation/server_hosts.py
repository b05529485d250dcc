"""Simulated host of a server: one process at a time, not a member of the fleet."""

from random import Random
from typing import Any

from cypresswalk.lab.cluster.simulation.errors import ViolationError
from cypresswalk.lab.cluster.simulation.hosts import Build, Host, HostProcess
from cypresswalk.lab.cluster.simulation.process import CLOCK_RATES, MAX_CLOCK_BASE, Process
from cypresswalk.lab.cluster.simulation.release_simulation import (
    OLD_VERSION,
    Reason,
    ReleaseSimulation,
)
from cypresswalk.rollout.agent_state import AgentState, AgentStep
from cypresswalk.rollout.server_agent import ServerAgent

ADMINS = ("a", "a")  # a server has one address
BUILDS = {
    "good": Build(),
    "aborts": Build(failure_share=0.2),
    "falls": Build(crash_after_s=6.0),
    "never_ready": Build(becomes_ready=False),
}
ALREADY_OUT_PREFIX = "out since"  # of the answer if an earlier call took the server out


class ServerHost(Host):
    """Host of one server."""

    builds = BUILDS
    changing_steps = (AgentStep.DRAINING, AgentStep.REPLACING, AgentStep.RESTORING)
    startup_time_s = (0.1, 1.0)
    shutdown_time_s = (0.1, 3)

    def __init__(self, simulation: ReleaseSimulation[Any], name: str):
        """Create the host of the named server."""
        super().__init__(simulation, name, Random(f"{simulation.seed}/server/{name}"))
        self._clock_base = self.random.randrange(MAX_CLOCK_BASE)
        self._clock_rate = self.random.uniform(*CLOCK_RATES)
        self._brought_back_at = -1  # virtual time of the last operator's call `back`

    @property
    def frozen_until(self) -> int:
        """Return 0: servers are never frozen."""
        return 0

    @property
    def counts_against_bound(self) -> bool:
        """Return whether the server is out by a release or a call."""
        return self.is_out

    def clock(self) -> int:
        """Return the time of the host's clock, nanoseconds."""
        return self._clock_base + int(self.simulation.now * self._clock_rate)

    def make_agent(self, state: AgentState) -> ServerAgent:
        """Return an agent that continues from a saved state."""
        return ServerAgent(self.name, OLD_VERSION, ADMINS, state)

    def contacts(self) -> list[Process]:
        """Return all balancers."""
        return list(self.simulation.processes.values())

    def is_serving(self) -> bool:
        """Return whether the server answers."""
        return any(self._is_answering(process) for process in self.running.values())

    def _is_answering(self, process: HostProcess) -> bool:
        is_up = process.ready_at <= self.simulation.now and not process.is_shutting_down
        return is_up and self.build_of(process.version).becomes_ready

    def running_version(self) -> str:
        """Return the version of the running process, or an empty string."""
        return next((process.version for process in self.running.values()), "")

    def readiness_error(self, admin: str) -> str:
        """Return an error if the server does not answer, or an empty string."""
        return "" if self.is_serving() else "check: refused"

    def on_started(self, process: HostProcess) -> None:
        """Raise ViolationError if two processes run."""
        if len(self.running) > 1:
            raise ViolationError(f"{self.name} runs two processes")

    def on_ended(self, process: HostProcess, planned: bool) -> None:
        """Report the end of the process, with which all its flows end."""
        self.simulation.on_process_ended(self)

    # Operators' calls.

    def take_out(self) -> None:
        """Take the server out of rotation by an operator's call."""
        if self.removed:
            return
        asked_at = self.simulation.now

        def reply(ok: bool, body: Any) -> None:
            """Mark the server as removed if confirmed and not brought back since the call."""
            self.simulation.note(f"out {self.name}: {ok} {body}")
            # A rollback requested meanwhile may have returned it to rotation.
            if ok and self._brought_back_at < asked_at:
                self.removed = True
                if not body["why"].startswith(ALREADY_OUT_PREFIX):
                    self.simulation.on_taken_out(self, Reason.OPERATOR)

        self.simulation.operator_call("out", {"server": self.name}, reply)

    def bring_back(self) -> None:
        """Return the server to rotation by an operator's call."""
        self._brought_back_at = self.simulation.now
        self.removed = False
        self.simulation.operator_call("back", {"server": self.name})
