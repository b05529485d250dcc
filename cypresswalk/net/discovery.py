"""The thread that follows the endpoint list at discovery."""

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
from cypresswalk.net.limits import LIST_RETRY_JITTER, MILLISECOND, Limits
from cypresswalk.net.logs import event
from cypresswalk.net.parsers.endpoint_list import EndpointListDecoder
from cypresswalk.net.parsers.http import ResponseParser, encode_get_request
from cypresswalk.net.parsers.json_stream import HEARTBEAT, JsonStreamParser

HTTP_OK = 200
log = logging.getLogger(__name__)


class EndpointWatch:
    """Follows the endpoint list at one address of discovery.

    A list that discovery pushes is followed without end, with a growing pause after each failure. A
    list that is polled is requested when the decisions ask for it. A failed call is repeated after
    a pause of `min_list_retry_pause` to `max_list_retry_pause`, with jitter, so that the pause and
    the call's timeouts together stay within `list_update_budget`. After another address has
    replaced this one, only updates by which a server drains or is gone are still applied.

    Attributes:
        address: Address of discovery.
        decoder: Decoder of the lists at that address.
        polled: Whether the list is requested only when the decisions ask for it.
        min_version: Version reached at the previous address; a list with a lower one is older.
        ended: Whether another address has replaced this one; set by the deciding thread.
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
        """Create a watch; `run` follows the list.

        Args:
            address: Address of discovery.
            decoder: Decoder of the lists at that address.
            core: Receiver of updates and failures.
            inbox: Event queue of the deciding thread.
            limits: Sizes and times.
            polled: Whether the list is requested only when the decisions ask for it.
            min_version: Version reached at the previous address.
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
        self._received = False  # whether the latest connection delivered a complete value
        self._deadline = 0  # when the connection fails unless a complete value arrives
        self._sock_lock = Lock()
        self._sock: socket.socket | None = None

    def run(self) -> None:
        """Follow the list until the watch ends; runs in a separate thread."""
        longest = self.limits.max_list_retry_pause
        shortest = min(self.limits.min_list_retry_pause, longest)
        pause = shortest
        retry = False
        while not self.ended:
            if self.polled and not retry:
                self._update_requested.wait()
            self._update_requested.clear()
            timed_out = self._follow_logged()
            self.inbox.post(self.on_failure)
            pause = shortest if self._received else min(2 * pause, longest)
            wait = longest if self.polled else pause
            if timed_out and self._received:
                # The silence has used up most of the time within which a change must be applied.
                wait = 0
            jitter = self._random.uniform(1 - LIST_RETRY_JITTER, 1 + LIST_RETRY_JITTER)
            retry = not self.ended and not self._update_requested.wait(wait * jitter / SECOND)

    def _follow_logged(self) -> bool:
        """Follow the list until a failure and log it; return whether it was a timeout."""
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
        # Connecting, the request and the first object share one time limit: a call that begins just
        # before discovery becomes unreachable or reachable again must not use up several limits.
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
        """Return the time until the deadline, but enough to read data that has arrived already."""
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
                # Only a complete value extends the deadline: trickling bytes may never form one.
                self._received = True
                self._deadline = self.inbox.clock() + self.limits.list_silence_timeout
                if value is not HEARTBEAT:
                    update, entries = self.decoder.decode(value)
                    older = self.decoder.version < self.min_version
                    self.inbox.post(self.on_update, update, entries, older)
            if self.inbox.clock() > self._deadline:
                raise TimeoutError("no complete value in time")
        raise ProtocolError("discovery ended the response")

    # Called in the deciding thread.

    def on_update(
        self, now: int, update: EndpointUpdate, entries: list[tuple[Server, Address]], older: bool
    ) -> None:
        """Pass an update on to the core.

        If the watch has ended since the update was read, only entries by which a server drains or
        is gone are passed on; for all others the new address decides.

        Args:
            now: The time, nanoseconds.
            update: The kind of update.
            entries: Servers and their addresses.
            older: Whether the list's version is below the one reached at the previous address.
        """
        if self.ended:
            update = EndpointUpdate.DELTA
            entries = self.core.endpoints.withdrawals(entries)
        if not self.ended or entries:
            self.core.on_endpoints(now, update, entries, older)

    def on_failure(self, now: int) -> None:
        """Report to the core that following the list has failed."""
        if not self.ended:
            self.core.on_endpoints_failed(now)

    def request_update(self) -> None:
        """Call discovery now, without the rest of a pause; a connected watch stays connected."""
        self._update_requested.set()

    def end(self) -> None:
        """End the watch, since another address has replaced this one.

        Updates and failures of this watch are then no longer taken for the new address's.
        """
        with self._sock_lock:
            self.ended = True
            if self._sock is not None:
                # Discovery may have closed the connection already.
                with suppress(OSError):
                    self._sock.shutdown(socket.SHUT_RDWR)
        self._update_requested.set()
