"""Hand-over between two processes of one balancer: who serves, and what one tells the other.

Knows no socket. The predecessor serves until it is told to stop; then it tells the successor all
that it knows and that new clients are the successor's, and goes on answering what it has taken.
Both wait at one listening socket, which the predecessor passes on: no client waits where nobody
listens (as in Facebook's Socket Takeover, "Zero Downtime Release", SIGCOMM 2020). An operator's
command holds for both before its OK. Whichever of the two ends, the other serves.

    successor: hello
    predecessor: welcome (with the sockets), state, servers ..., ids ..., end
    either: call N        the other: done N
    predecessor, told to stop: state ... end, yours, then held N as that changes
    successor: mine

Messages are JSON objects of one key that names them. An unknown one, and an unknown field, is
passed over; an unknown version is refused, and means a plain start.
"""

from dataclasses import dataclass
from typing import Any, Protocol

from cypresswalk.net.core import Core
from cypresswalk.net.handover_state import ListSource, StateReceiver, apply_state, state_messages
from cypresswalk.net.lifecycle import Phase
from cypresswalk.net.parsers.admin_commands import AdminCommand

VERSION = 1


class PeerChannel(Protocol):
    """The connection to the other process. None of its calls waits."""

    def send(self, message: dict[str, Any], descriptors: tuple[int, ...] = ()) -> None:
        """Sends a message, with descriptors of sockets."""

    def close(self) -> None:
        """Ends the connection once all has been sent."""


class Drivers(ListSource, Protocol):
    """What a hand-over asks of the sockets."""

    def accept(self) -> None:
        """Accepts clients from now on."""

    def stop_accepting(self) -> None:
        """Leaves new clients to the other process."""

    def listening_sockets(self) -> tuple[int, ...]:
        """Descriptors for the other process."""


@dataclass(slots=True)
class UnconfirmedCommand:
    """A command that the other process has not confirmed."""

    command: AdminCommand
    reason: str | None  # why it did not take effect here
    replied: bool = False  # the operator has been told that it is not confirmed


class Handover:
    """One of the two processes; the core's own thread alone calls it."""

    def __init__(self, core: Core, drivers: Drivers, predecessor: PeerChannel | None = None):
        """With a `predecessor` this process waits until that hands over."""
        self.core = core
        self.drivers = drivers
        self.peer = predecessor
        self.is_successor = predecessor is not None  # until the predecessor has handed over
        if self.is_successor:
            core.lifecycle.phase = Phase.STARTING
            core.lifecycle.update_readiness()
        self.received: StateReceiver | None = None
        self.state_received = False  # a whole state has been read
        self.replaced = False  # the other accepts clients in this process's place
        self.peer_sessions = 0  # that the other still holds, of what both may hold
        self.reported_sessions = -1
        self.unconfirmed: dict[int, UnconfirmedCommand] = {}
        self.last_command = 0

    @property
    def connected(self) -> bool:
        """Whether another process stands beside this one."""
        return self.peer is not None

    # The predecessor.

    def on_hello(self, now: int, peer: PeerChannel) -> None:
        """Another process wants to stand beside this one: one at a time, never two in wait."""
        if self.peer is not None or self.is_successor:
            peer.send({"refused": "another process stands beside this one"})
            peer.close()
            return
        self.peer = peer
        self.replaced = False
        peer.send({"welcome": VERSION}, self.drivers.listening_sockets())
        self.send_state(now, peer)
        if self.core.lifecycle.phase is Phase.LEAVING:
            self.hand_over(now)

    def send_state(self, now: int, peer: PeerChannel) -> None:
        """Sends all that this process knows."""
        for message in state_messages(now, self.core, self.drivers):
            peer.send(message)

    def hand_over(self, now: int) -> None:
        """Has the successor accept clients, with what is left of budgets.

        This process accepts until the successor has said that it does.
        """
        if self.peer is not None and not self.is_successor:
            self.send_state(now, self.peer)
            self.core.balancer.spend_all_budgets(now)
            self.peer.send({"yours": True})

    def send_session_count(self) -> None:
        """Tells the successor how many sessions this process holds, if that has changed."""
        count = len(self.core.sessions)
        if self.replaced and self.peer is not None and self.reported_sessions != count:
            self.reported_sessions = count
            self.peer.send({"held": count})

    # Both.

    def on_message(self, now: int, peer: PeerChannel, message: dict[str, Any]) -> None:
        """The other process has sent a message."""
        if peer is not self.peer:
            return
        match message:
            case {"state": dict(state)}:
                self.received = StateReceiver(state)
            case {"servers": list()} | {"ids": list()} if self.received is not None:
                self.received.add(message)
            case {"end": _} if self.received is not None and self.is_successor:
                received, self.received = self.received, None
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
        """Applies again what operators asked for here since the predecessor wrote its state.

        It confirms a command after that state, on the same connection: what is not confirmed yet
        is newer, and the state has just undone it.
        """
        for entry in self.unconfirmed.values():
            if entry.reason is None:
                self.core.commands.apply(now, entry.command, forwarded=True, known=True)

    def _on_replaced(self) -> None:
        """The successor accepts clients."""
        self.replaced = True
        self.drivers.stop_accepting()
        self.core.lifecycle.update_readiness()
        self.send_session_count()

    def on_disconnected(self, now: int, peer: PeerChannel) -> None:
        """The other process or the connection to it has ended: this one serves."""
        if peer is not self.peer:
            return
        self.peer = None
        self.received = None
        self.peer_sessions = 0
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
        """Passes a command on, with why it did not take effect here.

        Returns whether the reply waits for the other process.
        """
        if self.peer is None:
            return False
        self.last_command += 1
        self.unconfirmed[self.last_command] = UnconfirmedCommand(command, reason)
        self.peer.send(
            {
                "call": self.last_command,
                "name": command.name,
                "server": command.server,
                "known": reason is None,
            }
        )
        due = now + self.core.limits.handover_confirm_timeout
        self.core.timers.schedule(due, self._on_confirmation_late, self.last_command)
        return True

    def _on_confirmed(self, now: int, number: int, peer_reason: str | None) -> None:
        """Replies to the caller. A server that one of the two lists names is known to both."""
        entry = self.unconfirmed.pop(number)
        reason = entry.reason
        if reason is not None and peer_reason is None and self.peer is not None:
            reason = self.core.commands.apply(now, entry.command, forwarded=True, known=True)
        if not entry.replied:
            self.core.commands.reply(entry.command, reason if reason is not None else peer_reason)

    def _on_confirmation_late(self, now: int, number: int) -> None:
        """Replies without the confirmation.

        The command stays noted: a state that the other wrote before it may still come.
        """
        entry = self.unconfirmed.get(number)
        if entry is not None:
            entry.replied = True
            reason = entry.reason or "done here; the other process has not confirmed it"
            self.core.commands.reply(entry.command, reason)
