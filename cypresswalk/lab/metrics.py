"""Metrics of how well clients were served in one scenario, from its observations. No I/O.

Service is the weighted time in which clients were connected and their lines came back within the
message latency objective, divided by the weighted time that they requested from their arrival on.
Latencies are recorded in HDR histograms (the hdrhistogram package), since a mean would hide the
tail, and percentiles over several scenarios can only be computed from merged histograms.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from cypresswalk.lab.experiment import Experiment
from cypresswalk.lab.observations import Observation
from cypresswalk.lab.result import ScenarioResult
from cypresswalk.lab.units import MILLISECOND, SECOND

MAX_LATENCY_US = 60_000_000  # largest value of a histogram
SIGNIFICANT_DIGITS = 3  # precision of a histogram
WORST_WINDOW_S = 10
PERCENTILES = (50, 90, 99, 99.9, 100)
BYTES_PER_MB = 2**20


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def record(histogram: HdrHistogram, latency: float) -> None:
    """Add a latency, in nanoseconds, to a histogram."""
    histogram.record_value(min(max(int(latency / 1000), 1), MAX_LATENCY_US))


def merged(histograms: Iterable[HdrHistogram]) -> HdrHistogram:
    """Return a histogram with the values of all given ones."""
    total = new_histogram()
    for histogram in histograms:
        total.add(histogram)
    return total


def percentiles(histogram: HdrHistogram) -> dict[str, float]:
    """Return the percentiles in milliseconds, or 0.0 if nothing was recorded."""
    if not histogram.get_total_count():
        return {f"p{p:g}": 0.0 for p in PERCENTILES}
    return {f"p{p:g}": round(histogram.get_value_at_percentile(p) / 1000, 3) for p in PERCENTILES}


@dataclass(slots=True)
class EstablishedConnection:
    """A client's established connection.

    Attributes:
        since: The time at which it was established, in nanoseconds.
        until: The time at which it ended, in nanoseconds.
        echoes: For each line that came back, the time in nanoseconds and the latency in
            milliseconds.
    """

    since: int
    until: int
    echoes: list[tuple[int, float]] = field(default_factory=list)


@dataclass(slots=True)
class ObservedClient:
    """A client: its type, arrival time, end of its requested service time, and connections."""

    type: str
    arrived_at: int
    until: int
    connections: dict[str, EstablishedConnection] = field(default_factory=dict)


class ScenarioMetrics:
    """The metrics of one scenario; reports and comparisons use `summary`."""

    def __init__(self, experiment: Experiment, result: ScenarioResult):
        """Read all observations."""
        self.experiment = experiment
        self.result = result
        self.types = {flow_type.name: flow_type for flow_type in experiment.types}
        self.clients: dict[int, ObservedClient] = {}
        self.setup_latencies = {name: new_histogram() for name in self.types}
        self.message_latencies = {name: new_histogram() for name in self.types}
        self.answers: dict[str, int] = defaultdict(int)
        self.flows = 0
        self.attempts = 0
        self.migrations = 0
        self.clients_without_balancer = 0
        self.misbehaving = 0
        self.misbehaving_unanswered = 0
        # By flow: client, time and balancer of the opening line.
        self._client_of: dict[str, int] = {}
        self._sent_at: dict[str, int] = {}
        self._sent_to: dict[str, str] = {}
        # Weighted seconds, by flow type and second of the scenario.
        seconds = int(experiment.seconds) + 1
        self.requested = {name: [0.0] * seconds for name in self.types}
        self.served = {name: [0.0] * seconds for name in self.types}
        # Mean number of established connections, by second of the scenario.
        self.established = [0.0] * seconds
        for observation in sorted(result.events, key=lambda event: event.at):
            self._read(observation)
        for client in self.clients.values():
            self._count_service(client)

    def _read(self, event: Observation) -> None:
        fields = event.fields
        match event.kind:
            case "sent":
                self.flows += 1
                self._client_of[event.flow] = fields["person"]
                self._sent_at[event.flow] = event.at
                self._sent_to[event.flow] = event.subject
            case "attempt":
                # Attempts for an id that a misbehaving client repeated at another balancer don't
                # count.
                self.attempts += self._sent_to.get(event.flow) == fields["balancer"]
            case "answer":
                self._read_answer(event)
            case "ended":
                self._read_end(event)
            case _:
                self._read_client_event(event)

    def _read_client_event(self, event: Observation) -> None:
        fields = event.fields
        match event.kind:
            case "comes":
                until = min(event.at + fields["life_ms"] * MILLISECOND, self.result.ended)
                client = ObservedClient(fields["type"], event.at, until)
                self.clients[fields["person"]] = client
            case "echo":
                client = self.clients[fields["person"]]
                took_ms = fields["took_ms"]
                record(self.message_latencies[client.type], took_ms * MILLISECOND)
                client.connections[event.flow].echoes.append((event.at, took_ms))
            case "nobody" | "refused":
                self.clients_without_balancer += 1
            case "bad":
                self.misbehaving += 1
                self.misbehaving_unanswered += fields["answer"] == "neither"

    def _client_of_flow(self, flow: str) -> ObservedClient | None:
        number = self._client_of.get(flow)
        return None if number is None else self.clients.get(number)

    def _read_answer(self, event: Observation) -> None:
        kind = event.fields["kind"]
        self.answers[kind] += 1
        client = self._client_of_flow(event.flow)
        if client is not None and kind == "up":
            latency = event.at - self._sent_at[event.flow]
            record(self.setup_latencies[client.type], latency)
            client.connections[event.flow] = EstablishedConnection(event.at, self.result.ended)

    def _read_end(self, event: Observation) -> None:
        self.migrations += event.fields["how"] == "move"
        client = self._client_of_flow(event.flow)
        if client is not None and event.flow in client.connections:
            client.connections[event.flow].until = event.at

    def _count_service(self, client: ObservedClient) -> None:
        """Add the seconds of service that a client requested and got."""
        began = self.result.began
        flow_type = self.types[client.type]
        weight = flow_type.priority_weight
        requested = self.requested[client.type]
        add_span(requested, client.arrived_at - began, client.until - began, weight)
        objective_ms = flow_type.message_latency_objective_ms
        line_ms = self.experiment.clients.line_ms
        for connection in client.connections.values():
            add_span(self.established, connection.since - began, connection.until - began, 1.0)
            for since, until in served_spans(connection, client.until, objective_ms, line_ms):
                add_span(self.served[client.type], since - began, until - began, weight)

    # Results.

    def service(
        self, types: list[str] | None = None, since: int = 0, until: int | None = None
    ) -> float:
        """Return the service of the given types, or all, between two seconds of the scenario."""
        names = types or list(self.types)
        requested = sum(sum(self.requested[name][since:until]) for name in names)
        served = sum(sum(self.served[name][since:until]) for name in names)
        return served / requested if requested else 1.0

    def worst_service(self) -> float:
        """Return the lowest service of any WORST_WINDOW_S consecutive seconds."""
        seconds = len(self.established) - 1
        starts = range(max(seconds - WORST_WINDOW_S + 1, 1))
        return min(self.service(since=start, until=start + WORST_WINDOW_S) for start in starts)

    def service_by_second(self) -> list[float]:
        """Return the service in each second of the scenario."""
        seconds = range(len(self.established) - 1)
        return [self.service(since=second, until=second + 1) for second in seconds]

    def peaks(self) -> dict[str, dict[str, float]]:
        """Return the peak resource usage of each balancer."""
        peaks: dict[str, dict[str, float]] = {}
        for _, name, memory, descriptors, cpu_s in self.result.samples:
            peak = peaks.setdefault(name, {"memory_mb": 0.0, "descriptors": 0, "cpu_s": 0.0})
            peak["memory_mb"] = max(peak["memory_mb"], round(memory / BYTES_PER_MB, 2))
            peak["descriptors"] = max(peak["descriptors"], descriptors)
            peak["cpu_s"] = max(peak["cpu_s"], round(cpu_s, 2))
        return peaks

    def summary(self) -> dict:
        """Return all metrics by the keys of `summary.json` and `report.json`."""
        result = self.result
        head = {
            "experiment": result.experiment,
            "variant": result.variant,
            "seed": result.seed,
            "void": result.void,
            "broken": result.broken,
            "breaches": result.breaches,
        }
        return head | self._service_summary() | self._flow_summary() | self._cost_summary()

    def _service_summary(self) -> dict:
        setups = merged(self.setup_latencies.values())
        messages = merged(self.message_latencies.values())
        return {
            "service": self.service(),
            "worst_10_s": self.worst_service(),
            "by_type": {name: self.service([name]) for name in self.types},
            "setup_ms": percentiles(setups),
            "message_ms": percentiles(messages),
            "setup_hdr": setups.encode().decode(),
            "message_hdr": messages.encode().decode(),
        }

    def _flow_summary(self) -> dict:
        health_checks = sum(
            counters.get("probes_sent", 0) for counters in self.result.counters.values()
        )
        return {
            "clients": len(self.clients),
            "flows": self.flows,
            "answers": dict(self.answers),
            "connects_a_flow": self.attempts / max(self.flows, 1),
            "moves": self.migrations,
            "nobody": self.clients_without_balancer,
            "probes": health_checks,
            "bad": self.misbehaving,
            "bad_unanswered": self.misbehaving_unanswered,
        }

    def _cost_summary(self) -> dict:
        peaks = self.peaks()
        samples = [
            (second, name, round(memory / BYTES_PER_MB, 2), descriptors)
            for second, name, memory, descriptors, _ in self.result.samples
        ]
        return {
            "memory_mb": max((peak["memory_mb"] for peak in peaks.values()), default=0.0),
            "descriptors": max((peak["descriptors"] for peak in peaks.values()), default=0),
            "cpu_s": sum(peak["cpu_s"] for peak in peaks.values()),
            "balancers": peaks,
            "lateness_ms": self.result.lateness_ms,
            "course": [round(value, 4) for value in self.service_by_second()],
            "standing": [round(value, 2) for value in self.established[:-1]],
            "samples": samples,
        }


def add_span(seconds: list[float], since: int, until: int, weight: float) -> None:
    """Add a span of nanoseconds, weighted, to the seconds that it covers."""
    at = max(since, 0)
    while at < until:
        second = at // SECOND
        if second >= len(seconds):
            return
        end = min((second + 1) * SECOND, until)
        seconds[second] += (end - at) / SECOND * weight
        at = end


def served_spans(
    connection: EstablishedConnection, until: int, objective_ms: float, line_ms: float
) -> list[tuple[int, int]]:
    """Return the time spans in which a connection was well served.

    The time from one echo to the next counts if the latter met the objective and came no later than
    it was due. The time after the last echo counts until the next one is due, and that of a
    connection without echoes until the first one is due.
    """
    due_after = int((2 * line_ms + objective_ms) * MILLISECOND)
    spans: list[tuple[int, int]] = []
    at = connection.since
    for echoed_at, took_ms in connection.echoes:
        if took_ms <= objective_ms and echoed_at - at <= due_after:
            spans.append((at, min(echoed_at, until)))
        at = echoed_at
    spans.append((at, min(at + due_after, connection.until, until)))
    return [(begin, end) for begin, end in spans if begin < end]
