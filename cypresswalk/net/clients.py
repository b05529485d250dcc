"""Connections of clients: their first line, the relaying of the others, and their end."""

import logging
import socket
import time
from threading import Lock

from cypresswalk.model import SECOND
from cypresswalk.net.connection import Connection, forward_end
from cypresswalk.net.core import Core
from cypresswalk.net.errors import ProtocolError
from cypresswalk.net.inbox import Inbox
from cypresswalk.net.limits import MILLISECOND, Limits
from cypresswalk.net.logs import event
from cypresswalk.net.parsers.lines import LineParser, OpenRequest, parse_open_request
from cypresswalk.net.relay import Relay
from cypresswalk.net.session import BUSY_REPLY, ERROR_REPLY, Session

log = logging.getLogger(__name__)


class ClientConnection:
    """One client's connection; a thread of its own runs `run`, from accepting to closing it.

    Attributes:
        link: The connection.
        session: The core's view of it.
        accepted_at: When it was accepted, in nanoseconds.
        relay: To the server, once the core has joined the two.
    """

    def __init__(
        self,
        sock: socket.socket,
        core: Core,
        inbox: Inbox,
        limits: Limits,
        unopened: "dict[ClientConnection, None]",
    ):
        """Takes over an accepted socket.

        Args:
            sock: The socket.
            core: Is told what happens.
            inbox: Of the deciding thread.
            limits: Sizes and times.
            unopened: The listener's clients that have not sent their first line.

        Raises:
            OSError: The connection has failed already.
        """
        self.link = Connection(sock, limits)
        self.core = core
        self.inbox = inbox
        self.limits = limits
        self.session = Session(self)
        self.accepted_at = inbox.clock()
        self.relay: Relay | None = None
        self._unopened = unopened
        self._opened = False  # its first line is complete
        self._dismissed = False  # its place is needed by others
        self._lines = LineParser(limits.max_line_bytes)
        # Held while lines are parsed and forwarded, and while the first two states above change.
        self._lock = Lock()

    def run(self) -> None:
        """Reads the connection up to its end, ends the server's side likewise and closes it."""
        reset = malformed = False
        try:
            request = self._receive_open_request()
            if request is not None:
                self.inbox.post(self.core.on_open, self.session, request)
                self._forward_lines()
        except ProtocolError as error:
            log.warning(event("client_invalid", reason=error))
            self.core.counters.add("clients_odd")
            malformed = True
        except OSError:
            reset = True
        finally:
            self._end(reset, malformed)

    def _end(self, reset: bool, malformed: bool) -> None:
        self.link.reader_done.set()
        if self._opened:
            unanswered = malformed and self.relay is None
            self.inbox.post(
                self.core.on_early_client_data if unanswered else self.core.on_client_left,
                self.session,
            )
        elif malformed:
            # Nothing was sent to a server: a client that is only in the way may come again.
            self.link.send_nowait(BUSY_REPLY if self._dismissed else ERROR_REPLY)
            # Reading of a dismissed one is shut down already; with both directions shut down the
            # kernel would answer what still arrives with a reset.
            if not self._dismissed:
                self.link.shutdown(socket.SHUT_WR)
        if self.relay is not None:
            forward_end(reset, self.relay.server, self.limits)
        elif malformed:
            self._drain()
        self.link.close()

    def _receive_open_request(self) -> OpenRequest | None:
        """Answers PINGs up to the request; None if the client ends before that."""
        deadline = self.accepted_at + self.limits.first_line_timeout
        while True:
            line = self._lines.next_line()
            if line is None:
                if not self._receive_before_open(deadline):
                    return None
            elif len(self._lines.buffer):
                # A client waits for its answer, so that commands do not come by the hundred.
                raise ProtocolError("more than one line at once")
            elif line == b"PING":
                able = self.core.lifecycle.ready and self.core.extensions.may_act()
                self.link.send(b"PONG\r\n" if able else ERROR_REPLY)
            else:
                return self._open(line)

    def _receive_before_open(self, deadline: int) -> bool:
        """Reads more of the first line; False if the client has ended.

        The deadline is that of the whole line, however its bytes trickle in.
        """
        self.link.set_read_timeout(max(deadline - self.inbox.clock(), MILLISECOND))
        try:
            data = self.link.sock.recv(self.limits.max_line_bytes)
        except BlockingIOError as error:
            raise ProtocolError("no first line in time") from error
        if data:
            self._lines.feed(data)
            return True
        if self._dismissed:
            raise ProtocolError("no first line while others wait")
        return False

    def _open(self, line: bytes) -> OpenRequest:
        request = parse_open_request(line)
        with self._lock:
            if self._dismissed:
                raise ProtocolError("the first line came when its place was given away")
            self._opened = True
        self._unopened.pop(self, None)
        self.link.set_read_timeout(0)
        return request

    def dismiss(self) -> bool:
        """Ends a client that has sent nothing, whose place is needed; returns whether it did.

        Its own thread finds an end of stream and answers, so that a first line that crosses with
        this gets a reject. A client whose line has arrived stays.
        """
        # Its thread holds the lock only after the first line, perhaps for long.
        if not self._lock.acquire(blocking=False):
            return False
        try:
            if self._opened or self._dismissed or self.link.is_readable():
                return False
            self._dismissed = True
            self.link.shutdown(socket.SHUT_RD)
            return True
        finally:
            self._lock.release()

    def _drain(self) -> None:
        """Reads what still arrives, not much and not for long.

        Closing with something unread would take the answer back as a reset.
        """
        # A dismissed one must make room soon; its line may be on its way all the same.
        duration = self.limits.idle_grace if self._dismissed else self.limits.linger_timeout
        deadline = self.inbox.clock() + duration
        remaining_bytes = self.limits.max_drained_bytes
        try:
            while (wait := deadline - self.inbox.clock()) > 0:
                self.link.set_read_timeout(max(wait, MILLISECOND))
                if remaining_bytes <= 0:
                    time.sleep(wait / SECOND)
                    return
                data = self.link.sock.recv(self.limits.max_line_bytes)
                if data:
                    remaining_bytes -= len(data)
                elif self._dismissed and not self.link.peer_closed():
                    # After `dismiss` a read finds an end at once, though the client has not ended.
                    time.sleep(self.limits.drain_poll_interval / SECOND)
                else:
                    return
        except OSError:
            pass

    def has_ended(self) -> bool:
        """Returns whether its end has arrived, read by its thread or not."""
        return self.link.reader_done.is_set() or self.link.has_ended()

    def _forward_lines(self) -> None:
        while data := self.link.sock.recv(self.limits.max_line_bytes):
            with self._lock:
                self._lines.feed(data)
            self.flush()

    def flush(self) -> None:
        """Forwards complete lines to the server, once there is one.

        Raises:
            ProtocolError: There is none yet, and something came before the answer.
            OSError: The server's connection has failed.
        """
        relay = self.relay
        with self._lock:
            if relay is None:
                if len(self._lines.buffer):
                    raise ProtocolError("more than one line before the answer")
                return
            data = self._lines.take_complete_lines()
            if data:
                relay.forward_to_server(data)
