"""Two processes of one balancer side by side: two cores, and what they send each other."""

import json
from collections.abc import Sequence
from typing import Any, Self

from core_helpers import CoreHarness

from cypresswalk.net.handover import Handover

MAX_MESSAGES = 1000  # that `MessageChannel.deliver` hands on at once


class MessageChannel:
    """One direction between the two: what is sent waits here until the test delivers it."""

    def __init__(self, receiver: "HandoverProcess | None", reverse: Self | None = None):
        """The channel to a process; `reverse` is the other direction, made if not given."""
        self.receiver = receiver
        self.reverse = reverse or MessageChannel(None, self)
        self.sent: list[str] = []
        self.closed = False

    def send(self, message: dict[str, Any], descriptors: Sequence[int] = ()) -> None:
        """Takes a message, as JSON."""
        self.sent.append(json.dumps(message))

    def close(self) -> None:
        """Ends the connection."""
        self.closed = True

    def deliver(self, most: int = MAX_MESSAGES) -> int:
        """Delivers the oldest messages; returns how many."""
        count = 0
        assert self.receiver is not None, "the other process has not started"
        while self.sent and count < most:
            message = json.loads(self.sent.pop(0))
            count += 1
            if "welcome" not in message:  # read by the driver, before there is a core
                self.receiver.deliver(self.receiver.handover.on_message, self.reverse, message)
        return count


class ProcessDrivers:
    """What the hand-over asks of a process's sockets and of its endpoint list."""

    def __init__(self, process: "HandoverProcess", accepting: bool):
        """The drivers of a process that accepts clients or does not yet."""
        self.process = process
        self.accepting = accepting
        self.list_version = 1

    def accept(self) -> None:
        """Clients are accepted from now on."""
        self.accepting = True

    def stop_accepting(self) -> None:
        """New clients are the other process's."""
        self.accepting = False

    def list_position(self) -> tuple[str, int]:
        """The endpoint list's address and version."""
        return "127.0.0.1:9", self.list_version

    def server_names(self) -> dict[int, str]:
        """Names of servers by id."""
        return self.process.decoder.names

    def listening_sockets(self) -> tuple[int, ...]:
        """Descriptors for the other process; nobody uses them here."""
        return 7, 8


class HandoverProcess(CoreHarness):
    """One of the two processes: a core whose hand-over is on."""

    def __init__(self, predecessor: "HandoverProcess | None" = None, **changes: Any):
        """A process that starts alone or beside its predecessor; `changes` as of `CoreHarness`."""
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
        """The channel to the predecessor."""
        assert self._channel is not None, "it has no predecessor"
        return self._channel

    @property
    def accepting(self) -> bool:
        """Whether new clients come to this process."""
        return self.process_drivers.accepting

    def exchange_all(self) -> None:
        """Delivers all messages in both directions, and those that follow from them."""
        while self.channel.deliver() + self.channel.reverse.deliver():
            pass

    def has_messages(self) -> bool:
        """Whether messages wait in either direction."""
        return bool(self.channel.sent or self.channel.reverse.sent)

    def state_is_on_its_way(self) -> bool:
        """Whether this process, a successor, has still to read a state of its predecessor."""
        messages = (json.loads(text) for text in self.channel.reverse.sent)
        return self.handover.received is not None or any("state" in m for m in messages)

    def stop(self) -> None:
        """An operator stops the process."""
        self.deliver(self.core.lifecycle.stop)

    def lose_peer(self) -> None:
        """The other process is killed: this one finds the end of the connection."""
        self.deliver(self.handover.on_disconnected, self.handover.peer)

    def out_of_rotation(self) -> set[int]:
        """Ids of the servers that are out of rotation here."""
        servers = self.core.balancer.servers.values()
        return {server.id for server in servers if server.out_of_rotation}


def upgraded(**changes: Any) -> tuple[HandoverProcess, HandoverProcess]:
    """A process and its successor, which has read the whole state."""
    predecessor = HandoverProcess(**changes)
    successor = HandoverProcess(predecessor, **changes)
    successor.exchange_all()
    return predecessor, successor
