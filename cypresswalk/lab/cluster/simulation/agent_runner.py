"""Runner of a release agent in virtual time: executes its actions on a simulated host."""

import copy
from collections.abc import Callable, Collection
from typing import Any, Protocol

from cypresswalk.lab.cluster.simulation.process import Process
from cypresswalk.lab.cluster.simulation.release_simulation import ReleaseSimulation
from cypresswalk.lab.units import MILLISECOND, SECOND
from cypresswalk.rollout.actions import (
    Action,
    ActionGenerator,
    CallFleet,
    CallResult,
    CheckReady,
    FindStartedProcess,
    GenerateToken,
    IsRunning,
    ReadClock,
    SaveState,
    Sleep,
    StartProcess,
    StartResult,
    StopProcess,
)
from cypresswalk.rollout.agent_state import AgentState
from cypresswalk.rollout.change_agent import ChangeAgent

CALL_SPAN = 4 * SECOND  # within which the fleet must answer an agent's call
CALL_TIMEOUT = 5 * SECOND  # after which the agent stops waiting for the answer
CALL_LATENCY = MILLISECOND  # so that no answer arrives while the call is still being made


class AgentHost(Protocol):
    """The interface of a host that its agent uses.

    Attributes:
        name: name of the member or server on the host.
        latest_pid: pid of the process started last.
    """

    name: str
    latest_pid: int

    @property
    def frozen_until(self) -> int:
        """Return the virtual time until which the host is frozen."""

    @property
    def running_pids(self) -> Collection[int]:
        """Return the pids of the running processes."""

    def make_agent(self, state: AgentState) -> ChangeAgent:
        """Return an agent that continues from a saved state."""

    def clock(self) -> int:
        """Return the time of the host's clock, nanoseconds."""

    def start_process(self, version: str, admin: str) -> int:
        """Start a process and return its pid."""

    def end_process(self, pid: int) -> None:
        """Kill a process."""

    def request_shutdown(self, pid: int) -> None:
        """Request a clean shutdown of a process."""

    def readiness_error(self, admin: str) -> str:
        """Return why the process at that address is not ready, or an empty string."""

    def contacts(self) -> list[Process]:
        """Return the balancers to call, in the order in which the agent tries them."""


class AgentRunner:
    """The runner of one host's agent, which can be started and killed.

    Attributes:
        saved: the state that the agent saved last.
        actions_until_crash: number of actions executed before the agent crashes; None for never.
    """

    def __init__(self, simulation: ReleaseSimulation[Any], host: AgentHost):
        """Create a runner whose agent is not started yet."""
        self.saved = AgentState()
        self.actions_until_crash: int | None = None
        self._simulation = simulation
        self._host = host
        self._agent: ChangeAgent | None = None
        self._work: ActionGenerator[None] | None = None
        self._incarnation = 0  # results for an earlier one are ignored

    def start(self) -> None:
        """Start the agent from its saved state, if it does not run."""
        if self._work is None:
            self._agent = self._host.make_agent(copy.copy(self.saved))
            self._work = self._agent.run()
            self._resume(self._incarnation, None)

    def kill(self) -> None:
        """Kill the agent; the host's processes keep running."""
        self._incarnation += 1
        self._agent = None
        self._work = None
        self.actions_until_crash = None
        self._simulation.check_bound()

    def _resume(self, incarnation: int, result: Any) -> None:
        """Send the last action's result, and execute actions until one takes time."""
        while incarnation == self._incarnation and self._work is not None:
            frozen_for = self._host.frozen_until - self._simulation.now
            if frozen_for > 0:
                self._resume_later(frozen_for, result)
                return
            if self._crashes_now():
                self._simulation.count("agent died at a step")
                self.kill()
                return
            action = self._work.send(result)
            if isinstance(action, Sleep):
                self._resume_later(int(action.seconds * SECOND), None)
                return
            if isinstance(action, CallFleet):
                self._call_fleet(action)
                return
            result = self._execute(action)

    def _resume_later(self, delay: int, result: Any) -> None:
        incarnation = self._incarnation
        self._simulation.call_later(delay, lambda: self._resume(incarnation, result))

    def _crashes_now(self) -> bool:
        if self.actions_until_crash is None:
            return False
        self.actions_until_crash -= 1
        return self.actions_until_crash < 0

    def _execute(self, action: Action) -> Any:
        """Execute an action that takes no virtual time, and return its result."""
        host = self._host
        match action:
            case SaveState():
                self._save()
            case StartProcess():
                return StartResult(host.start_process(action.version, action.admin), "")
            case FindStartedProcess():
                is_other = (
                    host.latest_pid != action.known_pid and host.latest_pid in host.running_pids
                )
                return host.latest_pid if is_other else 0
            case IsRunning():
                return action.pid in host.running_pids
            case StopProcess():
                end: Callable[[int], None] = (
                    host.end_process if action.kill else host.request_shutdown
                )
                end(action.pid)
            case CheckReady():
                return host.readiness_error(action.admin)
            case ReadClock():
                return host.clock() / SECOND
            case GenerateToken():
                return self._simulation.next_ident("d")
        return None

    def _save(self) -> None:
        assert self._agent is not None  # the agent itself requests the save
        self._simulation.note(f"{self._host.name} {self._agent.state}")
        self.saved = copy.copy(self._agent.state)
        self._simulation.check_bound()

    # Calls.

    def _call_fleet(self, call: CallFleet) -> None:
        incarnation = self._incarnation
        is_answered = False

        def reply(ok: bool, body: Any) -> None:
            """Resume the agent with the first answer, after a latency; ignore later answers."""
            nonlocal is_answered
            if not is_answered:
                is_answered = True
                result = CallResult(ok, body)
                self._simulation.call_later(CALL_LATENCY, lambda: self._resume(incarnation, result))

        self._simulation.call_later(CALL_TIMEOUT, lambda: reply(False, {"why": "no answer"}))
        process = self._first_contact()
        if process is None:
            reply(False, {"why": "no balancer answers"})
            return
        if call.name == "release_began":
            self._simulation.count("began asked")
        args = call.args
        if call.command_id:
            command = self._simulation.make_command(f"agent of {self._host.name}", args)
            args = command | {"ident": call.command_id}
        self._simulation.call(process, call.name, args, CALL_SPAN, reply)

    def _first_contact(self) -> Process | None:
        for process in self._host.contacts():
            is_cut = self._simulation.network.is_cut(self._host.name, process.name)
            if process.member is not None and not process.is_frozen and not is_cut:
                return process
        return None
