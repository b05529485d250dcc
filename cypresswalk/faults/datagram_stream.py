"""One direction of one UDP peer's datagrams under faults. No I/O and no clock."""

from collections.abc import Callable
from random import Random

from cypresswalk.faults.kinds import Fault, Kind
from cypresswalk.faults.stream import MILLISECOND, Write


class DatagramStream:
    """Turns datagrams that come in into writes, each not before its time (nanoseconds)."""

    def __init__(self, faults: Callable[[int], list[Fault]], done: Callable[[Fault], None]):
        """Starts with datagram 0.

        Args:
            faults: of the datagram with that number.
            done: is called with each fault that is injected.
        """
        self.faults = faults
        self.done = done
        self.number = 0
        self.held_back: bytes | None = None  # comes after the next one

    def feed(self, now: int, data: bytes) -> list[Write]:
        """Takes a datagram that came in."""
        writes = [Write(now, data)]
        held_back = None
        for fault in self.faults(self.number):
            self.done(fault)
            if fault.kind is Kind.SWAP:
                held_back = writes[-1].data if writes else None
                writes = []
            else:
                writes = changed(writes, fault)
        self.number += 1
        if self.held_back is not None:
            writes.append(Write(now, self.held_back))
        self.held_back = held_back
        return writes


def changed(writes: list[Write], fault: Fault) -> list[Write]:
    """The writes with a fault injected; SWAP needs the next datagram and is not handled here."""
    match fault.kind:
        case Kind.DROP:
            return []
        case Kind.DELAY:
            return [Write(write.at + fault.ms * MILLISECOND, write.data) for write in writes]
        case Kind.DUPLICATE:
            return writes * 2
        case Kind.TRUNCATE:
            return [Write(write.at, write.data[: len(write.data) // 2]) for write in writes]
        case Kind.GARBLE:
            return [Write(write.at, garbled(write.data, fault)) for write in writes]
    return writes


def garbled(data: bytes, fault: Fault) -> bytes:
    """A datagram with some bytes changed."""
    chance = Random(fault.mask)
    result = bytearray(data)
    for _ in range(fault.size if data else 0):
        result[chance.randrange(len(data))] ^= chance.randint(1, 255)
    return bytes(result)
