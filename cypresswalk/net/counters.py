"""Counters of what the balancer has received, sent and answered."""

from collections import Counter
from threading import Lock


class Counters:
    """Named counters that any thread may increase.

    Attributes:
        counts: The counts by name, since the start.
    """

    def __init__(self) -> None:
        """Creates counters at 0."""
        self.counts: Counter[str] = Counter()
        self._lock = Lock()

    def add(self, name: str, count: int = 1) -> None:
        """Increases a counter."""
        with self._lock:
            self.counts[name] += count

    def line(self) -> str:
        """Returns all counters for a log line, in the order of their names."""
        with self._lock:
            return " ".join(f"{name}={count}" for name, count in sorted(self.counts.items()))
