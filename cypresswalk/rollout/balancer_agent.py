"""What an agent does, without I/O and clock: a generator that yields what it wants done and is sent what came of it. `agent.py` does it
on a real machine, `lab/together/releases.py` in virtual time.

What it is doing is saved before it is done, so that an agent that dies half way goes on: the balancers do not die with it.

    start version -> run
    a release names this balancer -> "began" is agreed -> second process beside the first -> its `check` is OK for STEADY seconds
    -> the fleet still wants it -> SIGTERM to the first -> the first has ended, the second is OK still -> "came" with the new version
    anything else -> the second is ended, the first stays -> "came" with the old one, and why"""

import logging
from collections.abc import Generator
from dataclasses import dataclass
from typing import Any

from cypresswalk.net.lifecycle import Phase

log = logging.getLogger(__name__)
LOOK = 0.5  # seconds between two looks at the release
IDLE = 2.0  # while none names it: each look costs who leads a round of the voters
CHECK = 0.05  # between two looks at a process
READY = 20.0  # within which a new process must be OK, and the fleet be asked
STEADY = 1.0  # for so long
LEAVE = 15.0  # within which an old one must have ended
USE = 2.0  # within which what was agreed is begun, or not at all
AGAIN = 2.0  # between two starts of one that ended by itself
SAID_LEAVING = f"ERR {Phase.LEAVING.value}"


@dataclass
class AgentState:
    """`version` runs as `pid` and is called at `admin`; while it is changed `to` runs as `young` at the other address."""

    version: str = ""
    pid: int = 0
    admin: str = ""
    to: str = ""
    young: int = 0
    step: str = ""  # "", "beside", "leaving", "told"; a server's are in serving.py
    why: str = ""
    change: str = ""  # which one it is
    failed: bool = False  # of a server: neither version answers


# What it wants done, and what it is sent.


@dataclass(frozen=True, slots=True)
class SaveState:
    """`doing` flushed to disk."""


@dataclass(frozen=True, slots=True)
class StartProcess:
    """A process of that version: its number and nothing, or 0 and why not."""

    version: str
    admin: str


@dataclass(frozen=True, slots=True)
class FindStartedProcess:
    """The number of the one started last, if it runs and is not the known one; else 0."""

    known: int


@dataclass(frozen=True, slots=True)
class IsRunning:
    pid: int


@dataclass(frozen=True, slots=True)
class EndProcess:
    """`hard`: killed; else told to leave."""

    pid: int
    hard: bool


@dataclass(frozen=True, slots=True)
class CheckReady:
    """Nothing, or why it is not ready."""

    admin: str


@dataclass(frozen=True, slots=True)
class CallFleet:
    """Of any balancer: whether it was done, and the body. `ident`: of a command, which is carried out once however often it comes."""

    name: str
    args: dict[str, Any]
    ident: str = ""


@dataclass(frozen=True, slots=True)
class DrawToken:
    """A word that nobody else has."""


@dataclass(frozen=True, slots=True)
class Sleep:
    seconds: float


@dataclass(frozen=True, slots=True)
class ReadClock:
    """Seconds on a clock that goes on while the machine sleeps."""


Action = (
    SaveState
    | StartProcess
    | FindStartedProcess
    | IsRunning
    | EndProcess
    | CheckReady
    | CallFleet
    | DrawToken
    | Sleep
    | ReadClock
)
Work = Generator[Action, Any, Any]


class BalancerAgent:
    first_step = "beside"

    def __init__(self, member: str, first: str, admins: tuple[str, str], doing: AgentState):
        self.member, self.first, self.admins, self.doing = member, first, admins, doing
        self.started_at: float | None = None
        self.ask_at = 0.0

    def run(self) -> Work:
        while True:
            match self.doing.step:
                case "beside":
                    yield from self.go_beside()
                case "leaving":
                    yield from self.go_leaving()
                case "told":
                    yield from self.go_told()
                case _:
                    yield from self.keep_running()
                    yield from self.look_for_work()
            yield Sleep(LOOK)

    def other(self) -> str:
        return self.admins[1] if self.doing.admin == self.admins[0] else self.admins[0]

    def next(self, step: str, why: str = "") -> Work:
        self.doing.step, self.doing.why = step, why
        yield SaveState()

    def keep_running(self) -> Work:
        doing = self.doing
        if self.started_at is None:
            self.started_at = yield ReadClock()  # an agent that begins anew knows of no earlier start
        if (yield IsRunning(doing.pid)):
            return
        if doing.pid:
            log.warning("event=ended_by_itself version=%s pid=%d", doing.version, doing.pid)
            yield Sleep(AGAIN)
        doing.version, doing.admin = doing.version or self.first, doing.admin or self.admins[0]
        doing.pid = yield FindStartedProcess(0)
        self.started_at = yield ReadClock()
        if not doing.pid:
            doing.pid, why = yield StartProcess(doing.version, doing.admin)
            if why:
                log.error("event=not_started version=%s why=%s", doing.version, why)
        yield SaveState()

    def turn(self) -> Work:
        """Its turn, if it has come."""
        now = yield ReadClock()
        if now < self.ask_at:
            return None
        ok, turn = yield CallFleet("turn", {"member": self.member})
        self.ask_at = now + (IDLE if ok and not turn["status"] else 0.0)
        return turn if ok and turn["status"] in ("changing", "out") else None

    # Also where what runs falls over at every start: then the way back is what it needs.

    def look_for_work(self) -> Work:
        doing, turn = self.doing, (yield from self.turn())
        if turn is None:
            return
        doing.change = yield DrawToken()
        if turn["status"] == "changing":
            # Agreed, and lost between its yes and this agent's disk: it has done nothing of it.
            yield from self.next("told", "its agent began anew")
            return
        to = target(turn)
        if doing.version not in (turn["since"], turn["to"]):
            log.error("event=other_version runs=%s release=%s", doing.version, turn)
            return
        if (yield from self.not_yet(turn)):
            return
        asked = yield ReadClock()
        ok, _ = yield CallFleet("release_began", {"member": self.member, "to": to}, doing.change)
        if not ok:
            return  # `changing` above, if it was agreed all the same
        doing.to, doing.young, doing.failed = to, 0, False
        if (yield ReadClock()) - asked > USE:
            yield from self.next("told", "the yes came too late to be used")
        else:
            yield from self.next("told" if doing.version == to else self.first_step)

    def not_yet(self, turn: dict[str, Any]) -> Work:
        """Guards against a second process beside one that is only beginning: neither would find the other, both would listen, and the one
        without a part in the fleet would reject what came to it."""
        running = yield IsRunning(self.doing.pid)
        return (
            running
            and (yield CheckReady(self.doing.admin))
            and (yield ReadClock()) - self.started_at < READY
        )

    def ready(self, admin: str, pid: int) -> Work:
        """Nothing once it has been ready for STEADY, or why it never was."""
        until, since, why = (yield ReadClock()) + READY, None, "never ready"
        while (now := (yield ReadClock())) < until:
            if not (yield IsRunning(pid)):
                return "its process ended"
            why = yield CheckReady(admin)
            since = None if why else since or now
            if since is not None and (yield ReadClock()) - since >= STEADY:
                return ""
            yield Sleep(CHECK)
        return why or "not ready for long enough"

    def unwanted(self) -> Work:
        """Nothing, if the fleet said within USE that this change is still to be made; or why not, which where others are out is said
        only after a while: they may come back."""
        until, why = (yield ReadClock()) + READY, "the fleet could not be asked whether to go on"
        while (asked := (yield ReadClock())) < until:
            ok, turn = yield CallFleet("turn", {"member": self.member})
            if ok and (yield ReadClock()) - asked <= USE:
                if turn["status"] != "changing" or target(turn) != self.doing.to:
                    return "the release has turned"
                if turn["halted"] and turn["phase"] != "back":
                    return "halted before the one that runs was told to leave"
                why = turn["crowded"] or self.busy(turn)
                if not why:
                    return ""
            yield Sleep(LOOK)
        return why

    def busy(self, turn: dict[str, Any]) -> str:
        """Why what runs may not be told to leave yet, beside what holds for all."""
        return ""

    def go_beside(self) -> Work:
        doing = self.doing
        why = ""
        if not (yield IsRunning(doing.young)):
            doing.young = yield FindStartedProcess(doing.pid)
            if not doing.young:
                doing.young, why = yield StartProcess(doing.to, self.other())
            yield SaveState()
        why = why or (yield from self.ready(self.other(), doing.young))
        if why:
            yield from self.give_up(why)
        else:
            yield from self.next("leaving")

    def give_up(self, why: str) -> Work:
        """What runs goes on running."""
        yield EndProcess(self.doing.young, True)
        yield from self.next("told", why)

    def go_leaving(self) -> Work:
        doing = self.doing
        if (yield IsRunning(doing.pid)) and not (yield CheckReady(doing.admin)).startswith(
            SAID_LEAVING
        ):
            # Guards a change that was agreed yesterday against an agent, or a machine, that slept since, and a halt meanwhile.
            why = yield from self.unwanted()
            if why:
                yield from self.give_up(why)
                return
            log.info("event=told_to_leave version=%s pid=%d", doing.version, doing.pid)
            yield EndProcess(doing.pid, False)
        until = (yield ReadClock()) + LEAVE
        while (yield IsRunning(doing.pid)) and (yield ReadClock()) < until:
            yield Sleep(CHECK)
        yield EndProcess(doing.pid, True)
        admin = self.other()
        why = yield from self.ready(admin, doing.young)
        doing.version, doing.pid, doing.admin = doing.to, doing.young, admin
        yield from self.next("told", why)

    def runs_now(self) -> str:
        """The version that serves, or nothing."""
        return "" if self.doing.why and self.doing.version == self.doing.to else self.doing.version

    def go_told(self) -> Work:
        """Again until the fleet has it."""
        doing = self.doing
        # One ident for all tries: guards the next change against one of them that comes late.
        ok, body = yield CallFleet(
            "release_came",
            {"name": self.member, "runs": self.runs_now(), "why": doing.why},
            f"came:{doing.change}",
        )
        if ok:
            log.info("event=told version=%s why=%s", doing.version, doing.why or "-")
            doing.to, doing.young, doing.change = "", 0, ""
            yield from self.next("")
        else:
            log.warning("event=not_told why=%s", body)


def target(turn: dict[str, Any]) -> str:
    """The version that the agent is to run."""
    return turn["since"] if turn["phase"] == "back" else turn["to"]
