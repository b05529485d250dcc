"""The flows that this balancer holds, and how many there are of each tenant and key."""

from collections import Counter

from cypresswalk.model import Flow, Server


class FlowTable:
    """All flows from their arrival to their end."""

    def __init__(self) -> None:
        """Start empty."""
        self.by_id: dict[int, Flow] = {}
        self.by_tenant: Counter[int] = Counter()
        self.by_key: Counter[int] = Counter()

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self.by_id)

    def __contains__(self, flow: Flow) -> bool:
        """Return whether the flow is in the table."""
        return flow.id in self.by_id

    def add(self, flow: Flow) -> None:
        """Add a flow."""
        self.by_id[flow.id] = flow
        self.by_key[flow.key] += 1
        self.by_tenant[flow.tenant] += 1

    def remove(self, flow: Flow) -> None:
        """Remove a flow; do nothing if it is not in the table."""
        if self.by_id.pop(flow.id, None) is None:
            return
        self.by_tenant[flow.tenant] -= 1
        self.by_key[flow.key] -= 1
        if not self.by_key[flow.key]:
            del self.by_key[flow.key]


def assign_pending(flow: Flow, server: Server) -> None:
    """Add the flow to those with an attempt in progress at the server."""
    flow.server = server
    server.pending_flows[flow] = None
    _join_group(flow, server)


def assign_established(flow: Flow, server: Server) -> None:
    """Add the flow to those established at the server."""
    flow.server = server
    server.established_flows[flow] = None
    _join_group(flow, server)


def unassign(flow: Flow, server: Server) -> None:
    """Remove the flow from the server; do nothing if it is not there."""
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
