"""Follows the server list."""

import logging
import random
import socket
from threading import Event, Lock

from cypresswalk.model import SECOND, EndpointUpdate, Server
from cypresswalk.net.config import Address
from cypresswalk.net.core import Core
from cypresswalk.net.inbox import Inbox
from cypresswalk.net.limits import MILLISECOND, Limits
from cypresswalk.net.link import dial
from cypresswalk.net.logs import event
from cypresswalk.net.parsers.endpoint_list import EndpointListDecoder
from cypresswalk.net.parsers.http import Answer, request
from cypresswalk.net.parsers.json_stream import EMPTY, JsonStream
from cypresswalk.net.parsers.lines import ProtocolError

log = logging.getLogger(__name__)


class Watch:
    """One address of the list. Where the list is pushed it is followed for good, with a growing pause after each break.
    Where it must be asked for, the module says when, but what can be heard waits for nobody longer than `list_told` allows.
    Once another address has taken its place it only has what is taken back: a drain that it told stays told."""

    def __init__(
        self,
        address: Address,
        registry: EndpointListDecoder,
        core: Core,
        inbox: Inbox,
        limits: Limits,
        asked: bool,
        floor: int = 0,
    ):
        self.floor = floor  # the version that the address before had reached
        self.address, self.registry, self.core, self.inbox = address, registry, core, inbox
        self.limits, self.asked = limits, asked
        self.wanted = Event()  # there is reason to call now
        self.jitter = random.Random(core.balancer.seed)
        self.heard = False  # something came on the latest connection
        self.due = 0  # when the connection counts as broken if no more has come whole
        self.gate, self.sock = Lock(), None
        self.ended = False  # set by the deciding thread, which asks it at each word from here

    def run(self) -> None:
        pause, again = self.limits.list_retry, False
        while not self.ended:
            if self.asked and not again:
                self.wanted.wait()
            self.wanted.clear()
            silent = False
            try:
                if not self.ended:
                    self.follow()
            except (OSError, ProtocolError) as error:
                silent = isinstance(error, TimeoutError)
                if not self.ended:
                    why = error or type(error).__name__
                    log.warning(event("list_failed", why=why, version=self.registry.version))
            self.inbox.post(self.fail)
            pause = (
                self.limits.list_retry
                if self.heard
                else min(2 * pause, self.limits.list_retry_most)
            )
            # A watch that fell silent has used up most of the time in which a change must be known.
            wait = (
                0 if silent and self.heard else self.limits.list_retry_most if self.asked else pause
            )
            again = not self.ended and not self.wanted.wait(
                wait * self.jitter.uniform(0.7, 1.3) / SECOND
            )

    def follow(self) -> None:
        self.heard = False
        # Of the way there, the request and the first word together: guards against a call begun just before discovery
        # was lost or came back, which would take a time-out for each.
        self.due = self.inbox.clock() + self.limits.list_call
        host = "%s:%d" % self.address
        with dial(self.address, self.limits.list_call) as sock:
            try:
                with self.gate:
                    if self.ended:
                        return
                    self.sock = sock
                sock.settimeout(self.left())
                sock.sendall(
                    request(host, f"/registry/instances?follow=1&since={self.registry.version}")
                )
                self.read(sock)
            finally:
                with self.gate:
                    self.sock = None

    def left(self) -> float:
        """Seconds; what has come already is read in any case."""
        return max(self.due - self.inbox.clock(), MILLISECOND) / SECOND

    def read(self, sock: socket.socket) -> None:
        answer, values = Answer(self.limits.line), JsonStream(self.limits.list_line)
        while not answer.over:
            sock.settimeout(self.left())
            data = sock.recv(self.limits.list_read)
            if not data:
                break
            values.feed(answer.feed(data))
            if answer.status not in (None, 200):
                raise ProtocolError(f"HTTP status {answer.status}")
            while (value := values.next()) is not None:
                # By what came whole alone: guards against bytes that trickle and make no word.
                self.heard, self.due = True, self.inbox.clock() + self.limits.list_silence
                if value is not EMPTY:
                    form, entries = self.registry.decode(value)
                    self.inbox.post(self.tell, form, entries, self.registry.version < self.floor)
            if self.inbox.clock() > self.due:
                raise TimeoutError("no word in time")
        raise ProtocolError("the watch was ended")

    # By the deciding thread.

    def tell(
        self, now: int, form: EndpointUpdate, entries: list[tuple[Server, Address]], older: bool
    ) -> None:
        if self.ended:
            # It was read before its end, or just then: what it takes back binds, the rest is for the new address to say.
            form, entries = EndpointUpdate.DELTA, self.core.endpoints.withdrawals(entries)
        if not self.ended or entries:
            self.core.on_endpoints(now, form, entries, older)

    def fail(self, now: int) -> None:
        if not self.ended:
            self.core.on_endpoints_failed(now)

    def call(self) -> None:
        """Now rather than at the end of a pause; one that is connected stays so."""
        self.wanted.set()

    def end(self) -> None:
        """Its place is taken: guards against an old address's last words, or its break, passing for the new one's."""
        with self.gate:
            self.ended = True
            if self.sock is not None:
                try:
                    self.sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass  # the other side was first
        self.wanted.set()
