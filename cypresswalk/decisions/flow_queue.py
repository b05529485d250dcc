"""Flows that wait to be placed."""

from collections import deque

from cypresswalk.model import Flow


class FlowQueue:
    """Flows to place now, and those held for capacity or for health checks of their places.

    Attributes:
        unplaced: flows to place, the first to go first.
        held: flows that wait, in the order in which they were held.
        capacity_freed: an end, establishment or check since may let held flows be placed.
    """

    def __init__(self) -> None:
        """Begin with no flow."""
        self.capacity_freed = False
        self.unplaced: deque[Flow] = deque()
        self.held: deque[Flow] = deque()

    def add(self, flow: Flow) -> None:
        """Place that flow at the next chance."""
        self.unplaced.append(flow)

    def hold(self, flow: Flow) -> None:
        """Keep a flow that could not be placed until capacity is freed or it is due."""
        self.held.append(flow)

    def release(self, now: int) -> None:
        """Place held flows again, before all others, if capacity was freed or one of them is due.

        Any may be due first: flows that were attempted before are held for a shorter time.
        """
        if self.held and (
            self.capacity_freed or any(now >= flow.next_due(now) for flow in self.held)
        ):
            self.unplaced.extendleft(reversed(self.held))
            self.held.clear()
        self.capacity_freed = False

    def next_due(self, now: int) -> int:
        """Return when the first held flow is due; there is one."""
        return min([flow.next_due(now) for flow in self.held])
