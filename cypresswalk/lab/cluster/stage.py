"""Real processes of the program on loopback, the fault tool on the way from each to each, stand-in servers, list agents and clients
round them, and one history of what all of them did and were told.

One event loop holds the stand-ins and the faults; calls to the fleet are made by threads, as people make them."""

import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from cypresswalk.faults.kinds import Kind
from cypresswalk.faults.plan import Plan as NoFaults
from cypresswalk.faults.proxy import Proxy
from cypresswalk.fleet import client
from cypresswalk.lab.balancers import die_with_parent, free_port, own_host
from cypresswalk.lab.cluster.checkers.answers import ClientFlow, missing_or_late_answers
from cypresswalk.lab.cluster.checkers.contradiction import Removal, contradictions, lost_removals
from cypresswalk.lab.cluster.checkers.four_rules import repeated_executions, rule_violations
from cypresswalk.lab.cluster.checkers.linearizability import (
    NEVER,
    SettingsCall,
    linearizability_violation,
)
from cypresswalk.lab.cluster.plan import DISKS, Plan, Step
from cypresswalk.lab.observations import Observation
from cypresswalk.lab.rules import Rules, ServerRule, TypeRule
from cypresswalk.refusal import CommandError

SECOND = 1_000_000_000
READY = 30.0  # seconds for all to begin
CALL = 4.0  # seconds that a call may take
LISTED = SECOND  # until most voters have told the leader of a new list
DOWN = 0.3  # seconds that a server's restart takes
SLACK = SECOND // 4  # this machine's own lateness, measured and told beside each run
TYPES = [
    {"name": "view", "semantics": "idempotent", "setupTarget": 300.0, "giveUp": 1500.0},
    {"name": "book", "semantics": "at_most_once", "setupTarget": 300.0, "giveUp": 1500.0},
]
EFFECTS = {"view": "repeatable", "book": "once-only"}
OVERLOAD, FALL, COLD, COLD_SHARE, CONNECTS = 3.0, 2.0, 5.0, 0.2, 3  # of the settings


def params(me: int, count: int, mark: int = 0) -> dict[str, Any]:
    return {
        "me": me,
        "instances": count,
        "zone": 0,
        "azs": ["a"],
        "family": "conn",
        "discovery": "pushed",
        "limits": {
            "maxConnects": CONNECTS,
            "retryAfter": True,
            "maxRetryAfter": 1000.0,
            "probes": True,
            "dialTimeout": 150.0,
        },
        "rules": {
            "askWithin": 10000.0,
            "cold": COLD * 1000,
            "coldShare": COLD_SHARE,
            "fall": FALL * 1000,
            "overloadFactor": OVERLOAD,
        },
        "deductions": {"probe": 0.001 * (mark + 1)},
        "stats": {"via": "silent", "fields": []},
        "extra": {},
        "tenants": [],
        "serviceTypes": TYPES,
    }


class Servers:
    """Stand-ins that answer every flow, and write down who came when from where."""

    def __init__(self, rig: "Rig", count: int):
        self.rig, self.host = rig, rig.beside
        self.names = [f"s-{i}" for i in range(count)]
        self.ports: dict[
            tuple[str, str], int
        ] = {}  # by server and balancer: so that it is known who sent
        self.open: dict[str, set[asyncio.StreamWriter]] = {name: set() for name in self.names}
        self.down: set[str] = set()

    async def start(self) -> None:
        for name in self.names:
            for balancer in self.rig.names:
                server = await asyncio.start_server(
                    lambda r, w, name=name, balancer=balancer: self.serve(name, balancer, r, w),
                    self.rig.beside,
                    0,
                )
                self.rig.closing.append(server)
                self.ports[name, balancer] = server.sockets[0].getsockname()[1]

    async def serve(
        self, name: str, balancer: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        rig, flow = self.rig, ""
        rig.numbers += 1
        number = rig.numbers
        self.open[name].add(writer)
        try:
            while name not in self.down and (line := await reader.readline()):
                words = line.decode(errors="replace").split()
                if words[:1] == ["PING"]:
                    writer.write(b"PONG\r\n")
                elif words[:1] == ["OPEN"] and len(words) > 2:
                    kind, flow = (
                        dict(w.partition("=")[::2] for w in words[3].split(",")).get("c", ""),
                        words[1],
                    )
                    rig.note(
                        "open",
                        server=name,
                        balancer=balancer,
                        flow=flow,
                        effect=EFFECTS.get(kind, "?"),
                    )
                    rig.see("attempt", flow, name, balancer=balancer, number=number, load=1.0)
                    writer.write(f"UP r{flow}\r\n".encode())
                    rig.see("reply", flow, name, number=number, kind="up", receipt=f"UP r{flow}")
                else:
                    writer.write(line)
        except (OSError, ValueError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            if flow:
                rig.see(
                    "broke" if name in self.down else "let_go", flow, name, number=number, how="end"
                )
            self.open[name].discard(writer)
            writer.close()

    async def restart(self, name: str) -> None:
        """Every connection ends; a moment later it is there again, cold, and the list says so."""
        self.down.add(name)
        self.rig.see("server_down", who=name)
        for writer in list(self.open[name]):
            writer.transport.abort()
        await asyncio.sleep(DOWN)
        self.down.discard(name)
        self.rig.see("server_up", who=name)
        self.rig.agents.changes.append((name, "in_service", time.time_ns() // 1_000_000))


class Agents:
    """A list agent for each balancer. One that lags has heard of nothing since; one that lies says that all is in service."""

    def __init__(self, rig: "Rig"):
        self.rig, self.ports = rig, {}
        self.changes: list[
            tuple[str, str, int]
        ] = []  # server, state, start (ms): in the order in which the list learned of it
        self.lagging: dict[str, int] = {}  # balancer: how many changes its agent knows
        self.lying: set[str] = set()

    @property
    def draining(self) -> set[str]:
        return {
            name
            for name, (state, _) in self.latest(len(self.changes)).items()
            if state != "in_service"
        }

    def latest(self, known: int) -> dict[str, tuple[str, int]]:
        return {name: (state, started) for name, state, started in self.changes[:known]}

    def known(self, balancer: str) -> int:
        return self.lagging.get(balancer, len(self.changes))

    async def start(self) -> None:
        for balancer in self.rig.names:
            server = await asyncio.start_server(
                lambda r, w, b=balancer: self.serve(b, r, w), self.rig.beside, 0
            )
            self.rig.closing.append(server)
            self.ports[balancer] = server.sockets[0].getsockname()[1]

    def told(self, balancer: str, known: int, names: list[str], whole: bool) -> bytes:
        latest, entries = self.latest(known), []
        for name in names:
            state, started = latest.get(name, ("in_service", 0))
            if balancer in self.lying:
                state = "in_service"
            self.rig.see("told", who=balancer, server=name, life=state, version=known)
            entries.append(
                {
                    "instanceId": name,
                    "hostPort": f"{self.rig.servers.host}:{self.rig.servers.ports[name, balancer]}",
                    "zone": "a",
                    "machineType": "m",
                    "cell": 1,
                    "lifecycle": state,
                    "weight": 1.0,
                    "startedAtMs": started,
                }
            )
        return (
            json.dumps({"generation": 1 + known, "reset": whole, "instances": entries}).encode()
            + b"\n"
        )

    async def serve(
        self, balancer: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            known = self.known(balancer)
            data, quiet = self.told(balancer, known, self.rig.servers.names, True), 0
            while True:
                if data:
                    writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                    await writer.drain()
                    quiet = 0
                await asyncio.sleep(0.05)
                now, quiet = self.known(balancer), quiet + 1
                data = b"\n" if quiet >= 40 else b""
                if now > known:
                    names = list(dict.fromkeys(name for name, *_ in self.changes[known:now]))
                    data, known = self.told(balancer, now, names, False), now
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            asyncio.CancelledError,
        ):
            pass  # the balancer is gone, or the day is over
        finally:
            writer.close()


@dataclass
class Process:
    """One balancer over its starts."""

    name: str
    listen: tuple[str, int]
    admin: tuple[str, int]
    fleet: tuple[str, int]
    folder: Path
    popen: subprocess.Popen | None = None
    starts: int = 0
    frozen: bool = False
    harmed: list[tuple[int, int]] = field(
        default_factory=list
    )  # from when until when it was killed, frozen or stopped

    def harm(self, span: int = 0) -> None:
        now = time.monotonic_ns()
        self.harmed.append((now, now + span))


class Rig:
    def __init__(
        self,
        plan: Plan,
        folder: Path,
        tree: Path | None = None,
        started: Callable[[list[str]], list[str]] | None = None,
    ):
        """`started` may put other words in the place of the command that starts a balancer."""
        self.plan, self.folder = plan, folder
        self.tree = tree or Path(__file__).parents[3]
        # Faults inside a machine are handed in by the start: the program's own knows none.
        odd = plan.clocks or any(step.do in DISKS for step in plan.step)
        module = "cypresswalk.lab.cluster.started" if odd else "cypresswalk"
        self.words = (started or (lambda words: words))([sys.executable, "-B", "-m", module])
        self.host = own_host()
        # The stand-ins listen at another address: guards a balancer's port, between its choice and its start, against theirs.
        self.beside = "127.200." + self.host.split(".", 2)[2]
        self.ports: set[int] = set()
        self.names = [f"n{i}" for i in range(plan.balancers)]
        self.events: list[dict] = []
        self.seen: list[Observation] = []  # what the checker reads
        self.repeated: set[str] = (
            set()
        )  # ids that clients say twice, which the checker's one answer a flow does not fit
        self.numbers = 0  # of connections at servers
        self.closing: list = []
        self.chance = Random(f"{plan.seed}/rig")
        self.servers, self.agents = Servers(self, plan.servers), Agents(self)
        self.processes: dict[str, Process] = {}
        self.proxies: dict[tuple[str, str], Proxy] = {}
        self.flows: list[ClientFlow] = []
        self.outs: list[
            tuple[str, int, int, int, int]
        ] = []  # server, asked, agreed, version, settled
        self.backs: list[
            tuple[str, int, int | None, str]
        ] = []  # server, asked, version, what was told
        self.ops: list[SettingsCall] = []
        self.listed_out: list[tuple[str, int]] = []  # servers that the list took out, and when
        self.copies: dict[str, Path] = {}
        self.late = 0  # nanoseconds that this loop was behind at worst
        self.tasks: set[asyncio.Task] = set()
        self.pool = ThreadPoolExecutor(16)
        self.idents = 0
        self.healed = 0
        self.quiet = False
        self.faults: list[str] = []  # of the rig itself
        self.first = (0, 0)  # the version of the settings at the beginning, and its mark

    def note(self, what: str, **words: object) -> None:
        self.events.append({"at": time.monotonic_ns(), "what": what} | words)

    def see(self, what: str, flow: str = "", who: str = "", **words: object) -> None:
        self.seen.append(Observation(time.monotonic_ns(), what, flow, who, words))

    # Begin and end.

    async def begin(self) -> None:
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(parents=True)
        await self.servers.start()
        await self.agents.start()
        for name in self.names:
            place = self.folder / name
            place.mkdir()
            self.processes[name] = Process(name, self.free(), self.free(), self.free(), place)
        voters = self.names[: self.plan.voters]
        for source in self.names:
            for target in self.names:
                # Two that only follow say nothing to each other.
                if source != target and (source in voters or target in voters):
                    proxy = Proxy(
                        (self.beside, 0),
                        self.processes[target].fleet,
                        NoFaults(),
                        self.plan.seed,
                        time.monotonic_ns,
                    )
                    await proxy.start()
                    self.proxies[source, target] = proxy
        for number, name in enumerate(self.names):
            self.write(number, name)
            self.start(name)
        self.spawn(self.watch_lateness())

    def free(self) -> tuple[str, int]:
        """Of a hundred and fifty drawn by chance two are often the same."""
        while (port := free_port(self.host)) in self.ports:
            pass
        self.ports.add(port)
        return self.host, port

    def write(self, number: int, name: str) -> None:
        p, voters = self.processes[name], self.names[: self.plan.voters]
        config = {
            "name": name,
            "listen": "%s:%d" % p.listen,
            "discovery": f"{self.beside}:{self.agents.ports[name]}",
            "admin_addr": "%s:%d" % p.admin,
            "seed": f"{number + 1:016x}",
            "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 1024},
            "known": {"generation": 0, "reset": True, "instances": []},
            "settings": params(number, len(self.names)),
        }
        (p.folder / "config.json").write_text(json.dumps(config))
        lines = [
            "[fleet]",
            'fleet = "rig"',
            f'name = "{name}"',
            'address = "%s:%d"' % p.fleet,
            f'folder = "{p.folder / "kept"}"',
            f'zone = "z{number % self.plan.zones}"',
            f"stated_s = {self.plan.stated_s}",
            "[fleet.first]",
            *(f'{v} = "%s:%d"' % self.processes[v].fleet for v in voters),
            "[fleet.via]",
            *(
                f'{t} = "%s:%d"' % proxy.address
                for (s, t), proxy in self.proxies.items()
                if s == name
            ),
        ]
        if self.plan.copies:
            lines += [
                "[fleet.copies]",
                f"copies = {self.plan.copies}",
                f"least = {min(self.plan.copies, 2)}",
            ]
        (p.folder / "operator.toml").write_text("\n".join(lines) + "\n")

    def start(self, name: str, **environment: str) -> None:
        p = self.processes[name]
        plain = {
            k: v
            for k, v in os.environ.items()
            if not k.startswith("PROXY_") and k not in ("PYTHONPATH", "TMPDIR")
        }
        with open(p.folder / "log", "ab") as log:
            p.popen = subprocess.Popen(
                self.words,
                cwd=self.tree,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=die_with_parent,
                start_new_session=True,
                env=plain
                | {
                    "TMPDIR": str(p.folder),
                    "PROXY_CONFIG": str(p.folder / "config.json"),
                    "PROXY_OPERATOR": str(p.folder / "operator.toml"),
                    "TOGETHER_CLOCK": str(self.plan.clocks.get(name, 0.0)),
                    "TOGETHER_DISK": str(p.folder / "disk"),
                }
                | environment,
            )
        p.starts += 1
        p.frozen = False
        self.note("start", who=name)

    def kill(self, name: str) -> None:
        p = self.processes[name]
        if p.popen is not None and p.popen.poll() is None:
            p.popen.kill()
            p.popen.wait()
        p.popen = None
        p.harm()
        self.see("balancer_down", who=name)
        self.note("kill", who=name)

    async def end(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        for p in self.processes.values():
            if p.popen is not None and p.popen.poll() is None:
                p.popen.kill()
                p.popen.wait()
        for proxy in self.proxies.values():
            await proxy.stop()
        for server in self.closing:
            server.close()
        self.pool.shutdown(wait=False, cancel_futures=True)
        with open(self.folder / "history.jsonl", "w") as file:
            file.writelines(json.dumps(event) + "\n" for event in self.events)

    def spawn(self, work) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.done)
        return task

    def done(self, task: asyncio.Task) -> None:
        """Guards against a part of the rig that dies unheard, and a run that then judges nothing."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.faults.append(repr(task.exception()))
            self.note("rig_fault", why=repr(task.exception()))

    async def watch_lateness(self) -> None:
        while True:
            before = time.monotonic_ns()
            await asyncio.sleep(0.02)
            self.late = max(self.late, time.monotonic_ns() - before - SECOND // 50)

    # The fleet's calls.

    async def ask(
        self, name: str, what: str, args: dict[str, Any] | None = None, span: float = CALL
    ) -> tuple[str, Any]:
        """ "yes", "no" or "unsure", and the body."""

        def call() -> tuple[str, Any]:
            try:
                ok, body = client.call(
                    ["%s:%d" % self.processes[name].fleet], "rig", what, args, span
                )
                return ("yes" if ok else "no"), body
            except CommandError as error:
                return "no", {"why": str(error)}
            except client.UncertainOutcomeError as error:
                return "unsure", {"why": str(error)}

        return await asyncio.get_running_loop().run_in_executor(self.pool, call)

    async def command(self, name: str, what: str, **args: Any) -> tuple[str, Any]:
        self.idents += 1
        return await self.ask(
            name,
            what,
            {"ident": f"rig:{self.idents}", "by": "rig", "at": time.time_ns() // 1_000_000} | args,
        )

    async def whole(self, span: float = 0, names: list[str] | None = None) -> dict | None:
        """The status once every balancer named is a member that acts on the newest version under a lease; None if that never comes."""
        until = time.monotonic() + (
            span or READY + len(self.names)
        )  # fifty interpreters start on a few cores
        names = names or self.names
        while time.monotonic() < until:
            for name in names:
                result, body = await self.ask(name, "status", span=1.0)
                if result == "yes":
                    fit = {
                        m["name"]
                        for m in body["members"]
                        if m["acts_on"] == body["version"] and not m["lapsed"]
                    }
                    voters = {m["name"] for m in body["members"] if m["voter"]}
                    if (
                        set(names) <= fit
                        and body["settings_version"]
                        and sorted(voters) == body["voters"]
                        and len(body["members"]) == len({m["name"] for m in body["members"]})
                    ):
                        local = [await self.ask(n, "local", span=1.0) for n in names]
                        if all(r == "yes" and b["may_act"] for r, b in local):
                            return body
                    break
            await asyncio.sleep(0.1)
        return None

    async def agree_on_bound(self, status: dict[str, Any]) -> None:
        """The settings that the run begins with."""
        self.first = status["settings_version"], 0
        if self.plan.bound:
            result, body = await self.ask(self.names[0], "show")
            settings = body["settings"] | {"bounds": {"balancers": {"all": self.plan.bound}}}
            result, body = await self.command(
                self.names[0], "offer", base=body["settings_version"], settings=settings
            )
            if result != "yes":
                raise CommandError(f"the bound was not agreed: {body}")
            self.first = int(body["why"].removeprefix("version ")), 0

    async def copies_whole(self, span: float = READY) -> tuple[Any, bool]:
        """What the leader says of copies, and whether each part lies whole and alike at as many holders as asked for."""
        self.quiet = True  # holders are compared at different moments
        until, body = time.monotonic() + span, None
        while time.monotonic() < until:
            result, body = await self.ask(await self.leader(), "copies", span=1.0)
            if (
                result == "yes"
                and body["parts"]
                and not body["lacking"]
                and not body["away"]
                and not body["changing"]
            ):
                result, status = await self.ask(await self.leader(), "status", span=1.0)
                told = {
                    m["id"]: (await self.ask(m["name"], "copies_local", span=1.0))[1]
                    for m in status.get("members", ())
                }
                lines = client.differing_replicas(body["parts"], told)
                if not lines and all(
                    len(there) == min(self.plan.copies, len(self.names))
                    for _, _, there in body["parts"]
                ):
                    return body, True
                body = {"unlike": lines} | body
            await asyncio.sleep(0.2)
        return body, False

    async def leader(self) -> str:
        for name in self.names:
            result, body = await self.ask(name, "local", span=0.5)
            if result == "yes" and body["leader"]:
                return body["leader"].partition("#")[0]
        return self.names[0]

    # Load.

    async def load(self, per_second: float) -> None:
        number = 0
        while not self.quiet:
            await asyncio.sleep(self.chance.expovariate(per_second))
            number += 1
            name = self.chance.choice(self.names)
            kind = "book" if number % 5 == 0 else "view"
            if kind == "book" and self.chance.random() < self.plan.repeats:
                self.repeated.add(f"f{number}")
                self.spawn(
                    self.again(
                        f"f{number}",
                        self.chance.choice(self.names),
                        self.chance.choice((0, 0, 0.05, 0.5, 2, 5)),
                    )
                )
            self.spawn(self.flow(f"f{number}", name, kind))

    async def again(self, ident: str, name: str, after: float) -> None:
        await asyncio.sleep(after)
        await self.flow(ident, name, "book")

    async def flow(self, ident: str, name: str, kind: str) -> None:
        asked, wait = time.monotonic_ns(), 1500
        answer, writer, answered = "none", None, 0
        try:
            async with asyncio.timeout(wait / 1000 + 1):
                reader, writer = await asyncio.open_connection(*self.processes[name].listen)
                writer.write(f"OPEN {ident} {ident.encode().hex()} c={kind},d={wait}\r\n".encode())
                self.see("sent", ident, name, type=kind, wait_ms=wait)
                line = (await reader.readline()).decode().rstrip("\r\n")
                answer = line.split(" ")[0] or "end"
                if line:
                    self.see(
                        "answer",
                        ident,
                        name,
                        kind={"UP": "up", "BUSY": "busy"}.get(answer, "failed"),
                        line=line,
                    )
            answered = time.monotonic_ns()
            await self.stays(reader, answer)
        except ConnectionRefusedError:
            answer = "refused"  # nobody took it
        except OSError as error:
            answer = "reset" if isinstance(error, ConnectionResetError) else "none"
        except TimeoutError:
            pass
        finally:
            answered = answered or time.monotonic_ns()
            if writer is not None:
                writer.close()
        self.flows.append(
            ClientFlow(
                ident, EFFECTS[kind], asked, asked + wait * 1_000_000, answer, answered, name
            )
        )
        self.note(
            "answer",
            flow=ident,
            balancer=name,
            answer=answer,
            took_ms=round((answered - asked) / 1e6, 1),
        )

    async def stays(self, reader: asyncio.StreamReader, answer: str) -> None:
        """A client that has its answer goes."""

    # The plan.

    async def play(self) -> None:
        began = time.monotonic()
        if self.plan.flows_per_s:
            self.spawn(self.load(self.plan.flows_per_s))
        for step in self.plan.step:
            await asyncio.sleep(max(began + step.at_s - time.monotonic(), 0))
            await self.do(step)
        await asyncio.sleep(max(began + self.plan.lasts_s - time.monotonic(), 0))

    async def do(self, step: Step) -> None:
        who = await self.leader() if step.who == "leader" else step.who
        other = (
            step.other
            if step.other != who or not who
            else self.names[(self.names.index(who) + 1) % len(self.names)]
        )
        self.note("step", do=step.do, who=who, other=other)
        p = self.processes.get(who)
        match step.do:
            case "cut" | "cut_one_way" | "slow" | "garble":
                for pair in [(who, other)] + [(other, who)] * (step.do == "cut"):
                    if proxy := self.proxies.get(pair):
                        self.harm(proxy, step)
            case "half_close":
                if proxy := self.proxies.get((who, other)):
                    proxy.inject(Kind.HALF_CLOSE, "up")
            case "disk_full" | "disk_fails" | "disk_slow":
                (p.folder / "disk").write_text(step.do)
            case "server_restart":
                self.spawn(self.servers.restart(f"s-{step.server}"))
            case "lie":
                self.agents.lying.add(who)
            case "isolate":
                for pair, proxy in self.proxies.items():
                    if who in pair:
                        proxy.inject(Kind.BLACK_HOLE, "both")
            case "heal":
                self.healed += 1
                self.agents.lagging.clear()
                self.agents.lying.clear()
                for q in self.processes.values():
                    (q.folder / "disk").unlink(missing_ok=True)
                for proxy in self.proxies.values():
                    proxy.remove_injected()
                for q in self.processes.values():
                    self.thaw(q)
                    if q.popen is None:
                        self.start(q.name)
            case "kill":
                self.kill(who)
            case "start" if p.popen is None or p.popen.poll() is not None:
                self.start(who)
            case "stop" if p.popen is not None and not p.frozen:
                p.harm()
                p.popen.send_signal(signal.SIGTERM)
                self.spawn(self.leave(p))
            case "freeze" if p.popen is not None and not p.frozen:
                p.popen.send_signal(signal.SIGSTOP)
                p.frozen = True
                p.harm(step.ms * 1_000_000)
                self.spawn(self.thaw_later(p, step.ms / 1000))
            case "thaw":
                self.thaw(p)
            case "copy":
                self.copies[who] = self.folder / f"copy-{who}"
                shutil.copytree(p.folder / "kept", self.copies[who], dirs_exist_ok=True)
            case "wipe":
                self.kill(who)
                shutil.rmtree(p.folder / "kept", ignore_errors=True)
                self.start(who)
            case "put_back" if who in self.copies:
                self.kill(who)
                shutil.rmtree(p.folder / "kept")
                shutil.copytree(self.copies[who], p.folder / "kept")
                self.start(who)
            case "out" | "back" | "server_down":
                self.spawn(self.hand(who, step.do, f"s-{step.server}"))
            case "lag":
                self.agents.lagging[who] = self.agents.known(who)
            case "list_drain" if f"s-{step.server}" not in self.agents.draining:
                self.agents.changes.append((f"s-{step.server}", "terminating", 0))
                self.listed_out.append((f"s-{step.server}", time.monotonic_ns()))
            case "offer":
                self.spawn(self.offer(who))
            case "show":
                self.spawn(self.show(who))

    def harm(self, proxy: Proxy, step: Step) -> None:
        if step.do == "slow":
            proxy.inject(Kind.LATENCY, "up", ms=step.ms)
        elif step.do == "garble":
            proxy.inject(Kind.GARBLE, "up", size=64, mask=self.chance.randrange(1, 1 << 32))
        else:
            proxy.inject(Kind.BLACK_HOLE, "both" if step.do == "cut" else "up")

    def thaw(self, p: Process) -> None:
        if p.frozen and p.popen is not None:
            p.popen.send_signal(signal.SIGCONT)
            p.harm()
            self.note("thaw", who=p.name)
        p.frozen = False

    async def thaw_later(self, p: Process, after: float) -> None:
        popen = p.popen
        await asyncio.sleep(after)
        if p.popen is popen:
            self.thaw(p)

    async def leave(self, p: Process) -> None:
        popen, healed = p.popen, self.healed
        for _ in range(400):
            if popen.poll() is not None:
                break
            await asyncio.sleep(0.02)
        else:
            popen.kill()
        p.harm()
        if p.popen is popen:
            p.popen = None
        self.note("left", who=p.name)
        if self.healed > healed and p.popen is None:
            self.start(p.name)  # all was to run again while it was still leaving

    async def hand(self, name: str, what: str, server: str) -> None:
        asked = time.monotonic_ns()
        result, body = await self.command(name, "back" if what == "back" else "out", server=server)
        agreed = time.monotonic_ns()
        self.note(
            "told", call=what, at_balancer=name, server=server, result=result, body=str(body)[:200]
        )
        made = str(body.get("why", "")).removeprefix("version ") if result == "yes" else ""
        version = int(made) if made.isdecimal() else None
        if what == "back":
            self.backs.append((server, asked, version, result))
        elif version is not None:
            place = len(self.outs)
            self.outs.append((server, asked, agreed, version, NEVER))
            if what == "server_down":
                result, body = await self.ask(name, "settled", {"version": version}, span=15.0)
                self.note(
                    "told", call="settled", server=server, result=result, body=str(body)[:200]
                )
                if result == "yes":
                    self.outs[place] = (server, asked, agreed, version, time.monotonic_ns())

    def rules(self) -> Rules:
        """A server bears what its share of the plan's flows is: the least that its cold budget can be dealt by."""
        borne = max(self.plan.flows_per_s / self.plan.servers, 1.0)
        kinds = {
            t["name"]: TypeRule(EFFECTS[t["name"]], "all", int(t["giveUp"] * 1_000_000))
            for t in TYPES
        }
        servers = {
            name: ServerRule("a", 1, borne, COLD_SHARE, int(COLD * SECOND))
            for name in self.servers.names
        }
        return Rules(
            kinds, servers, CONNECTS, 0, OVERLOAD, int(FALL * SECOND), 1.0, SLACK + self.late
        )

    def downs(self) -> list[Removal]:
        """Each out that was agreed lasts until the next return of that server in the order of versions was asked for. A return that
        may or may not have come into force ends it too: from then on nobody knows. A yes can be told long after it was agreed."""
        found = []
        for server, asked, agreed, version, settled in self.outs:
            ends = [
                at
                for other, at, made, result in self.backs
                if other == server
                and (
                    made is not None
                    and made > version
                    or made is None
                    and result != "yes"
                    and at > asked
                )
            ]
            found.append(Removal(server, asked, agreed, settled, min(ends, default=NEVER)))
        return found

    async def offer(self, name: str) -> None:
        result, body = await self.ask(name, "show", span=2.0)
        if result != "yes":
            return
        base, mark = body["settings_version"], self.chance.randrange(1 << 20)
        settings = {
            k: v for k, v in params(0, len(self.names), mark).items() if k in body["settings"]
        }
        began = time.monotonic_ns()
        result, body = await self.command(name, "offer", base=base, settings=settings)
        ended = time.monotonic_ns()
        version = int(str(body.get("why", "")).removeprefix("version ")) if result == "yes" else 0
        self.ops.append(SettingsCall("offer", began, ended, result, base, mark, version))
        self.note(
            "told", call="offer", at_balancer=name, base=base, result=result, body=str(body)[:200]
        )

    async def show(self, name: str) -> None:
        began = time.monotonic_ns()
        result, body = await self.ask(name, "show", span=2.0)
        if result == "yes":
            price = body["settings"].get("deductions", {}).get("probe", 0)
            self.ops.append(
                SettingsCall(
                    "show",
                    began,
                    time.monotonic_ns(),
                    "yes",
                    0,
                    round(price / 0.001) - 1,
                    body["settings_version"],
                )
            )

    # The verdict.

    async def verdict(self) -> dict[str, Any]:
        broken = []
        whole = await self.whole()
        if whole is None:
            broken.append(
                "the fleet is not whole again though all faults were lifted: "
                + json.dumps(
                    [(n, (await self.ask(n, "local", span=1.0))[1]) for n in self.names],
                    default=str,
                )[:1500]
            )
        out = set()
        if whole is not None:
            result, body = await self.ask(self.names[0], "show")
            out = set(body["out"]) if result == "yes" else out
            broken += lost_removals(self.downs(), out)
        self.see("day_ended")  # what is under way now is not waited for
        opens = [(e["at"], e["server"], e["balancer"]) for e in self.events if e["what"] == "open"]
        stated = int(self.plan.stated_s * SECOND)
        longest, found = contradictions(self.downs(), opens, stated, SLACK + self.late)
        broken += found
        # The list: most voters' agents learn of it within a moment, the fleet then binds those whose agents lag.
        listed = [Removal(server, at, at) for server, at in self.listed_out]
        _, found = contradictions(listed, opens, stated, SLACK + self.late + LISTED)
        broken += [f"the list took it out: {line}" for line in found]
        why = linearizability_violation(self.ops, self.first)
        broken += [why] if why else []
        harmed = {name: p.harmed for name, p in self.processes.items()}
        broken += missing_or_late_answers(self.flows, harmed, SLACK + self.late)
        broken += repeated_executions(
            [(e["flow"], e["effect"], e["server"]) for e in self.events if e["what"] == "open"]
        )
        broken += rule_violations(
            [e for e in self.seen if e.flow not in self.repeated],
            self.rules(),
            self.flows,
            harmed,
            SLACK + self.late,
        )
        broken += [f"the rig: {fault}" for fault in self.faults]
        crashed = [
            name
            for name, p in self.processes.items()
            if p.popen is not None and p.popen.poll() not in (None, 0)
        ]
        broken += [
            f"{name} ended by itself, code {self.processes[name].popen.poll()}" for name in crashed
        ]
        if self.plan.copies:
            status, copies = await self.copies_whole()
            broken += (
                []
                if copies
                else [f"copies are not whole again: {json.dumps(status, default=str)[:1500]}"]
            )
            told = [await self.ask(n, "copies_local", span=1.0) for n in self.names]
            (self.folder / "copies.json").write_text(
                json.dumps([body for _, body in told], default=str)
            )
        answers = {
            kind: sum(f.answer == kind for f in self.flows)
            for kind in sorted({f.answer for f in self.flows})
        }
        return {
            "broken": broken,
            "longest_contradiction_s": round(longest / SECOND, 3),
            "stated_s": self.plan.stated_s,
            "answers": answers,
            "calls": {
                "offers": sum(op.kind == "offer" for op in self.ops),
                "offers_yes": sum(op.kind == "offer" and op.outcome == "yes" for op in self.ops),
                "taken_out": len(self.outs),
            },
            "machine_late_ms": round(self.late / 1e6, 1),
        }


async def played(plan: Plan, folder: Path, **more: Any) -> dict[str, Any]:
    if plan.agents:
        from cypresswalk.lab.cluster.machines import Machines as kind
    elif plan.server_agents:
        from cypresswalk.lab.cluster.serving import ServerMachines as kind
    else:
        kind = Rig
    rig = kind(plan, folder, **more)
    try:
        await rig.begin()
        began = time.monotonic()
        status = await rig.whole()
        if status is None:
            return {"broken": ["the fleet never began: see the logs in " + str(folder)]}
        took = time.monotonic() - began
        await rig.agree_on_bound(status)
        await rig.play()
        report = await rig.verdict() | {"began_in_s": round(took, 2)}
        (folder / "report.json").write_text(json.dumps(report, indent=1))
        return report
    finally:
        await rig.end()


def timeline(folder: Path) -> list[str]:
    """What a person reads first: faults, calls and what they were told, and balancers' own words, in order."""
    events = [json.loads(line) for line in (folder / "history.jsonl").read_text().splitlines()]
    begin = events[0]["at"] if events else 0
    return [
        f"{(e['at'] - begin) / SECOND:8.3f} {e['what']} "
        + " ".join(f"{k}={v}" for k, v in e.items() if k not in ("at", "what"))
        for e in events
        if e["what"] not in ("open", "answer")
    ]
