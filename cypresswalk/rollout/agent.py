"""The agent on a balancer's machine: runs one version of it, and changes that when the fleet's release says so. It runs what stands
in a folder that is there, nothing is fetched.

What it is doing stands in `agent.json` in its own folder, written before it is done, so that an agent that dies half way goes on: the
balancers do not die with it.

    start version -> run
    a release names this balancer -> "began" is agreed -> second process beside the first -> its `check` is OK for STEADY seconds
    -> SIGTERM to the first -> the first has ended, the second is OK still -> "came" with the new version
    anything else -> the second is ended, the first stays -> "came" with the old one, and why"""

import json
import logging
import os
import signal
import socket
import subprocess
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from cypresswalk.fleet import tool
from cypresswalk.refusal import Refusal

log = logging.getLogger(__name__)
LOOK = 0.5              # seconds between two looks at the release
READY = 20.0            # within which a new process must be OK
STEADY = 1.0            # for so long
LEAVE = 15.0            # within which an old one must have ended
USE = 2.0               # within which what was agreed is begun, or not at all
AGAIN = 2.0             # between two starts of one that ended by itself
FILE, STARTED = "agent.json", "started"


@dataclass
class Doing:
    """`version` runs as `pid` and is called at `admin`; while it is changed `to` runs as `young` at the other address."""
    version: str = ""
    pid: int = 0
    admin: str = ""
    to: str = ""
    young: int = 0
    step: str = ""          # "", "beside", "leaving", "told"
    why: str = ""


class Agent:
    def __init__(self, member: str, fleet: str, addresses: list[str], root: Path, folder: Path, first: str, admins: tuple[str, str],
                 command: list[str]):
        """`root`: where versions stand, a folder each. `command`: what is run there, with its environment as this one's."""
        self.member, self.fleet, self.addresses, self.root, self.folder = member, fleet, addresses, root, folder
        self.first, self.admins, self.command = first, admins, command
        folder.mkdir(parents=True, exist_ok=True)
        self.doing = self.load()
        self.children: dict[int, subprocess.Popen] = {}
        self.over = False

    # What it is doing, on disk.

    def load(self) -> Doing:
        try:
            return Doing(**json.loads((self.folder / FILE).read_text()))
        except FileNotFoundError:
            return Doing()
        except (OSError, ValueError, TypeError) as error:
            raise Refusal(f"{self.folder / FILE}: {error}") from None

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
        with open(self.folder / "balancer.log", "ab") as out, open(self.folder / STARTED, "wb", buffering=0) as started:
            # Before it becomes the balancer: guards against a second one by an agent that died before it knew the first's number.
            child = subprocess.Popen(self.command, cwd=tree, env=os.environ | {"PROXY_ADMIN_ADDR": admin}, stdin=subprocess.DEVNULL,
                                     stdout=out, stderr=out, start_new_session=True,
                                     preexec_fn=lambda: started.write(b"%d" % os.getpid()))
        self.children[child.pid] = child
        log.info("event=started version=%s pid=%d admin=%s", version, child.pid, admin)
        return child.pid

    def started(self, known: int) -> int:
        """The number of the one started last, if it runs and is not the known one; else 0."""
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
            return pid > 0 and self.command[-1].encode() in Path(f"/proc/{pid}/cmdline").read_bytes()
        except OSError:
            return False

    def end(self, pid: int, number: int) -> None:
        if self.runs(pid):
            os.kill(pid, number)

    def check(self, admin: str) -> str:
        """Nothing, or why it is not ready."""
        host, _, port = admin.rpartition(":")
        try:
            with socket.create_connection((host, int(port)), timeout=1) as sock:
                sock.settimeout(1)
                sock.sendall(b"check\r\n")
                line = sock.makefile("rb").readline().decode(errors="replace").strip()
        except OSError as error:
            return f"check: {error}"
        return "" if line == "OK" else line or "check: no answer"

    def ready(self, admin: str, pid: int, within: float, steady: float) -> str:
        """Nothing once it has been ready for so long, or why it never was."""
        until, since, why = time.monotonic() + within, None, "never ready"
        while time.monotonic() < until and not self.over:
            if not self.runs(pid):
                return "its process ended"
            why = self.check(admin)
            since = None if why else since or time.monotonic()
            if since is not None and time.monotonic() - since >= steady:
                return ""
            time.sleep(0.05)
        return why or "not ready for long enough"

    # The fleet.

    def ask(self, name: str, args: dict[str, Any] | None = None, span: float = 4.0) -> tuple[bool, Any]:
        try:
            return tool.call(self.addresses, self.fleet, name, args, span)
        except (Refusal, tool.Unsure) as error:
            return False, {"why": str(error)}

    def tell(self, what: str, **args: Any) -> tuple[bool, Any]:
        return self.ask(what, tool.command(f"agent of {self.member}", **args))

    # Its work.

    def run(self) -> None:
        while not self.over:
            self.look()
            time.sleep(LOOK)

    def look(self) -> None:
        doing = self.doing
        if doing.step == "beside":
            self.go_beside()
        elif doing.step == "leaving":
            self.go_leaving()
        elif doing.step == "told":
            self.go_told()
        elif not self.runs(doing.pid):
            if doing.pid:
                log.warning("event=ended_by_itself version=%s pid=%d", doing.version, doing.pid)
                time.sleep(AGAIN)
            doing.version, doing.admin = doing.version or self.first, doing.admin or self.admins[0]
            doing.pid = self.started(0) or self.start(doing.version, doing.admin)
            self.save()
        else:
            self.look_for_work()

    def look_for_work(self) -> None:
        ok, body = self.ask("release")
        release = body.get("release") if ok else None
        if not release:
            return
        plan, _, _, phase, _, members, _ = release
        if members.get(self.member) == "changing":
            # Agreed, and lost between its yes and this agent's disk: it has done nothing of it.
            self.doing.step, self.doing.why = "told", "its agent began anew"
            self.save()
            return
        if members.get(self.member) != "out":
            return
        to = plan[1] if phase == "back" else plan[2]
        if self.doing.version not in (plan[1], plan[2]):
            log.error("event=other_version runs=%s release=%s", self.doing.version, plan[:3])
            return
        asked = time.monotonic()
        ok, _ = self.tell("release_began", name=self.member, to=to)
        if not ok:
            return      # `changing` above, if it was agreed all the same
        if time.monotonic() - asked > USE:
            self.doing.step, self.doing.why = "told", "the yes came too late to be used"
        elif self.doing.version == to:
            self.doing.step, self.doing.why = "told", ""
        else:
            self.doing.to, self.doing.young, self.doing.step, self.doing.why = to, 0, "beside", ""
        self.save()

    def other(self) -> str:
        return self.admins[1] if self.doing.admin == self.admins[0] else self.admins[0]

    def go_beside(self) -> None:
        doing = self.doing
        why = ""
        if not self.runs(doing.young):
            try:
                doing.young = self.started(doing.pid) or self.start(doing.to, self.other())
                self.save()
            except OSError as error:
                why = f"{doing.to}: {error}"
        why = why or self.ready(self.other(), doing.young, READY, STEADY)
        if self.over:
            return
        if why:
            self.end(doing.young, signal.SIGKILL)
            doing.step, doing.why = "told", why
        else:
            doing.step = "leaving"
        self.save()

    def go_leaving(self) -> None:
        doing = self.doing
        self.end(doing.pid, signal.SIGTERM)
        until = time.monotonic() + LEAVE
        while self.runs(doing.pid) and time.monotonic() < until:
            time.sleep(0.05)
        self.end(doing.pid, signal.SIGKILL)
        admin = self.other()
        why = self.ready(admin, doing.young, READY, STEADY)
        doing.version, doing.pid, doing.admin = doing.to, doing.young, admin
        doing.step, doing.why = "told", why
        self.save()

    def go_told(self) -> None:
        """Again until the fleet has it."""
        doing = self.doing
        ok, body = self.tell("release_came", name=self.member, runs=doing.version if not doing.why or doing.version != doing.to else "",
                             why=doing.why)
        if ok:
            log.info("event=told version=%s why=%s", doing.version, doing.why or "-")
            doing.step, doing.to, doing.young, doing.why = "", "", 0, ""
            self.save()
        else:
            log.warning("event=not_told why=%s", body)
