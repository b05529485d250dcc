"""Loopback addresses of a test bed, and how connections there end."""

import asyncio
from dataclasses import dataclass, field

from cypresswalk.lab.balancers import address_text, free_port, own_host
from cypresswalk.lab.testbed.streams import CONNECTION_ENDS

Address = tuple[str, int]
# Errors that end the handler of a stand-in's connection. At the end of a run the event loop cancels
# all handlers, and asyncio's streams would print a traceback for each.
HANDLER_ENDS = (*CONNECTION_ENDS, asyncio.CancelledError)


class Addresses:
    """Hosts and free ports.

    Balancers, stand-ins and servers' processes have a host each: a port that was chosen for one of
    them, and is not listened on yet or for a while, is then never taken by another.

    Attributes:
        balancer_host: of balancers and agents.
        stand_in_host: of what the test bed itself listens on.
        server_host: of servers that are processes.
    """

    def __init__(self) -> None:
        """Choose hosts of this process alone."""
        self.balancer_host = own_host()
        last_bytes = self.balancer_host.split(".", 2)[2]
        self.stand_in_host = f"127.200.{last_bytes}"
        self.server_host = f"127.201.{last_bytes}"
        self._chosen: set[Address] = set()

    def free(self, host: str = "") -> Address:
        """Return a free address that was not returned before, at the balancers' host by default."""
        host = host or self.balancer_host
        while (address := (host, free_port(host))) in self._chosen:
            pass
        self._chosen.add(address)
        return address


@dataclass
class ServerAddresses:
    """Where balancers find servers: a port for each of them, which tells who sent.

    Attributes:
        host: of all servers.
        names: of all servers.
        ports: by server and balancer.
    """

    host: str
    names: list[str]
    ports: dict[tuple[str, str], int] = field(default_factory=dict)

    def address(self, server: str, balancer: str) -> Address:
        """Return a server's address for a balancer."""
        return self.host, self.ports[server, balancer]

    def text(self, server: str, balancer: str) -> str:
        """Return that address as "host:port"."""
        return address_text(self.address(server, balancer))
