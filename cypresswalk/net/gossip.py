"""The socket for gossip between balancers: datagrams about overloaded servers."""

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


class GossipSocket:
    """Sends this balancer's gossip and receives that of other balancers.

    Attributes:
        sock: The datagram socket.
        receiving: Whether this process receives gossip; `run` ends once it is cleared, which is
            done when another process of this balancer receives instead.
    """

    def __init__(
        self,
        listen: Address,
        target: Address | None,
        core: Core,
        inbox: Inbox,
        limits: Limits,
        shared: bool = False,
        sock: socket.socket | None = None,
    ):
        """Bind the socket.

        Args:
            listen: Address at which gossip is received.
            target: Address to which gossip is sent; None to send none.
            core: Receiver of the gossip that arrives.
            inbox: Event queue of the deciding thread.
            limits: Sizes and times.
            shared: Whether another process may bind the same address.
            sock: The bound socket that the other process passed on, if any.

        Raises:
            OSError: The address cannot be bound.
        """
        self.target = target
        self.core = core
        self.inbox = inbox
        self.limits = limits
        self.receiving = True
        self.sock = sock or socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        if shared:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            self.sock.settimeout(limits.accept_retry_pause / SECOND)
        if sock is None:
            self.sock.bind(listen)

    def send(self, message: bytes) -> None:
        """Send a message if the system accepts it at once; log a failure."""
        if self.target is None:
            return
        try:
            self.sock.sendto(message, socket.MSG_DONTWAIT, self.target)
        except OSError as error:
            log.warning(event("gossip_not_sent", error=error))

    def run(self) -> None:
        """Receive gossip until `receiving` is cleared; runs in a separate thread."""
        while self.receiving:
            try:
                message, _ = self.sock.recvfrom(self.limits.max_gossip_bytes)
            except TimeoutError:
                continue
            except OSError as error:
                # For example the network's reply to a datagram for a balancer that is down.
                log.debug(event("gossip_receive_failed", error=error))
                time.sleep(self.limits.accept_retry_pause / SECOND)
                continue
            self.inbox.post(self.core.on_gossip, message)
