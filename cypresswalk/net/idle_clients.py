"""Clients that have sent nothing since they connected, watched by the accepting thread alone.

A crowd of silent clients must cost little: they have no thread of their own, and as soon as their
slots are needed the oldest ones are dismissed. A dismissed client has its reply. Its connection
stays open for a while, since closing it would answer a first line that is still in transit with a
reset, and the client could lose the reply.
"""

import select
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from cypresswalk.net.limits import MILLISECOND, Limits

READABLE = select.POLLIN


@dataclass(slots=True)
class IdleClient:
    """A client's connection on which nothing was received yet. Times are nanoseconds.

    Attributes:
        sock: The socket.
        connected_at: When it connected, which may be long before it was accepted.
        accepted_at: When it was accepted.
        closes_at: When to close it, once it is dismissed.
        remaining_bytes: How much input is still read and discarded, once it is dismissed.
    """

    sock: socket.socket
    connected_at: int
    accepted_at: int
    closes_at: int = 0
    remaining_bytes: int = 0


class IdleClients:
    """The idle clients of one listener. Each holds a slot until its connection is closed or taken.

    Attributes:
        waiting: The clients that may still send their first line, by descriptor, oldest first.
        dismissed: The clients that have their final reply, by descriptor, oldest first.
    """

    def __init__(self, clock: Callable[[], int], limits: Limits, release_slot: Callable[[], None]):
        """Create it without clients; `release_slot` is called whenever a connection is closed."""
        self.waiting: dict[int, IdleClient] = {}
        self.dismissed: dict[int, IdleClient] = {}
        self._clock = clock
        self._limits = limits
        self._release_slot = release_slot
        self._poll = select.poll()

    def add(self, client: IdleClient) -> None:
        """Watch a client that was just accepted."""
        descriptor = client.sock.fileno()
        self.waiting[descriptor] = client
        self._poll.register(descriptor, READABLE)

    def wait(self, timeout: int, other: socket.socket | None = None) -> list[IdleClient]:
        """Wait until a client has sent something or has ended.

        Args:
            timeout: The longest time to wait, in nanoseconds.
            other: Another socket, such as the listening one, that ends the wait when it is ready.

        Returns:
            The clients that have sent something or have ended, which are no longer watched.
        """
        if other is not None:
            self._poll.register(other, READABLE)
        try:
            # Rounded up, so that a timeout of under a millisecond does not make this a busy loop.
            events = self._poll.poll(-(-timeout // MILLISECOND))
        finally:
            if other is not None:
                self._poll.unregister(other)
        ready = []
        for descriptor, _ in events:
            if descriptor in self.dismissed:
                self._discard_input(self.dismissed[descriptor])
            elif descriptor in self.waiting:
                self._poll.unregister(descriptor)
                ready.append(self.waiting.pop(descriptor))
        return ready

    def take_all(self) -> list[IdleClient]:
        """Return all waiting clients, which are no longer watched."""
        clients = list(self.waiting.values())
        for descriptor in self.waiting:
            self._poll.unregister(descriptor)
        self.waiting.clear()
        return clients

    def oldest(self) -> IdleClient | None:
        """Return the waiting client that was accepted first, if there is any."""
        return next(iter(self.waiting.values()), None)

    def next_close(self) -> int | None:
        """Return the time at which the next dismissed connection is due to be closed, if any."""
        return min((client.closes_at for client in self.dismissed.values()), default=None)

    def dismiss(self, client: IdleClient, reply: bytes, linger: int) -> None:
        """Send a waiting client its only reply, and close its connection after `linger`.

        The end of stream comes only then: a crowd that returns at once is not made to hurry.
        """
        descriptor = client.sock.fileno()
        del self.waiting[descriptor]
        self.dismissed[descriptor] = client
        client.closes_at = self._clock() + linger
        client.remaining_bytes = self._limits.max_discarded_bytes
        with suppress(OSError):  # the next read finds the error
            client.sock.send(reply, socket.MSG_DONTWAIT)

    def close_oldest_dismissed(self) -> bool:
        """Close the connection that was dismissed first; return False if there is none."""
        client = next(iter(self.dismissed.values()), None)
        if client is None:
            return False
        self._close(client)
        return True

    def close_lingering(self) -> None:
        """Close the dismissed connections whose time is over."""
        now = self._clock()
        for client in list(self.dismissed.values()):
            if client.closes_at <= now:
                self._close(client)

    def _discard_input(self, client: IdleClient) -> None:
        """Read and discard what a dismissed client sends; close the connection once it has ended.

        After `Limits.max_discarded_bytes` nothing more is read.
        """
        try:
            data = client.sock.recv(self._limits.max_line_bytes, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        client.remaining_bytes -= len(data)
        if not data:
            self._close(client)
        elif client.remaining_bytes <= 0:
            self._poll.modify(client.sock, 0)

    def _close(self, client: IdleClient) -> None:
        descriptor = client.sock.fileno()
        self._poll.unregister(descriptor)
        del self.dismissed[descriptor]
        client.sock.close()
        self._release_slot()
