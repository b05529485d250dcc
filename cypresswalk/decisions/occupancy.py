"""Occupancy: the work that this balancer's flows cause on a server, counted in connections."""

from cypresswalk.model import Flow, Server

GROUP_WORK = 2  # connections; a group's own work equals a few connections and is not reported


def occupancy(server: Server) -> float:
    """Return the server's occupancy by this balancer, including pending attempts.

    A group adds its own work on every server that has any of its flows. If that didn't count,
    skipping servers for balance would scatter groups over all servers.
    """
    return (
        len(server.pending_flows)
        + len(server.established_flows)
        + GROUP_WORK * len(server.group_sizes)
    )


def occupancy_with(server: Server, flow: Flow) -> float:
    """Return what the server's occupancy would be with the flow added."""
    groups = len(server.group_sizes) + (flow.grouped and flow.key not in server.group_sizes)
    return len(server.pending_flows) + len(server.established_flows) + 1 + GROUP_WORK * groups
