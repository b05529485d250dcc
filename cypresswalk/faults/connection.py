"""One TCP connection through the proxy: two sockets, and a direction from each to the other.

An end of stream is forwarded as an end of stream and a reset as a reset, after all earlier bytes.
Each direction holds a bounded number of bytes; beyond it the proxy stops reading from the sender.
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
MAX_HELD = 256 << 10  # bytes in one direction: four times the largest read
READ_SIZE = 65536  # bytes
LINGER_ZERO = struct.pack("ii", 1, 0)  # SO_LINGER value with which a close sends a reset


def reset_transport(transport: asyncio.Transport) -> None:
    """Close a socket with a reset."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        with contextlib.suppress(OSError):  # the peer may have reset it
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    transport.abort()


class ConnectionOwner(Protocol):
    """The interface of a proxy that its connections use."""

    plan: FaultPlan
    seed: int
    target: Address
    loop: asyncio.AbstractEventLoop

    def clock(self) -> int:
        """Return the time in nanoseconds."""

    def on_injected(self, fault: Fault, ports: list[int]) -> None:
        """Record a fault that was injected into the connection with these ports."""

    def on_closed(self, connection: "Connection") -> None:
        """Forget a connection whose sockets are both closed."""


class Direction:
    """One direction of a connection, which carries out its stream's steps, each at its time.

    Attributes:
        steps: steps that are not carried out yet.
        held_bytes: number of bytes in these steps.
        source: transport to read from, once it is connected.
        sink: transport to write to, once it is connected.
        blocked: whether the sink's write buffer is full.
        paused: whether reading from the source is paused.
        finished: whether an end of stream was sent.
        timer: timer for the next step or for bytes that the stream holds.
    """

    def __init__(self, connection: "Connection", stream: Stream, loop: asyncio.AbstractEventLoop):
        """Create a direction without sockets."""
        self.connection = connection
        self.stream = stream
        self.loop = loop
        self.steps: deque[Step] = deque()
        self.held_bytes = 0
        self.source: asyncio.Transport | None = None
        self.sink: asyncio.Transport | None = None
        self.blocked = False
        self.paused = False
        self.finished = False
        self.timer: asyncio.TimerHandle | None = None

    def enqueue(self, steps: list[Step]) -> None:
        """Add steps, and run those that are due."""
        for step in steps:
            self.steps.append(step)
            if isinstance(step, Write):
                self.held_bytes += len(step.data)
        self.run_due_steps()

    def run_due_steps(self) -> None:
        """Run all steps that are due, and set a timer for the next."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        while (
            self.steps and not self.blocked and self.sink is not None and not self.connection.closed
        ):
            if self.steps[0].at > self.connection.clock():
                break
            self.run_step(self.steps.popleft(), self.sink)
        now = self.connection.clock()
        due = [self.steps[0].at] if self.steps and not self.blocked else []
        if (join_due := self.stream.due()) is not None:
            due.append(join_due)
        if due and not self.connection.closed and self.sink is not None:
            self.timer = self.loop.call_later(max(min(due) - now, 0) / SECOND, self.on_timer)
        self.apply_backpressure()

    def inject(self, fault: Fault) -> None:
        """Inject a fault at the present offset."""
        now = self.connection.clock()
        self.stream.faults.insert(0, fault)
        steps: list[Step] = []
        self.stream.inject_terminal_faults(now, steps)
        if not self.stream.ended:
            self.stream.inject_other_faults(self.connection.clock())
        self.enqueue(steps)

    def on_timer(self) -> None:
        """Run the steps that are due, including those of the stream's timer."""
        self.timer = None
        self.enqueue(self.stream.on_timer(self.connection.clock()))

    def run_step(self, step: Step, sink: asyncio.Transport) -> None:
        """Run one step."""
        match step:
            case Write(_, data):
                self.held_bytes -= len(data)
                if not sink.is_closing():
                    sink.write(data)
            case Finish():
                self.finished = True
                if sink.is_closing():
                    self.connection.close()  # the receiver has gone already
                elif sink.can_write_eof():
                    sink.write_eof()
                self.connection.on_finished()
            case Close():
                self.connection.close()
            case Reset():
                self.connection.reset()

    def apply_backpressure(self) -> None:
        """Pause reading while too many bytes are held, and resume it afterwards."""
        if self.source is None or self.source.is_closing():
            return
        full = self.held_bytes > MAX_HELD or self.blocked
        if full != self.paused:
            self.paused = full
            if full:
                self.source.pause_reading()
            else:
                self.source.resume_reading()

    def on_end(self) -> None:
        """Forward the sender's end of stream."""
        if not self.stream.ended:
            self.enqueue(self.stream.end(self.connection.clock()))

    def on_reset(self) -> None:
        """Forward the sender's reset after all earlier bytes, but not through a black hole."""
        if not self.stream.ended or self.finished:
            self.stream.ended = True
            last = max((step.at for step in self.steps), default=self.connection.clock())
            self.enqueue([Reset(last)])


class Endpoint(asyncio.Protocol):
    """One of the two sockets. It is read for the direction `incoming` and written by `outgoing`."""

    def __init__(self, connection: "Connection", incoming: Direction, outgoing: Direction):
        """Create the protocol of a socket that is not connected yet."""
        self.connection = connection
        self.incoming = incoming
        self.outgoing = outgoing

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Attach the connected socket to both directions."""
        assert isinstance(transport, asyncio.Transport)  # a stream socket's
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.incoming.source = transport
        self.outgoing.sink = transport
        self.connection.on_connected(transport)

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the incoming direction."""
        self.incoming.enqueue(self.incoming.stream.feed(self.connection.clock(), data))

    def eof_received(self) -> bool:
        """Forward the peer's end of stream; keep the socket open for the other direction."""
        self.incoming.on_end()
        return True

    def pause_writing(self) -> None:
        """Stop writing, since the socket's write buffer is full."""
        self.outgoing.blocked = True
        self.outgoing.apply_backpressure()

    def resume_writing(self) -> None:
        """Continue to write."""
        self.outgoing.blocked = False
        self.outgoing.run_due_steps()

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the end of the socket, which was reset if there is an error."""
        if error is not None and not self.connection.closed:
            self.read_rest()
            # Nothing can be written to this socket any more; the other side gets a reset.
            self.outgoing.steps.clear()
            self.incoming.on_reset()
        self.connection.on_lost()

    def read_rest(self) -> None:
        """Read the bytes that the kernel still holds after a write failed because of a reset.

        The event loop would discard them, and with them an answer that a client without the proxy
        would have read.
        """
        assert self.incoming.source is not None  # the socket was connected
        with (
            contextlib.suppress(OSError),  # nothing is left
            self.incoming.source.get_extra_info("socket").dup() as sock,
        ):
            while not self.incoming.stream.ended and (data := sock.recv(READ_SIZE)):
                self.data_received(data)


class Connection:
    """One connection through the proxy.

    Attributes:
        number: number of the connection from 1, in the order of acceptance.
        closed: whether the proxy has closed or reset it.
        up: direction from the client to the target.
        down: direction from the target to the client.
        transports: the client's socket, then the target's.
        ports: the client's port, then the proxy's port of its connection to the target.
        open_sockets: number of sockets that are open.
    """

    def __init__(self, proxy: ConnectionOwner, number: int):
        """Create a connection without sockets, with the faults that the proxy's plan has for it."""
        self.proxy = proxy
        self.number = number
        self.clock = proxy.clock
        self.closed = False
        faults = proxy.plan.for_connection(number, proxy.seed)
        self.up = self.make_direction("up", faults)
        self.down = self.make_direction("down", faults)
        self.transports: list[asyncio.Transport] = []
        self.ports: list[int] = []
        self.open_sockets = 0

    def make_direction(self, name: str, faults: list[Fault]) -> Direction:
        """Return a direction with those of the connection's faults that belong to it."""
        own = [fault for fault in faults if fault.direction == name]
        return Direction(self, Stream(own, self.on_injected), self.proxy.loop)

    def on_injected(self, fault: Fault) -> None:
        """Report an injected fault to the proxy."""
        self.proxy.on_injected(fault, self.ports)

    def on_connected(self, transport: asyncio.Transport) -> None:
        """Add a connected socket: first the client's, then the target's."""
        self.transports.append(transport)
        name = "sockname" if self.open_sockets else "peername"
        self.ports.append(transport.get_extra_info(name)[1])
        self.open_sockets += 1
        if self.closed:
            reset_transport(transport)
        elif len(self.transports) == 1:
            # The client's bytes stay in the kernel until the target is connected.
            transport.pause_reading()
            self.task = self.proxy.loop.create_task(self.connect())
        else:
            self.transports[0].resume_reading()
            for direction in (self.up, self.down):
                direction.enqueue(direction.stream.start(self.clock()))

    async def connect(self) -> None:
        """Connect to the target; reset the client if that fails."""
        try:
            await self.proxy.loop.create_connection(
                lambda: Endpoint(self, self.down, self.up), *self.proxy.target
            )
        except OSError as error:
            log.info("event=target_not_connected connection=%d error=%s", self.number, error)
            self.reset()

    def on_finished(self) -> None:
        """Close the connection if both directions have sent an end of stream."""
        if self.up.finished and self.down.finished:
            self.close()

    def close(self) -> None:
        """Close both sockets."""
        self.closed = True
        for transport in self.transports:
            transport.close()

    def reset(self) -> None:
        """Reset both sockets."""
        self.closed = True
        for transport in self.transports:
            reset_transport(transport)

    def on_lost(self) -> None:
        """Count a closed socket, and notify the proxy once both are closed."""
        self.open_sockets -= 1
        if not self.open_sockets:
            self.proxy.on_closed(self)
