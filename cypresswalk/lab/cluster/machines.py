"""Releases of real processes: each balancer is started, and changed, by the agent on its machine, from builds that the rig makes. What
is killed, frozen or started as a whole is the machine: the agent and its balancers. Beside the rig's history stands who was out when: by
a client's look at each front, by what each agent said it was doing, and by its word of whom it told to leave."""

import asyncio
import json
import os
import shutil
import signal
import sys
import time
from pathlib import Path
from typing import Any

from cypresswalk.lab.cluster.checkers.halts import check_halts
from cypresswalk.lab.cluster.checkers.unavailability import Outage, check_unavailability
from cypresswalk.lab.cluster.plan import Plan, Step
from cypresswalk.lab.cluster.stage import SECOND, SLACK, Process, Rig
from cypresswalk.rollout.bounds import max_unavailable

LOOK = 0.1  # seconds between two looks at what an agent is doing
FRONT = 0.3  # and at a balancer's front
HOME = 90.0  # seconds for a release to come to its end once all faults are lifted, and HOME_EACH for each balancer
HOME_EACH = 8.0
FIRST = "v0"

# What is put behind the program's own code to make a build that is bad in one way.
BAD = {
    "rejects": "Core.place = lambda self, now, session: self.end_session(now, session, BUSY_REPLY)",
    "aborts": "place = Core.place\n"
    "Core.place = lambda self, now, session: (\n"
    "    self.end_session(now, session, ERROR_REPLY)\n"
    "    if session.flow.id % 10 == 0\n"
    "    else place(self, now, session)\n"
    ")",
    "slow": "place = Core.place\n"
    "Core.place = lambda self, now, session: self.timers.schedule(\n"
    "    now + 30_000_000, lambda at, s: s.finished or place(self, at, s), session\n"
    ")",
    "falls": "import os, threading\nthreading.Timer(10, os._exit, (1,)).start()",
    "never_ready": "Extensions.may_act = lambda self: False",
    "unreadable": "from cypresswalk.fleet import shared_settings\n"
    "shared_settings.objection = lambda own, settings: 'this build can not read them'",
}


def build(root: Path, tree: Path, name: str, kind: str) -> None:
    """A version of the program: as it is, or bad in one way."""
    if kind == "good":
        (root / name).symlink_to(tree)
        return
    shutil.copytree(
        tree / "cypresswalk",
        root / name / "cypresswalk",
        ignore=shutil.ignore_patterns("__pycache__"),
    )
    with open(root / name / "cypresswalk/service/program.py", "a") as file:
        file.write(
            "\n\nfrom cypresswalk.net.core import Core\n"
            "from cypresswalk.net.ports import Extensions\n"
            "from cypresswalk.net.session import BUSY_REPLY, ERROR_REPLY\n"
            f"{BAD[kind]}\n"
        )


class Released(Rig):
    """What people do about releases, of balancers or of servers, and what of it a judge reads."""

    def __init__(self, plan: Plan, folder: Path, **more: Any):
        super().__init__(plan, folder, **more)
        self.root = folder / "versions"
        self.runs, self.kinds = FIRST, {FIRST: "good"}
        self.releases = 0
        self.own: list[Outage] = []  # out, or being changed, by the program's doing
        self.open_own: dict[tuple[str, str], int] = {}
        self.lost: list[Outage] = []  # fronts that answered nobody
        self.open_lost: dict[str, int] = {}
        self.halts: list[tuple[int, int]] = []  # asked, and the yes
        self.resumes: list[int] = []  # asked
        self.turned: list[int] = []
        self.wall = time.time() - time.monotonic()

    def turn_own(self, now: int, name: str, how: str, out: bool) -> None:
        if out:
            self.open_own.setdefault((name, how), now)
        elif (name, how) in self.open_own:
            self.own.append(Outage(name, self.open_own.pop((name, how)), now, how))

    def turn_lost(self, name: str, answers: bool, began: int) -> None:
        if not answers:
            self.open_lost[name] = began
        elif name in self.open_lost:
            self.lost.append(Outage(name, self.open_lost.pop(name), time.monotonic_ns(), "lost"))

    def spans(self) -> tuple[list[Outage], list[Outage]]:
        """Own and lost, those also that have not ended."""
        now = time.monotonic_ns()
        return (
            self.own
            + [Outage(name, begin, now, how) for (name, how), begin in self.open_own.items()],
            self.lost
            + [Outage(name, begin, now, "lost") for name, begin in self.open_lost.items()],
        )

    def said_at(self, log: Path, *words: str) -> list[tuple[int, str]]:
        """When an agent said one of them."""
        try:
            lines = log.read_text(errors="replace").splitlines()
        except OSError:
            return []
        return [
            (int((float(line[3:].split()[0]) - self.wall) * SECOND), word)
            for line in lines
            if line.startswith("ts=")
            for word in words
            if f"event={word}" in line
        ]

    async def people(self, step: Step, who: str) -> bool:
        """Whether it is theirs to do."""
        match step.do:
            case "release":
                self.spawn(self.release(step))
            case "release_back":
                self.spawn(self.turn_back(who))
            case "halt":
                self.spawn(self.halt(who))
            case "resume":
                self.spawn(self.resume(who))
            case "pause" | "unpause":
                self.spawn(
                    self.command(
                        who, "release_pause", release=self.last_name, on=step.do == "pause"
                    )
                )
            case _:
                return False
        return True

    async def release(self, step: Step) -> str:
        raise NotImplementedError

    @property
    def last_name(self) -> str:
        return f"r{self.releases}"

    async def turn_back(self, who: str) -> None:
        self.turned.append(time.monotonic_ns())
        result, body = await self.command(who, "release_back", release=self.last_name)
        self.note("told", call="release_back", result=result, body=str(body)[:200])

    async def halt(self, who: str) -> None:
        asked = time.monotonic_ns()
        result, body = await self.command(who, "halt", why="by the rig")
        self.note("told", call="halt", result=result, body=str(body)[:200])
        if result == "yes":
            self.halts.append((asked, time.monotonic_ns()))

    async def resume(self, who: str) -> None:
        result, body = await self.ask(who, "status")
        if result == "yes":
            self.resumes.append(time.monotonic_ns())
            result, body = await self.command(who, "resume", halts=body["halts"])
            self.note("told", call="resume", result=result, body=str(body)[:200])


class Machines(Released):
    def __init__(self, plan: Plan, folder: Path, **more: Any):
        super().__init__(plan, folder, **more)
        self.program = self.words
        self.second: dict[str, str] = {}  # each balancer's other address for calls
        self.steps: dict[str, str] = {}  # what each agent was last seen doing
        self.fronts: dict[str, bool] = {}
        self.drained: set[str] = set()
        self.drains: list[tuple[int, str]] = []

    # Machines.

    async def begin(self) -> None:
        await super().begin()
        self.spawn(self.watch_agents())
        for name in self.names:
            self.spawn(self.watch_front(name))

    def start(self, name: str, **environment: str) -> None:
        p = self.processes[name]
        if not self.root.exists():
            self.root.mkdir()
            build(self.root, self.tree, FIRST, "good")
        if name not in self.second:
            self.second[name] = "%s:%d" % self.free()
        self.words = [
            sys.executable,
            "-B",
            "-m",
            "cypresswalk",
            "fleet",
            "--operator",
            str(p.folder / "operator.toml"),
            "agent",
            "--member",
            name,
            "--root",
            str(self.root),
            "--folder",
            str(p.folder / "agent"),
            "--first",
            FIRST,
            "--admin",
            "%s:%d" % p.admin,
            self.second[name],
            "--",
            *self.program,
        ]
        super().start(name, **environment)

    def doing(self, name: str) -> dict[str, Any]:
        try:
            return json.loads((self.processes[name].folder / "agent/agent.json").read_text())
        except (OSError, ValueError):
            return {}

    def pids(self, name: str) -> list[int]:
        """Of its balancers, those also that its agent has started and not written down yet."""
        found = [self.doing(name).get(part, 0) for part in ("pid", "young")]
        try:
            found.append(int((self.processes[name].folder / "agent/started").read_text() or 0))
        except (OSError, ValueError):
            pass
        mark = str(self.processes[name].folder).encode()
        return [pid for pid in dict.fromkeys(found) if pid and self.is_of(pid, mark)]

    def is_of(self, pid: int, mark: bytes) -> bool:
        """Guards against a number that is another process's by now."""
        try:
            return mark in Path(f"/proc/{pid}/environ").read_bytes()
        except OSError:
            return False

    def signal(self, name: str, number: int) -> None:
        for pid in self.pids(name):
            try:
                os.kill(pid, number)
            except ProcessLookupError:
                pass

    def kill(self, name: str) -> None:
        super().kill(name)  # the agent, which could start another
        self.signal(name, signal.SIGKILL)

    def kill_agent(self, name: str) -> None:
        p = self.processes[name]
        if p.popen is not None:
            p.popen.kill()
            p.popen.wait()
        p.popen = None
        self.note("kill_agent", who=name)

    def kill_balancer(self, name: str) -> None:
        """It alone; its agent starts it again."""
        pid = self.doing(name).get("pid", 0)
        if pid in self.pids(name):
            self.processes[name].harm(4 * SECOND)
            self.see("balancer_down", who=name)
            os.kill(pid, signal.SIGKILL)

    def thaw(self, p: Process) -> None:
        if p.frozen:
            self.signal(p.name, signal.SIGCONT)
        super().thaw(p)

    async def end(self) -> None:
        names = list(self.processes)
        for name in names:
            self.thaw(self.processes[name])
            self.kill_agent(name)
        for name in names:
            self.signal(name, signal.SIGKILL)
        self.read_logs()
        with open(self.folder / "out.jsonl", "w") as file:
            file.writelines(
                json.dumps([s.name, s.begin, s.end, s.cause]) + "\n"
                for s in [*self.own, *self.lost]
            )
        await super().end()

    # Who is out.

    async def watch_agents(self) -> None:
        while True:
            await asyncio.sleep(LOOK)
            now = time.monotonic_ns()
            for name in self.names:
                step = self.doing(name).get("step", "")
                if step != self.steps.get(name, ""):
                    self.steps[name] = step
                    self.note("agent", who=name, step=step)
                    self.turn_own(now, name, "changed", step in ("beside", "leaving"))

    async def watch_front(self, name: str) -> None:
        await asyncio.sleep(self.chance.random() * FRONT)
        while True:
            answers, writer = False, None
            began = time.monotonic_ns()
            try:
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(*self.processes[name].listen)
                    writer.write(b"PING\r\n")
                    answers = await reader.readline() == b"PONG\r\n"
            except (OSError, TimeoutError):
                pass
            finally:
                if writer is not None:
                    writer.close()
            if answers != self.fronts.get(name):
                self.note("front", who=name, answers=answers)
                self.fronts[name] = answers
                self.turn_lost(name, answers, began)
            await asyncio.sleep(FRONT)

    def read_logs(self) -> tuple[list[tuple[int, str]], list[tuple[int, str]]]:
        """When agents told balancers to leave, and found that one had ended by itself."""
        told, fell = [], []
        for name in self.names:
            for at, word in self.said_at(
                self.processes[name].folder / "log", "told_to_leave", "ended_by_itself"
            ):
                (told if word == "told_to_leave" else fell).append((at, name))
        return sorted(told), sorted(fell)

    # What people do.

    async def do(self, step: Step) -> None:
        who = await self.leader() if step.who == "leader" else step.who
        p = self.processes.get(who)
        match step.do:
            case "kill_agent":
                self.kill_agent(who)
            case "start_agent" if p.popen is None or p.popen.poll() is not None:
                self.start(who)
            case "kill_balancer":
                self.kill_balancer(who)
            case "drain" | "undrain":
                self.spawn(self.drain(who, step.do == "drain"))
            case "stop":
                p.harm(4 * SECOND)
                self.signal(who, signal.SIGTERM)
            case "freeze" if p.popen is not None and not p.frozen:
                self.signal(who, signal.SIGSTOP)
                await super().do(step)
            case _ if await self.people(step, who):
                pass
            case _:
                await super().do(step)
                return
        self.note("step", do=step.do, who=who)

    async def release(self, step: Step) -> str:
        _, body = await self.ask(self.names[0], "show")
        self.releases += 1
        since, to = self.runs, f"v{self.releases}"
        build(self.root, self.tree, to, step.build)
        self.kinds[to] = step.build
        names = self.chance.sample(self.names, len(self.names)) if step.mixed else self.names
        waves = (
            [names[:1], names[1:]]
            if len(names) < 8
            else [names[:2], names[2 : len(names) // 3], names[len(names) // 3 :]]
        )
        plan = [
            self.last_name,
            since,
            to,
            [w for w in waves if w],
            step.hold_s,
            step.flows,
            10.0,
            0.05,
            4.0,
            60.0,
        ]
        result, body = await self.command(step.who or self.names[0], "release_begin", plan=plan)
        self.note(
            "told",
            call="release",
            name=self.last_name,
            to=to,
            build=step.build,
            result=result,
            body=str(body)[:200],
        )
        return result

    async def call_balancer(self, name: str, line: str) -> str:
        host, _, port = self.doing(name).get("admin", "").rpartition(":")
        writer = None
        try:
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(line.encode() + b"\r\n")
                return (await reader.readline()).decode(errors="replace").strip()
        except (OSError, TimeoutError, ValueError) as error:
            return f"none: {error}"
        finally:
            if writer is not None:
                writer.close()

    async def drain(self, who: str, out: bool) -> None:
        said = await self.call_balancer(who, "drain-on" if out else "drain-off")
        now = time.monotonic_ns()
        self.note("told", call="drain-on" if out else "drain-off", who=who, said=said)
        if out and said == "OK" and who not in self.drained:
            self.drained.add(who)
            self.drains.append((now, who))
            self.turn_own(now, who, "drained", True)
        elif not out and said == "OK":
            self.drained.discard(who)
            self.turn_own(now, who, "drained", False)

    # The end.

    async def home(self) -> dict[str, Any]:
        """All faults are lifted: a person brings the release to its end, or back where a build is bad, and nobody stays out."""
        await Rig.do(self, Step(at_s=0, do="heal"))
        began = time.monotonic()
        body: dict[str, Any] = {}
        while time.monotonic() - began < HOME + HOME_EACH * len(self.names):
            for name in sorted(self.drained):
                await self.drain(name, False)
            result, body = await self.ask(await self.leader(), "release", span=2.0)
            if result == "yes":
                release = body["release"]
                over = not release or release[3] in ("done", "backed")
                if release and over:
                    self.runs = release[0][2] if release[3] == "done" else release[0][1]
                if over and body["halted"]:
                    await self.resume(self.names[0])
                elif over:
                    doing = [self.doing(name) for name in self.names]
                    if (
                        not body["away"]
                        and not body["seen_out"]
                        and all(d.get("version") == self.runs and not d["step"] for d in doing)
                    ):
                        return {
                            "home_in_s": round(time.monotonic() - began, 1),
                            "ended": release[3] if release else "none",
                        }
                elif release[3] == "paused":
                    await self.command(
                        self.names[0], "release_pause", release=release[0][0], on=False
                    )
                elif release[3] == "running" and body["halted"]:
                    if self.kinds[release[0][2]] == "good" and not self.turned:
                        await self.resume(self.names[0])
                    else:
                        await self.turn_back(self.names[0])
            await asyncio.sleep(0.5)
        return {"not_home": str(body)[:1500], "doing": [self.doing(name) for name in self.names]}

    async def verdict(self) -> dict[str, Any]:
        end = await self.home()
        self.quiet = True
        told, fell = self.read_logs()
        for at, name in fell:  # by the build's fault, or the rig's
            self.processes[name].harmed.append((at - 4 * SECOND, at + SECOND))
        report = await super().verdict() | end
        own, lost = self.spans()
        most = (
            max_unavailable(self.plan.bound, len(self.names))
            if self.plan.bound
            else len(self.names)
        )
        went = sorted(
            [(at, name, "release") for at, name in told]
            + [(at, name, "drain") for at, name in self.drains]
        )
        most_own, most_all, broken = check_unavailability(
            own, lost, went, most, self.turned, SLACK + self.late + int(LOOK * SECOND)
        )
        last, found = check_halts(
            went, self.halts, self.resumes, self.turned, int(2.1 * SECOND) + SLACK + self.late
        )
        report["broken"] += broken + found + ([f"not home: {end}"] if "not_home" in end else [])
        for name in self.names:
            for log in ("log", "agent/balancer.log"):
                file = self.processes[name].folder / log
                if file.exists() and "Traceback" in file.read_text(errors="replace"):
                    report["broken"].append(f"{name}: a traceback in its {log}")
        return report | {
            "most_out": most_own,
            "most_out_and_lost": most_all,
            "bound": most,
            "told_to_leave": len(told),
            "halts": len(self.halts),
            "halt_to_last_out_s": round(last / SECOND, 2),
        }
