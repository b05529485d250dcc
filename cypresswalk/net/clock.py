"""The clock of the balancer."""

import time


class Clock:
    """Wall time at the start, moved on by the monotonic clock.

    So start times in the endpoint list compare with it, and setting the wall clock has no effect.
    """

    def __init__(self) -> None:
        """Reads the wall clock, once."""
        self.offset = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        """Returns the time in nanoseconds since the Unix epoch."""
        return time.monotonic_ns() + self.offset
