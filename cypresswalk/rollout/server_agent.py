"""The agent of a server, which drains and stops the server and starts the other version.

Two processes of a server can't run at the same time, so the release takes the server out of
rotation first. The steps of a change:

    a release names this server and every balancer has applied its removal -> the fleet agrees to
    the start -> no flows are left and the fleet confirms the change -> SIGTERM -> the other version
    is started and answers for STEADY_TIME -> the new version is reported and the server returns

    the new version never answers -> the previous version is started again -> it is reported with
    the reason; if it does not answer either, the agent reports that no version runs
"""

import logging

from cypresswalk.rollout.actions import (
    ActionGenerator,
    IsRunning,
    ReadClock,
    Sleep,
    StopProcess,
)
from cypresswalk.rollout.agent_state import AgentState, AgentStep, Turn
from cypresswalk.rollout.change_agent import (
    CHECK_INTERVAL,
    READY_TIMEOUT,
    STEP_INTERVAL,
    STOP_TIMEOUT,
    ChangeAgent,
)

log = logging.getLogger(__name__)


class ServerAgent(ChangeAgent):
    """The agent of a server, which is out of rotation during a change."""

    first_step = AgentStep.DRAINING

    def __init__(
        self, member: str, initial_version: str, admin_addresses: tuple[str, str], state: AgentState
    ):
        """Create an agent; a server has one address, so both `admin_addresses` are the same."""
        super().__init__(member, initial_version, admin_addresses, state)
        self.steps[AgentStep.DRAINING] = self.drain_and_stop
        self.steps[AgentStep.REPLACING] = self.start_new
        self.steps[AgentStep.RESTORING] = self.restore_old

    def must_wait(self, turn: Turn) -> ActionGenerator[bool]:
        """Return whether a balancer has not applied the server's removal and may send it flows."""
        yield from ()
        return not turn.removal_applied

    def stop_objection(self, turn: Turn) -> str:
        """Return that flows are open or their number is unknown, or an empty string.

        Checked again right before the stop: a balancer may be back that was cut off for so long
        that its report was no longer waited for.
        """
        if turn.open_flows == 0:
            return ""
        count = "an unknown number of" if turn.open_flows is None else turn.open_flows
        return f"{count} flows are open"

    def drain_and_stop(self) -> ActionGenerator[None]:
        """Wait until the server has no flows, then ask it to shut down."""
        state = self.state
        reason = yield from self.wait_until_drained()
        if not reason:
            # Draining may have taken long. Others may have been lost meanwhile, or an operator may
            # have halted the fleet.
            reason = yield from self.confirm_stop()
        if reason:
            yield from self.enter_step(AgentStep.REPORTING, reason)
            return
        log.info("event=told_to_leave version=%s pid=%d", state.version, state.pid)
        yield StopProcess(state.pid, False)
        yield from self.enter_step(AgentStep.REPLACING)

    def wait_until_drained(self) -> ActionGenerator[str]:
        """Wait until all reachable balancers report no open flow; return why not, or empty."""
        started_at: float = yield ReadClock()
        while True:
            turn = yield from self.query_turn()
            if turn is not None:
                if self.is_withdrawn(turn):
                    return "the release no longer wants this change"
                if turn.open_flows == 0:
                    return ""
                if (yield ReadClock()) - started_at > turn.drain_timeout_s:
                    return f"{self.stop_objection(turn)} after {turn.drain_timeout_s:g} s"
            elif (yield ReadClock()) - started_at > READY_TIMEOUT + STOP_TIMEOUT:
                return "the fleet did not answer whether flows are open"
            yield Sleep(STEP_INTERVAL)

    def start_new(self) -> ActionGenerator[None]:
        """Start the new version; if it does not answer, go on to restore the old one."""
        state = self.state
        error = yield from self.replace_process(state.target_version)
        if not error:
            state.version = state.target_version
        state.pid = state.new_pid
        state.new_pid = 0
        if error:
            yield StopProcess(state.pid, True)
            yield from self.enter_step(AgentStep.RESTORING, error)
        else:
            yield from self.enter_step(AgentStep.REPORTING)

    def restore_old(self) -> ActionGenerator[None]:
        """Start the version again that served before the change."""
        state = self.state
        error = yield from self.replace_process(state.version)
        state.pid = state.new_pid
        state.new_pid = 0
        state.failed = bool(error)
        outcome = f"{state.reason}; {state.version} again: {error or 'answers'}"
        yield from self.enter_step(AgentStep.REPORTING, outcome)

    def replace_process(self, version: str) -> ActionGenerator[str]:
        """Start a version once the previous process has ended; return why it fails, or empty."""
        state = self.state
        if not state.new_pid or not (yield IsRunning(state.new_pid)):
            yield from self.wait_until_address_free(state.pid)
            error = yield from self.start_new_process(version, state.admin)
            if error:
                return error
        return (yield from self.wait_until_ready(state.admin, state.new_pid))

    def wait_until_address_free(self, pid: int) -> ActionGenerator[None]:
        """Wait until a process has ended and freed its address, however long that takes."""
        yield from self.wait_until_ended(pid)
        while (yield IsRunning(pid)):
            yield Sleep(CHECK_INTERVAL)

    def running_version(self) -> str:
        """Return the version that answers, or an empty string."""
        return "" if self.state.failed else self.state.version
