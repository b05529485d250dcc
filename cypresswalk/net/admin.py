"""Listens where operators call, gives each caller little time and memory, and writes the answer.

A thread for each caller, as for clients: the answer is the deciding thread's, and comes by a lane of its own."""

import logging
import socket
import time
from threading import Lock

from cypresswalk.model import SECOND
from cypresswalk.net.config import Address
from cypresswalk.net.core import Core
from cypresswalk.net.inbox import Inbox, start_thread
from cypresswalk.net.limits import MILLISECOND, Limits
from cypresswalk.net.link import Link
from cypresswalk.net.logs import event
from cypresswalk.net.parsers.admin_commands import AdminCommandParser, error_reply
from cypresswalk.net.parsers.lines import ProtocolError

log = logging.getLogger(__name__)


class Admin:
    def __init__(self, address: Address, core: Core, inbox: Inbox, limits: Limits):
        """Raises OSError where nobody may listen there."""
        self.core, self.inbox, self.limits = core, inbox, limits
        self.sock = socket.create_server(address, backlog=limits.backlog)
        self.waiting: dict[Link, None] = {}  # callers whose line is not whole, the oldest first
        self.calling = 0  # callers that hold a descriptor
        self.using = Lock()

    def run(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError as error:
                log.warning(event("calls_accept_failed", why=error))
                time.sleep(self.limits.accept_pause / SECOND)
                continue
            try:
                link = Link(sock, self.limits)
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
            late = next(iter(self.waiting), None) if self.calling > self.limits.calls else None
            if late is not None:
                del self.waiting[late]
        if late is not None:
            late.shut(socket.SHUT_RD)

    def serve(self, link: Link) -> None:
        try:
            answer = self.answer(link)
            if answer:
                link.send_now(answer)
                link.shut(socket.SHUT_WR)
                self.drain(link)
        except OSError:
            pass  # the caller is gone
        finally:
            with self.using:
                self.waiting.pop(link, None)
                self.calling -= 1
            link.close()

    def answer(self, link: Link) -> bytes:
        """Nothing for a caller that left without a word."""
        caller, until, said = (
            AdminCommandParser(self.limits.line),
            self.inbox.clock() + self.limits.call_line,
            False,
        )
        try:
            while True:
                link.read_within(max(until - self.inbox.clock(), MILLISECOND))
                try:
                    data = link.sock.recv(self.limits.line)
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
            return error_reply(str(error))
        with self.using:
            self.waiting.pop(link, None)
        self.inbox.first(self.core.commands.on_command, call)
        answer = call.wait(self.limits.call)
        if answer is None:
            self.core.counters.add("calls_late")
            return error_reply("busy; nothing was done")
        return answer

    def drain(self, link: Link) -> None:
        """Closing with something unread would take the answer back as a reset."""
        until, left = self.inbox.clock() + self.limits.idle, self.limits.drained
        while left > 0 and (wait := until - self.inbox.clock()) > 0:
            link.read_within(max(wait, MILLISECOND))
            data = link.sock.recv(self.limits.line)
            if not data:
                return
            left -= len(data)
