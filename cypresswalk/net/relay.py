"""Relays lines between a client and the server that accepted its flow."""

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

# Outcomes of a flow by the first word of the server's first line, or by its whole last line.
OUTCOME_BY_WORD = {
    b"BUSY": Outcome.FULL,
    b"ERR": Outcome.ERROR,
    b"BYE": Outcome.OK,
    b"MOVE": Outcome.CANCELLED,
}


class Relay:
    """The relay of one established flow.

    The thread of the server's connection runs `run`, which relays the server's lines; the client's
    thread forwards the client's lines.

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
        """Create a relay between two connections.

        Args:
            attempt: The attempt that the server accepted.
            server: The server's connection.
            client: The client's connection.
            lines: The parser of the server's lines, which may hold lines that followed the first.
            core: The core, to which message delays and the end are reported.
            inbox: The event queue of the deciding thread.
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
        """Relay the server's lines until either side ends, then end the other side too.

        Args:
            first_line: The server's acceptance without its line end, not yet sent to the client.
            flush_client: A function that forwards the client's lines that have arrived meanwhile.
        """
        client = self._client
        reset = False
        delivered = False  # whether the latest lines were sent to the client
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
            # The server's reset may only answer the client's end, so the server is not blamed.
            self.inbox.post(self.core.on_client_left, self.attempt.session)
        self.server.reader_done.set()
        forward_end(reset, client, self.limits)

    def forward_to_server(self, data: bytes) -> None:
        """Send a client's complete lines to the server.

        Raises:
            OSError: The server's connection has failed.
        """
        attempt = self.attempt
        if not attempt.unanswered_since:
            attempt.unanswered_since = self.inbox.clock()
        self.server.send(data)

    def migrate(self) -> None:
        """Have the thread of the server's connection send MOVE to the client.

        Shutting down the reading side makes that thread read what has already arrived, then an end
        of stream, and then send MOVE.
        """
        self._migrating = True
        self.server.shutdown(socket.SHUT_RD)

    def _send_to_client(self, data: bytes) -> bool:
        """Send data to the client; return whether that succeeded."""
        try:
            self._client.send(data)
        except OSError:
            return False
        return True

    def _observe_response(self, data: bytes) -> None:
        """Report the message delay that the server's lines contain or imply.

        A LOAD line does not count as the response to a client's line, since a server that hangs may
        still send it.
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
