"""Handover between two processes of one balancer: which one serves, and what they exchange.

This module does no I/O. The predecessor serves until it is stopped. It then sends the successor its
whole state, asks it to accept new clients, and keeps serving the clients that it has accepted.
Both accept from one listening socket, whose descriptor the predecessor passes on, so that no client
waits at a socket from which no process accepts (as in Facebook's Socket Takeover, "Zero Downtime
Release", SIGCOMM 2020). An operator's command takes effect in both before its OK is sent. If either
process ends, the other one serves.

    successor: hello
    predecessor: welcome (with the sockets), state, servers ..., ids ..., open_ids ..., end
    either: call N        the other: done N
    predecessor, when stopped: state ... end, yours, then held N whenever that changes
    successor: mine

A message is a JSON object with one key, the message's name. Unknown messages and unknown fields are
ignored. An unknown version is refused, and the new process then starts without a predecessor.
"""

from dataclasses import dataclass
from typing import Any, Protocol

from cypresswalk.net.core import Core
from cypresswalk.net.handover_state import ListSource, StateReceiver, apply_state, state_messages
from cypresswalk.net.lifecycle import Phase
from cypresswalk.net.parsers.admin_commands import AdminCommand

VERSION = 1


class PeerChannel(Protocol):
    """The connection to the other process. None of its methods blocks."""

    def send(self, message: dict[str, Any], descriptors: tuple[int, ...] = ()) -> None:
        """Send a message, with descriptors of sockets."""

    def close(self) -> None:
        """End the connection once all messages have been sent."""


class Drivers(ListSource, Protocol):
    """The operations on this process's sockets that a handover needs."""

    def accept(self) -> None:
        """Start accepting clients."""

    def stop_accepting(self) -> None:
        """Stop accepting clients; the other process accepts them."""

    def listening_sockets(self) -> tuple[int, ...]:
        """Return the descriptors to pass to the other process."""


@dataclass(slots=True)
class UnconfirmedCommand:
    """An operator's command that the other process has not confirmed."""

    command: AdminCommand
    reason: str | None  # why it did not take effect here; None if it did
    replied: bool = False  # the operator already has the reply that it is not confirmed


class Handover:
    """This process's side of a handover. Used only in the deciding thread."""

    def __init__(self, core: Core, drivers: Drivers, predecessor: PeerChannel | None = None):
        """Create this process's side; with a `predecessor` it waits for that one to hand over."""
        self.core = core
        self.drivers = drivers
        self.peer = predecessor
        self.is_successor = predecessor is not None  # until the predecessor has handed over
        if self.is_successor:
            core.lifecycle.phase = Phase.STARTING
            core.lifecycle.update_readiness()
        self.state_receiver: StateReceiver | None = None
        self.state_received = False  # a complete state has been received
        self.replaced = False  # the other process accepts clients instead of this one
        self.peer_sessions = 0  # held by the other process; they count toward the common limit
        self.reported_sessions = -1  # the last number sent to this successor; -1 if none was sent
        self.unconfirmed: dict[int, UnconfirmedCommand] = {}
        self.last_command_number = 0

    @property
    def connected(self) -> bool:
        """Return whether another process of this balancer is connected."""
        return self.peer is not None

    # The predecessor.

    def on_hello(self, now: int, peer: PeerChannel) -> None:
        """Accept the process as the successor, or refuse it if there are two processes already."""
        if self.peer is not None or self.is_successor:
            peer.send({"refused": "another process stands beside this one"})
            peer.close()
            return
        self.peer = peer
        self.replaced = False
        self.reported_sessions = -1
        peer.send({"welcome": VERSION}, self.drivers.listening_sockets())
        self.send_state(now, peer)
        if self.core.lifecycle.phase is Phase.LEAVING:
            self.hand_over(now)

    def send_state(self, now: int, peer: PeerChannel) -> None:
        """Send this process's whole state."""
        for message in state_messages(now, self.core, self.drivers):
            peer.send(message)

    def hand_over(self, now: int) -> None:
        """Have the successor accept clients, and leave it the rest of the budgets.

        This process keeps accepting until the successor confirms that it accepts.
        """
        if self.peer is not None and not self.is_successor:
            self.send_state(now, self.peer)
            self.core.balancer.spend_all_budgets(now)
            self.peer.send({"yours": True})

    def send_session_count(self) -> None:
        """Send the successor the number of this process's sessions, if that has changed."""
        count = len(self.core.sessions)
        if self.replaced and self.peer is not None and self.reported_sessions != count:
            self.reported_sessions = count
            self.peer.send({"held": count})

    # Both processes.

    def on_message(self, now: int, peer: PeerChannel, message: dict[str, Any]) -> None:
        """Handle a message of the other process."""
        if peer is not self.peer:
            return
        match message:
            case {"state": dict(state)}:
                self.state_receiver = StateReceiver(state)
            case {"servers": list()} | {"ids": list()} | {"open_ids": list()} if (
                self.state_receiver is not None
            ):
                self.state_receiver.add(message)
            case {"end": _} if self.state_receiver is not None and self.is_successor:
                received, self.state_receiver = self.state_receiver, None
                self._on_state(now, received)
            case {"yours": _} if self.is_successor:
                self._take_over(now)
                peer.send({"mine": True})
            case {"mine": _} if not self.is_successor:
                self._on_replaced()
            case {"held": int(count)}:
                self.peer_sessions = count
            case {
                "call": int(number),
                "name": str(name),
                "server": str(server),
                "known": bool(known),
            }:
                command = AdminCommand(name, server)
                commands = self.core.commands
                reason = commands.apply(now, command, forwarded=True, known=known)
                peer.send({"done": number, "why": reason})
            case {"done": int(number), "why": reason} if number in self.unconfirmed:
                self._on_confirmed(now, number, reason)

    def _on_state(self, now: int, received: StateReceiver) -> None:
        apply_state(now, self.core, self.drivers, received.decode())
        fleet = self.core.extensions.fleet
        if fleet is not None and "agreed" in received.state:
            fleet.inherit(now, received.state["agreed"])
        self.core.lifecycle.drained = received.state.get("drained") is True
        self._repeat_unconfirmed_commands(now)
        self.state_received = True

    def _repeat_unconfirmed_commands(self, now: int) -> None:
        """Apply the unconfirmed commands again, since the received state has undone them.

        The predecessor confirms a command after the state, on the same connection. A command that
        is not confirmed yet is therefore newer than the state.
        """
        for entry in self.unconfirmed.values():
            if entry.reason is None:
                self.core.commands.apply(now, entry.command, forwarded=True, known=True)

    def _on_replaced(self) -> None:
        """Stop accepting clients, since the successor accepts them now."""
        self.replaced = True
        self.drivers.stop_accepting()
        self.core.lifecycle.update_readiness()
        self.send_session_count()

    def on_disconnected(self, now: int, peer: PeerChannel) -> None:
        """Have this process serve, since the other one or the connection to it has ended."""
        if peer is not self.peer:
            return
        self.peer = None
        self.state_receiver = None
        self.peer_sessions = 0
        self.core.flow_ids.on_predecessor_ended()
        for number in list(self.unconfirmed):
            self._on_confirmed(now, number, None)
        if self.is_successor:
            self._take_over(now)
        elif self.replaced:
            self.replaced = False
            self.drivers.accept()
        self.core.lifecycle.update_readiness()

    def _take_over(self, now: int) -> None:
        self.is_successor = False
        self.core.lifecycle.begin_serving(now)
        self.drivers.accept()

    # Operators' commands.

    def forward(self, now: int, command: AdminCommand, reason: str | None) -> bool:
        """Send a command to the other process; return whether the reply waits for its confirmation.

        Args:
            now: the time, nanoseconds.
            command: the command, already applied here.
            reason: why it did not take effect here; None if it did.
        """
        if self.peer is None:
            return False
        self.last_command_number += 1
        self.unconfirmed[self.last_command_number] = UnconfirmedCommand(command, reason)
        self.peer.send(
            {
                "call": self.last_command_number,
                "name": command.name,
                "server": command.server,
                "known": reason is None,
            }
        )
        due = now + self.core.limits.handover_confirm_timeout
        self.core.timers.schedule(due, self._on_confirmation_late, self.last_command_number)
        return True

    def _on_confirmed(self, now: int, number: int, peer_reason: str | None) -> None:
        """Reply to the operator, now that the other process has applied the command or has ended.

        A server that only the other process's list names is accepted here too.
        """
        entry = self.unconfirmed.pop(number)
        reason = entry.reason
        if reason is not None and peer_reason is None and self.peer is not None:
            reason = self.core.commands.apply(now, entry.command, forwarded=True, known=True)
        if not entry.replied:
            self.core.commands.reply(entry.command, reason if reason is not None else peer_reason)

    def _on_confirmation_late(self, now: int, number: int) -> None:
        """Reply that the other process has not confirmed the command in time.

        The command is kept: a state that the other process wrote before it may still arrive.
        """
        entry = self.unconfirmed.get(number)
        if entry is not None:
            entry.replied = True
            reason = entry.reason or "done here; the other process has not confirmed it"
            self.core.commands.reply(entry.command, reason)
