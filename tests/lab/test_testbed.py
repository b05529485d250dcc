"""The drivers of the test bed, one by one."""

import asyncio
import socket
import subprocess
import sys
from random import Random
from types import SimpleNamespace

import pytest
from lab_helpers import small
from paths import ROOT

from cypresswalk.lab.testbed.bed import Bed
from cypresswalk.lab.testbed.client_driver import ClientConnection, ClientDriver
from cypresswalk.lab.testbed.gossip_relay import GossipRelay
from cypresswalk.lab.testbed.server_driver import ServerDriver
from cypresswalk.lab.units import SECOND


def test_a_move_that_crosses_a_clients_own_end_is_no_line_of_its_server():
    """A balancer that drains has not seen the client's end yet; what follows is compared still."""

    async def heard(*lines: bytes) -> tuple[str, list[str]]:
        seen = []
        bed = SimpleNamespace(
            now=lambda: SECOND,
            observe=lambda kind, *_, **fields: seen.append((kind, fields)),
            experiment=SimpleNamespace(clients=SimpleNamespace(line_ms=200)),
        )
        reader = asyncio.StreamReader()
        reader.feed_data(b"".join(line + b"\r\n" for line in lines))
        reader.feed_eof()
        writer = SimpleNamespace(write_eof=lambda: None)
        client = SimpleNamespace(number=0, random=Random(1), rejections=0)
        connection = ClientConnection(client, "p0.1", "b0", SECOND, reader, writer)
        how = await ClientDriver(bed)._talk(connection)
        return how, dict(seen)["lines"]["heard"]

    assert asyncio.run(heard(b"M 0", b"MOVE")) == ("own", ["M 0"])
    assert asyncio.run(heard(b"M 0", b"MOVE", b"M 2")) == ("own", ["M 0", "M 2"])
    assert asyncio.run(heard(b"M 0", b"BYE")) == ("own", ["M 0", "BYE"])


def test_a_port_that_another_process_took_is_the_labs_fault():
    async def run():
        bed = Bed(small(), 1)
        driver = ServerDriver(bed, bed.servers["s-0"])
        with socket.create_server(("127.0.0.1", 0)) as other:
            driver.ports["b0"] = other.getsockname()[1]
            await driver.listen()
        return bed.failures

    faults = asyncio.run(run())
    assert len(faults) == 1 and faults[0].startswith("s-0 can't listen at ")


def test_the_gossip_relay_passes_a_message_to_all_other_balancers():
    async def run():
        relayed = []
        with (
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver,
        ):
            for sock in (sender, receiver):
                sock.bind(("127.0.0.1", 0))
                sock.setblocking(False)
            transport, relay = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: GossipRelay(Bed(small(), 1)), local_addr=("127.0.0.1", 0)
            )
            relay.members += [sender.getsockname(), receiver.getsockname()]
            sender.sendto(b"hint", transport.get_extra_info("sockname"))
            relayed.append(
                await asyncio.wait_for(asyncio.get_running_loop().sock_recv(receiver, 100), 5)
            )
            with pytest.raises(BlockingIOError):
                sender.recv(100)
            transport.close()
        return relayed, relay.passed

    assert asyncio.run(run()) == ([b"hint"], 1)


def test_each_lab_process_has_an_address_of_its_own():
    """Two days side by side once chose one port: the second day's clients spoke to the first day's balancer."""
    script = "from cypresswalk.lab.balancers import own_host; print(own_host())"
    hosts = {
        subprocess.run(
            [sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True
        ).stdout
        for _ in range(3)
    }
    assert len(hosts) == 3 and all(host.startswith("127.") for host in hosts)
