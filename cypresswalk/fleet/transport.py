"""Connections between balancers, on blocking sockets and threads with small stacks.

Each incoming connection has a thread that reads it, and each destination a thread that writes.
Callers that send a frame never block.
"""

import logging
import socket
import struct
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from threading import Event as Flag
from threading import Lock

from cypresswalk.fleet.errors import FrameError
from cypresswalk.fleet.events import (
    ConnectionRejected,
    Event,
    FrameReceived,
    ToolFrameReceived,
)
from cypresswalk.fleet.messages import (
    PROTOCOL,
    AnyFrame,
    DiscoveryRequest,
    DiscoveryResponse,
    FrameDecoder,
    Hello,
    HelloRejected,
    Result,
    encode_frame,
)
from cypresswalk.fleet.outgoing_link import (
    IDLE_TIMEOUT,
    READ_SIZE,
    SECOND,
    SEND_TIMEOUT,
    OutgoingLink,
)
from cypresswalk.net.accepting import accept_connections
from cypresswalk.net.connection import timeval
from cypresswalk.net.logs import describe
from cypresswalk.net.threads import start_thread

log = logging.getLogger(__name__)
STACK_SIZE = 512 * 1024  # bytes; the serializer needs more than the drivers' stacks
# Concurrent incoming connections: 200 members, their tools, and connections that just end.
MAX_CONNECTIONS = 512
MAX_REMEMBERED_STARTS = 4 * MAX_CONNECTIONS  # latest starts of other members
MAX_REMEMBERED_ERRORS = 1000  # addresses whose latest error is remembered
MAX_QUEUED_EVENTS = 4096  # for the fleet's thread; above that, reading of connections pauses
QUEUE_FULL_PAUSE = 0.01  # seconds
ACCEPT_RETRY_PAUSE = 0.05  # seconds
HELLO_TIMEOUT = 2 * SECOND
MAX_HELLO_SIZE = 4096  # bytes of a frame before the connection's Hello was accepted


class Transport:
    """Incoming connections, and an outgoing link for each destination."""

    def __init__(
        self,
        listen: tuple[str, int],
        fleet: str,
        post: Callable[[Event], None],
        queued: Callable[[], int],
        hello: Callable[[str], Hello],
        group: Callable[[], str],
    ):
        """Store the settings; `start` begins to listen.

        Args:
            listen: host and port to listen at.
            fleet: fleet's name.
            post: posts an event to the fleet's thread.
            queued: returns the number of events that wait for the fleet's thread.
            hello: returns this member's Hello to the member with an id.
            group: returns this member's group.
        """
        self.listen_at = listen
        self.fleet = fleet
        self.post = post
        self.queued = queued
        self.hello = hello
        self.group = group
        self.links: dict[tuple[tuple[str, int], str], OutgoingLink] = {}
        self.counts: Counter[str] = Counter()
        # By member's id: time of its latest frame, by the monotonic clock.
        self.last_frame_at: dict[str, int] = {}
        # By member's id: boot and nonce of its latest start.
        self.latest_starts: dict[str, tuple[int, int]] = {}
        self.connections: dict[socket.socket, None] = {}
        self.listening = False
        self._socket: socket.socket | None = None
        self._lock = Lock()  # protects `links`
        self._stopping = Flag()
        self._logged_errors: dict[tuple[tuple[str, int], str], str] = {}

    def start(self) -> None:
        """Start to listen; raises OSError if that fails."""
        self._socket = socket.create_server(self.listen_at, backlog=MAX_CONNECTIONS)
        self.listening = True
        start_thread(partial(self._accept_connections, self._socket), SECOND // 50, STACK_SIZE)

    def send(self, address: tuple[str, int], to: str, frame: AnyFrame) -> None:
        """Queue a frame for the member `to` at an address without blocking; it may be lost."""
        try:
            data = encode_frame(frame)
        except FrameError as error:
            log.error("event=frame_dropped error=%s", error)
            return
        self.counts["words_sent"] += 1
        self.counts["bytes_sent"] += len(data)
        with self._lock:
            link = self.links.get((address, to))
            if link is None:
                link = self.links[address, to] = OutgoingLink(self, address, to)
                start_thread(link.run, 0, STACK_SIZE)
        link.send(data)

    # Called by outgoing links.

    def make_hello(self, to: str) -> Hello:
        """Return this member's Hello to the member with that id."""
        return self.hello(to)

    def current_group(self) -> str:
        """Return this member's group."""
        return self.group()

    def on_rejected(self, to: str, rejection: HelloRejected) -> None:
        """Report to the fleet's thread that a Hello was rejected."""
        self.post(ConnectionRejected(to, rejection))

    def remove_link(self, link: OutgoingLink) -> None:
        """Remove and end an idle link, unless a frame has been queued meanwhile."""
        with self._lock:
            if link.queue.empty():
                link.ended = True
                self.links.pop((link.address, link.to), None)

    def on_link_lost(self, link: OutgoingLink, error: Exception) -> None:
        """Count a lost connection; log its error unless that equals the link's previous one."""
        self.counts["links_lost"] += 1
        why = f"{type(error).__name__} {error}"
        key = link.address, link.to
        if self._logged_errors.get(key) == why:
            return
        self._logged_errors[key] = why
        if len(self._logged_errors) > MAX_REMEMBERED_ERRORS:
            self._logged_errors.clear()
        log.info(
            "event=link_lost to=%s address=%s:%d reason=%s", link.to or "?", *link.address, why
        )

    # Incoming connections.

    def _accept_connections(self, listener: socket.socket) -> None:
        stopping = self._stopping.is_set
        for sock in accept_connections(
            listener, ACCEPT_RETRY_PAUSE, self._on_accept_failed, stopping
        ):
            if len(self.connections) >= MAX_CONNECTIONS:
                self.counts["connections_beyond"] += 1
                sock.close()
                continue
            self.connections[sock] = None
            try:
                start_thread(partial(self._serve, sock), 0, STACK_SIZE)
            except RuntimeError as error:
                log.error("event=fleet_thread_failed error=%s", error)
                self.connections.pop(sock, None)
                sock.close()

    def _on_accept_failed(self, error: OSError) -> None:
        log.warning("event=fleet_accept_failed error=%s", describe(error))

    def _serve(self, sock: socket.socket) -> None:
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeval(SEND_TIMEOUT))
            self._read(sock)
        except FrameError as error:
            self.counts["frames_odd"] += 1
            log.info("event=frame_malformed error=%s", str(error)[:200])
        except (OSError, struct.error):
            pass  # the other side closed the connection or sends nothing
        finally:
            self.connections.pop(sock, None)
            sock.close()

    def _read(self, sock: socket.socket) -> None:
        decoder = FrameDecoder(MAX_HELLO_SIZE)
        hello: Hello | None = None
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, timeval(HELLO_TIMEOUT))
        responses = ToolResponses(sock)
        while not self._stopping.is_set():
            data = sock.recv(READ_SIZE)
            if not data:
                return
            self.counts["bytes_heard"] += len(data)
            decoder.feed(data)
            while (frame := decoder.next_frame()) is not None:
                if hello is not None:
                    self._on_frame(hello, frame, responses)
                    continue
                hello = self._check_hello(sock, frame)
                if hello is None:
                    return
                decoder = _without_hello_limit(decoder)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, timeval(IDLE_TIMEOUT))

    def _check_hello(self, sock: socket.socket, frame: AnyFrame) -> Hello | None:
        """Return the Hello if it is accepted; otherwise send the rejection and return None."""
        if not isinstance(frame, Hello):
            raise FrameError("the first frame is not a Hello")
        rejection = self.rejection_of(frame)
        if rejection is None:
            return frame
        self.counts["hellos_refused"] += 1
        sock.sendall(encode_frame(rejection))
        return None

    def _on_frame(self, hello: Hello, frame: AnyFrame, responses: "ToolResponses") -> None:
        if isinstance(frame, Hello | HelloRejected):
            raise FrameError("a second Hello on one connection")
        self.counts["words_heard"] += 1
        while self.queued() > MAX_QUEUED_EVENTS and not self._stopping.is_set():
            time.sleep(QUEUE_FULL_PAUSE)
        if hello.kind == "tool":
            self.post(ToolFrameReceived(hello, frame, responses.send))
        elif hello.group == self.group() or isinstance(frame, DiscoveryRequest | DiscoveryResponse):
            self.last_frame_at[hello.id] = time.monotonic_ns()
            self.post(FrameReceived(hello, frame))
        else:
            self.counts["words_of_other_groups"] += 1

    def rejection_of(self, hello: Hello) -> HelloRejected | None:
        """Return why a Hello is rejected, or None."""
        if hello.protocol != PROTOCOL:
            return HelloRejected("protocol", f"protocol {hello.protocol}, here {PROTOCOL}")
        if hello.fleet != self.fleet:
            return HelloRejected("fleet", f"this is a balancer of fleet {self.fleet!r}")
        if hello.kind == "tool":
            return None
        own_id = self.hello("").id
        if hello.to not in ("", own_id):
            return HelloRejected("replaced", f"this is {own_id}")
        return self._rejection_of_start(hello)

    def _rejection_of_start(self, hello: Hello) -> HelloRejected | None:
        """Reject a second process under one id, or a disk restored to before a start seen here."""
        start = hello.boot, hello.start_nonce
        known = self.latest_starts.get(hello.id, (0, 0))
        if start != known and hello.boot <= known[0]:
            reason = f"{hello.id} was seen at its start {known[0]} already"
            return HelloRejected("put-back", reason)
        self.latest_starts[hello.id] = start
        while len(self.latest_starts) > MAX_REMEMBERED_STARTS:
            del self.latest_starts[next(iter(self.latest_starts))]
        return None

    def end(self) -> None:
        """Stop listening and end all connections."""
        self._stopping.set()
        if self._socket is not None:
            with suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)
            self._socket.close()
        with self._lock:
            for link in self.links.values():
                link.end()
        for sock in list(self.connections):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


def _without_hello_limit(limited: FrameDecoder) -> FrameDecoder:
    decoder = FrameDecoder()
    decoder.feed(bytes(limited.buffer))
    return decoder


class ToolResponses:
    """Sender of results to a tool, on the tool's own connection.

    Sending never blocks: a few short results fit into the socket's buffer, and a tool that does not
    read loses them.
    """

    def __init__(self, sock: socket.socket):
        """Use a socket that another thread reads and closes."""
        self._socket = sock
        self._lock = Lock()

    def send(self, result: Result) -> None:
        """Send a result; a long one is sent by a separate thread."""
        data = encode_frame(result)
        with self._lock:
            try:
                if len(data) < READ_SIZE:
                    self._socket.send(data, socket.MSG_DONTWAIT)
                else:
                    start_thread(partial(self._send_long, data), 0, STACK_SIZE)
            except OSError:
                pass  # the tool has disconnected or does not read

    def _send_long(self, data: bytes) -> None:
        with self._lock, suppress(OSError):
            self._socket.sendall(data)
