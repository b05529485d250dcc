"""The operators' listener beside a crowd of callers."""

import socket
import time
from threading import Thread
from types import SimpleNamespace
from typing import Any, cast

import pytest
from core_helpers import DRIVER_LIMITS
from program_helpers import END, LOOPBACK, LineConnection, wait_until

from cypresswalk.net.admin import AdminListener
from cypresswalk.net.clock import Clock
from cypresswalk.net.connection import Connection
from cypresswalk.net.counters import Counters
from cypresswalk.net.inbox import Inbox

CROWD = 60
THREAD_DELAY = 0.01  # seconds until a caller's thread runs


class CountingListener(AdminListener):
    """A listener whose callers' threads run late; it counts the connections open at once.

    Attributes:
        open_callers: The number of callers accepted and not closed.
        most_open: The largest such number.
    """

    def __init__(self) -> None:
        """Listen at a free port, with a core that executes nothing."""
        core = cast(Any, SimpleNamespace(counters=Counters()))
        super().__init__((LOOPBACK, 0), core, Inbox(Clock()), DRIVER_LIMITS)
        self.open_callers = 0
        self.most_open = 0

    def _admit(self, sock: socket.socket) -> None:
        self.open_callers += 1
        self.most_open = max(self.most_open, self.open_callers)
        super()._admit(sock)

    def _serve(self, caller: Connection) -> None:
        time.sleep(THREAD_DELAY)
        super()._serve(caller)
        self.open_callers -= 1


@pytest.mark.parametrize("first_bytes", [b"", b"check", b"nonsense\n"])
def test_crowd_of_callers_takes_no_more_descriptors_than_there_are_for_them(first_bytes):
    # Callers were accepted faster than evicted ones left: hundreds of descriptors were open, which
    # are reserved for flows and the endpoint list.
    listener = CountingListener()
    Thread(target=listener.run, daemon=True).start()
    crowd = [LineConnection.to(listener.sock.getsockname()) for _ in range(CROWD)]
    for caller in crowd:
        caller.sock.sendall(first_bytes)
    evicted = crowd[: -DRIVER_LIMITS.max_admin_connections]
    for caller in evicted:
        assert caller.read_line().startswith("ERR") if first_bytes else caller.read_line() == END
    assert listener.most_open <= DRIVER_LIMITS.max_admin_connections + 1
    for caller in crowd:
        caller.close()
    wait_until(lambda: listener.open_callers == 0)
