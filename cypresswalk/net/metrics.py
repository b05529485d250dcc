"""What `vars` tells operators. Built by the deciding thread alone, so that no figure is from the middle of a change."""

import json
from collections import Counter

from cypresswalk.model import ServerState

ENDS = ("fulfilled", "throttled", "faulted")  # brought up, refused, failed


class Metrics:
    """Counts one end for each connection taken, by the service type's name."""

    def __init__(self, service_types: dict[str, int]):
        self.counts = {end: Counter(dict.fromkeys(service_types, 0)) for end in ENDS}

    def ended(self, how: str, service_type: str) -> None:
        self.counts[how][service_type] += 1

    def told(self, now: int, core: object) -> dict[str, object]:
        """Counts since this process began, and how things stand at `now`."""
        balancer = core.balancer
        listed = [
            server for server in balancer.servers.values() if server.state is not ServerState.GONE
        ]
        return self.counts | {
            "relayed": core.counters.counts["connects_written"],
            "open_requests": len(core.sessions),
            "registry_entries": len(listed),
            "out_of_rotation": sum(balancer.is_avoided(now, server) for server in listed),
        }

    def text(self, now: int, core: object) -> bytes:
        return json.dumps(self.told(now, core), separators=(",", ":")).encode() + b"\r\nEND\r\n"
