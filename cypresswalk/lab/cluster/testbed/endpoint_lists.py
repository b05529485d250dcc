"""Stand-ins for discovery: an endpoint list for each balancer, which can be outdated or false."""

import asyncio
import json
import time
from dataclasses import dataclass
from functools import partial
from typing import Any

from cypresswalk.lab.cluster.testbed.addresses import HANDLER_END_ERRORS, Address, ServerAddresses
from cypresswalk.lab.cluster.testbed.recording import Recording
from cypresswalk.lab.cluster.testbed.settings import ZONE

IN_SERVICE = "in_service"
TERMINATING = "terminating"
POLL_INTERVAL_S = 0.05
HEARTBEAT_AFTER_POLLS = 40  # polls without a change
HEARTBEAT = b"\n"
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@dataclass(frozen=True, slots=True)
class ListChange:
    """A server's new state in the list.

    Attributes:
        server: name of the server.
        state: IN_SERVICE or TERMINATING.
        started_ms: start of the server in milliseconds of the wall clock; 0 if not published.
    """

    server: str
    state: str
    started_ms: int


class EndpointLists:
    """A list service with an address for each balancer; its version is the number of changes.

    Attributes:
        drained_at: servers that the list took out of service, each with the time in nanoseconds of
            the monotonic clock.
    """

    def __init__(
        self, host: str, balancers: list[str], servers: ServerAddresses, recording: Recording
    ):
        """Create lists in which all servers are in service; `start` listens."""
        self.drained_at: list[tuple[str, int]] = []
        self._host = host
        self._balancers = balancers
        self._servers = servers
        self._recording = recording
        self._listeners: dict[str, asyncio.Server] = {}
        self._changes: list[ListChange] = []
        self._lagging: dict[str, int] = {}  # by balancer: the version that its list is held at
        self._lying: set[str] = set()

    async def start(self) -> None:
        """Listen for balancers."""
        for balancer in self._balancers:
            self._listeners[balancer] = await asyncio.start_server(
                partial(self._serve, balancer), self._host, 0
            )

    def stop(self) -> None:
        """Accept no more connections."""
        for listener in self._listeners.values():
            listener.close()

    def address(self, balancer: str) -> Address:
        """Return the address of a balancer's list."""
        return self._host, self._listeners[balancer].sockets[0].getsockname()[1]

    def publish_restart(self, server: str, started_ms: int) -> None:
        """Publish a server's restart."""
        self._changes.append(ListChange(server, IN_SERVICE, started_ms))

    def drain(self, server: str) -> None:
        """Take a server out of service, unless it is out already."""
        latest = self._latest(len(self._changes)).get(server)
        if latest is None or latest.state == IN_SERVICE:
            self._changes.append(ListChange(server, TERMINATING, 0))
            self.drained_at.append((server, time.monotonic_ns()))

    def lag(self, balancer: str) -> None:
        """Hide all further changes from a balancer's list."""
        self._lagging[balancer] = self._version(balancer)

    def lie(self, balancer: str) -> None:
        """Make a balancer's list report each changed server as in service."""
        self._lying.add(balancer)

    def heal(self) -> None:
        """Make all lists current and correct again."""
        self._lagging.clear()
        self._lying.clear()

    def _version(self, balancer: str) -> int:
        """Return the number of changes that a balancer's list shows."""
        return self._lagging.get(balancer, len(self._changes))

    def _latest(self, version: int) -> dict[str, ListChange]:
        return {change.server: change for change in self._changes[:version]}

    async def _serve(
        self, balancer: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(RESPONSE_HEAD)
            await self._send_changes(balancer, writer)
        except HANDLER_END_ERRORS:
            pass  # the balancer has disconnected, or the run is over
        finally:
            writer.close()

    async def _send_changes(self, balancer: str, writer: asyncio.StreamWriter) -> None:
        """Send the complete list, then each change, until cancelled."""
        version = self._version(balancer)
        data = self._message(balancer, version, self._servers.names, complete=True)
        quiet_polls = 0
        while True:
            if data:
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
                quiet_polls = 0
            await asyncio.sleep(POLL_INTERVAL_S)
            quiet_polls += 1
            data = HEARTBEAT if quiet_polls >= HEARTBEAT_AFTER_POLLS else b""
            current = self._version(balancer)
            if current > version:
                changed = dict.fromkeys(change.server for change in self._changes[version:current])
                data = self._message(balancer, current, list(changed), complete=False)
                version = current

    def _message(self, balancer: str, version: int, names: list[str], complete: bool) -> bytes:
        latest = self._latest(version)
        instances = []
        for name in names:
            change = latest.get(name, ListChange(name, IN_SERVICE, 0))
            state = IN_SERVICE if balancer in self._lying else change.state
            self._recording.observe("told", "", balancer, server=name, life=state, version=version)
            instances.append(self._entry(balancer, name, state, change.started_ms))
        message = {"generation": 1 + version, "reset": complete, "instances": instances}
        return json.dumps(message).encode() + b"\n"

    def _entry(self, balancer: str, server: str, state: str, started_ms: int) -> dict[str, Any]:
        """Return a server's entry in the platform's format."""
        return {
            "instanceId": server,
            "hostPort": self._servers.text(server, balancer),
            "zone": ZONE,
            "machineType": "m",
            "cell": 1,
            "lifecycle": state,
            "weight": 1.0,
            "startedAtMs": started_ms,
        }
