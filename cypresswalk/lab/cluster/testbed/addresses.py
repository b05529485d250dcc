"""Loopback addresses of a testbed, and the errors that end its connections."""

import asyncio
from dataclasses import dataclass, field

from cypresswalk.lab.balancers import address_text, free_port, own_host
from cypresswalk.lab.testbed.streams import CONNECTION_ENDS

Address = tuple[str, int]
# Errors that a stand-in's connection handler catches. At the end of a run the event loop cancels
# all handlers; asyncio's streams would print a traceback for each cancellation that is not caught.
HANDLER_END_ERRORS = (*CONNECTION_ENDS, asyncio.CancelledError)


class Addresses:
    """Loopback hosts of a run, and an allocator of free ports.

    Balancers, stand-ins and server processes have separate hosts, so that none of them can take a
    port that is reserved for another kind but not listened on at the moment.

    Attributes:
        balancer_host: host of balancers and agents.
        stand_in_host: host on which the testbed itself listens.
        server_host: host of servers that are processes.
    """

    def __init__(self) -> None:
        """Choose hosts that only this process uses."""
        self.balancer_host = own_host()
        last_bytes = self.balancer_host.split(".", 2)[2]
        self.stand_in_host = f"127.200.{last_bytes}"
        self.server_host = f"127.201.{last_bytes}"
        self._chosen: set[Address] = set()

    def free(self, host: str = "") -> Address:
        """Return a free address that was not returned before, by default on the balancers' host."""
        host = host or self.balancer_host
        while (address := (host, free_port(host))) in self._chosen:
            pass
        self._chosen.add(address)
        return address


@dataclass
class ServerAddresses:
    """The addresses of all servers.

    A server has a separate port for each balancer, which identifies the balancer that connects.

    Attributes:
        host: host of all servers.
        names: names of all servers.
        ports: port by server and balancer.
    """

    host: str
    names: list[str]
    ports: dict[tuple[str, str], int] = field(default_factory=dict)

    def address(self, server: str, balancer: str) -> Address:
        """Return a server's address for a balancer."""
        return self.host, self.ports[server, balancer]

    def text(self, server: str, balancer: str) -> str:
        """Return a server's address for a balancer as "host:port"."""
        return address_text(self.address(server, balancer))
