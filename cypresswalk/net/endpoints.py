"""Addresses of the endpoint list, and servers that an older list may not bring back yet."""

from collections.abc import Callable
from typing import NamedTuple

from cypresswalk.decisions.balancer import Balancer
from cypresswalk.model import EndpointUpdate, Server, ServerState
from cypresswalk.net.config import Address
from cypresswalk.net.limits import Limits
from cypresswalk.net.ports import Endpoint
from cypresswalk.net.timers import Timers


class WithheldEndpoint(NamedTuple):
    """An entry of an older list that is acted on from `until` on (nanoseconds)."""

    until: int
    server: Server
    address: Address


class EndpointBook:
    """Addresses of servers, and entries withheld from the decisions for a while."""

    def __init__(
        self,
        balancer: Balancer,
        limits: Limits,
        timers: Timers,
        on_endpoints: Callable[[int, EndpointUpdate, list[Endpoint]], None],
    ):
        """`on_endpoints` is called with each entry whose time has come."""
        self.balancer = balancer
        self.limits = limits
        self.timers = timers
        self.on_endpoints = on_endpoints
        self.addresses: dict[int, Address] = {}  # by the server's number
        self.withheld: dict[int, WithheldEndpoint] = {}  # likewise

    def accept(self, entries: list[Endpoint]) -> list[Server]:
        """Takes the addresses of entries that are acted on now, and returns their servers."""
        for server, address in entries:
            self.withheld.pop(server.id, None)
            self.addresses[server.id] = address
        return [server for server, _ in entries]

    def withhold_returning(self, now: int, entries: list[Endpoint]) -> list[Endpoint]:
        """The entries of an older list that may be acted on now; the others wait.

        An older list may bring back, without a start since, a server that drains or is gone. That
        waits until the list's address has caught up: of two addresses the newer may know less.
        """
        accepted = []
        for server, address in entries:
            if self.brings_back(server):
                until = now + self.limits.list_convergence_time
                self.withheld[server.id] = WithheldEndpoint(until, server, address)
                self.timers.schedule(until, self.release, server.id)
            else:
                accepted.append((server, address))
        return accepted

    def brings_back(self, server: Server) -> bool:
        """Whether the entry has a server in service that was not, without a start since."""
        known = self.balancer.servers.get(server.id)
        return (
            known is not None
            and known.state is not ServerState.READY
            and server.state is ServerState.READY
            and server.started_at <= known.started_at
        )

    def release(self, now: int, number: int) -> None:
        """The time of a withheld entry has come, unless it was withheld anew since."""
        if number in self.withheld and self.withheld[number].until <= now:
            entry = self.withheld.pop(number)
            self.on_endpoints(now, EndpointUpdate.DELTA, [(entry.server, entry.address)])

    def withdrawals(self, entries: list[Endpoint]) -> list[Endpoint]:
        """The entries by which a server drains or goes, unless it has started again since."""
        known = self.balancer.servers
        return [
            (server, address)
            for server, address in entries
            if server.state is not ServerState.READY
            and server.id in known
            and server.started_at >= known[server.id].started_at
        ]

    def count_placeable(self) -> int:
        """How many servers may get flows: listed as ready, and not taken out by an operator."""
        return sum(
            server.state is ServerState.READY and not server.out_of_rotation
            for server in self.balancer.servers.values()
        )
