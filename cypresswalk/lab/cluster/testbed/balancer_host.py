"""The host of a balancer, which runs the balancer itself or an agent that starts it."""

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
# Injects disk and clock faults into the balancer; the program's own code has no hooks for them.
FAULTY_PROGRAM = [*PYTHON, "cypresswalk.lab.cluster.testbed.faulty_balancer"]
EXIT_TIMEOUT_S = 8.0  # time for which a balancer may drain after SIGTERM
EXIT_POLL_S = 0.02
# Time until a balancer serves again after it was killed or stopped while its agent ran.
RESTART_BY_AGENT = 4 * SECOND


@dataclass(frozen=True, slots=True)
class HostAddresses:
    """The addresses on which a balancer listens.

    Attributes:
        listen: address for clients.
        admin: address for operators' calls.
        fleet: address for other balancers.
        second_admin: admin address of the second process that an agent starts beside the first.
    """

    listen: Address
    admin: Address
    fleet: Address
    second_admin: Address


@dataclass
class Launch:
    """The parameters with which balancers are started; all hosts share one object.

    Attributes:
        tree: root folder of the program's source files.
        program: command of a balancer.
        agent_root: folder of the versions that agents start; None where there is no agent.
        environment: variables added to the environment of each process.
        clock_drift: fraction by which a balancer's clock runs fast, by balancer.
    """

    tree: Path
    program: list[str] = field(default_factory=lambda: PROGRAM)
    agent_root: Path | None = None
    environment: dict[str, str] = field(default_factory=dict)
    clock_drift: dict[str, float] = field(default_factory=dict)


class BalancerHost(Host):
    """The host of one balancer, across all processes that are started on it.

    Attributes:
        listen: address for clients.
        admin: address for operators' calls.
        fleet: address for other balancers that don't connect through a link's proxy.
        frozen: whether its processes are stopped by SIGSTOP.
        disruptions: begin and end of each period in which the testbed killed, froze or stopped it,
            in nanoseconds of the monotonic clock.
    """

    def __init__(
        self,
        name: str,
        folder: Path,
        addresses: HostAddresses,
        launch: Launch,
        recording: Recording,
    ):
        """Create a host on which nothing runs yet."""
        super().__init__(name, folder)
        self.listen = addresses.listen
        self.admin = addresses.admin
        self.fleet = addresses.fleet
        self.second_admin = addresses.second_admin
        self.frozen = False
        self.disruptions: list[tuple[int, int]] = []
        self._launch = launch
        self._recording = recording
        self._is_stopping = False
        self._start_after_exit = False

    @property
    def config_file(self) -> Path:
        """The balancer's configuration file."""
        return self.folder / "config.json"

    @property
    def operator_file(self) -> Path:
        """The balancer's operator file."""
        return self.folder / "operator.toml"

    @property
    def fleet_folder(self) -> Path:
        """The folder in which the balancer persists its fleet state."""
        return self.folder / "kept"

    @property
    def backup_folder(self) -> Path:
        """The folder of the backup of the balancer's fleet state."""
        return self.folder.parent / f"copy-{self.name}"

    @property
    def disk_fault_file(self) -> Path:
        """The file that names the current fault of the balancer's disk."""
        return self.folder / "disk"

    def record_disruption(self, duration: int = 0) -> None:
        """Record a disruption that begins now and lasts `duration` nanoseconds."""
        now = time.monotonic_ns()
        self.disruptions.append((now, now + duration))

    # Processes.

    def start(self, **environment: str) -> None:
        """Start the balancer or its agent; an older process may still run."""
        if self.frozen:
            self.signal_children(signal.SIGCONT)  # the new agent takes them over
        self.launch(self._command(), self._launch.tree, self._environment() | environment)
        self.frozen = False
        self._is_stopping = self._start_after_exit = False
        self._recording.record("start", who=self.name)

    def kill(self) -> None:
        """Kill all processes on the host."""
        self.kill_all()
        self.record_disruption()
        self._recording.observe("balancer_down", "", self.name)
        self._recording.record("kill", who=self.name)

    def kill_agent(self) -> None:
        """Kill the agent; its balancers keep running."""
        self.kill_process()
        self._recording.record("kill_agent", who=self.name)

    def kill_balancer(self) -> None:
        """Kill the agent's current balancer, which the agent then restarts."""
        pid = self.agent_state().pid
        if pid in self.child_pids():
            self.record_disruption(RESTART_BY_AGENT)
            self._recording.observe("balancer_down", "", self.name)
            os.kill(pid, signal.SIGKILL)

    def freeze(self, duration_ms: int) -> None:
        """Stop all processes by SIGSTOP; record a disruption that lasts `duration_ms`."""
        self.signal_children(signal.SIGSTOP)
        if self.process is not None:
            self.process.send_signal(signal.SIGSTOP)
        self.frozen = True
        self.record_disruption(duration_ms * MILLISECOND)

    def resume(self) -> None:
        """Let frozen processes continue."""
        if self.frozen:
            self.signal_children(signal.SIGCONT)
            if self.process is not None:
                self.process.send_signal(signal.SIGCONT)
                self.record_disruption()
                self._recording.record("thaw", who=self.name)
        self.frozen = False

    async def freeze_for(self, duration_ms: int) -> None:
        """Freeze the host and resume it later, unless its process was replaced meanwhile."""
        process = self.process
        self.freeze(duration_ms)
        await asyncio.sleep(duration_ms / 1000)
        if self.process is process:
            self.resume()

    def stop_balancers(self) -> None:
        """Send SIGTERM to an agent's balancers; they drain and exit, the agent restarts them."""
        self.record_disruption(RESTART_BY_AGENT)
        self.signal_children(signal.SIGTERM)

    async def stop(self) -> None:
        """Send SIGTERM to a balancer without an agent, and wait until it has drained and exited.

        Kill it after EXIT_TIMEOUT_S.
        """
        process = self.process
        if process is None:
            return
        self.record_disruption()
        self._is_stopping = True
        process.send_signal(signal.SIGTERM)
        until = time.monotonic() + EXIT_TIMEOUT_S
        while process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(EXIT_POLL_S)
        if process.poll() is None:
            process.kill()
        self.record_disruption()
        if self.process is process:
            self.process = None
        self._recording.record("left", who=self.name)
        if self._start_after_exit and self.process is None:
            self.start()

    def heal(self) -> None:
        """End a freeze and a disk fault, and restart what the testbed has killed or is stopping."""
        self.clear_disk_fault()
        self.resume()
        if self.process is None:
            self.start()
        elif self._is_stopping:
            self._start_after_exit = True

    # Folders and disks.

    def set_disk_fault(self, fault: str) -> None:
        """Set the fault of a faulty balancer's disk; `faulty_balancer` defines the faults."""
        self.disk_fault_file.write_text(fault)

    def clear_disk_fault(self) -> None:
        """End the disk's fault."""
        self.disk_fault_file.unlink(missing_ok=True)

    def wipe(self) -> None:
        """Kill the balancer, delete its persisted fleet state and start it again."""
        self.kill()
        shutil.rmtree(self.fleet_folder, ignore_errors=True)
        self.start()

    def back_up(self) -> None:
        """Back up the balancer's persisted fleet state."""
        shutil.copytree(self.fleet_folder, self.backup_folder, dirs_exist_ok=True)

    def restore_backup(self) -> None:
        """Kill the balancer and start it again with its backup, if there is one."""
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
        """Return the process environment, which inherits no PROXY_*, PYTHONPATH or TMPDIR."""
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
