"""Clients that keep an idle connection open and use it now and then until the balancer ends it.

Resting clients send PING from time to time and eventually a flow; those of the crowd send nothing.
They connect to a balancer directly rather than through the edge load balancer, even while it shuts
down, to simulate connections that the edge load balancer opened earlier.
"""

import asyncio
import contextlib
from random import Random

from cypresswalk.lab.testbed.bed import ScenarioTestBed
from cypresswalk.lab.testbed.client_driver import ClientDriver
from cypresswalk.lab.testbed.streams import CONNECTION_ENDS, MAX_LINE_BYTES, decode_line

IDLE_S = (0.02, 0.6)  # range of the idle time between two uses of a connection
RECONNECT_S = (0.05, 0.4)
FLOW_PROBABILITY = 0.15  # that a use is a flow's opening line rather than PING
PING_ANSWER_S = 3.0
CROWD_STARTS_WITHIN_S = 2.0
FIRST_NUMBER = 1_000_000  # other clients have lower numbers
NUMBERS_PER_BALANCER = 100_000
REUSABLE_AFTER = ("PONG", "ERR")  # answers after which the connection may be used again


class RestingClients:
    """The resting clients of all balancers."""

    def __init__(self, testbed: ScenarioTestBed, clients: ClientDriver):
        """Start without clients; `clients` runs their flows."""
        self.testbed = testbed
        self.clients = clients

    async def run(self, balancer: str, began: int) -> None:
        """Run a balancer's resting clients and its crowd, until cancelled."""
        await self.testbed.sleep_until(began)
        behaviour = self.testbed.experiment.clients
        first = FIRST_NUMBER + NUMBERS_PER_BALANCER * self.testbed.balancers.index(balancer)
        resting = [
            self._run_resting_client(balancer, first + number)
            for number in range(behaviour.resting)
        ]
        crowd = [self._run_silent_client(balancer, number) for number in range(behaviour.crowd)]
        await asyncio.gather(*resting, *crowd)

    async def _run_resting_client(self, balancer: str, number: int) -> None:
        random = Random(f"{self.testbed.seed}/resting/{number}")
        while True:
            # A connection that is refused, or that ends while idle, is opened again.
            with contextlib.suppress(*CONNECTION_ENDS):
                await self._use_connection(balancer, number, random)
            number += self.testbed.experiment.clients.resting
            await asyncio.sleep(random.uniform(*RECONNECT_S))

    async def _use_connection(self, balancer: str, number: int, random: Random) -> None:
        """Use one connection until it ends, or until the flow of the client `number` ends."""
        address = self.testbed.balancer_addresses[balancer]
        reader, writer = await asyncio.open_connection(*address, limit=MAX_LINE_BYTES)
        try:
            while True:
                await asyncio.sleep(random.uniform(*IDLE_S))
                if reader.at_eof() or writer.transport.is_closing():
                    return
                if random.random() < FLOW_PROBABILITY:
                    break
                writer.write(b"PING\r\n")
                line = await asyncio.wait_for(reader.readline(), PING_ANSWER_S)
                if decode_line(line) not in REUSABLE_AFTER:
                    return
            client = self.testbed.population.client(number, 0)
            end = self.testbed.now() + client.lifetime
            await self.clients.send_flow(client, balancer, reader, writer, end)
        finally:
            writer.close()

    async def _run_silent_client(self, balancer: str, number: int) -> None:
        random = Random(f"{self.testbed.seed}/crowd/{balancer}/{number}")
        await asyncio.sleep(random.uniform(0, CROWD_STARTS_WITHIN_S))
        address = self.testbed.balancer_addresses[balancer]
        while True:
            try:
                reader, writer = await asyncio.open_connection(*address)
            except OSError:
                await asyncio.sleep(random.uniform(*RECONNECT_S))
                continue
            # A balancer resets idle connections to make room for others.
            try:
                await reader.read()
            except CONNECTION_ENDS:
                pass
            finally:
                writer.close()
            await asyncio.sleep(random.uniform(*RECONNECT_S))
