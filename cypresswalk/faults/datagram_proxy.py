"""The UDP proxy: forwards datagrams and injects the faults of a plan.

Peers are numbered from 1 in the order of their first datagrams, datagrams from 0 for each peer and
direction.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

from cypresswalk.faults.connection import Address
from cypresswalk.faults.datagram_stream import DatagramStream
from cypresswalk.faults.injection import InjectingProxy
from cypresswalk.faults.kinds import Fault
from cypresswalk.faults.stream import SECOND, Write

MAX_DELAYED = 4096  # datagrams: enough for a delay of a second at a few thousand per second
MAX_PEERS = 1024  # per proxy, since each peer has a socket of its own


class PeerSocket(asyncio.DatagramProtocol):
    """The socket between the proxy and the target for one peer's datagrams."""

    def __init__(self, proxy: "DatagramProxy", peer: Address, number: int):
        """Create the protocol; datagrams are kept until its socket is connected."""
        self.proxy = proxy
        self.peer = peer
        self.unsent: list[bytes] = []
        self.transport: asyncio.DatagramTransport | None = None
        plan = proxy.plan
        seed = proxy.seed
        self.up = DatagramStream(
            lambda n: plan.for_datagram(number, "up", n, seed), proxy.on_datagram_fault
        )
        self.down = DatagramStream(
            lambda n: plan.for_datagram(number, "down", n, seed), proxy.on_datagram_fault
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the datagrams that were kept until the socket is connected."""
        # asyncio's class for it is not derived from DatagramTransport.
        self.transport = cast(asyncio.DatagramTransport, transport)
        for data in self.unsent:
            self.transport.sendto(data)
        self.unsent.clear()

    def datagram_received(self, data: bytes, sender: Address) -> None:
        """Forward a datagram from the target to the peer."""
        writes = self.down.feed(self.proxy.clock(), data)
        self.proxy.send(writes, lambda d: self.proxy.transport.sendto(d, self.peer))

    def send(self, data: bytes) -> None:
        """Send a datagram to the target, or keep it until the socket is connected."""
        if self.transport is None:
            self.unsent.append(data)
        else:
            self.transport.sendto(data)


@dataclass(eq=False, repr=False)
class DatagramProxy(InjectingProxy, asyncio.DatagramProtocol):
    """The UDP proxy. It listens at `address` from `start` until `stop`.

    Attributes:
        peers: peers by their addresses, in the order of their first datagrams.
        delayed: number of datagrams that wait for their time.
        discarded: number of datagrams that were not forwarded, beyond the limits above.
        tasks: tasks that open sockets for peers.
    """

    peers: dict[Address, PeerSocket] = field(init=False, default_factory=dict)
    delayed: int = field(init=False, default=0)
    discarded: int = field(init=False, default=0)
    tasks: set[asyncio.Task[object]] = field(init=False, default_factory=set)

    def on_datagram_fault(self, fault: Fault) -> None:
        """Record a fault that was injected into a datagram."""
        self.on_injected(fault, [])

    @property
    def connection_count(self) -> int:
        """The number of peers so far."""
        return len(self.peers)

    async def start(self) -> None:
        """Start to listen. Raise OSError if it can't listen on the address."""
        self.loop = asyncio.get_running_loop()
        self.transport, _ = await self.loop.create_datagram_endpoint(
            lambda: self, local_addr=self.listen_address
        )
        self.address = self.transport.get_extra_info("sockname")[:2]

    def datagram_received(self, data: bytes, sender: Address) -> None:
        """Forward a datagram from a peer to the target."""
        peer = self.peers.get(sender)
        if peer is None:
            if len(self.peers) >= MAX_PEERS:
                self.discarded += 1
                return
            peer = self.add_peer(sender)
        self.send(peer.up.feed(self.clock(), data), peer.send)

    def add_peer(self, sender: Address) -> PeerSocket:
        """Create a peer, and start to open its socket."""
        peer = PeerSocket(self, sender, len(self.peers) + 1)
        self.peers[sender] = peer
        task: asyncio.Task[object] = self.loop.create_task(
            self.loop.create_datagram_endpoint(lambda: peer, remote_addr=self.target)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return peer

    def send(self, writes: list[Write], send: Callable[[bytes], None]) -> None:
        """Send datagrams, each at its time."""
        for write in writes:
            wait = write.at - self.clock()
            if wait <= 0:
                send(write.data)
            elif self.delayed < MAX_DELAYED:
                self.delayed += 1
                self.loop.call_later(wait / SECOND, self.send_delayed, send, write.data)
            else:
                self.discarded += 1

    def send_delayed(self, send: Callable[[bytes], None], data: bytes) -> None:
        """Send a delayed datagram whose time has come."""
        self.delayed -= 1
        if not self.transport.is_closing():
            send(data)

    async def stop(self) -> None:
        """Close all sockets."""
        self.transport.close()
        for peer in self.peers.values():
            if peer.transport is not None:
                peer.transport.close()
        await asyncio.sleep(0)
