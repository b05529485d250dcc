"""Stand-ins for servers in the testbed's process, which accept all flows and echo their lines."""

import asyncio
import time
from dataclasses import dataclass
from functools import partial
from itertools import count

from cypresswalk.lab.cluster.testbed.addresses import HANDLER_END_ERRORS, ServerAddresses
from cypresswalk.lab.cluster.testbed.endpoint_lists import EndpointLists
from cypresswalk.lab.cluster.testbed.flow_types import effect_of
from cypresswalk.lab.cluster.testbed.recording import FLOW_OPENED, Recording
from cypresswalk.lab.units import MILLISECOND

RESTART_S = 0.3  # time for which a restarting server is down


@dataclass(slots=True)
class _Connection:
    """A connection of a balancer to a server; `flow` is empty before the first line."""

    server: str
    balancer: str
    number: int
    writer: asyncio.StreamWriter
    flow: str = ""


class ServerStandIns:
    """The stand-ins for all servers."""

    def __init__(
        self,
        addresses: ServerAddresses,
        balancers: list[str],
        lists: EndpointLists,
        recording: Recording,
    ):
        """Store the parameters; `start` listens and adds the ports to the addresses."""
        self._addresses = addresses
        self._balancers = balancers
        self._lists = lists
        self._recording = recording
        self._listeners: list[asyncio.Server] = []
        self._numbers = count(1)
        self._open: dict[str, set[asyncio.StreamWriter]] = {name: set() for name in addresses.names}
        self._down: set[str] = set()

    async def start(self) -> None:
        """Listen on a separate port for each server and balancer."""
        for name in self._addresses.names:
            for balancer in self._balancers:
                listener = await asyncio.start_server(
                    partial(self._serve, name, balancer), self._addresses.host, 0
                )
                self._listeners.append(listener)
                port = listener.sockets[0].getsockname()[1]
                self._addresses.ports[name, balancer] = port

    def stop(self) -> None:
        """Accept no more connections."""
        for listener in self._listeners:
            listener.close()

    async def restart(self, name: str) -> None:
        """Abort all connections of a server and bring it up again after RESTART_S.

        Endpoint lists then publish its new start time, so that balancers treat it as warming up.
        """
        self._down.add(name)
        self._recording.observe("server_down", "", name)
        for writer in list(self._open[name]):
            writer.transport.abort()
        await asyncio.sleep(RESTART_S)
        self._down.discard(name)
        self._recording.observe("server_up", "", name)
        self._lists.publish_restart(name, time.time_ns() // MILLISECOND)

    async def _serve(
        self, name: str, balancer: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = _Connection(name, balancer, next(self._numbers), writer)
        self._open[name].add(writer)
        try:
            while name not in self._down and (line := await reader.readline()):
                self._answer(connection, line)
        except HANDLER_END_ERRORS:
            pass  # the balancer has disconnected, or the run is over
        finally:
            self._on_end(connection)
            self._open[name].discard(writer)
            writer.close()

    def _answer(self, connection: _Connection, line: bytes) -> None:
        words = line.decode(errors="replace").split()
        if words[:1] == ["PING"]:
            connection.writer.write(b"PONG\r\n")
        elif words[:1] == ["OPEN"] and len(words) > 3:
            connection.flow = words[1]
            self._accept(connection, effect_of(words[3]))
        else:
            connection.writer.write(line)

    def _accept(self, connection: _Connection, effect: str) -> None:
        flow, server, balancer = connection.flow, connection.server, connection.balancer
        number = connection.number
        receipt = f"UP r{flow}"
        self._recording.record(
            FLOW_OPENED, server=server, balancer=balancer, flow=flow, effect=effect
        )
        self._recording.observe("attempt", flow, server, balancer=balancer, number=number, load=1.0)
        connection.writer.write(f"{receipt}\r\n".encode())
        self._recording.observe("reply", flow, server, number=number, kind="up", receipt=receipt)

    def _on_end(self, connection: _Connection) -> None:
        if connection.flow:
            kind = "broke" if connection.server in self._down else "let_go"
            self._recording.observe(
                kind, connection.flow, connection.server, number=connection.number, how="end"
            )
