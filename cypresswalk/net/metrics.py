"""The figures of the admin command `vars`."""

import json
from collections import Counter

from cypresswalk.decisions.balancer import Balancer
from cypresswalk.model import Flow, ServerState
from cypresswalk.net.counters import Counters
from cypresswalk.net.session import Session

ESTABLISHED = "fulfilled"
REJECTED = "throttled"
FAILED = "faulted"
RESULTS = (ESTABLISHED, REJECTED, FAILED)  # as `vars` names them


class Metrics:
    """Counts one result for each flow by its service type, and reads the rest when it is asked.

    Used by the deciding thread alone, so that no figure is from the middle of a change; only
    `counts` is read by the fleet's thread too.
    """

    def __init__(
        self,
        service_types: dict[str, int],
        balancer: Balancer,
        counters: Counters,
        sessions: dict[Flow, Session],
    ):
        """`service_types` by name; each is counted from 0 on."""
        self.counts = {result: Counter(dict.fromkeys(service_types, 0)) for result in RESULTS}
        self.balancer = balancer
        self.counters = counters
        self.sessions = sessions

    def count(self, result: str, service_type: str) -> None:
        """Counts a flow's result, one of `RESULTS`."""
        self.counts[result][service_type] += 1

    def snapshot(self, now: int) -> dict[str, object]:
        """Counts since this process began, and how things stand at `now`."""
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
        """The reply to `vars`: one JSON object, then END."""
        return json.dumps(self.snapshot(now), separators=(",", ":")).encode() + b"\r\nEND\r\n"
