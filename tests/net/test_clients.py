"""Tests of a client's connection: what its thread costs, and when its request counts as come."""

import socket
import time
from collections.abc import Iterator
from queue import Empty
from threading import Thread
from types import SimpleNamespace
from typing import Any, cast

import pytest
from core_helpers import DRIVER_LIMITS

from cypresswalk.model import SECOND
from cypresswalk.net.clients import ClientConnection
from cypresswalk.net.clock import Clock
from cypresswalk.net.connection import Connection
from cypresswalk.net.counters import Counters
from cypresswalk.net.inbox import Inbox

LOOPBACK = "127.0.0.1"
MILLISECOND = SECOND // 1000
WAIT_S = 0.25  # for which a request is not read


class AcceptedClient:
    """A client's connection whose thread the test starts; its events stay in the inbox."""

    def __init__(self) -> None:
        """Accept the client."""
        with socket.create_server((LOOPBACK, 0)) as listener:
            self.client_socket = socket.create_connection(listener.getsockname())
            accepted, _ = listener.accept()
        self.inbox = Inbox(Clock())
        core = SimpleNamespace(
            on_open=object(), on_client_left=object(), counters=Counters(), lifecycle=None
        )
        self.unopened: dict[ClientConnection, None] = {}
        self.connection = ClientConnection(
            accepted, cast(Any, core), self.inbox, DRIVER_LIMITS, self.unopened
        )
        self.thread = Thread(target=self.connection.run, daemon=True)


@pytest.fixture
def accepted() -> Iterator[AcceptedClient]:
    """Return an accepted client; end its connection after the test."""
    client = AcceptedClient()
    yield client
    client.client_socket.close()
    client.thread.join(3)


def test_request_that_is_read_late_is_reported_with_the_time_that_it_waited(accepted):
    # Found by the soak: in a crowd a request is read some 100 ms after it has arrived, and the
    # answer at its deadline was as late.
    accepted.client_socket.sendall(b"OPEN f1 7 c=view,t=north,d=900\r\n")
    time.sleep(WAIT_S)
    accepted.thread.start()
    try:
        _, _, (_, request, waited) = accepted.inbox.queue.get(timeout=3)
    except Empty:
        pytest.fail("the request was not read")
    assert request.ident == "f1"
    # The kernel counts whole milliseconds or ticks of four.
    assert waited >= int(WAIT_S * SECOND) - 10 * MILLISECOND


def test_dismissed_client_that_stays_is_looked_at_a_few_times_only(accepted, monkeypatch):
    # Found by the soak: in a crowd dozens of threads that looked every 5 ms kept other clients'
    # requests waiting for half a second.
    looks = []
    peer_closed = Connection.peer_closed

    def count_looks(self: Connection) -> bool:
        looks.append(time.monotonic())
        return peer_closed(self)

    monkeypatch.setattr(Connection, "peer_closed", count_looks)
    accepted.thread.start()
    while not accepted.connection.dismiss():
        time.sleep(0.001)
    accepted.thread.join(3)
    assert accepted.client_socket.recv(100) == b"BUSY\r\n"
    assert 2 <= len(looks) <= 6
    assert looks[1] - looks[0] < 0.05  # one that leaves soon frees its slot soon
