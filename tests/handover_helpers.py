"""Two processes of one balancer during an upgrade: two cores and the channel between them."""

import json
from collections.abc import Sequence
from typing import Any, Self

from core_helpers import CoreHarness

from cypresswalk.net.handover import Handover

MAX_MESSAGES = 1000  # delivered by one call of `MessageChannel.deliver`


class MessageChannel:
    """One direction of the channel; holds the messages sent until the test delivers them."""

    def __init__(self, receiver: "HandoverProcess | None", reverse: Self | None = None):
        """Create the channel to a process, and the other direction if `reverse` is not given."""
        self.receiver = receiver
        self.reverse = reverse or MessageChannel(None, self)
        self.sent: list[str] = []
        self.closed = False

    def send(self, message: dict[str, Any], descriptors: Sequence[int] = ()) -> None:
        """Queue a message as JSON."""
        self.sent.append(json.dumps(message))

    def close(self) -> None:
        """Close the channel."""
        self.closed = True

    def deliver(self, limit: int = MAX_MESSAGES) -> int:
        """Deliver up to `limit` of the oldest messages; return how many."""
        count = 0
        assert self.receiver is not None, "the other process has not started"
        while self.sent and count < limit:
            message = json.loads(self.sent.pop(0))
            count += 1
            if "welcome" not in message:  # the driver reads this one before there is a core
                self.receiver.deliver(self.receiver.handover.on_message, self.reverse, message)
        return count


class ProcessDrivers:
    """Fake sockets and endpoint list of a process, as the handover uses them."""

    def __init__(self, process: "HandoverProcess", accepting: bool):
        """Create drivers of the process; `accepting` is whether it already accepts clients."""
        self.process = process
        self.accepting = accepting
        self.list_version = 1

    def accept(self) -> None:
        """Accept clients from now on."""
        self.accepting = True

    def stop_accepting(self) -> None:
        """Leave new clients to the other process."""
        self.accepting = False

    def list_position(self) -> tuple[str, int]:
        """Return the endpoint list's address and version."""
        return "127.0.0.1:9", self.list_version

    def server_names(self) -> dict[int, str]:
        """Return the servers' names by number."""
        return self.process.decoder.names

    def listening_sockets(self) -> tuple[int, ...]:
        """Return descriptors for the other process; they are not used."""
        return 7, 8


class HandoverProcess(CoreHarness):
    """One of the two processes: a core with a handover."""

    def __init__(self, predecessor: "HandoverProcess | None" = None, **changes: Any):
        """Start alone or beside a predecessor; `changes` as for `CoreHarness`."""
        super().__init__(**changes)
        self.process_drivers = ProcessDrivers(self, accepting=predecessor is None)
        self._channel = MessageChannel(predecessor) if predecessor else None
        self.handover = Handover(self.core, self.process_drivers, self._channel)
        self.core.extensions.handover = self.handover
        if predecessor is not None:
            self.now = predecessor.now
            self.channel.reverse.receiver = self
            predecessor.deliver(predecessor.handover.on_hello, self.channel.reverse)

    @property
    def channel(self) -> MessageChannel:
        """Return the channel to the predecessor."""
        assert self._channel is not None, "the process has no predecessor"
        return self._channel

    @property
    def accepting(self) -> bool:
        """Return whether this process accepts new clients."""
        return self.process_drivers.accepting

    def exchange_all(self) -> None:
        """Deliver all messages in both directions, including replies to them."""
        while self.channel.deliver() + self.channel.reverse.deliver():
            pass

    def has_messages(self) -> bool:
        """Return whether messages wait in either direction."""
        return bool(self.channel.sent or self.channel.reverse.sent)

    def is_receiving_state(self) -> bool:
        """Return whether this process, a successor, has not yet read all of a state sent to it."""
        messages = (json.loads(text) for text in self.channel.reverse.sent)
        return self.handover.state_receiver is not None or any("state" in m for m in messages)

    def stop(self) -> None:
        """Stop the process as an operator does."""
        self.deliver(self.core.lifecycle.stop)

    def lose_peer(self) -> None:
        """Deliver the end of the connection, as when the other process is killed."""
        self.deliver(self.handover.on_disconnected, self.handover.peer)

    def out_of_rotation(self) -> set[int]:
        """Return the ids of the servers that are out of rotation in this process."""
        servers = self.core.balancer.servers.values()
        return {server.id for server in servers if server.out_of_rotation}


def start_upgraded_pair(**changes: Any) -> tuple[HandoverProcess, HandoverProcess]:
    """Return a process and its successor, which has read the whole state."""
    predecessor = HandoverProcess(**changes)
    successor = HandoverProcess(predecessor, **changes)
    successor.exchange_all()
    return predecessor, successor
