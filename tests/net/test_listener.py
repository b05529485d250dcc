"""Tests of the listener: clients without a slot, and what its threads see of each other."""

import socket
import sys
from collections.abc import Iterator
from threading import Event, Thread
from types import SimpleNamespace
from typing import Any, cast

import pytest
from core_helpers import LIMITS
from program_helpers import LOOPBACK, wait_until

from cypresswalk.net import listener as listener_module
from cypresswalk.net.clock import Clock
from cypresswalk.net.counters import Counters
from cypresswalk.net.idle_clients import IdleClient
from cypresswalk.net.inbox import Inbox
from cypresswalk.net.listener import ClientListener

CALLS = 20_000
CLIENTS = 50
TINY_SWITCH_INTERVAL = 1e-6  # seconds


class BusyClient:
    """A client that cannot be dismissed."""

    accepted_at = 0

    def dismiss(self) -> bool:
        """Return False, as for a client whose first line has arrived."""
        return False


@pytest.fixture
def frequent_thread_switches() -> Iterator[None]:
    """Make the interpreter switch threads after every few instructions."""
    default_interval = sys.getswitchinterval()
    sys.setswitchinterval(TINY_SWITCH_INTERVAL)
    yield
    sys.setswitchinterval(default_interval)


@pytest.fixture
def listener() -> Iterator[ClientListener]:
    """Return a listener whose core only counts."""
    core = cast(Any, SimpleNamespace(counters=Counters()))
    listener = ClientListener((LOOPBACK, 0), core, Inbox(Clock()), LIMITS)
    yield listener
    listener.accepting = False
    listener.sock.close()


def test_client_is_known_before_its_thread_runs(listener, monkeypatch):
    # The process exits once no client is known; one whose thread had not begun got no answer.
    monkeypatch.setattr(listener_module, "start_thread", lambda run, name: None)
    ours, theirs = socket.socketpair()
    monkeypatch.setattr(listener_module, "ClientConnection", lambda *_: "client")
    listener.admit(theirs)
    ours.close()
    theirs.close()
    assert listener.has_clients()


def test_listener_that_accepts_again_is_not_closed(listener):
    # After a successor had died, the process could exit while it still accepted clients.
    listener.accepting = False
    listener.run()
    assert listener.closed
    listener.accepting = True
    thread = Thread(target=listener.run, daemon=True)
    thread.start()
    wait_until(lambda: not listener.closed)
    listener.accepting = False
    thread.join(3)
    assert listener.closed


def test_listener_closes_though_clients_connect_without_end(listener, monkeypatch):
    # Beside a crowd that returns at once the backlog need not get empty; until the listener is
    # closed, clients that rest after a PING are not told to come again.
    def accept() -> IdleClient:
        """Return a client that has ended."""
        ours, theirs = socket.socketpair()
        ours.close()
        return IdleClient(theirs, connected_at=0, accepted_at=0)

    monkeypatch.setattr(listener, "_accept", accept)
    closing = Thread(target=listener._close, daemon=True)
    closing.start()
    closing.join(5)
    assert not closing.is_alive()


def test_idle_clients_can_be_dismissed_while_others_come_and_go(frequent_thread_switches):
    # In a soak run with many clients, "dictionary changed size during iteration" ended the thread
    # that accepts clients, which was restarted 20 ms later.
    core = cast(Any, SimpleNamespace())
    listener = ClientListener(("127.0.0.1", 0), core, Inbox(Clock()), LIMITS)
    ended = Event()

    def add_and_remove_clients() -> None:
        """Change the listener's clients as their threads do."""
        while not ended.is_set():
            clients = [cast(Any, BusyClient()) for _ in range(CLIENTS)]
            for client in clients:
                listener.unopened[client] = None
            for client in clients:
                del listener.unopened[client]

    for _ in range(CLIENTS):
        listener.unopened[cast(Any, BusyClient())] = None
    thread = Thread(target=add_and_remove_clients, daemon=True)
    thread.start()
    try:
        for _ in range(CALLS):
            listener._dismiss_idle(1)
    finally:
        ended.set()
        thread.join()
        listener.sock.close()
