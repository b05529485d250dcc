"""Servers' addresses, and entries of an older endpoint list that are not applied yet."""

from collections.abc import Callable
from typing import NamedTuple

from cypresswalk.decisions.balancer import Balancer
from cypresswalk.model import EndpointUpdate, Server, ServerState
from cypresswalk.net.config import Address
from cypresswalk.net.limits import Limits
from cypresswalk.net.ports import Endpoint
from cypresswalk.net.timers import Timers


class WithheldEndpoint(NamedTuple):
    """An entry of an older list that is not applied before the time `until` (nanoseconds)."""

    until: int
    server: Server
    address: Address


class EndpointTable:
    """The addresses of servers, and the entries that are withheld from the decisions for a time."""

    def __init__(
        self,
        balancer: Balancer,
        limits: Limits,
        timers: Timers,
        on_endpoints: Callable[[int, EndpointUpdate, list[Endpoint]], None],
    ):
        """Create an empty table; `on_endpoints` gets each withheld entry at its time."""
        self.balancer = balancer
        self.limits = limits
        self.timers = timers
        self.on_endpoints = on_endpoints
        self.addresses: dict[int, Address] = {}  # by server number
        self.withheld: dict[int, WithheldEndpoint] = {}  # by server number

    def accept(self, entries: list[Endpoint]) -> list[Server]:
        """Store the addresses of entries that are applied now, and return their servers."""
        for server, address in entries:
            self.withheld.pop(server.id, None)
            self.addresses[server.id] = address
        return [server for server, _ in entries]

    def forget(self, number: int) -> None:
        """Forget a server that was removed from the decisions."""
        self.addresses.pop(number, None)
        self.withheld.pop(number, None)

    def withhold_returning(self, now: int, entries: list[Endpoint]) -> list[Endpoint]:
        """Return the entries of an older list that may be applied now, and withhold the others.

        An older list may return a draining or gone server to service although the server has not
        been restarted. Such an entry is withheld until the list's address has had time to catch up,
        since a new address of discovery may be behind the previous one.
        """
        accepted = []
        for server, address in entries:
            if self.returns_to_service(server):
                until = now + self.limits.list_convergence_time
                self.withheld[server.id] = WithheldEndpoint(until, server, address)
                self.timers.schedule(until, self.apply_withheld, server.id)
            else:
                accepted.append((server, address))
        return accepted

    def returns_to_service(self, server: Server) -> bool:
        """Return whether the entry puts a server back into service that has not been restarted."""
        known = self.balancer.servers.get(server.id)
        return (
            known is not None
            and known.state is not ServerState.READY
            and server.state is ServerState.READY
            and server.started_at <= known.started_at
        )

    def apply_withheld(self, now: int, number: int) -> None:
        """Apply a withheld entry, unless it was replaced or withheld until a later time."""
        if number in self.withheld and self.withheld[number].until <= now:
            entry = self.withheld.pop(number)
            self.on_endpoints(now, EndpointUpdate.DELTA, [(entry.server, entry.address)])

    def withdrawals(self, entries: list[Endpoint]) -> list[Endpoint]:
        """Return the entries by which a server drains or is gone, unless it was restarted later."""
        known = self.balancer.servers
        return [
            (server, address)
            for server, address in entries
            if server.state is not ServerState.READY
            and server.id in known
            and server.started_at >= known[server.id].started_at
        ]

    def count_placeable(self) -> int:
        """Return the number of servers that may get flows: ready and not out of rotation."""
        return sum(
            server.state is ServerState.READY and not server.out_of_rotation
            for server in self.balancer.servers.values()
        )
