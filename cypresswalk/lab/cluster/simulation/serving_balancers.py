"""What a balancer does with servers: checks their health, sends them flows, moves flows away."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from cypresswalk.fleet.applied_view import AppliedView
from cypresswalk.fleet.events import ListReceived
from cypresswalk.fleet.messages import ServerReport
from cypresswalk.fleet.records import ListedServer
from cypresswalk.lab.cluster.simulation.errors import ViolationError
from cypresswalk.lab.cluster.simulation.hosts import BASE_FAILURE_SHARE, FlowCounter
from cypresswalk.lab.cluster.simulation.process import Process, SimulatedFleetThread
from cypresswalk.lab.cluster.simulation.server_hosts import ServerHost
from cypresswalk.lab.cluster.simulation.world import World
from cypresswalk.lab.units import MILLISECOND, SECOND
from cypresswalk.model import ServerState

HEALTH_CHECK_SHARE = 0.2  # of the looks at a server
FLOWS_PER_TURN = 2  # at each server
MAX_OPEN_FLOWS = 20  # at each server
DRAIN_TIME_S = (0.1, 2)  # bounds
SLOW_DRAIN_TIME_S = (2, 20)  # bounds
LIST_DIGEST_SIZE = 16  # bytes


@dataclass(slots=True)
class Drains:
    """How flows leave servers that are out.

    Attributes:
        slow_share: of drains at one balancer that take long, as nobody can take the flows over.
    """

    slow_share: float = 0.1


class ServingBalancer:
    """The deciding thread of one balancer.

    Attributes:
        process: its part in the fleet.
        out: servers that it sends no flow to, by its view.
        open_flows: that it has at each server.
        idle_at: virtual time when it last could not act.
    """

    def __init__(
        self, world: World, process: Process, servers: Mapping[str, ServerHost], drains: Drains
    ):
        """The deciding thread of that balancer, which sends flows to those servers."""
        self.process = process
        self.out: set[str] = set()
        self.open_flows: dict[str, int] = {}
        self.idle_at = 0
        self._world = world
        self._servers = servers
        self._drains = drains
        self._random = Random(f"{world.seed}/sender/{process.name}")
        self._is_watching = False  # reports what each server answers
        # By its own health checks; a server that is not there was not checked since its return.
        self._ready: dict[str, bool] = {}
        self._served: dict[str, FlowCounter] = {}
        self._drained_at: dict[str, int] = {}
        process.on_start = self._connect

    def _connect(self, fleet: SimulatedFleetThread) -> None:
        """The process has started: nothing is known from before."""
        self.out = set()
        self.open_flows = {}
        self._is_watching = False
        self._served = {}
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
            self._drained_at[name] = self._world.now + int(self._random.uniform(*bounds_s) * SECOND)
        for name in self.out - out:
            self._ready.pop(name, None)
        self.out = out
        self._is_watching = view.report_servers
        self.process.act_on(view)

    def _report(self) -> ServerReport:
        unhealthy = [name for name in sorted(self._servers) if not self._ready.get(name, False)]
        open_flows = {
            name: count
            for name, count in sorted(self.open_flows.items())
            if count and name in self.out
        }
        flow_counts = {name: flows.as_counts() for name, flows in sorted(self._served.items())}
        return ServerReport(unhealthy, open_flows, flow_counts if self._is_watching else {})

    def turn(self) -> None:
        """Looks at each server; raises ViolationError where it sends to one being changed."""
        if not self.process.acts:
            self.idle_at = self._world.now
        if self.process.fleet is None or self.process.is_frozen:
            return
        for name, server in self._servers.items():
            if self._random.random() < HEALTH_CHECK_SHARE:
                self._ready[name] = server.is_serving()
            if name in self.out:
                if self._world.now >= self._drained_at.get(name, 0):
                    self.open_flows[name] = 0
            elif self.process.acts and self._ready.get(name, False):
                self._send_flows(server)

    def _send_flows(self, server: ServerHost) -> None:
        name = server.name
        if server.is_being_changed:
            raise ViolationError(
                f"S: {self.process.name} sends to {name}, which is being changed "
                f"({server.agent.saved.step})"
            )
        is_up = server.is_serving()
        build = server.build_of(server.running_version())
        failure_share = build.failure_share if is_up else 1.0
        flows = self._served.setdefault(name, FlowCounter())
        for _ in range(FLOWS_PER_TURN):
            if self._random.random() < failure_share + BASE_FAILURE_SHARE:
                flows.failed += 1
            else:
                flows.add_established(build.setup_ms * MILLISECOND)
        if is_up:
            self.open_flows[name] = min(self.open_flows.get(name, 0) + 1, MAX_OPEN_FLOWS)
        else:
            self.open_flows[name] = 0
            self._ready[name] = False
