"""The path of gossip between balancers."""

import asyncio
from random import Random
from typing import cast

from cypresswalk.lab.clients import draw_ms
from cypresswalk.lab.testbed.bed import Address, ScenarioTestBed
from cypresswalk.lab.units import SECOND


class GossipRelay(asyncio.DatagramProtocol):
    """A relay that passes each balancer's messages to all others, with delay and loss."""

    def __init__(self, testbed: ScenarioTestBed):
        """Start without member addresses."""
        self.testbed = testbed
        self.random = Random(f"{testbed.seed}/peers")
        self.members: list[Address] = []
        self.passed = 0
        self.lost = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by asyncio."""
        # Python 3.11's transport of a datagram endpoint does not derive from DatagramTransport.
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, sender: tuple) -> None:
        """Pass a message to all other members; called by asyncio."""
        network = self.testbed.experiment.network
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
