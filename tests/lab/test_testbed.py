"""Tests of the individual drivers of the testbed."""

import asyncio
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any, cast

import pytest
from lab_helpers import small_experiment
from paths import ROOT

from cypresswalk.lab import balancer_control
from cypresswalk.lab.balancer_control import BalancerControl
from cypresswalk.lab.balancers import BalancerProcess
from cypresswalk.lab.clients import ClientPopulation
from cypresswalk.lab.testbed.bed import ScenarioTestBed
from cypresswalk.lab.testbed.client_driver import ClientConnection, ClientDriver
from cypresswalk.lab.testbed.gossip_relay import GossipRelay
from cypresswalk.lab.testbed.server_driver import ServerDriver
from cypresswalk.lab.units import SECOND

ANSWER_TIMEOUT_S = 5
PRINT_HOST = "from cypresswalk.lab.balancers import own_host; print(own_host())"


class RecordingTestBed:
    """A testbed that only keeps the last observation of each kind."""

    def __init__(self) -> None:
        """Start without observations."""
        self.experiment = small_experiment()
        self.observed: dict[str, dict[str, Any]] = {}

    def now(self) -> int:
        """Return a constant time, one second."""
        return SECOND

    def observe(self, kind: str, *_: object, **fields: Any) -> None:
        """Keep the fields of an observation."""
        self.observed[kind] = fields


class ClosableWriter:
    """A writer that can be ended without effect."""

    def write_eof(self) -> None:
        """Do nothing."""


async def receive_after_end(*lines: bytes) -> tuple[str, list[str]]:
    """Send lines to a client after its own end; return how it ended and the lines it recorded."""
    testbed = RecordingTestBed()
    reader = asyncio.StreamReader()
    reader.feed_data(b"".join(line + b"\r\n" for line in lines))
    reader.feed_eof()
    writer = cast(asyncio.StreamWriter, ClosableWriter())
    client = ClientPopulation(testbed.experiment, 1).client(0, 0)
    connection = ClientConnection(client, "p0.1", "b0", SECOND, reader, writer)
    ending = await ClientDriver(cast(ScenarioTestBed, testbed))._run_established(connection)
    return ending, testbed.observed["lines"]["heard"]


@pytest.mark.parametrize(
    "lines, heard",
    [
        ([b"M 0", b"MOVE"], ["M 0"]),
        ([b"M 0", b"MOVE", b"M 2"], ["M 0", "M 2"]),
        ([b"M 0", b"BYE"], ["M 0", "BYE"]),
    ],
)
def test_move_that_crosses_the_clients_own_end_is_not_recorded_as_a_server_line(lines, heard):
    """A draining balancer may not have seen the client's end yet; later lines still count."""
    assert asyncio.run(receive_after_end(*lines)) == ("own", heard)


class HangingBalancer:
    """A balancer process that runs and never answers."""

    address = ("127.0.0.1", 1)
    start_count = 1
    expected_end = False

    def crash_exit_code(self) -> None:
        """Return None: it runs."""

    def is_running(self) -> bool:
        """Return True."""
        return True


class BegunTestBed(RecordingTestBed):
    """A testbed whose scenario has begun; its clock advances at each reading."""

    seed = 1
    began = 1

    def __init__(self) -> None:
        """Start at one second."""
        super().__init__()
        self.time = SECOND

    def now(self) -> int:
        """Return a time 10 s after the last one."""
        self.time += 10 * SECOND
        return self.time


def test_restarted_balancer_that_never_answers_breaks_a_rule(monkeypatch):
    async def no_answer(balancer: object) -> bool:
        return False

    monkeypatch.setattr(balancer_control, "answers_ping", no_answer)
    testbed = cast(ScenarioTestBed, BegunTestBed())
    variant = testbed.experiment.variants[0]
    control = BalancerControl(testbed, variant, Path("."), ROOT, None)
    control.balancers["b0"] = cast(BalancerProcess, HangingBalancer())
    asyncio.run(control.wait_until_ready("b0"))
    assert [violation.rule for violation in control.violations] == ["not ready"]
    assert control.violations[0].message == "b0 did not answer PING within 30 s of its start"


def test_a_port_taken_by_another_process_is_a_failure_of_the_lab():
    async def listen_at_taken_port() -> list[str]:
        testbed = ScenarioTestBed(small_experiment(), 1)
        driver = ServerDriver(testbed, testbed.servers["s-0"])
        with socket.create_server(("127.0.0.1", 0)) as other:
            driver.ports["b0"] = other.getsockname()[1]
            await driver.listen()
        return testbed.failures

    failures = asyncio.run(listen_at_taken_port())
    assert len(failures) == 1
    assert failures[0].startswith("s-0 can't listen at ")


def udp_socket() -> socket.socket:
    """Return a non-blocking UDP socket on a free port."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    sock.setblocking(False)
    return sock


async def relay_one_message() -> GossipRelay:
    """Send one message through a relay of two balancers; check that only the other gets it."""
    loop = asyncio.get_running_loop()
    with udp_socket() as sender, udp_socket() as receiver:
        transport, relay = await loop.create_datagram_endpoint(
            lambda: GossipRelay(ScenarioTestBed(small_experiment(), 1)), local_addr=("127.0.0.1", 0)
        )
        relay.members += [sender.getsockname(), receiver.getsockname()]
        sender.sendto(b"hint", transport.get_extra_info("sockname"))
        received = await asyncio.wait_for(loop.sock_recv(receiver, 100), ANSWER_TIMEOUT_S)
        assert received == b"hint"
        with pytest.raises(BlockingIOError):
            sender.recv(100)
        transport.close()
    return relay


def test_the_gossip_relay_passes_a_message_to_all_other_balancers():
    assert asyncio.run(relay_one_message()).passed == 1


def test_each_lab_process_has_an_address_of_its_own():
    """Clients of one scenario must not connect to a balancer of another, parallel one."""
    hosts = {
        subprocess.run(
            [sys.executable, "-c", PRINT_HOST], cwd=ROOT, capture_output=True, text=True
        ).stdout
        for _ in range(3)
    }
    assert len(hosts) == 3
    assert all(host.startswith("127.") for host in hosts)
