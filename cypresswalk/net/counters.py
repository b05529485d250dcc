"""Counters of what the balancer has received, sent and answered."""

from collections import Counter
from threading import Lock


class Counters:
    """Named counters, and largest values, that any thread may increase.

    Attributes:
        counts: The counts since the start, by name.
    """

    def __init__(self) -> None:
        """Create counters at 0."""
        self.counts: Counter[str] = Counter()
        self._lock = Lock()

    def add(self, name: str, count: int = 1) -> None:
        """Increase a counter."""
        with self._lock:
            self.counts[name] += count

    def keep_largest(self, name: str, value: int) -> None:
        """Set a counter to a value unless it is larger already."""
        with self._lock:
            self.counts[name] = max(self.counts[name], value)

    def line(self) -> str:
        """Return all counters for a log line, ordered by name."""
        with self._lock:
            return " ".join(f"{name}={count}" for name, count in sorted(self.counts.items()))
