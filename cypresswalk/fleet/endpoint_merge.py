"""Of two endpoint lists, this balancer's own and the agreed one, the stricter says what holds.

Nothing loosens on the word of the balancer's own list agent: a server that the agreed list does not
have in service gets no new flows, whatever that agent says.
"""

from collections.abc import Callable
from hashlib import blake2b
from typing import Any

import msgspec

from cypresswalk.fleet.driver import FleetThread
from cypresswalk.fleet.records import ListedServer
from cypresswalk.model import EndpointUpdate, Server, ServerState
from cypresswalk.net.config import Address
from cypresswalk.net.core import Core
from cypresswalk.net.parsers.endpoint_list import EndpointListDecoder, server_number

STRICTNESS = {ServerState.READY: 0, ServerState.DRAINING: 1, ServerState.GONE: 2}
DIGEST_BYTES = 16


class EndpointMerge:
    """Keeps both lists, and reports the balancer's own to the fleet.

    Attributes:
        agreed: state and latest start (nanoseconds) of each server in the agreed list, by number;
            None until there is one.
    """

    def __init__(self, core: Core, fleet: FleetThread, registry: Callable[[], EndpointListDecoder]):
        """Starts from the servers that the core knows."""
        self.core = core
        self.fleet = fleet
        self.registry = registry
        self.agreed: dict[int, tuple[ServerState, int]] | None = None
        self.own: dict[int, tuple[Server, Address]] = {
            server.id: (as_listed(server), core.endpoints.addresses[server.id])
            for server in core.balancer.servers.values()
            if server.id in core.endpoints.addresses
        }
        self.reported: tuple[int, bytes] = (-1, b"")  # generation and digest

    def follow(self, now: int, servers: tuple[ListedServer, ...]) -> None:
        """Acts on another agreed list."""
        self.agreed = {
            server_number(ident): (ServerState(state), since)
            for ident, _, _, state, _, since in servers
        }
        self.refresh(now)

    def refresh(self, now: int) -> None:
        """Has the core act on both lists as they are."""
        self.core.on_endpoints(now, EndpointUpdate.DELTA, [])

    def merge_endpoints(
        self, now: int, form: EndpointUpdate, entries: list[tuple[Server, Address]]
    ) -> tuple[EndpointUpdate, list[tuple[Server, Address]]]:
        """The update to act on, from what this balancer's own list agent says.

        Args:
            now: nanoseconds.
            form: whether `entries` are changes or the whole list.
            entries: servers as listed, with their addresses.

        Returns:
            Changes to what the core knows.
        """
        for server, address in entries:
            self.own[server.id] = as_listed(server), address
        if form is not EndpointUpdate.DELTA:
            named = {server.id for server, _ in entries}
            for number, (server, _) in self.own.items():
                if number not in named:
                    server.state = ServerState.GONE
        self.report()
        changes = []
        for number, (server, address) in self.own.items():
            state, since = self.stricter(number, server)
            known = self.core.balancer.servers.get(number)
            before = known and (known.state, known.started_at, known.zone, known.cell, known.weight)
            after = (state, since, server.zone, server.cell, server.weight)
            if before != after or self.core.endpoints.addresses.get(number) != address:
                changed = as_listed(server)
                changed.state = state
                changed.started_at = since
                changes.append((changed, address))
        return EndpointUpdate.DELTA, changes

    def stricter(self, number: int, server: Server) -> tuple[ServerState, int]:
        """State and latest start of a server by both lists."""
        if self.agreed is None:
            return server.state, server.started_at
        state, since = self.agreed.get(number, (ServerState.GONE, 0))
        return max((server.state, state), key=STRICTNESS.__getitem__), max(since, server.started_at)

    def report(self) -> None:
        """Reports the balancer's own list to the leader, if it has changed."""
        registry = self.registry()
        servers = sorted(
            (registry.names[s.id], s.zone, s.cell, s.state.value, float(s.weight), s.started_at)
            for s, _ in self.own.values()
            if s.state is not ServerState.GONE and s.id in registry.names
        )
        digest = blake2b(msgspec.msgpack.encode(servers), digest_size=DIGEST_BYTES).digest()
        if (registry.version, digest) != self.reported and registry.version > 0:
            self.reported = registry.version, digest
            self.fleet.on_list_received(registry.version, digest, servers)

    def list_for_successor(self) -> list[list[Any]] | None:
        """The agreed list in the form in which a successor reads it."""
        if self.agreed is None:
            return None
        return [[number, state.value, since] for number, (state, since) in self.agreed.items()]


def agreed_list(encoded: Any) -> dict[int, tuple[ServerState, int]] | None:
    """Reads what `list_for_successor` wrote.

    Raises:
        TypeError, ValueError: it has another form.
    """
    if encoded is None:
        return None
    return {int(number): (ServerState(state), int(since)) for number, state, since in encoded}


def as_listed(server: Server) -> Server:
    """What a list says of a server, without what this balancer has learned of it."""
    return Server(
        id=server.id,
        zone=server.zone,
        cell=server.cell,
        weight=server.weight,
        started_at=server.started_at,
        state=server.state,
    )
