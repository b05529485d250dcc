"""The agent of a balancer, which starts the new process while the old one still serves.

The steps of a change:

    a release names this balancer -> the fleet agrees to the start -> a second process is started
    -> it stays ready for STEADY_TIME -> the fleet confirms the change -> SIGTERM to the first
    process -> the first has ended and the second is still ready -> the new version is reported

    on any failure before SIGTERM -> the second process is killed, the first keeps running -> the
    old version and the reason are reported
"""

import logging

from cypresswalk.net.lifecycle import Phase
from cypresswalk.rollout.actions import (
    ActionGenerator,
    CheckReady,
    IsRunning,
    ReadClock,
    StopProcess,
)
from cypresswalk.rollout.agent_state import AgentState, AgentStep, Turn
from cypresswalk.rollout.change_agent import READY_TIMEOUT, ChangeAgent

log = logging.getLogger(__name__)
SHUTTING_DOWN_ANSWER = f"ERR {Phase.LEAVING.value}"  # of a balancer that is shutting down


class BalancerAgent(ChangeAgent):
    """The agent of a balancer, whose old and new process run at the same time during a change."""

    first_step = AgentStep.STARTING_NEW

    def __init__(
        self, member: str, initial_version: str, admin_addresses: tuple[str, str], state: AgentState
    ):
        """Create an agent; `admin_addresses` are the addresses of the two processes."""
        super().__init__(member, initial_version, admin_addresses, state)
        # Whether this agent has seen the old process run and has not asked it to shut down yet.
        self.expects_old_to_run = False
        self.steps[AgentStep.STARTING_NEW] = self.start_new
        self.steps[AgentStep.STOPPING_OLD] = self.stop_old

    def other_admin(self) -> str:
        """Return the admin address that the running process does not use."""
        return (
            self.admin_addresses[1]
            if self.state.admin == self.admin_addresses[0]
            else self.admin_addresses[0]
        )

    def must_wait(self, turn: Turn) -> ActionGenerator[bool]:
        """Return whether the current process was started recently and is not ready yet.

        A second process could not find one that is not listening yet: both would listen, and the
        one that is not a member of the fleet would reject its flows.
        """
        if not (yield IsRunning(self.state.pid)):
            return False
        not_ready_reason: str = yield CheckReady(self.state.admin)
        if not not_ready_reason:
            return False
        assert self.started_at is not None  # keep_running was called before
        now: float = yield ReadClock()
        return now - self.started_at < READY_TIMEOUT

    def start_new(self) -> ActionGenerator[None]:
        """Start the new process while the old one runs, and wait until it is ready."""
        state = self.state
        error = ""
        if not (yield IsRunning(state.new_pid)):
            error = yield from self.start_new_process(state.target_version, self.other_admin())
        if not error:
            error = yield from self.wait_until_ready(self.other_admin(), state.new_pid)
        if error:
            yield from self.give_up(error)
            return
        self.expects_old_to_run = yield IsRunning(state.pid)
        if not self.expects_old_to_run:
            self.log_unexpected_end()  # nobody has asked it to shut down yet
        yield from self.enter_step(AgentStep.STOPPING_OLD)

    def give_up(self, reason: str) -> ActionGenerator[None]:
        """Kill the new process and keep the old one running."""
        yield StopProcess(self.state.new_pid, True)
        yield from self.enter_step(AgentStep.REPORTING, reason)

    def stop_old(self) -> ActionGenerator[None]:
        """Ask the old process to shut down, unless it already was, and wait until it has ended."""
        state = self.state
        if (yield IsRunning(state.pid)):
            answer: str = yield CheckReady(state.admin)
            if not answer.startswith(SHUTTING_DOWN_ANSWER):
                # The agent or its machine may have been suspended for long since the change was
                # agreed.
                reason = yield from self.confirm_stop()
                if reason:
                    yield from self.give_up(reason)
                    return
                # The call to the fleet may have taken some time.
                if (yield IsRunning(state.pid)):
                    log.info("event=told_to_leave version=%s pid=%d", state.version, state.pid)
                    yield StopProcess(state.pid, False)
                else:
                    self.log_unexpected_end()
        elif self.expects_old_to_run:
            self.log_unexpected_end()
        self.expects_old_to_run = False
        yield from self.wait_until_ended(state.pid)
        admin = self.other_admin()
        error = yield from self.wait_until_ready(admin, state.new_pid)
        state.version = state.target_version
        state.pid = state.new_pid
        state.admin = admin
        yield from self.enter_step(AgentStep.REPORTING, error)

    def running_version(self) -> str:
        """Return the version that serves; empty if the new one has replaced it but is not ready."""
        failed = self.state.reason and self.state.version == self.state.target_version
        return "" if failed else self.state.version
