"""One direction of one TCP connection under faults: bytes in, steps out. No I/O and no clock.

Fed one byte at a time or all at once, the bytes that come out, the end and the faults injected are
the same; only the times and the borders between writes follow from how they came in. Times are
nanoseconds of the host's clock.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from cypresswalk.faults.kinds import ENDS, Fault, Kind

MILLISECOND = 1_000_000
SECOND = 1_000 * MILLISECOND


@dataclass(frozen=True, slots=True)
class Write:
    """Bytes, or a datagram, for the receiver, not before `at`."""

    at: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Finish:
    """An end of stream for the receiver, once all before it has gone out."""

    at: int


@dataclass(frozen=True, slots=True)
class Close:
    """An end of stream for both sides; nothing more passes."""

    at: int


@dataclass(frozen=True, slots=True)
class Reset:
    """A reset for both sides."""

    at: int


Step = Write | Finish | Close | Reset
STEP_OF_END: dict[Kind, type[Reset] | type[Close] | type[Finish]] = {
    Kind.CUT: Reset,
    Kind.TRUNCATE: Close,
    Kind.HALF_CLOSE: Finish,
}


@dataclass(frozen=True, slots=True)
class Split:
    """Writes of at most `size` bytes from the offset `origin` on, `gap` nanoseconds apart."""

    origin: int
    size: int
    gap: int


@dataclass(frozen=True, slots=True)
class Join:
    """Writes wait for `size` bytes, at most `timeout` nanoseconds."""

    size: int
    timeout: int


class Stream:
    """Turns bytes that come in into steps, in the order in which they are to be taken.

    Attributes:
        faults: those still ahead, in order.
        at: how many bytes have come in.
        over: an end has gone out; what still comes in is swallowed.
    """

    def __init__(self, faults: Iterable[Fault], done: Callable[[Fault], None]):
        """Takes the faults of this direction; `done` is called with each that is injected."""
        self.faults = sorted(faults, key=lambda f: (f.at, f.kind not in ENDS, f.place))
        self.done = done
        self.at = 0
        self.over = False
        self.free_at = 0  # nothing goes out before
        self.latency = 0
        self.rate = 0  # bytes per second, 0: any
        self.split: Split | None = None
        self.join: Join | None = None
        self.joined = bytearray()
        self.joined_since = 0
        self.drop_left = 0  # bytes that are still to be dropped
        self.garble_left = 0
        self.chance = Random(0)

    def start(self, now: int) -> list[Step]:
        """Before the first byte: injects faults at offset 0 that end something."""
        steps: list[Step] = []
        self.inject_ends(now, steps)
        return steps

    def feed(self, now: int, data: bytes) -> list[Step]:
        """Takes bytes that came in."""
        steps: list[Step] = []
        view = memoryview(data)
        while view and not self.over:
            self.inject_changes(now)
            reach = self.faults[0].at - self.at if self.faults else len(view)
            piece, view = view[:reach], view[reach:]
            self.at += len(piece)
            self.pass_on(now, bytes(piece), steps)
            self.inject_ends(now, steps)
        return steps

    def end(self, now: int) -> list[Step]:
        """The sender has ended its side, which is passed on once all before it is out."""
        if self.over:
            return []
        steps: list[Step] = []
        self.flush_joined(now, steps)
        self.over = True
        steps.append(Finish(max(now + self.latency, self.free_at)))
        return steps

    def due(self) -> int | None:
        """When `wake` must be called, since bytes wait to be joined with others; or None."""
        if self.join is None or not self.joined:
            return None
        return self.joined_since + self.join.timeout

    def wake(self, now: int) -> list[Step]:
        """Lets bytes go that have waited for long enough."""
        steps: list[Step] = []
        due = self.due()
        if due is not None and now >= due:
            self.flush_joined(now, steps)
        return steps

    def inject_ends(self, now: int, steps: list[Step]) -> None:
        """Injects faults that end something as soon as their offset is reached.

        That is before the next byte comes: a cut after a line's last byte must not wait for the
        answer to it.
        """
        while (
            not self.over
            and self.faults
            and self.faults[0].at <= self.at
            and self.faults[0].kind in ENDS
        ):
            fault = self.faults.pop(0)
            self.done(fault)
            self.over = True
            self.flush_joined(now, steps)
            if fault.kind is not Kind.BLACK_HOLE:
                steps.append(STEP_OF_END[fault.kind](max(now + self.latency, self.free_at)))

    def inject_changes(self, now: int) -> None:
        """Injects the other faults when the byte at their offset comes."""
        while self.faults and self.faults[0].at <= self.at:
            fault = self.faults.pop(0)
            self.done(fault)
            span = fault.ms * MILLISECOND
            match fault.kind:
                case Kind.DELAY:
                    self.free_at = max(self.free_at, now) + span
                case Kind.LATENCY:
                    self.latency = span
                case Kind.THROTTLE:
                    self.rate = fault.rate
                case Kind.SPLIT:
                    self.split = Split(fault.at, fault.size, span)
                case Kind.JOIN:
                    self.join = Join(fault.size, span)
                case Kind.DROP:
                    self.drop_left = max(self.drop_left, fault.size)
                case Kind.GARBLE:
                    self.garble_left = fault.size
                    self.chance = Random(fault.mask)

    def pass_on(self, now: int, piece: bytes, steps: list[Step]) -> None:
        """Passes on the bytes up to `at`, changed by what was injected."""
        start = self.at - len(piece)
        dropped = min(self.drop_left, len(piece))
        self.drop_left -= dropped
        piece = self.garble(piece[dropped:])
        start += dropped
        if not piece:
            return
        if self.join is not None:
            if not self.joined:
                self.joined_since = now
            self.joined += piece
            if len(self.joined) >= self.join.size:
                self.flush_joined(now, steps)
        elif self.split is not None:
            self.write_split(now, start, piece, self.split, steps)
        else:
            self.write(now, piece, steps)

    def garble(self, piece: bytes) -> bytes:
        """Changes the bytes that are still to be garbled, each to another value."""
        count = min(self.garble_left, len(piece))
        self.garble_left -= count
        changed = bytes(byte ^ self.chance.randint(1, 255) for byte in piece[:count])
        return changed + piece[count:]

    def write_split(
        self, now: int, start: int, piece: bytes, split: Split, steps: list[Step]
    ) -> None:
        """Writes bytes from the offset `start` on in parts."""
        while piece:
            reach = split.size - (start - split.origin) % split.size
            self.write(now, piece[:reach], steps)
            start += min(reach, len(piece))
            piece = piece[reach:]
            self.free_at += split.gap

    def flush_joined(self, now: int, steps: list[Step]) -> None:
        """Writes the bytes that wait to be joined with others."""
        if self.joined:
            self.write(now, bytes(self.joined), steps)
            self.joined.clear()

    def write(self, now: int, data: bytes, steps: list[Step]) -> None:
        """Writes bytes as soon as latency and rate allow."""
        self.free_at = max(now + self.latency, self.free_at)
        steps.append(Write(self.free_at, data))
        if self.rate:
            self.free_at += len(data) * SECOND // self.rate
