"""What a server is asked from this balancer, counted in connections."""

from cypresswalk.model import Flow, Server

GROUP_WORK = 2  # connections: a group's own work; reported nowhere, as much as a few of them


def occupancy(server: Server) -> float:
    """Return what the server is asked from here, pending attempts included.

    A group asks its own work wherever any of it stands; without that, passing over would scatter
    groups everywhere.
    """
    return (
        len(server.pending_flows)
        + len(server.established_flows)
        + GROUP_WORK * len(server.group_sizes)
    )


def occupancy_with(server: Server, flow: Flow) -> float:
    """Return what the server would be asked from here with that flow as well."""
    groups = len(server.group_sizes) + (flow.grouped and flow.key not in server.group_sizes)
    return len(server.pending_flows) + len(server.established_flows) + 1 + GROUP_WORK * groups
