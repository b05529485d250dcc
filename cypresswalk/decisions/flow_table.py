"""The flows that this balancer holds, and how many of each tenant and key there are."""

from collections import Counter

from cypresswalk.model import Flow, Server


class FlowTable:
    """All flows from their arrival to their end."""

    def __init__(self) -> None:
        """Begin with no flow."""
        self.by_id: dict[int, Flow] = {}
        self.by_tenant: Counter[int] = Counter()
        self.by_key: Counter[int] = Counter()

    def __len__(self) -> int:
        """Return how many flows are held."""
        return len(self.by_id)

    def __contains__(self, flow: Flow) -> bool:
        """Return whether the flow is still held."""
        return flow.id in self.by_id

    def add(self, flow: Flow) -> None:
        """Hold a flow from now on."""
        self.by_id[flow.id] = flow
        self.by_key[flow.key] += 1
        self.by_tenant[flow.tenant] += 1

    def remove(self, flow: Flow) -> None:
        """Forget a flow; nothing happens if it is not held."""
        if self.by_id.pop(flow.id, None) is None:
            return
        self.by_tenant[flow.tenant] -= 1
        self.by_key[flow.key] -= 1
        if not self.by_key[flow.key]:
            del self.by_key[flow.key]


def assign_pending(flow: Flow, server: Server) -> None:
    """Count the flow among those whose attempt is out at the server."""
    flow.server = server
    server.pending_flows[flow] = None
    _join_group(flow, server)


def assign_established(flow: Flow, server: Server) -> None:
    """Count the flow among those established at the server."""
    flow.server = server
    server.established_flows[flow] = None
    _join_group(flow, server)


def unassign(flow: Flow, server: Server) -> None:
    """Count the flow at the server no longer; nothing happens if it was not counted there."""
    if flow not in server.pending_flows and flow not in server.established_flows:
        return
    server.pending_flows.pop(flow, None)
    server.established_flows.pop(flow, None)
    if not flow.grouped:
        return
    server.group_sizes[flow.key] -= 1
    if not server.group_sizes[flow.key]:
        del server.group_sizes[flow.key]


def _join_group(flow: Flow, server: Server) -> None:
    if flow.grouped:
        server.group_sizes[flow.key] += 1
