"""The driver of simulated clients on sockets."""

import asyncio
import contextlib
from dataclasses import dataclass, field
from random import Random

from cypresswalk.lab.clients import Client
from cypresswalk.lab.testbed.bed import ScenarioTestBed
from cypresswalk.lab.testbed.streams import (
    CONNECTION_ENDS,
    MAX_LINE_BYTES,
    decode_line,
    reset,
    set_nodelay,
)
from cypresswalk.lab.units import MILLISECOND, SECOND

# Clients wait this much longer than their timeout, so that a late answer is observed as late.
LATE_ANSWER_S = 0.3
SECOND_ANSWER_S = 1  # wait for a second answer
LAST_LINES_S = 1  # wait for lines after the client ended the connection
OWN_END = "own"
MOVE_LINE = "MOVE"  # sent by a balancer, or by a server and relayed by the balancer


@dataclass(slots=True)
class ConnectionResult:
    """The result of one connection of a client.

    Attributes:
        ended: The way in which an established connection ended; empty if it was not established.
        retry_after: The wait that a rejection named, in nanoseconds; None if it named none.
    """

    ended: str = ""
    retry_after: int | None = None


@dataclass(slots=True)
class ClientConnection:
    """One connection of a client to a balancer.

    Attributes:
        end: The time until which the client wants to be served, in nanoseconds.
        lines_sent: The lines sent.
        lines_received: The lines received.
        awaited_echoes: The sending time of each line whose echo has not come yet, in nanoseconds.
    """

    client: Client
    flow: str
    balancer: str
    end: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    lines_sent: list[str] = field(default_factory=list)
    lines_received: list[str] = field(default_factory=list)
    awaited_echoes: dict[str, int] = field(default_factory=dict)


class ClientDriver:
    """A driver that connects each client and retries or reconnects as its behaviour says.

    Attributes:
        established: The writers of established connections by flow id.
        latest_id: The flow id sent last, for misbehaving clients to repeat.
    """

    def __init__(self, testbed: ScenarioTestBed):
        """Start without clients."""
        self.testbed = testbed
        self.established: dict[str, asyncio.StreamWriter] = {}
        self.latest_id = ""

    async def run(self, client: Client, began: int) -> None:
        """Run one client from its arrival on."""
        testbed = self.testbed
        await testbed.sleep_until(began + client.arrives_at)
        end = testbed.now() + client.lifetime
        extra_fields = ""
        testbed.observe(
            "comes",
            "",
            client.zone,
            person=client.number,
            type=client.type.name,
            customer=client.tenant,
            life_ms=client.lifetime // MILLISECOND,
        )
        behaviour = testbed.experiment.clients
        while testbed.now() < end:
            result = await self._connect(client, end, extra_fields)
            if result.ended == OWN_END:
                break
            if result.ended:
                wait = client.delay_after_disconnect(behaviour)
            else:
                wait = client.delay_after_rejection(behaviour, result.retry_after)
            if wait is None:
                break
            extra_fields = ",again=1" if result.ended else ",r=1"
            await asyncio.sleep(wait / SECOND)

    async def _connect(self, client: Client, end: int, extra_fields: str) -> ConnectionResult:
        """Run one connection; append `extra_fields` to its opening line."""
        testbed = self.testbed
        balancer = testbed.edges[client.zone].pick()
        if balancer is None:
            testbed.observe("nobody", "", client.zone, person=client.number)
            return ConnectionResult()
        address = testbed.balancer_addresses[balancer]
        try:
            reader, writer = await asyncio.open_connection(*address, limit=MAX_LINE_BYTES)
        except OSError:
            testbed.observe("refused", "", balancer, person=client.number)
            return ConnectionResult()
        return await self.send_flow(client, balancer, reader, writer, end, extra_fields)

    async def send_flow(
        self,
        client: Client,
        balancer: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        end: int,
        extra_fields: str = "",
    ) -> ConnectionResult:
        """Send a flow's opening line on an open connection, and run the flow to its end."""
        connection = ClientConnection(client, client.next_id(), balancer, end, reader, writer)
        try:
            set_nodelay(writer)
            self._send_opening(connection, extra_fields)
            return await self._await_answer(connection)
        finally:
            self.established.pop(connection.flow, None)
            writer.close()

    def _send_opening(self, connection: ClientConnection, extra_fields: str) -> None:
        client = connection.client
        flow_type = client.type
        group = f",g={client.group}" if client.group else ""
        connection.writer.write(
            f"OPEN {connection.flow} k{client.number} c={flow_type.name},t={client.tenant},"
            f"d={flow_type.timeout_ms:g},h={client.load:.3f}{group}{extra_fields}\r\n".encode()
        )
        self.latest_id = connection.flow
        self.testbed.observe(
            "sent",
            connection.flow,
            connection.balancer,
            type=flow_type.name,
            wait_ms=flow_type.timeout_ms,
            person=client.number,
            port=connection.writer.get_extra_info("sockname")[1],
        )

    async def _await_answer(self, connection: ClientConnection) -> ConnectionResult:
        client = connection.client
        flow = connection.flow
        balancer = connection.balancer
        limit_s = client.type.timeout_ms / 1000 + LATE_ANSWER_S
        leaves = bool(client.leaves_after) and client.connections == 1
        wait_s = min(client.leaves_after / SECOND, limit_s) if leaves else limit_s
        try:
            line = await asyncio.wait_for(connection.reader.readline(), wait_s)
        except TimeoutError:
            self.testbed.observe("left" if leaves else "waited", flow, balancer)
            return ConnectionResult()
        except CONNECTION_ENDS:
            self.testbed.observe("ended", flow, balancer, how="reset")
            return ConnectionResult()
        if not line.endswith(b"\n"):
            # The connection ended without an answer or in the middle of one.
            self.testbed.observe("ended", flow, balancer, how="end")
            return ConnectionResult()
        return await self._on_answer(connection, decode_line(line))

    async def _on_answer(self, connection: ClientConnection, text: str) -> ConnectionResult:
        kind = kind_of_answer(text)
        self.testbed.observe(
            "answer",
            connection.flow,
            connection.balancer,
            kind=kind,
            line=text,
            person=connection.client.number,
        )
        if kind == "up":
            self.established[connection.flow] = connection.writer
            return ConnectionResult(ended=await self._run_established(connection))
        await self._watch_for_second_answer(connection)
        return ConnectionResult(retry_after=retry_after_of(text) if kind == "busy" else None)

    async def _watch_for_second_answer(self, connection: ClientConnection) -> None:
        """Wait for the connection's end after a rejection; record a further line as an answer."""
        with contextlib.suppress(*CONNECTION_ENDS):  # includes TimeoutError, an OSError
            line = await asyncio.wait_for(connection.reader.readline(), SECOND_ANSWER_S)
            if line:
                text = line.decode("ascii", "replace").strip()
                flow = connection.flow
                self.testbed.observe("answer", flow, connection.balancer, kind="failed", line=text)

    async def _run_established(self, connection: ClientConnection) -> str:
        """Exchange lines on an established connection; return how it ended."""
        connection.client.rejections = 0
        how = OWN_END
        try:
            how = await self._exchange_lines(connection)
            if how == OWN_END:
                connection.writer.write_eof()
                await self._read_last_lines(connection)
        except TimeoutError:
            pass  # the connection stayed open for LAST_LINES_S after the client's own end
        except CONNECTION_ENDS:
            # A reset after the client's own end does not matter.
            if self.testbed.now() < connection.end:
                how = "cut" if connection.writer.transport.is_closing() else "reset"
        number = connection.client.number
        self.testbed.observe("ended", connection.flow, connection.balancer, how=how, person=number)
        self.testbed.observe(
            "lines",
            connection.flow,
            connection.balancer,
            side="client",
            said=connection.lines_sent,
            heard=connection.lines_received,
            number=0,
        )
        return how

    async def _read_last_lines(self, connection: ClientConnection) -> None:
        """Read the lines that were on the way to the client when it ended the connection.

        A balancer that drains may have sent MOVE before it noticed the client's end; that is not a
        line of the server.
        """
        while line := await asyncio.wait_for(connection.reader.readline(), LAST_LINES_S):
            text = decode_line(line)
            if text != MOVE_LINE:
                connection.lines_received.append(text)

    async def _exchange_lines(self, connection: ClientConnection) -> str:
        """Send lines and read echoes until the connection ends; return how it ended."""
        interval = int(self.testbed.experiment.clients.line_ms * MILLISECOND)
        next_line_at = self.testbed.now() + connection.client.random.randrange(interval)
        while (now := self.testbed.now()) < connection.end:
            if now >= next_line_at:
                self._send_line(connection, now)
                next_line_at = max(next_line_at + interval, now)
                continue
            wait = min(next_line_at, connection.end) - now
            try:
                line = await asyncio.wait_for(connection.reader.readline(), wait / SECOND)
            except TimeoutError:
                continue
            if not line:
                return "cut" if connection.writer.transport.is_closing() else "end"
            text = decode_line(line)
            if text == MOVE_LINE:
                return "move"
            connection.lines_received.append(text)
            if text == "BYE":
                return "bye"
            if text in connection.awaited_echoes:
                self._on_echo(connection, text)
        return OWN_END

    def _send_line(self, connection: ClientConnection, now: int) -> None:
        text = f"M {len(connection.lines_sent)}"
        connection.lines_sent.append(text)
        connection.awaited_echoes[text] = now
        connection.writer.write(text.encode() + b"\r\n")

    def _on_echo(self, connection: ClientConnection, text: str) -> None:
        took = self.testbed.now() - connection.awaited_echoes.pop(text)
        self.testbed.observe(
            "echo",
            connection.flow,
            connection.balancer,
            took_ms=took / MILLISECOND,
            person=connection.client.number,
        )

    def cut_connections(self, share: float) -> None:
        """Reset a share of the established connections, like a network failure."""
        random = Random(f"{self.testbed.seed}/cut/{len(self.testbed.observations)}")
        for flow, writer in list(self.established.items()):
            if random.random() < share:
                self.testbed.observe("left", flow, "", cut=True)
                reset(writer)


def kind_of_answer(text: str) -> str:
    """Return the kind of an answer: "up", "busy" or "failed"."""
    if text.startswith("UP "):
        return "up"
    return "busy" if text.split(" ")[0] == "BUSY" else "failed"


def retry_after_of(text: str) -> int | None:
    """Return the wait that a rejection names, in nanoseconds; None if it names none."""
    words = text.split(" ")[1:]
    if words and words[0].isdecimal():
        return int(words[0]) * MILLISECOND
    return None
