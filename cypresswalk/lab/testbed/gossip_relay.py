"""The path of gossip between balancers."""

import asyncio
from random import Random
from typing import cast

from cypresswalk.lab.clients import draw_ms
from cypresswalk.lab.testbed.bed import Address, Bed
from cypresswalk.lab.units import SECOND


class GossipRelay(asyncio.DatagramProtocol):
    """Passes what one balancer sends to all others, late or not at all."""

    def __init__(self, bed: Bed):
        """Start without members."""
        self.bed = bed
        self.random = Random(f"{bed.seed}/peers")
        self.members: list[Address] = []
        self.passed = 0
        self.lost = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the socket; called by asyncio."""
        # Of a datagram endpoint; Python 3.11's own class does not derive from DatagramTransport.
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, sender: tuple) -> None:
        """Pass a message on; called by asyncio."""
        network = self.bed.experiment.network
        for member in self.members:
            if member == sender[:2]:
                continue
            if self.random.random() < network.peers_lost:
                self.lost += 1
                continue
            self.passed += 1
            delay_s = draw_ms(self.random, network.peers_ms) / SECOND
            asyncio.get_running_loop().call_later(delay_s, self._deliver, data, member)

    def _deliver(self, data: bytes, member: Address) -> None:
        if not self.transport.is_closing():
            self.transport.sendto(data, member)
