"""The proxy for UDP: passes datagrams on and injects the faults of a plan.

Peers count in the order of their first datagrams, datagrams for each peer and direction.
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

MAX_DELAYED = 4096  # datagrams: a delay of a second at a few thousand per second
MAX_PEERS = 1024  # of one proxy: each has a socket of its own


class PeerSocket(asyncio.DatagramProtocol):
    """The socket by which one peer's datagrams go on, and the answers come back."""

    def __init__(self, proxy: "DatagramProxy", peer: Address, number: int):
        """Is not connected yet; datagrams wait until it is."""
        self.proxy = proxy
        self.peer = peer
        self.waiting: list[bytes] = []
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
        """The socket is there."""
        # asyncio's own class is not derived from DatagramTransport.
        self.transport = cast(asyncio.DatagramTransport, transport)
        for data in self.waiting:
            self.transport.sendto(data)
        self.waiting.clear()

    def datagram_received(self, data: bytes, sender: Address) -> None:
        """The target has answered."""
        writes = self.down.feed(self.proxy.clock(), data)
        self.proxy.send(writes, lambda d: self.proxy.transport.sendto(d, self.peer))

    def send(self, data: bytes) -> None:
        """Sends to the target."""
        if self.transport is None:
            self.waiting.append(data)
        else:
            self.transport.sendto(data)


@dataclass(eq=False, repr=False)
class DatagramProxy(InjectingProxy, asyncio.DatagramProtocol):
    """Listens after `start`, at `address`.

    Attributes:
        peers: by the address that they send from, in the order of their first datagrams.
        delayed: datagrams that wait for their time.
        left_out: datagrams that were dropped, beyond the limits.
        tasks: sockets of peers that are being opened.
    """

    peers: dict[Address, PeerSocket] = field(init=False, default_factory=dict)
    delayed: int = field(init=False, default=0)
    left_out: int = field(init=False, default=0)
    tasks: set[asyncio.Task[object]] = field(init=False, default_factory=set)

    def on_datagram_fault(self, fault: Fault) -> None:
        """A fault was injected into a datagram."""
        self.on_injected(fault, [])

    @property
    def connections(self) -> int:
        """How many peers there were."""
        return len(self.peers)

    async def start(self) -> None:
        """Listens. Raises OSError where the address is taken."""
        self.loop = asyncio.get_running_loop()
        self.transport, _ = await self.loop.create_datagram_endpoint(
            lambda: self, local_addr=self.listen
        )
        self.address = self.transport.get_extra_info("sockname")[:2]

    def datagram_received(self, data: bytes, sender: Address) -> None:
        """A peer has sent a datagram."""
        peer = self.peers.get(sender)
        if peer is None:
            if len(self.peers) >= MAX_PEERS:
                self.left_out += 1
                return
            peer = self.add_peer(sender)
        self.send(peer.up.feed(self.clock(), data), peer.send)

    def add_peer(self, sender: Address) -> PeerSocket:
        """Makes a socket for a new peer."""
        peer = PeerSocket(self, sender, len(self.peers) + 1)
        self.peers[sender] = peer
        task: asyncio.Task[object] = self.loop.create_task(
            self.loop.create_datagram_endpoint(lambda: peer, remote_addr=self.to)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return peer

    def send(self, writes: list[Write], send: Callable[[bytes], None]) -> None:
        """Sends datagrams, each at its time."""
        for write in writes:
            wait = write.at - self.clock()
            if wait <= 0:
                send(write.data)
            elif self.delayed < MAX_DELAYED:
                self.delayed += 1
                self.loop.call_later(wait / SECOND, self.send_delayed, send, write.data)
            else:
                self.left_out += 1

    def send_delayed(self, send: Callable[[bytes], None], data: bytes) -> None:
        """Sends a datagram whose time has come."""
        self.delayed -= 1
        if not self.transport.is_closing():
            send(data)

    async def stop(self) -> None:
        """Closes all sockets."""
        self.transport.close()
        for peer in self.peers.values():
            if peer.transport is not None:
                peer.transport.close()
        await asyncio.sleep(0)
