"""Actions that an agent asks its host to execute, and their results.

An agent is a generator: it yields one of these actions and is sent the result. `agent_host`
executes actions on a real machine, `lab/cluster/simulation/agent_runner.py` in virtual time.
"""

from collections.abc import Generator
from dataclasses import dataclass
from typing import Any, NamedTuple, TypeVar


@dataclass(frozen=True, slots=True)
class SaveState:
    """Write the agent's state to disk and flush it. Result: None."""


@dataclass(frozen=True, slots=True)
class StartProcess:
    """Start a process of a version that listens at the address `admin`. Result: StartResult."""

    version: str
    admin: str


@dataclass(frozen=True, slots=True)
class FindStartedProcess:
    """Find the process started last. Result: its id if it runs and is not `known_pid`, else 0."""

    known_pid: int


@dataclass(frozen=True, slots=True)
class IsRunning:
    """Check a process. Result: whether it runs, a bool."""

    pid: int


@dataclass(frozen=True, slots=True)
class StopProcess:
    """Kill a process if `kill`, else ask it to shut down. Result: None."""

    pid: int
    kill: bool


@dataclass(frozen=True, slots=True)
class CheckReady:
    """Call the process at an address. Result: why it is not ready, or an empty string."""

    admin: str


@dataclass(frozen=True, slots=True)
class CallFleet:
    """Call any balancer of the fleet. Result: CallResult.

    Attributes:
        name: name of the call.
        args: arguments of the call.
        command_id: id of a command, which takes effect once however often it is sent; empty for a
            query.
    """

    name: str
    args: dict[str, Any]
    command_id: str = ""


@dataclass(frozen=True, slots=True)
class GenerateToken:
    """Generate a token. Result: a unique string."""


@dataclass(frozen=True, slots=True)
class Sleep:
    """Wait. Result: None."""

    seconds: float


@dataclass(frozen=True, slots=True)
class ReadClock:
    """Read a clock that also advances while the machine sleeps. Result: seconds, a float."""


class StartResult(NamedTuple):
    """The id of a new process and an empty string, or 0 and why it was not started."""

    pid: int
    error: str


class CallResult(NamedTuple):
    """Whether a call succeeded, and the body of its answer."""

    ok: bool
    body: Any


Action = (
    SaveState
    | StartProcess
    | FindStartedProcess
    | IsRunning
    | StopProcess
    | CheckReady
    | CallFleet
    | GenerateToken
    | Sleep
    | ReadClock
)
ResultT = TypeVar("ResultT")
ActionGenerator = Generator[Action, Any, ResultT]
