"""Applies faults to one direction of one UDP peer's datagrams. No I/O and no clock."""

from collections.abc import Callable
from random import Random

from cypresswalk.faults.kinds import Fault, Kind
from cypresswalk.faults.stream import MILLISECOND, Write


class DatagramStream:
    """A converter of received datagrams into writes, each with its earliest time in nanoseconds."""

    def __init__(self, faults: Callable[[int], list[Fault]], on_injected: Callable[[Fault], None]):
        """Create a stream whose first datagram has the number 0.

        Args:
            faults: function that returns the faults of a datagram, given its number.
            on_injected: function that is called with each injected fault.
        """
        self.faults = faults
        self.on_injected = on_injected
        self.next_number = 0
        self.held_back: bytes | None = None  # to be sent after the next datagram

    def feed(self, now: int, data: bytes) -> list[Write]:
        """Return the writes that a received datagram leads to."""
        writes = [Write(now, data)]
        held_back = None
        for fault in self.faults(self.next_number):
            self.on_injected(fault)
            if fault.kind is Kind.SWAP:
                held_back = writes[-1].data if writes else None
                writes = []
            else:
                writes = apply_fault(writes, fault)
        self.next_number += 1
        if self.held_back is not None:
            writes.append(Write(now, self.held_back))
        self.held_back = held_back
        return writes


def apply_fault(writes: list[Write], fault: Fault) -> list[Write]:
    """Return the writes with a fault applied, except SWAP, which needs the next datagram."""
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
            return [Write(write.at, garble(write.data, fault)) for write in writes]
    return writes


def garble(data: bytes, fault: Fault) -> bytes:
    """Return a datagram with the fault's number of bytes changed."""
    rng = Random(fault.mask)
    result = bytearray(data)
    for _ in range(fault.size if data else 0):
        result[rng.randrange(len(data))] ^= rng.randint(1, 255)
    return bytes(result)
