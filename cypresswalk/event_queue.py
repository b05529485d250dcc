"""Taking batches of events from a queue, for the threads of a fleet."""

from queue import Empty, SimpleQueue
from typing import TypeVar

SECOND = 1_000_000_000  # in nanoseconds

EventT = TypeVar("EventT")


def take_events(queue: "SimpleQueue[EventT]", wait: int, limit: int) -> list[EventT]:
    """Return the queued events in order; none if no event comes in time.

    Args:
        queue: the queue to take them from.
        wait: nanoseconds to wait for the first event; does not wait if zero or negative.
        limit: maximum number of events.
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
