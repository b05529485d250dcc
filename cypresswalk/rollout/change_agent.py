"""Base class of the agents of balancers and of servers. No I/O, no clock.

An agent is a generator that yields actions and is sent their results (`actions`). It keeps one
version running. Once a release grants its member a turn, which permits it to be changed now, the
agent asks the fleet to agree that the change starts, makes the change in the steps of its subclass,
and reports the version that runs. Each step is saved before it is taken, so that a restarted agent
continues where the last one stopped. Member processes keep running when their agent ends.
"""

import logging
from collections.abc import Callable

from cypresswalk.rollout.actions import (
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
    StopProcess,
)
from cypresswalk.rollout.agent_state import AgentState, AgentStep, Turn
from cypresswalk.rollout.release import ChangeStatus

log = logging.getLogger(__name__)
# All in seconds.
STEP_INTERVAL = 0.5  # between two steps, each of which may query the release
# Between two queries while no release names the member: each costs the leader a round of messages.
IDLE_POLL_INTERVAL = 2.0
CHECK_INTERVAL = 0.05  # between two checks of a process
READY_TIMEOUT = 20.0  # for a new process to become ready, and for the fleet to confirm a stop
STEADY_TIME = 1.0  # for which a new process must stay ready
STOP_TIMEOUT = 15.0  # for an old process to end
MAX_GRANT_AGE = 2.0  # after the request; a later answer of the fleet does not permit the change
RESTART_DELAY = 2.0  # before a process that ended by itself is restarted


class ChangeAgent:
    """An agent that keeps one version running, and changes it when it is the member's turn.

    Attributes:
        member: name of the balancer, or id of the server.
        state: the agent's state; the host saves it on SaveState.
    """

    first_step: AgentStep  # the first step of a change

    def __init__(
        self, member: str, initial_version: str, admin_addresses: tuple[str, str], state: AgentState
    ):
        """Create an agent that continues from a saved state.

        Args:
            member: name of the balancer, or id of the server.
            initial_version: the version to run if the agent has run none yet.
            admin_addresses: HOST:PORT of each of the two processes that may run at the same time.
            state: the state saved last.
        """
        self.member = member
        self.initial_version = initial_version
        self.admin_addresses = admin_addresses
        self.state = state
        self.started_at: float | None = None
        self.next_query_at = 0.0
        self.steps: dict[AgentStep, Callable[[], ActionGenerator[None]]] = {
            AgentStep.REPORTING: self.report
        }

    # Overridden for balancers and servers.

    def must_wait(self, turn: Turn) -> ActionGenerator[bool]:
        """Return whether the change must wait although the member's turn is granted."""
        raise NotImplementedError

    def stop_objection(self, turn: Turn) -> str:
        """Return a further reason not to stop the old process yet, or an empty string."""
        return ""

    def running_version(self) -> str:
        """Return the version that serves, or an empty string."""
        raise NotImplementedError

    # Common to both.

    def run(self) -> ActionGenerator[None]:
        """Run the agent forever."""
        while True:
            yield from self.steps.get(self.state.step, self.idle)()
            yield Sleep(STEP_INTERVAL)

    def enter_step(self, step: AgentStep, reason: str = "") -> ActionGenerator[None]:
        """Set the current step and save the state."""
        self.state.step = step
        self.state.reason = reason
        yield SaveState()

    def idle(self) -> ActionGenerator[None]:
        """Keep the version running and check for a turn, even if the process keeps ending."""
        yield from self.keep_running()
        yield from self.look_for_turn()

    def keep_running(self) -> ActionGenerator[None]:
        """Restart the version if its process has ended."""
        state = self.state
        if self.started_at is None:
            # A restarted agent does not know when the process was started.
            self.started_at = yield ReadClock()
        if (yield IsRunning(state.pid)):
            return
        if state.pid:
            self.log_unexpected_end()
            yield Sleep(RESTART_DELAY)
        state.version = state.version or self.initial_version
        state.admin = state.admin or self.admin_addresses[0]
        state.pid = yield FindStartedProcess(0)
        self.started_at = yield ReadClock()
        if not state.pid:
            state.pid, error = yield StartProcess(state.version, state.admin)
            if error:
                log.error("event=process_not_started version=%s error=%s", state.version, error)
        yield SaveState()

    def log_unexpected_end(self) -> None:
        """Log that the process has ended without having been asked to."""
        log.warning("event=ended_by_itself version=%s pid=%d", self.state.version, self.state.pid)

    def query_turn(self) -> ActionGenerator[Turn | None]:
        """Query the fleet for the member's turn; return None if the call fails."""
        result: CallResult = yield CallFleet("turn", {"member": self.member})
        ok, body = result
        return Turn.from_body(body) if ok else None

    def query_granted_turn(self) -> ActionGenerator[Turn | None]:
        """Return the member's turn if it was granted; limit how often the fleet is queried."""
        now: float = yield ReadClock()
        if now < self.next_query_at:
            return None
        turn = yield from self.query_turn()
        idle = turn is not None and not turn.status
        self.next_query_at = now + (IDLE_POLL_INTERVAL if idle else 0.0)
        if turn is None or turn.status not in (ChangeStatus.CHANGING, ChangeStatus.TURN_GRANTED):
            return None
        return turn

    def look_for_turn(self) -> ActionGenerator[None]:
        """Start the change if it is the member's turn."""
        turn = yield from self.query_granted_turn()
        if turn is None:
            return
        state = self.state
        state.change_id = yield GenerateToken()
        if turn.changing:
            # The fleet agreed to the change, but the agent died before it saved that, so nothing
            # was changed.
            yield from self.enter_step(AgentStep.REPORTING, "its agent restarted")
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
            yield from self.start_change(turn.target_version)

    def start_change(self, target: str) -> ActionGenerator[None]:
        """Start the change to a version if the fleet agrees in time."""
        state = self.state
        asked_at: float = yield ReadClock()
        args = {"member": self.member, "to": target}
        result: CallResult = yield CallFleet("release_began", args, state.change_id)
        ok, _ = result
        if not ok:
            return  # if it was agreed nevertheless, the next turn has the status CHANGING
        state.target_version = target
        state.new_pid = 0
        state.failed = False
        answered_at: float = yield ReadClock()
        if answered_at - asked_at > MAX_GRANT_AGE:
            yield from self.enter_step(
                AgentStep.REPORTING, "the agreement to the start came too late to be used"
            )
        elif state.version == target:
            yield from self.enter_step(AgentStep.REPORTING)
        else:
            yield from self.enter_step(self.first_step)

    def start_new_process(self, version: str, admin: str) -> ActionGenerator[str]:
        """Start the new process; return why that failed, or an empty string.

        An earlier agent may have started it and died before it saved the process id; then that
        process is used.
        """
        state = self.state
        error = ""
        state.new_pid = yield FindStartedProcess(state.pid)
        if not state.new_pid:
            state.new_pid, error = yield StartProcess(version, admin)
        yield SaveState()
        return error

    def wait_until_ended(self, pid: int) -> ActionGenerator[None]:
        """Wait until a process asked to shut down has ended; kill it after STOP_TIMEOUT."""
        deadline: float = (yield ReadClock()) + STOP_TIMEOUT
        while (yield IsRunning(pid)) and (yield ReadClock()) < deadline:
            yield Sleep(CHECK_INTERVAL)
        yield StopProcess(pid, True)

    def wait_until_ready(self, admin: str, pid: int) -> ActionGenerator[str]:
        """Wait until a process has been ready for STEADY_TIME; return why it was not, or empty."""
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

    def confirm_stop(self) -> ActionGenerator[str]:
        """Ask the fleet again before the old process is stopped.

        If other members were lost meanwhile, wait for them, since they may come back.

        Returns:
            An empty string if the fleet confirmed the change within MAX_GRANT_AGE, else why not.
        """
        deadline: float = (yield ReadClock()) + READY_TIMEOUT
        error = "the fleet did not answer whether to continue the change"
        while (asked_at := (yield ReadClock())) < deadline:
            turn = yield from self.query_turn()
            if turn is not None and (yield ReadClock()) - asked_at <= MAX_GRANT_AGE:
                if self.is_withdrawn(turn):
                    return "the release no longer wants this change"
                if turn.halted and not turn.rolling_back:
                    return "halted before the old process was asked to shut down"
                error = turn.bound_objection or self.stop_objection(turn)
                if not error:
                    return ""
            yield Sleep(STEP_INTERVAL)
        return error

    def is_withdrawn(self, turn: Turn) -> bool:
        """Return whether the fleet no longer wants the change under way."""
        return not turn.changing or turn.target_version != self.state.target_version

    def report(self) -> ActionGenerator[None]:
        """Report the running version to the fleet; the step is repeated until that succeeds."""
        state = self.state
        # All attempts have one command id, so that a late one does not end the next change.
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
        yield from self.enter_step(AgentStep.IDLE)
