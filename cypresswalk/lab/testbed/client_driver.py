"""The driver of simulated clients on sockets."""

import asyncio
import contextlib
from dataclasses import dataclass, field
from random import Random

from cypresswalk.lab.clients import Client
from cypresswalk.lab.testbed.bed import Bed
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
        said: The lines sent.
        heard: The lines received.
        unanswered: The sending time of each line whose echo has not come yet, in nanoseconds.
    """

    client: Client
    flow: str
    balancer: str
    end: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    said: list[str] = field(default_factory=list)
    heard: list[str] = field(default_factory=list)
    unanswered: dict[str, int] = field(default_factory=dict)


class ClientDriver:
    """A driver that connects each client and retries or reconnects as its behaviour says.

    Attributes:
        established: The writers of established connections by flow id.
        latest_id: The flow id sent last, for misbehaving clients to repeat.
    """

    def __init__(self, bed: Bed):
        """Start without clients."""
        self.bed = bed
        self.established: dict[str, asyncio.StreamWriter] = {}
        self.latest_id = ""

    async def run(self, client: Client, began: int) -> None:
        """Run one client from its arrival on."""
        bed = self.bed
        await bed.sleep_until(began + client.arrives_at)
        end = bed.now() + client.lifetime
        marks = ""
        bed.observe(
            "comes",
            "",
            client.zone,
            person=client.number,
            type=client.type.name,
            customer=client.tenant,
            life_ms=client.lifetime // MILLISECOND,
        )
        habits = bed.experiment.clients
        while bed.now() < end:
            result = await self._connect(client, end, marks)
            if result.ended == OWN_END:
                break
            if result.ended:
                wait = client.delay_after_disconnect(habits)
            else:
                wait = client.delay_after_rejection(habits, result.retry_after)
            if wait is None:
                break
            marks = ",again=1" if result.ended else ",r=1"
            await asyncio.sleep(wait / SECOND)

    async def _connect(self, client: Client, end: int, marks: str) -> ConnectionResult:
        """Run one connection; append `marks` to its opening line."""
        bed = self.bed
        balancer = bed.edges[client.zone].pick()
        if balancer is None:
            bed.observe("nobody", "", client.zone, person=client.number)
            return ConnectionResult()
        address = bed.balancer_addresses[balancer]
        try:
            reader, writer = await asyncio.open_connection(*address, limit=MAX_LINE_BYTES)
        except OSError:
            bed.observe("refused", "", balancer, person=client.number)
            return ConnectionResult()
        return await self.send_flow(client, balancer, reader, writer, end, marks)

    async def send_flow(
        self,
        client: Client,
        balancer: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        end: int,
        marks: str = "",
    ) -> ConnectionResult:
        """Send a flow's opening line on an open connection, and run the flow to its end."""
        connection = ClientConnection(client, client.next_id(), balancer, end, reader, writer)
        try:
            set_nodelay(writer)
            self._send_opening(connection, marks)
            return await self._await_answer(connection)
        finally:
            self.established.pop(connection.flow, None)
            writer.close()

    def _send_opening(self, connection: ClientConnection, marks: str) -> None:
        client = connection.client
        flow_type = client.type
        group = f",g={client.group}" if client.group else ""
        connection.writer.write(
            f"OPEN {connection.flow} k{client.number} c={flow_type.name},t={client.tenant},"
            f"d={flow_type.timeout_ms:g},h={client.load:.3f}{group}{marks}\r\n".encode()
        )
        self.latest_id = connection.flow
        self.bed.observe(
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
            self.bed.observe("left" if leaves else "waited", flow, balancer)
            return ConnectionResult()
        except CONNECTION_ENDS:
            self.bed.observe("ended", flow, balancer, how="reset")
            return ConnectionResult()
        if not line.endswith(b"\n"):
            # The connection ended without an answer or in the middle of one.
            self.bed.observe("ended", flow, balancer, how="end")
            return ConnectionResult()
        return await self._on_answer(connection, decode_line(line))

    async def _on_answer(self, connection: ClientConnection, text: str) -> ConnectionResult:
        kind = kind_of_answer(text)
        self.bed.observe(
            "answer",
            connection.flow,
            connection.balancer,
            kind=kind,
            line=text,
            person=connection.client.number,
        )
        if kind == "up":
            self.established[connection.flow] = connection.writer
            return ConnectionResult(ended=await self._talk(connection))
        await self._watch_for_second_answer(connection)
        return ConnectionResult(retry_after=retry_after_of(text) if kind == "busy" else None)

    async def _watch_for_second_answer(self, connection: ClientConnection) -> None:
        """Wait for the connection's end after a rejection; record a further line as an answer."""
        with contextlib.suppress(*CONNECTION_ENDS):  # includes TimeoutError, an OSError
            line = await asyncio.wait_for(connection.reader.readline(), SECOND_ANSWER_S)
            if line:
                text = line.decode("ascii", "replace").strip()
                flow = connection.flow
                self.bed.observe("answer", flow, connection.balancer, kind="failed", line=text)

    async def _talk(self, connection: ClientConnection) -> str:
        """Exchange lines on an established connection; return how it ended."""
        connection.client.rejections = 0
        how = OWN_END
        try:
            how = await self._exchange_lines(connection)
            if how == OWN_END:
                connection.writer.write_eof()
                await self._hear_last_lines(connection)
        except TimeoutError:
            pass
        except CONNECTION_ENDS:
            # A reset after the client's own end does not matter.
            if self.bed.now() < connection.end:
                how = "cut" if connection.writer.transport.is_closing() else "reset"
        number = connection.client.number
        self.bed.observe("ended", connection.flow, connection.balancer, how=how, person=number)
        self.bed.observe(
            "lines",
            connection.flow,
            connection.balancer,
            side="client",
            said=connection.said,
            heard=connection.heard,
            number=0,
        )
        return how

    async def _hear_last_lines(self, connection: ClientConnection) -> None:
        """Read the lines that were on the way to the client when it ended the connection.

        A balancer that drains may have sent MOVE before it noticed the client's end; that is not a
        line of the server.
        """
        while line := await asyncio.wait_for(connection.reader.readline(), LAST_LINES_S):
            text = decode_line(line)
            if text != MOVE_LINE:
                connection.heard.append(text)

    async def _exchange_lines(self, connection: ClientConnection) -> str:
        """Send lines and read echoes until the connection ends; return how it ended."""
        interval = int(self.bed.experiment.clients.line_ms * MILLISECOND)
        next_line_at = self.bed.now() + connection.client.random.randrange(interval)
        while (now := self.bed.now()) < connection.end:
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
            connection.heard.append(text)
            if text == "BYE":
                return "bye"
            if text in connection.unanswered:
                self._on_echo(connection, text)
        return OWN_END

    def _send_line(self, connection: ClientConnection, now: int) -> None:
        text = f"M {len(connection.said)}"
        connection.said.append(text)
        connection.unanswered[text] = now
        connection.writer.write(text.encode() + b"\r\n")

    def _on_echo(self, connection: ClientConnection, text: str) -> None:
        took = self.bed.now() - connection.unanswered.pop(text)
        self.bed.observe(
            "echo",
            connection.flow,
            connection.balancer,
            took_ms=took / MILLISECOND,
            person=connection.client.number,
        )

    def cut(self, share: float) -> None:
        """Reset a share of the established connections, like a network failure."""
        random = Random(f"{self.bed.seed}/cut/{len(self.bed.observations)}")
        for flow, writer in list(self.established.items()):
            if random.random() < share:
                self.bed.observe("left", flow, "", cut=True)
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
