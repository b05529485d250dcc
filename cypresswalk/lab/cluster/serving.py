"""Releases of servers with real processes: balancers of the rig, and stand-in servers that agents start and change (standin.py), from
versions that the rig makes. Beside the rig's history stands who was out when: by a look at each server, by what its agent said it was doing,
and by its own word of what it took and what stood there when it was stopped."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from cypresswalk.lab.balancers import die_with_parent
from cypresswalk.lab.cluster.checkers.halts import check_halts
from cypresswalk.lab.cluster.checkers.unavailability import check_unavailability
from cypresswalk.lab.cluster.machines import FIRST, HOME, LOOK, Released
from cypresswalk.lab.cluster.plan import Plan, Step
from cypresswalk.lab.cluster.stage import SECOND, SLACK, Rig, Servers
from cypresswalk.lab.observations import Observation
from cypresswalk.refusal import CommandError

CHANGING = ("emptying", "starting", "undoing")
STANDS = 3.0  # seconds that a client stays at most


class Programs(Servers):
    """Servers as processes, each with an agent, a folder, and a port for each balancer."""

    async def start(self) -> None:
        for name in self.names:
            for balancer in self.rig.names:
                self.ports[name, balancer] = self.rig.free_beside()


class ServerMachines(Released):
    def __init__(self, plan: Plan, folder: Path, **more: Any):
        super().__init__(plan, folder, **more)
        self.servers = Programs(self, plan.servers)
        # At an address of their own: guards the port of one that does not run, between its processes, against the rig's.
        self.servers.host = "127.201." + self.host.split(".", 2)[2]
        self.agents_of: dict[str, subprocess.Popen | None] = {}
        self.steps: dict[str, str] = {}
        self.read: dict[str, int] = {}  # of each server's file, how far
        self.begun: set[str] = set()
        self.cut_off = 0  # flows that stood at servers when they were told to end

    def free_beside(self) -> int:
        _, port = self.free()
        return port

    def place(self, name: str) -> Path:
        return self.folder / "servers" / name

    async def begin(self) -> None:
        await super().begin()
        self.root.mkdir()
        self.build(FIRST, "good")
        for name in self.servers.names:
            self.place(name).mkdir(parents=True)
            self.start_agent(name)
        self.spawn(self.watch_agents())
        for name in self.servers.names:
            self.spawn(self.watch_server(name))
        self.spawn(self.follow())

    def build(self, version: str, kind: str) -> None:
        (self.root / version).mkdir()
        (self.root / version / "build").write_text(kind)
        self.kinds[version] = kind

    # Machines.

    def start_agent(self, name: str) -> None:
        place, host = self.place(name), self.servers.host
        ports = ",".join(str(self.servers.ports[name, balancer]) for balancer in self.names)
        at = ",".join("%s:%d" % self.processes[n].fleet for n in self.names)
        words = [
            sys.executable,
            "-B",
            "-m",
            "cypresswalk",
            "fleet",
            "--at",
            at,
            "--fleet",
            "rig",
            "agent",
            "--server",
            name,
            "--answers",
            f"{host}:{self.servers.ports[name, self.names[0]]}",
            "--root",
            str(self.root),
            "--folder",
            str(place / "agent"),
            "--first",
            FIRST,
            "--",
            sys.executable,
            "-B",
            "-m",
            "cypresswalk.lab.cluster.standin",
            name,
            host,
            ports,
            str(place / "said.jsonl"),
        ]
        with open(place / "log", "ab") as log:
            self.agents_of[name] = subprocess.Popen(
                words,
                cwd=self.tree,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=die_with_parent,
                start_new_session=True,
                env=os.environ | {"PYTHONPATH": str(self.tree)},
            )

    def kill_agent(self, name: str) -> None:
        agent = self.agents_of.get(name)
        if agent is not None:
            agent.kill()
            agent.wait()
            self.agents_of[name] = None

    def doing(self, name: str) -> dict[str, Any]:
        try:
            return json.loads((self.place(name) / "agent/agent.json").read_text())
        except (OSError, ValueError):
            return {}

    def pids(self, name: str) -> list[int]:
        """Of its server, that also which its agent has started and not written down yet."""
        found = [self.doing(name).get(part, 0) for part in ("pid", "young")]
        try:
            found.append(int((self.place(name) / "agent/started").read_text() or 0))
        except (OSError, ValueError):
            pass
        mark = str(self.place(name)).encode()
        return [pid for pid in dict.fromkeys(found) if pid and self.is_of(pid, mark)]

    def is_of(self, pid: int, mark: bytes) -> bool:
        """Guards against a number that is another process's by now."""
        try:
            return mark in Path(f"/proc/{pid}/cmdline").read_bytes()
        except OSError:
            return False

    def kill_server(self, name: str) -> None:
        """It alone; its agent starts it again."""
        self.see("server_down", who=name)
        for pid in self.pids(name):
            os.kill(pid, signal.SIGKILL)

    async def end(self) -> None:
        for name in self.agents_of:
            self.kill_agent(name)
        for name in self.agents_of:
            for pid in self.pids(name):
                os.kill(pid, signal.SIGKILL)
        await super().end()

    # What is seen.

    async def watch_agents(self) -> None:
        while True:
            await asyncio.sleep(LOOK)
            now = time.monotonic_ns()
            for name in self.servers.names:
                step = self.doing(name).get("step", "")
                if step != self.steps.get(name, ""):
                    self.steps[name] = step
                    self.note("agent", who=name, step=step)
                    self.turn_own(now, name, "changed", step in CHANGING)

    async def watch_server(self, name: str) -> None:
        answered: bool | None = None
        while True:
            answers, writer, began = False, None, time.monotonic_ns()
            try:
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(
                        self.servers.host, self.servers.ports[name, self.names[0]]
                    )
                    writer.write(b"PING\r\n")
                    answers = await reader.readline() == b"PONG\r\n"
            except (OSError, TimeoutError):
                pass
            finally:
                if writer is not None:
                    writer.close()
            if answers != answered:
                self.note("server", who=name, answers=answers)
                self.turn_lost(name, answers, began)
                answered = answers
            await asyncio.sleep(0.2)

    async def follow(self) -> None:
        """What servers wrote comes into the history, and the list learns of their starts."""
        while True:
            await asyncio.sleep(0.05)
            self.catch_up()

    def catch_up(self) -> None:
        for name in self.servers.names:
            try:
                with open(self.place(name) / "said.jsonl") as file:
                    file.seek(self.read.get(name, 0))
                    while (line := file.readline()).endswith("\n"):
                        self.read[name] = file.tell()
                        self.heard(json.loads(line))
            except OSError:
                pass

    def heard(self, event: dict[str, Any]) -> None:
        at, what, server, flow = event["at"], event["what"], event["server"], event.get("flow", "")
        match what:
            case "open":
                event["balancer"] = self.names[event["balancer"]]
                self.events.append(event)
                self.seen.append(
                    Observation(
                        at,
                        "attempt",
                        flow,
                        server,
                        {"balancer": event["balancer"], "number": event["number"], "load": 1.0},
                    )
                )
            case "reply":
                self.seen.append(
                    Observation(
                        at,
                        "reply",
                        flow,
                        server,
                        {
                            "number": event["number"],
                            "kind": event["kind"],
                            "receipt": f"UP r{flow}",
                        },
                    )
                )
            case "gone":
                self.seen.append(
                    Observation(
                        at, "let_go", flow, server, {"number": event["number"], "how": "end"}
                    )
                )
            case "started":
                self.events.append(event)
                if (
                    server in self.begun
                ):  # their first start was long ago, as far as anybody is told
                    self.seen.append(Observation(at, "server_up", "", server))
                    self.agents.changes.append((server, "in_service", event["wall_ms"]))
                self.begun.add(server)
            case "stopped":
                self.events.append(event)
                self.seen.append(Observation(at, "server_down", "", server))
                self.cut_off += event["standing"]

    # Load: clients that stay, and come again when they are told to move.

    async def stays(self, reader: asyncio.StreamReader, answer: str) -> None:
        if answer == "UP":
            try:
                async with asyncio.timeout(self.chance.uniform(0, STANDS)):
                    await reader.readline()  # MOVE, or its end
            except TimeoutError:
                pass

    # The plan.

    async def agree_on_bound(self, status: dict[str, Any]) -> None:
        until = time.monotonic() + 30
        while time.monotonic() < until and self.open_lost:
            await asyncio.sleep(0.1)
        self.first = status["settings_version"], 0
        result, body = await self.ask(self.names[0], "show")
        settings = body["settings"] | {"bounds": {"servers": {"all": self.plan.server_bound}}}
        result, body = await self.command(
            self.names[0], "offer", base=body["settings_version"], settings=settings
        )
        if result != "yes":
            raise CommandError(f"the bound was not agreed: {body}")
        self.first = int(body["why"].removeprefix("version ")), 0

    async def release(self, step: Step) -> str:
        self.releases += 1
        since, to = self.runs, f"v{self.releases}"
        self.build(to, step.build)
        names = (
            self.chance.sample(self.servers.names, len(self.servers.names))
            if step.mixed
            else self.servers.names
        )
        plan = [
            self.last_name,
            since,
            to,
            [w for w in (names[:1], names[1:]) if w],
            step.hold_s,
            step.flows,
            10.0,
            0.05,
            6.0,
            60.0,
            "servers",
            10.0,
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

    async def do(self, step: Step) -> None:
        who, server = await self.leader() if step.who == "leader" else step.who, f"s-{step.server}"
        match step.do:
            case "kill_server_agent":
                self.kill_agent(server)
            case "start_server_agent" if self.agents_of[server] is None:
                self.start_agent(server)
            case "kill_server":
                self.kill_server(server)
            case _ if await self.people(step, who):
                pass
            case _:
                await super().do(step)
                return
        self.note("step", do=step.do, who=who, server=server)

    # The end.

    async def home(self) -> dict[str, Any]:
        """All faults are lifted: a person brings the release to its end, or back where a build is bad, and no server stays out."""
        await Rig.do(self, Step(at_s=0, do="heal"))
        for name, agent in self.agents_of.items():
            if agent is None:
                self.start_agent(name)
        began, body = time.monotonic(), {}
        while time.monotonic() - began < HOME + 10 * len(self.servers.names):
            result, body = await self.ask(await self.leader(), "release", span=2.0)
            if result == "yes":
                release = body["release"]
                over = not release or release[3] in ("done", "backed")
                if release and over:
                    self.runs = release[0][2] if release[3] == "done" else release[0][1]
                if over and body["halted"]:
                    await self.resume(self.names[0])
                elif over:
                    doing = [self.doing(name) for name in self.servers.names]
                    if (
                        not body["coming"]
                        and not body["servers_bad"]
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
        return {
            "not_home": str(body)[:1500],
            "doing": [self.doing(name) for name in self.servers.names],
        }

    async def verdict(self) -> dict[str, Any]:
        end = await self.home()
        self.quiet = True
        await asyncio.sleep(0.5)
        self.catch_up()
        report = await super().verdict() | end
        own, lost = self.spans()
        slack = SLACK + self.late + int(LOOK * SECOND)
        went = sorted(
            (at, name, "release")
            for name in self.servers.names
            for at, _ in self.said_at(self.place(name) / "log", "told_to_leave")
        )
        lost_alone = [
            s
            for s in lost
            if not any(
                o.name == s.name and o.begin - slack <= s.begin and s.end <= o.end + slack
                for o in own
            )
        ]
        most_own, most_all, broken = check_unavailability(
            own, lost_alone, went, self.plan.server_bound, self.turned, slack
        )
        last, found = check_halts(
            went, self.halts, self.resumes, self.turned, int(2.1 * SECOND) + slack
        )
        opens = [(e["at"], e["server"], e["balancer"]) for e in self.events if e["what"] == "open"]
        for name, begin, stop in ((s.name, s.begin, s.end) for s in own):
            late = [e for e in opens if e[1] == name and begin + slack < e[0] < stop - slack]
            broken += [f"{late[0][2]} sent to {name} while it was being changed"] if late else []
        report["broken"] += broken + found + ([f"not home: {end}"] if "not_home" in end else [])
        report["broken"] += [
            f"{name}: a traceback in its agent's log"
            for name in self.servers.names
            if "Traceback" in (self.place(name) / "log").read_text(errors="replace")
        ]
        if self.cut_off:
            report["broken"].append(f"{self.cut_off} flows stood at servers that were told to end")
        return report | {
            "most_out": most_own,
            "most_out_and_lost": most_all,
            "bound": self.plan.server_bound,
            "told_to_leave": len(went),
            "halts": len(self.halts),
            "halt_to_last_out_s": round(last / SECOND, 2),
        }
