"""What the agent of a balancer does: the new process is started beside the old one.

The steps, and what ends them early:

    a release names this balancer -> its start is agreed -> a second process beside the first
    -> that is ready for STEADY_TIME -> the fleet still wants it -> SIGTERM to the first -> the
    first has ended and the second is still ready -> the new version is reported

    anything else -> the second is killed, the first stays -> the old version is reported, and why
"""

import logging

from cypresswalk.net.lifecycle import Phase
from cypresswalk.rollout.actions import (
    CheckReady,
    EndProcess,
    IsRunning,
    ReadClock,
    Work,
)
from cypresswalk.rollout.agent_state import AgentState, AgentStep, Turn
from cypresswalk.rollout.change_agent import READY_TIMEOUT, ChangeAgent

log = logging.getLogger(__name__)
LEAVING_ANSWER = f"ERR {Phase.LEAVING.value}"  # of a balancer that was asked to leave


class BalancerAgent(ChangeAgent):
    """Runs a balancer; while it is changed, two processes of it stand side by side."""

    first_step = AgentStep.STARTING_NEW

    def __init__(self, member: str, first: str, admins: tuple[str, str], state: AgentState):
        """Makes an agent; `admins` are the addresses of the two processes."""
        super().__init__(member, first, admins, state)
        self.steps[AgentStep.STARTING_NEW] = self.start_new
        self.steps[AgentStep.STOPPING_OLD] = self.stop_old

    def other_admin(self) -> str:
        """The address that the running process does not have."""
        return self.admins[1] if self.state.admin == self.admins[0] else self.admins[0]

    def must_wait(self, turn: Turn) -> Work[bool]:
        """Waits for a process that was started a moment ago.

        A second process beside one that is not listening yet would not find it: both would listen,
        and the one without a part in the fleet would reject what came to it.
        """
        if not (yield IsRunning(self.state.pid)):
            return False
        not_ready_reason: str = yield CheckReady(self.state.admin)
        if not not_ready_reason:
            return False
        assert self.started_at is not None  # keep_running was called before
        now: float = yield ReadClock()
        return now - self.started_at < READY_TIMEOUT

    def start_new(self) -> Work[None]:
        """Starts the new process beside the old one and waits until it is ready."""
        state = self.state
        error = ""
        if not (yield IsRunning(state.new_pid)):
            error = yield from self.start_new_process(state.target_version, self.other_admin())
        if not error:
            error = yield from self.wait_until_ready(self.other_admin(), state.new_pid)
        if error:
            yield from self.give_up(error)
        else:
            yield from self.enter(AgentStep.STOPPING_OLD)

    def give_up(self, reason: str) -> Work[None]:
        """Kills the new process; the old one goes on running."""
        yield EndProcess(self.state.new_pid, True)
        yield from self.enter(AgentStep.REPORTING, reason)

    def stop_old(self) -> Work[None]:
        """Asks the old process to leave, unless it was asked already, and waits for its end."""
        state = self.state
        if (yield IsRunning(state.pid)):
            answer: str = yield CheckReady(state.admin)
            if not answer.startswith(LEAVING_ANSWER):
                # The agent, or its machine, may have slept for long since the change was agreed.
                reason = yield from self.confirm_stop()
                if reason:
                    yield from self.give_up(reason)
                    return
                log.info("event=told_to_leave version=%s pid=%d", state.version, state.pid)
                yield EndProcess(state.pid, False)
        yield from self.wait_until_ended(state.pid)
        admin = self.other_admin()
        error = yield from self.wait_until_ready(admin, state.new_pid)
        state.version = state.target_version
        state.pid = state.new_pid
        state.admin = admin
        yield from self.enter(AgentStep.REPORTING, error)

    def running_version(self) -> str:
        """The version that serves; empty if the new one replaced the old one and is not ready."""
        failed = self.state.reason and self.state.version == self.state.target_version
        return "" if failed else self.state.version
