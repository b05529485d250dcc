"""Accepts clients and bounds how many are connected."""

import logging
import socket
import time
from threading import Semaphore

from cypresswalk.model import SECOND
from cypresswalk.net.clients import ClientConnection
from cypresswalk.net.config import Address
from cypresswalk.net.core import Core
from cypresswalk.net.inbox import Inbox
from cypresswalk.net.limits import MILLISECOND, Limits
from cypresswalk.net.logs import event
from cypresswalk.net.session import BUSY_REPLY
from cypresswalk.net.threads import start_thread

log = logging.getLogger(__name__)


class ClientListener:
    """Accepts clients and gives each a thread.

    Attributes:
        sock: The listening socket.
        accepting: Cleared where another process accepts in this one's place; `run` ends then.
        slots: Places for clients. Further ones wait in the backlog, so that descriptors last for
            the flows that stand.
        clients: Those connected.
        unopened: Those that have not sent their first line, the oldest first.
        closes_at: When to stop accepting for good; None while that is open.
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
        """Listens; `run` accepts.

        Args:
            address: Where to listen.
            core: Is told what clients do.
            inbox: Of the deciding thread.
            limits: Sizes, counts and times.
            shared: Another process may accept at the same address.
            sock: The listening socket that the other process passed on, if it did.

        Raises:
            OSError: The address stays taken.
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
        self.sock = sock or self._listen(address)

    def run(self) -> None:
        """Accepts clients up to `closes_at`; runs in a thread of its own."""
        while self.accepting and self._remaining() > 0:
            if not self._acquire_slot():
                break
            self.sock.settimeout(max(self._remaining(), MILLISECOND) / SECOND)
            try:
                sock, _ = self.sock.accept()
            except TimeoutError:
                self.slots.release()
                continue
            except OSError as error:
                # Descriptors may run short all the same: others close in time.
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
        """Starts a client's thread, in a slot that the caller has acquired for it."""
        self.core.counters.add("clients")
        try:
            client = ClientConnection(sock, self.core, self.inbox, self.limits, self.unopened)
            start_thread(lambda: self._serve(client), name="client")
        except (OSError, RuntimeError) as error:
            log.error(event("client_not_served", error=error))
            sock.close()
            self.slots.release()

    def dismiss_unopened(self) -> None:
        """Dismisses all clients that have not sent anything."""
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
        """Waits for a slot; False once accepting ends.

        Clients that send nothing make room for others, the oldest first.
        """
        while not self.slots.acquire(timeout=self.limits.accept_retry_pause / SECOND):
            self._dismiss_idle(len(self.unopened))
            if self._remaining() <= 0:
                return False
        return True

    def _remaining(self) -> int:
        """Nanoseconds to wait for a client before the next look at whether to go on."""
        wait = self.limits.accept_retry_pause if self._shared else self.limits.accept_poll_interval
        if self.closes_at is None:
            return wait
        return min(self.closes_at - self.inbox.clock(), wait)

    def _dismiss_idle(self, count: int) -> None:
        latest = self.inbox.clock() - self.limits.idle_grace
        # In one call: clients' threads change it between any two.
        for client in list(self.unopened)[:count]:
            if client.accepted_at < latest and client.dismiss():
                self.core.counters.add("clients_idle")

    def _close(self) -> None:
        """Stops listening once all that the system has accepted are admitted or rejected."""
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
        """Answers without a thread, for want of a slot.

        What has arrived is read: closing with it unread would take the answer back as a reset.
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
