"""Accepts clients and limits how many are connected."""

import logging
import socket
import time
from threading import Semaphore

from cypresswalk.model import SECOND
from cypresswalk.net.clients import ClientConnection
from cypresswalk.net.config import Address
from cypresswalk.net.core import Core
from cypresswalk.net.inbox import Inbox
from cypresswalk.net.limits import MICROSECOND, MILLISECOND, Limits
from cypresswalk.net.logs import event
from cypresswalk.net.session import BUSY_REPLY
from cypresswalk.net.threads import start_thread

log = logging.getLogger(__name__)


class ClientListener:
    """The listening socket for clients; accepts each and starts its thread.

    Attributes:
        sock: The listening socket.
        accepting: Whether this process accepts; cleared when another process takes over, which ends
            `run`.
        slots: A semaphore that limits connected clients. Further clients wait in the backlog, so
            that descriptors remain for established flows.
        clients: The connected clients.
        unopened: The clients that have not sent their first line, oldest first.
        closes_at: The time at which to stop accepting for good, in nanoseconds; None if not set.
        closed: Whether `run` has ended.
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
        self.slots = Semaphore(limits.max_flows + limits.max_unopened_clients)
        self.clients: dict[ClientConnection, None] = {}
        self.unopened: dict[ClientConnection, None] = {}
        self.closes_at: int | None = None
        self.closed = False
        self._shared = shared
        self._next_shortage_log = 0  # the earliest time for the next event `slots_exhausted`
        self.sock = sock or self._listen(address)

    def run(self) -> None:
        """Accept clients until `closes_at`; runs in a thread of its own."""
        while self.accepting and self._accept_timeout() > 0:
            if not self._acquire_slot():
                break
            self.sock.settimeout(max(self._accept_timeout(), MILLISECOND) / SECOND)
            try:
                sock, _ = self.sock.accept()
            except TimeoutError:
                self.slots.release()
                continue
            except OSError as error:
                # Descriptors may still run short for a while, until other connections close.
                self.slots.release()
                log.warning(event("accept_failed", error=error))
                time.sleep(self.limits.accept_retry_pause / SECOND)
                continue
            self.admit(sock)
            excess = len(self.unopened) - self.limits.max_unopened_clients
            if excess > 0:
                self._dismiss_idle(excess)
        if self.accepting:
            self._close()
        self.closed = True

    def admit(self, sock: socket.socket) -> None:
        """Start a client's thread, in a slot that the caller has acquired for it."""
        self.core.counters.add("clients")
        try:
            client = ClientConnection(sock, self.core, self.inbox, self.limits, self.unopened)
            self._measure_wait(client)
            start_thread(lambda: self._serve(client), name="client")
        except (OSError, RuntimeError) as error:
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

    def _acquire_slot(self) -> bool:
        """Wait for a slot; return False if accepting ends before one is free.

        While there is none, idle clients that have sent nothing are dismissed.
        """
        if self.slots.acquire(blocking=False):
            return True
        began = self.inbox.clock()
        try:
            while not self.slots.acquire(timeout=self.limits.accept_retry_pause / SECOND):
                self._log_shortage()
                self._dismiss_idle(len(self.unopened))
                if self._accept_timeout() <= 0:
                    return False
            return True
        finally:
            waited = self.inbox.clock() - began
            self.core.counters.add("slot_wait_us", waited // MICROSECOND)

    def _measure_wait(self, client: ClientConnection) -> None:
        """Count how long an accepted client has waited in the backlog."""
        waited = client.link.time_since_data()
        if waited >= self.limits.accept_retry_pause:
            self.core.counters.add("clients_accepted_late")
        self.core.counters.keep_largest("accept_wait_max_ms", waited // MILLISECOND)

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
                clients=len(self.clients),
                unopened=len(unopened) - dismissed,
                dismissed=dismissed,
            )
        )

    def _accept_timeout(self) -> int:
        """Return how long to wait for a client before checking for the end, in nanoseconds."""
        wait = self.limits.accept_retry_pause if self._shared else self.limits.accept_poll_interval
        if self.closes_at is None:
            return wait
        return min(self.closes_at - self.inbox.clock(), wait)

    def _dismiss_idle(self, count: int) -> None:
        latest = self.inbox.clock() - self.limits.idle_grace
        # Copy it in one call, since clients' threads change it concurrently.
        for client in list(self.unopened)[:count]:
            if client.accepted_at < latest and client.dismiss():
                self.core.counters.add("clients_idle")

    def _close(self) -> None:
        """Admit or reject all clients in the backlog, then stop listening."""
        self.sock.setblocking(False)
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                break
            if self.slots.acquire(blocking=False):
                self.admit(sock)
            else:
                self._reject(sock)
        self.sock.close()

    def _reject(self, sock: socket.socket) -> None:
        """Reject a client for which there is no slot, without a thread.

        Received data is read first: closing a socket with unread data sends a reset, and the client
        could lose the reply.
        """
        try:
            sock.setblocking(False)
            sock.send(BUSY_REPLY)
            sock.shutdown(socket.SHUT_WR)
            sock.recv(self.limits.max_line_bytes)
        except OSError:
            pass
        sock.close()

    def _serve(self, client: ClientConnection) -> None:
        self.clients[client] = None
        self.unopened[client] = None
        try:
            client.run()
        finally:
            self.clients.pop(client, None)
            self.unopened.pop(client, None)
            self.slots.release()
