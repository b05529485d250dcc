"""Executes an agent's actions on a real machine: processes, the state file, calls to the fleet.

A version is a folder that already exists on the machine; nothing is downloaded.
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
    FindStartedProcess,
    GenerateToken,
    IsRunning,
    ReadClock,
    SaveState,
    Sleep,
    StartProcess,
    StartResult,
    StopProcess,
)
from cypresswalk.rollout.agent_state import AgentState
from cypresswalk.rollout.change_agent import ChangeAgent

log = logging.getLogger(__name__)
STATE_FILE = "agent.json"
STARTED_FILE = "started"  # holds the id of the process started last
OUTPUT_FILE = "balancer.log"
CHECK_TIMEOUT = 1  # seconds, for connecting and for each read


@dataclass(frozen=True, slots=True)
class ReadinessCheck:
    """The request line of a readiness check, and the answer of a ready process."""

    request: bytes
    expected: str

    def error(self, address: str) -> str:
        """Return why the process at HOST:PORT is not ready, or an empty string."""
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
    """The file that holds an agent's state."""

    def __init__(self, folder: Path):
        """Create the folder if it does not exist. Raise OSError if that fails."""
        folder.mkdir(parents=True, exist_ok=True)
        self.path = folder / STATE_FILE

    def load(self) -> AgentState:
        """Return the state saved last, or a new one.

        Raise CommandError if the file can't be read.
        """
        try:
            return AgentState.from_json(json.loads(self.path.read_text()))
        except FileNotFoundError:
            return AgentState()
        except (OSError, ValueError, TypeError, AttributeError) as error:
            raise CommandError(f"{self.path}: {error}") from error

    def save(self, state: AgentState) -> None:
        """Replace the file atomically, flushed to disk. Raise OSError if that fails."""
        temporary = self.path.with_name(STATE_FILE + ".next")
        with open(temporary, "w") as file:
            json.dump(state.to_json(), file)
            file.flush()
            os.fsync(file.fileno())
        temporary.rename(self.path)


class VersionProcesses:
    """The processes of one member, with methods to start, find, check and stop them."""

    def __init__(self, root: Path, folder: Path, command: list[str]):
        """Prepare to start processes.

        Args:
            root: the folder that contains a folder for each version.
            folder: the folder for the processes' output and the id of the one started last.
            command: the command to run in a version's folder, with this process's environment.
        """
        self.root = root
        self.folder = folder
        self.command = command
        self.children: dict[int, subprocess.Popen[bytes]] = {}

    def start(self, version: str, admin: str) -> int:
        """Start a version with the admin address `admin` and return its process id.

        Raise OSError if that fails.
        """
        tree = (self.root / version).resolve(strict=True)
        with (
            open(self.folder / OUTPUT_FILE, "ab") as out,
            open(self.folder / STARTED_FILE, "wb", buffering=0) as started,
        ):
            # The child writes its id before it runs the command. If the agent dies before it has
            # saved the id, the next agent finds it there and starts no second process.
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

    def find_started(self, known_pid: int) -> int:
        """Return the id of the process started last if it runs and is not `known_pid`, else 0."""
        try:
            pid = int((self.folder / STARTED_FILE).read_text() or 0)
        except (OSError, ValueError):
            return 0
        return pid if pid != known_pid and self.is_running(pid) else 0

    def is_running(self, pid: int) -> bool:
        """Return whether the process runs and was started by this agent or an earlier one."""
        child = self.children.get(pid)
        if child is not None:
            return child.poll() is None
        # Started by an earlier agent. Another program may have the id by now, so the command line
        # is compared.
        try:
            command_line = Path(f"/proc/{pid}/cmdline")
            return pid > 0 and self.command[-1].encode() in command_line.read_bytes()
        except OSError:
            return False

    def stop(self, pid: int, kill: bool) -> None:
        """Kill a process if `kill`, else ask it to shut down; do nothing if it does not run."""
        if self.is_running(pid):
            os.kill(pid, signal.SIGKILL if kill else signal.SIGTERM)


class AgentHost:
    """The host of one agent, which runs it until `stopped` is set."""

    def __init__(
        self,
        agent: ChangeAgent,
        state_file: StateFile,
        processes: VersionProcesses,
        check: ReadinessCheck,
        call_fleet: Callable[[CallFleet], CallResult],
    ):
        """Prepare to run an agent.

        Args:
            agent: the agent, already restored from its saved state.
            state_file: the file in which its state is saved.
            processes: the processes of its member.
            check: the readiness check of its member's processes.
            call_fleet: a function that calls any balancer of the fleet; a failed call returns a
                result with the reason instead of raising.
        """
        self.agent = agent
        self.state_file = state_file
        self.processes = processes
        self.check = check
        self.call_fleet = call_fleet
        self.stopped = False

    def run(self) -> None:
        """Execute one action after the other until `stopped` is set.

        Raise OSError if the state can't be saved.
        """
        work = self.agent.run()
        result = None
        while not self.stopped:
            result = self.execute(work.send(result))

    def execute(self, action: Action) -> Any:
        """Execute an action and return the result that its class documents."""
        match action:
            case StartProcess() | FindStartedProcess() | IsRunning() | StopProcess():
                return self.execute_on_process(action)
            case SaveState():
                self.state_file.save(self.agent.state)
            case CheckReady(admin=admin):
                return self.check.error(admin)
            case CallFleet():
                return self.call_fleet(action)
            case GenerateToken():
                return uuid.uuid4().hex
            case Sleep(seconds=seconds):
                time.sleep(seconds)
            case ReadClock():
                return time.clock_gettime(time.CLOCK_BOOTTIME)
            case _:
                assert_never(action)
        return None

    def execute_on_process(
        self, action: StartProcess | FindStartedProcess | IsRunning | StopProcess
    ) -> Any:
        """Execute an action on the member's processes and return its result."""
        match action:
            case StartProcess(version=version, admin=admin):
                try:
                    return StartResult(self.processes.start(version, admin), "")
                except OSError as error:
                    return StartResult(0, f"{version}: {error}")
            case FindStartedProcess(known_pid=known_pid):
                return self.processes.find_started(known_pid)
            case IsRunning(pid=pid):
                return self.processes.is_running(pid)
            case StopProcess(pid=pid, kill=kill):
                self.processes.stop(pid, kill)
        return None
