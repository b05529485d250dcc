"""Queue of the times at which processes run next."""

from heapq import heappop, heappush
from typing import NamedTuple

from cypresswalk.lab.cluster.simulation.process import NEVER, Process


class WakeUp(NamedTuple):
    """A scheduled run of a process; the first two fields give the order."""

    at: int
    sequence: int
    process: Process


class WakeUps:
    """Queue of processes by the time at which they are due.

    A process is rescheduled each time it has run. If its due time moves later meanwhile, this is
    noticed when its entry reaches the head of the queue.
    """

    def __init__(self) -> None:
        """Start with an empty queue."""
        self._entries: list[WakeUp] = []
        self._scheduled: dict[str, int] = {}  # the earliest entry of each process, by name
        self._sequence = 0

    def schedule(self, process: Process, at: int | None = None) -> None:
        """Schedule the process at that time, or at its own due time."""
        if at is None:
            at = process.due()
        scheduled = self._scheduled.get(process.name)
        if scheduled is not None and scheduled <= at:
            return  # the earlier entry will reschedule the process
        self._scheduled[process.name] = at
        self._sequence += 1
        heappush(self._entries, WakeUp(at, self._sequence, process))

    def next_due(self, now: int) -> int:
        """Return when the next process, which `take_next` returns, is due; nanoseconds."""
        while self._entries:
            at, _, process = self._entries[0]
            due = process.due()
            if due <= at:
                return max(due, now)
            heappop(self._entries)
            if at == self._scheduled.get(process.name):
                del self._scheduled[process.name]
            if due < NEVER:
                self.schedule(process, due)
        return NEVER

    def take_next(self) -> Process:
        """Remove and return the process that is due next."""
        process = heappop(self._entries).process
        self._scheduled.pop(process.name, None)
        return process
