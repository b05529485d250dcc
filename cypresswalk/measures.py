"""Sums and counts over a recent period. Times are nanoseconds of the caller's clock."""

import math
from collections import deque
from itertools import islice

# The bounds err on the safe side by up to a slot, which is about 3 percent of a window.
WINDOW_SLOTS = 32


class DecayingSum:
    """An exponentially decaying sum, brought up to date when it is read.

    Args:
        time_constant: nanoseconds in which an amount decays to 1/e.
        now: when the sum starts, at 0.
    """

    __slots__ = ("time_constant", "total", "updated_at")

    def __init__(self, time_constant: int, now: int):
        """Start at 0."""
        self.time_constant = time_constant
        self.total = 0.0
        self.updated_at = now

    def read(self, now: int) -> float:
        """Return the decayed sum."""
        self.total *= math.exp((self.updated_at - now) / self.time_constant)
        self.updated_at = now
        return self.total

    def add(self, now: int, amount: float) -> None:
        """Add an amount, which decays from now on."""
        self.total = self.read(now) + amount

    def accumulated_fraction(self, now: int, since: int) -> float:
        """Return the fraction, 0 to 1, of its final value that a sum started at `since` has.

        This assumes that amounts are added at a steady rate.
        """
        return 1 - math.exp((since - now) / self.time_constant)


class SlidingWindowCounter:
    """Lower and upper bounds for the number of events in the last `span` nanoseconds."""

    def __init__(self, span: int, now: int):
        """Start with no events."""
        self.slot_span = -(-span // WINDOW_SLOTS)
        self.slot = now // self.slot_span
        self.counts: deque[int] = deque([0] * (WINDOW_SLOTS + 1), WINDOW_SLOTS + 1)

    def _advance(self, now: int) -> deque[int]:
        slots = min(now // self.slot_span - self.slot, WINDOW_SLOTS + 1)
        self.counts.extend([0] * slots)
        self.slot += max(now // self.slot_span - self.slot, 0)
        return self.counts

    def add(self, now: int, number: int = 1) -> None:
        """Count events that happen now."""
        self._advance(now)[-1] += number

    def upper_bound(self, now: int) -> int:
        """Return an upper bound for the number of events in the window."""
        return sum(self._advance(now))

    def lower_bound(self, now: int) -> int:
        """Return a lower bound for the number of events in the window."""
        # The oldest slot may start before the window. So may the next one, because slots are
        # rounded up, by less than a nanosecond each.
        return sum(islice(self._advance(now), 2, None))
