"""Plays one day: sets the stage, starts the balancers, lets people come and troubles strike, and takes all down again."""

import asyncio
import json
import shutil
import signal
import subprocess
import tarfile
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass, field
from io import BytesIO
from pathlib import Path
from random import Random

from cypresswalk.lab import observations
from cypresswalk.lab.balancers import ROOT, Balancer, known
from cypresswalk.lab.checker import check
from cypresswalk.lab.endpoint_list import ListAgent
from cypresswalk.lab.experiment import SERVER_FAULTS, Experiment, ScheduledFault, Variant
from cypresswalk.lab.rules import Rules, Violation
from cypresswalk.lab.servers import ServerState, added_servers, matching_servers
from cypresswalk.lab.stage import AgentDriver, ClientDriver, Relay, ServerDriver, Stage, life_of
from cypresswalk.lab.units import MILLISECOND, SECOND
from cypresswalk.refusal import CommandError

READY = 30 * SECOND  # balancers answer PING by then, or the day can't be played
LATE = (
    50 * MILLISECOND
)  # what the rules grant beyond each limit: a lab later than that can't tell who was late
LATE_SHARE = 0.01  # of its ticks
LATE_MOST = (
    400 * MILLISECOND
)  # once: a tenth of the connect timeouts' order, and enough to void a verdict
STOP_SPAN = 3.7  # seconds between SIGTERM and SIGKILL, as the platform has it at the least
SAMPLE = 0.5  # seconds between two looks at what balancers cost


@dataclass(slots=True)
class Day:
    """What came of one day."""

    experiment: str
    variant: str
    seed: int
    began: int = 0
    ended: int = 0
    void: str = ""  # why it says nothing
    breaches: list[str] = field(default_factory=list)
    broken: dict[str, int] = field(default_factory=dict)  # by rule
    samples: list[tuple[float, str, int, int, float]] = field(
        default_factory=list
    )  # second, balancer, RSS, fds, CPU s
    counters: dict[str, dict[str, int]] = field(default_factory=dict)
    lateness_ms: dict[str, float] = field(default_factory=dict)
    events: list[observations.Observation] = field(default_factory=list)

    def save(self, folder: Path) -> None:
        observations.save(self.events, folder / "events.jsonl")
        data = asdict(self) | {"events": len(self.events)}
        (folder / "day.json").write_text(json.dumps(data, indent=1))


@contextmanager
def tree(variant: Variant) -> Iterator[Path]:
    """The program's files: this checkout, or an earlier revision laid into a temporary folder."""
    if not variant.revision:
        yield ROOT
        return
    try:
        packed = subprocess.run(
            ["git", "archive", "--format=tar", variant.revision, "--", "cypresswalk"],
            cwd=ROOT,
            capture_output=True,
            check=True,
        ).stdout
    except (OSError, subprocess.CalledProcessError) as error:
        said = getattr(error, "stderr", b"").decode(errors="replace").strip().splitlines()
        raise CommandError(
            f"variant {variant.name}: revision {variant.revision!r}: {said[0] if said else error}"
        ) from None
    folder = Path(tempfile.mkdtemp(prefix="cypresswalk-revision-"))
    try:
        with tarfile.open(fileobj=BytesIO(packed)) as files:
            files.extractall(folder, filter="data")
        yield folder
    finally:
        shutil.rmtree(folder, ignore_errors=True)


class Play:
    def __init__(
        self,
        experiment: Experiment,
        variant: Variant,
        seed: int,
        folder: Path,
        files: Path,
        command: list[str] | None = None,
    ):
        self.experiment, self.variant, self.seed, self.folder = experiment, variant, seed, folder
        self.stage = Stage(experiment, seed)
        self.day = Day(experiment.name, variant.name, seed)
        self.files, self.command, self.clients = files, command, ClientDriver(self.stage)
        self.balancers: dict[str, Balancer] = {}
        self.agents: dict[str, AgentDriver] = {}
        self.chance = Random(f"{seed}/troubles")
        self.seeds = Random(f"{seed}/balancers")
        self.crashes: list[Violation] = []

    async def run(self, told: Callable[[float], None]) -> Day:
        stage = self.stage
        try:
            await self.set_up()
            stage.spawn(stage.watch_lateness())
            await self.play(told)
        finally:
            # Ctrl-C, a fault of the lab's or the day's end: no child and no task outlives it.
            for balancer in self.balancers.values():
                balancer.kill()
            for proxy in stage.proxies:
                await proxy.stop()
            for task in list(stage.tasks):
                task.cancel()
            await asyncio.gather(*stage.tasks, return_exceptions=True)
        self.verdict()
        return self.day

    async def set_up(self) -> None:
        stage, loop = self.stage, asyncio.get_running_loop()
        for driver in stage.drivers.values():
            await driver.listen()
            driver.model.backlog_at = stage.now()
            if not driver.model.running:
                driver.close()
            stage.spawn(driver.work())
        transport, relay = await loop.create_datagram_endpoint(
            lambda: Relay(stage), local_addr=("127.0.0.1", 0)
        )
        self.relay = relay
        for number, (name, table) in enumerate(
            zip(stage.balancers, self.experiment.balancer_groups())
        ):
            balancer = self.balancers[name] = Balancer(
                name,
                number,
                table,
                self.experiment,
                self.variant,
                self.files,
                self.folder,
                transport.get_extra_info("sockname")[:2],
                self.command,
            )
            relay.members.append(balancer.peer)
            stage.addresses[name] = await stage.behind(
                balancer.address, self.experiment.connection_faults.clients, "client"
            )
            await self.new_agent(name, len(stage.listing.changes))
            self.start_balancer(name)
        await asyncio.gather(*(self.ready(name) for name in self.balancers))

    async def new_agent(self, name: str, version: int) -> None:
        agent = ListAgent(
            self.stage.listing,
            self.experiment,
            Random(f"{self.seed}/agent/{name}/{version}"),
            version,
        )
        driver = AgentDriver(self.stage, name, agent)
        await driver.listen()
        self.agents[name] = driver

    def start_balancer(self, name: str) -> None:
        stage, agent = self.stage, self.agents[name].agent
        whole = stage.listing.complete(agent.version)
        # The list it starts with tells it too: guards one that goes by that from being blamed for an older word.
        for entry in whole:
            stage.note(
                "told", who=name, server=entry.server, life=entry.state.value, version=agent.version
            )
        entries = [stage.entry(entry, name) for entry in whole]
        self.balancers[name].write(
            self.agents[name].address, known(agent, entries), self.seeds.getrandbits(64)
        )
        self.balancers[name].start()

    async def ready(self, name: str) -> None:
        """Until it answers PING; then its front sends it clients."""
        stage, until = self.stage, self.stage.now() + READY
        while stage.now() < until and self.balancers[name].crashed() is None:
            try:
                reader, writer = await asyncio.open_connection(*self.balancers[name].address)
                writer.write(b"PING\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if line == b"PONG\r\n":
                    stage.note("balancer_up", who=name)
                    stage.fronts[stage.balancer_zone[name]].mark_up(name)
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        if not stage.began:
            log = self.balancers[name].log
            last = (log.read_text(errors="replace").strip().splitlines() or ["nothing logged"])[-1]
            raise CommandError(f"balancer {name} does not serve ({self.variant.name}): {last}")

    async def play(self, told: Callable[[float], None]) -> None:
        stage, span = self.stage, int(self.experiment.seconds * SECOND)
        began = stage.began = self.day.began = stage.now() + 100 * MILLISECOND
        for person in stage.people.all():
            stage.spawn(self.clients.live(person, began))
        for number, (at, sort, zone) in enumerate(stage.people.misbehaving()):
            stage.spawn(self.at(began + at, self.clients.bad(sort, zone, number)))
        for trouble in self.experiment.faults:
            stage.spawn(self.at(began + int(trouble.at_s * SECOND), self.strike(trouble)))
        stage.spawn(self.look())
        while (left := began + span - stage.now()) > 0:
            told((span - left) / SECOND)
            await asyncio.sleep(min(left / SECOND, 0.25))
        stage.note("day_ended")
        self.day.ended = stage.now()
        for balancer in self.balancers.values():
            balancer.send(signal.SIGUSR1)
        await asyncio.sleep(0.15)

    async def at(self, when: int, work) -> None:
        try:
            await self.stage.sleep_until(when)
            await work
        finally:
            work.close()

    async def look(self) -> None:
        """What balancers cost, and whether one ended that nobody had ended."""
        while True:
            second = (self.stage.now() - self.stage.began) / SECOND
            for name, balancer in self.balancers.items():
                if (cost := balancer.cost()) is not None:
                    self.day.samples.append((round(second, 2), name, *cost))
                code = balancer.crashed()
                if code is not None:
                    event = self.stage.note("balancer_down", who=name, code=code)
                    self.crashes.append(
                        Violation(
                            "crash", "", event.at, f"{name} ended with exit code {code}", [event]
                        )
                    )
                    balancer.expected_end = True
                    self.stage.spawn(self.noticed(name))
                    self.start_balancer(name)
                    self.stage.spawn(self.ready(name))
            await asyncio.sleep(SAMPLE)

    # Troubles.

    def matching_drivers(self, names: list[str]) -> list[ServerDriver]:
        return [self.stage.drivers[name] for name in matching_servers(self.experiment, names)]

    def named_balancers(self, names: list[str]) -> list[str]:
        return [
            b
            for b in self.balancers
            if any(n in (b, self.stage.balancer_zone[b], "all") for n in names)
        ]

    def listed(self, name: str, life: ServerState, started_ms: int = 0) -> None:
        life_of(self.stage, name, life, started_ms, lambda: list(self.agents.values()))

    async def strike(self, trouble: ScheduledFault) -> None:
        self.stage.note(
            "trouble", who=trouble.kind, servers=trouble.servers, balancers=trouble.balancers
        )
        span = trouble.for_s or self.experiment.seconds
        if trouble.kind in SERVER_FAULTS:
            await asyncio.gather(
                *(
                    getattr(self, trouble.kind)(d, trouble, span)
                    for d in self.matching_drivers(trouble.servers)
                )
            )
        elif trouble.kind == "release":
            for driver in self.matching_drivers(trouble.servers):
                await self.drain(driver, trouble, 1.0)
                await self.come_back(driver)
                await asyncio.sleep(0.5)
        elif trouble.kind == "grow":
            await self.grow(trouble)
        elif trouble.kind == "list_outage":
            await self.list_outage(span)
        elif trouble.kind == "cut_clients":
            self.clients.cut(trouble.amount)
        elif trouble.kind in ("balancer_kill", "balancer_stop", "reload"):
            work = getattr(self, trouble.kind)
            await asyncio.gather(
                *(work(name, span) for name in self.named_balancers(trouble.balancers))
            )

    async def crash(self, driver: ServerDriver, trouble: ScheduledFault, span: float) -> None:
        """Dies with resets; the list hears of it late; it returns cold."""
        driver.crash()
        self.listed(driver.model.name, ServerState.TERMINATED)
        await asyncio.sleep(span)
        await self.come_back(driver)

    restart = crash

    async def come_back(self, driver: ServerDriver) -> None:
        started = await driver.start()
        self.listed(driver.model.name, ServerState.IN_SERVICE, started)

    async def vanish(self, driver: ServerDriver, trouble: ScheduledFault, span: float) -> None:
        """Says nothing any more, and is back cold. The kernel goes on accepting for it: a set-up that never comes up is
        what this stage can't show."""
        self.stage.note("server_mute", who=driver.model.name)
        driver.model.silent = True
        self.listed(driver.model.name, ServerState.TERMINATED)
        await asyncio.sleep(span)
        driver.crash()
        await self.come_back(driver)

    async def hang(self, driver: ServerDriver, trouble: ScheduledFault, span: float) -> None:
        self.stage.note("server_mute", who=driver.model.name)
        driver.model.hanging = True
        await asyncio.sleep(span)
        driver.model.hanging = False

    async def slow(self, driver: ServerDriver, trouble: ScheduledFault, span: float) -> None:
        driver.model.update_backlog(self.stage.now())
        driver.model.slowness = max(trouble.amount, 1.0)
        await asyncio.sleep(span)
        driver.model.update_backlog(self.stage.now())
        driver.model.slowness = 1.0

    async def neighbour(self, driver: ServerDriver, trouble: ScheduledFault, span: float) -> None:
        """Another program takes a share of the machine, on and off."""
        until = self.stage.now() + int(span * SECOND)
        while self.stage.now() < until:
            for share in (trouble.amount, 0.0):
                driver.model.update_backlog(self.stage.now())
                driver.model.stolen_share = share
                await asyncio.sleep(self.chance.uniform(0.5, 2))
        driver.model.stolen_share = 0.0

    async def errors(self, driver: ServerDriver, trouble: ScheduledFault, span: float) -> None:
        driver.model.error_share = trouble.amount
        await asyncio.sleep(span)
        driver.model.error_share = 0.0

    async def resets(self, driver: ServerDriver, trouble: ScheduledFault, span: float) -> None:
        driver.model.reset_share = trouble.amount
        await asyncio.sleep(span)
        driver.model.reset_share = 0.0

    async def drain(self, driver: ServerDriver, trouble: ScheduledFault, span: float) -> None:
        """Is told to go: sends its clients away, wants nothing new, and is gone after the span."""
        model = driver.model
        model.state = ServerState.DRAINING
        self.listed(model.name, ServerState.DRAINING, model.started // MILLISECOND)
        await asyncio.sleep(min(span, 0.5))
        for conn in list(driver.standing.values()):
            driver.end(conn, "move")
        await asyncio.sleep(max(span - 0.5, 0))
        self.listed(model.name, ServerState.TERMINATED, model.started // MILLISECOND)
        driver.crash()

    async def grow(self, trouble: ScheduledFault) -> None:
        """Servers that were switched off all day so far come into service, cold."""
        for name in added_servers(self.experiment, trouble):
            await self.come_back(self.stage.drivers[name])

    async def list_outage(self, span: float) -> None:
        agents = list(self.agents.values())
        for agent in agents:
            agent.agent.silent = True
        await asyncio.sleep(span)
        for agent in agents:
            agent.agent.silent = False
            agent.wake()

    async def noticed(self, name: str) -> None:
        notice = self.experiment.edge.detection_ms
        starts = self.balancers[name].starts
        await asyncio.sleep(self.chance.uniform(*notice) / 1000)
        if self.balancers[name].starts == starts:  # not back already
            self.stage.fronts[self.stage.balancer_zone[name]].mark_down(name)

    async def balancer_kill(self, name: str, span: float) -> None:
        self.balancers[name].kill()
        self.stage.note("balancer_down", who=name)
        self.stage.spawn(self.noticed(name))
        await asyncio.sleep(span)
        self.start_balancer(name)
        await self.ready(name)

    async def balancer_stop(self, name: str, span: float) -> None:
        """A planned restart: the front stops sending soon after SIGTERM; the kill comes as the platform has it."""
        balancer, front = self.balancers[name], self.stage.fronts[self.stage.balancer_zone[name]]
        balancer.expected_end = True
        balancer.send(signal.SIGTERM)
        await asyncio.sleep(self.chance.uniform(0.2, 0.4))
        front.mark_down(name)
        longest = max(t.timeout_ms for t in self.experiment.types) / 1000
        until = self.stage.now() + int((min(longest, 3) + 0.7) * SECOND)
        while self.stage.now() < until and balancer.process.poll() is None:
            await asyncio.sleep(0.02)
        balancer.kill()
        self.stage.note("balancer_down", who=name, planned=True)
        await asyncio.sleep(min(span, 1.0))
        self.start_balancer(name)
        await self.ready(name)

    async def reload(self, name: str, span: float) -> None:
        """The list at a new address, which knows less than the old one did; SIGHUP; the old address ends."""
        old = self.agents[name]
        await self.new_agent(name, max(old.agent.version - 1, 1))
        latest = len(self.stage.listing.changes)
        self.stage.spawn(self.agents[name].learn(latest))
        balancer, agent = self.balancers[name], self.agents[name].agent
        entries = [self.stage.entry(e, name) for e in self.stage.listing.complete(agent.version)]
        balancer.write(self.agents[name].address, known(agent, entries), self.seeds.getrandbits(64))
        balancer.send(signal.SIGHUP)
        await old.retire()

    # The verdict.

    def verdict(self) -> None:
        day, stage = self.day, self.stage
        day.events = stage.events
        breaches = self.crashes + check(stage.events, Rules.of(self.experiment))
        breaches += [
            Violation(
                "cold", "", e.at, f"{e.subject} fell over: pushed beyond its budget while cold", [e]
            )
            for e in stage.events
            if e.kind == "fell"
        ]
        day.breaches = [str(b) for b in breaches[:50]]
        for breach in breaches:
            day.broken[breach.rule] = day.broken.get(breach.rule, 0) + 1
        day.counters = {name: balancer.counters() for name, balancer in self.balancers.items()}
        late = sorted(stage.lateness) or [0]
        share = sum(l > LATE for l in late) / len(late)
        day.lateness_ms = {
            "median": late[len(late) // 2] / 1e6,
            "p99": late[len(late) * 99 // 100] / 1e6,
            "most": late[-1] / 1e6,
            "share_late": round(share, 5),
        }
        if stage.faults:
            day.void = f"the lab itself failed: {stage.faults[0]}"
        elif share > LATE_SHARE or late[-1] > LATE_MOST:
            day.void = (
                f"the lab itself was late: {late[-1] / 1e6:.0f} ms at most, {share:.1%} of its ticks by over "
                f"{LATE / 1e6:.0f} ms"
            )


def play_day(
    experiment: Experiment,
    variant: Variant,
    seed: int,
    folder: Path,
    told: Callable[[float], None] = lambda second: None,
    command: list[str] | None = None,
) -> Day:
    """Plays it and leaves events, day and logs in the folder. Raises Refusal where it can't begin. `command` starts
    another program in the balancers' place, by the same platform's rules."""
    folder.mkdir(parents=True, exist_ok=True)
    with tree(variant) as files:
        day = asyncio.run(Play(experiment, variant, seed, folder, files, command).run(told))
    day.save(folder)
    return day
