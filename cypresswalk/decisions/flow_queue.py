"""Flows that wait to be placed."""

from collections import deque

from cypresswalk.model import Flow


class FlowQueue:
    """Flows to place now, and those that wait for capacity or for health checks.

    Attributes:
        unplaced: flows to place, the first to go first.
        waiting: could not be placed, in the order in which that was found.
        capacity_freed: an end, establishment or check since may let waiting flows be placed.
    """

    def __init__(self) -> None:
        """Begin with no flow."""
        self.capacity_freed = False
        self.unplaced: deque[Flow] = deque()
        self.waiting: deque[Flow] = deque()

    def add(self, flow: Flow) -> None:
        """Place that flow at the next chance."""
        self.unplaced.append(flow)

    def wait(self, flow: Flow) -> None:
        """Keep a flow that could not be placed until capacity is freed or it is due."""
        self.waiting.append(flow)

    def release(self, now: int) -> None:
        """Place waiting flows again, first of all, if capacity was freed or one of them is due.

        Any may be due first: flows that were attempted before wait for a shorter time.
        """
        if self.waiting and (
            self.capacity_freed or any(now >= flow.next_due(now) for flow in self.waiting)
        ):
            self.unplaced.extendleft(reversed(self.waiting))
            self.waiting.clear()
        self.capacity_freed = False

    def next_due(self, now: int) -> int:
        """Return when the first waiting flow is due; there is one."""
        return min([flow.next_due(now) for flow in self.waiting])
