"""When each process is to be run next."""

from heapq import heappop, heappush
from typing import NamedTuple

from cypresswalk.lab.cluster.simulation.process import NEVER, Process


class WakeUp(NamedTuple):
    """A process that is looked at; the first two fields give the order."""

    at: int
    sequence: int
    process: Process


class WakeUps:
    """Each process is scheduled anew after each of its turns.

    A process that becomes due later in the meantime is found out when its entry comes up.
    """

    def __init__(self) -> None:
        """Nothing is scheduled."""
        self._entries: list[WakeUp] = []
        self._scheduled: dict[str, int] = {}  # the earliest entry of each process, by name
        self._sequence = 0

    def schedule(self, process: Process, at: int | None = None) -> None:
        """Looks at the process by then, or when it is due."""
        if at is None:
            at = process.due()
        scheduled = self._scheduled.get(process.name)
        if scheduled is not None and scheduled <= at:
            return  # that look comes first, and schedules the next one
        self._scheduled[process.name] = at
        self._sequence += 1
        heappush(self._entries, WakeUp(at, self._sequence, process))

    def next_due(self, now: int) -> int:
        """When the next process is due, nanoseconds; `take_next` returns it."""
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
        """Takes the process that is due next."""
        process = heappop(self._entries).process
        self._scheduled.pop(process.name, None)
        return process
