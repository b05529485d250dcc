"""The balancer's clock."""

import time


class Clock:
    """A clock that starts at the wall time and advances with the monotonic clock.

    It can be compared with start times in the endpoint list, and is not affected by later changes
    of the wall clock.
    """

    def __init__(self) -> None:
        """Read the wall clock once."""
        self.offset = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        """Return the time in nanoseconds since the Unix epoch."""
        return time.monotonic_ns() + self.offset
