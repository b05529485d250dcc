"""Health checks of servers."""

import socket
from queue import SimpleQueue
from threading import Lock
from typing import NamedTuple

from cypresswalk.model import Server, ServerState
from cypresswalk.net.config import Address
from cypresswalk.net.connection import dial, receive_line, timeval
from cypresswalk.net.core import Core
from cypresswalk.net.errors import ProtocolError
from cypresswalk.net.inbox import Inbox
from cypresswalk.net.limits import MICROSECOND, Limits
from cypresswalk.net.parsers.lines import LineParser
from cypresswalk.net.parsers.load_reports import parse_load_fields
from cypresswalk.net.threads import start_thread


class HealthCheckAnswer(NamedTuple):
    """A server's answer to a health check.

    Attributes:
        passed: Whether the server reported that it is healthy.
        load: The values of its load report in the order of the settings' fields; empty if it sent
            none.
    """

    passed: bool
    load: list[float]


class IdleConnection(NamedTuple):
    """A connection that is kept open for the next health check of a server."""

    address: Address
    sock: socket.socket


class HealthChecker:
    """The health checker, which runs checks in a few threads, started as they are needed.

    There are at most as many threads as there are descriptors for running checks. The connection of
    a passed check is kept for the next one, since a new connection costs the server more than a
    check.
    """

    def __init__(self, core: Core, inbox: Inbox, limits: Limits, load_fields: list[str]):
        """Create a checker without connections.

        Args:
            core: The core, to which the results are reported.
            inbox: The event queue of the deciding thread.
            limits: Sizes, counts and times.
            load_fields: The fields to read from load reports; empty to request no load reports.
        """
        self.core = core
        self.inbox = inbox
        self.limits = limits
        self.load_fields = load_fields
        self._idle: dict[Server, IdleConnection] = {}
        self._idle_lock = Lock()
        self._queue: SimpleQueue[tuple[Server, Address]] = SimpleQueue()
        self._count_lock = Lock()
        self._unfinished = 0  # checks that are queued or running
        self._workers = 0  # threads

    def check(self, server: Server, address: Address) -> None:
        """Start a check and report its result to the core; called by the deciding thread."""
        with self._idle_lock:
            for other in [s for s in self._idle if s.state is ServerState.GONE]:
                self._idle.pop(other).sock.close()
        with self._count_lock:
            self._unfinished += 1
            needs_worker = self._workers < min(
                self._unfinished, self.limits.max_running_health_checks
            )
        if needs_worker and not self._start_worker() and not self._workers:
            self._finish()
            self.inbox.post(self.core.on_health_check_result, server, False, [])
            return
        self._queue.put((server, address))

    def _start_worker(self) -> bool:
        """Start one more thread; return whether the system could."""
        try:
            start_thread(self._run_checks, self.limits.fault_pause, name="health_check")
        except RuntimeError:
            return False
        self._workers += 1
        return True

    def _finish(self) -> None:
        with self._count_lock:
            self._unfinished -= 1

    def close_idle(self) -> None:
        """Close the kept connections, since another process checks from now on."""
        with self._idle_lock:
            for connection in self._idle.values():
                connection.sock.close()
            self._idle.clear()

    def _run_checks(self) -> None:
        """Run one queued check after the other; the timeout of each starts with it."""
        while True:
            server, address = self._queue.get()
            try:
                self._run(server, address)
            finally:
                self._finish()

    def _run(self, server: Server, address: Address) -> None:
        answer = HealthCheckAnswer(False, [])
        deadline = self.inbox.clock() + self.limits.health_check_timeout
        sock = self._take_idle(server, address)
        try:
            if sock is not None:
                try:
                    answer = self._request_health(sock, deadline)
                except TimeoutError:
                    raise
                except (OSError, ProtocolError):
                    # The connection ended while idle, which does not mean that the server is
                    # unhealthy now.
                    sock.close()
                    sock = None
            if sock is None:
                sock = dial(address, self._remaining(deadline))
                answer = self._request_health(sock, deadline)
        except (OSError, ProtocolError):
            answer = HealthCheckAnswer(False, [])
        finally:
            # Always report a result: without one the server would never be checked again.
            self.inbox.post(self.core.on_health_check_result, server, answer.passed, answer.load)
            if sock is not None:
                self._keep_or_close(server, address, sock, answer.passed)

    def _take_idle(self, server: Server, address: Address) -> socket.socket | None:
        with self._idle_lock:
            connection = self._idle.pop(server, None)
        if connection is None:
            return None
        if connection.address != address:
            connection.sock.close()
            return None
        return connection.sock

    def _keep_or_close(
        self, server: Server, address: Address, sock: socket.socket, passed: bool
    ) -> None:
        with self._idle_lock:
            if passed and len(self._idle) < self.limits.max_idle_health_checks:
                self._idle[server] = IdleConnection(address, sock)
            else:
                sock.close()

    def _remaining(self, deadline: int) -> int:
        """Return the nanoseconds until the deadline.

        Raises:
            TimeoutError: The deadline has passed.
        """
        remaining = deadline - self.inbox.clock()
        if remaining <= 0:
            raise TimeoutError
        return remaining

    def _request_health(self, sock: socket.socket, deadline: int) -> HealthCheckAnswer:
        def limit_read() -> None:
            """Set the timeout of the next read so that it ends at the deadline."""
            timeout = timeval(max(self._remaining(deadline), MICROSECOND))  # 0 is no limit
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, timeout)

        lines = LineParser(self.limits.max_line_bytes)
        # The kernel limits the time of a read. A timeout of the socket object would cost a poll
        # more for each call; the few bytes that are sent fit into the empty send buffer.
        sock.settimeout(None)
        sock.sendall(b"STATS\r\n" if self.load_fields else b"PING\r\n")
        try:
            line = receive_line(sock, lines, self.limits.max_line_bytes, limit_read)
        except BlockingIOError:
            raise TimeoutError from None
        if line is None:
            raise ConnectionResetError
        word, _, report = line.decode("ascii", "replace").partition(" ")
        return HealthCheckAnswer(word == "PONG", parse_load_fields(report, self.load_fields))
