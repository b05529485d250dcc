"""A connected socket that several threads use: one reads and closes it, others write or end it."""

import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from threading import Event, Lock

from cypresswalk.model import SECOND
from cypresswalk.net.config import Address
from cypresswalk.net.limits import Limits
from cypresswalk.net.parsers.lines import LineParser

# Linux's numbers of the TCP states in which the peer has ended its side:
# TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK and CLOSING.
PEER_CLOSED_STATES = frozenset((6, 7, 8, 9, 11))
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER: closing resets the connection


def timeval(duration: int) -> bytes:
    """Returns nanoseconds as the `struct timeval` of socket options."""
    return struct.pack("ll", duration // SECOND, duration % SECOND // 1000)


def dial(address: Address, timeout: int) -> socket.socket:
    """Returns a TCP connection, with the timeout still set.

    The address is in figures: looking up a name would need more stack than these threads have, and
    could hang.

    Args:
        address: Where to connect.
        timeout: Nanoseconds that setting up the connection may take.

    Raises:
        OSError: It was refused, or did not come up in time.
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
    """Returns the next line, or None if the connection ends before it is complete.

    Args:
        sock: Where it is read.
        lines: Splits what arrives; keeps what follows the line.
        max_bytes: How much is read at once.
        before_receive: Called before each read, such as to set the time that is left for it.

    Raises:
        OSError: The connection failed, or the time of its reads is over.
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


class Connection:
    """A connected socket; its reading thread alone closes it.

    A descriptor may be given out again the moment it is closed, so nobody may be about to use it
    then. Writing takes `_write_lock`, which may be held for long. Closing and ending take
    `_close_lock`, which is held for a moment only.

    Attributes:
        sock: The socket, in blocking mode.
        reader_done: Set once the reading thread has come to the end.
    """

    __slots__ = ("sock", "reader_done", "_write_lock", "_close_lock")

    def __init__(self, sock: socket.socket, limits: Limits):
        """Takes over a connected socket.

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
        """Limits each read from the next one on to so many nanoseconds; 0 for no limit.

        A read that takes longer raises BlockingIOError.
        """
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, timeval(timeout))

    def send(self, data: bytes) -> None:
        """Writes all of the data.

        Raises:
            OSError: The connection failed, or the peer accepts nothing.
        """
        with self._write_lock:
            self.sock.sendall(data)

    def send_nowait(self, data: bytes) -> None:
        """Writes a few bytes on a connection that nothing else was written to.

        They fit, so that nobody waits; a connection that has failed is left to its reader.
        """
        with self._close_lock, suppress(OSError):
            self.sock.send(data, socket.MSG_DONTWAIT)

    def is_readable(self) -> bool:
        """Returns whether data, an end or a reset waits to be read."""
        with self._close_lock:
            try:
                self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            except BlockingIOError:
                return False
            except OSError:
                pass
            return True

    def has_ended(self) -> bool:
        """Returns whether an end or a reset has arrived, be it behind unread data."""
        with self._close_lock:
            try:
                if not self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
                    return True
                return self.peer_closed()
            except BlockingIOError:
                return False
            except OSError:
                return True

    def peer_closed(self) -> bool:
        """Returns whether the peer has ended its side, by the kernel's state of the connection.

        That tells also after reading was shut down, when a read finds an end in any case.
        """
        state = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        return state in PEER_CLOSED_STATES

    def shutdown(self, how: int) -> None:
        """Ends one or both directions, such as `socket.SHUT_WR`."""
        with self._close_lock, suppress(OSError):
            self.sock.shutdown(how)

    def reset_on_close(self) -> None:
        """Has the connection end in a reset, and its reader close it now."""
        with self._close_lock, suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            self.sock.shutdown(socket.SHUT_RD)

    def close(self) -> None:
        """Closes the socket once nobody writes to it; a write that hangs is ended before."""
        if self._write_lock.locked():
            self.shutdown(socket.SHUT_RDWR)
        with self._write_lock, self._close_lock:
            self.sock.close()


def forward_end(reset: bool, other: Connection, limits: Limits) -> None:
    """Ends the other side of a relay as this one has ended.

    After an end of stream, what the other side still sends is relayed by its own thread for at
    most `limits.linger_timeout`.
    """
    if reset:
        other.reset_on_close()
        return
    other.shutdown(socket.SHUT_WR)
    if not other.reader_done.wait(limits.linger_timeout / SECOND):
        other.shutdown(socket.SHUT_RDWR)
