"""A connected socket that several threads use: one reads and closes it, others may write to it or end it."""

import socket
import struct
from threading import Event, Lock

from cypresswalk.model import SECOND
from cypresswalk.net.config import Address
from cypresswalk.net.limits import Limits

OTHER_END_CLOSED = frozenset(
    (6, 7, 8, 9, 11)
)  # Linux: TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK, CLOSING
AT_ONCE = struct.pack("ii", 1, 0)


def timeval(span: int) -> bytes:
    return struct.pack("ll", span // SECOND, span % SECOND // 1000)


def dial(address: Address, span: int) -> socket.socket:
    """A connection within that span. The address is in figures: a look-up of names would need far more stack than
    these threads have, and could hang."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.settimeout(span / SECOND)
        sock.connect(address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        sock.close()
        raise
    return sock


class Link:
    """A descriptor may be given out anew the moment it is closed: nobody may be about to use it then. Writing
    takes `busy`, which may be held long; closing and ending take `gate`, which is held for a moment only."""

    __slots__ = ("sock", "busy", "gate", "done")

    def __init__(self, sock: socket.socket, limits: Limits):
        self.sock, self.busy, self.gate = sock, Lock(), Lock()
        self.done = Event()  # its reader has come to the end
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeval(limits.write_timeout))

    def read_within(self, span: int) -> None:
        """From the next read on; 0 for no limit."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, timeval(span))

    def send(self, data: bytes) -> None:
        with self.busy:
            self.sock.sendall(data)

    def send_now(self, data: bytes) -> None:
        """A few bytes on a connection that nothing else was written to: they fit, and nobody waits."""
        with self.gate:
            try:
                self.sock.send(data, socket.MSG_DONTWAIT)
            except OSError:
                pass  # the client is gone; its reader tells

    def has_come(self) -> bool:
        """Whether something waits to be read, were it the end."""
        with self.gate:
            try:
                self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            except BlockingIOError:
                return False
            except OSError:
                pass
            return True

    def end_has_come(self) -> bool:
        """Whether an end or a reset waits to be read, were it behind other bytes."""
        with self.gate:
            try:
                if not self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
                    return True
                return self.other_end_closed()
            except BlockingIOError:
                return False
            except OSError:
                return True

    def other_end_closed(self) -> bool:
        """Told by the kernel's state of the connection, where reading has been shut and can't tell."""
        return self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in OTHER_END_CLOSED

    def shut(self, how: int) -> None:
        with self.gate:
            try:
                self.sock.shutdown(how)
            except OSError:
                pass

    def abort(self) -> None:
        """Has it end in a reset, as soon as its reader has closed it."""
        with self.gate:
            try:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, AT_ONCE)
                self.sock.shutdown(socket.SHUT_RD)
            except OSError:
                pass

    def close(self) -> None:
        if self.busy.locked():
            self.shut(socket.SHUT_RDWR)
        with self.busy, self.gate:
            self.sock.close()


def pass_end_on(reset: bool, other: Link, limits: Limits) -> None:
    """One side has ended: the other is ended in the same way, and what it still says is waited for, not long."""
    if reset:
        other.abort()
        return
    other.shut(socket.SHUT_WR)
    if not other.done.wait(limits.linger_timeout / SECOND):
        other.shut(socket.SHUT_RDWR)
