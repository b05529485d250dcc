"""The interfaces through which the core uses the drivers and the optional extensions."""

from collections.abc import Callable
from typing import Any, Protocol

from cypresswalk.model import EndpointUpdate, Flow, Outcome, Server
from cypresswalk.net.config import Address
from cypresswalk.net.parsers.admin_commands import AdminCommand
from cypresswalk.net.session import Attempt, Session

Endpoint = tuple[Server, Address]  # an entry of the endpoint list


class Drivers(Protocol):
    """The socket operations that the core uses. None of them blocks."""

    def connect(self, attempt: Attempt, address: Address, line: bytes) -> None:
        """Connect to a server and send the line; results go to the core's `on_...` methods."""

    def start_relay(self, attempt: Attempt) -> None:
        """Start relaying lines between the client and the server."""

    def close_attempt(self, attempt: Attempt) -> None:
        """Close the connection to the server."""

    def cancel_unsent(self, attempt: Attempt) -> bool:
        """Drop an attempt that has sent nothing.

        Return False if it has sent something, or was dropped before.
        """

    def stop_accepting_at(self, at: int) -> None:
        """Stop accepting clients at the time `at`, in nanoseconds."""

    def send_reply(self, session: Session, line: bytes) -> None:
        """Send the client its last line and shut down the sending half of the connection."""

    def close_client(self, session: Session) -> None:
        """Close the client's connection."""

    def migrate(self, session: Session) -> None:
        """Tell an established client to reconnect to another server."""

    def check_health(self, server: Server, address: Address) -> None:
        """Start a health check of a server."""

    def request_endpoints(self) -> None:
        """Request the changes of the endpoint list."""

    def send_gossip(self, message: bytes) -> None:
        """Send gossip to the other balancers."""


class HandoverPartner(Protocol):
    """The link to another process of the same balancer during an upgrade (net/handover.py)."""

    @property
    def connected(self) -> bool:
        """Return whether there is another process now."""

    peer_sessions: int  # sessions that the other process still has
    replaced: bool  # whether the other process accepts clients instead of this one
    state_received: bool  # whether the predecessor's whole state has been read

    def hand_over(self, now: int) -> None:
        """Make the successor accept clients from now on."""

    def send_session_count(self) -> None:
        """Send the other process the number of this process's sessions, if it has changed."""

    def forward(self, now: int, command: AdminCommand, reason: str | None) -> bool:
        """Pass a command on; return whether its reply waits for the other process."""


class FleetBinding(Protocol):
    """The link to what the balancers of one fleet have agreed on (fleet/core_binding.py)."""

    def on_attempt_established(self, attempt: Attempt, took: int) -> None:
        """Handle the establishment of an attempt, which took `took` nanoseconds."""

    def on_attempt_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """Handle the end of an attempt or of an established connection, with any outcome."""

    def merge_endpoints(
        self, now: int, update: EndpointUpdate, entries: list[Endpoint]
    ) -> tuple[EndpointUpdate, list[Endpoint]]:
        """Return the update to apply, given an update of this balancer's own endpoint list."""

    def handle_command(self, now: int, call: AdminCommand) -> bool:
        """Handle an operator's command; return False if the fleet does not reply to it."""

    def state_for_successor(self) -> dict[str, Any]:
        """Return the agreed state that a successor needs."""

    def inherit(self, now: int, state: dict[str, Any]) -> None:
        """Apply the agreed state that a predecessor sent."""


class Reservations(Protocol):
    """Reservations of idempotency keys, made at replicas before a flow is placed.

    The client of the replicas is in cypresswalk/copies/.

    Attributes:
        waiting: The sessions whose reservation was requested but not answered yet.
    """

    waiting: dict[Session, None]

    def request(self, now: int, session: Session) -> None:
        """Request the flow's reservation; the answer places or rejects the session."""

    def finish(self, flow: Flow, how: str) -> None:
        """End the flow's reservation, if any.

        `how` says whether the flow ran at a server: "ran", "never" or "unknown".
        """


class Extensions:
    """Optional parts that operators can enable. Each is None if disabled."""

    def __init__(self) -> None:
        """Start with all extensions disabled."""
        self.handover: HandoverPartner | None = None
        self.fleet: FleetBinding | None = None
        self.reservations: Reservations | None = None
        # Called before each placement rather than by a timer: a process that was frozen resumes
        # with queued events, while its lease may have expired.
        self.holds_lease: Callable[[], bool] | None = None

    def may_place_flows(self) -> bool:
        """Return whether flows may be placed now.

        That is so without a fleet, with a lease, or with `without_lease = "hold"`.
        """
        return self.holds_lease is None or self.holds_lease()

    def has_other_process(self) -> bool:
        """Return whether another process of this balancer runs beside this one."""
        return self.handover is not None and self.handover.connected

    def is_replaced(self) -> bool:
        """Return whether another process already accepts clients instead of this one."""
        return self.handover is not None and self.handover.replaced

    def flows_elsewhere(self) -> int:
        """Return the number of flows that count toward the limit but are not in `Core.sessions`."""
        count = self.handover.peer_sessions if self.handover is not None else 0
        if self.reservations is not None:
            count += len(self.reservations.waiting)
        return count
