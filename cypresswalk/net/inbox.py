"""The event queue of the deciding thread."""

from collections.abc import Callable
from queue import SimpleQueue

from cypresswalk.net.clock import Clock


class Inbox:
    """A queue of calls that other threads post for the deciding thread to make in order.

    Attributes:
        clock: The clock that gives the calls their time.
        queue: The posted calls, each with the time of posting and its further arguments.
        urgent: The calls to make before those in `queue`, with their arguments.
    """

    def __init__(self, clock: Clock):
        """Create an empty inbox."""
        self.clock = clock
        self.queue: SimpleQueue = SimpleQueue()
        self.urgent: SimpleQueue = SimpleQueue()

    def post(self, call: Callable[..., object], *args: object) -> None:
        """Post a call for the deciding thread, with the current time and the arguments."""
        self.queue.put((self.clock(), call, args))

    def post_urgent(self, call: Callable[..., object], *args: object) -> None:
        """Post a call to make before all waiting calls, with the time at which it is made.

        Used for operators' calls, whose callers wait for only a second, even while many clients'
        events are queued.
        """
        self.urgent.put((call, args))
        # The deciding thread blocks on `queue` only.
        self.post(_wake_up)


def _wake_up(now: int) -> None:
    pass
