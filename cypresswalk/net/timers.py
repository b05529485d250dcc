"""Timers: calls scheduled for a later time."""

from collections.abc import Callable
from heapq import heappop, heappush


class Timers:
    """A heap of scheduled calls; calls due at the same time run in the order of scheduling."""

    def __init__(self) -> None:
        """Create an empty heap."""
        self.heap: list[tuple[int, int, Callable, tuple]] = []
        self.scheduled = 0  # number of calls scheduled so far; orders calls due at the same time

    def schedule(self, when: int, call: Callable[..., None], *args: object) -> None:
        """Schedule `call(now, *args)` for the time `when`, in nanoseconds."""
        self.scheduled += 1
        heappush(self.heap, (when, self.scheduled, call, args))

    def next_due(self) -> int | None:
        """Return the time of the first scheduled call, or None if there is none."""
        return self.heap[0][0] if self.heap else None

    def run_due(self, now: int) -> None:
        """Make all calls that are due, including those that these calls schedule up to `now`."""
        while self.heap and self.heap[0][0] <= now:
            _, _, call, args = heappop(self.heap)
            call(now, *args)
