"""The program with every slot in use, and with peers that read nothing."""

import itertools
import signal
import sys
import time
from contextlib import suppress
from threading import Event

import pytest
from helpers import listed
from program_helpers import (
    END,
    RESET,
    DiscoveryServer,
    LineConnection,
    ServerDouble,
    endpoint_update,
    wait_until,
)

SOCKETS = 256  # descriptors of the program


class LosingDiscovery(DiscoveryServer):
    """Loses its first watch when the test says so, having told it nothing."""

    def __init__(self, *updates: bytes):
        """The updates are for the watches after the first."""
        self.lost = Event()
        super().__init__(*updates)

    def serve(self, client: LineConnection) -> None:
        """Serves all watches but the first."""
        if self.paths:
            super().serve(client)
            return
        self.paths.append(client.read_line().split(" ")[1])
        assert self.lost.wait(20)
        client.close()


def test_endpoint_list_is_fetched_though_clients_hold_every_slot(start_program):
    """Every flow is established, silent clients take what is left, and the watch is lost then."""
    draining, other = ServerDouble(), ServerDouble()
    drain = endpoint_update(listed("s-0", draining.address, "terminating"), generation=9)
    discovery = LosingDiscovery(drain)
    program = start_program(
        draining,
        other,
        discovery_server=discovery,
        sockets=SOCKETS,
        command=("/bin/sh", "-c", f"ulimit -n {SOCKETS}; exec {sys.executable} -m cypresswalk"),
    )
    established = []
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
    assert len(draining.open_lines) == before  # its drain was told
    assert "Too many open files" not in program.log.read_text()
    for client in silent + established:
        client.close()


class UnreadingServer(ServerDouble):
    """Accepts flows, and then reads nothing any more."""

    def serve(self, client: LineConnection) -> None:
        """Reads first lines and health checks alone."""
        with suppress(OSError):  # the balancer ends with the test, while this may still wait
            while (line := client.read_line()) not in (END, RESET):
                if line == "PING":
                    client.send_line("PONG")
                else:
                    self.open_lines.append(line)
                    client.send_line("UP r" + line.split(" ")[1])
                    Event().wait(20)


def send_until_blocked(client: LineConnection) -> None:
    """Sends until nothing more is taken."""
    client.sock.settimeout(0.5)
    with pytest.raises(TimeoutError):
        while True:
            client.sock.sendall(b"M " + b"x" * 1000 + b"\r\n")


def test_decisions_go_on_while_a_server_and_a_client_read_nothing(start_program):
    streaming, unreading = ServerDouble(), UnreadingServer()
    program = start_program(streaming, unreading)
    clients: dict[str, LineConnection] = {}  # by flow id
    while not (streaming.open_lines and unreading.open_lines):
        flow_id = f"n{len(clients)}"
        clients[flow_id] = program.open(flow_id)
        assert clients[flow_id].read_line().startswith("UP")
    of_streaming, of_unreading = (
        clients[server.open_lines[0].split(" ")[1]] for server in (streaming, unreading)
    )
    of_streaming.send_line("STREAM")  # its client reads none of it
    send_until_blocked(of_unreading)
    for number in range(20):
        began = time.monotonic()
        assert program.open(f"o{number}").read_line().startswith("UP")
        assert time.monotonic() - began < 1
    program.process.send_signal(signal.SIGTERM)
    assert program.process.wait(5) == 0
