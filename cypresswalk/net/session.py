"""The core's state of a client's session and of its attempts, and the replies to clients."""

from typing import Protocol

from cypresswalk.model import Flow, Server
from cypresswalk.net.delay_gauge import DelayGauge
from cypresswalk.net.limits import MILLISECOND
from cypresswalk.net.parsers.lines import OpenRequest

ERROR_REPLY = b"ERR\r\n"
BUSY_REPLY = b"BUSY\r\n"
PONG_REPLY = b"PONG\r\n"


def busy_reply(retry_after: int) -> bytes:
    """Return the reply that rejects a flow.

    `retry_after` is the advised delay before a retry in nanoseconds, or 0 for no advice.
    """
    return b"BUSY %d\r\n" % (retry_after // MILLISECOND) if retry_after else BUSY_REPLY


class ClientSocket(Protocol):
    """The operations on a client's socket that never block."""

    def send_nowait(self, data: bytes) -> None:
        """Send a few bytes on a connection to which nothing else was written."""

    def shutdown(self, how: int) -> None:
        """Shut down one or both directions; `how` as in `socket.shutdown`."""


class ClientDriver(Protocol):
    """The driver's object for a client's connection."""

    @property
    def link(self) -> ClientSocket:
        """Return the connection itself."""


class AttemptDriver(Protocol):
    """The driver's object for an attempt; `Drivers` documents its methods in full."""

    def run(self) -> None:
        """Connect and read until the end; runs in the attempt's own thread."""

    def start_relay(self) -> None:
        """Start relaying lines."""

    def close(self) -> None:
        """Close the connection."""

    def cancel_unsent(self) -> bool:
        """Drop an attempt that has sent nothing; return whether it was dropped by this call."""

    def migrate(self) -> None:
        """Send MOVE to the client between two complete lines."""


class Session:
    """A client's connection (downstream) from its first line to its end.

    `request` and `flow` are set once the core has accepted the first line.
    """

    __slots__ = ("request", "flow", "attempt", "established", "finished", "client")

    request: OpenRequest
    flow: Flow

    def __init__(self, client: ClientDriver):
        """Create a session; `client` is the driver's object for the connection."""
        self.attempt: Attempt | None = None  # the latest attempt
        self.established = False  # whether lines are relayed
        self.finished = False  # whether it was rejected, failed, was migrated or ended
        self.client = client

    @property
    def has_flow(self) -> bool:
        """Return whether the first line was accepted, so that `request` and `flow` are set."""
        return hasattr(self, "flow")


class Attempt:
    """One connection to a server (upstream) for a session. Times are nanoseconds."""

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

    connection: AttemptDriver  # set by the driver when it starts the attempt

    def __init__(
        self,
        session: Session,
        server: Server,
        number: int,
        started_at: int,
        send_deadline: int | float,
        delay_gauge: DelayGauge,
    ):
        """Create an attempt.

        `number` counts the flow's attempts from 0; after `send_deadline` nothing may be sent.
        """
        self.session = session
        self.server = server
        self.number = number
        self.started_at = started_at
        self.send_deadline = send_deadline
        self.delay_gauge = delay_gauge
        self.unanswered_since = 0  # time at which the oldest unanswered line was sent; 0 if none
