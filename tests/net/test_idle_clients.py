"""Clients that have sent nothing: when they are taken, dismissed and closed."""

import socket
from collections.abc import Iterator

import pytest
from core_helpers import DRIVER_LIMITS
from program_helpers import END, LOOPBACK, LineConnection

from cypresswalk.model import SECOND
from cypresswalk.net.idle_clients import IdleClient, IdleClients
from cypresswalk.net.limits import MILLISECOND

LINGER = SECOND // 10
BUSY = b"BUSY\r\n"


class IdleClientsHarness:
    """Idle clients with a clock that the test sets, and a count of the slots given back."""

    def __init__(self) -> None:
        """Listen at a free port."""
        self.now = SECOND
        self.released = 0
        self.idle = IdleClients(lambda: self.now, DRIVER_LIMITS, self._release)
        self.listener = socket.create_server((LOOPBACK, 0))

    def _release(self) -> None:
        self.released += 1

    def connect(self) -> LineConnection:
        """Return a client whose accepted connection is watched."""
        client = LineConnection.to(self.listener.getsockname())
        sock, _ = self.listener.accept()
        self.idle.add(IdleClient(sock, self.now, self.now))
        return client

    def dismiss_oldest(self) -> None:
        """Dismiss the client that was accepted first."""
        oldest = self.idle.oldest()
        assert oldest is not None
        self.idle.dismiss(oldest, BUSY, LINGER)


@pytest.fixture
def harness() -> Iterator[IdleClientsHarness]:
    """Return a harness, and close its sockets after the test."""
    harness = IdleClientsHarness()
    yield harness
    harness.listener.close()
    for client in [*harness.idle.waiting.values(), *harness.idle.dismissed.values()]:
        client.sock.close()


def test_client_that_sends_or_ends_is_taken_and_others_stay(harness):
    silent, sender, leaver = harness.connect(), harness.connect(), harness.connect()
    sender.send_line("PING")
    leaver.close()
    taken: list[IdleClient] = []
    while len(taken) < 2:
        taken += harness.idle.wait(SECOND)
    assert len(harness.idle.waiting) == 1
    assert harness.released == 0  # whoever takes a client has its slot
    for client in taken:
        client.sock.close()
    silent.close()


def test_line_that_crosses_a_dismissal_does_not_reset_the_reply(harness):
    # Closing a socket at once, or with unread data, sends a reset, and the reply may be lost.
    client = harness.connect()
    harness.dismiss_oldest()
    for _ in range(3):  # the second would fail after a reset
        client.send_line("OPEN m1 77 c=view,t=north,d=800")
        assert harness.idle.wait(10 * MILLISECOND) == []
    harness.idle.close_lingering()
    assert harness.released == 0
    harness.now += LINGER
    harness.idle.close_lingering()
    assert [client.read_line(), client.read_line()] == ["BUSY", END]
    assert harness.released == 1


def test_flood_after_a_dismissal_is_not_read_for_ever(harness):
    client = harness.connect()
    harness.dismiss_oldest()
    client.sock.settimeout(0.2)
    sent = 0
    with pytest.raises(TimeoutError):  # nobody reads any more, and the buffers are full
        while True:
            sent += client.sock.send(b"x" * 65536)
            harness.idle.wait(0)
    assert sent >= DRIVER_LIMITS.max_discarded_bytes
    client.close()
