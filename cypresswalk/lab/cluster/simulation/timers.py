"""Queue of functions to call at given virtual times."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import NamedTuple


class Timer(NamedTuple):
    """A scheduled call; the first two fields give the order."""

    at: int
    sequence: int
    function: Callable[[], None]


class Timers:
    """Queue of scheduled functions, ordered by time and then by the order of adding."""

    def __init__(self) -> None:
        """Start with an empty queue."""
        self._timers: list[Timer] = []
        self._sequence = 0

    def add(self, at: int, function: Callable[[], None]) -> None:
        """Schedule the function at that virtual time, nanoseconds."""
        self._sequence += 1
        heappush(self._timers, Timer(at, self._sequence, function))

    def next_due(self) -> int | None:
        """Return when the next function is due, nanoseconds; None if there is none."""
        return self._timers[0].at if self._timers else None

    def take_next(self) -> Callable[[], None]:
        """Remove and return the function that is due next."""
        return heappop(self._timers).function
