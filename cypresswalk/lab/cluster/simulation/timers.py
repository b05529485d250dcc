"""Functions that are called at a moment of virtual time."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import NamedTuple


class Timer(NamedTuple):
    """A call that is due; the first two fields give the order."""

    at: int
    sequence: int
    function: Callable[[], None]


class Timers:
    """Calls functions in the order of their times; those of one moment as they were added."""

    def __init__(self) -> None:
        """Nothing is due."""
        self._timers: list[Timer] = []
        self._sequence = 0

    def add(self, at: int, function: Callable[[], None]) -> None:
        """Calls the function at that virtual time, nanoseconds."""
        self._sequence += 1
        heappush(self._timers, Timer(at, self._sequence, function))

    def next_due(self) -> int | None:
        """When the next function is due, or None."""
        return self._timers[0].at if self._timers else None

    def take_next(self) -> Callable[[], None]:
        """Takes the function that is due next."""
        return heappop(self._timers).function
