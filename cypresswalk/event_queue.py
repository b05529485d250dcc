"""How the threads of a fleet take events: all that have come, up to a bound, or none in time."""

from queue import Empty, SimpleQueue
from typing import TypeVar

SECOND = 1_000_000_000  # in nanoseconds

EventT = TypeVar("EventT")


def take_events(queue: "SimpleQueue[EventT]", wait: int, limit: int) -> list[EventT]:
    """Events that have come, in their order.

    Args:
        queue: from which they are taken.
        wait: nanoseconds to wait for the first one; none where it is not positive.
        limit: events to take at most.
    """
    events: list[EventT] = []
    try:
        if wait > 0:
            events.append(queue.get(timeout=wait / SECOND))
        else:
            events.append(queue.get_nowait())
        while len(events) < limit:
            events.append(queue.get_nowait())
    except Empty:
        pass
    return events
