"""A client's session, its attempts at servers, and the replies to clients."""

from typing import Protocol

from cypresswalk.model import Flow, Server
from cypresswalk.net.delay_gauge import DelayGauge
from cypresswalk.net.limits import MILLISECOND
from cypresswalk.net.parsers.lines import OpenRequest

ERROR_REPLY = b"ERR\r\n"
BUSY_REPLY = b"BUSY\r\n"


def busy_reply(retry_after: int) -> bytes:
    """The reply that rejects a flow; `retry_after` nanoseconds, 0 for no advice."""
    return b"BUSY %d\r\n" % (retry_after // MILLISECOND) if retry_after else BUSY_REPLY


class ClientSocket(Protocol):
    """What may be done with a client's socket without waiting."""

    def send_nowait(self, data: bytes) -> None:
        """Sends a few bytes on a connection on which nothing else was written."""

    def shutdown(self, how: int) -> None:
        """Shuts one or both directions; `how` as in `socket.shutdown`."""


class ClientDriver(Protocol):
    """The driver's object for a client's connection."""

    @property
    def link(self) -> ClientSocket:
        """The connection itself."""


class AttemptDriver(Protocol):
    """The driver's object for an attempt; see `Drivers` for what each call means."""

    def run(self) -> None:
        """Connects and reads until the end; the thread's own."""

    def start_relay(self) -> None:
        """Starts relaying lines."""

    def close(self) -> None:
        """Closes the connection."""

    def cancel_unsent(self) -> bool:
        """Whether nothing was sent, and now never will be."""

    def migrate(self) -> None:
        """Sends the client MOVE between two whole lines."""


class Session:
    """A client's connection (downstream), from its first line to its end.

    `request` and `flow` are set once the core has accepted the first line.
    """

    __slots__ = ("request", "flow", "attempt", "established", "finished", "client")

    request: OpenRequest
    flow: Flow

    def __init__(self, client: ClientDriver):
        """`client` is the driver's object for the connection."""
        self.attempt: Attempt | None = None  # the latest on its behalf
        self.established = False  # lines are relayed
        self.finished = False  # rejected, failed, migrated or ended
        self.client = client

    @property
    def has_flow(self) -> bool:
        """Whether the first line was accepted, so that `request` and `flow` are set."""
        return hasattr(self, "flow")


class Attempt:
    """One connection to a server (upstream) on behalf of a session. Times are nanoseconds."""

    __slots__ = (
        "session",
        "server",
        "number",
        "started_at",
        "send_deadline",
        "delay_gauge",
        "unanswered_since",
        "connection",
    )

    connection: AttemptDriver  # set by the driver as it connects

    def __init__(
        self,
        session: Session,
        server: Server,
        number: int,
        started_at: int,
        send_deadline: int | float,
        delay_gauge: DelayGauge,
    ):
        """`number` counts the flow's attempts from 0; after `send_deadline` nothing may be sent."""
        self.session = session
        self.server = server
        self.number = number
        self.started_at = started_at
        self.send_deadline = send_deadline
        self.delay_gauge = delay_gauge
        self.unanswered_since = 0  # when the oldest line without a reply was sent; 0: none
