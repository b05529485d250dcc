"""The event queue of the deciding thread."""

from collections.abc import Callable
from queue import SimpleQueue

from cypresswalk.net.clock import Clock


class Inbox:
    """Calls that other threads ask the deciding thread to make, in their order.

    Attributes:
        clock: Stamps the calls.
        queue: Calls with the time at which they were posted and their further arguments.
        urgent: Calls that go before all that waits in `queue`, with their arguments.
    """

    def __init__(self, clock: Clock):
        """Creates an empty inbox."""
        self.clock = clock
        self.queue: SimpleQueue = SimpleQueue()
        self.urgent: SimpleQueue = SimpleQueue()

    def post(self, call: Callable[..., object], *args: object) -> None:
        """Has the deciding thread make the call with the present time and the arguments."""
        self.queue.put((self.clock(), call, args))

    def post_urgent(self, call: Callable[..., object], *args: object) -> None:
        """Has the call made before all that waits, with the time of that moment.

        For operators' calls, whose callers wait a second, while a crowd's events are queued.
        """
        self.urgent.put((call, args))
        # The deciding thread waits on the other queue.
        self.post(_wake_up)


def _wake_up(now: int) -> None:
    pass
