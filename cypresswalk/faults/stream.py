"""Applies faults to one direction of one TCP connection: bytes in, steps out. No I/O and no clock.

However the received bytes are divided, the bytes that come out, the end and the injected faults are
the same; only the times and the division into writes differ. Times are nanoseconds of the host's
clock.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from cypresswalk.faults.kinds import TERMINAL_KINDS, Fault, Kind

MILLISECOND = 1_000_000
SECOND = 1_000 * MILLISECOND


@dataclass(frozen=True, slots=True)
class Write:
    """A step: bytes, or a datagram, for the receiver, not before the time `at`."""

    at: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Finish:
    """A step: an end of stream for the receiver, after all earlier bytes."""

    at: int


@dataclass(frozen=True, slots=True)
class Close:
    """A step: an end of stream for both sides; nothing more is forwarded."""

    at: int


@dataclass(frozen=True, slots=True)
class Reset:
    """A step: a reset for both sides."""

    at: int


Step = Write | Finish | Close | Reset
STEP_OF_KIND: dict[Kind, type[Reset] | type[Close] | type[Finish]] = {
    Kind.CUT: Reset,
    Kind.TRUNCATE: Close,
    Kind.HALF_CLOSE: Finish,
}


@dataclass(frozen=True, slots=True)
class Split:
    """A split of bytes from offset `origin` on into writes of `size` bytes, `gap` ns apart."""

    origin: int
    size: int
    gap: int


@dataclass(frozen=True, slots=True)
class Join:
    """A rule to hold bytes until there are `size`, for at most `timeout` nanoseconds."""

    size: int
    timeout: int


class Stream:
    """A converter of received bytes into steps, in the order in which they must be carried out.

    Attributes:
        faults: faults that are not injected yet, in order.
        on_injected: function that is called with each injected fault.
        offset: number of bytes received.
        ended: whether the stream has ended; bytes that are received later are discarded.
        next_write_at: earliest time of the next write or end.
        latency: nanoseconds by which each write is delayed.
        rate: bytes per second; 0 if unlimited.
        join_buffer: bytes held by `join`, since `join_started_at`.
        drop_left: number of bytes still to be dropped.
        garble_left: number of bytes still to be garbled.
    """

    def __init__(self, faults: Iterable[Fault], on_injected: Callable[[Fault], None]):
        """Create the stream of one direction with its faults."""
        self.faults = sorted(faults, key=lambda f: (f.at, f.kind not in TERMINAL_KINDS, f.sort_key))
        self.on_injected = on_injected
        self.offset = 0
        self.ended = False
        self.next_write_at = 0
        self.latency = 0
        self.rate = 0
        self.split: Split | None = None
        self.join: Join | None = None
        self.join_buffer = bytearray()
        self.join_started_at = 0
        self.drop_left = 0
        self.garble_left = 0
        self.garble_random = Random(0)

    def start(self, now: int) -> list[Step]:
        """Inject terminal faults at offset 0, before the first byte is received."""
        steps: list[Step] = []
        self.inject_terminal_faults(now, steps)
        return steps

    def feed(self, now: int, data: bytes) -> list[Step]:
        """Return the steps that received bytes lead to."""
        steps: list[Step] = []
        view = memoryview(data)
        while view and not self.ended:
            self.inject_other_faults(now)
            length = self.faults[0].at - self.offset if self.faults else len(view)
            piece, view = view[:length], view[length:]
            self.offset += len(piece)
            self.pass_on(now, bytes(piece), steps)
            self.inject_terminal_faults(now, steps)
        return steps

    def end(self, now: int) -> list[Step]:
        """Return the steps after the sender's end of stream, which is forwarded last."""
        if self.ended:
            return []
        steps: list[Step] = []
        self.flush_join_buffer(now, steps)
        self.ended = True
        steps.append(Finish(max(now + self.latency, self.next_write_at)))
        return steps

    def due(self) -> int | None:
        """Return when `on_timer` must be called for bytes held by `join`, or None."""
        if self.join is None or not self.join_buffer:
            return None
        return self.join_started_at + self.join.timeout

    def on_timer(self, now: int) -> list[Step]:
        """Write the bytes held by `join` if their timeout has passed."""
        steps: list[Step] = []
        due = self.due()
        if due is not None and now >= due:
            self.flush_join_buffer(now, steps)
        return steps

    def inject_terminal_faults(self, now: int, steps: list[Step]) -> None:
        """Inject terminal faults as soon as their offset is reached.

        They don't wait for the byte at their offset: a cut after a line's last byte must not wait
        for the next line, which may not be sent before an answer.
        """
        while (
            not self.ended
            and self.faults
            and self.faults[0].at <= self.offset
            and self.faults[0].kind in TERMINAL_KINDS
        ):
            fault = self.faults.pop(0)
            self.on_injected(fault)
            self.ended = True
            self.flush_join_buffer(now, steps)
            if fault.kind is not Kind.BLACK_HOLE:
                steps.append(STEP_OF_KIND[fault.kind](max(now + self.latency, self.next_write_at)))

    def inject_other_faults(self, now: int) -> None:
        """Inject the other faults when the byte at their offset is received."""
        while self.faults and self.faults[0].at <= self.offset:
            fault = self.faults.pop(0)
            self.on_injected(fault)
            duration = fault.ms * MILLISECOND
            match fault.kind:
                case Kind.DELAY:
                    self.next_write_at = max(self.next_write_at, now) + duration
                case Kind.LATENCY:
                    self.latency = duration
                case Kind.THROTTLE:
                    self.rate = fault.rate
                case Kind.SPLIT:
                    self.split = Split(fault.at, fault.size, duration)
                case Kind.JOIN:
                    self.join = Join(fault.size, duration)
                case Kind.DROP:
                    self.drop_left = max(self.drop_left, fault.size)
                case Kind.GARBLE:
                    self.garble_left = fault.size
                    self.garble_random = Random(fault.mask)

    def pass_on(self, now: int, piece: bytes, steps: list[Step]) -> None:
        """Forward bytes that end at `offset`, changed by the injected faults."""
        start = self.offset - len(piece)
        dropped = min(self.drop_left, len(piece))
        self.drop_left -= dropped
        piece = self.garble(piece[dropped:])
        start += dropped
        if not piece:
            return
        if self.join is not None:
            if not self.join_buffer:
                self.join_started_at = now
            self.join_buffer += piece
            if len(self.join_buffer) >= self.join.size:
                self.flush_join_buffer(now, steps)
        elif self.split is not None:
            self.write_split(now, start, piece, self.split, steps)
        else:
            self.write(now, piece, steps)

    def garble(self, piece: bytes) -> bytes:
        """Change the bytes that are still to be garbled, each to another value."""
        count = min(self.garble_left, len(piece))
        self.garble_left -= count
        changed = bytes(byte ^ self.garble_random.randint(1, 255) for byte in piece[:count])
        return changed + piece[count:]

    def write_split(
        self, now: int, start: int, piece: bytes, split: Split, steps: list[Step]
    ) -> None:
        """Write bytes that begin at the offset `start`, in parts."""
        while piece:
            length = split.size - (start - split.origin) % split.size
            self.write(now, piece[:length], steps)
            start += min(length, len(piece))
            piece = piece[length:]
            self.next_write_at += split.gap

    def flush_join_buffer(self, now: int, steps: list[Step]) -> None:
        """Write the bytes held by `join`."""
        if self.join_buffer:
            self.write(now, bytes(self.join_buffer), steps)
            self.join_buffer.clear()

    def write(self, now: int, data: bytes, steps: list[Step]) -> None:
        """Write bytes as soon as latency and rate allow."""
        self.next_write_at = max(now + self.latency, self.next_write_at)
        steps.append(Write(self.next_write_at, data))
        if self.rate:
            self.next_write_at += len(data) * SECOND // self.rate
