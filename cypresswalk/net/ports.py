"""What the core asks of the sockets' drivers and of parts that operators turn on."""

from collections.abc import Callable
from typing import Any, Protocol

from cypresswalk.model import EndpointUpdate, Flow, Outcome, Server
from cypresswalk.net.config import Address
from cypresswalk.net.parsers.admin_commands import AdminCommand
from cypresswalk.net.session import Attempt, Session

Endpoint = tuple[Server, Address]  # an entry of the endpoint list


class Drivers(Protocol):
    """What the core asks of the sockets. None of these waits."""

    def connect(self, attempt: Attempt, address: Address, line: bytes) -> None:
        """Connects to a server and sends the line; reports back by the core's on_... methods."""

    def start_relay(self, attempt: Attempt) -> None:
        """Starts relaying lines between the client and the server."""

    def close_attempt(self, attempt: Attempt) -> None:
        """Closes the connection to the server."""

    def cancel_unsent(self, attempt: Attempt) -> bool:
        """Drops an attempt that has sent nothing. False if it has, or if it was dropped before."""

    def stop_accepting_at(self, at: int) -> None:
        """Ends the listening for clients at that time, nanoseconds."""

    def send_reply(self, session: Session, line: bytes) -> None:
        """Sends the client its last line and ends the connection's sending half."""

    def close_client(self, session: Session) -> None:
        """Closes the client's connection."""

    def migrate(self, session: Session) -> None:
        """Tells an established client to look for another server."""

    def check_health(self, server: Server, address: Address) -> None:
        """Checks a server's health."""

    def request_endpoints(self) -> None:
        """Asks for the endpoint list's changes."""

    def send_gossip(self, message: bytes) -> None:
        """Sends gossip to the other balancers."""


class HandoverPartner(Protocol):
    """Another process of this balancer beside this one, for an upgrade (net/handover.py)."""

    @property
    def connected(self) -> bool:
        """Whether there is another process now."""

    peer_sessions: int  # that the other process still holds
    replaced: bool  # the other process accepts clients in this one's place
    state_received: bool  # the predecessor's whole state has been read

    def hand_over(self, now: int) -> None:
        """Has the successor accept clients from now on."""

    def send_session_count(self) -> None:
        """Tells the other process how many sessions this one holds, if that has changed."""

    def forward(self, now: int, command: AdminCommand, reason: str | None) -> bool:
        """Passes a command on. Whether the reply waits for the other process."""


class FleetBinding(Protocol):
    """What balancers of one fleet have agreed (fleet/core_binding.py)."""

    def on_attempt_established(self, attempt: Attempt, took: int) -> None:
        """An attempt was established within so many nanoseconds."""

    def on_attempt_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """An attempt or an established connection ended, whatever its outcome."""

    def merge_endpoints(
        self, now: int, form: EndpointUpdate, entries: list[Endpoint]
    ) -> tuple[EndpointUpdate, list[Endpoint]]:
        """The update to act on, from what this balancer's own endpoint list says."""

    def handle_command(self, now: int, call: AdminCommand) -> bool:
        """Whether the fleet replies to the command."""

    def state_for_successor(self) -> dict[str, Any]:
        """What a successor needs to know of what is agreed."""

    def inherit(self, now: int, state: dict[str, Any]) -> None:
        """Reads what a predecessor knows of what is agreed."""


class Reservations(Protocol):
    """Idempotency keys reserved at replicas before a flow is placed (cypresswalk/copies/)."""

    waiting: dict[Session, None]

    def ask(self, now: int, session: Session) -> None:
        """Asks for the flow's reservation; the answer places or rejects the session."""

    def finish(self, flow: Flow, how: str) -> None:
        """Ends the flow's reservation, if any; `how` is "ran", "never" or "unknown"."""


class Extensions:
    """Parts that operators turn on. Each is None where it is off."""

    def __init__(self) -> None:
        """All are off."""
        self.handover: HandoverPartner | None = None
        self.fleet: FleetBinding | None = None
        self.reservations: Reservations | None = None
        # Asked at each decision, not by a timer: a frozen process wakes with a queue of work.
        self.holds_lease: Callable[[], bool] | None = None

    def may_act(self) -> bool:
        """Whether it may place flows now: no fleet, a lease, or `without_lease = "hold"`."""
        return self.holds_lease is None or self.holds_lease()

    def has_other_process(self) -> bool:
        """Whether another process of this balancer stands beside this one."""
        return self.handover is not None and self.handover.connected

    def is_replaced(self) -> bool:
        """Whether another process accepts this one's clients already."""
        return self.handover is not None and self.handover.replaced

    def flows_elsewhere(self) -> int:
        """Flows that count toward this process's limit but are not among its sessions."""
        count = self.handover.peer_sessions if self.handover is not None else 0
        if self.reservations is not None:
            count += len(self.reservations.waiting)
        return count
