"""Merge of a balancer's own endpoint list with the agreed one; the more restrictive state applies.

The balancer's own list agent alone can't lift a restriction: a server that is not in service in the
agreed list gets no new flows, whatever that agent reports.
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

RESTRICTIVENESS = {ServerState.READY: 0, ServerState.DRAINING: 1, ServerState.GONE: 2}
DIGEST_BYTES = 16


class EndpointMerge:
    """Both lists, their merge, and the reports of the balancer's own list to the fleet.

    Attributes:
        agreed: state and latest start (nanoseconds) of each server in the agreed list, by server
            number; None until there is an agreed list.
    """

    def __init__(self, core: Core, fleet: FleetThread, registry: Callable[[], EndpointListDecoder]):
        """Begin with the servers that the core knows."""
        self.core = core
        self.fleet = fleet
        self.registry = registry
        self.agreed: dict[int, tuple[ServerState, int]] | None = None
        self.own: dict[int, tuple[Server, Address]] = {
            server.id: (copy_listed_fields(server), core.endpoints.addresses[server.id])
            for server in core.balancer.servers.values()
            if server.id in core.endpoints.addresses
        }
        self.last_reported: tuple[int, bytes] = (-1, b"")  # generation and digest

    def apply_agreed_list(self, now: int, servers: tuple[ListedServer, ...]) -> None:
        """Replace the agreed list and update the core."""
        self.agreed = {
            server_number(ident): (ServerState(state), since)
            for ident, _, _, state, _, since in servers
        }
        self.refresh(now)

    def refresh(self, now: int) -> None:
        """Make the core merge both lists again."""
        self.core.on_endpoints(now, EndpointUpdate.DELTA, [])

    def merge_endpoints(
        self, now: int, update: EndpointUpdate, entries: list[tuple[Server, Address]]
    ) -> tuple[EndpointUpdate, list[tuple[Server, Address]]]:
        """Merge an update of this balancer's own list with the agreed list.

        Args:
            now: current time, nanoseconds.
            update: whether `entries` are changes or the whole list.
            entries: listed servers with their addresses.

        Returns:
            The changes to the endpoints that the core knows.
        """
        for server, address in entries:
            self.own[server.id] = copy_listed_fields(server), address
        if update is not EndpointUpdate.DELTA:
            named = {server.id for server, _ in entries}
            for number, (server, _) in self.own.items():
                if number not in named:
                    server.state = ServerState.GONE
        self.report_own_list()
        changes = []
        for number, (server, address) in self.own.items():
            state, since = self.merged_state(number, server)
            known = self.core.balancer.servers.get(number)
            before = known and (known.state, known.started_at, known.zone, known.cell, known.weight)
            after = (state, since, server.zone, server.cell, server.weight)
            if before != after or self.core.endpoints.addresses.get(number) != address:
                changed = copy_listed_fields(server)
                changed.state = state
                changed.started_at = since
                changes.append((changed, address))
        return EndpointUpdate.DELTA, changes

    def merged_state(self, number: int, server: Server) -> tuple[ServerState, int]:
        """Return the more restrictive state and the latest start of a server in both lists."""
        if self.agreed is None:
            return server.state, server.started_at
        state, since = self.agreed.get(number, (ServerState.GONE, 0))
        return max((server.state, state), key=RESTRICTIVENESS.__getitem__), max(
            since, server.started_at
        )

    def report_own_list(self) -> None:
        """Report the balancer's own list to the leader, if it has changed."""
        registry = self.registry()
        servers = sorted(
            (registry.names[s.id], s.zone, s.cell, s.state.value, float(s.weight), s.started_at)
            for s, _ in self.own.values()
            if s.state is not ServerState.GONE and s.id in registry.names
        )
        digest = blake2b(msgspec.msgpack.encode(servers), digest_size=DIGEST_BYTES).digest()
        if (registry.version, digest) != self.last_reported and registry.version > 0:
            self.last_reported = registry.version, digest
            self.fleet.on_list_received(registry.version, digest, servers)

    def list_for_successor(self) -> list[list[Any]] | None:
        """Return the agreed list in the format of the handover to a successor process."""
        if self.agreed is None:
            return None
        return [[number, state.value, since] for number, (state, since) in self.agreed.items()]


def decode_agreed_list(encoded: Any) -> dict[int, tuple[ServerState, int]] | None:
    """Decode a list that `list_for_successor` has encoded.

    Raises:
        TypeError, ValueError: the list is malformed.
    """
    if encoded is None:
        return None
    return {int(number): (ServerState(state), int(since)) for number, state, since in encoded}


def copy_listed_fields(server: Server) -> Server:
    """Return a copy of a server with only the fields that come from an endpoint list."""
    return Server(
        id=server.id,
        zone=server.zone,
        cell=server.cell,
        weight=server.weight,
        started_at=server.started_at,
        state=server.state,
    )
