"""The lab's stand-ins on loopback sockets: servers, list agents, clients, bad clients, the way between balancers.

One event loop plays all of them, so that what they saw has one order and one clock. The models (world, people, listing,
front) decide; what is here reads, writes, waits and notes. This is not the balancer's network code, whose threads and
blocking sockets stay as they are: see docs/design/lab.md."""

import asyncio
import json
import socket
import struct
import time
from collections.abc import Callable, Coroutine
from functools import partial
from itertools import count
from random import Random

from cypresswalk.faults.plan import Plan
from cypresswalk.faults.proxy import Proxy
from cypresswalk.lab.clients import Client, ClientPopulation, draw_ms
from cypresswalk.lab.edge import EdgeLoadBalancer
from cypresswalk.lab.endpoint_list import Endpoint, EndpointList, ListAgent, initial_list
from cypresswalk.lab.experiment import Experiment
from cypresswalk.lab.observations import Observation
from cypresswalk.lab.servers import Reply, ServerState, SimulatedServer, build_servers
from cypresswalk.lab.units import MILLISECOND, SECOND

LINE = 8192  # the longest line that a stand-in reads: twice the protocol's
TICK = 20 * MILLISECOND  # how often the lab looks how late it is itself
BEAT = 2 * SECOND  # an empty line on a watch
AT_ONCE = struct.pack("ii", 1, 0)
ENDS = (
    ConnectionError,
    asyncio.IncompleteReadError,
    asyncio.LimitOverrunError,
    ValueError,
    OSError,
)


def reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, AT_ONCE)
        except OSError:
            pass
    writer.transport.abort()


def nodelay(writer: asyncio.StreamWriter) -> None:
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class Stage:
    """All that the drivers share: the clock, what was seen, the models, the tasks that run."""

    def __init__(self, experiment: Experiment, seed: int):
        self.experiment, self.seed = experiment, seed
        # Wall time as it was at the start, moved by the monotonic clock: start times in the list are wall time.
        self.offset = time.time_ns() - time.monotonic_ns()
        self.events: list[Observation] = []
        self.servers = build_servers(experiment, seed)
        self.listing: EndpointList = initial_list(list(self.servers.values()))
        self.balancers = experiment.balancer_names()
        self.balancer_zone = dict(
            zip(self.balancers, (t.zone for t in experiment.balancer_groups()))
        )
        self.people = ClientPopulation(experiment, seed)
        zones = dict.fromkeys(self.balancer_zone.values())
        self.fronts = {
            zone: EdgeLoadBalancer(
                zone,
                [b for b in self.balancers if self.balancer_zone[b] == zone],
            )
            for zone in zones
        }
        self.addresses: dict[str, tuple[str, int]] = {}  # where clients reach each balancer
        self.numbers = count(1)
        self.tasks: set[asyncio.Task] = set()
        self.faults: list[str] = []  # of the lab itself: a day with one says nothing
        self.lateness: list[int] = []
        self.began = 0
        self.proxies: list[Proxy] = []
        self.drivers = {name: ServerDriver(self, server) for name, server in self.servers.items()}

    def now(self) -> int:
        return time.monotonic_ns() + self.offset

    async def behind(self, to: tuple[str, int], plan: Plan, side: str) -> tuple[str, int]:
        """An address with the fault tool before that one; the same address where the plan holds nothing."""
        if plan == Plan():
            return to
        proxy = Proxy(
            ("127.0.0.1", 0),
            to,
            plan,
            self.seed + len(self.proxies),
            self.now,
            lambda fault, ports: self.note(
                "fault", who=side, ports=list(ports), kind=fault.kind.value
            ),
        )
        await proxy.start()
        self.proxies.append(proxy)
        return proxy.address

    def note(self, what: str, flow: str = "", who: str = "", **words: object) -> Observation:
        event = Observation(self.now(), what, flow, who, words)
        self.events.append(event)
        return event

    def spawn(self, work: Coroutine) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.done)
        return task

    def done(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.faults.append(f"{type(task.exception()).__name__}: {task.exception()}")

    async def sleep_until(self, at: int) -> None:
        """By the lab's clock; at once if that is past."""
        wait = at - self.now()
        if wait > 0:
            await asyncio.sleep(wait / SECOND)

    async def watch_lateness(self) -> None:
        while True:
            due = self.now() + TICK
            await self.sleep_until(due)
            self.lateness.append(max(self.now() - due, 0))

    def way(self, balancer: str, server: SimulatedServer) -> int:
        """One way between a balancer and a server."""
        near = self.balancer_zone[balancer] == server.group.zone
        net = self.experiment.network
        return int((net.within_ms if near else net.across_ms) * MILLISECOND)

    def entry(self, entry: Endpoint, balancer: str) -> dict:
        """In the platform's form, with the address that this balancer reaches the server by."""
        server = self.servers[entry.server]
        m = server.group
        return {
            "instanceId": server.name,
            "hostPort": "%s:%d" % self.drivers[server.name].shown[balancer],
            "zone": m.zone,
            "machineType": m.name,
            "cell": m.cell,
            "lifecycle": entry.state.value,
            "weight": m.weight,
            "startedAtMs": entry.started_ms,
        }


class Conn:
    """A connection that stands at a server."""

    __slots__ = ("number", "flow", "writer", "said", "heard", "last", "broken")

    def __init__(self, number: int, flow: str, writer: asyncio.StreamWriter):
        self.number, self.flow, self.writer = number, flow, writer
        self.said: list[str] = []
        self.heard: list[str] = []
        self.last, self.broken = 0, False

    def say(self, text: str) -> None:
        if not self.broken and not self.writer.transport.is_closing():
            self.said.append(text)
            self.writer.write(text.encode() + b"\r\n")


class ServerDriver:
    """One server on sockets: a port for each balancer, so that the way between them is known."""

    def __init__(self, stage: Stage, model: SimulatedServer):
        self.stage, self.model = stage, model
        self.ports: dict[str, int] = {}
        self.shown: dict[
            str, tuple[str, int]
        ] = {}  # the addresses in the list: with faults before them, if any
        self.listeners: list[asyncio.Server] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.standing: dict[int, Conn] = {}
        self.told_late = False

    async def listen(self) -> None:
        """At the same ports as before, once it had some. A port that another process took is the lab's fault."""
        for balancer in self.stage.balancers:
            try:
                listener = await asyncio.start_server(
                    partial(self.accept, balancer),
                    "127.0.0.1",
                    self.ports.get(balancer, 0),
                    backlog=512,
                    limit=LINE,
                )
            except OSError as error:
                self.stage.faults.append(
                    f"{self.model.name} can't listen at {self.ports.get(balancer)}: {error}"
                )
                return
            if balancer not in self.ports:
                self.ports[balancer] = listener.sockets[0].getsockname()[1]
                self.shown[balancer] = await self.stage.behind(
                    ("127.0.0.1", self.ports[balancer]),
                    self.stage.experiment.connection_faults.servers,
                    "server",
                )
            self.listeners.append(listener)

    def accept(
        self, balancer: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.stage.spawn(self.serve(balancer, reader, writer))

    async def serve(
        self, balancer: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            nodelay(writer)
            await self.talk(balancer, reader, writer)
        except ENDS:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def talk(
        self, balancer: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        model, stage = self.model, self.stage
        while line := await reader.readline():
            word = line.split(b" ", 1)[0].strip()
            if word in (b"PING", b"STATS"):
                wait = model.health_check_delay(stage.now())
                if wait is not None:
                    await asyncio.sleep((wait + 2 * stage.way(balancer, model)) / SECOND)
                    report = " x0=%.3f" % model.utilization(stage.now()) if word == b"STATS" else ""
                    writer.write(f"PONG{report}\r\n".encode())
            elif word == b"OPEN" and line.endswith(b"\r\n"):
                return await self.opened(balancer, line.decode().split(), reader, writer)
            else:
                writer.write(b"SYNTAX\r\n")
                stage.note("odd_line", who=model.name, balancer=balancer, line=repr(line[:80]))
                return

    async def opened(
        self,
        balancer: str,
        words: list[str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        model, stage, number = self.model, self.stage, next(self.stage.numbers)
        values = dict(pair.split("=", 1) for pair in words[3].split(","))
        flow, load = words[1], float(values.get("h", 1))
        stage.note(
            "attempt",
            flow,
            model.name,
            balancer=balancer,
            number=number,
            load=load,
            port=writer.get_extra_info("peername")[1],
        )
        reply, wait = model.open(stage.now(), number, load, values.get("g", ""))
        if model.overloaded:
            return self.fall()
        try:
            gone = reply is not Reply.SILENT and await self.gone(
                reader, wait + 3 * stage.way(balancer, model)
            )
            if not gone and (reply is Reply.SILENT or model.silent or model.hanging):
                while await reader.read(LINE):  # it fell silent in the meantime, or was so before
                    pass
                gone = True
            if gone or not model.running:
                # A crash in the middle of a set-up ends it as well: the checker must not take it for one still out.
                stage.note(
                    "let_go" if model.running else "broke",
                    flow,
                    model.name,
                    number=number,
                    how="reset",
                )
                return
            receipt = f"UP r{number}"
            stage.note("reply", flow, model.name, number=number, kind=reply.value, receipt=receipt)
            if reply is Reply.RESET:
                return reset(writer)
            if reply is not Reply.UP:
                writer.write(b"BUSY\r\n" if reply is Reply.BUSY else b"ERR\r\n")
                return
            conn = self.standing[number] = Conn(number, flow, writer)
            writer.write(receipt.encode() + b"\r\n")
            await self.stand(conn, balancer, reader)
        finally:
            model.close(stage.now(), number)

    async def gone(self, reader: asyncio.StreamReader, wait: int) -> bool:
        """Whether the balancer lets go within that time."""
        try:
            return not await asyncio.wait_for(reader.readline(), wait / SECOND)
        except asyncio.TimeoutError:
            return False
        except ENDS:
            return True

    async def stand(self, conn: Conn, balancer: str, reader: asyncio.StreamReader) -> None:
        model, stage, loop = self.model, self.stage, asyncio.get_running_loop()
        way = 2 * stage.way(balancer, model)
        try:
            while line := await reader.readline():
                text = line.decode().rstrip("\r\n")
                conn.heard.append(text)
                if text == "END":
                    return self.end(conn, "bye")
                wait = model.echo_delay(stage.now())
                if wait is not None:
                    # In the order in which they came, as one connection's lines are served.
                    conn.last = max(conn.last, stage.now() + wait + way)
                    loop.call_later(max(conn.last - stage.now(), 0) / SECOND, conn.say, text)
        except ENDS:
            pass
        finally:
            if not conn.broken:
                stage.note("let_go", conn.flow, model.name, number=conn.number)
            self.standing.pop(conn.number, None)
            stage.note(
                "lines",
                conn.flow,
                model.name,
                side="server",
                said=conn.said,
                heard=conn.heard,
                number=conn.number,
            )

    def end(self, conn: Conn, how: str) -> None:
        """The server ends a connection: with BYE or MOVE and an end, or by a reset."""
        if conn.broken:
            return
        if how != "reset":
            conn.say("BYE" if how == "bye" else "MOVE")
        conn.broken = True
        self.stage.note("broke", conn.flow, self.model.name, number=conn.number, how=how)
        if how == "reset":
            reset(conn.writer)
        else:
            conn.writer.close()

    # What befalls it.

    def fall(self) -> None:
        """Pushed beyond its budget while cold: it stays down."""
        self.stage.note("fell", who=self.model.name)
        self.crash()

    def close(self) -> None:
        for listener in self.listeners:
            listener.close()
        self.listeners.clear()

    def crash(self) -> None:
        self.stage.note("server_down", who=self.model.name)
        self.model.stop(self.stage.now())
        self.close()
        for conn in list(self.standing.values()):
            conn.broken = True
            self.stage.note("broke", conn.flow, self.model.name, number=conn.number, how="reset")
        for writer in list(self.writers):
            reset(writer)

    async def start(self) -> int:
        """Cold. Gives its start time for the list, in milliseconds."""
        now = self.stage.now()
        self.model.start(now, now)
        self.stage.note("server_up", who=self.model.name)
        await self.listen()
        return now // MILLISECOND

    async def work(self) -> None:
        """Once a second a word on its delay, on one connection, while that is long; and what it can't hold is dropped."""
        targets = [t.message_latency_objective_ms for t in self.stage.experiment.types]
        enough, chance = min(targets) / 3, Random(f"{self.stage.seed}/load/{self.model.name}")
        while True:
            await asyncio.sleep(0.25)
            number = self.model.connection_to_drop(self.stage.now())
            if number in self.standing:
                self.end(self.standing[number], "reset")
                self.model.close(self.stage.now(), number)
            if (
                self.stage.now() // (250 * MILLISECOND) % 4
                or not self.standing
                or self.model.echo_delay(self.stage.now()) is None
            ):
                continue
            late = self.model.delay(self.stage.now()) / MILLISECOND
            if late > enough or self.told_late:
                self.told_late = late > enough
                chance.choice(list(self.standing.values())).say(f"LOAD {late:.1f}")


class AgentDriver:
    """One address of the list service, for one balancer."""

    def __init__(self, stage: Stage, balancer: str, agent: ListAgent):
        self.stage, self.balancer, self.agent = stage, balancer, agent
        self.news = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()
        self.address = ("127.0.0.1", 0)

    async def listen(self) -> None:
        self.listener = await asyncio.start_server(
            lambda r, w: self.stage.spawn(self.serve(r, w)) and None, "127.0.0.1", 0, limit=LINE
        )
        self.address = self.listener.sockets[0].getsockname()[:2]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            query = head.split(b" ")[1].decode().partition("?")[2]
            values = dict(pair.partition("=")[::2] for pair in query.split("&"))
            since = int(values.get("since") or 0)
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            while True:
                if not self.agent.silent and (since < self.agent.version or since == 0):
                    since = self.say(writer, since)
                    if values.get("follow") != "1":
                        writer.write(b"0\r\n\r\n")
                        return
                self.news.clear()
                try:
                    await asyncio.wait_for(self.news.wait(), BEAT / SECOND)
                except asyncio.TimeoutError:
                    if not self.agent.silent:
                        writer.write(b"1\r\n\n\r\n")
                if writer.transport.is_closing() or reader.at_eof():
                    return
        except ENDS:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def say(self, writer: asyncio.StreamWriter, since: int) -> int:
        whole, entries, version = self.agent.answer(since)
        line = (
            json.dumps(
                {
                    "generation": version,
                    "reset": whole,
                    "instances": [self.stage.entry(entry, self.balancer) for entry in entries],
                }
            ).encode()
            + b"\n"
        )
        writer.write(b"%x\r\n%s\r\n" % (len(line), line))
        for entry in entries:
            self.stage.note(
                "told",
                who=self.balancer,
                server=entry.server,
                life=entry.state.value,
                version=version,
            )
        return version

    async def learn(self, version: int) -> None:
        await asyncio.sleep(self.agent.next_delay() / SECOND)
        if self.agent.learn(version):
            self.news.set()

    def wake(self) -> None:
        self.news.set()

    async def retire(self) -> None:
        """Its place is taken: no new connection, and what is open ends after 1.5 s."""
        self.listener.close()
        await asyncio.sleep(1.5)
        for writer in list(self.writers):
            writer.close()


class Relay(asyncio.DatagramProtocol):
    """The way between balancers: what one sends goes to all others, late or not at all."""

    def __init__(self, stage: Stage):
        self.stage, self.chance = stage, Random(f"{stage.seed}/peers")
        self.members: list[tuple[str, int]] = []
        self.passed = self.lost = 0

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, sender: tuple) -> None:
        net = self.stage.experiment.network
        for member in self.members:
            if member == sender[:2]:
                continue
            if self.chance.random() < net.peers_lost:
                self.lost += 1
                continue
            self.passed += 1
            asyncio.get_running_loop().call_later(
                draw_ms(self.chance, net.peers_ms) / SECOND, self.arrive, data, member
            )

    def arrive(self, data: bytes, member: tuple[str, int]) -> None:
        if not self.transport.is_closing():
            self.transport.sendto(data, member)


class ClientDriver:
    """Plays people: each comes, is served or not, and comes again as it does."""

    def __init__(self, stage: Stage):
        self.stage = stage
        self.open: dict[str, asyncio.StreamWriter] = {}  # of flows that stand
        self.latest = ""  # the id said last, for bad clients to say again

    async def live(self, person: Client, began: int) -> None:
        stage = self.stage
        await stage.sleep_until(began + person.arrives_at)
        end, marks = stage.now() + person.lifetime, ""
        stage.note(
            "comes",
            who=person.zone,
            person=person.number,
            type=person.type.name,
            customer=person.tenant,
            life_ms=person.lifetime // MILLISECOND,
        )
        while stage.now() < end:
            stood, advice = await self.once(person, end, marks)
            if stood == "own":
                break
            wait = (
                person.delay_after_disconnect(stage.experiment.clients)
                if stood
                else person.delay_after_rejection(stage.experiment.clients, advice)
            )
            if wait is None:
                break
            marks = ",again=1" if stood else ",r=1"
            await asyncio.sleep(wait / SECOND)

    async def once(self, person: Client, end: int, marks: str) -> tuple[str, int | None]:
        """How the connection ended, '' if it never stood; and the wait that was advised, in nanoseconds."""
        stage, kind = self.stage, person.type
        balancer = stage.fronts[person.zone].pick()
        if balancer is None:
            stage.note("nobody", who=person.zone, person=person.number)
            return "", None
        try:
            reader, writer = await asyncio.open_connection(*stage.addresses[balancer], limit=LINE)
        except OSError:
            stage.note("refused", who=balancer, person=person.number)
            return "", None
        ident = person.next_id()
        group = f",g={person.group}" if person.group else ""
        try:
            nodelay(writer)
            writer.write(
                f"OPEN {ident} k{person.number} c={kind.name},t={person.tenant},d={kind.timeout_ms:g}"
                f",h={person.load:.3f}{group}{marks}\r\n".encode()
            )
            self.latest = ident
            stage.note(
                "sent",
                ident,
                balancer,
                type=kind.name,
                wait_ms=kind.timeout_ms,
                person=person.number,
                port=writer.get_extra_info("sockname")[1],
            )
            return await self.answered(person, ident, balancer, end, reader, writer)
        finally:
            self.open.pop(ident, None)
            writer.close()

    async def answered(
        self,
        person: Client,
        ident: str,
        balancer: str,
        end: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> tuple[str, int | None]:
        stage = self.stage
        # Somewhat longer than it waits: an answer that comes late is seen to be late.
        limit = person.type.timeout_ms / 1000 + 0.3
        leaves = (
            person.leaves_after / SECOND if person.leaves_after and person.connections == 1 else 0
        )
        try:
            line = await asyncio.wait_for(reader.readline(), min(leaves or limit, limit))
        except asyncio.TimeoutError:
            stage.note("left" if leaves else "waited", ident, balancer)
            return "", None
        except ENDS:
            stage.note("ended", ident, balancer, how="reset")
            return "", None
        text = line.decode("ascii", "replace").rstrip("\r\n")
        if not line.endswith(b"\n"):  # nothing, or the part of an answer that a cut left
            stage.note("ended", ident, balancer, how="end")
            return "", None
        kind = (
            "up" if text.startswith("UP ") else "busy" if text.split(" ")[0] == "BUSY" else "failed"
        )
        stage.note("answer", ident, balancer, kind=kind, line=text, person=person.number)
        if kind == "up":
            self.open[ident] = writer
            return await self.stand(person, ident, balancer, end, reader, writer), None
        await self.second(ident, balancer, reader)
        told = text.split(" ")[1:]
        return "", int(told[0]) * MILLISECOND if kind == "busy" and told and told[
            0
        ].isdecimal() else None

    async def second(self, ident: str, balancer: str, reader: asyncio.StreamReader) -> None:
        """After a no, the end; a further line would be a second answer."""
        try:
            line = await asyncio.wait_for(reader.readline(), 1)
            if line:
                self.stage.note(
                    "answer",
                    ident,
                    balancer,
                    kind="failed",
                    line=line.decode("ascii", "replace").strip(),
                )
        except (asyncio.TimeoutError, *ENDS):
            pass

    async def stand(
        self,
        person: Client,
        ident: str,
        balancer: str,
        end: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> str:
        stage, every = self.stage, int(self.stage.experiment.clients.line_ms * MILLISECOND)
        said, heard, asked = [], [], {}
        person.rejections, how = 0, "own"
        next_line = stage.now() + person.random.randrange(every)
        try:
            while (now := stage.now()) < end:
                if now >= next_line:
                    text = f"M {len(said)}"
                    said.append(text)
                    asked[text] = now
                    writer.write(text.encode() + b"\r\n")
                    next_line = max(next_line + every, now)
                    continue
                try:
                    line = await asyncio.wait_for(
                        reader.readline(), (min(next_line, end) - now) / SECOND
                    )
                except asyncio.TimeoutError:
                    continue
                if not line:
                    how = "cut" if writer.transport.is_closing() else "end"
                    break
                text = line.decode("ascii", "replace").rstrip("\r\n")
                if text == "MOVE":
                    how = "move"
                    break
                heard.append(text)
                if text == "BYE":
                    how = "bye"
                    break
                if text in asked:
                    stage.note(
                        "echo",
                        ident,
                        balancer,
                        took_ms=(stage.now() - asked.pop(text)) / MILLISECOND,
                        person=person.number,
                    )
            if how == "own":
                writer.write_eof()
                while line := await asyncio.wait_for(reader.readline(), 1):
                    heard.append(line.decode("ascii", "replace").rstrip("\r\n"))
        except asyncio.TimeoutError:
            pass
        except ENDS:
            # A reset after its own end changes nothing for it.
            how = (
                how
                if how != "own" or stage.now() >= end
                else "cut"
                if writer.transport.is_closing()
                else "reset"
            )
        stage.note("ended", ident, balancer, how=how, person=person.number)
        stage.note("lines", ident, balancer, side="client", said=said, heard=heard, number=0)
        return how

    def cut(self, share: float) -> None:
        """So many of those that stand break off, as a network does to its clients."""
        chance = Random(f"{self.stage.seed}/cut/{len(self.stage.events)}")
        for ident, writer in list(self.open.items()):
            if chance.random() < share:
                self.stage.note("left", ident, "", cut=True)
                reset(writer)

    # Bad clients.

    async def bad(self, sort: str, zone: str, number: int) -> None:
        stage = self.stage
        balancer = stage.fronts[zone].pick()
        if balancer is None:
            return
        began = stage.now()
        answer = "neither"
        try:
            reader, writer = await asyncio.open_connection(*stage.addresses[balancer], limit=LINE)
        except OSError:
            return
        try:
            if sort == "twice" and self.latest:
                stage.note("said_again", self.latest, balancer)
            writer.write(self.odd(sort, number))
            # Owed within 3 s: an error or an end.
            line = await asyncio.wait_for(reader.readline(), 3)
            answer = line.decode("ascii", "replace").strip().split(" ")[0] or "end"
        except asyncio.TimeoutError:
            pass
        except ENDS:
            answer = "reset"
        finally:
            writer.close()
        stage.note(
            "bad",
            who=balancer,
            sort=sort,
            answer=answer,
            took_ms=(stage.now() - began) / MILLISECOND,
        )

    def odd(self, sort: str, number: int) -> bytes:
        kind, customer = (
            self.stage.experiment.types[0].name,
            self.stage.experiment.tenants[0].name,
        )
        good = f"OPEN x{number} k1 c={kind},t={customer},d=1000\r\n".encode()
        return {
            "silent": b"",
            "garbage": b"\x00\xff\x17GET / HTTP/1.1\r\n",
            "half a line": good[: len(good) // 2],
            "flood": good * 200,
            "unknown type": good.replace(kind.encode(), b"no-such-type"),
            "endless line": b"OPEN " + b"a" * 20_000,
            "twice": good.replace(b"x%d" % number, self.latest.encode() or b"x0"),
        }[sort]


def life_of(
    stage: Stage,
    name: str,
    life: ServerState,
    started_ms: int,
    agents: Callable[[], list[AgentDriver]],
) -> None:
    """Something changed: the list knows, and each agent learns of it late."""
    version = stage.listing.add(name, life, started_ms)
    for agent in agents():
        stage.spawn(agent.learn(version))
