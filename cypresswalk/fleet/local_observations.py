"""What this process has answered, and what it sees of servers: reported to the fleet's leader."""

from collections.abc import Callable

from cypresswalk.decisions.health import RISE
from cypresswalk.decisions.outliers import MAX_FAILURES
from cypresswalk.fleet.messages import ServerReport
from cypresswalk.model import Outcome, Server, ServerState
from cypresswalk.net.core import Core
from cypresswalk.net.parsers.endpoint_list import EndpointListDecoder
from cypresswalk.net.session import Attempt

MAX_REPORTED_SERVERS = 1000  # the first by name, the same ones at all balancers
COUNT_FIELDS = 4
ESTABLISHED, REJECTED, FAILED, SETUP_NS = range(COUNT_FIELDS)
FIELD_OF_OUTCOME = {
    Outcome.FULL: REJECTED,
    Outcome.ERROR: FAILED,
    Outcome.TIMEOUT: FAILED,
    Outcome.CONNECT_FAILED: FAILED,
    Outcome.RESET: FAILED,
}
Counts = tuple[int, int, int, int]  # established, rejected, failed, sum of set-up times in ns


class LocalObservations:
    """Counts what came of attempts, and reports it.

    The deciding thread calls `on_attempt_established` and `on_attempt_ended`, the fleet's thread
    the rest.

    Attributes:
        report_servers: servers are being changed by a release, so that counts by server are
            reported too.
    """

    def __init__(self, core: Core, registry: Callable[[], EndpointListDecoder]):
        """Counts from zero; `registry` tells servers' names."""
        self.core = core
        self.registry = registry
        self.report_servers = False
        self.setup_ns = 0
        self.latest: Counts = (0, 0, 0, 0)
        self.by_server: dict[int, list[int]] = {}  # fields as above

    def on_attempt_established(self, attempt: Attempt, took: int) -> None:
        """An attempt was established after `took` nanoseconds."""
        self.setup_ns += took
        counts = self.by_server.setdefault(attempt.server.id, [0] * COUNT_FIELDS)
        counts[ESTABLISHED] += 1
        counts[SETUP_NS] += took

    def on_attempt_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """An attempt failed, or an established connection was broken off."""
        if outcome in FIELD_OF_OUTCOME:
            counts = self.by_server.setdefault(attempt.server.id, [0] * COUNT_FIELDS)
            counts[FIELD_OF_OUTCOME[outcome]] += 1

    def served_counts(self) -> Counts:
        """What this process has answered since it began."""
        counts = self.core.metrics.counts
        try:
            established, rejected, failed = (
                sum(counts[end].values()) for end in ("fulfilled", "throttled", "faulted")
            )
            self.latest = established, rejected, failed, self.setup_ns
        except RuntimeError:
            pass  # a service type was added meanwhile: the counts before it stand
        return self.latest

    def server_report(self) -> ServerReport:
        """Which servers are bad, and flows that stand at those out of rotation.

        Collections are copied in one step each, since the deciding thread changes them.
        """
        registry = self.registry()
        bad = []
        standing = {}
        for server in list(self.core.balancer.servers.values()):
            name = registry.names.get(server.id)
            if name is None:
                continue
            if server.out_of_rotation and server.established_flows:
                standing[name] = len(server.established_flows) + len(server.pending_flows)
            # Also of one that is out by hand, so that one that comes back bad is known to be.
            if server.state is ServerState.READY and not is_healthy(server):
                bad.append(name)
        served = self.served_by_server(registry) if self.report_servers else {}
        return ServerReport(sorted(bad)[:MAX_REPORTED_SERVERS], standing, served)

    def served_by_server(self, registry: EndpointListDecoder) -> dict[str, Counts]:
        """What each server has answered, by name."""
        served = {}
        for number, counts in list(self.by_server.items())[:MAX_REPORTED_SERVERS]:
            if number in registry.names:
                established, rejected, failed, setup_ns = tuple(counts)
                served[registry.names[number]] = (established, rejected, failed, setup_ns)
        return served


def is_healthy(server: Server) -> bool:
    """Whether health checks and attempts have found a server good."""
    return (
        not server.awaiting_first_pass
        and server.consecutive_failures < MAX_FAILURES
        and (server.health >= RISE or not server.checked)
    )
