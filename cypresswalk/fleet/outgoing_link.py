"""Outgoing frames for one address: a queue, and the thread that writes it to a connection."""

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
MAX_QUEUED_FRAMES = 256  # per address; above that the oldest is dropped, since frames may be lost
MAX_QUEUED_BYTES = 8 << 20
DIAL_TIMEOUT = SECOND
SEND_TIMEOUT = 2 * SECOND
IDLE_TIMEOUT = 30 * SECOND  # after which a connection without frames is closed
# After this time without a frame from the peer it is dialled again: the path may drop what is sent.
PEER_SILENCE_TIMEOUT = 3 * SECOND
MIN_BACKOFF = SECOND // 10
MAX_BACKOFF = SECOND
# TCP_USER_TIMEOUT: a connection ends if the peer's kernel leaves data unacknowledged for so long.
UNACKNOWLEDGED_TIMEOUT_MS = 4000


class LinkOwner(Protocol):
    """The part of the transport that an outgoing link uses."""

    counts: Counter[str]
    last_frame_at: dict[str, int]

    def make_hello(self, to: str) -> Hello:
        """Return this member's Hello to the member with that id."""

    def current_group(self) -> str:
        """Return this member's group."""

    def on_rejected(self, to: str, rejection: HelloRejected) -> None:
        """Process a rejection of this member's Hello."""

    def on_link_lost(self, link: "OutgoingLink", error: Exception) -> None:
        """Process the loss of a connection by an error."""

    def remove_link(self, link: "OutgoingLink") -> None:
        """Remove and end an idle link, unless a frame has been queued meanwhile."""


class OutgoingLink:
    """Queue of frames for one address; any thread may call `send`, `run` is the link's thread."""

    def __init__(self, owner: LinkOwner, address: tuple[str, int], to: str):
        """Start without a connection; `to` is the id expected at the address, or empty."""
        self.owner = owner
        self.address = address
        self.to = to
        # Encoded frames; None ends the thread.
        self.queue: SimpleQueue[bytes | None] = SimpleQueue()
        self.queued_bytes = 0
        self.used_at = time.monotonic_ns()
        self.ended = False
        self._lock = Lock()
        # A frame that is sent first on the next connection.
        self._unsent: bytes | None = None

    def send(self, data: bytes) -> None:
        """Queue an encoded frame without blocking; drop the oldest frames if too many wait."""
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
        """End the thread after it has sent the queued frames."""
        self.ended = True
        self.queue.put(None)

    def run(self) -> None:
        """Connect and write until the link is ended, with exponential backoff after errors."""
        backoff = MIN_BACKOFF
        while not self.ended:
            try:
                self._write_to_connection()
                backoff = MIN_BACKOFF
            except (OSError, FrameError) as error:
                self.owner.on_link_lost(self, error)
                backoff = min(2 * backoff, MAX_BACKOFF)
            # A silent peer is dialled again without a pause, since the queued frames are urgent.
            if not self.ended and self._unsent is None:
                time.sleep(backoff / SECOND)

    def _write_to_connection(self) -> None:
        """Connect when there is a frame, and write the queue.

        Return once the link is idle or ended, the peer is silent, or this member's group changes.
        """
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
                if self.owner.current_group() != group or self._is_peer_silent(connected_at):
                    self._unsent = data
                    return
                sock.sendall(data)

    def _is_peer_silent(self, connected_at: int) -> bool:
        if not self.to:
            return False
        last_frame_at = max(connected_at, self.owner.last_frame_at.get(self.to, 0))
        return time.monotonic_ns() - last_frame_at > PEER_SILENCE_TIMEOUT

    def _next_frame(self) -> bytes | None:
        """Return the next frame, or None if none came for a while or the link was ended."""
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
        """Raise ConnectionError if the other side has ended or rejected this connection."""
        try:
            data = sock.recv(READ_SIZE, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        if not data:
            raise ConnectionResetError("closed by the other side")
        decoder.feed(data)
        while (frame := decoder.next_frame()) is not None:
            if isinstance(frame, HelloRejected):
                self.owner.on_rejected(self.to, frame)
                raise ConnectionRefusedError(f"{frame.code}: {frame.reason}")
