"""One TCP connection through the proxy: two sockets, and a direction from each to the other.

An end of stream is passed on as that and a reset as a reset, after all that came before it. Each
direction holds a bounded number of bytes: beyond it the sender is not read.
"""

import asyncio
import contextlib
import logging
import socket
import struct
from collections import deque
from typing import Protocol

from cypresswalk.faults.kinds import Fault
from cypresswalk.faults.plan import FaultPlan
from cypresswalk.faults.stream import SECOND, Close, Finish, Reset, Step, Stream, Write

log = logging.getLogger(__name__)
Address = tuple[str, int]
MAX_HELD = 256 << 10  # bytes in one direction: four times what one read brings
READ_SIZE = 65536  # bytes
LINGER_ZERO = struct.pack("ii", 1, 0)  # a close sends a reset


def reset_transport(transport: asyncio.Transport) -> None:
    """Closes a socket with a reset."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        with contextlib.suppress(OSError):  # its peer has reset it
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    transport.abort()


class ConnectionOwner(Protocol):
    """What a connection needs of its proxy."""

    plan: FaultPlan
    seed: int
    to: Address
    loop: asyncio.AbstractEventLoop

    def clock(self) -> int:
        """Nanoseconds."""

    def on_injected(self, fault: Fault, ports: list[int]) -> None:
        """A fault was injected into the connection with these ports."""

    def on_closed(self, connection: "Connection") -> None:
        """Both sockets are closed."""


class Direction:
    """One direction of a connection: takes its stream's steps, each at its time.

    Attributes:
        source: the socket that is read, once it is connected.
        sink: the socket that is written, once it is connected.
        blocked: the sink takes no more for now.
        finished: an end of stream has gone out.
    """

    def __init__(self, connection: "Connection", stream: Stream, loop: asyncio.AbstractEventLoop):
        """Has no sockets yet."""
        self.connection = connection
        self.stream = stream
        self.loop = loop
        self.steps: deque[Step] = deque()
        self.held = 0  # bytes
        self.source: asyncio.Transport | None = None
        self.sink: asyncio.Transport | None = None
        self.blocked = False
        self.paused = False
        self.finished = False
        self.timer: asyncio.TimerHandle | None = None

    def enqueue(self, steps: list[Step]) -> None:
        """Adds steps, and takes those that are due."""
        for step in steps:
            self.steps.append(step)
            if isinstance(step, Write):
                self.held += len(step.data)
        self.take_due()

    def take_due(self) -> None:
        """Takes all steps that are due, and sets a timer for the next."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        while (
            self.steps and not self.blocked and self.sink is not None and not self.connection.over
        ):
            if self.steps[0].at > self.connection.clock():
                break
            self.take(self.steps.popleft(), self.sink)
        now = self.connection.clock()
        due = [self.steps[0].at] if self.steps and not self.blocked else []
        if (join_due := self.stream.due()) is not None:
            due.append(join_due)
        if due and not self.connection.over and self.sink is not None:
            self.timer = self.loop.call_later(max(min(due) - now, 0) / SECOND, self.wake)
        self.pace()

    def inject(self, fault: Fault) -> None:
        """Injects a fault here and now."""
        now = self.connection.clock()
        self.stream.faults.insert(0, fault)
        steps: list[Step] = []
        self.stream.inject_ends(now, steps)
        if not self.stream.over:
            self.stream.inject_changes(self.connection.clock())
        self.enqueue(steps)

    def wake(self) -> None:
        """The timer has run out."""
        self.timer = None
        self.enqueue(self.stream.wake(self.connection.clock()))

    def take(self, step: Step, sink: asyncio.Transport) -> None:
        """Takes one step."""
        match step:
            case Write(_, data):
                self.held -= len(data)
                if not sink.is_closing():
                    sink.write(data)
            case Finish():
                self.finished = True
                if sink.is_closing():
                    self.connection.close()  # nobody is left to hear of it
                elif sink.can_write_eof():
                    sink.write_eof()
                self.connection.on_finished()
            case Close():
                self.connection.close()
            case Reset():
                self.connection.reset()

    def pace(self) -> None:
        """Stops reading while too much is held, and starts again."""
        if self.source is None or self.source.is_closing():
            return
        full = self.held > MAX_HELD or self.blocked
        if full != self.paused:
            self.paused = full
            if full:
                self.source.pause_reading()
            else:
                self.source.resume_reading()

    def on_end(self) -> None:
        """The sender has ended its side."""
        if not self.stream.over:
            self.enqueue(self.stream.end(self.connection.clock()))

    def on_reset(self) -> None:
        """The sender has reset: passed on after what came before, but not through a black hole."""
        if not self.stream.over or self.finished:
            self.stream.over = True
            last = max((step.at for step in self.steps), default=self.connection.clock())
            self.enqueue([Reset(last)])


class Endpoint(asyncio.Protocol):
    """One of the two sockets: feeds the direction `incoming`, is written by `outgoing`."""

    def __init__(self, connection: "Connection", incoming: Direction, outgoing: Direction):
        """Is not connected yet."""
        self.connection = connection
        self.incoming = incoming
        self.outgoing = outgoing

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is connected."""
        assert isinstance(transport, asyncio.Transport)  # of a stream socket
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.incoming.source = transport
        self.outgoing.sink = transport
        self.connection.on_connected(transport)

    def data_received(self, data: bytes) -> None:
        """Bytes have come in."""
        self.incoming.enqueue(self.incoming.stream.feed(self.connection.clock(), data))

    def eof_received(self) -> bool:
        """The peer has ended its side; the socket stays open for the other direction."""
        self.incoming.on_end()
        return True

    def pause_writing(self) -> None:
        """The socket takes no more for now."""
        self.outgoing.blocked = True
        self.outgoing.pace()

    def resume_writing(self) -> None:
        """The socket takes more."""
        self.outgoing.blocked = False
        self.outgoing.take_due()

    def connection_lost(self, error: Exception | None) -> None:
        """The socket is closed, by a reset if there is an error."""
        if error is not None and not self.connection.over:
            self.read_rest()
            # Nobody is left to write to: the other side hears of that by the reset alone.
            self.outgoing.steps.clear()
            self.incoming.on_reset()
        self.connection.on_lost()

    def read_rest(self) -> None:
        """Reads what the kernel still holds after a write met a reset.

        The event loop would throw it away, and with it an answer that a client without the proxy
        would have read.
        """
        assert self.incoming.source is not None  # it was connected
        with (
            contextlib.suppress(OSError),  # nothing is left
            self.incoming.source.get_extra_info("socket").dup() as sock,
        ):
            while not self.incoming.stream.over and (data := sock.recv(READ_SIZE)):
                self.data_received(data)


class Connection:
    """One connection through the proxy.

    Attributes:
        number: from 1, in the order of acceptance.
        over: it was closed or reset by the proxy.
        ports: by which each end knows the connection: its caller's, then the proxy's own.
    """

    def __init__(self, proxy: ConnectionOwner, number: int):
        """Has no sockets yet; its faults are those of the proxy's plan."""
        self.proxy = proxy
        self.number = number
        self.clock = proxy.clock
        self.over = False
        faults = proxy.plan.for_connection(number, proxy.seed)
        self.up = self.direction("up", faults)
        self.down = self.direction("down", faults)
        self.transports: list[asyncio.Transport] = []
        self.ports: list[int] = []
        self.open_count = 0

    def direction(self, name: str, faults: list[Fault]) -> Direction:
        """A direction with those of the faults that are its own."""
        own = [fault for fault in faults if fault.direction == name]
        return Direction(self, Stream(own, self.on_injected), self.proxy.loop)

    def on_injected(self, fault: Fault) -> None:
        """A fault was injected."""
        self.proxy.on_injected(fault, self.ports)

    def on_connected(self, transport: asyncio.Transport) -> None:
        """The first socket is the caller's; the second is the target's."""
        self.transports.append(transport)
        name = "sockname" if self.open_count else "peername"
        self.ports.append(transport.get_extra_info(name)[1])
        self.open_count += 1
        if self.over:
            reset_transport(transport)
        elif len(self.transports) == 1:
            # What the caller says waits in the kernel until there is somebody to pass it to.
            transport.pause_reading()
            self.task = self.proxy.loop.create_task(self.connect())
        else:
            self.transports[0].resume_reading()
            for direction in (self.up, self.down):
                direction.enqueue(direction.stream.start(self.clock()))

    async def connect(self) -> None:
        """Connects to the target; a refusal resets the caller."""
        try:
            await self.proxy.loop.create_connection(
                lambda: Endpoint(self, self.down, self.up), *self.proxy.to
            )
        except OSError as error:
            log.info("event=target_not_connected connection=%d error=%s", self.number, error)
            self.reset()

    def on_finished(self) -> None:
        """An end of stream has gone out in one direction."""
        if self.up.finished and self.down.finished:
            self.close()

    def close(self) -> None:
        """Closes both sockets."""
        self.over = True
        for transport in self.transports:
            transport.close()

    def reset(self) -> None:
        """Resets both sockets."""
        self.over = True
        for transport in self.transports:
            reset_transport(transport)

    def on_lost(self) -> None:
        """One of the sockets is closed."""
        self.open_count -= 1
        if not self.open_count:
            self.proxy.on_closed(self)
