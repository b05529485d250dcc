"""How the deciding thread spends its processor time, and how late it handles events."""

import time
from collections import Counter

from cypresswalk.net.limits import MICROSECOND

IDLE = "idle"  # waiting for an event, and the loop itself


class WorkTimes:
    """The deciding thread's processor time by kind of work; only that thread uses it.

    Work may be nested: time counts for the innermost kind only. So the time to start a health check
    does not count for the decisions among which it is started.

    Attributes:
        spent: Nanoseconds of processor time, by kind of work.
        oldest_event: The longest time in nanoseconds from an event's posting to its handling.
    """

    def __init__(self) -> None:
        """Start at 0."""
        self.spent: Counter[str] = Counter()
        self.oldest_event = 0
        self._kind = IDLE
        self._since = 0

    def switch(self, kind: str) -> str:
        """Count the time so far for the previous kind of work, and return that kind."""
        now = time.thread_time_ns()
        previous = self._kind
        self.spent[previous] += now - self._since
        self._kind = kind
        self._since = now
        return previous

    def on_event(self, age: int) -> None:
        """Record an event that is handled `age` nanoseconds after it was posted."""
        self.oldest_event = max(self.oldest_event, age)

    def fields(self) -> str:
        """Return the figures for a log line, ordered by name."""
        self.switch(self._kind)
        values = {f"work_{kind}_us": spent // MICROSECOND for kind, spent in self.spent.items()}
        values["oldest_event_us"] = self.oldest_event // MICROSECOND
        values["cpu_us"] = time.process_time_ns() // MICROSECOND
        return " ".join(f"{name}={value}" for name, value in sorted(values.items()))
