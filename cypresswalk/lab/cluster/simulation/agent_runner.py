"""Runs a release's agent in virtual time: carries its actions out at a simulated host."""

import copy
from collections.abc import Callable, Collection
from typing import Any, Protocol

from cypresswalk.lab.cluster.simulation.process import Process
from cypresswalk.lab.cluster.simulation.release_world import ReleaseWorld
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

CALL_SPAN = 4 * SECOND
CALL_TIMEOUT = 5 * SECOND
CALL_LATENCY = MILLISECOND  # so that no answer comes in the middle of the caller's own turn


class AgentHost(Protocol):
    """The host that an agent runs on.

    Attributes:
        name: of the member.
        latest_pid: of the process that was started last.
    """

    name: str
    latest_pid: int

    @property
    def frozen_until(self) -> int:
        """Virtual time until which nothing runs there."""

    @property
    def running_pids(self) -> Collection[int]:
        """Of the processes that run."""

    def make_agent(self, state: AgentState) -> ChangeAgent:
        """Returns an agent that goes on from a saved state."""

    def clock(self) -> int:
        """The host's clock, nanoseconds."""

    def start_process(self, version: str, admin: str) -> int:
        """Starts a process and returns its id."""

    def end_process(self, pid: int) -> None:
        """Kills a process."""

    def ask_to_leave(self, pid: int) -> None:
        """Asks a process to leave."""

    def readiness_error(self, admin: str) -> str:
        """Why the process at that address is not ready, or an empty string."""

    def contacts(self) -> list[Process]:
        """The balancers that the agent calls, the first that answers."""


class AgentRunner:
    """The agent of one host, started and killed.

    Attributes:
        saved: the state that the agent saved last.
        actions_until_crash: how many more actions are carried out until it dies; None for never.
    """

    def __init__(self, world: ReleaseWorld[Any], host: AgentHost):
        """An agent that does not run yet."""
        self.saved = AgentState()
        self.actions_until_crash: int | None = None
        self._world = world
        self._host = host
        self._agent: ChangeAgent | None = None
        self._work: ActionGenerator[None] | None = None
        self._incarnation = 0  # results for an earlier one are void

    def start(self) -> None:
        """Starts the agent, if it does not run, from its saved state."""
        if self._work is None:
            self._agent = self._host.make_agent(copy.copy(self.saved))
            self._work = self._agent.run()
            self._resume(self._incarnation, None)

    def kill(self) -> None:
        """Kills the agent; processes go on running."""
        self._incarnation += 1
        self._agent = None
        self._work = None
        self.actions_until_crash = None
        self._world.check_bound()

    def _resume(self, incarnation: int, result: Any) -> None:
        """Sends the result of the last action and carries out actions until one takes time."""
        while incarnation == self._incarnation and self._work is not None:
            frozen_for = self._host.frozen_until - self._world.now
            if frozen_for > 0:
                self._resume_later(frozen_for, result)
                return
            if self._crashes_now():
                self._world.count("agent died at a step")
                self.kill()
                return
            action = self._work.send(result)
            if isinstance(action, Sleep):
                self._resume_later(int(action.seconds * SECOND), None)
                return
            if isinstance(action, CallFleet):
                self._call_fleet(action)
                return
            result = self._carry_out(action)

    def _resume_later(self, delay: int, result: Any) -> None:
        incarnation = self._incarnation
        self._world.call_later(delay, lambda: self._resume(incarnation, result))

    def _crashes_now(self) -> bool:
        if self.actions_until_crash is None:
            return False
        self.actions_until_crash -= 1
        return self.actions_until_crash < 0

    def _carry_out(self, action: Action) -> Any:
        """Carries out an action that takes no time, and returns its result."""
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
                end: Callable[[int], None] = host.end_process if action.kill else host.ask_to_leave
                end(action.pid)
            case CheckReady():
                return host.readiness_error(action.admin)
            case ReadClock():
                return host.clock() / SECOND
            case GenerateToken():
                return self._world.next_ident("d")
        return None

    def _save(self) -> None:
        assert self._agent is not None  # it asks for it
        self._world.note(f"{self._host.name} {self._agent.state}")
        self.saved = copy.copy(self._agent.state)
        self._world.check_bound()

    # Calls.

    def _call_fleet(self, call: CallFleet) -> None:
        incarnation = self._incarnation
        is_answered = False

        def reply(ok: bool, body: Any) -> None:
            """Resumes the agent with the first answer, after a latency; ignores later answers."""
            nonlocal is_answered
            if not is_answered:
                is_answered = True
                result = CallResult(ok, body)
                self._world.call_later(CALL_LATENCY, lambda: self._resume(incarnation, result))

        self._world.call_later(CALL_TIMEOUT, lambda: reply(False, {"why": "no answer"}))
        process = self._first_contact()
        if process is None:
            reply(False, {"why": "nobody answers"})
            return
        if call.name == "release_began":
            self._world.count("began asked")
        args = call.args
        if call.command_id:
            command = self._world.make_command(f"agent of {self._host.name}", args)
            args = command | {"ident": call.command_id}
        self._world.call(process, call.name, args, CALL_SPAN, reply)

    def _first_contact(self) -> Process | None:
        for process in self._host.contacts():
            is_cut = self._world.network.is_cut(self._host.name, process.name)
            if process.member is not None and not process.is_frozen and not is_cut:
                return process
        return None
