"""Accepts clients and limits how many are connected.

One thread accepts all clients and watches those that have sent nothing yet; a client gets its own
thread with its first bytes. While all slots are held, one more client is accepted and waits for a
slot, so that whoever holds up the backlog is known and can be rejected in time.
"""

import logging
import socket
import time
from contextlib import suppress
from threading import Lock, Semaphore

from cypresswalk.model import SECOND
from cypresswalk.net.clients import ClientConnection
from cypresswalk.net.config import Address
from cypresswalk.net.connection import peek, time_since_connected
from cypresswalk.net.core import Core
from cypresswalk.net.idle_clients import IdleClient, IdleClients
from cypresswalk.net.inbox import Inbox
from cypresswalk.net.limits import MICROSECOND, MILLISECOND, Limits
from cypresswalk.net.logs import event
from cypresswalk.net.rejecter import ClientRejecter
from cypresswalk.net.session import BUSY_REPLY, ERROR_REPLY
from cypresswalk.net.threads import start_thread

log = logging.getLogger(__name__)

# Clients accepted in a row before those that have sent something meanwhile are served.
MAX_ACCEPTED_AT_ONCE = 64


class ClientListener:
    """The listening socket for clients, and the slots that limit how many are connected.

    Attributes:
        sock: The listening socket.
        accepting: Whether this process accepts; cleared when another process takes over, which ends
            `run`.
        slots: A semaphore that limits connected clients. Further clients wait in the backlog, so
            that descriptors remain for established flows.
        idle: The clients that have sent nothing yet, which only the accepting thread uses.
        clients: The clients that have a thread.
        unopened: Of these, the ones that have not sent their whole first line, oldest first.
        closes_at: The time at which to stop accepting for good, in nanoseconds; None if not set.
        closed: Whether nobody is accepted any more and all idle clients are dismissed.
    """

    def __init__(
        self,
        address: Address,
        core: Core,
        inbox: Inbox,
        limits: Limits,
        shared: bool = False,
        sock: socket.socket | None = None,
    ):
        """Start listening; `run` accepts the clients.

        Args:
            address: The address to listen at.
            core: The core, to which clients' events are reported.
            inbox: The event queue of the deciding thread.
            limits: Sizes, counts and times.
            shared: Whether another process may accept at the same address.
            sock: The listening socket passed on by the other process, if any.

        Raises:
            OSError: The address was still in use after `limits.bind_timeout`, or is not usable.
        """
        self.core = core
        self.inbox = inbox
        self.limits = limits
        self.accepting = True
        self.slots = Semaphore(limits.client_slots)
        self.idle = IdleClients(inbox.clock, limits, self.slots.release)
        self.clients: dict[ClientConnection, None] = {}
        self.unopened: dict[ClientConnection, None] = {}
        self.closes_at: int | None = None
        self.closed = False
        self._shared = shared
        self._rejecter = ClientRejecter(core, inbox, limits)
        self._running = Lock()  # held by `run`
        self._unplaced: IdleClient | None = None  # accepted, and waits for a slot
        self._unplaced_since = 0  # when it was accepted
        self._retry_at = 0  # the earliest time to accept again after a failure
        self._next_shortage_log = 0  # the earliest time for the next event `slots_exhausted`
        self.sock = sock or self._listen(address)

    def run(self) -> None:
        """Accept clients until `closes_at` or until another process accepts them.

        Runs in a thread of its own. A second call waits for the first to end.
        """
        with self._running:
            self.closed = False
            self.sock.setblocking(False)
            while self.accepting and self._accept_timeout() > 0:
                self._serve_once()
            if self.accepting:
                self._close()
            else:
                self._leave_to_threads()
            self.closed = True
            self._linger()

    def has_clients(self) -> bool:
        """Return whether a client is connected or, though dismissed, may still send something."""
        return bool(self.clients or self.idle.dismissed)

    def admit(self, sock: socket.socket, accepted_at: int | None = None) -> None:
        """Start a client's thread, in a slot that the caller has acquired for it.

        Args:
            sock: The client's socket.
            accepted_at: When it was accepted, in nanoseconds; None if just now.
        """
        try:
            client = ClientConnection(
                sock, self.core, self.inbox, self.limits, self.unopened, accepted_at
            )
        except OSError as error:
            self._fail(sock, error)
            return
        # Registered before its thread runs: the process may exit once there are no clients.
        self.clients[client] = None
        self.unopened[client] = None
        try:
            start_thread(lambda: self._serve(client), name="client")
        except RuntimeError as error:
            self._forget(client)
            self._fail(sock, error)

    def _fail(self, sock: socket.socket, error: Exception) -> None:
        log.error(event("client_not_served", error=error))
        sock.close()
        self.slots.release()

    def dismiss_unopened(self) -> None:
        """Dismiss all clients that have not sent anything."""
        for client in list(self.unopened):
            client.dismiss()

    def _listen(self, address: Address) -> socket.socket:
        deadline = self.inbox.clock() + self.limits.bind_timeout
        while True:
            try:
                return socket.create_server(
                    address, backlog=self.limits.accept_backlog, reuse_port=self._shared
                )
            except OSError:
                if self.inbox.clock() > deadline:
                    raise
                time.sleep(self.limits.accept_retry_pause / SECOND)

    def _accept_timeout(self) -> int:
        """Return how long to wait for a client before checking for the end, in nanoseconds."""
        wait = self.limits.accept_retry_pause if self._shared else self.limits.accept_poll_interval
        if self.closes_at is None:
            return wait
        return min(self.closes_at - self.inbox.clock(), wait)

    def _serve_once(self) -> None:
        """Wait for clients that connect, send or end, and for those whose time is over."""
        for client in self.idle.wait(self._wait_time(), self._socket_to_poll()):
            self._serve_ready(client)
        self._accept_waiting()
        self._restore_headroom()
        self._expire_idle()
        self.idle.close_lingering()

    def _serve_ready(self, client: IdleClient) -> None:
        """Start the thread of a client that has sent something; close one that has ended."""
        if peek(client.sock):
            self.admit(client.sock, client.accepted_at)
        else:
            client.sock.close()
            self.slots.release()

    def _socket_to_poll(self) -> socket.socket | None:
        """Return the listening socket, or that of a client without a slot that is still silent."""
        if self._unplaced is not None:
            return self._unplaced.sock if peek(self._unplaced.sock) is None else None
        return self.sock if self.inbox.clock() >= self._retry_at else None

    def _wait_time(self) -> int:
        """Return how long nothing has to be done unless a client connects, sends or ends."""
        if self._unplaced is not None:
            return self.limits.slot_poll_interval
        now = self.inbox.clock()
        due = [now + self._accept_timeout()]
        if self._retry_at > now:
            due.append(self._retry_at)
        next_close = self.idle.next_close()
        if next_close is not None:
            due.append(next_close)
        oldest = self.idle.oldest()
        if oldest is not None:
            due.append(oldest.accepted_at + self.limits.first_line_timeout)
            if self._free_slots() < self.limits.idle_client_headroom:
                due.append(oldest.connected_at + self.limits.idle_grace)
        return max(min(due) - now, 0)

    def _accept_waiting(self) -> None:
        """Accept clients from the backlog and give each a slot, as far as there are slots."""
        for _ in range(MAX_ACCEPTED_AT_ONCE):
            client = self._unplaced or self._accept()
            if client is None:
                return
            if not self._place(client):
                self._wait_for_slot(client)
                return
            if self._unplaced is not None:
                waited = self.inbox.clock() - self._unplaced_since
                self.core.counters.add("slot_wait_us", waited // MICROSECOND)
                self._unplaced = None

    def _accept(self) -> IdleClient | None:
        """Return the first client in the backlog; None if there is none or accepting fails."""
        try:
            sock, _ = self.sock.accept()
        except BlockingIOError:
            return None
        except OSError as error:
            # Descriptors may still run short for a while, until other connections close.
            log.warning(event("accept_failed", error=error))
            self._retry_at = self.inbox.clock() + self.limits.accept_retry_pause
            return None
        waited = time_since_connected(sock)
        now = self.inbox.clock()
        counters = self.core.counters
        counters.add("clients")
        if waited >= self.limits.accept_retry_pause:
            counters.add("clients_accepted_late")
        counters.keep_largest("accept_wait_max_ms", waited // MILLISECOND)
        return IdleClient(sock, connected_at=now - waited, accepted_at=now)

    def _place(self, client: IdleClient) -> bool:
        """Serve, watch or reject an accepted client; return False if it has to wait for a slot."""
        data = peek(client.sock)
        if data is None and self._take_unreserved_slot():
            self.idle.add(client)
        elif data == b"":
            client.sock.close()
        elif data and self._take_slot():
            self.admit(client.sock, client.accepted_at)
        elif self.inbox.clock() - client.connected_at >= self.limits.max_slot_wait:
            if data is None:
                self.core.counters.add("clients_idle")
            self._rejecter.reject(client.sock)
        else:
            return False
        return True

    def _free_slots(self) -> int:
        """Return the number of slots that are free or held by dismissed clients."""
        return self.limits.client_slots - len(self.clients) - len(self.idle.waiting)

    def _take_unreserved_slot(self) -> bool:
        """Acquire a slot for a client that has sent nothing; the reserve is for others."""
        if self._free_slots() <= self.limits.reserved_slots:
            return False
        return self.slots.acquire(blocking=False)

    def _take_slot(self) -> bool:
        """Acquire a slot, if necessary that of a dismissed client or of one that is idle."""
        if self.slots.acquire(blocking=False):
            return True
        if not self.idle.dismissed:
            self._dismiss_oldest(1)
        return self.idle.close_oldest_dismissed() and self.slots.acquire(blocking=False)

    def _wait_for_slot(self, client: IdleClient) -> None:
        """Keep a client that has no slot; nobody else is accepted until it has one."""
        if self._unplaced is None:
            self._unplaced = client
            self._unplaced_since = self.inbox.clock()
        if not self.idle.waiting:  # else the slot of one of these can be taken soon
            self._dismiss_idle(len(self.unopened))
        self._log_shortage()

    def _log_shortage(self) -> None:
        """Log who holds the slots, at most once a second."""
        now = self.inbox.clock()
        if now < self._next_shortage_log:
            return
        self._next_shortage_log = now + SECOND
        unopened = list(self.unopened)
        dismissed = sum(client.dismissed for client in unopened)
        log.warning(
            event(
                "slots_exhausted",
                clients=len(self.clients) + len(self.idle.waiting) + len(self.idle.dismissed),
                unopened=len(unopened) - dismissed + len(self.idle.waiting),
                dismissed=dismissed + len(self.idle.dismissed),
            )
        )

    def _restore_headroom(self) -> None:
        """Dismiss clients that have sent nothing while there are few free slots.

        Those that have sent something, but no whole line, have a limit of their own.
        """
        self._dismiss_oldest(self.limits.idle_client_headroom - self._free_slots())
        excess = len(self.unopened) - self.limits.max_unopened_clients
        if excess > 0:
            self._dismiss_idle(excess)

    def _dismiss_oldest(self, count: int) -> int:
        """Dismiss clients that have sent nothing for `idle_grace`; return how many."""
        latest = self.inbox.clock() - self.limits.idle_grace
        for number in range(count):
            client = self.idle.oldest()
            if client is None or client.connected_at > latest:
                return number
            self.idle.dismiss(client, BUSY_REPLY, self.limits.idle_grace)
            self.core.counters.add("clients_idle")
        return count

    def _expire_idle(self) -> None:
        """End the clients that have sent nothing within `first_line_timeout`."""
        latest = self.inbox.clock() - self.limits.first_line_timeout
        while (client := self.idle.oldest()) is not None and client.accepted_at <= latest:
            log.warning(event("client_invalid", reason="no first line before the timeout"))
            self.core.counters.add("clients_odd")
            self.idle.dismiss(client, ERROR_REPLY, self.limits.linger_timeout)
            with suppress(OSError):
                client.sock.shutdown(socket.SHUT_WR)

    def _dismiss_idle(self, count: int) -> None:
        """Dismiss clients that have a thread, and no first line `idle_grace` after accepting."""
        latest = self.inbox.clock() - self.limits.idle_grace
        # Copy it in one call, since clients' threads change it concurrently.
        for client in list(self.unopened)[:count]:
            if client.accepted_at < latest and client.dismiss():
                self.core.counters.add("clients_idle")

    def _close(self) -> None:
        """Admit or reject all clients in the backlog, dismiss the idle ones, and stop listening.

        Whoever connects meanwhile is reset: a crowd that returns at once must not delay the end.
        """
        for _ in range(self.limits.accept_backlog + 1):
            client = self._unplaced or self._accept()
            if client is None:
                break
            self._unplaced = None
            if peek(client.sock) and self._take_slot():
                self.admit(client.sock, client.accepted_at)
            else:
                self._rejecter.reject(client.sock)
        for client in self.idle.wait(0):
            self._serve_ready(client)
        while (client := self.idle.oldest()) is not None:
            self.idle.dismiss(client, BUSY_REPLY, self.limits.idle_grace)
        self.sock.close()

    def _leave_to_threads(self) -> None:
        """Start threads for the clients that have sent nothing; another process accepts now."""
        client, self._unplaced = self._unplaced, None
        if client is not None:
            if self._take_slot():
                self.admit(client.sock, client.accepted_at)
            else:
                self._rejecter.reject(client.sock)
        for client in self.idle.take_all():
            self.admit(client.sock, client.accepted_at)

    def _linger(self) -> None:
        """Close the dismissed connections, each at its time."""
        while (due := self.idle.next_close()) is not None:
            self.idle.wait(max(due - self.inbox.clock(), 0))
            self.idle.close_lingering()

    def _serve(self, client: ClientConnection) -> None:
        try:
            client.run()
        finally:
            self._forget(client)
            self.slots.release()

    def _forget(self, client: ClientConnection) -> None:
        self.clients.pop(client, None)
        self.unopened.pop(client, None)
