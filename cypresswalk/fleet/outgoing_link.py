"""What goes to one address: a queue and the thread that writes it to a connection."""

import socket
import time
from collections import Counter
from queue import Empty, SimpleQueue
from threading import Lock
from typing import Protocol

from cypresswalk.fleet.errors import FrameError
from cypresswalk.fleet.messages import FrameDecoder, Hello, HelloRejected, encode_frame
from cypresswalk.net.connection import dial, timeval

SECOND = 1_000_000_000
READ_SIZE = 64 << 10  # bytes
MAX_QUEUED_FRAMES = 256  # to one address; beyond them the oldest goes, since frames may be lost
MAX_QUEUED_BYTES = 8 << 20
DIAL_TIMEOUT = SECOND
SEND_TIMEOUT = 2 * SECOND
IDLE_TIMEOUT = 30 * SECOND  # a connection without a frame for so long is closed
# A peer that is not heard for so long is dialled anew: the path may swallow what is sent.
PEER_UNHEARD_TIMEOUT = 3 * SECOND
MIN_BACKOFF = SECOND // 10
MAX_BACKOFF = SECOND
# TCP_USER_TIMEOUT: what the peer's kernel has not acknowledged by then ends the connection.
UNACKNOWLEDGED_TIMEOUT_MS = 4000


class LinkOwner(Protocol):
    """What an outgoing link needs of the transport."""

    counts: Counter[str]
    heard_at: dict[str, int]

    def make_hello(self, to: str) -> Hello:
        """Return this member's Hello for that id."""

    def current_group(self) -> str:
        """Return this member's group."""

    def on_rejected(self, to: str, rejection: HelloRejected) -> None:
        """The other side rejected the Hello."""

    def on_link_lost(self, link: "OutgoingLink", error: Exception) -> None:
        """The connection ended by an error."""

    def remove_link(self, link: "OutgoingLink") -> None:
        """Forget an idle link, unless frames wait again; ends it then."""


class OutgoingLink:
    """Frames for one address. `send` is for any thread, `run` is the link's own thread."""

    def __init__(self, owner: LinkOwner, address: tuple[str, int], to: str):
        """`to`: the id that is meant to be reached there, or an empty string."""
        self.owner = owner
        self.address = address
        self.to = to
        # None ends the thread.
        self.queue: SimpleQueue[bytes | None] = SimpleQueue()
        self.queued_bytes = 0
        self.used_at = time.monotonic_ns()
        self.ended = False
        self._lock = Lock()
        # Goes first on the next connection.
        self._unsent: bytes | None = None

    def send(self, data: bytes) -> None:
        """Queue an encoded frame without waiting; drops the oldest where too many wait."""
        self.used_at = time.monotonic_ns()
        with self._lock:
            while self.queue.qsize() >= MAX_QUEUED_FRAMES or self.queued_bytes > MAX_QUEUED_BYTES:
                try:
                    dropped = self.queue.get_nowait()
                except Empty:
                    break
                self.queued_bytes -= len(dropped or b"")
                self.owner.counts["words_dropped"] += 1
            self.queued_bytes += len(data)
            self.queue.put(data)

    def end(self) -> None:
        """End the thread once it has sent what waits."""
        self.ended = True
        self.queue.put(None)

    def run(self) -> None:
        """Connect and write until ended, with a growing backoff after errors."""
        backoff = MIN_BACKOFF
        while not self.ended:
            try:
                self._write_to_connection()
                backoff = MIN_BACKOFF
            except (OSError, FrameError) as error:
                self.owner.on_link_lost(self, error)
                backoff = min(2 * backoff, MAX_BACKOFF)
            # An unheard peer is dialled anew at once: what waits there has little time.
            if not self.ended and self._unsent is None:
                time.sleep(backoff / SECOND)

    def _write_to_connection(self) -> None:
        """Connect once there is a frame; write until idle, or until peer or group are others."""
        first = self._next_frame()
        if first is None:
            return
        group = self.owner.current_group()
        with dial(self.address, DIAL_TIMEOUT) as sock:
            sock.settimeout(None)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeval(SEND_TIMEOUT))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
            sock.sendall(encode_frame(self.owner.make_hello(self.to)) + first)
            connected_at = time.monotonic_ns()
            decoder = FrameDecoder()
            while (data := self._next_frame()) is not None:
                self._check_rejected(sock, decoder)
                if self.owner.current_group() != group or self._peer_unheard(connected_at):
                    self._unsent = data
                    return
                sock.sendall(data)

    def _peer_unheard(self, connected_at: int) -> bool:
        if not self.to:
            return False
        heard_at = max(connected_at, self.owner.heard_at.get(self.to, 0))
        return time.monotonic_ns() - heard_at > PEER_UNHEARD_TIMEOUT

    def _next_frame(self) -> bytes | None:
        """Return the next frame; None once nothing was to be sent for a while, or at the end."""
        if self._unsent is not None:
            data, self._unsent = self._unsent, None
            return data
        try:
            queued = self.queue.get(timeout=IDLE_TIMEOUT / 2 / SECOND)
        except Empty:
            if time.monotonic_ns() - self.used_at > IDLE_TIMEOUT:
                self.owner.remove_link(self)
            return None
        if queued is not None:
            with self._lock:
                self.queued_bytes -= len(queued)
        return queued

    def _check_rejected(self, sock: socket.socket, decoder: FrameDecoder) -> None:
        """Raise ConnectionError where the other side has ended or rejected this connection."""
        try:
            data = sock.recv(READ_SIZE, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        if not data:
            raise ConnectionResetError("ended by the other side")
        decoder.feed(data)
        while (frame := decoder.next_frame()) is not None:
            if isinstance(frame, HelloRejected):
                self.owner.on_rejected(self.to, frame)
                raise ConnectionRefusedError(f"{frame.code}: {frame.reason}")
