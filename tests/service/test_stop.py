"""The program's shutdown: every client that connects or sends meanwhile gets one answer."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path
from threading import Event, Thread
from typing import Any

import pytest
from helpers import config_data, endpoint_entry, present
from program_helpers import (
    END,
    LOOPBACK,
    ROOT,
    DiscoveryServer,
    LineConnection,
    ServerDouble,
    ServerMode,
    free_port,
    wait_until,
)

from cypresswalk.net.config import build
from cypresswalk.service.program import Program

pytestmark = pytest.mark.usefixtures("end_watches")

STOP_TIMEOUT = 8  # seconds

# Sends itself SIGTERM between its first listening and its first decision, then waits for a byte.
SIGNALLED_AT_START = """
import os, signal, sys
from cypresswalk.service import program

class SignalledProgram(program.Program):
    def __init__(self, *args):
        super().__init__(*args)
        os.kill(os.getpid(), signal.SIGTERM)
        sys.stdin.read(1)

sys.exit(program.main(program_class=SignalledProgram))
"""


class InProcessProgram:
    """The program in the test's process, so that a test can hold its threads at a point."""

    def __init__(self, folder: Path, *servers: ServerDouble, **changes: Any):
        """Start the program; `changes` as for `config_data`."""
        self.address = (LOOPBACK, free_port())
        data = config_data(
            [endpoint_entry(f"s-{i}", server.address) for i, server in enumerate(servers)],
            f"{LOOPBACK}:{self.address[1]}",
            DiscoveryServer().address,
            **changes,
        )
        file = folder / "config.json"
        file.write_text(json.dumps(data))
        self.program = Program(build({"PROXY_CONFIG": str(file)}, data))
        self.thread = Thread(target=self.program.run, daemon=True)
        self.thread.start()

    def connect(self) -> LineConnection:
        """Return a new client connection."""
        return LineConnection.to(self.address)

    def open(self, ident: str, timeout_ms: int = 800) -> LineConnection:
        """Return a client connection on which a flow's first line was sent."""
        client = self.connect()
        client.send_line(open_line(ident, timeout_ms))
        return client

    def stop(self) -> None:
        """Stop the program as SIGTERM does."""
        self.program.inbox.post(self.program.stop)

    def wait_until_stopped(self) -> None:
        """Wait until the core has stopped; the listener may still run."""
        wait_until(lambda: self.program.core.lifecycle.stopped)

    def has_ended(self) -> bool:
        """Return whether the program ends within `STOP_TIMEOUT`."""
        self.thread.join(STOP_TIMEOUT)
        return not self.thread.is_alive()


def open_line(ident: str, timeout_ms: int = 900) -> str:
    """Return a flow's first line."""
    return f"OPEN {ident} 77 c=view,t=north,d={timeout_ms}"


class BlockedAccept:
    """A block of the program's accepting thread, at its next client, until `may_go_on` is set."""

    def __init__(self, program: Program):
        """Replace the listener's `admit`."""
        self.reached = Event()
        self.may_go_on = Event()
        self.admit = program.listener.admit
        program.listener.admit = self.wait_and_admit  # type: ignore[method-assign]

    def wait_and_admit(self, sock: socket.socket, accepted_at: int | None = None) -> None:
        """Wait for `may_go_on`, then call the listener's `admit`."""
        self.reached.set()
        assert self.may_go_on.wait(20)
        self.admit(sock, accepted_at)


def test_stop_answers_every_client_in_the_backlog(tmp_path):
    # The accepting thread is blocked until the core has stopped: until then the clients are in the
    # backlog.
    server = ServerDouble()
    running = InProcessProgram(tmp_path, server)
    blocked = BlockedAccept(running.program)
    first = running.open("a0")
    assert blocked.reached.wait(5)
    waiting = [running.open(f"a{i}", 4000) for i in range(1, 12)]
    idle = [running.connect() for _ in range(4)]
    running.stop()
    running.wait_until_stopped()
    blocked.may_go_on.set()
    assert running.has_ended()
    for client in [first, *waiting, *idle]:
        client.assert_only_answer("BUSY")
    assert server.open_lines == []
    with pytest.raises(ConnectionRefusedError):
        running.connect()


def test_stop_answers_the_backlog_without_a_free_slot(tmp_path):
    server = ServerDouble()
    running = InProcessProgram(tmp_path, server, sockets=64)
    blocked = BlockedAccept(running.program)
    first = running.open("b0")
    assert blocked.reached.wait(5)
    while running.program.listener.slots.acquire(blocking=False):
        pass
    waiting = [running.open(f"b{i}", 4000) for i in range(1, 9)]
    running.stop()
    running.wait_until_stopped()
    blocked.may_go_on.set()
    assert running.has_ended()
    assert [client.read_line() for client in waiting] == ["BUSY"] * 8
    assert first.read_line() == "BUSY"


class RequestsAroundDismissal:
    """Requests sent at the moment when the program dismisses idle clients.

    Half of the clients send theirs right before the first dismissal, the others right after it.
    """

    def __init__(self, program: Program, clients: list[LineConnection]):
        """Replace the listener's `dismiss_unopened`."""
        self.clients = clients
        self.halves_sent = 0
        self.dismiss = program.listener.dismiss_unopened
        program.listener.dismiss_unopened = self.send_and_dismiss  # type: ignore[method-assign]

    def send_and_dismiss(self) -> None:
        """Send the requests around the first dismissal; later ones only dismiss."""
        if self.halves_sent:
            self.dismiss()
            return
        middle = len(self.clients) // 2
        for number, client in enumerate(self.clients[:middle]):
            client.send_line(open_line(f"r{number}"))
        self.halves_sent += 1
        self.dismiss()
        for number, client in enumerate(self.clients[middle:], middle):
            with suppress(OSError):
                client.send_line(open_line(f"r{number}"))
        self.halves_sent += 1


def test_idle_client_gets_one_answer_when_its_request_crosses_the_stop(tmp_path):
    """Whether its line is read before the dismissal or after it, no server gets the flow."""
    server = ServerDouble()
    running = InProcessProgram(tmp_path, server)
    idle = [running.connect() for _ in range(6)]
    for client in idle:
        client.send_line("PING")
        assert client.read_line() == "PONG"
    requests = RequestsAroundDismissal(running.program, idle)
    running.stop()
    assert running.has_ended()
    assert requests.halves_sent == 2
    assert [client.read_line() for client in idle] == ["BUSY"] * 6
    assert server.open_lines == []


def test_stop_answers_flows_whose_server_hangs_and_sends_nothing_afterwards(tmp_path):
    servers = [ServerDouble(ServerMode.SILENT), ServerDouble(ServerMode.SILENT)]
    running = InProcessProgram(tmp_path, *servers)

    def sent() -> int:
        return sum(len(server.open_lines) for server in servers)

    flows = [running.open(f"c{i}", 900) for i in range(6)]
    wait_until(lambda: sent() >= 6)
    running.stop()
    late = running.open("c9", 900)
    assert [client.read_line() for client in [*flows, late]] == ["BUSY"] * 7
    assert running.has_ended()
    sent_by_the_end = sent()
    time.sleep(0.1)
    assert sent() == sent_by_the_end


@pytest.fixture
def signalled_program(tmp_path: Path):
    """Start `SIGNALLED_AT_START`; return the process, its port and its server."""
    server = ServerDouble()
    port = free_port()
    data = config_data(
        [endpoint_entry("s-0", server.address)], f"{LOOPBACK}:{port}", DiscoveryServer().address
    )
    file = tmp_path / "config.json"
    file.write_text(json.dumps(data))
    process = subprocess.Popen(
        (sys.executable, "-c", SIGNALLED_AT_START),
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        env=os.environ | {"PROXY_CONFIG": str(file)},
    )
    yield process, port, server
    process.kill()
    process.wait()


def test_sigterm_during_the_start_stops_the_program_gracefully(signalled_program):
    """A client that connects between the first listening and the first decision is answered."""
    process, port, _ = signalled_program

    def connect() -> LineConnection | None:
        try:
            return LineConnection.to((LOOPBACK, port))
        except ConnectionRefusedError:
            assert process.poll() is None
            return None

    client = present(wait_until(connect))
    client.send_line(open_line("t1"))
    process.stdin.write(b"x")  # lets the start continue
    process.stdin.flush()
    assert [client.read_line(), client.read_line(), client.read_line()] == ["UP rt1", "MOVE", END]
    assert process.wait(STOP_TIMEOUT) == 0


def test_second_sigterm_has_no_effect(start_program):
    program = start_program(ServerDouble())
    client = program.open("s1")
    assert client.read_line() == "UP rs1"
    program.process.send_signal(signal.SIGTERM)
    program.process.send_signal(signal.SIGTERM)
    assert client.read_line() == "MOVE"
    assert program.process.wait(5) == 0
