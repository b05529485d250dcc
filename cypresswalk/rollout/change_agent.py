"""What the agents of balancers and of servers share. No I/O, no clock.

An agent is a generator that yields actions and is sent their results (`actions`). It keeps one
version running. Once a release grants its member a turn, it tells the fleet that the change starts,
makes the change in the steps of its kind, and reports what runs. Each step is saved before it is
taken, so that an agent that is started anew goes on where the last one stopped; processes do not
end with their agent.
"""

import logging
from collections.abc import Callable

from cypresswalk.rollout.actions import (
    CallFleet,
    CallResult,
    CheckReady,
    DrawToken,
    EndProcess,
    FindStartedProcess,
    IsRunning,
    ReadClock,
    SaveState,
    Sleep,
    StartProcess,
    Work,
)
from cypresswalk.rollout.agent_state import AgentState, AgentStep, Turn
from cypresswalk.rollout.release import ChangeStatus

log = logging.getLogger(__name__)
# All in seconds.
STEP_INTERVAL = 0.5  # between two looks at the release
IDLE_POLL_INTERVAL = 2.0  # while no release names the member: each query costs the leader a round
CHECK_INTERVAL = 0.05  # between two looks at a process
READY_TIMEOUT = 20.0  # within which a new process must be ready, and the fleet be asked
STEADY_TIME = 1.0  # for which a new process must stay ready
STOP_TIMEOUT = 15.0  # within which an old process must have ended
MAX_GRANT_AGE = 2.0  # within which what was agreed is begun, or not at all
RESTART_DELAY = 2.0  # before a process that ended by itself is started again


class ChangeAgent:
    """Keeps one version of a member running, and changes it when it is the member's turn.

    Attributes:
        member: name of the balancer, or id of the server.
        state: what the agent is doing; the host saves it on SaveState.
    """

    first_step: AgentStep  # of a change

    def __init__(self, member: str, first: str, admins: tuple[str, str], state: AgentState):
        """Makes an agent that goes on from a saved state.

        Args:
            member: name of the balancer, or id of the server.
            first: the version to run if it has run none yet.
            admins: HOST:PORT at which a process is called, one for each of two side by side.
            state: as it was saved last.
        """
        self.member = member
        self.first = first
        self.admins = admins
        self.state = state
        self.started_at: float | None = None
        self.ask_at = 0.0
        self.steps: dict[AgentStep, Callable[[], Work[None]]] = {AgentStep.REPORTING: self.report}

    # What differs between balancers and servers.

    def must_wait(self, turn: Turn) -> Work[bool]:
        """Whether the change may not start yet though its turn is granted."""
        raise NotImplementedError

    def stop_objection(self, turn: Turn) -> str:
        """Why the old process may not be stopped yet, beside what holds for all; or empty."""
        return ""

    def running_version(self) -> str:
        """The version that serves, or an empty string."""
        raise NotImplementedError

    # What is shared.

    def run(self) -> Work[None]:
        """The agent's work, without end."""
        while True:
            yield from self.steps.get(self.state.step, self.idle)()
            yield Sleep(STEP_INTERVAL)

    def enter(self, step: AgentStep, reason: str = "") -> Work[None]:
        """Goes to a step and saves that."""
        self.state.step = step
        self.state.reason = reason
        yield SaveState()

    def idle(self) -> Work[None]:
        """Keeps the version running, and looks for a turn also where it ends at every start."""
        yield from self.keep_running()
        yield from self.look_for_turn()

    def keep_running(self) -> Work[None]:
        """Starts the version again where its process has ended."""
        state = self.state
        if self.started_at is None:
            # An agent that was started anew knows of no earlier start of the process.
            self.started_at = yield ReadClock()
        if (yield IsRunning(state.pid)):
            return
        if state.pid:
            log.warning("event=ended_by_itself version=%s pid=%d", state.version, state.pid)
            yield Sleep(RESTART_DELAY)
        state.version = state.version or self.first
        state.admin = state.admin or self.admins[0]
        state.pid = yield FindStartedProcess(0)
        self.started_at = yield ReadClock()
        if not state.pid:
            state.pid, error = yield StartProcess(state.version, state.admin)
            if error:
                log.error("event=process_not_started version=%s error=%s", state.version, error)
        yield SaveState()

    def query_turn(self) -> Work[Turn | None]:
        """Asks the fleet for the member's turn; None if that can't be had."""
        result: CallResult = yield CallFleet("turn", {"member": self.member})
        ok, body = result
        return Turn.from_body(body) if ok else None

    def granted_turn(self) -> Work[Turn | None]:
        """The member's turn if it was granted; not asked for more often than needed."""
        now: float = yield ReadClock()
        if now < self.ask_at:
            return None
        turn = yield from self.query_turn()
        idle = turn is not None and not turn.status
        self.ask_at = now + (IDLE_POLL_INTERVAL if idle else 0.0)
        if turn is None or turn.status not in (ChangeStatus.CHANGING, ChangeStatus.TURN_GRANTED):
            return None
        return turn

    def look_for_turn(self) -> Work[None]:
        """Starts the change if it is the member's turn."""
        turn = yield from self.granted_turn()
        if turn is None:
            return
        state = self.state
        state.change_id = yield DrawToken()
        if turn.changing:
            # Agreed, and lost between the fleet's yes and the agent's disk: nothing was done.
            yield from self.enter(AgentStep.REPORTING, "its agent began anew")
            return
        if state.version not in (turn.from_version, turn.to_version):
            log.error(
                "event=version_mismatched runs=%s from=%s to=%s",
                state.version,
                turn.from_version,
                turn.to_version,
            )
            return
        if not (yield from self.must_wait(turn)):
            yield from self.start_change(turn.target)

    def start_change(self, target: str) -> Work[None]:
        """Starts the change to a version if the fleet agrees in time."""
        state = self.state
        asked_at: float = yield ReadClock()
        args = {"member": self.member, "to": target}
        result: CallResult = yield CallFleet("release_began", args, state.change_id)
        ok, _ = result
        if not ok:
            return  # if it was agreed all the same, the next turn says that it is changing
        state.target_version = target
        state.new_pid = 0
        state.failed = False
        answered_at: float = yield ReadClock()
        if answered_at - asked_at > MAX_GRANT_AGE:
            yield from self.enter(AgentStep.REPORTING, "the yes came too late to be used")
        elif state.version == target:
            yield from self.enter(AgentStep.REPORTING)
        else:
            yield from self.enter(self.first_step)

    def start_new_process(self, version: str, admin: str) -> Work[str]:
        """Starts the new process, unless an agent before did; why it can't be, or an empty string.

        That agent may have died before it saved the process's number.
        """
        state = self.state
        error = ""
        state.new_pid = yield FindStartedProcess(state.pid)
        if not state.new_pid:
            state.new_pid, error = yield StartProcess(version, admin)
        yield SaveState()
        return error

    def wait_until_ended(self, pid: int) -> Work[None]:
        """Waits until a process that was told to leave has ended; kills it after STOP_TIMEOUT."""
        deadline: float = (yield ReadClock()) + STOP_TIMEOUT
        while (yield IsRunning(pid)) and (yield ReadClock()) < deadline:
            yield Sleep(CHECK_INTERVAL)
        yield EndProcess(pid, True)

    def wait_until_ready(self, admin: str, pid: int) -> Work[str]:
        """Waits for a process to be ready for STEADY_TIME; why it was not, or an empty string."""
        deadline: float = (yield ReadClock()) + READY_TIMEOUT
        ready_since: float | None = None
        error = "never ready"
        while (now := (yield ReadClock())) < deadline:
            if not (yield IsRunning(pid)):
                return "its process ended"
            error = yield CheckReady(admin)
            ready_since = None if error else ready_since or now
            if ready_since is not None and (yield ReadClock()) - ready_since >= STEADY_TIME:
                return ""
            yield Sleep(CHECK_INTERVAL)
        return error or "not ready for long enough"

    def confirm_stop(self) -> Work[str]:
        """Asks the fleet again before the old process is stopped.

        Returns:
            An empty string if the fleet said within MAX_GRANT_AGE that the change is still to be
            made; else why not. Members that were lost meanwhile are waited for: they may come back.
        """
        deadline: float = (yield ReadClock()) + READY_TIMEOUT
        error = "the fleet could not be asked whether to go on"
        while (asked_at := (yield ReadClock())) < deadline:
            turn = yield from self.query_turn()
            if turn is not None and (yield ReadClock()) - asked_at <= MAX_GRANT_AGE:
                if self.turned(turn):
                    return "the release has turned"
                if turn.halted and not turn.rolling_back:
                    return "halted before the one that runs was told to leave"
                error = turn.bound_objection or self.stop_objection(turn)
                if not error:
                    return ""
            yield Sleep(STEP_INTERVAL)
        return error

    def turned(self, turn: Turn) -> bool:
        """Whether the fleet does not want the change under way any more."""
        return not turn.changing or turn.target != self.state.target_version

    def report(self) -> Work[None]:
        """Tells the fleet which version runs; taken again until the fleet has it."""
        state = self.state
        # One id for all tries, so that a late one does not end the next change.
        result: CallResult = yield CallFleet(
            "release_came",
            {"name": self.member, "runs": self.running_version(), "why": state.reason},
            f"came:{state.change_id}",
        )
        ok, body = result
        if not ok:
            log.warning("event=change_not_reported error=%s", body)
            return
        log.info("event=change_reported version=%s reason=%s", state.version, state.reason or "-")
        state.target_version = ""
        state.new_pid = 0
        state.change_id = ""
        yield from self.enter(AgentStep.IDLE)
