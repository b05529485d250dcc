"""The driver of the list service on sockets, with one address for each balancer."""

import asyncio
import json
from collections.abc import Iterable

from cypresswalk.lab.endpoint_list import ListAgent
from cypresswalk.lab.servers import ServerState
from cypresswalk.lab.testbed.bed import Address, ScenarioTestBed
from cypresswalk.lab.testbed.streams import CONNECTION_ENDS, LOOPBACK, MAX_LINE_BYTES
from cypresswalk.lab.units import SECOND

HEARTBEAT_S = 2  # interval between empty lines on a watch
RETIREMENT_S = 1.5
RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
)
HEARTBEAT_CHUNK = b"1\r\n\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


class ListAgentDriver:
    """The driver of a list agent: one address of the list service, for one balancer."""

    def __init__(self, testbed: ScenarioTestBed, balancer: str, agent: ListAgent):
        """Prepare the driver; it does not listen yet."""
        self.testbed = testbed
        self.balancer = balancer
        self.agent = agent
        self.changed = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()
        self.stalled: set[asyncio.StreamWriter] = set()
        self.address: Address = (LOOPBACK, 0)

    async def listen(self) -> None:
        """Listen on a free port."""
        self.listener = await asyncio.start_server(self._accept, LOOPBACK, 0, limit=MAX_LINE_BYTES)
        self.address = self.listener.sockets[0].getsockname()[:2]

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.testbed.spawn(self._serve(reader, writer))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            query = head.split(b" ")[1].decode().partition("?")[2]
            values = dict(pair.partition("=")[::2] for pair in query.split("&"))
            since = int(values.get("since") or 0)
            writer.write(RESPONSE_HEAD)
            await self._send_changes(reader, writer, since, values.get("follow") == "1")
        except CONNECTION_ENDS:
            pass
        finally:
            self.writers.discard(writer)
            self.stalled.discard(writer)
            writer.close()

    async def _send_changes(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        since: int,
        follow: bool,
    ) -> None:
        """Send the changes after a version, once or continuously (`follow`)."""
        while True:
            newer = since < self.agent.version or since == 0
            if newer and not self._is_silent(writer):
                since = self._send(writer, since)
                if not follow:
                    writer.write(LAST_CHUNK)
                    return
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), HEARTBEAT_S)
            except TimeoutError:
                if not self._is_silent(writer):
                    writer.write(HEARTBEAT_CHUNK)
            if writer.transport.is_closing() or reader.at_eof():
                return

    def _is_silent(self, writer: asyncio.StreamWriter) -> bool:
        return self.agent.silent or writer in self.stalled

    def _send(self, writer: asyncio.StreamWriter, since: int) -> int:
        """Send the changes after a version as one line; return the version sent."""
        answer = self.agent.answer(since)
        instances = [
            self.testbed.encode_endpoint(endpoint, self.balancer) for endpoint in answer.endpoints
        ]
        message = {
            "generation": answer.version,
            "reset": answer.complete,
            "instances": instances,
        }
        line = json.dumps(message).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(line), line))
        for endpoint in answer.endpoints:
            self.testbed.observe(
                "told",
                "",
                self.balancer,
                server=endpoint.server,
                life=endpoint.state.value,
                version=answer.version,
            )
        return answer.version

    async def receive_later(self, version: int) -> None:
        """Deliver a version to this agent after a delay."""
        await asyncio.sleep(self.agent.next_delay() / SECOND)
        if self.agent.receive(version):
            self.testbed.observe("list_received", "", self.balancer, version=version)
            self.changed.set()

    def notify_watches(self) -> None:
        """Make all watches check for changes."""
        self.changed.set()

    def stall_watches(self) -> None:
        """Send nothing more on the open watches, and keep them open; later ones are served."""
        self.stalled |= self.writers

    async def retire(self) -> None:
        """Accept no more connections, and close the open ones after RETIREMENT_S."""
        self.listener.close()
        await asyncio.sleep(RETIREMENT_S)
        for writer in list(self.writers):
            writer.close()


def publish(
    testbed: ScenarioTestBed,
    agents: Iterable[ListAgentDriver],
    server: str,
    state: ServerState,
    started_ms: int,
) -> None:
    """Change a server's entry in the list; the change reaches each agent after a delay."""
    version = testbed.endpoint_list.add(server, state, started_ms)
    for agent in agents:
        testbed.spawn(agent.receive_later(version))
