"""Flows that wait to be placed."""

from collections import deque

from cypresswalk.model import Flow


class FlowQueue:
    """Flows to place now, and those held for capacity or for health checks of their places.

    Attributes:
        capacity_freed: an end, establishment or check since may let held flows be placed.
    """

    def __init__(self) -> None:
        """Begin with no flow."""
        self.capacity_freed = False
        self._unplaced: deque[Flow] = deque()
        self._held: deque[Flow] = deque()

    def add(self, flow: Flow) -> None:
        """Place that flow at the next chance."""
        self._unplaced.append(flow)

    def next_unplaced(self) -> Flow | None:
        """Return and remove the next flow to place, or None."""
        return self._unplaced.popleft() if self._unplaced else None

    def hold(self, flow: Flow) -> None:
        """Keep a flow that could not be placed until capacity is freed or it is due."""
        self._held.append(flow)

    def release(self, now: int) -> None:
        """Place held flows again, before all others, if capacity was freed or one of them is due.

        Any may be due first: flows that were attempted before are held for a shorter time.
        """
        if self._held and (
            self.capacity_freed or any(now >= flow.next_due(now) for flow in self._held)
        ):
            self._unplaced.extendleft(reversed(self._held))
            self._held.clear()
        self.capacity_freed = False

    def next_due(self, now: int, latest: int) -> int:
        """Return when the first held flow is due, `latest` if none is before."""
        return min((flow.next_due(now) for flow in self._held), default=latest)
