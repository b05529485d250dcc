"""Probes servers. A connection that answered is kept: a new one would cost the server more than the probe."""

import socket
from threading import Lock, Semaphore

from cypresswalk.model import SECOND, Server, ServerState
from cypresswalk.net.config import Address
from cypresswalk.net.core import Core
from cypresswalk.net.errors import ProtocolError
from cypresswalk.net.inbox import Inbox, start_thread
from cypresswalk.net.limits import Limits
from cypresswalk.net.link import dial
from cypresswalk.net.parsers.lines import LineParser
from cypresswalk.net.parsers.load_reports import parse_load_fields


class Prober:
    def __init__(self, core: Core, inbox: Inbox, limits: Limits, fields: list[str]):
        self.core, self.inbox, self.limits, self.fields = core, inbox, limits, fields
        self.kept: dict[Server, tuple[Address, socket.socket]] = {}
        self.using = Lock()
        self.places = Semaphore(limits.max_running_health_checks)

    def probe(self, server: Server, address: Address) -> None:
        with self.using:
            for other in [s for s in self.kept if s.state is ServerState.GONE]:
                self.kept.pop(other)[1].close()
        try:
            start_thread(lambda: self.wait(server, address))
        except RuntimeError:
            self.inbox.post(self.core.probed, server, False, [])

    def end(self) -> None:
        """Another process probes from now on."""
        with self.using:
            for _, sock in self.kept.values():
                sock.close()
            self.kept.clear()

    def wait(self, server: Server, address: Address) -> None:
        """Its time counts from when there is room for it: guards sound servers against a miss for want of descriptors here."""
        with self.places:
            self.run(server, address)

    def run(self, server: Server, address: Address) -> None:
        passed, load = False, []
        until = self.inbox.clock() + self.limits.health_check_timeout
        with self.using:
            kept_address, sock = self.kept.pop(server, (None, None))
        if sock is not None and kept_address != address:
            sock.close()
            sock = None
        try:
            if sock is not None:
                try:
                    passed, load = self.ask(sock, until)
                except TimeoutError:
                    raise
                except (OSError, ProtocolError):
                    # It was ended while it stood idle, which says nothing of the server now.
                    sock.close()
                    sock = None
            if sock is None:
                sock = dial(address, self.left(until))
                passed, load = self.ask(sock, until)
        except (OSError, ProtocolError):
            passed = False
        finally:
            # Whatever went wrong, the module hears: a probe without an end would be the last of its server.
            self.inbox.post(self.core.probed, server, passed, load)
            with self.using:
                if passed and len(self.kept) < self.limits.max_idle_health_checks:
                    self.kept[server] = address, sock
                elif sock is not None:
                    sock.close()

    def left(self, until: int) -> int:
        left = until - self.inbox.clock()
        if left <= 0:
            raise TimeoutError
        return left

    def ask(self, sock: socket.socket, until: int) -> tuple[bool, list[float]]:
        lines = LineParser(self.limits.max_line_bytes)
        sock.settimeout(self.left(until) / SECOND)
        sock.sendall(b"STATS\r\n" if self.fields else b"PING\r\n")
        while (line := lines.next_line()) is None:
            sock.settimeout(self.left(until) / SECOND)
            data = sock.recv(self.limits.max_line_bytes)
            if not data:
                raise ConnectionResetError
            lines.feed(data)
        word, _, report = line.decode("ascii", "replace").partition(" ")
        return word == "PONG", parse_load_fields(report, self.fields)
