"""Attempts to place flows at servers."""

import errno
import re
import socket
from threading import Lock, Semaphore
from typing import cast

from cypresswalk.model import SECOND, Outcome
from cypresswalk.net.clients import ClientConnection
from cypresswalk.net.config import Address
from cypresswalk.net.connection import Connection, dial, receive_line
from cypresswalk.net.core import Core
from cypresswalk.net.errors import ProtocolError
from cypresswalk.net.inbox import Inbox
from cypresswalk.net.limits import Limits
from cypresswalk.net.parsers.lines import LineParser
from cypresswalk.net.relay import OUTCOME_BY_WORD, Relay
from cypresswalk.net.session import Attempt

# A server accepts a flow with UP and a receipt, any printable text; without one it does not accept.
UP_LINE = re.compile(rb"UP [!-~][ -~]*")
# Errors of connecting that mean that this machine lacks a resource; the server is not at fault.
LOCAL_SHORTAGE_ERRNOS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
)


class ServerConnection:
    """One attempt at a server: connects, sends OPEN, and relays lines once the flow is accepted.

    Its own thread runs `run`. The deciding thread calls `start_relay`, `close`, `cancel_unsent` and
    `migrate`, none of which waits for a socket.

    Attributes:
        open_line: The OPEN line for the server.
        sent: Whether sending of that line has begun.
        slots: A semaphore that limits concurrent attempts and relays, which reserves descriptors
            for other uses.
    """

    def __init__(
        self,
        attempt: Attempt,
        address: Address,
        open_line: bytes,
        core: Core,
        inbox: Inbox,
        limits: Limits,
        slots: Semaphore,
    ):
        """Create an attempt without starting it.

        Args:
            attempt: The core's state for this attempt.
            address: The server's address.
            open_line: The OPEN line for the server.
            core: The core, whose event methods are posted to the inbox.
            inbox: The event queue of the deciding thread.
            limits: Sizes and times.
            slots: The semaphore that limits concurrent attempts and relays.
        """
        self.attempt = attempt
        self.address = address
        self.open_line = open_line
        self.core = core
        self.inbox = inbox
        self.limits = limits
        self.slots = slots
        self.sent = False
        # `Session.client` is the `ClientConnection` that created the session.
        self._client = cast(ClientConnection, attempt.session.client)
        self._lines = LineParser(limits.max_line_bytes)
        self._link: Connection | None = None  # set once connected
        self._relay: Relay | None = None  # set once the server has accepted
        self._dropped = False
        # Makes deciding to send and dropping exclusive; not held during a write, which may block.
        self._send_lock = Lock()
        # Held until the core has decided whether the server's acceptance is relayed.
        self._decision_pending = Lock()
        self._decision_pending.acquire()

    def run(self) -> None:
        """Run the attempt, and the relay if it is accepted, until the connection ends."""
        # Attempts that were dropped but still dial hold slots too, since they use descriptors.
        if not self.slots.acquire(timeout=self.limits.dial_timeout / SECOND):
            self._report_end(Outcome.NOT_SENT)
            return
        try:
            sock = self._dial()
            if sock is not None:
                self._open_flow(sock)
        finally:
            self.slots.release()

    # Called by the deciding thread.

    def start_relay(self) -> None:
        """Start relaying the server's acceptance and all later lines to the client."""
        self._client.relay = self._relay
        self._decision_pending.release()

    def close(self) -> None:
        """End the attempt in any state."""
        with self._send_lock:
            if self._dropped:
                return
            self._dropped = True
        if self._link is not None:
            self._link.shutdown(socket.SHUT_RDWR)
        self._decision_pending.release()

    def cancel_unsent(self) -> bool:
        """Drop the attempt if nothing was sent; return whether it was dropped by this call."""
        with self._send_lock:
            if self.sent or self._dropped:
                return False
            self._dropped = True
        self._decision_pending.release()
        return True

    def migrate(self) -> None:
        """Tell the client of an accepted flow to reconnect to another server."""
        assert self._relay is not None, "only accepted flows can be migrated"
        self._relay.migrate()

    # Called by the attempt's own thread.

    def _report_end(self, outcome: Outcome) -> None:
        self.inbox.post(self.core.on_attempt_ended, self.attempt, outcome)

    def _client_has_ended(self) -> bool:
        """Return whether the client has ended, and report it to the core if so.

        The deciding thread may not have handled the client's end yet.
        """
        if not self._client.has_ended():
            return False
        self.inbox.post(self.core.on_client_left, self.attempt.session)
        return True

    def _dial(self) -> socket.socket | None:
        """Connect to the server; return None if that failed or the attempt is no longer needed."""
        if self._dropped or self._client_has_ended():
            return None
        began = self.inbox.clock()
        try:
            sock = dial(self.address, self.limits.dial_timeout)
        except OSError as error:
            self._report_end(
                Outcome.NOT_SENT if error.errno in LOCAL_SHORTAGE_ERRNOS else Outcome.CONNECT_FAILED
            )
            return None
        self.attempt.delay_gauge.on_setup(self.inbox.clock() - began)
        return sock

    def _open_flow(self, sock: socket.socket) -> None:
        """Send the OPEN line, read the server's reply, and relay if the core accepts it."""
        link = self._link = Connection(sock, self.limits)
        try:
            if not self._send_open_line(link):
                return
            first_line = self._receive_first_line(link)
            if first_line is None:
                self._report_end(Outcome.RESET)
            elif not UP_LINE.fullmatch(first_line):
                word = first_line.partition(b" ")[0]
                self._report_end(OUTCOME_BY_WORD.get(word, Outcome.ERROR))
            else:
                self._relay_if_wanted(link, first_line)
        except Exception:
            # Report an end to the core after any failure; a repeated report has no effect.
            self._report_end(Outcome.RESET)
            raise
        finally:
            link.reader_done.set()
            link.close()

    def _send_open_line(self, link: Connection) -> bool:
        """Send the OPEN line unless it is no longer wanted; return whether it was sent."""
        if self._client_has_ended():
            return False
        with self._send_lock:
            if self._dropped:
                return False
            # The deadline may have passed while dialing: a flow that may have run already can be
            # sent again only for a limited time.
            late = self.inbox.clock() >= self.attempt.send_deadline
            if late:
                self._dropped = True
            else:
                self.sent = True
        if late:
            self._report_end(Outcome.NOT_SENT)
            return False
        try:
            link.sock.sendall(self.open_line)
        except OSError:
            # The line was not sent completely, so the server cannot have run the flow.
            self._report_end(Outcome.CONNECT_FAILED)
            return False
        self.core.counters.add("connects_written")
        return True

    def _receive_first_line(self, link: Connection) -> bytes | None:
        """Return the server's first line; None if the connection ends or fails before that."""
        try:
            return receive_line(link.sock, self._lines, self.limits.max_line_bytes)
        except (OSError, ProtocolError):
            return None

    def _relay_if_wanted(self, link: Connection, first_line: bytes) -> None:
        self._relay = Relay(
            self.attempt,
            link,
            self._client.link,
            self._lines,
            self.core,
            self.inbox,
            self.limits,
        )
        self.inbox.post(self.core.on_established, self.attempt)
        self._decision_pending.acquire()
        if not self._dropped:
            self._relay.run(first_line, self._client.flush)
