"""The metrics that the admin command `vars` returns."""

import json
from collections import Counter

from cypresswalk.decisions.balancer import Balancer
from cypresswalk.model import Flow, ServerState
from cypresswalk.net.counters import Counters
from cypresswalk.net.session import Session

ESTABLISHED = "fulfilled"
REJECTED = "throttled"
FAILED = "faulted"
RESULTS = (ESTABLISHED, REJECTED, FAILED)  # their names in the reply to `vars`


class Metrics:
    """The count of flows by result and service type, and metrics computed on request.

    Only the deciding thread uses it, so that no metric is read in the middle of a change; `counts`
    alone is also read by the fleet's thread.
    """

    def __init__(
        self,
        service_types: dict[str, int],
        balancer: Balancer,
        counters: Counters,
        sessions: dict[Flow, Session],
    ):
        """Create metrics with all counts at 0; `service_types` maps names to indexes."""
        self.counts = {result: Counter(dict.fromkeys(service_types, 0)) for result in RESULTS}
        self.balancer = balancer
        self.counters = counters
        self.sessions = sessions

    def count(self, result: str, service_type: str) -> None:
        """Count a flow's result, one of `RESULTS`."""
        self.counts[result][service_type] += 1

    def snapshot(self, now: int) -> dict[str, object]:
        """Return the counts since the start of this process and the other metrics at `now`."""
        listed = [
            server
            for server in self.balancer.servers.values()
            if server.state is not ServerState.GONE
        ]
        return self.counts | {
            "relayed": self.counters.counts["connects_written"],
            "open_requests": len(self.sessions),
            "registry_entries": len(listed),
            "out_of_rotation": sum(self.balancer.is_avoided(now, server) for server in listed),
        }

    def render(self, now: int) -> bytes:
        """Return the reply to `vars`: a JSON object, then END."""
        return json.dumps(self.snapshot(now), separators=(",", ":")).encode() + b"\r\nEND\r\n"
