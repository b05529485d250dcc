"""Simulated traffic of a balancer: health checks of servers, new flows, and drains."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from cypresswalk.fleet.applied_view import AppliedView
from cypresswalk.fleet.events import ListReceived
from cypresswalk.fleet.messages import ServerReport
from cypresswalk.fleet.records import ListedServer
from cypresswalk.lab.cluster.simulation.errors import ViolationError
from cypresswalk.lab.cluster.simulation.fleet_simulation import FleetSimulation
from cypresswalk.lab.cluster.simulation.hosts import BASE_FAILURE_SHARE, FlowCounter
from cypresswalk.lab.cluster.simulation.process import Process, SimulatedFleetThread
from cypresswalk.lab.cluster.simulation.server_hosts import ServerHost
from cypresswalk.lab.units import MILLISECOND, SECOND
from cypresswalk.model import ServerState

HEALTH_CHECK_SHARE = 0.2  # probability that a balancer checks a server in a step
FLOWS_PER_STEP = 2  # new flows at each server in each step
MAX_OPEN_FLOWS = 20  # at each server, of one balancer
DRAIN_TIME_S = (0.1, 2)  # bounds of a drain's duration
SLOW_DRAIN_TIME_S = (2, 20)  # bounds of a slow drain's duration
LIST_DIGEST_SIZE = 16  # bytes


@dataclass(slots=True)
class Drains:
    """The speed at which open flows leave servers that are out of rotation.

    Attributes:
        slow_share: share of slow drains, in which no other server can take over the flows.
    """

    slow_share: float = 0.1


class ServingBalancer:
    """The part of a balancer that checks servers and sends them flows.

    Attributes:
        process: the balancer's process.
        out: servers out of rotation in its view of the agreed state; it sends them no flows.
        open_flows: number of its open flows, by server.
        last_inactive_at: virtual time of the last step in which it could not act.
    """

    def __init__(
        self,
        simulation: FleetSimulation,
        process: Process,
        servers: Mapping[str, ServerHost],
        drains: Drains,
    ):
        """Attach to the balancer's process, and send flows to the given servers."""
        self.process = process
        self.out: set[str] = set()
        self.open_flows: dict[str, int] = {}
        self.last_inactive_at = 0
        self._simulation = simulation
        self._servers = servers
        self._drains = drains
        self._random = Random(f"{simulation.seed}/sender/{process.name}")
        self._reports_flow_counts = False
        # By its own health checks; a server without an entry was not checked since its return.
        self._ready: dict[str, bool] = {}
        self._flow_counters: dict[str, FlowCounter] = {}
        self._drained_at: dict[str, int] = {}
        process.on_start = self._connect

    def _connect(self, fleet: SimulatedFleetThread) -> None:
        """Reset all state for a new start of the process."""
        self.out = set()
        self.open_flows = {}
        self._reports_flow_counts = False
        self._flow_counters = {}
        self._ready = dict.fromkeys(self._servers, True)
        fleet.on_view = self._on_view
        fleet.server_report_provider = self._report
        fleet.readiness_provider = fleet.may_act
        servers: list[ListedServer] = [
            (name, i % 2, 1, ServerState.READY.value, 1.0, 0)
            for i, name in enumerate(sorted(self._servers))
        ]
        digest = hashlib.blake2b(repr(servers).encode(), digest_size=LIST_DIGEST_SIZE).digest()
        fleet.queue.put(ListReceived(1, digest, servers))

    def _on_view(self, view: AppliedView) -> None:
        out = set(view.servers_out)
        for name in out - self.out:
            is_slow = self._random.random() < self._drains.slow_share
            bounds_s = SLOW_DRAIN_TIME_S if is_slow else DRAIN_TIME_S
            self._drained_at[name] = self._simulation.now + int(
                self._random.uniform(*bounds_s) * SECOND
            )
        for name in self.out - out:
            self._ready.pop(name, None)
        self.out = out
        self._reports_flow_counts = view.report_servers
        self.process.apply_view(view)

    def _report(self) -> ServerReport:
        unhealthy = [name for name in sorted(self._servers) if not self._ready.get(name, False)]
        open_flows = {
            name: count
            for name, count in sorted(self.open_flows.items())
            if count and name in self.out
        }
        flow_counts = {
            name: flows.as_counts() for name, flows in sorted(self._flow_counters.items())
        }
        return ServerReport(unhealthy, open_flows, flow_counts if self._reports_flow_counts else {})

    def step(self) -> None:
        """Check servers and send flows; raise ViolationError for a flow to one being changed."""
        if not self.process.may_act:
            self.last_inactive_at = self._simulation.now
        if self.process.fleet is None or self.process.is_frozen:
            return
        for name, server in self._servers.items():
            if self._random.random() < HEALTH_CHECK_SHARE:
                self._ready[name] = server.is_serving()
            if name in self.out:
                if self._simulation.now >= self._drained_at.get(name, 0):
                    self.open_flows[name] = 0
            elif self.process.may_act and self._ready.get(name, False):
                self._send_flows(server)

    def _send_flows(self, server: ServerHost) -> None:
        name = server.name
        if server.is_being_changed:
            raise ViolationError(
                f"S: {self.process.name} sends flows to {name}, which is being changed "
                f"({server.agent.saved.step})"
            )
        is_up = server.is_serving()
        build = server.build_of(server.running_version())
        failure_share = build.failure_share if is_up else 1.0
        flows = self._flow_counters.setdefault(name, FlowCounter())
        for _ in range(FLOWS_PER_STEP):
            if self._random.random() < failure_share + BASE_FAILURE_SHARE:
                flows.failed += 1
            else:
                flows.add_established(build.setup_ms * MILLISECOND)
        if is_up:
            self.open_flows[name] = min(self.open_flows.get(name, 0) + 1, MAX_OPEN_FLOWS)
        else:
            self.open_flows[name] = 0
            self._ready[name] = False
