"""The agent on a balancer's machine, or a server's: runs one version of it, and changes that when the fleet's release says so (duty.py,
serving.py). It runs what
stands in a folder that is there, nothing is fetched. What it is doing stands in `agent.json` in its own folder."""

import json
import logging
import os
import signal
import socket
import subprocess
import time
import uuid
from dataclasses import asdict
from pathlib import Path
from typing import Any

from cypresswalk.fleet import client
from cypresswalk.refusal import CommandError
from cypresswalk.rollout.balancer_agent import (
    Action,
    AgentState,
    BalancerAgent,
    CallFleet,
    CheckReady,
    DrawToken,
    EndProcess,
    FindStartedProcess,
    IsRunning,
    ReadClock,
    SaveState,
    Sleep,
    StartProcess,
)

log = logging.getLogger(__name__)
FILE, STARTED = "agent.json", "started"
SPAN = 4.0  # seconds that a call to the fleet may take


class Agent:
    def __init__(
        self,
        member: str,
        fleet: str,
        addresses: list[str],
        root: Path,
        folder: Path,
        first: str,
        admins: tuple[str, str],
        command: list[str],
        duty: type[BalancerAgent] = BalancerAgent,
    ):
        """`member`: the balancer, or the server. `admins`: where it is called; a server has one address, at which it answers PING.
        `root`: where versions stand, a folder each. `command`: what is run there, with its environment as this one's."""
        self.fleet, self.addresses, self.root, self.folder = fleet, addresses, root, folder
        self.by, self.command = f"agent of {member}", command
        folder.mkdir(parents=True, exist_ok=True)
        self.doing = self.load()
        self.duty = duty(member, first, admins, self.doing)
        self.asks, self.yes = (
            (b"check\r\n", "OK") if duty is BalancerAgent else (b"PING\r\n", "PONG")
        )
        self.children: dict[int, subprocess.Popen] = {}
        self.over = False

    def run(self) -> None:
        work, answer = self.duty.run(), None
        while not self.over:
            answer = self.carry_out(work.send(answer))

    def carry_out(self, want: Action) -> Any:
        match want:
            case SaveState():
                return self.save()
            case StartProcess(version=version, admin=admin):
                try:
                    return self.start(version, admin), ""
                except OSError as error:
                    return 0, f"{version}: {error}"
            case FindStartedProcess(known=known):
                return self.started(known)
            case IsRunning(pid=pid):
                return self.runs(pid)
            case EndProcess(pid=pid, hard=hard):
                if self.runs(pid):
                    os.kill(pid, signal.SIGKILL if hard else signal.SIGTERM)
            case CheckReady(admin=admin):
                return self.check(admin)
            case CallFleet(name=name, args=args, ident=ident):
                return self.ask(
                    name, client.command_args(self.by, **args) | {"ident": ident} if ident else args
                )
            case DrawToken():
                return uuid.uuid4().hex
            case Sleep(seconds=seconds):
                time.sleep(seconds)
            case ReadClock():
                return time.clock_gettime(time.CLOCK_BOOTTIME)

    # What it is doing, on disk.

    def load(self) -> AgentState:
        try:
            return AgentState(**json.loads((self.folder / FILE).read_text()))
        except FileNotFoundError:
            return AgentState()
        except (OSError, ValueError, TypeError) as error:
            raise CommandError(f"{self.folder / FILE}: {error}") from None

    def save(self) -> None:
        new = self.folder / (FILE + ".next")
        with open(new, "w") as file:
            json.dump(asdict(self.doing), file)
            file.flush()
            os.fsync(file.fileno())
        new.rename(self.folder / FILE)

    # Processes.

    def start(self, version: str, admin: str) -> int:
        """Raises OSError."""
        tree = (self.root / version).resolve(strict=True)
        with (
            open(self.folder / "balancer.log", "ab") as out,
            open(self.folder / STARTED, "wb", buffering=0) as started,
        ):
            # Before it becomes the balancer: guards against a second one by an agent that died before it knew the first's number.
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
        log.info("event=started version=%s pid=%d admin=%s", version, child.pid, admin)
        return child.pid

    def started(self, known: int) -> int:
        try:
            pid = int((self.folder / STARTED).read_text() or 0)
        except (OSError, ValueError):
            return 0
        return pid if pid != known and self.runs(pid) else 0

    def runs(self, pid: int) -> bool:
        child = self.children.get(pid)
        if child is not None:
            return child.poll() is None
        # One that an agent before this one started. Its number may be another's by now: what it runs tells.
        try:
            return (
                pid > 0 and self.command[-1].encode() in Path(f"/proc/{pid}/cmdline").read_bytes()
            )
        except OSError:
            return False

    def check(self, admin: str) -> str:
        host, _, port = admin.rpartition(":")
        try:
            with socket.create_connection((host, int(port)), timeout=1) as sock:
                sock.settimeout(1)
                sock.sendall(self.asks)
                line = sock.makefile("rb").readline().decode(errors="replace").strip()
        except OSError as error:
            return f"check: {error}"
        return "" if line == self.yes else line or "check: no answer"

    # The fleet.

    def ask(self, name: str, args: dict[str, Any]) -> tuple[bool, Any]:
        try:
            return client.call(self.addresses, self.fleet, name, args, SPAN)
        except (CommandError, client.UncertainOutcomeError) as error:
            return False, {"why": str(error)}
