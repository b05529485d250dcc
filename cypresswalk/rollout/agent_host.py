"""Carries out on a real machine what an agent asks for: processes, its file, calls.

A version is a folder that is there already; nothing is fetched.
"""

import json
import logging
import os
import signal
import socket
import subprocess
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, assert_never

from cypresswalk.refusal import CommandError
from cypresswalk.rollout.actions import (
    Action,
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
    StartResult,
)
from cypresswalk.rollout.agent_state import AgentState
from cypresswalk.rollout.change_agent import ChangeAgent

log = logging.getLogger(__name__)
STATE_FILE = "agent.json"
STARTED_FILE = "started"  # the id of the process started last
OUTPUT_FILE = "balancer.log"
CHECK_TIMEOUT = 1  # seconds, to connect and for each read


@dataclass(frozen=True, slots=True)
class ReadinessCheck:
    """The line that is sent to a process, and the answer of one that is ready."""

    request: bytes
    expected: str

    def error(self, address: str) -> str:
        """Why the process at HOST:PORT is not ready, or an empty string."""
        host, _, port = address.rpartition(":")
        try:
            with socket.create_connection((host, int(port)), timeout=CHECK_TIMEOUT) as sock:
                sock.settimeout(CHECK_TIMEOUT)
                sock.sendall(self.request)
                line = sock.makefile("rb").readline().decode(errors="replace").strip()
        except OSError as error:
            return f"check: {error}"
        if line == self.expected:
            return ""
        return line or "check: no answer"


BALANCER_CHECK = ReadinessCheck(b"check\r\n", "OK")
SERVER_CHECK = ReadinessCheck(b"PING\r\n", "PONG")


class StateFile:
    """The file in which an agent's state stands."""

    def __init__(self, folder: Path):
        """Makes the folder if it is not there. Raises OSError."""
        folder.mkdir(parents=True, exist_ok=True)
        self.path = folder / STATE_FILE

    def load(self) -> AgentState:
        """The state saved last, or a new one. Raises CommandError if the file can't be read."""
        try:
            return AgentState.from_json(json.loads(self.path.read_text()))
        except FileNotFoundError:
            return AgentState()
        except (OSError, ValueError, TypeError, AttributeError) as error:
            raise CommandError(f"{self.path}: {error}") from error

    def save(self, state: AgentState) -> None:
        """Replaces the file in one step, flushed to disk. Raises OSError."""
        temporary = self.path.with_name(STATE_FILE + ".next")
        with open(temporary, "w") as file:
            json.dump(state.to_json(), file)
            file.flush()
            os.fsync(file.fileno())
        temporary.rename(self.path)


class VersionProcesses:
    """Starts processes of versions and tells which of them run."""

    def __init__(self, root: Path, folder: Path, command: list[str]):
        """Prepares to start processes.

        Args:
            root: where versions are, a folder each.
            folder: where the processes' output and the id of the last one are written.
            command: what is run in a version's folder, with this process's environment.
        """
        self.root = root
        self.folder = folder
        self.command = command
        self.children: dict[int, subprocess.Popen[bytes]] = {}

    def start(self, version: str, admin: str) -> int:
        """Starts a version that is to be called at `admin`; its process id. Raises OSError."""
        tree = (self.root / version).resolve(strict=True)
        with (
            open(self.folder / OUTPUT_FILE, "ab") as out,
            open(self.folder / STARTED_FILE, "wb", buffering=0) as started,
        ):
            # The child writes its id before it runs the command: an agent that dies before it knows
            # the id finds it there, and no second process is started.
            child = subprocess.Popen(
                self.command,
                cwd=tree,
                env=os.environ | {"PROXY_ADMIN_ADDR": admin},
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                start_new_session=True,
                preexec_fn=lambda: started.write(b"%d" % os.getpid()),
            )
        self.children[child.pid] = child
        log.info("event=process_started version=%s pid=%d admin=%s", version, child.pid, admin)
        return child.pid

    def find_started(self, known: int) -> int:
        """The id of the process started last, if it runs and is not `known`; else 0."""
        try:
            pid = int((self.folder / STARTED_FILE).read_text() or 0)
        except (OSError, ValueError):
            return 0
        return pid if pid != known and self.runs(pid) else 0

    def runs(self, pid: int) -> bool:
        """Whether a process runs that this agent, or one before it, has started."""
        child = self.children.get(pid)
        if child is not None:
            return child.poll() is None
        # An earlier agent's. The id may be another program's by now: its command line tells.
        try:
            command_line = Path(f"/proc/{pid}/cmdline")
            return pid > 0 and self.command[-1].encode() in command_line.read_bytes()
        except OSError:
            return False

    def end(self, pid: int, hard: bool) -> None:
        """Kills a process if `hard`, else asks it to leave; nothing if it does not run."""
        if self.runs(pid):
            os.kill(pid, signal.SIGKILL if hard else signal.SIGTERM)


class AgentHost:
    """Runs one agent until it is told to stop."""

    def __init__(
        self,
        agent: ChangeAgent,
        state_file: StateFile,
        processes: VersionProcesses,
        check: ReadinessCheck,
        call_fleet: Callable[[CallFleet], CallResult],
    ):
        """Takes an agent and what it needs.

        Args:
            agent: goes on from the state that it was given.
            state_file: where that is saved.
            processes: of its member.
            check: what its member's processes answer.
            call_fleet: calls any balancer of the fleet; raises nothing where that fails.
        """
        self.agent = agent
        self.state_file = state_file
        self.processes = processes
        self.check = check
        self.call_fleet = call_fleet
        self.stopped = False

    def run(self) -> None:
        """Carries out one action after the other until `stopped` is set. Raises OSError."""
        work = self.agent.run()
        result = None
        while not self.stopped:
            result = self.carry_out(work.send(result))

    def carry_out(self, action: Action) -> Any:
        """Carries out an action; its result as the action's class states it."""
        match action:
            case StartProcess() | FindStartedProcess() | IsRunning() | EndProcess():
                return self.carry_out_on_process(action)
            case SaveState():
                self.state_file.save(self.agent.state)
            case CheckReady(admin=admin):
                return self.check.error(admin)
            case CallFleet():
                return self.call_fleet(action)
            case DrawToken():
                return uuid.uuid4().hex
            case Sleep(seconds=seconds):
                time.sleep(seconds)
            case ReadClock():
                return time.clock_gettime(time.CLOCK_BOOTTIME)
            case _:
                assert_never(action)
        return None

    def carry_out_on_process(
        self, action: StartProcess | FindStartedProcess | IsRunning | EndProcess
    ) -> Any:
        """Carries out an action on the member's processes."""
        match action:
            case StartProcess(version=version, admin=admin):
                try:
                    return StartResult(self.processes.start(version, admin), "")
                except OSError as error:
                    return StartResult(0, f"{version}: {error}")
            case FindStartedProcess(known=known):
                return self.processes.find_started(known)
            case IsRunning(pid=pid):
                return self.processes.runs(pid)
            case EndProcess(pid=pid, hard=hard):
                self.processes.end(pid, hard)
        return None
