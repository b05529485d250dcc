"""What an agent asks its host to do, and what it gets as a result.

An agent is a generator: it yields one of these actions and is sent the result. `agent_host` carries
actions out on a real machine, `lab/cluster/simulation/agent_runner.py` in virtual time.
"""

from collections.abc import Generator
from dataclasses import dataclass
from typing import Any, NamedTuple, TypeVar


@dataclass(frozen=True, slots=True)
class SaveState:
    """Writes the agent's state to disk and flushes it. Result: None."""


@dataclass(frozen=True, slots=True)
class StartProcess:
    """Starts a process of a version, to be called at `admin`. Result: StartResult."""

    version: str
    admin: str


@dataclass(frozen=True, slots=True)
class FindStartedProcess:
    """Looks for the process started last. Result: its id if it runs and is not `known`, else 0."""

    known: int


@dataclass(frozen=True, slots=True)
class IsRunning:
    """Result: whether that process runs, a bool."""

    pid: int


@dataclass(frozen=True, slots=True)
class EndProcess:
    """Kills a process if `hard`, else asks it to leave. Result: None."""

    pid: int
    hard: bool


@dataclass(frozen=True, slots=True)
class CheckReady:
    """Calls the process at an address. Result: why it is not ready, or an empty string."""

    admin: str


@dataclass(frozen=True, slots=True)
class CallFleet:
    """Calls any balancer of the fleet. Result: CallResult.

    Attributes:
        name: of the call.
        args: its arguments.
        ident: of a command, which is carried out once however often it is sent; empty for a query.
    """

    name: str
    args: dict[str, Any]
    ident: str = ""


@dataclass(frozen=True, slots=True)
class DrawToken:
    """Result: a text that nobody else has."""


@dataclass(frozen=True, slots=True)
class Sleep:
    """Waits. Result: None."""

    seconds: float


@dataclass(frozen=True, slots=True)
class ReadClock:
    """Result: seconds, a float, on a clock that goes on while the machine sleeps."""


class StartResult(NamedTuple):
    """A new process's id and an empty string, or 0 and why it was not started."""

    pid: int
    error: str


class CallResult(NamedTuple):
    """Whether a call was carried out, and the body of its answer."""

    ok: bool
    body: Any


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
ResultT = TypeVar("ResultT")
Work = Generator[Action, Any, ResultT]
