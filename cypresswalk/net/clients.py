"""Client connections: reading the OPEN request, forwarding later lines, and closing."""

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
    """One client's connection. Its own thread runs `run`, which reads and closes it.

    Attributes:
        link: The connection.
        session: The core's state for this client.
        accepted_at: The time at which it was accepted, in nanoseconds.
        relay: The relay to the server, once the core has started it.
        dismissed: Whether `dismiss` has ended it to free its slot.
    """

    def __init__(
        self,
        sock: socket.socket,
        core: Core,
        inbox: Inbox,
        limits: Limits,
        unopened: "dict[ClientConnection, None]",
        accepted_at: int | None = None,
    ):
        """Take over an accepted socket.

        Args:
            sock: The socket.
            core: The core, whose event methods are posted to the inbox.
            inbox: The event queue of the deciding thread.
            limits: Sizes and times.
            unopened: The listener's clients that have not sent their first line.
            accepted_at: When it was accepted, in nanoseconds; None if just now.

        Raises:
            OSError: The connection has failed already.
        """
        self.link = Connection(sock, limits)
        self.core = core
        self.inbox = inbox
        self.limits = limits
        self.session = Session(self)
        self.accepted_at = inbox.clock() if accepted_at is None else accepted_at
        self.relay: Relay | None = None
        self.dismissed = False
        self._unopened = unopened
        self._opened = False  # whether the first line is complete
        self._lines = LineParser(limits.max_line_bytes)
        # Held while lines are parsed and forwarded, and while `_opened` and `dismissed` change.
        self._lock = Lock()

    def run(self) -> None:
        """Read the connection to its end, end the server's side in the same way, and close it."""
        reset = malformed = False
        try:
            request = self._receive_open_request()
            if request is not None:
                waited = self.link.time_since_data()
                self.inbox.post(self.core.on_open, self.session, request, waited)
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
            # Nothing was sent to a server, so a client dismissed only to make room may retry.
            self.link.send_nowait(BUSY_REPLY if self.dismissed else ERROR_REPLY)
            # Reading from a dismissed client is shut down already; if both directions were shut
            # down, the kernel would answer data that still arrives with a reset.
            if not self.dismissed:
                self.link.shutdown(socket.SHUT_WR)
        if self.relay is not None:
            forward_end(reset, self.relay.server, self.limits)
        elif malformed:
            self._discard_input()
        self.link.close()

    def _receive_open_request(self) -> OpenRequest | None:
        """Return the OPEN request, answering PINGs before it; None if the client ends first."""
        deadline = self.accepted_at + self.limits.first_line_timeout
        while True:
            line = self._lines.next_line()
            if line is None:
                if not self._receive_before_open(deadline):
                    return None
            elif len(self._lines.buffer):
                # A client must wait for each reply, so that it cannot send hundreds of commands.
                raise ProtocolError("more than one line before a reply")
            elif line == b"PING":
                self.link.send(self.core.ping_reply())
            else:
                return self._open(line)

    def _receive_before_open(self, deadline: int) -> bool:
        """Read more of the first line; return False if the client has ended.

        The deadline applies to the whole line, however slowly its bytes arrive.
        """
        self.link.set_read_timeout(max(deadline - self.inbox.clock(), MILLISECOND))
        try:
            data = self.link.sock.recv(self.limits.max_line_bytes)
        except BlockingIOError as error:
            raise ProtocolError("no first line before the timeout") from error
        if data:
            self._lines.feed(data)
            return True
        if self.dismissed:
            raise ProtocolError("no first line, and its slot was needed for another client")
        return False

    def _open(self, line: bytes) -> OpenRequest:
        request = parse_open_request(line)
        with self._lock:
            if self.dismissed:
                raise ProtocolError(
                    "first line arrived after its slot was freed for another client"
                )
            self._opened = True
        self._unopened.pop(self, None)
        self.link.set_read_timeout(0)
        return request

    def dismiss(self) -> bool:
        """End a client that has sent nothing, to free its slot; return whether it was ended.

        The client's own thread then reads an end of stream and replies, so that a first line that
        arrives at the same time is rejected. A client whose line has arrived is kept.
        """
        # The client's thread may hold the lock for long, but only after the first line.
        if not self._lock.acquire(blocking=False):
            return False
        try:
            if self._opened or self.dismissed or self.link.is_readable():
                return False
            self.dismissed = True
            self.link.shutdown(socket.SHUT_RD)
            return True
        finally:
            self._lock.release()

    def _discard_input(self) -> None:
        """Read and discard what still arrives, up to a limit of bytes and time.

        Closing a socket with unread data sends a reset, and the client could lose the reply.
        """
        # A dismissed client must free its slot soon, but its first line may still be in transit.
        duration = self.limits.idle_grace if self.dismissed else self.limits.linger_timeout
        deadline = self.inbox.clock() + duration
        remaining_bytes = self.limits.max_discarded_bytes
        pause = self.limits.dismissed_poll_interval
        try:
            while (wait := deadline - self.inbox.clock()) > 0:
                self.link.set_read_timeout(max(wait, MILLISECOND))
                if remaining_bytes <= 0:
                    time.sleep(wait / SECOND)
                    return
                data = self.link.sock.recv(self.limits.max_line_bytes)
                if data:
                    remaining_bytes -= len(data)
                elif self.dismissed and not self.link.peer_closed():
                    # After `dismiss` a read returns an end at once, even if the client has not
                    # ended. Pauses get longer: in a crowd many clients are dismissed at once, and
                    # their threads would take most of the processor.
                    time.sleep(min(pause, wait) / SECOND)
                    pause *= 2
                else:
                    return
        except OSError:
            pass

    def has_ended(self) -> bool:
        """Return whether the client's end has arrived, whether or not its thread has read it."""
        return self.link.reader_done.is_set() or self.link.has_ended()

    def _forward_lines(self) -> None:
        while data := self.link.sock.recv(self.limits.max_line_bytes):
            with self._lock:
                self._lines.feed(data)
            self.flush()

    def flush(self) -> None:
        """Forward complete lines to the server, once the flow is established.

        Raises:
            ProtocolError: The flow is not established, and data came before the reply to OPEN.
            OSError: The server's connection has failed.
        """
        relay = self.relay
        with self._lock:
            if relay is None:
                if len(self._lines.buffer):
                    raise ProtocolError("more than one line before the reply to OPEN")
                return
            data = self._lines.take_complete_lines()
            if data:
                relay.forward_to_server(data)
