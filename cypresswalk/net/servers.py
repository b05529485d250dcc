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

# A server's acceptance carries its receipt; a line without one is no acceptance.
UP_LINE = re.compile(rb"UP [!-~][ -~]*")
# This machine is short of something, which says nothing of the server.
OWN_SHORTAGE = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
)


class ServerConnection:
    """One attempt at a server: dial, first line, and the relaying once the flow is accepted.

    A thread of its own runs `run`. The deciding thread calls `start_relay`, `close`,
    `cancel_unsent` and `migrate`, none of which waits for a socket.

    Attributes:
        open_line: The OPEN line for the server.
        sent: Whether that line has begun to go out.
        slots: Of all attempts and relays at a time, which leaves descriptors for others.
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
        """Creates an attempt that has not begun.

        Args:
            attempt: The core's view of it.
            address: The server's.
            open_line: The OPEN line for the server.
            core: Is told how it ends.
            inbox: Of the deciding thread.
            limits: Sizes and times.
            slots: Of all attempts and relays at a time.
        """
        self.attempt = attempt
        self.address = address
        self.open_line = open_line
        self.core = core
        self.inbox = inbox
        self.limits = limits
        self.slots = slots
        self.sent = False
        # The core keeps the driver's object for a session as it was handed over.
        self._client = cast(ClientConnection, attempt.session.client)
        self._lines = LineParser(limits.max_line_bytes)
        self._link: Connection | None = None  # once it is dialed
        self._relay: Relay | None = None  # once the server has accepted
        self._dropped = False
        # Excludes sending and dropping; never held over a write, which may last.
        self._send_lock = Lock()
        # Held until the core has said whether the server's acceptance is relayed.
        self._verdict = Lock()
        self._verdict.acquire()

    def run(self) -> None:
        """Runs the attempt, and the relay if it is accepted, up to the end of the connection."""
        # Attempts that were dropped and still dial count too: descriptors are left for the rest.
        if not self.slots.acquire(timeout=self.limits.dial_timeout / SECOND):
            self._end(Outcome.MOOT)
            return
        try:
            sock = self._dial()
            if sock is not None:
                self._talk(sock)
        finally:
            self.slots.release()

    # By the deciding thread.

    def start_relay(self) -> None:
        """Has the server's acceptance relayed to the client, and all lines after it."""
        self._client.relay = self._relay
        self._verdict.release()

    def close(self) -> None:
        """Ends the attempt, whatever it has come to."""
        with self._send_lock:
            if self._dropped:
                return
            self._dropped = True
        if self._link is not None:
            self._link.shutdown(socket.SHUT_RDWR)
        self._verdict.release()

    def cancel_unsent(self) -> bool:
        """Drops the attempt if nothing was sent; returns whether nothing was and now will be."""
        with self._send_lock:
            if self.sent or self._dropped:
                return False
            self._dropped = True
        self._verdict.release()
        return True

    def migrate(self) -> None:
        """Has the client of an accepted flow told to move."""
        assert self._relay is not None, "the core migrates flows that are accepted"
        self._relay.migrate()

    # By the attempt's own thread.

    def _end(self, outcome: Outcome) -> None:
        self.inbox.post(self.core.on_attempt_ended, self.attempt, outcome)

    def _client_has_ended(self) -> bool:
        """Whether nobody waits for the flow, though the deciding thread may not know it yet."""
        if not self._client.has_ended():
            return False
        self.inbox.post(self.core.on_client_left, self.attempt.session)
        return True

    def _dial(self) -> socket.socket | None:
        """Connects to the server; None if that failed or is not wanted any more."""
        if self._dropped or self._client_has_ended():
            return None
        began = self.inbox.clock()
        try:
            sock = dial(self.address, self.limits.dial_timeout)
        except OSError as error:
            self._end(Outcome.MOOT if error.errno in OWN_SHORTAGE else Outcome.CONNECT_FAILED)
            return None
        self.attempt.delay_gauge.on_setup(self.inbox.clock() - began)
        return sock

    def _talk(self, sock: socket.socket) -> None:
        """Sends the request, and waits for the server's answer and the core's verdict."""
        link = self._link = Connection(sock, self.limits)
        try:
            if not self._send_open_line(link):
                return
            first_line = self._receive_first_line(link)
            if first_line is None:
                self._end(Outcome.RESET)
            elif not UP_LINE.fullmatch(first_line):
                word = first_line.partition(b" ")[0]
                self._end(OUTCOME_BY_WORD.get(word, Outcome.ERROR))
            else:
                self._relay_if_wanted(link, first_line)
        except Exception:
            # Whatever failed, the core hears of an end; a second one has no effect.
            self._end(Outcome.RESET)
            raise
        finally:
            link.reader_done.set()
            link.close()

    def _send_open_line(self, link: Connection) -> bool:
        """Sends the request unless it is not wanted any more; returns whether it went out."""
        if self._client_has_ended():
            return False
        with self._send_lock:
            if self._dropped:
                return False
            # Dialing takes its time, and a flow that may have run has a latest time to run again.
            late = self.inbox.clock() >= self.attempt.send_deadline
            if late:
                self._dropped = True
            else:
                self.sent = True
        if late:
            self._end(Outcome.MOOT)
            return False
        try:
            link.sock.sendall(self.open_line)
        except OSError:
            # The last byte never went out, so that the server has not run it.
            self._end(Outcome.CONNECT_FAILED)
            return False
        self.core.counters.add("connects_written")
        return True

    def _receive_first_line(self, link: Connection) -> bytes | None:
        """Returns the server's first line; None if it sends none before the connection ends."""
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
        self._verdict.acquire()
        if not self._dropped:
            self._relay.run(first_line, self._client.flush)
