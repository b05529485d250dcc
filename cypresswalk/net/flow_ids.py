"""The ids of flows, each of which a client may use once."""

from collections import OrderedDict
from collections.abc import Iterable


class FlowIds:
    """The ids of open connections, and those that arrived or ended recently.

    The memory is bounded: by the number of connections, which have a descriptor each, and by
    `limit` ids of each of the two other kinds. Ids that clients only make up push out what arrived
    recently, but neither open ids nor those of flows that servers had.

    Attributes:
        arrived: The ids that arrived last, whatever became of them, oldest first.
        open: The ids whose connections are waiting, attempted, established or being resumed.
        open_elsewhere: The ids whose connections are still open at the predecessor process.
    """

    def __init__(self, limit: int):
        """Start without ids; `limit` is the number of ids to remember of each kind."""
        self.arrived: OrderedDict[int, None] = OrderedDict()
        self.open: set[int] = set()
        self.open_elsewhere: set[int] = set()
        self._ended: OrderedDict[int, None] = OrderedDict()  # of flows that servers had
        self._limit = limit

    def is_known(self, flow_id: int) -> bool:
        """Return whether a connection has the id or had it recently."""
        return (
            flow_id in self.arrived
            or flow_id in self.open
            or flow_id in self._ended
            or flow_id in self.open_elsewhere
        )

    def add(self, flow_id: int) -> None:
        """Add the id of a connection that opens now."""
        self.open.add(flow_id)
        self._remember(self.arrived, flow_id)

    def close(self, flow_id: int, attempted: bool) -> None:
        """Record that a connection has ended, and whether a server had it; repeats are ignored."""
        if flow_id not in self.open:
            return
        self.open.remove(flow_id)
        if attempted:
            self._remember(self._ended, flow_id)

    def recent(self) -> list[int]:
        """Return the ids that arrived or ended recently, for a successor; the latter come last."""
        return [*self.arrived, *self._ended]

    def inherit(self, recent: Iterable[int], open_elsewhere: Iterable[int]) -> None:
        """Take over the predecessor's ids; its connections stay open there."""
        for flow_id in recent:
            self._remember(self.arrived, flow_id)
        self.open_elsewhere = set(open_elsewhere)

    def on_predecessor_ended(self) -> None:
        """Record that the predecessor's connections have ended."""
        for flow_id in self.open_elsewhere:
            self._remember(self._ended, flow_id)
        self.open_elsewhere.clear()

    def _remember(self, ids: OrderedDict[int, None], flow_id: int) -> None:
        ids[flow_id] = None
        if len(ids) > self._limit:
            ids.popitem(last=False)
