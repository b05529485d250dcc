"""Probes servers. A connection that answered is kept: a new one would cost the server more than the probe."""

import socket
from threading import Lock, Semaphore

from cypresswalk.model import SECOND, Server, ServerState
from cypresswalk.net.config import Address
from cypresswalk.net.core import Core
from cypresswalk.net.inbox import Inbox, start_thread
from cypresswalk.net.limits import Limits
from cypresswalk.net.link import dial
from cypresswalk.net.parsers.lines import LineParser, ProtocolError


class Prober:
    def __init__(self, core: Core, inbox: Inbox, limits: Limits, fields: list[str]):
        self.core, self.inbox, self.limits, self.fields = core, inbox, limits, fields
        self.kept: dict[Server, tuple[Address, socket.socket]] = {}
        self.using = Lock()
        self.places = Semaphore(limits.probes_out)

    def probe(self, server: Server, address: Address) -> None:
        with self.using:
            for other in [s for s in self.kept if s.state is ServerState.GONE]:
                self.kept.pop(other)[1].close()
        try:
            start_thread(lambda: self.wait(server, address))
        except RuntimeError:
            self.inbox.post(self.core.on_health_check_result, server, False, [])

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
        until = self.inbox.clock() + self.limits.probe
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
            self.inbox.post(self.core.on_health_check_result, server, passed, load)
            with self.using:
                if passed and len(self.kept) < self.limits.kept_probes:
                    self.kept[server] = address, sock
                elif sock is not None:
                    sock.close()

    def left(self, until: int) -> int:
        left = until - self.inbox.clock()
        if left <= 0:
            raise TimeoutError
        return left

    def ask(self, sock: socket.socket, until: int) -> tuple[bool, list[float]]:
        lines = LineParser(self.limits.line)
        sock.settimeout(self.left(until) / SECOND)
        sock.sendall(b"STATS\r\n" if self.fields else b"PING\r\n")
        while (line := lines.line()) is None:
            sock.settimeout(self.left(until) / SECOND)
            data = sock.recv(self.limits.line)
            if not data:
                raise ConnectionResetError
            lines.feed(data)
        word, _, report = line.decode("ascii", "replace").partition(" ")
        return word == "PONG", load_report(report, self.fields)


def load_report(text: str, fields: list[str]) -> list[float]:
    """`qps=3.1,x0=0.5` in the order of the settings' fields, or the numbers alone in that order; none where one is
    missing or odd."""
    named = [word.rpartition("=")[::2] for word in text.replace(",", " ").split()]
    values = (
        dict(named)
        if all(name for name, _ in named)
        else dict(zip(fields, (value for _, value in named)))
    )
    try:
        return [float(values[field]) for field in fields]
    except (KeyError, ValueError):
        return []
