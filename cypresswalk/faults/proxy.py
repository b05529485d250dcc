"""Sits between sockets and does to the bytes what the streams say. One event loop, no thread of its own.

An end of stream is passed on as that and a reset as a reset, after all that came before it. Each direction holds a
bounded number of bytes: beyond it the sender is not read."""

import asyncio
import logging
import socket
import struct
from collections import deque
from collections.abc import Callable

from cypresswalk.faults.kinds import Fault, Kind
from cypresswalk.faults.plan import Plan, Replay, ways
from cypresswalk.faults.record import Record
from cypresswalk.faults.stream import SECOND, Close, Datagrams, Finish, Reset, Step, Stream, Write

log = logging.getLogger(__name__)
Address = tuple[str, int]
HELD = 256 << 10  # bytes that one direction may hold: four times what one read brings
DATAGRAMS_HELD = 4096  # datagrams on their way: a delay of a second at a few thousand a second
PEERS = 1024  # of one UDP proxy: each has a socket of its own
AT_ONCE = struct.pack("ii", 1, 0)


def reset(transport: asyncio.Transport) -> None:
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, AT_ONCE)
        except OSError:
            pass
    transport.abort()


class Way:
    """One direction: what its stream decided, taken step by step at its time."""

    def __init__(self, link: "Link", stream: Stream, loop: asyncio.AbstractEventLoop):
        self.link, self.stream, self.loop = link, stream, loop
        self.steps: deque[Step] = deque()
        self.held = 0
        self.source: asyncio.Transport | None = None
        self.sink: asyncio.Transport | None = None
        self.stuffed = self.paused = False
        self.finished = False  # an end of stream has gone out this way
        self.timer: asyncio.TimerHandle | None = None

    def take_in(self, steps: list[Step]) -> None:
        for step in steps:
            self.steps.append(step)
            self.held += len(step.data) if isinstance(step, Write) else 0
        self.go()

    def go(self) -> None:
        """Takes all steps that are due."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        while self.steps and not self.stuffed and self.sink is not None and not self.link.over:
            now = self.link.clock()
            if self.steps[0].at > now:
                break
            self.take(self.steps.popleft())
        now = self.link.clock()
        due = [self.steps[0].at] if self.steps and not self.stuffed else []
        if (waits := self.stream.due()) is not None:
            due.append(waits)
        if due and not self.link.over and self.sink is not None:
            self.timer = self.loop.call_later(max(min(due) - now, 0) / SECOND, self.wake)
        self.pace()

    def strike(self, fault: Fault) -> None:
        """Here and now."""
        self.stream.faults.insert(0, fault)
        steps: list[Step] = []
        self.stream.ends(self.link.clock(), steps)
        if not self.stream.over:
            self.stream.strike(self.link.clock())
        self.take_in(steps)

    def wake(self) -> None:
        self.timer = None
        self.take_in(self.stream.wake(self.link.clock()))

    def take(self, step: Step) -> None:
        match step:
            case Write(_, data):
                self.held -= len(data)
                if not self.sink.is_closing():
                    self.sink.write(data)
            case Finish():
                self.finished = True
                if self.sink.is_closing():
                    self.link.close()  # nobody is left to hear of it
                elif self.sink.can_write_eof():
                    self.sink.write_eof()
                self.link.finished()
            case Close():
                self.link.close()
            case Reset():
                self.link.reset()

    def pace(self) -> None:
        if self.source is None or self.source.is_closing():
            return
        full = self.held > HELD or self.stuffed
        if full != self.paused:
            self.paused = full
            (self.source.pause_reading if full else self.source.resume_reading)()

    def ended(self) -> None:
        if not self.stream.over:
            self.take_in(self.stream.end(self.link.clock()))

    def broken(self) -> None:
        """The sender's reset: passed on after what came before it; not where a black hole has swallowed the way."""
        if not self.stream.over or self.finished:
            self.stream.over = True
            self.take_in([Reset(max((s.at for s in self.steps), default=self.link.clock()))])


class Side(asyncio.Protocol):
    """One of the two sockets: `into` is the direction that it feeds, `out` the one that it is written from."""

    def __init__(self, link: "Link", into: Way, out: Way):
        self.link, self.into, self.out = link, into, out

    def connection_made(self, transport: asyncio.Transport) -> None:
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.into.source = self.out.sink = transport
        self.link.made(transport)

    def data_received(self, data: bytes) -> None:
        self.into.take_in(self.into.stream.feed(self.link.clock(), data))

    def eof_received(self) -> bool:
        self.into.ended()
        return True

    def pause_writing(self) -> None:
        self.out.stuffed = True
        self.out.pace()

    def resume_writing(self) -> None:
        self.out.stuffed = False
        self.out.go()

    def connection_lost(self, error: Exception | None) -> None:
        if error is not None and not self.link.over:
            self.read_rest()
            # Nobody is left to write to: what the other says goes nowhere, and it hears of that by the reset alone.
            self.out.steps.clear()
            self.into.broken()
        self.link.lost()

    def read_rest(self) -> None:
        """A write met a reset: what had come before that still waits in the kernel, and the event loop would throw it
        away. Guards against losing an answer that a client of its own would have read."""
        try:
            with self.into.source.get_extra_info("socket").dup() as sock:
                while not self.into.stream.over and (data := sock.recv(65536)):
                    self.data_received(data)
        except OSError:
            pass


class Link:
    """One connection through the proxy."""

    def __init__(self, proxy: "Proxy", number: int):
        self.proxy, self.number, self.clock, self.over = proxy, number, proxy.clock, False
        faults = proxy.plan.for_connection(number, proxy.seed)
        ways = {
            way: Way(
                self, Stream([f for f in faults if f.direction == way], self.strike), proxy.loop
            )
            for way in ("up", "down")
        }
        self.up, self.down = ways["up"], ways["down"]
        self.transports: list[asyncio.Transport] = []
        self.ports: list[
            int
        ] = []  # by which each end knows the connection: its caller's, then the proxy's own
        self.open = 0

    def strike(self, fault: Fault) -> None:
        self.proxy.record.add(fault)
        self.proxy.told(fault, self.ports)

    def made(self, transport: asyncio.Transport) -> None:
        self.transports.append(transport)
        self.ports.append(transport.get_extra_info("sockname" if self.open else "peername")[1])
        self.open += 1
        if self.over:
            reset(transport)
        elif len(self.transports) == 1:
            # Its words wait in the kernel until there is somebody to pass them to.
            transport.pause_reading()
            self.task = self.proxy.loop.create_task(self.dial())
        else:
            self.transports[0].resume_reading()
            for way in (self.up, self.down):
                way.take_in(way.stream.start(self.clock()))

    async def dial(self) -> None:
        try:
            await self.proxy.loop.create_connection(
                lambda: Side(self, self.down, self.up), *self.proxy.to
            )
        except OSError as error:
            log.info("connection=%d not_connected=%s", self.number, error)
            self.reset()

    def finished(self) -> None:
        if self.up.finished and self.down.finished:
            self.close()

    def close(self) -> None:
        self.over = True
        for transport in self.transports:
            transport.close()

    def reset(self) -> None:
        self.over = True
        for transport in self.transports:
            reset(transport)

    def lost(self) -> None:
        self.open -= 1
        if not self.open:
            self.proxy.links.pop(self, None)


class Proxy:
    """`await start()`, then `address` is where it listens; `await stop()` resets what still runs."""

    def __init__(
        self,
        listen: Address,
        to: Address,
        plan: Plan | Replay,
        seed: int,
        clock: Callable[[], int],
        told: Callable[[Fault, list[int]], None] = lambda fault, ports: None,
    ):
        self.listen, self.to, self.plan, self.seed, self.clock = listen, to, plan, seed, clock
        self.record, self.told = Record(), told
        self.links: dict[Link, None] = {}
        self.connections = 0
        self.address = listen

    async def start(self) -> None:
        """Raises OSError where the address is taken."""
        self.loop = asyncio.get_running_loop()
        self.server = await self.loop.create_server(self.accept, *self.listen, backlog=1024)
        self.address = self.server.sockets[0].getsockname()[:2]

    def accept(self) -> Side:
        self.connections += 1
        link = Link(self, self.connections)
        self.links[link] = None
        return Side(link, link.up, link.down)

    def impose(
        self, kind: Kind, direction: str, size: int = 0, ms: int = 0, rate: int = 0, mask: int = 1
    ) -> None:
        """From now on, wherever each connection is, and on each that comes: for faults by time, which a plan of bytes can't say."""
        self.plan = Imposed(self.plan, (kind, direction, size, ms, rate, mask))
        for link in list(self.links):
            for way in ways(direction):
                towards = link.up if way == "up" else link.down
                towards.strike(
                    Fault(link.number, way, towards.stream.at, kind, size, ms, rate, mask)
                )

    def lift(self) -> None:
        """All that was imposed. Connections that bytes were taken out of can't go on: they are reset."""
        if isinstance(self.plan, Imposed):
            self.plan = self.plan.first()
            for link in list(self.links):
                link.reset()

    async def stop(self) -> None:
        self.server.close()
        for link in list(self.links):
            link.reset()
        await asyncio.sleep(0)


class Imposed:
    """A plan, and what was laid over it while it ran."""

    def __init__(self, plan: "Plan | Replay | Imposed", what: tuple):
        self.plan, self.what = plan, what

    def first(self) -> Plan | Replay:
        return self.plan.first() if isinstance(self.plan, Imposed) else self.plan

    def for_connection(self, number: int, seed: int) -> list[Fault]:
        kind, direction, *more = self.what
        return [
            *self.plan.for_connection(number, seed),
            *(Fault(number, way, 0, kind, *more) for way in ways(direction)),
        ]


class Inner(asyncio.DatagramProtocol):
    """The socket by which one peer's datagrams go on, and the answers come back."""

    def __init__(self, proxy: "DatagramProxy", peer: Address, number: int):
        self.proxy, self.peer, self.number = proxy, peer, number
        self.early: list[bytes] = []
        self.transport: asyncio.DatagramTransport | None = None
        plan, seed = proxy.plan, proxy.seed
        self.up = Datagrams(lambda n: plan.for_datagram(number, "up", n, seed), proxy.strike)
        self.down = Datagrams(lambda n: plan.for_datagram(number, "down", n, seed), proxy.strike)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self.transport = transport
        for data in self.early:
            transport.sendto(data)
        self.early.clear()

    def datagram_received(self, data: bytes, sender: Address) -> None:
        self.proxy.send(
            self.down.feed(self.proxy.clock(), data),
            lambda d: self.proxy.transport.sendto(d, self.peer),
        )

    def say(self, data: bytes) -> None:
        if self.transport is None:
            self.early.append(data)
        else:
            self.transport.sendto(data)


class DatagramProxy(asyncio.DatagramProtocol):
    """The same for UDP: peers count in the order in which they first spoke, datagrams for each peer and direction."""

    def __init__(
        self,
        listen: Address,
        to: Address,
        plan: Plan | Replay,
        seed: int,
        clock: Callable[[], int],
        told: Callable[[Fault, list[int]], None] = lambda fault, ports: None,
    ):
        self.listen, self.to, self.plan, self.seed, self.clock = listen, to, plan, seed, clock
        self.record, self.told = Record(), told
        self.peers: dict[Address, Inner] = {}
        self.on_the_way = self.left_out = 0
        self.tasks: set[asyncio.Task] = set()
        self.address = listen

    def strike(self, fault: Fault) -> None:
        self.record.add(fault)
        self.told(fault, [])

    @property
    def connections(self) -> int:
        return len(self.peers)

    async def start(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.transport, _ = await self.loop.create_datagram_endpoint(
            lambda: self, local_addr=self.listen
        )
        self.address = self.transport.get_extra_info("sockname")[:2]

    def datagram_received(self, data: bytes, sender: Address) -> None:
        inner = self.peers.get(sender)
        if inner is None:
            if len(self.peers) >= PEERS:
                self.left_out += 1
                return
            inner = self.peers[sender] = Inner(self, sender, len(self.peers) + 1)
            task = self.loop.create_task(
                self.loop.create_datagram_endpoint(lambda: inner, remote_addr=self.to)
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        self.send(inner.up.feed(self.clock(), data), inner.say)

    def send(self, steps: list[Write], say: Callable[[bytes], None]) -> None:
        for step in steps:
            wait = step.at - self.clock()
            if wait <= 0:
                say(step.data)
            elif self.on_the_way < DATAGRAMS_HELD:
                self.on_the_way += 1
                self.loop.call_later(wait / SECOND, self.arrive, say, step.data)
            else:
                self.left_out += 1

    def arrive(self, say: Callable[[bytes], None], data: bytes) -> None:
        self.on_the_way -= 1
        if not self.transport.is_closing():
            say(data)

    async def stop(self) -> None:
        self.transport.close()
        for inner in self.peers.values():
            if inner.transport is not None:
                inner.transport.close()
        await asyncio.sleep(0)
