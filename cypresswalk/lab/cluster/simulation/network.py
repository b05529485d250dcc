"""Simulated network: unlike TCP, it may lose, duplicate and reorder messages."""

from collections.abc import Iterable
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from cypresswalk.fleet.messages import AnyFrame, Hello, encode
from cypresswalk.lab.units import MILLISECOND

MIN_DELAY = MILLISECOND // 5
DEFAULT_DELAY = (MIN_DELAY, 5 * MILLISECOND)  # bounds


class InFlight(NamedTuple):
    """A message in flight; the first two fields give the order of arrival.

    Attributes:
        arrives_at: virtual time of arrival, nanoseconds.
        sequence: number of the message; two that arrive at once keep their order.
        target: name of the receiver.
        hello: greeting of the sender's connection.
        data: the encoded frame.
    """

    arrives_at: int
    sequence: int
    target: str
    hello: Hello
    data: bytes


class Network:
    """One-way links between all processes, with faults.

    Attributes:
        cuts: pairs of sender and receiver names; messages between them are dropped.
        extra_delays: additional delay by such a pair, nanoseconds.
        loss: the share of messages that are lost.
        duplication: the share of messages that are sent twice.
        delay: bounds of a message's delay, nanoseconds.
        message_count: number of messages sent.
        byte_count: total size of messages sent, bytes.
    """

    def __init__(
        self,
        random: Random,
        names_by_address: dict[str, str],
        loss: float = 0.0,
        duplication: float = 0.0,
        delay: tuple[int, int] = DEFAULT_DELAY,
    ):
        """Create links between the named processes, none of them cut or slow."""
        self.cuts: set[tuple[str, str]] = set()
        self.extra_delays: dict[tuple[str, str], int] = {}
        self.loss = loss
        self.duplication = duplication
        self.delay = delay
        self.message_count = 0
        self.byte_count = 0
        self._random = random
        self._names_by_address = names_by_address
        self._in_flight: list[InFlight] = []
        self._sequence = 0

    # Messages.

    def send(self, now: int, source: str, address: str, hello: Hello, frame: AnyFrame) -> None:
        """Send a frame to the process with that address."""
        data = encode(frame)
        self.message_count += 1
        self.byte_count += len(data)
        target = self._names_by_address.get(address)
        if target is None or self.is_cut(source, target):
            return
        copies = 2 if self._random.random() < self.duplication else 1
        for _ in range(copies):
            if self._random.random() >= self.loss:
                delay = self._random.randint(*self.delay)
                delay += self.extra_delays.get((source, target), 0)
                self._sequence += 1
                message = InFlight(now + delay, self._sequence, target, hello, data)
                heappush(self._in_flight, message)

    def next_arrival(self) -> int | None:
        """Return when the next message arrives, nanoseconds; None if there is none."""
        return self._in_flight[0].arrives_at if self._in_flight else None

    def take_next(self) -> InFlight:
        """Remove and return the message that arrives next."""
        return heappop(self._in_flight)

    # Faults.

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether the link from one process to the other is cut."""
        return (source, target) in self.cuts

    def cut(self, one: str, other: str) -> None:
        """Cut the link between two processes, in both directions."""
        self.cuts |= {(one, other), (other, one)}

    def cut_one_way(self, source: str, target: str) -> None:
        """Cut the link from one process to the other."""
        self.cuts.add((source, target))

    def isolate(self, name: str, names: Iterable[str]) -> None:
        """Cut the links between one process and the other named ones."""
        for other in names:
            if other != name:
                self.cut(name, other)

    def slow_down(self, source: str, target: str, delay: int) -> None:
        """Add `delay` nanoseconds to the delay of all messages from one process to the other."""
        self.extra_delays[source, target] = delay

    def heal(self) -> None:
        """End all cuts and extra delays."""
        self.cuts.clear()
        self.extra_delays.clear()

    def stop_losses(self) -> None:
        """Stop losing and duplicating messages."""
        self.loss = 0.0
        self.duplication = 0.0
