"""A host of the test bed: the process that is started there, and what an agent has started."""

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
    """A line of an agent's log: nanoseconds of the monotonic clock, and the event's name."""

    at: int
    name: str


class Host:
    """A host with a folder; its process is an agent or a program itself.

    Attributes:
        name: of the balancer or server on it.
        folder: its own.
        log: where its process writes.
        agent_folder: the agent's, if there is one.
        process: the last one started; None once it is known to have ended.
    """

    def __init__(self, name: str, folder: Path):
        """Nothing runs yet."""
        self.name = name
        self.folder = folder
        self.log = folder / "log"
        self.agent_folder = folder / "agent"
        self.process: subprocess.Popen | None = None
        self._wall_offset_s = time.time() - time.monotonic()

    def launch(self, command: list[str], tree: Path, environment: dict[str, str]) -> None:
        """Start a process, which dies with the test bed's own.

        Args:
            command: of the process.
            tree: the folder of the program's files.
            environment: the whole of it.
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
        """Return whether its process runs."""
        return self.process is not None and self.process.poll() is None

    def exit_code(self) -> int | None:
        """Return the code with which its process ended by itself, None if it did not."""
        return None if self.process is None else self.process.poll()

    def kill_process(self) -> None:
        """Kill its process alone, and wait for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        self.process = None

    def agent_state(self) -> AgentState:
        """Return what the agent has saved, the state of a new agent if nothing readable."""
        try:
            data = json.loads((self.agent_folder / "agent.json").read_text())
            return AgentState.from_json(data)
        except (OSError, ValueError, TypeError):
            return AgentState()

    def child_pids(self) -> list[int]:
        """Return the agent's processes, one it has started and not saved yet included."""
        state = self.agent_state()
        pids = [state.pid, state.new_pid]
        with contextlib.suppress(OSError, ValueError):
            pids.append(int((self.agent_folder / "started").read_text() or 0))
        return [pid for pid in dict.fromkeys(pids) if pid and self._is_own(pid)]

    def signal_children(self, number: int) -> None:
        """Send a signal to the agent's processes."""
        for pid in self.child_pids():
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, number)

    def kill_all(self) -> None:
        """Kill the process, which could start another one, and then the agent's processes."""
        self.kill_process()
        self.signal_children(signal.SIGKILL)

    def logged_events(self, *names: str) -> list[LoggedEvent]:
        """Return those events of the agent's log that have one of the names."""
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
        """Return the names of its logs that hold a traceback."""
        return [
            str(log.relative_to(self.folder))
            for log in (self.log, self.agent_folder / "balancer.log")
            if log.exists() and "Traceback" in log.read_text(errors="replace")
        ]

    def _logged_at(self, line: str) -> int:
        wall_s = float(line.removeprefix("ts=").split()[0])
        return int((wall_s - self._wall_offset_s) * SECOND)

    def _is_own(self, pid: int) -> bool:
        """Return whether a process names this host's folder: its number may be another's by now."""
        mark = f"{self.folder}/".encode()
        try:
            return any(
                mark in Path(f"/proc/{pid}/{file}").read_bytes() for file in ("cmdline", "environ")
            )
        except OSError:
            return False
