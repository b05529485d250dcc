"""Flow counts of this process and observations of servers, for reports to the fleet's leader."""

from collections.abc import Callable

from cypresswalk.decisions.health import RISE
from cypresswalk.decisions.outliers import MAX_FAILURES
from cypresswalk.fleet.messages import ServerReport
from cypresswalk.model import Outcome, Server, ServerState
from cypresswalk.net.core import Core
from cypresswalk.net.parsers.endpoint_list import EndpointListDecoder
from cypresswalk.net.session import Attempt

MAX_REPORTED_SERVERS = 1000  # the first by name, so that all balancers report the same ones
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
    """Counts of the outcomes of attempts, and reports on servers.

    The deciding thread calls `on_attempt_established` and `on_attempt_ended`, the fleet thread the
    other methods.

    Attributes:
        report_servers: whether counts by server are reported too, as they are during a release of
            servers.
    """

    def __init__(self, core: Core, registry: Callable[[], EndpointListDecoder]):
        """Begin with counts of zero; `registry` returns the decoder that knows servers' names."""
        self.core = core
        self.registry = registry
        self.report_servers = False
        self.setup_ns = 0
        self.latest_counts: Counts = (0, 0, 0, 0)
        self.by_server: dict[int, list[int]] = {}  # by server number; fields as in Counts

    def on_attempt_established(self, attempt: Attempt, took: int) -> None:
        """Count an attempt that was established after `took` nanoseconds."""
        self.setup_ns += took
        counts = self.by_server.setdefault(attempt.server.id, [0] * COUNT_FIELDS)
        counts[ESTABLISHED] += 1
        counts[SETUP_NS] += took

    def on_attempt_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """Count an attempt or established connection that ended in a reject or a failure."""
        if outcome in FIELD_OF_OUTCOME:
            counts = self.by_server.setdefault(attempt.server.id, [0] * COUNT_FIELDS)
            counts[FIELD_OF_OUTCOME[outcome]] += 1

    def served_counts(self) -> Counts:
        """Return the flow counts of this process since its start."""
        counts = self.core.metrics.counts
        try:
            established, rejected, failed = (
                sum(counts[end].values()) for end in ("fulfilled", "throttled", "faulted")
            )
            self.latest_counts = established, rejected, failed, self.setup_ns
        except RuntimeError:
            pass  # a service type was added during the iteration: return the previous counts
        return self.latest_counts

    def server_report(self) -> ServerReport:
        """Return the unhealthy servers, and the flows left at servers out of rotation.

        Each collection is copied in one step, since the deciding thread modifies it concurrently.
        """
        registry = self.registry()
        unhealthy = []
        remaining_flows = {}
        for server in list(self.core.balancer.servers.values()):
            name = registry.names.get(server.id)
            if name is None:
                continue
            if server.out_of_rotation and server.established_flows:
                remaining_flows[name] = len(server.established_flows) + len(server.pending_flows)
            # Include servers taken out by an operator, so that one that returns unhealthy is known.
            if server.state is ServerState.READY and not is_healthy(server):
                unhealthy.append(name)
        served = self.served_by_server(registry) if self.report_servers else {}
        return ServerReport(sorted(unhealthy)[:MAX_REPORTED_SERVERS], remaining_flows, served)

    def served_by_server(self, registry: EndpointListDecoder) -> dict[str, Counts]:
        """Return the flow counts of each server, by name."""
        served = {}
        for number, counts in list(self.by_server.items())[:MAX_REPORTED_SERVERS]:
            if number in registry.names:
                established, rejected, failed, setup_ns = tuple(counts)
                served[registry.names[number]] = (established, rejected, failed, setup_ns)
        return served


def is_healthy(server: Server) -> bool:
    """Return whether health checks and attempts show that a server is healthy."""
    return (
        not server.awaiting_first_pass
        and server.consecutive_failures < MAX_FAILURES
        and (server.health >= RISE or not server.checked)
    )
