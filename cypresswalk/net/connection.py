"""A TCP connection shared by threads: one reads and closes it, others write or shut it down."""

import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from threading import Event, Lock

from cypresswalk.model import SECOND
from cypresswalk.net.config import Address
from cypresswalk.net.limits import MILLISECOND, Limits
from cypresswalk.net.parsers.lines import LineParser

# Linux's numbers of the TCP states after the peer has closed its side:
# TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK and CLOSING.
PEER_CLOSED_STATES = frozenset((6, 7, 8, 9, 11))
# Offsets in Linux's `struct tcp_info`: milliseconds since then, 32 bits.
LAST_DATA_SENT_OFFSET = 44
LAST_DATA_RECEIVED_OFFSET = 52
LINGER_RESET = struct.pack("ii", 1, 0)  # value of SO_LINGER that makes closing send a reset


def timeval(duration: int) -> bytes:
    """Return a duration in nanoseconds as the `struct timeval` of socket options."""
    return struct.pack("ll", duration // SECOND, duration % SECOND // 1000)


def dial(address: Address, timeout: int) -> socket.socket:
    """Open a TCP connection; the returned socket still has the timeout set.

    The address must be numeric: looking up a name would need more stack than these threads have,
    and could hang.

    Args:
        address: The address to connect to.
        timeout: The longest time that connecting may take, in nanoseconds.

    Raises:
        OSError: The connection was refused or not set up in time.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout / SECOND)
        sock.connect(address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        sock.close()
        raise
    return sock


def receive_line(
    sock: socket.socket,
    lines: LineParser,
    max_bytes: int,
    before_receive: Callable[[], None] | None = None,
) -> bytes | None:
    """Return the next line, or None if the connection ends before it is complete.

    Args:
        sock: The socket to read from.
        lines: The parser of received data, which keeps what follows the line.
        max_bytes: The most bytes to read at once.
        before_receive: A function called before each read, such as one that sets a timeout.

    Raises:
        OSError: The connection failed, or a read timed out.
        MessageTooLongError: The line exceeds the limit of `lines`.
    """
    while (line := lines.next_line()) is None:
        if before_receive is not None:
            before_receive()
        data = sock.recv(max_bytes)
        if not data:
            return None
        lines.feed(data)
    return line


def peek(sock: socket.socket) -> bytes | None:
    """Return the next byte without taking it, empty if the peer has ended; None if none came."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    except OSError:
        return b""


def time_since_connected(sock: socket.socket) -> int:
    """Return how long ago an accepted connection was set up, in nanoseconds; 0 if not known.

    The program may accept it much later than the kernel. Nothing may have been sent on it: the
    kernel tells the time since the latest data was sent, which at first is that of the set-up.
    """
    return _time_from_tcp_info(sock, LAST_DATA_SENT_OFFSET)


def _time_from_tcp_info(sock: socket.socket, offset: int) -> int:
    """Return a time in Linux's `struct tcp_info` in nanoseconds; 0 if it is not known."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, offset + 4)
    except OSError:
        return 0
    return struct.unpack_from("=I", info, offset)[0] * MILLISECOND


class Connection:
    """A connected socket, closed only by the thread that reads it.

    The system may reuse a descriptor as soon as it is closed, so no other thread may be about to
    use it then. Writing takes `_write_lock`, which may be held for long. Closing and shutting down
    take `_close_lock`, which is held only briefly.

    Attributes:
        sock: The socket, in blocking mode.
        reader_done: An event that is set once the reading thread has read to the end.
    """

    __slots__ = ("sock", "reader_done", "_write_lock", "_close_lock")

    def __init__(self, sock: socket.socket, limits: Limits):
        """Take over a connected socket.

        Raises:
            OSError: The connection has failed already.
        """
        self.sock = sock
        self._write_lock = Lock()
        self._close_lock = Lock()
        self.reader_done = Event()
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeval(limits.write_timeout))

    def set_read_timeout(self, timeout: int) -> None:
        """Set the timeout of each further read, in nanoseconds; 0 for no timeout.

        A read that takes longer raises BlockingIOError.
        """
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, timeval(timeout))

    def send(self, data: bytes) -> None:
        """Write all of the data.

        Raises:
            OSError: The connection failed, or the peer accepted no data within the write timeout.
        """
        with self._write_lock:
            self.sock.sendall(data)

    def send_nowait(self, data: bytes) -> None:
        """Write a few bytes to a connection to which nothing else was written, without blocking.

        They fit into the empty send buffer. Errors are ignored: the reading thread finds them.
        """
        with self._close_lock, suppress(OSError):
            self.sock.send(data, socket.MSG_DONTWAIT)

    def is_readable(self) -> bool:
        """Return whether data, an end of stream or a reset is waiting to be read."""
        with self._close_lock:
            return peek(self.sock) is not None

    def has_ended(self) -> bool:
        """Return whether an end of stream or a reset has arrived, even behind unread data."""
        with self._close_lock:
            data = peek(self.sock)
            if data is None:
                return False
            try:
                return not data or self.peer_closed()
            except OSError:
                return True

    def peer_closed(self) -> bool:
        """Return whether the peer has closed its side, by the kernel's state of the connection.

        This works also after reading was shut down, when each read returns an end of stream.
        """
        state = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        return state in PEER_CLOSED_STATES

    def time_since_data(self) -> int:
        """Return how long ago the latest data arrived, in nanoseconds; 0 if that is not known.

        Its thread may read it later, when many threads run.
        """
        return _time_from_tcp_info(self.sock, LAST_DATA_RECEIVED_OFFSET)

    def shutdown(self, how: int) -> None:
        """Shut down one or both directions, such as `socket.SHUT_WR`."""
        with self._close_lock, suppress(OSError):
            self.sock.shutdown(how)

    def reset_on_close(self) -> None:
        """Make closing send a reset, and make the reading thread close the connection now."""
        with self._close_lock, suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            self.sock.shutdown(socket.SHUT_RD)

    def close(self) -> None:
        """Close the socket once no thread writes to it, aborting a write in progress."""
        if self._write_lock.locked():
            self.shutdown(socket.SHUT_RDWR)
        with self._write_lock, self._close_lock:
            self.sock.close()


def forward_end(reset: bool, other: Connection, limits: Limits) -> None:
    """End the other side of a relay in the same way as this side has ended.

    After an end of stream, the other side's thread goes on relaying what it still sends for at most
    `limits.linger_timeout`.
    """
    if reset:
        other.reset_on_close()
        return
    other.shutdown(socket.SHUT_WR)
    if not other.reader_done.wait(limits.linger_timeout / SECOND):
        other.shutdown(socket.SHUT_RDWR)
