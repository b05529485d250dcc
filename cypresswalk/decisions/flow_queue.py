"""The queue of flows that wait to be placed."""

from collections import deque

from cypresswalk.model import Flow


class FlowQueue:
    """Flows to place now, and flows that wait for capacity or for health checks.

    Attributes:
        unplaced: flows to place now, in order.
        waiting: flows that could not be placed, in the order in which they were tried.
        capacity_freed: whether an ended or established attempt or a health check since the last
            release may allow waiting flows to be placed.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.capacity_freed = False
        self.unplaced: deque[Flow] = deque()
        self.waiting: deque[Flow] = deque()

    def add(self, flow: Flow) -> None:
        """Queue a flow to be placed at the next decision."""
        self.unplaced.append(flow)

    def wait(self, flow: Flow) -> None:
        """Keep a flow that could not be placed until capacity is freed or it is due."""
        self.waiting.append(flow)

    def release(self, now: int) -> None:
        """Move waiting flows to the front of `unplaced` if capacity was freed or one is due.

        All are examined, because the order of due times differs: flows that were attempted before
        wait for a shorter time.
        """
        if self.waiting and (
            self.capacity_freed or any(now >= flow.next_due(now) for flow in self.waiting)
        ):
            self.unplaced.extendleft(reversed(self.waiting))
            self.waiting.clear()
        self.capacity_freed = False

    def next_due(self, now: int) -> int:
        """Return when the first waiting flow is due; at least one must be waiting."""
        return min([flow.next_due(now) for flow in self.waiting])
