"""One direction of one TCP connection under faults: bytes in, steps out. No I/O and no clock.

Fed one byte at a time or all at once, the bytes that come out, the end and the faults done are the same; only the times
and the borders between writes follow from how they came in. Times are nanoseconds of the host's clock."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from cypresswalk.faults.kinds import ENDS, Fault, Kind

MILLISECOND = 1_000_000
SECOND = 1_000 * MILLISECOND


@dataclass(frozen=True, slots=True)
class Write:
    at: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Finish:
    """An end of stream for the receiver, once all before it has gone out."""

    at: int


@dataclass(frozen=True, slots=True)
class Close:
    """An end of stream for both sides, and nothing more passes."""

    at: int


@dataclass(frozen=True, slots=True)
class Reset:
    at: int


Step = Write | Finish | Close | Reset


class Stream:
    """`done` is called with each fault as it strikes. Steps come in the order in which they are to be taken, each not
    before its time."""

    def __init__(self, faults: Iterable[Fault], done: Callable[[Fault], None]):
        self.faults, self.done = (
            sorted(faults, key=lambda f: (f.at, f.kind not in ENDS, f.place)),
            done,
        )
        self.at = 0  # bytes that have come in
        self.free = 0  # nothing goes out before
        self.latency = 0
        self.rate = 0
        self.split: tuple[int, int, int] | None = None  # from which offset, size, gap
        self.join: tuple[int, int] | None = None  # size, the longest wait
        self.joined, self.joined_since = bytearray(), 0
        self.dropping = 0
        self.garbling, self.chance = 0, Random(0)
        self.over = False  # an end has gone out: what still comes is swallowed

    def start(self, now: int) -> list[Step]:
        """Before the first byte: faults at offset 0 that end something strike here."""
        steps: list[Step] = []
        self.ends(now, steps)
        return steps

    def feed(self, now: int, data: bytes) -> list[Step]:
        steps: list[Step] = []
        view = memoryview(data)
        while view and not self.over:
            self.strike(now)
            reach = self.faults[0].at - self.at if self.faults else len(view)
            piece, view = view[:reach], view[reach:]
            self.at += len(piece)
            self.passing(now, bytes(piece), steps)
            self.ends(now, steps)
        return steps

    def end(self, now: int) -> list[Step]:
        """The sender has ended its side: passed on once all before it is out."""
        if self.over:
            return []
        steps: list[Step] = []
        self.release(now, steps)
        self.over = True
        steps.append(Finish(max(now + self.latency, self.free)))
        return steps

    def due(self) -> int | None:
        """When `wake` must be called, since bytes wait to be joined with others."""
        return self.joined_since + self.join[1] if self.join and self.joined else None

    def wake(self, now: int) -> list[Step]:
        steps: list[Step] = []
        if self.due() is not None and now >= self.due():
            self.release(now, steps)
        return steps

    def ends(self, now: int, steps: list[Step]) -> None:
        """Those that end something strike as soon as their offset is reached: between a line's last byte and its answer
        too. Guards against a cut that waits for a byte which never comes."""
        while (
            not self.over
            and self.faults
            and self.faults[0].at <= self.at
            and self.faults[0].kind in ENDS
        ):
            fault = self.faults.pop(0)
            self.done(fault)
            self.over = True
            self.release(now, steps)
            when = max(now + self.latency, self.free)
            if fault.kind is not Kind.BLACK_HOLE:
                steps.append(
                    {Kind.CUT: Reset, Kind.TRUNCATE: Close, Kind.HALF_CLOSE: Finish}[fault.kind](
                        when
                    )
                )

    def strike(self, now: int) -> None:
        """The others strike the byte at their offset, when it comes."""
        while self.faults and self.faults[0].at <= self.at:
            fault = self.faults.pop(0)
            self.done(fault)
            span = fault.ms * MILLISECOND
            match fault.kind:
                case Kind.DELAY:
                    self.free = max(self.free, now) + span
                case Kind.LATENCY:
                    self.latency = span
                case Kind.THROTTLE:
                    self.rate = fault.rate
                case Kind.SPLIT:
                    self.split = fault.at, fault.size, span
                case Kind.JOIN:
                    self.join = fault.size, span
                case Kind.DROP:
                    self.dropping = max(self.dropping, fault.size)
                case Kind.GARBLE:
                    self.garbling, self.chance = fault.size, Random(fault.mask)

    def passing(self, now: int, piece: bytes, steps: list[Step]) -> None:
        start = self.at - len(piece)
        if self.dropping:
            lost = min(self.dropping, len(piece))
            self.dropping -= lost
            piece, start = piece[lost:], start + lost
        if self.garbling and piece:
            count = min(self.garbling, len(piece))
            self.garbling -= count
            # From 1 on: each byte differs from what it was.
            piece = (
                bytes(byte ^ self.chance.randint(1, 255) for byte in piece[:count]) + piece[count:]
            )
        if not piece:
            return
        if self.join:
            if not self.joined:
                self.joined_since = now
            self.joined += piece
            if len(self.joined) >= self.join[0]:
                self.release(now, steps)
            return
        while self.split and piece:
            origin, size, gap = self.split
            reach = size - (start - origin) % size
            self.write(now, piece[:reach], steps)
            piece, start = piece[reach:], start + min(reach, len(piece))
            self.free += gap
        if piece:
            self.write(now, piece, steps)

    def release(self, now: int, steps: list[Step]) -> None:
        if self.joined:
            self.write(now, bytes(self.joined), steps)
            self.joined.clear()

    def write(self, now: int, data: bytes, steps: list[Step]) -> None:
        self.free = max(now + self.latency, self.free)
        steps.append(Write(self.free, data))
        if self.rate:
            self.free += len(data) * SECOND // self.rate


class Datagrams:
    """One direction of one peer's datagrams under faults. No I/O and no clock."""

    def __init__(self, faults: Callable[[int], list[Fault]], done: Callable[[Fault], None]):
        self.faults, self.done = faults, done
        self.number = 0
        self.swapped: bytes | None = None

    def feed(self, now: int, data: bytes) -> list[Write]:
        steps, late = [Write(now, data)], None
        for fault in self.faults(self.number):
            self.done(fault)
            match fault.kind:
                case Kind.DROP:
                    steps = []
                case Kind.DELAY:
                    steps = [Write(step.at + fault.ms * MILLISECOND, step.data) for step in steps]
                case Kind.DUPLICATE:
                    steps = steps * 2
                case Kind.TRUNCATE:
                    steps = [Write(step.at, step.data[: len(step.data) // 2]) for step in steps]
                case Kind.GARBLE:
                    steps = [Write(step.at, garbled(step.data, fault)) for step in steps]
                case Kind.SWAP:
                    late, steps = steps[-1].data if steps else None, []
        self.number += 1
        if self.swapped is not None:
            steps.append(Write(now, self.swapped))
        self.swapped = late
        return steps


def garbled(data: bytes, fault: Fault) -> bytes:
    chance = Random(fault.mask)
    changed = bytearray(data)
    for _ in range(fault.size if data else 0):
        changed[chance.randrange(len(data))] ^= chance.randint(1, 255)
    return bytes(changed)
