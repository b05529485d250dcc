"""Hints between balancers, as datagrams."""

import logging
import socket
import time

from cypresswalk.model import SECOND
from cypresswalk.net.config import Address
from cypresswalk.net.core import Core
from cypresswalk.net.inbox import Inbox
from cypresswalk.net.limits import Limits
from cypresswalk.net.logs import event

log = logging.getLogger(__name__)


class Peers:
    def __init__(
        self,
        listen: Address,
        everyone: Address | None,
        core: Core,
        inbox: Inbox,
        limits: Limits,
        shared: bool = False,
        sock: socket.socket | None = None,
    ):
        """`shared`: another process may hold the same address, and `sock` may be the one that it passed on."""
        self.everyone, self.core, self.inbox, self.limits = everyone, core, inbox, limits
        self.reading = True
        self.sock = sock or socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        if shared:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            self.sock.settimeout(limits.accept_pause / SECOND)
        if sock is None:
            self.sock.bind(listen)

    def tell(self, message: bytes) -> None:
        if self.everyone is None:
            return
        try:
            self.sock.sendto(message, socket.MSG_DONTWAIT, self.everyone)
        except OSError as error:
            log.warning(event("hint_not_sent", why=error))

    def run(self) -> None:
        while self.reading:
            try:
                message, _ = self.sock.recvfrom(self.limits.hint)
            except TimeoutError:
                continue
            except OSError as error:
                # Such as the answer to one that was sent to a balancer that is away.
                log.debug(event("hint_lost", why=error))
                time.sleep(self.limits.accept_pause / SECOND)
                continue
            self.inbox.post(self.core.on_gossip, message)
