"""Follows the endpoint list at discovery."""

import logging
import random
import socket
from contextlib import suppress
from threading import Event, Lock

from cypresswalk.model import SECOND, EndpointUpdate, Server
from cypresswalk.net.config import Address
from cypresswalk.net.connection import dial
from cypresswalk.net.core import Core
from cypresswalk.net.errors import ProtocolError
from cypresswalk.net.inbox import Inbox
from cypresswalk.net.limits import MILLISECOND, Limits
from cypresswalk.net.logs import event
from cypresswalk.net.parsers.endpoint_list import EndpointListDecoder
from cypresswalk.net.parsers.http import ResponseParser, encode_get_request
from cypresswalk.net.parsers.json_stream import HEARTBEAT, JsonStreamParser

MIN_JITTER = 0.7  # of a pause
MAX_JITTER = 1.3
HTTP_OK = 200
log = logging.getLogger(__name__)


class EndpointWatch:
    """Follows the endpoint list at one address.

    Where the list is pushed it is followed for good, with a growing pause after each failure. Where
    it comes on request the decisions say when to begin. A failed call is repeated after a pause of
    `min_list_retry_pause` to `max_list_retry_pause`, with jitter: together with its timeouts within
    `list_update_budget`. Once another address has taken its place, only those of its
    updates count that have servers drain or go.

    Attributes:
        address: Of discovery.
        decoder: Of the lists at that address.
        polled: Whether the decisions say when to ask for the list.
        min_version: What the address before this one had reached; a list below it is an older one.
        ended: Set by the deciding thread once another address has taken its place.
    """

    def __init__(
        self,
        address: Address,
        decoder: EndpointListDecoder,
        core: Core,
        inbox: Inbox,
        limits: Limits,
        polled: bool,
        min_version: int = 0,
    ):
        """Creates a watch; `run` follows the list.

        Args:
            address: Of discovery.
            decoder: Of the lists at that address.
            core: Is told of updates and failures.
            inbox: Of the deciding thread.
            limits: Sizes and times.
            polled: Whether the decisions say when to ask for the list.
            min_version: What the address before this one had reached.
        """
        self.address = address
        self.decoder = decoder
        self.core = core
        self.inbox = inbox
        self.limits = limits
        self.polled = polled
        self.min_version = min_version
        self.ended = False
        self._update_requested = Event()
        self._random = random.Random(core.balancer.seed)
        self._received = False  # whether the latest connection has brought anything complete
        self._deadline = 0  # when the connection counts as broken unless more has arrived
        self._sock_lock = Lock()
        self._sock: socket.socket | None = None

    def run(self) -> None:
        """Follows the list until the watch ends; runs in a thread of its own."""
        pause = self.limits.min_list_retry_pause
        retry = False
        while not self.ended:
            if self.polled and not retry:
                self._update_requested.wait()
            self._update_requested.clear()
            silent = self._follow_logged()
            self.inbox.post(self.on_failure)
            if self._received:
                pause = self.limits.min_list_retry_pause
            else:
                pause = min(2 * pause, self.limits.max_list_retry_pause)
            if silent and self._received:
                # The silence has used up most of the time in which a change must be known.
                wait = 0
            else:
                wait = self.limits.max_list_retry_pause if self.polled else pause
            retry = not self.ended and not self._update_requested.wait(
                wait * self._random.uniform(MIN_JITTER, MAX_JITTER) / SECOND
            )

    def _follow_logged(self) -> bool:
        """Follows the list up to a failure; returns whether that was silence."""
        try:
            if not self.ended:
                self._follow()
        except (OSError, ProtocolError) as error:
            if not self.ended:
                log.warning(event("list_failed", error=error, version=self.decoder.version))
            return isinstance(error, TimeoutError)
        return False

    def _follow(self) -> None:
        self._received = False
        # One time limit for connecting, the request and the first object together: a call that
        # began just before discovery went away or came back must not use up several.
        self._deadline = self.inbox.clock() + self.limits.list_call_timeout
        host, port = self.address
        path = f"/registry/instances?follow=1&since={self.decoder.version}"
        with dial(self.address, self.limits.list_call_timeout) as sock:
            try:
                with self._sock_lock:
                    if self.ended:
                        return
                    self._sock = sock
                sock.settimeout(self._remaining_seconds())
                sock.sendall(encode_get_request(f"{host}:{port}", path))
                self._read(sock)
            finally:
                with self._sock_lock:
                    self._sock = None

    def _remaining_seconds(self) -> float:
        """Time up to the deadline; at least so much that what has arrived is read."""
        return max(self._deadline - self.inbox.clock(), MILLISECOND) / SECOND

    def _read(self, sock: socket.socket) -> None:
        response = ResponseParser(self.limits.max_line_bytes)
        values = JsonStreamParser(self.limits.max_list_bytes)
        while not response.complete:
            sock.settimeout(self._remaining_seconds())
            data = sock.recv(self.limits.list_read_bytes)
            if not data:
                break
            values.feed(response.feed(data))
            if response.status not in (None, HTTP_OK):
                raise ProtocolError(f"HTTP status {response.status}")
            while (value := values.next_value()) is not None:
                # Complete values alone count: bytes may trickle in and never make one.
                self._received = True
                self._deadline = self.inbox.clock() + self.limits.list_silence_timeout
                if value is not HEARTBEAT:
                    update, entries = self.decoder.decode(value)
                    older = self.decoder.version < self.min_version
                    self.inbox.post(self.on_update, update, entries, older)
            if self.inbox.clock() > self._deadline:
                raise TimeoutError("no word in time")
        raise ProtocolError("the watch was ended")

    # By the deciding thread.

    def on_update(
        self, now: int, update: EndpointUpdate, entries: list[tuple[Server, Address]], older: bool
    ) -> None:
        """Passes an update on to the core.

        After the watch has ended, which may be after the update was read, only servers that drain
        or go are passed on: the rest is for the new address to say.
        """
        if self.ended:
            update = EndpointUpdate.DELTA
            entries = self.core.endpoints.withdrawals(entries)
        if not self.ended or entries:
            self.core.on_endpoints(now, update, entries, older)

    def on_failure(self, now: int) -> None:
        """Tells the core that the list could not be followed."""
        if not self.ended:
            self.core.on_endpoints_failed(now)

    def request_update(self) -> None:
        """Begins a call now rather than at the end of a pause; a connected watch stays so."""
        self._update_requested.set()

    def end(self) -> None:
        """Ends the watch: another address has taken its place.

        From now on neither its updates nor its failure pass for the new address's.
        """
        with self._sock_lock:
            self.ended = True
            if self._sock is not None:
                # The other side may have ended it before.
                with suppress(OSError):
                    self._sock.shutdown(socket.SHUT_RDWR)
        self._update_requested.set()
