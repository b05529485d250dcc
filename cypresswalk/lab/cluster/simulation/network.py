"""Messages between processes: harder than TCP, they are lost, doubled and overtake each other."""

from collections.abc import Iterable
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from cypresswalk.fleet.messages import AnyFrame, Hello, encode
from cypresswalk.lab.units import MILLISECOND

MIN_DELAY = MILLISECOND // 5
DEFAULT_DELAY = (MIN_DELAY, 5 * MILLISECOND)  # bounds


class InFlight(NamedTuple):
    """A message on its way; the first two fields give the order of arrival.

    Attributes:
        arrives_at: virtual time, nanoseconds.
        sequence: counts messages, so that two that arrive at once keep their order.
        target: name of the receiver.
        hello: of the sender's connection.
        data: the encoded frame.
    """

    arrives_at: int
    sequence: int
    target: str
    hello: Hello
    data: bytes


class Network:
    """One-way links between all processes.

    Attributes:
        cuts: pairs of names; nothing passes from the first to the second.
        extra_delays: by such a pair, how much later messages arrive, nanoseconds.
        loss: the share of messages that are lost.
        duplication: the share that is sent twice.
        delay: bounds of the time that a message takes, nanoseconds.
        message_count: of all that were sent.
        byte_count: their size.
    """

    def __init__(
        self,
        random: Random,
        names_by_address: dict[str, str],
        loss: float = 0.0,
        duplication: float = 0.0,
        delay: tuple[int, int] = DEFAULT_DELAY,
    ):
        """Links without faults between the processes of those names."""
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
        """Sends a frame to whoever has that address."""
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
        """When the next message arrives, or None."""
        return self._in_flight[0].arrives_at if self._in_flight else None

    def take_next(self) -> InFlight:
        """Takes the message that arrives next."""
        return heappop(self._in_flight)

    # Faults.

    def is_cut(self, source: str, target: str) -> bool:
        """Whether nothing passes from one to the other."""
        return (source, target) in self.cuts

    def cut(self, one: str, other: str) -> None:
        """Nothing passes between these two."""
        self.cuts |= {(one, other), (other, one)}

    def cut_one_way(self, source: str, target: str) -> None:
        """Nothing passes from one to the other."""
        self.cuts.add((source, target))

    def isolate(self, name: str, names: Iterable[str]) -> None:
        """Nothing passes between one and all those others."""
        for other in names:
            if other != name:
                self.cut(name, other)

    def slow_down(self, source: str, target: str, delay: int) -> None:
        """All that passes from one to the other arrives later by so many nanoseconds."""
        self.extra_delays[source, target] = delay

    def heal(self) -> None:
        """Ends cuts and extra delays."""
        self.cuts.clear()
        self.extra_delays.clear()

    def stop_losses(self) -> None:
        """No message is lost or doubled any more."""
        self.loss = 0.0
        self.duplication = 0.0
