"""The program with every connection slot in use, and with peers that read nothing."""

import itertools
import signal
import sys
import time
from contextlib import suppress
from threading import Event

import pytest
from helpers import endpoint_entry
from program_helpers import (
    END,
    RESET,
    DiscoveryServer,
    LineConnection,
    ServerDouble,
    endpoint_update,
    wait_until,
)

SOCKETS = 256  # limit of the program's descriptors


class LosingDiscovery(DiscoveryServer):
    """A discovery service that breaks the first watch, without an update, once `lost` is set."""

    def __init__(self, *updates: bytes):
        """Listen; the updates are for the watches after the first."""
        self.lost = Event()
        super().__init__(*updates)

    def serve(self, client: LineConnection) -> None:
        """Break the first watch once `lost` is set; serve all others."""
        if self.paths:
            super().serve(client)
            return
        self.paths.append(client.read_line().split(" ")[1])
        assert self.lost.wait(20)
        client.close()


def test_endpoint_list_is_fetched_although_clients_hold_every_slot(start_program):
    """The watch breaks when established flows and silent clients hold all descriptors."""
    draining, other = ServerDouble(), ServerDouble()
    drain = endpoint_update(endpoint_entry("s-0", draining.address, "terminating"), generation=9)
    discovery = LosingDiscovery(drain)
    program = start_program(
        draining,
        other,
        discovery_server=discovery,
        sockets=SOCKETS,
        command=("/bin/sh", "-c", f"ulimit -n {SOCKETS}; exec {sys.executable} -m cypresswalk"),
    )
    established: list[LineConnection] = []
    while (flow := program.open(f"d{len(established)}")).read_line().startswith("UP"):
        established.append(flow)
    assert len(established) == 96
    silent = [program.connect() for _ in range(80)]
    discovery.lost.set()
    wait_until(lambda: len(discovery.paths) > 1, 6)
    for flow in established[:8]:
        flow.close()
    names = (f"e{number}" for number in itertools.count())
    wait_until(lambda: program.open(next(names)).read_line().startswith("UP"))
    before = len(draining.open_lines)
    for number in range(6):
        assert program.open(f"f{number}").read_line().startswith("UP")
    assert len(draining.open_lines) == before  # the new list says that it drains
    assert "Too many open files" not in program.log.read_text()
    for client in silent + established:
        client.close()


class UnreadingServer(ServerDouble):
    """A server that accepts flows and then reads nothing from them."""

    def serve(self, client: LineConnection) -> None:
        """Read only first lines and health checks."""
        with suppress(OSError):  # the balancer may exit with the test while this still waits
            while (line := client.read_line()) not in (END, RESET):
                if line == "PING":
                    client.send_line("PONG")
                else:
                    self.open_lines.append(line)
                    client.send_line("UP r" + line.split(" ")[1])
                    Event().wait(20)


def send_until_blocked(client: LineConnection) -> None:
    """Send until the peer takes nothing more."""
    client.sock.settimeout(0.5)
    with pytest.raises(TimeoutError):
        while True:
            client.sock.sendall(b"M " + b"x" * 1000 + b"\r\n")


def test_flows_are_still_placed_while_a_server_and_a_client_read_nothing(start_program):
    streaming, unreading = ServerDouble(), UnreadingServer()
    program = start_program(streaming, unreading)
    clients: dict[str, LineConnection] = {}  # by flow id
    while not (streaming.open_lines and unreading.open_lines):
        flow_id = f"n{len(clients)}"
        clients[flow_id] = program.open(flow_id)
        assert clients[flow_id].read_line().startswith("UP")
    client_of_streaming, client_of_unreading = (
        clients[server.open_lines[0].split(" ")[1]] for server in (streaming, unreading)
    )
    client_of_streaming.send_line("STREAM")  # and reads none of it
    send_until_blocked(client_of_unreading)
    for number in range(20):
        started = time.monotonic()
        assert program.open(f"o{number}").read_line().startswith("UP")
        assert time.monotonic() - started < 1
    program.process.send_signal(signal.SIGTERM)
    assert program.process.wait(5) == 0
