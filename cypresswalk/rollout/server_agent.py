"""What the agent of a server does: the server is drained, stopped and started in the other version.

Two processes of a server can't stand side by side, so it is taken out by the release first.

    a release names this server, every balancer knows that it is out -> the start is agreed
    -> its flows have left it, and the fleet still wants it -> SIGTERM -> the other version is
    started and answers for STEADY_TIME -> the new version is reported: it is in again

    it never answers -> the version before is started again -> that is reported, and why; if that
    does not answer either, none
"""

import logging

from cypresswalk.rollout.actions import (
    EndProcess,
    IsRunning,
    ReadClock,
    Sleep,
    Work,
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
    """Runs a server; while it is changed, it is out."""

    first_step = AgentStep.DRAINING

    def __init__(self, member: str, first: str, admins: tuple[str, str], state: AgentState):
        """Makes an agent; a server has one address, so `admins` are alike."""
        super().__init__(member, first, admins, state)
        self.steps[AgentStep.DRAINING] = self.drain_and_stop
        self.steps[AgentStep.REPLACING] = self.start_new
        self.steps[AgentStep.RESTORING] = self.restore_old

    def must_wait(self, turn: Turn) -> Work[bool]:
        """Waits until every balancer acts on the server's being out: else one may send it flows."""
        yield from ()
        return not turn.settled

    def stop_objection(self, turn: Turn) -> str:
        """Why it may not be stopped: flows stand there.

        Asked again at the last: a balancer that was cut off so long that nobody waited for its word
        may be back.
        """
        if turn.open_flows == 0:
            return ""
        count = "an unknown number of" if turn.open_flows is None else turn.open_flows
        return f"{count} flows stand there"

    def drain_and_stop(self) -> Work[None]:
        """Waits until no flow stands there, and asks the server to leave."""
        state = self.state
        reason = yield from self.wait_until_drained()
        if not reason:
            # Draining may have taken long: members may have been lost, or a person may have halted.
            reason = yield from self.confirm_stop()
        if reason:
            yield from self.enter(AgentStep.REPORTING, reason)
            return
        log.info("event=told_to_leave version=%s pid=%d", state.version, state.pid)
        yield EndProcess(state.pid, False)
        yield from self.enter(AgentStep.REPLACING)

    def wait_until_drained(self) -> Work[str]:
        """Waits until all balancers that are heard say that no flow stands there; or why not."""
        started_at: float = yield ReadClock()
        while True:
            turn = yield from self.query_turn()
            if turn is not None:
                if self.turned(turn):
                    return "the release has turned"
                if turn.open_flows == 0:
                    return ""
                if (yield ReadClock()) - started_at > turn.drain_timeout_s:
                    return f"{self.stop_objection(turn)} after {turn.drain_timeout_s:g} s"
            elif (yield ReadClock()) - started_at > READY_TIMEOUT + STOP_TIMEOUT:
                return "the fleet could not be asked whether flows stand there"
            yield Sleep(STEP_INTERVAL)

    def start_new(self) -> Work[None]:
        """Starts the new version; where it does not answer, the old one is to be restored."""
        state = self.state
        error = yield from self.replace_process(state.target_version)
        if not error:
            state.version = state.target_version
        state.pid = state.new_pid
        state.new_pid = 0
        if error:
            yield EndProcess(state.pid, True)
            yield from self.enter(AgentStep.RESTORING, error)
        else:
            yield from self.enter(AgentStep.REPORTING)

    def restore_old(self) -> Work[None]:
        """Starts the version again that served before the change."""
        state = self.state
        error = yield from self.replace_process(state.version)
        state.pid = state.new_pid
        state.new_pid = 0
        state.failed = bool(error)
        outcome = f"{state.reason}; {state.version} again: {error or 'answers'}"
        yield from self.enter(AgentStep.REPORTING, outcome)

    def replace_process(self, version: str) -> Work[str]:
        """Starts a version once the process before has ended; why it never answers, or empty."""
        state = self.state
        if not state.new_pid or not (yield IsRunning(state.new_pid)):
            yield from self.wait_until_address_free(state.pid)
            error = yield from self.start_new_process(version, state.admin)
            if error:
                return error
        return (yield from self.wait_until_ready(state.admin, state.new_pid))

    def wait_until_address_free(self, pid: int) -> Work[None]:
        """Waits until a process has ended and freed its address, however long that takes."""
        yield from self.wait_until_ended(pid)
        while (yield IsRunning(pid)):
            yield Sleep(CHECK_INTERVAL)

    def running_version(self) -> str:
        """The version that answers, or an empty string."""
        return "" if self.state.failed else self.state.version
