"""Accepting clients while those that are connected come and go in their own threads."""

import sys
from collections.abc import Iterator
from threading import Event, Thread
from types import SimpleNamespace

import pytest
from core_helpers import LIMITS

from cypresswalk.net.clock import Clock
from cypresswalk.net.inbox import Inbox
from cypresswalk.net.listener import ClientListener

LOOKS = 20_000
CLIENTS = 50
TINY_SWITCH_INTERVAL = 1e-6  # seconds


class BusyClient:
    """A client that can't be dismissed."""

    accepted_at = 0

    def dismiss(self) -> bool:
        """Its line has arrived."""
        return False


@pytest.fixture
def frequent_thread_switches() -> Iterator[None]:
    """Threads take turns after each few instructions."""
    usual = sys.getswitchinterval()
    sys.setswitchinterval(TINY_SWITCH_INTERVAL)
    yield
    sys.setswitchinterval(usual)


def test_clients_that_come_and_go_do_not_end_the_look_for_idle_ones(frequent_thread_switches):
    # Seen in the soak, with a crowd: "dictionary changed size during iteration" ended the thread
    # that accepts clients, which began anew 20 ms later.
    listener = ClientListener(("127.0.0.1", 0), SimpleNamespace(), Inbox(Clock()), LIMITS)
    ended = Event()

    def come_and_go() -> None:
        """Clients' threads add and remove them."""
        while not ended.is_set():
            clients = [BusyClient() for _ in range(CLIENTS)]
            for client in clients:
                listener.unopened[client] = None
            for client in clients:
                del listener.unopened[client]

    for _ in range(CLIENTS):
        listener.unopened[BusyClient()] = None
    thread = Thread(target=come_and_go, daemon=True)
    thread.start()
    try:
        for _ in range(LOOKS):
            listener._dismiss_idle(1)
    finally:
        ended.set()
        thread.join()
        listener.sock.close()
