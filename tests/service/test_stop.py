"""The program's stop: whatever crosses it is answered once."""

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
from helpers import config_data, listed
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

# Sent SIGTERM between its first listening and its first decision; goes on once it reads a byte.
SIGNALLED_AT_ITS_START = """
import os, signal, sys
from cypresswalk.service import program

class SignalledProgram(program.Program):
    def __init__(self, *args):
        super().__init__(*args)
        os.kill(os.getpid(), signal.SIGTERM)
        sys.stdin.read(1)

sys.exit(program.main(made=SignalledProgram))
"""


class InProcessProgram:
    """The program in this process: its threads can be held at a point."""

    def __init__(self, folder: Path, *servers: ServerDouble, **changes: Any):
        """Starts it; `changes` as of `config_data`."""
        self.address = (LOOPBACK, free_port())
        data = config_data(
            [listed(f"s-{i}", server.address) for i, server in enumerate(servers)],
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
        """A client's connection."""
        return LineConnection.to(self.address)

    def open(self, ident: str, timeout_ms: int = 800) -> LineConnection:
        """A client's connection on which it has sent a flow's first line."""
        client = self.connect()
        client.send_line(open_line(ident, timeout_ms))
        return client

    def stop(self) -> None:
        """Stops the program as SIGTERM does."""
        self.program.inbox.post(self.program.stop)

    def wait_until_stopped(self) -> None:
        """Returns once the core has stopped; the listener may not have."""
        wait_until(lambda: self.program.core.lifecycle.stopped)

    def has_ended(self) -> bool:
        """Whether the program ends in time."""
        self.thread.join(STOP_TIMEOUT)
        return not self.thread.is_alive()


def open_line(ident: str, timeout_ms: int = 900) -> str:
    """A flow's first line."""
    return f"OPEN {ident} 77 c=view,t=north,d={timeout_ms}"


class HeldAccept:
    """Holds a program's accepting thread at its next client. What the thread does later goes on."""

    def __init__(self, program: Program):
        """Holds from now on."""
        self.reached = Event()
        self.may_go_on = Event()
        self.admit = program.listener.admit
        program.listener.admit = self.hold_and_admit

    def hold_and_admit(self, sock: socket.socket) -> None:
        """Takes the listener's place."""
        self.reached.set()
        assert self.may_go_on.wait(20)
        self.admit(sock)


def test_stop_answers_every_client_in_the_backlog(tmp_path):
    # The accepting thread is held until the stop's end: who wrote a line by then is in the backlog.
    server = ServerDouble()
    running = InProcessProgram(tmp_path, server)
    held = HeldAccept(running.program)
    first = running.open("a0")
    assert held.reached.wait(5)
    waiting = [running.open(f"a{i}", 4000) for i in range(1, 12)]
    idle = [running.connect() for _ in range(4)]
    running.stop()
    running.wait_until_stopped()
    held.may_go_on.set()
    assert running.has_ended()
    for client in [first, *waiting, *idle]:
        client.assert_only_answer("BUSY")
    assert server.open_lines == []
    with pytest.raises(ConnectionRefusedError):
        running.connect()


def test_stop_answers_the_backlog_without_a_free_slot(tmp_path):
    server = ServerDouble()
    running = InProcessProgram(tmp_path, server, sockets=64)
    held = HeldAccept(running.program)
    first = running.open("b0")
    assert held.reached.wait(5)
    while running.program.listener.slots.acquire(blocking=False):
        pass
    waiting = [running.open(f"b{i}", 4000) for i in range(1, 9)]
    running.stop()
    running.wait_until_stopped()
    held.may_go_on.set()
    assert running.has_ended()
    assert [client.read_line() for client in waiting] == ["BUSY"] * 8
    assert first.read_line() == "BUSY"


class RequestsAroundDismissal:
    """Sends requests in the instant in which the program dismisses idle clients.

    Half of the clients send theirs right before the first dismissal, the others right after it.
    """

    def __init__(self, program: Program, clients: list[LineConnection]):
        """Takes the place of the listener's dismissal."""
        self.clients = clients
        self.halves_sent = 0
        self.dismiss = program.listener.dismiss_unopened
        program.listener.dismiss_unopened = self.send_and_dismiss

    def send_and_dismiss(self) -> None:
        """Sends around the first dismissal, and only dismisses from then on."""
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
    """Its line is read before the dismissal, or it meets the rejection; no server ever gets it."""
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


def test_stop_answers_flows_whose_server_hangs_and_sends_nothing_after(tmp_path):
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
    """A process that has sent itself SIGTERM at its start and waits, its port, and its server."""
    server = ServerDouble()
    port = free_port()
    data = config_data(
        [listed("s-0", server.address)], f"{LOOPBACK}:{port}", DiscoveryServer().address
    )
    file = tmp_path / "config.json"
    file.write_text(json.dumps(data))
    process = subprocess.Popen(
        (sys.executable, "-c", SIGNALLED_AT_ITS_START),
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        env=os.environ | {"PROXY_CONFIG": str(file)},
    )
    yield process, port, server
    process.kill()
    process.wait()


def test_sigterm_counts_from_the_first_listening_on(signalled_program):
    """Who comes between the first listening and the first decision is answered all the same."""
    process, port, _ = signalled_program

    def connect() -> LineConnection | None:
        try:
            return LineConnection.to((LOOPBACK, port))
        except ConnectionRefusedError:
            assert process.poll() is None
            return None

    client = wait_until(connect)
    client.send_line(open_line("t1"))
    process.stdin.write(b"x")  # the start goes on
    process.stdin.flush()
    assert [client.read_line(), client.read_line(), client.read_line()] == ["UP rt1", "MOVE", END]
    assert process.wait(STOP_TIMEOUT) == 0


def test_second_sigterm_changes_nothing(start_program):
    program = start_program(ServerDouble())
    client = program.open("s1")
    assert client.read_line() == "UP rs1"
    program.process.send_signal(signal.SIGTERM)
    program.process.send_signal(signal.SIGTERM)
    assert client.read_line() == "MOVE"
    assert program.process.wait(5) == 0
