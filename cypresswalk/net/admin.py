"""Listens where operators call, gives each caller little time and memory, and writes the answer.

A thread for each caller, as for clients: the answer is the deciding thread's, and comes by a lane of its own."""

import logging
import socket
import time
from threading import Lock

from cypresswalk.model import SECOND
from cypresswalk.net.config import Address
from cypresswalk.net.connection import Connection
from cypresswalk.net.core import Core
from cypresswalk.net.errors import ProtocolError
from cypresswalk.net.inbox import Inbox
from cypresswalk.net.limits import MILLISECOND, Limits
from cypresswalk.net.logs import event
from cypresswalk.net.parsers.admin_commands import AdminCommandParser
from cypresswalk.net.threads import start_thread

log = logging.getLogger(__name__)


class Admin:
    def __init__(self, address: Address, core: Core, inbox: Inbox, limits: Limits):
        """Raises OSError where nobody may listen there."""
        self.core, self.inbox, self.limits = core, inbox, limits
        self.sock = socket.create_server(address, backlog=limits.accept_backlog)
        self.waiting: dict[
            Connection, None
        ] = {}  # callers whose line is not whole, the oldest first
        self.calling = 0  # callers that hold a descriptor
        self.using = Lock()

    def run(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError as error:
                log.warning(event("calls_accept_failed", why=error))
                time.sleep(self.limits.accept_retry_pause / SECOND)
                continue
            try:
                link = Connection(sock, self.limits)
                with self.using:
                    self.calling += 1
                    self.waiting[link] = None
                start_thread(lambda link=link: self.serve(link))
            except (OSError, RuntimeError) as error:
                log.error(event("caller_not_served", why=error))
                sock.close()
            self.make_room()

    def make_room(self) -> None:
        """Guards against callers that finish no call and keep others out: the oldest of them goes."""
        with self.using:
            late = (
                next(iter(self.waiting), None)
                if self.calling > self.limits.max_admin_connections
                else None
            )
            if late is not None:
                del self.waiting[late]
        if late is not None:
            late.shutdown(socket.SHUT_RD)

    def serve(self, link: Connection) -> None:
        try:
            answer = self.answer(link)
            if answer:
                link.send_nowait(answer)
                link.shutdown(socket.SHUT_WR)
                self.drain(link)
        except OSError:
            pass  # the caller is gone
        finally:
            with self.using:
                self.waiting.pop(link, None)
                self.calling -= 1
            link.close()

    def answer(self, link: Connection) -> bytes:
        """Nothing for a caller that left without a word."""
        caller, until, said = (
            AdminCommandParser(self.limits.max_line_bytes),
            self.inbox.clock() + self.limits.admin_line_timeout,
            False,
        )
        try:
            while True:
                link.set_read_timeout(max(until - self.inbox.clock(), MILLISECOND))
                try:
                    data = link.sock.recv(self.limits.max_line_bytes)
                except BlockingIOError:
                    raise ProtocolError("no whole line in time") from None
                if not data:
                    if not said:
                        return b""
                    raise ProtocolError("the line has no end")
                said = True
                call = caller.feed(data)
                if call is not None:
                    break
        except ProtocolError as error:
            self.core.counters.add("calls_odd")
            return refusal(str(error))
        with self.using:
            self.waiting.pop(link, None)
        self.inbox.post_urgent(self.core.commands.on_command, call)
        answer = call.wait(self.limits.admin_call_timeout)
        if answer is None:
            self.core.counters.add("calls_late")
            return refusal("busy; nothing was done")
        return answer

    def drain(self, link: Connection) -> None:
        """Closing with something unread would take the answer back as a reset."""
        until, left = self.inbox.clock() + self.limits.idle_grace, self.limits.max_drained_bytes
        while left > 0 and (wait := until - self.inbox.clock()) > 0:
            link.set_read_timeout(max(wait, MILLISECOND))
            data = link.sock.recv(self.limits.max_line_bytes)
            if not data:
                return
            left -= len(data)


def refusal(why: str) -> bytes:
    return b"ERR " + why.encode() + b"\r\n"
