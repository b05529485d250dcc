"""Tests of one attempt at a server: what it sends and what it reports to the core.

The attempt is paused after connecting, so that events can be placed before the request is sent.
"""

import errno
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from threading import Event, Semaphore, Thread
from typing import Any, cast

import pytest
from core_helpers import DRIVER_LIMITS
from helpers import START, config_data, endpoint_entry
from program_helpers import LOOPBACK, reset_on_close, wait_until

from cypresswalk.model import SECOND, Outcome, Server
from cypresswalk.net import servers as servers_module
from cypresswalk.net.clients import ClientConnection
from cypresswalk.net.clock import Clock
from cypresswalk.net.config import Address, build
from cypresswalk.net.connection import dial
from cypresswalk.net.core import Core
from cypresswalk.net.counters import Counters
from cypresswalk.net.delay_gauge import DelayGauge
from cypresswalk.net.inbox import Inbox
from cypresswalk.net.limits import MILLISECOND
from cypresswalk.net.parsers.lines import parse_open_request
from cypresswalk.net.servers import ServerConnection
from cypresswalk.net.session import Attempt

OPEN_LINE = b"OPEN a1 7 c=view,t=north,d=900"
JOIN_TIMEOUT = 5  # seconds in which the attempt's thread must end


def connected_pair() -> tuple[socket.socket, socket.socket]:
    """Return both ends of a TCP connection: the balancer's and the client's."""
    with socket.create_server((LOOPBACK, 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    return accepted, client


class AttemptHarness:
    """One attempt at a server, paused by the test after it has connected.

    There is no deciding thread: what the attempt reports stays in the inbox.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch):
        """Create an attempt for a client without starting it."""
        self.inbox = Inbox(Clock())
        config = build({}, config_data([endpoint_entry("s-0")]))
        self.core = Core(config, cast(Any, None), Counters(), self.inbox.clock())
        accepted, self.client_socket = connected_pair()
        self.client = ClientConnection(accepted, self.core, self.inbox, DRIVER_LIMITS, {})
        self.server = socket.create_server((LOOPBACK, 0))
        self.dialed = Event()  # set once connected; the attempt then waits for `may_continue`
        self.may_continue = Event()
        monkeypatch.setattr(servers_module, "dial", self.dial_and_pause)
        session = self.client.session
        session.request = parse_open_request(OPEN_LINE)
        server = Server(id=1)
        send_deadline = self.inbox.clock() + 60 * SECOND
        gauge = DelayGauge(server, threshold=SECOND, interval=SECOND)
        self.attempt = Attempt(session, server, 0, START, send_deadline, gauge)
        self.connection = ServerConnection(
            self.attempt,
            self.server.getsockname(),
            OPEN_LINE + b"\r\n",
            self.core,
            self.inbox,
            DRIVER_LIMITS,
            Semaphore(1),
        )
        self.thread = Thread(target=self.connection.run, daemon=True)

    def dial_and_pause(self, address: Address, timeout: int) -> socket.socket:
        """Connect, and return once the test has set `may_continue`."""
        sock = dial(address, timeout)
        self.dialed.set()
        assert self.may_continue.wait(10)
        return sock

    def start(self) -> None:
        """Start the attempt."""
        self.thread.start()

    def start_and_pause(self) -> None:
        """Start the attempt and return once it has connected."""
        self.start()
        assert self.dialed.wait(5)

    def start_and_accept(self) -> socket.socket:
        """Start the attempt without a pause and return the server's end of its connection."""
        self.start()
        self.may_continue.set()
        sock, _ = self.server.accept()
        sock.settimeout(5)
        return sock

    def received_by_server(self) -> bytes:
        """Return what the server reads until the connection ends."""
        sock, _ = self.server.accept()
        sock.settimeout(5)
        data = b""
        with suppress(OSError):
            while more := sock.recv(4096):
                data += more
        return data

    def reported(self) -> list[tuple]:
        """Return the posted calls once the attempt has ended.

        Each is a method's name and its arguments, without the first, the attempt or session.
        """
        self.thread.join(JOIN_TIMEOUT)
        calls = []
        while self.inbox.queue.qsize():
            _, call, args = self.inbox.queue.get()
            calls.append((call.__name__, *args[1:]))
        return calls


@pytest.fixture
def harness(monkeypatch: pytest.MonkeyPatch) -> AttemptHarness:
    """Return an attempt that has not been started."""
    return AttemptHarness(monkeypatch)


def test_attempt_without_a_slot_is_known_not_to_have_run(harness):
    harness.connection.limits = replace(DRIVER_LIMITS, dial_timeout=50 * MILLISECOND)
    assert harness.connection.slots.acquire(blocking=False)
    harness.start()
    assert harness.reported() == [("on_attempt_ended", Outcome.NOT_SENT)]
    assert not harness.dialed.is_set()


def close(sock: socket.socket) -> None:
    """Close the client's connection."""
    sock.close()


def half_close(sock: socket.socket) -> None:
    """Shut down the client's sending half."""
    sock.shutdown(socket.SHUT_WR)


def reset(sock: socket.socket) -> None:
    """Reset the client's connection."""
    reset_on_close(sock)
    sock.close()


def send_then_close(sock: socket.socket) -> None:
    """Send something as the client, then close its connection."""
    sock.sendall(b"more than was asked for")
    sock.close()


@pytest.mark.parametrize("leave", [close, half_close, reset, send_then_close])
def test_nothing_is_sent_for_a_client_that_left_before_the_core_knows(
    harness, leave: Callable[[socket.socket], None]
):
    # While the attempt connects, the client's end is still waiting in the inbox. A flow without a
    # client must not be sent to the server.
    harness.start_and_pause()
    leave(harness.client_socket)
    wait_until(harness.client.has_ended)
    harness.may_continue.set()
    assert harness.received_by_server() == b""
    assert harness.reported() == [("on_client_left",)]


def test_no_connection_is_opened_for_a_client_that_left_before_the_dial(harness):
    harness.client_socket.close()
    wait_until(harness.client.has_ended)
    harness.start()
    assert harness.reported() == [("on_client_left",)]
    assert not harness.dialed.is_set()


def test_complete_line_is_sent_for_a_client_that_leaves_after_the_dial(harness):
    server = harness.start_and_accept()
    assert server.recv(4096) == harness.connection.open_line
    harness.client_socket.close()
    server.sendall(b"ERR\r\n")
    assert harness.reported() == [("on_attempt_ended", Outcome.ERROR)]


def test_line_is_not_sent_when_the_idempotency_window_ends_during_the_dial(harness):
    # The servers may have forgotten the first attempt by then, so a second could take effect again.
    harness.attempt.send_deadline = harness.inbox.clock() + 20 * MILLISECOND
    harness.start_and_pause()
    wait_until(lambda: harness.inbox.clock() > harness.attempt.send_deadline)
    harness.may_continue.set()
    assert harness.received_by_server() == b""
    assert harness.reported() == [("on_attempt_ended", Outcome.NOT_SENT)]
    assert not harness.connection.cancel_unsent()


@pytest.mark.parametrize("first", ["drop", "dial"])
def test_attempt_dropped_while_it_connects_sends_the_whole_line_or_nothing(harness, first):
    harness.start_and_pause()
    if first == "drop":
        harness.connection.close()
        harness.may_continue.set()
        assert harness.received_by_server() == b""
    else:
        harness.may_continue.set()
        wait_until(lambda: harness.connection.sent)
        assert not harness.connection.cancel_unsent()
        harness.connection.close()
        assert harness.received_by_server() in (b"", harness.connection.open_line)
    harness.thread.join(JOIN_TIMEOUT)
    assert not harness.thread.is_alive()


@pytest.mark.parametrize(
    "answer, outcome",
    [
        (b"UP\r\n", Outcome.ERROR),
        (b"UP \r\n", Outcome.ERROR),
        (b"UPPER 7\r\n", Outcome.ERROR),
        (b"UP \x01\x02\r\n", Outcome.ERROR),
        (b"NO\r\n", Outcome.ERROR),
        (b"SYNTAX\r\n", Outcome.ERROR),
        (b"BUSY\r\n", Outcome.FULL),
        (b"BUS", Outcome.RESET),
        (b"UP 7", Outcome.RESET),
        (b"x" * 5000, Outcome.RESET),
        (b"", Outcome.RESET),
        (b"BYE\r\n", Outcome.OK),
    ],
)
def test_reply_that_is_no_acceptance_is_never_relayed(harness, answer, outcome):
    server = harness.start_and_accept()
    server.recv(4096)
    server.sendall(answer)
    server.close()
    assert harness.reported() == [("on_attempt_ended", outcome)]


def test_decisions_go_on_while_a_server_reads_nothing(harness):
    # The deciding thread calls `close` and `cancel_unsent`, which must not block until the line is
    # written.
    harness.connection.open_line = b"x" * (64 << 20)  # larger than any socket buffer
    server = harness.start_and_accept()
    wait_until(lambda: harness.connection.sent)
    began = time.monotonic()
    assert not harness.connection.cancel_unsent()
    harness.connection.close()
    assert time.monotonic() - began < 1
    # The line was not sent completely.
    assert harness.reported()[:1] == [("on_attempt_ended", Outcome.CONNECT_FAILED)]
    server.close()


def test_no_server_is_blamed_when_descriptors_run_out(harness, monkeypatch):
    def dial_without_descriptors(address: Address, timeout: int) -> socket.socket:
        raise OSError(errno.EMFILE, "Too many open files")

    monkeypatch.setattr(servers_module, "dial", dial_without_descriptors)
    harness.start()
    assert harness.reported() == [("on_attempt_ended", Outcome.NOT_SENT)]
