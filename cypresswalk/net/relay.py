"""Relays lines between a client and the server that has taken its flow."""

import socket
from collections.abc import Callable

from cypresswalk.model import Outcome
from cypresswalk.net.connection import Connection, forward_end
from cypresswalk.net.core import Core
from cypresswalk.net.errors import ProtocolError
from cypresswalk.net.inbox import Inbox
from cypresswalk.net.limits import Limits
from cypresswalk.net.parsers.lines import LineParser
from cypresswalk.net.parsers.load_reports import LoadReportHistory, parse_load_line
from cypresswalk.net.session import Attempt

# What a server's first or last line says of the flow, by its first word.
OUTCOME_BY_WORD = {
    b"BUSY": Outcome.FULL,
    b"ERR": Outcome.ERROR,
    b"BYE": Outcome.OK,
    b"MOVE": Outcome.CANCELLED,
}


class Relay:
    """Relays a flow's lines; the thread of the server's connection runs `run`.

    Lines to the server are forwarded by the client's thread.

    Attributes:
        server: The server's connection.
    """

    __slots__ = (
        "attempt",
        "core",
        "inbox",
        "limits",
        "server",
        "_client",
        "_lines",
        "_load_history",
        "_migrating",
    )

    def __init__(
        self,
        attempt: Attempt,
        server: Connection,
        client: Connection,
        lines: LineParser,
        core: Core,
        inbox: Inbox,
        limits: Limits,
    ):
        """Creates a relay between two connections.

        Args:
            attempt: That has come up.
            server: The server's connection.
            client: The client's connection.
            lines: The parser of the server's lines, which may hold some that followed the first.
            core: Is told delays and the end.
            inbox: Of the deciding thread.
            limits: Sizes and times.
        """
        self.server = server
        self.attempt = attempt
        self._client = client
        self._lines = lines
        self.core = core
        self.inbox = inbox
        self.limits = limits
        self._load_history = LoadReportHistory()
        self._migrating = False

    def run(self, first_line: bytes, flush_client: Callable[[], None]) -> None:
        """Relays the server's lines up to the end of either side, which the other is given too.

        Args:
            first_line: The server's acceptance, not yet sent to the client; without its end.
            flush_client: Forwards the client's lines that have arrived in the meantime.
        """
        client = self._client
        reset = False
        delivered = False  # the client took the latest lines
        last = b""
        try:
            last = self._lines.take_complete_lines()
            delivered = self._send_to_client(first_line + b"\r\n" + last)
            self._observe_response(last)
            flush_client()
            while delivered and (data := self.server.sock.recv(self.limits.max_line_bytes)):
                self._lines.feed(data)
                data = self._lines.take_complete_lines()
                if data:
                    last = data
                    delivered = self._send_to_client(data)
                    self._observe_response(data)
        except (OSError, ProtocolError):
            reset = True
        if self._migrating:
            reset = False
            self._send_to_client(b"MOVE\r\n")
        elif delivered and not client.reader_done.is_set():
            last_line = last.rstrip(b"\r\n").rpartition(b"\n")[2]
            outcome = OUTCOME_BY_WORD.get(last_line, Outcome.RESET)
            self.inbox.post(self.core.on_attempt_ended, self.attempt, outcome)
        else:
            # The client's end comes back from the server as a reset, which is not its fault.
            self.inbox.post(self.core.on_client_left, self.attempt.session)
        self.server.reader_done.set()
        forward_end(reset, client, self.limits)

    def forward_to_server(self, data: bytes) -> None:
        """Sends a client's complete lines to the server.

        Raises:
            OSError: The server's connection has failed.
        """
        attempt = self.attempt
        if not attempt.unanswered_since:
            attempt.unanswered_since = self.inbox.clock()
        self.server.send(data)

    def migrate(self) -> None:
        """Has the client told to move, by the thread of the server's connection.

        That reads what has arrived already, then an end, and then sends MOVE.
        """
        self._migrating = True
        self.server.shutdown(socket.SHUT_RD)

    def _send_to_client(self, data: bytes) -> bool:
        """Returns whether the client took it."""
        try:
            self._client.send(data)
        except OSError:
            return False
        return True

    def _observe_response(self, data: bytes) -> None:
        """Reports delays that the server's lines tell.

        A LOAD line is a report, not the response to a line: a server that hangs sends it still.
        """
        now = self.inbox.clock()
        attempt = self.attempt
        answered = bool(data)
        if b"LOAD " in data:
            lines = data.split(b"\r\n")[:-1]
            reports = [line for line in lines if parse_load_line(line) is not None]
            answered = len(reports) < len(lines)
            for line in reports:
                self._report_delay(
                    self.core.load_reports.parse_delay(self._load_history, now, line)
                )
        if answered and attempt.unanswered_since:
            took = now - attempt.unanswered_since
            gauge = attempt.delay_gauge
            gauge.latest_answered = max(gauge.latest_answered, attempt.unanswered_since)
            attempt.unanswered_since = 0
            if not self.core.load_reports.delays:
                self._report_delay(gauge.delay_to_report(now, took))

    def _report_delay(self, delay: int | None) -> None:
        if delay is not None:
            self.inbox.post(self.core.on_message_delay, self.attempt.server, delay)
