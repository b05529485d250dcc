"""A host of the testbed: the process that is started on it, and the processes of its agent."""

import contextlib
import json
import os
import signal
import subprocess
import time
from dataclasses import dataclass
from pathlib import Path

from cypresswalk.lab.balancers import die_with_parent
from cypresswalk.lab.units import SECOND
from cypresswalk.rollout.agent_state import AgentState


@dataclass(frozen=True, slots=True)
class LoggedEvent:
    """An event in an agent's log.

    Attributes:
        at: nanoseconds of the monotonic clock.
        name: name of the event.
    """

    at: int
    name: str


class Host:
    """A host with a folder of its own, on which an agent or a program runs.

    Attributes:
        name: name of the balancer or server on the host.
        folder: folder of the host.
        log: file to which the process writes its output.
        agent_folder: folder of the agent, if there is one.
        process: the process last started; None once the testbed has killed or stopped it.
    """

    def __init__(self, name: str, folder: Path):
        """Create a host on which nothing runs yet."""
        self.name = name
        self.folder = folder
        self.log = folder / "log"
        self.agent_folder = folder / "agent"
        self.process: subprocess.Popen | None = None
        self._wall_offset_s = time.time() - time.monotonic()

    def launch(self, command: list[str], tree: Path, environment: dict[str, str]) -> None:
        """Start a process that is killed when the testbed's process ends.

        Args:
            command: command line of the process.
            tree: root folder of the program's source files, the process's working directory.
            environment: complete environment of the process.
        """
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=tree,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=die_with_parent,
                start_new_session=True,
                env=environment,
            )

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def exit_code(self) -> int | None:
        """Return the exit code of a process that ended by itself, None if it did not."""
        return None if self.process is None else self.process.poll()

    def kill_process(self) -> None:
        """Kill the process without the agent's processes, and wait until it has ended."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        self.process = None

    def agent_state(self) -> AgentState:
        """Return the agent's saved state; a new agent's state if there is none or it is invalid."""
        try:
            data = json.loads((self.agent_folder / "agent.json").read_text())
            return AgentState.from_json(data)
        except (OSError, ValueError, TypeError):
            return AgentState()

    def child_pids(self) -> list[int]:
        """Return the pids of the agent's processes, including one not yet saved in its state."""
        state = self.agent_state()
        pids = [state.pid, state.new_pid]
        with contextlib.suppress(OSError, ValueError):
            pids.append(int((self.agent_folder / "started").read_text() or 0))
        return [pid for pid in dict.fromkeys(pids) if pid and self._is_process_of_host(pid)]

    def signal_children(self, number: int) -> None:
        """Send a signal to the agent's processes."""
        for pid in self.child_pids():
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, number)

    def kill_all(self) -> None:
        """Kill the process first, since an agent could start others, then the agent's processes."""
        self.kill_process()
        self.signal_children(signal.SIGKILL)

    def logged_events(self, *names: str) -> list[LoggedEvent]:
        """Return the events in the agent's log that have one of the names."""
        try:
            lines = self.log.read_text(errors="replace").splitlines()
        except OSError:
            return []
        return [
            LoggedEvent(self._logged_at(line), name)
            for line in lines
            if line.startswith("ts=")
            for name in names
            if f"event={name}" in line
        ]

    def logs_with_traceback(self) -> list[str]:
        """Return the names of the host's log files that contain a traceback."""
        return [
            str(log.relative_to(self.folder))
            for log in (self.log, self.agent_folder / "balancer.log")
            if log.exists() and "Traceback" in log.read_text(errors="replace")
        ]

    def _logged_at(self, line: str) -> int:
        wall_s = float(line.removeprefix("ts=").split()[0])
        return int((wall_s - self._wall_offset_s) * SECOND)

    def _is_process_of_host(self, pid: int) -> bool:
        """Return whether a pid belongs to a process of this host; the system reuses pids.

        A process of this host has the host's folder in its command line or environment.
        """
        folder_prefix = f"{self.folder}/".encode()
        try:
            return any(
                folder_prefix in Path(f"/proc/{pid}/{file}").read_bytes()
                for file in ("cmdline", "environ")
            )
        except OSError:
            return False
