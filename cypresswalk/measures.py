"""Sums and counts over the recent past. Times are nanoseconds of the caller's clock."""

import math
from collections import deque
from itertools import islice

WINDOW_SLOTS = 32  # three in a hundred of a window are counted against the balancer


class DecayingSum:
    """A sum whose parts fade exponentially; brought up to date when it is read.

    Args:
        time_constant: nanoseconds in which a part fades to 1/e.
        now: when the sum begins, at 0.
    """

    __slots__ = ("time_constant", "total", "updated_at")

    def __init__(self, time_constant: int, now: int):
        """Begin at 0."""
        self.time_constant = time_constant
        self.total = 0.0
        self.updated_at = now

    def read(self, now: int) -> float:
        """Return what is left of the sum."""
        self.total *= math.exp((self.updated_at - now) / self.time_constant)
        self.updated_at = now
        return self.total

    def add(self, now: int, amount: float) -> None:
        """Add a part that has not faded yet."""
        self.total = self.read(now) + amount

    def part_seen(self, now: int, since: int) -> float:
        """Return which part of a steady sum has come in if it began at `since`: 0 to 1."""
        return 1 - math.exp((since - now) / self.time_constant)


class SlidingWindowCounter:
    """Counts events in the last `span` nanoseconds, by slots, with a bound on either side."""

    def __init__(self, span: int, now: int):
        """Begin with no event."""
        self.slot_span = -(-span // WINDOW_SLOTS)
        self.slot = now // self.slot_span
        self.counts: deque[int] = deque([0] * (WINDOW_SLOTS + 1), WINDOW_SLOTS + 1)

    def _advance(self, now: int) -> deque[int]:
        slots = min(now // self.slot_span - self.slot, WINDOW_SLOTS + 1)
        self.counts.extend([0] * slots)
        self.slot += max(now // self.slot_span - self.slot, 0)
        return self.counts

    def add(self, now: int, number: int = 1) -> None:
        """Count that many events."""
        self._advance(now)[-1] += number

    def upper_bound(self, now: int) -> int:
        """Return no fewer than there were in the window."""
        return sum(self._advance(now))

    def lower_bound(self, now: int) -> int:
        """Return no more than there were in the window."""
        # The oldest slot may begin before the window, the next by less than a nanosecond a slot.
        return sum(islice(self._advance(now), 2, None))
