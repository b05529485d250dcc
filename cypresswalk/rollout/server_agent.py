"""What the agent of a server does, as duty.py's does for a balancer: without I/O and clock. Two processes of a server can't stand side by
side, so it is out first, by the release, then emptied, stopped and started anew.

    a release names this server, every balancer knows that it is out -> "began" is agreed -> its flows have left it, and the fleet still
    wants it -> SIGTERM -> the other version is started and answers for STEADY seconds -> "came" with the new version: it is in again
    it never answers -> the version before is started again -> "came" with that, and why; if that does not answer either, with none"""

import logging
from typing import Any

from cypresswalk.rollout.balancer_agent import (
    CHECK,
    LEAVE,
    LOOK,
    READY,
    BalancerAgent,
    CallFleet,
    EndProcess,
    FindStartedProcess,
    IsRunning,
    ReadClock,
    SaveState,
    Sleep,
    StartProcess,
    Work,
    target,
)

log = logging.getLogger(__name__)


class ServerAgent(BalancerAgent):
    """`doing.step`: "", "emptying", "starting", "undoing", "told"."""

    first_step = "emptying"

    def run(self) -> Work:
        while True:
            match self.doing.step:
                case "emptying":
                    yield from self.go_emptying()
                case "starting":
                    yield from self.go_starting()
                case "undoing":
                    yield from self.go_undoing()
                case "told":
                    yield from self.go_told()
                case _:
                    yield from self.keep_running()
                    yield from self.look_for_work()
            yield Sleep(LOOK)

    def not_yet(self, turn: dict[str, Any]) -> Work:
        """Else a balancer might send it flows still."""
        return not turn["settled"]
        yield

    def go_emptying(self) -> Work:
        doing = self.doing
        why = yield from self.emptied()
        # Also where its flows took long to leave: others may have been lost, or a person may have halted it, meanwhile.
        why = why or (yield from self.unwanted())
        if why:
            yield from self.next("told", why)
            return
        log.info("event=told_to_leave version=%s pid=%d", doing.version, doing.pid)
        yield EndProcess(doing.pid, False)
        yield from self.next("starting")

    def emptied(self) -> Work:
        """Nothing once no flow stands there, as all balancers that are heard say; or why it is not to be stopped."""
        began, standing = (yield ReadClock()), None
        while True:
            ok, turn = yield CallFleet("turn", {"member": self.member})
            if ok:
                if turn["status"] != "changing" or target(turn) != self.doing.to:
                    return "the release has turned"
                standing = turn["standing"]
                if standing == 0:
                    return ""
                if (yield ReadClock()) - began > turn["empty_s"]:
                    return f"{self.busy(turn)} after {turn['empty_s']:g} s"
            elif (yield ReadClock()) - began > READY + LEAVE:
                return "the fleet could not be asked whether flows stand there"
            yield Sleep(LOOK)

    def busy(self, turn: dict[str, Any]) -> str:
        """Asked again at the last: guards flows of a balancer that was cut off for so long that nobody waited for its word, and is back."""
        standing = turn["standing"]
        return (
            ""
            if standing == 0
            else f"{'an unknown number of' if standing is None else standing} flows stand there"
        )

    def replaced(self, before: int, version: str) -> Work:
        """The process of that version, once the one before has ended, and nothing once it answers; or why it does not."""
        doing = self.doing
        if not doing.young or not (yield IsRunning(doing.young)):
            until = (yield ReadClock()) + LEAVE
            while (yield IsRunning(before)) and (yield ReadClock()) < until:
                yield Sleep(CHECK)
            yield EndProcess(before, True)
            while (yield IsRunning(before)):
                yield Sleep(CHECK)  # its address is taken until then
            doing.young, why = (yield FindStartedProcess(before)), ""
            if not doing.young:
                doing.young, why = yield StartProcess(version, doing.admin)
            yield SaveState()
            if why:
                return why
        return (yield from self.ready(doing.admin, doing.young))

    def go_starting(self) -> Work:
        doing = self.doing
        why = yield from self.replaced(doing.pid, doing.to)
        if why:
            doing.pid, doing.young = doing.young, 0
            yield EndProcess(doing.pid, True)
            yield from self.next("undoing", why)
        else:
            doing.version, doing.pid, doing.young = doing.to, doing.young, 0
            yield from self.next("told")

    def go_undoing(self) -> Work:
        """The version before, which served until now."""
        doing = self.doing
        why = yield from self.replaced(doing.pid, doing.version)
        doing.pid, doing.young, doing.failed = doing.young, 0, bool(why)
        yield from self.next("told", f"{doing.why}; {doing.version} again: {why or 'answers'}")

    def runs_now(self) -> str:
        return "" if self.doing.failed else self.doing.version
