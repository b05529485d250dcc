"""The driver of a simulated server on sockets."""

import asyncio
from functools import partial
from random import Random

from cypresswalk.lab.servers import Reply, SimulatedServer
from cypresswalk.lab.testbed.bed import ScenarioTestBed
from cypresswalk.lab.testbed.streams import (
    CONNECTION_ENDS,
    LOOPBACK,
    MAX_LINE_BYTES,
    reset,
    set_nodelay,
)
from cypresswalk.lab.units import MILLISECOND, SECOND

LISTEN_BACKLOG = 512  # connections
WORK_INTERVAL_S = 0.25
LOAD_REPORT_EVERY = 4  # work intervals
REPORT_THRESHOLD_DIVISOR = 3  # reports delays above 1/3 of the tightest message latency objective


class ServerConnection:
    """A connection established at a server, and the lines exchanged on it."""

    __slots__ = (
        "number",
        "flow",
        "writer",
        "lines_sent",
        "lines_received",
        "last_echo_at",
        "ended_by_server",
    )

    def __init__(self, number: int, flow: str, writer: asyncio.StreamWriter):
        """Start without any lines exchanged."""
        self.number = number
        self.flow = flow
        self.writer = writer
        self.lines_sent: list[str] = []
        self.lines_received: list[str] = []
        self.last_echo_at = 0
        self.ended_by_server = False

    def send_line(self, text: str) -> None:
        """Send a line, unless the connection has ended."""
        if not self.ended_by_server and not self.writer.transport.is_closing():
            self.lines_sent.append(text)
            self.writer.write(text.encode() + b"\r\n")


class ServerDriver:
    """One server on sockets.

    It listens on one port per balancer. The port identifies the balancer, which determines the
    one-way delay.
    """

    def __init__(self, testbed: ScenarioTestBed, model: SimulatedServer):
        """Prepare the driver; it does not listen yet."""
        self.testbed = testbed
        self.model = model
        self.ports: dict[str, int] = {}
        self.listeners: list[asyncio.Server] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.connections: dict[int, ServerConnection] = {}
        self.reported_delay = False

    # Listening and reading.

    async def listen(self) -> None:
        """Listen on one port per balancer; after a restart, on the same ports as before.

        If another process has taken a port, record a failure of the lab.
        """
        for balancer in self.testbed.balancers:
            port = self.ports.get(balancer)
            try:
                listener = await asyncio.start_server(
                    partial(self._accept, balancer),
                    LOOPBACK,
                    port or 0,
                    backlog=LISTEN_BACKLOG,
                    limit=MAX_LINE_BYTES,
                )
            except OSError as error:
                self.testbed.failures.append(f"{self.model.name} can't listen at {port}: {error}")
                return
            if port is None:
                await self._publish(balancer, listener.sockets[0].getsockname()[1])
            self.listeners.append(listener)

    async def _publish(self, balancer: str, port: int) -> None:
        """Store a port and its address for a balancer: a fault proxy's if faults are planned."""
        self.ports[balancer] = port
        plan = self.testbed.experiment.connection_faults.servers
        address = await self.testbed.with_fault_proxy((LOOPBACK, port), plan, "server")
        self.testbed.server_addresses[self.model.name][balancer] = address

    def _accept(
        self, balancer: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.testbed.spawn(self._serve(balancer, reader, writer))

    async def _serve(
        self, balancer: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            set_nodelay(writer)
            await self._read_requests(balancer, reader, writer)
        except CONNECTION_ENDS:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _read_requests(
        self, balancer: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer health checks until a flow's opening line, then serve the flow."""
        while line := await reader.readline():
            word = line.split(b" ", 1)[0].strip()
            if word in (b"PING", b"STATS"):
                await self._answer_health_check(balancer, word, writer)
            elif word == b"OPEN" and line.endswith(b"\r\n"):
                await self._open(balancer, line.decode().split(), reader, writer)
                return
            else:
                writer.write(b"SYNTAX\r\n")
                shown = repr(line[:80])
                self.testbed.observe("odd_line", "", self.model.name, balancer=balancer, line=shown)
                return

    async def _answer_health_check(
        self, balancer: str, word: bytes, writer: asyncio.StreamWriter
    ) -> None:
        wait = self.model.health_check_delay(self.testbed.now())
        if wait is None:
            return
        one_way = self.testbed.one_way_delay(balancer, self.model)
        await asyncio.sleep((wait + 2 * one_way) / SECOND)
        utilization = self.model.utilization(self.testbed.now())
        report = f" x0={utilization:.3f}" if word == b"STATS" else ""
        writer.write(f"PONG{report}\r\n".encode())

    # Flows.

    async def _open(
        self,
        balancer: str,
        words: list[str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        number = next(self.testbed.connection_numbers)
        values = dict(pair.split("=", 1) for pair in words[3].split(","))
        flow = words[1]
        load = float(values.get("h", 1))
        self.testbed.observe(
            "attempt",
            flow,
            self.model.name,
            balancer=balancer,
            number=number,
            load=load,
            port=writer.get_extra_info("peername")[1],
        )
        reply, wait = self.model.open(self.testbed.now(), number, load, values.get("g", ""))
        if self.model.overloaded:
            self._crash_from_overload()
            return
        try:
            balancer_ended = await self._wait_before_reply(reply, wait, balancer, reader)
            if balancer_ended or not self.model.running:
                # Recorded after a crash as well, to end the pending attempt for the checker.
                kind = "let_go" if self.model.running else "broke"
                self.testbed.observe(kind, flow, self.model.name, number=number, how="reset")
                return
            if self._reply(reply, flow, number, writer):
                connection = ServerConnection(number, flow, writer)
                self.connections[number] = connection
                writer.write(receipt_of(number).encode() + b"\r\n")
                await self._echo(connection, balancer, reader)
        finally:
            self.model.close(self.testbed.now(), number)

    async def _wait_before_reply(
        self, reply: Reply, wait: int, balancer: str, reader: asyncio.StreamReader
    ) -> bool:
        """Wait until the reply is due; return whether the balancer ended the connection first.

        A server that has become silent sends no reply and waits until the balancer disconnects.
        """
        if reply is not Reply.SILENT:
            one_way = self.testbed.one_way_delay(balancer, self.model)
            if await ended_within(reader, wait + 3 * one_way):
                return True
        if reply is Reply.SILENT or self.model.silent or self.model.hanging:
            while await reader.read(MAX_LINE_BYTES):
                pass
            return True
        return False

    def _reply(self, reply: Reply, flow: str, number: int, writer: asyncio.StreamWriter) -> bool:
        """Record the reply, send it unless it is UP, and return whether it is UP."""
        self.testbed.observe(
            "reply",
            flow,
            self.model.name,
            number=number,
            kind=reply.value,
            receipt=receipt_of(number),
        )
        if reply is Reply.RESET:
            reset(writer)
        elif reply is not Reply.UP:
            writer.write(b"BUSY\r\n" if reply is Reply.BUSY else b"ERR\r\n")
        return reply is Reply.UP

    async def _echo(
        self, connection: ServerConnection, balancer: str, reader: asyncio.StreamReader
    ) -> None:
        """Echo each line with the model's delay, until one side ends the connection."""
        try:
            while line := await reader.readline():
                text = line.decode().rstrip("\r\n")
                connection.lines_received.append(text)
                if text == "END":
                    self.end(connection, "bye")
                    return
                self._schedule_echo(connection, balancer, text)
        except CONNECTION_ENDS:
            pass
        finally:
            if not connection.ended_by_server:
                name = self.model.name
                self.testbed.observe("let_go", connection.flow, name, number=connection.number)
            self.connections.pop(connection.number, None)
            self.testbed.observe(
                "lines",
                connection.flow,
                self.model.name,
                side="server",
                said=connection.lines_sent,
                heard=connection.lines_received,
                number=connection.number,
            )

    def _schedule_echo(self, connection: ServerConnection, balancer: str, text: str) -> None:
        wait = self.model.echo_delay(self.testbed.now())
        if wait is None:
            return
        round_trip = 2 * self.testbed.one_way_delay(balancer, self.model)
        # Lines of one connection are echoed in the order in which they came.
        connection.last_echo_at = max(
            connection.last_echo_at, self.testbed.now() + wait + round_trip
        )
        delay = max(connection.last_echo_at - self.testbed.now(), 0)
        asyncio.get_running_loop().call_later(delay / SECOND, connection.send_line, text)

    def end(self, connection: ServerConnection, how: str) -> None:
        """End a connection: send BYE or MOVE and close it ("bye", "move"), or reset it."""
        if connection.ended_by_server:
            return
        if how != "reset":
            connection.send_line("BYE" if how == "bye" else "MOVE")
        connection.ended_by_server = True
        name = self.model.name
        self.testbed.observe("broke", connection.flow, name, number=connection.number, how=how)
        if how == "reset":
            reset(connection.writer)
        else:
            connection.writer.close()

    # Stop and start of its process.

    def _crash_from_overload(self) -> None:
        """Crash because of too much load while cold, and stay down."""
        self.testbed.observe("fell", "", self.model.name)
        self.crash()

    def close(self) -> None:
        """Stop listening."""
        for listener in self.listeners:
            listener.close()
        self.listeners.clear()

    def crash(self) -> None:
        """Stop its process and reset all its connections."""
        name = self.model.name
        self.testbed.observe("server_down", "", name)
        self.model.stop(self.testbed.now())
        self.close()
        for connection in list(self.connections.values()):
            connection.ended_by_server = True
            number = connection.number
            self.testbed.observe("broke", connection.flow, name, number=number, how="reset")
        for writer in list(self.writers):
            reset(writer)

    async def start(self) -> int:
        """Start it cold; return its start time for the list, in milliseconds."""
        now = self.testbed.now()
        self.model.start(now, now)
        self.testbed.observe("server_up", "", self.model.name)
        await self.listen()
        return now // MILLISECOND

    async def run_periodic_work(self) -> None:
        """Drop a connection if the backlog is too long, and report long delays, until cancelled.

        A report goes to one random connection; the first short delay after long ones is reported as
        well.
        """
        objectives = [t.message_latency_objective_ms for t in self.testbed.experiment.types]
        min_reported_ms = min(objectives) / REPORT_THRESHOLD_DIVISOR
        random = Random(f"{self.testbed.seed}/load/{self.model.name}")
        while True:
            await asyncio.sleep(WORK_INTERVAL_S)
            number = self.model.connection_to_drop(self.testbed.now())
            if number is not None and number in self.connections:
                self.end(self.connections[number], "reset")
                self.model.close(self.testbed.now(), number)
            if self._load_report_due():
                delay_ms = self.model.delay(self.testbed.now()) / MILLISECOND
                late = delay_ms > min_reported_ms
                if late or self.reported_delay:
                    self.reported_delay = late
                    connection = random.choice(list(self.connections.values()))
                    connection.send_line(f"LOAD {delay_ms:.1f}")

    def _load_report_due(self) -> bool:
        """Return whether the server reports its load in this work interval."""
        interval = self.testbed.now() // int(WORK_INTERVAL_S * SECOND)
        if interval % LOAD_REPORT_EVERY or not self.connections:
            return False
        return self.model.echo_delay(self.testbed.now()) is not None


def receipt_of(number: int) -> str:
    """Return the line with which a server accepts a flow."""
    return f"UP r{number}"


async def ended_within(reader: asyncio.StreamReader, wait: int) -> bool:
    """Return whether the peer ends a connection within `wait` nanoseconds."""
    try:
        return not await asyncio.wait_for(reader.readline(), wait / SECOND)
    except TimeoutError:
        return False
    except CONNECTION_ENDS:
        return True
