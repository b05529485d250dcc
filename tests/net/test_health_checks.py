"""The health checker's threads and connections."""

import socket
import time
from functools import partial
from threading import Event
from typing import Any

from core_helpers import DRIVER_LIMITS

from cypresswalk.model import SECOND, Server
from cypresswalk.net import health_checks
from cypresswalk.net.clock import Clock
from cypresswalk.net.health_checks import HealthChecker
from cypresswalk.net.inbox import Inbox
from cypresswalk.net.threads import start_thread


class ResultCore:
    """A core that only has a name for the results."""

    def on_health_check_result(self, now, server, passed, load):
        """Be named."""


CORE: Any = ResultCore()


def answer_checks(listener, answer):
    """Answer each line with `answer` in a thread for each connection; return an end event."""
    done = Event()

    def serve(connection):
        with connection:
            while connection.recv(64):
                if answer:
                    connection.sendall(answer)

    def accept():
        while not done.is_set():
            connection, _ = listener.accept()
            start_thread(partial(serve, connection))

    start_thread(accept)
    return done


def results(inbox, count):
    """Return the next `count` results: whether the server passed, by server."""
    passed = {}
    for _ in range(count):
        _, _, (server, result, _) = inbox.queue.get(timeout=10)
        passed[server] = result
    return passed


def test_checks_share_threads_that_are_as_few_as_their_descriptors(monkeypatch):
    # A thread for each check cost a third of a check's processor time.
    started = []

    def start_counted(*args, **options):
        started.append(args)
        start_thread(*args, **options)

    monkeypatch.setattr(health_checks, "start_thread", start_counted)
    with socket.create_server(("127.0.0.1", 0), backlog=200) as listener:
        done = answer_checks(listener, b"PONG\r\n")
        inbox = Inbox(Clock())
        checker = HealthChecker(CORE, inbox, DRIVER_LIMITS, [])
        servers = [Server(number) for number in range(100)]
        for server in servers:
            checker.check(server, listener.getsockname())
        assert results(inbox, 100) == dict.fromkeys(servers, True)
        assert 1 <= len(started) <= DRIVER_LIMITS.max_running_health_checks
        done.set()


def test_check_without_an_answer_fails_in_its_time_and_so_does_one_on_a_kept_connection():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        inbox = Inbox(Clock())
        checker = HealthChecker(CORE, inbox, DRIVER_LIMITS, [])
        server = Server(1)
        for answered in (True, False):
            began = time.monotonic()
            checker.check(server, listener.getsockname())
            if answered:
                connection, _ = listener.accept()
                connection.recv(64)
                connection.sendall(b"PONG\r\n")
            assert results(inbox, 1) == {server: answered}
        took = time.monotonic() - began
        limit = DRIVER_LIMITS.health_check_timeout / SECOND
        assert limit - 0.01 <= took < limit + 1
        connection.close()
