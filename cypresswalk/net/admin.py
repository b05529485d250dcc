"""The listener for operators: reads one command per connection and writes the reply.

Each caller is served in a separate thread, as clients are, with bounds on its time and memory. The
deciding thread executes the command and replies, ahead of all other events. The next caller is
accepted only when there are not too many, so that a crowd of them takes no further descriptors.
"""

import logging
import socket
from threading import Condition

from cypresswalk.model import SECOND
from cypresswalk.net.accepting import accept_connections
from cypresswalk.net.config import Address
from cypresswalk.net.connection import Connection
from cypresswalk.net.core import Core
from cypresswalk.net.errors import ProtocolError
from cypresswalk.net.inbox import Inbox
from cypresswalk.net.limits import MILLISECOND, Limits
from cypresswalk.net.logs import event
from cypresswalk.net.parsers.admin_commands import AdminCommand, AdminCommandParser, error_reply
from cypresswalk.net.threads import start_thread

log = logging.getLogger(__name__)


class AdminListener:
    """The operators' listening socket, and the callers that are connected."""

    def __init__(self, address: Address, core: Core, inbox: Inbox, limits: Limits):
        """Listen at the address.

        Raises:
            OSError: this process cannot listen there.
        """
        self.core = core
        self.inbox = inbox
        self.limits = limits
        self.sock = socket.create_server(address, backlog=limits.accept_backlog)
        # Guards the three below; notified when a caller leaves or can be evicted.
        self._changed = Condition()
        self._callers = 0  # number of connected callers
        # Callers without a complete line or with their reply, the oldest first.
        self._evictable: dict[Connection, None] = {}
        self._evicted: set[Connection] = set()  # callers evicted that have not left yet

    def run(self) -> None:
        """Accept callers; runs in a separate thread and never returns."""
        retry_pause = self.limits.accept_retry_pause / SECOND
        for sock in accept_connections(self.sock, retry_pause, self._on_accept_failed):
            self._admit(sock)
            self._make_room()

    def _on_accept_failed(self, error: OSError) -> None:
        log.warning(event("calls_accept_failed", error=error))

    def _admit(self, sock: socket.socket) -> None:
        try:
            caller = Connection(sock, self.limits)
        except OSError as error:
            log.error(event("caller_not_served", error=error))
            sock.close()
            return
        with self._changed:
            self._callers += 1
            self._evictable[caller] = None
        try:
            start_thread(lambda: self._serve(caller))
        except RuntimeError as error:
            log.error(event("caller_not_served", error=error))
            self._leave(caller)

    def _make_room(self) -> None:
        """Evict the oldest callers that can be if there are too many; wait until they have left."""
        with self._changed:
            while self._callers > self.limits.max_admin_connections:
                staying = self._callers - len(self._evicted)
                oldest = next(iter(self._evictable), None)
                if staying > self.limits.max_admin_connections and oldest is not None:
                    del self._evictable[oldest]
                    self._evicted.add(oldest)
                    oldest.shutdown(socket.SHUT_RD)  # its thread reads the end at once
                self._changed.wait()

    def _set_evictable(self, caller: Connection, evictable: bool) -> None:
        with self._changed:
            if not evictable:
                self._evictable.pop(caller, None)
            elif caller not in self._evicted:
                self._evictable[caller] = None
                self._changed.notify()

    def _leave(self, caller: Connection) -> None:
        """Close a caller's connection, and let the next caller be accepted."""
        with self._changed:
            self._evictable.pop(caller, None)
        caller.close()
        with self._changed:
            self._callers -= 1
            self._evicted.discard(caller)
            self._changed.notify()

    def _serve(self, caller: Connection) -> None:
        try:
            reply = self._reply(caller)
            if reply:
                caller.send_nowait(reply)
                caller.shutdown(socket.SHUT_WR)
                self._set_evictable(caller, True)
                self._discard_input(caller)
        except OSError:
            pass  # the caller has closed the connection
        finally:
            self._leave(caller)

    def _reply(self, caller: Connection) -> bytes:
        """Return the reply; empty if the caller disconnected without sending anything."""
        try:
            command = self._read_command(caller)
        except ProtocolError as error:
            self.core.counters.add("calls_odd")
            return error_reply(str(error))
        if command is None:
            return b""
        self._set_evictable(caller, False)
        self.inbox.post_urgent(self.core.commands.on_command, command)
        reply = command.wait_for_reply(self.limits.admin_call_timeout)
        if reply is None:
            self.core.counters.add("calls_late")
            return error_reply("busy; nothing was done")
        return reply

    def _read_command(self, caller: Connection) -> AdminCommand | None:
        """Return the command, or None if the caller disconnected without sending anything.

        Raises:
            ProtocolError: no complete line arrived in time, or it is not a command.
            OSError: the connection broke.
        """
        parser = AdminCommandParser(self.limits.max_line_bytes)
        deadline = self.inbox.clock() + self.limits.admin_line_timeout
        has_sent = False
        while True:
            caller.set_read_timeout(max(deadline - self.inbox.clock(), MILLISECOND))
            try:
                data = caller.sock.recv(self.limits.max_line_bytes)
            except BlockingIOError:
                raise ProtocolError("no whole line in time") from None
            if not data:
                if not has_sent:
                    return None
                raise ProtocolError("incomplete line")
            has_sent = True
            command = parser.feed(data)
            if command is not None:
                return command

    def _discard_input(self, caller: Connection) -> None:
        """Read and discard further input.

        Closing a connection with unread input resets it, and the caller could lose the reply.
        """
        deadline = self.inbox.clock() + self.limits.idle_grace
        left = self.limits.max_discarded_bytes
        while left > 0 and (wait := deadline - self.inbox.clock()) > 0:
            caller.set_read_timeout(max(wait, MILLISECOND))
            data = caller.sock.recv(self.limits.max_line_bytes)
            if not data:
                return
            left -= len(data)
