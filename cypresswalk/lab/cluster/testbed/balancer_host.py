"""The host of a balancer: the balancer itself, or an agent that starts it."""

import asyncio
import os
import shutil
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from cypresswalk.lab.balancers import address_text
from cypresswalk.lab.cluster.testbed.addresses import Address
from cypresswalk.lab.cluster.testbed.builds import FIRST_VERSION
from cypresswalk.lab.cluster.testbed.host import Host
from cypresswalk.lab.cluster.testbed.recording import Recording
from cypresswalk.lab.units import MILLISECOND, SECOND

PYTHON = [sys.executable, "-B", "-m"]
PROGRAM = [*PYTHON, "cypresswalk"]
# Faults inside a process are put in by its start: the program's own code knows none.
FAULTY_PROGRAM = [*PYTHON, "cypresswalk.lab.cluster.testbed.faulty_balancer"]
EXIT_TIMEOUT_S = 8.0  # for which a balancer that was told to stop may drain
EXIT_POLL_S = 0.02
# After a balancer was killed or stopped under its agent, until it serves again.
RESTART_BY_AGENT = 4 * SECOND


@dataclass(frozen=True, slots=True)
class HostAddresses:
    """Where a balancer listens.

    Attributes:
        listen: for clients.
        admin: for operators' calls.
        fleet: for other balancers.
        second_admin: for the second process that an agent starts beside the first.
    """

    listen: Address
    admin: Address
    fleet: Address
    second_admin: Address


@dataclass
class Launch:
    """How balancers are started; the same object for all hosts.

    Attributes:
        tree: the folder of the program's files.
        program: the command of a balancer.
        agent_root: the folder of versions that agents start from; None where there is no agent.
        environment: added to each start.
        clock_drift: by balancer.
    """

    tree: Path
    program: list[str] = field(default_factory=lambda: PROGRAM)
    agent_root: Path | None = None
    environment: dict[str, str] = field(default_factory=dict)
    clock_drift: dict[str, float] = field(default_factory=dict)


class BalancerHost(Host):
    """A balancer over its starts.

    Attributes:
        listen: where clients reach it.
        admin: where operators' calls reach it.
        fleet: where other balancers reach it, if not through a link's proxy.
        frozen: whether it is stopped by a signal.
        disruptions: from when until when the test bed killed, froze or stopped it, nanoseconds.
    """

    def __init__(
        self,
        name: str,
        folder: Path,
        addresses: HostAddresses,
        launch: Launch,
        recording: Recording,
    ):
        """Nothing runs yet."""
        super().__init__(name, folder)
        self.listen = addresses.listen
        self.admin = addresses.admin
        self.fleet = addresses.fleet
        self.second_admin = addresses.second_admin
        self.frozen = False
        self.disruptions: list[tuple[int, int]] = []
        self._launch = launch
        self._recording = recording
        self._leaving = False
        self._start_when_left = False

    @property
    def config_file(self) -> Path:
        """The balancer's configuration."""
        return self.folder / "config.json"

    @property
    def operator_file(self) -> Path:
        """The balancer's operator file."""
        return self.folder / "operator.toml"

    @property
    def fleet_folder(self) -> Path:
        """What it persists of the fleet."""
        return self.folder / "kept"

    @property
    def backup_folder(self) -> Path:
        """A copy of that of an earlier moment."""
        return self.folder.parent / f"copy-{self.name}"

    @property
    def disk_fault_file(self) -> Path:
        """Says which fault its disk has."""
        return self.folder / "disk"

    def disrupted(self, duration: int = 0) -> None:
        """Record that it is disrupted from now on, for nanoseconds."""
        now = time.monotonic_ns()
        self.disruptions.append((now, now + duration))

    # Processes.

    def start(self, **environment: str) -> None:
        """Start the balancer, or its agent; an older process of it may run still."""
        if self.frozen:
            self.signal_children(signal.SIGCONT)  # the new agent takes them over
        self.launch(self._command(), self._launch.tree, self._environment() | environment)
        self.frozen = False
        self._leaving = self._start_when_left = False
        self._recording.record("start", who=self.name)

    def kill(self) -> None:
        """Kill all that runs on the host."""
        self.kill_all()
        self.disrupted()
        self._recording.observe("balancer_down", "", self.name)
        self._recording.record("kill", who=self.name)

    def kill_agent(self) -> None:
        """Kill the agent; its balancers go on."""
        self.kill_process()
        self._recording.record("kill_agent", who=self.name)

    def kill_balancer(self) -> None:
        """Kill the agent's current balancer; the agent starts it again."""
        pid = self.agent_state().pid
        if pid in self.child_pids():
            self.disrupted(RESTART_BY_AGENT)
            self._recording.observe("balancer_down", "", self.name)
            os.kill(pid, signal.SIGKILL)

    def freeze(self, duration_ms: int) -> None:
        """Stop all that runs on the host by a signal."""
        self.signal_children(signal.SIGSTOP)
        if self.process is not None:
            self.process.send_signal(signal.SIGSTOP)
        self.frozen = True
        self.disrupted(duration_ms * MILLISECOND)

    def resume(self) -> None:
        """End a freeze."""
        if self.frozen:
            self.signal_children(signal.SIGCONT)
            if self.process is not None:
                self.process.send_signal(signal.SIGCONT)
                self.disrupted()
                self._recording.record("thaw", who=self.name)
        self.frozen = False

    async def freeze_for(self, duration_ms: int) -> None:
        """Freeze, and resume after a while what was frozen."""
        process = self.process
        self.freeze(duration_ms)
        await asyncio.sleep(duration_ms / 1000)
        if self.process is process:
            self.resume()

    def stop_balancers(self) -> None:
        """Tell an agent's balancers to drain and end; the agent starts them again."""
        self.disrupted(RESTART_BY_AGENT)
        self.signal_children(signal.SIGTERM)

    async def stop(self) -> None:
        """Tell a balancer without an agent to drain and end, and wait for it."""
        process = self.process
        if process is None:
            return
        self.disrupted()
        self._leaving = True
        process.send_signal(signal.SIGTERM)
        until = time.monotonic() + EXIT_TIMEOUT_S
        while process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(EXIT_POLL_S)
        if process.poll() is None:
            process.kill()
        self.disrupted()
        if self.process is process:
            self.process = None
        self._recording.record("left", who=self.name)
        if self._start_when_left and self.process is None:
            self.start()

    def heal(self) -> None:
        """End a freeze and a disk's fault, and start what does not run or is about to end."""
        self.clear_disk_fault()
        self.resume()
        if self.process is None:
            self.start()
        elif self._leaving:
            self._start_when_left = True

    # Folders and disks.

    def set_disk_fault(self, fault: str) -> None:
        """Let the disk of a faulty balancer fail; `faulty_balancer` knows the faults."""
        self.disk_fault_file.write_text(fault)

    def clear_disk_fault(self) -> None:
        """Let the disk work again."""
        self.disk_fault_file.unlink(missing_ok=True)

    def wipe(self) -> None:
        """Kill it and start it again without what it had persisted of the fleet."""
        self.kill()
        shutil.rmtree(self.fleet_folder, ignore_errors=True)
        self.start()

    def back_up(self) -> None:
        """Copy what it has persisted of the fleet."""
        shutil.copytree(self.fleet_folder, self.backup_folder, dirs_exist_ok=True)

    def restore_backup(self) -> None:
        """Kill it and start it again with an earlier copy, if there is one."""
        if self.backup_folder.exists():
            self.kill()
            shutil.rmtree(self.fleet_folder)
            shutil.copytree(self.backup_folder, self.fleet_folder)
            self.start()

    # Commands.

    def _command(self) -> list[str]:
        launch = self._launch
        if launch.agent_root is None:
            return launch.program
        return [
            *PROGRAM,
            *("fleet", "--operator", str(self.operator_file)),
            *("agent", "--member", self.name),
            *("--root", str(launch.agent_root)),
            *("--folder", str(self.agent_folder)),
            *("--first", FIRST_VERSION),
            *("--admin", address_text(self.admin), address_text(self.second_admin)),
            "--",
            *launch.program,
        ]

    def _environment(self) -> dict[str, str]:
        """Return its environment: of the platform's variables only what the test bed sets."""
        inherited = {
            name: value
            for name, value in os.environ.items()
            if not name.startswith("PROXY_") and name not in ("PYTHONPATH", "TMPDIR")
        }
        own = {
            "TMPDIR": str(self.folder),
            "PROXY_CONFIG": str(self.config_file),
            "PROXY_OPERATOR": str(self.operator_file),
            "FAULTY_BALANCER_CLOCK_DRIFT": str(self._launch.clock_drift.get(self.name, 0.0)),
            "FAULTY_BALANCER_DISK": str(self.disk_fault_file),
        }
        return inherited | own | self._launch.environment
