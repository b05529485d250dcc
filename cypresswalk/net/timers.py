"""Calls that are due at a later time, in the order of their times."""

from collections.abc import Callable
from heapq import heappop, heappush


class Timers:
    """A heap of calls; of two due at one time the one scheduled first runs first."""

    def __init__(self) -> None:
        """Nothing is due."""
        self.heap: list[tuple[int, int, Callable, tuple]] = []
        self.scheduled = 0

    def schedule(self, when: int, call: Callable[..., None], *args: object) -> None:
        """Has `call(now, *args)` made at `when`, nanoseconds."""
        self.scheduled += 1
        heappush(self.heap, (when, self.scheduled, call, args))

    def next_due(self) -> int | None:
        """When the first call is due, or None if there is none."""
        return self.heap[0][0] if self.heap else None

    def run_due(self, now: int) -> None:
        """Makes the calls that are due; those that they schedule for `now` or before, too."""
        while self.heap and self.heap[0][0] <= now:
            _, _, call, args = heappop(self.heap)
            call(now, *args)
