"""Listens where operators call, gives each caller little time and memory, and writes the reply.

Each caller has a thread, as clients have: the reply is the deciding thread's, asked for ahead of
all other events.
"""

import logging
import socket
from threading import Lock

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
    """The operators' listening socket, and the callers that hold a descriptor."""

    def __init__(self, address: Address, core: Core, inbox: Inbox, limits: Limits):
        """Listens at the address.

        Raises:
            OSError: nobody may listen there.
        """
        self.core = core
        self.inbox = inbox
        self.limits = limits
        self.sock = socket.create_server(address, backlog=limits.accept_backlog)
        self._lock = Lock()  # for the two below
        self._without_line: dict[Connection, None] = {}  # no whole line yet, the oldest first
        self._callers = 0

    def run(self) -> None:
        """Accepts callers; the thread's own, never returns."""
        retry_pause = self.limits.accept_retry_pause / SECOND
        for sock in accept_connections(self.sock, retry_pause, self._on_accept_failed):
            self._admit(sock)
            self._make_room()

    def _on_accept_failed(self, error: OSError) -> None:
        log.warning(event("calls_accept_failed", error=error))

    def _admit(self, sock: socket.socket) -> None:
        try:
            caller = Connection(sock, self.limits)
            with self._lock:
                self._callers += 1
                self._without_line[caller] = None
            start_thread(lambda: self._serve(caller))
        except (OSError, RuntimeError) as error:
            log.error(event("caller_not_served", error=error))
            sock.close()

    def _make_room(self) -> None:
        """Ends the oldest caller without a whole line where there is no room for all."""
        with self._lock:
            late = None
            if self._callers > self.limits.max_admin_connections:
                late = next(iter(self._without_line), None)
            if late is not None:
                del self._without_line[late]
        if late is not None:
            late.shutdown(socket.SHUT_RD)

    def _serve(self, caller: Connection) -> None:
        try:
            reply = self._reply(caller)
            if reply:
                caller.send_nowait(reply)
                caller.shutdown(socket.SHUT_WR)
                self._drain(caller)
        except OSError:
            pass  # the caller is gone
        finally:
            with self._lock:
                self._without_line.pop(caller, None)
                self._callers -= 1
            caller.close()

    def _reply(self, caller: Connection) -> bytes:
        """Return the reply; nothing for a caller that left without a word."""
        try:
            command = self._read_command(caller)
        except ProtocolError as error:
            self.core.counters.add("calls_odd")
            return error_reply(str(error))
        if command is None:
            return b""
        with self._lock:
            self._without_line.pop(caller, None)
        self.inbox.post_urgent(self.core.commands.on_command, command)
        reply = command.wait(self.limits.admin_call_timeout)
        if reply is None:
            self.core.counters.add("calls_late")
            return error_reply("busy; nothing was done")
        return reply

    def _read_command(self, caller: Connection) -> AdminCommand | None:
        """Return the command, or None where the caller left without a word.

        Raises:
            ProtocolError: no whole line in time, or none that is a command.
            OSError: the connection broke.
        """
        parser = AdminCommandParser(self.limits.max_line_bytes)
        deadline = self.inbox.clock() + self.limits.admin_line_timeout
        has_spoken = False
        while True:
            caller.set_read_timeout(max(deadline - self.inbox.clock(), MILLISECOND))
            try:
                data = caller.sock.recv(self.limits.max_line_bytes)
            except BlockingIOError:
                raise ProtocolError("no whole line in time") from None
            if not data:
                if not has_spoken:
                    return None
                raise ProtocolError("the line has no end")
            has_spoken = True
            command = parser.feed(data)
            if command is not None:
                return command

    def _drain(self, caller: Connection) -> None:
        """Read what still comes: closing with something unread would reset the reply away."""
        deadline = self.inbox.clock() + self.limits.idle_grace
        left = self.limits.max_drained_bytes
        while left > 0 and (wait := deadline - self.inbox.clock()) > 0:
            caller.set_read_timeout(max(wait, MILLISECOND))
            data = caller.sock.recv(self.limits.max_line_bytes)
            if not data:
                return
            left -= len(data)
