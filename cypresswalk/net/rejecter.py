"""Rejects clients for which there is no slot, without a thread for each."""

import logging
import socket
from contextlib import suppress

from cypresswalk.net.core import Core
from cypresswalk.net.errors import ProtocolError
from cypresswalk.net.inbox import Inbox
from cypresswalk.net.limits import Limits
from cypresswalk.net.logs import event
from cypresswalk.net.parsers.lines import LineParser, parse_open_request
from cypresswalk.net.session import BUSY_REPLY, ERROR_REPLY

log = logging.getLogger(__name__)


class ClientRejecter:
    """Answers what a client has sent so far, and closes its connection."""

    def __init__(self, core: Core, inbox: Inbox, limits: Limits):
        """Create it.

        Args:
            core: The core, which counts rejected requests.
            inbox: The event queue of the deciding thread.
            limits: Sizes, counts and times.
        """
        self._core = core
        self._inbox = inbox
        self._limits = limits

    def reject(self, sock: socket.socket) -> None:
        """Send a client the reply that fits what it has sent, and close the connection.

        Received data is read first: closing a socket with unread data sends a reset, and the client
        could lose the reply.
        """
        with suppress(OSError):
            sock.setblocking(False)
            data = b""
            with suppress(BlockingIOError):
                data = sock.recv(self._limits.max_line_bytes)
            sock.send(self._reply(data))
            sock.shutdown(socket.SHUT_WR)
            sock.recv(self._limits.max_line_bytes)
        sock.close()

    def _reply(self, data: bytes) -> bytes:
        lines = LineParser(self._limits.max_line_bytes)
        lines.feed(data)
        try:
            line = lines.next_line()
            if line == b"PING":
                return self._core.ping_reply() + BUSY_REPLY
            if line is not None:
                self._inbox.post(self._core.on_no_slot, parse_open_request(line))
        except ProtocolError as error:
            log.warning(event("client_invalid", reason=error))
            self._core.counters.add("clients_odd")
            return ERROR_REPLY
        return BUSY_REPLY
