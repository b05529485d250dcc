"""What all drivers share: the clock, the observations, the models and the running tasks."""

import asyncio
import time
from collections.abc import Coroutine
from itertools import count

from cypresswalk.faults.kinds import Fault
from cypresswalk.faults.plan import Plan
from cypresswalk.faults.proxy import Proxy
from cypresswalk.lab.clients import ClientPopulation
from cypresswalk.lab.edge import EdgeLoadBalancer
from cypresswalk.lab.endpoint_list import Endpoint, initial_list
from cypresswalk.lab.experiment import Experiment
from cypresswalk.lab.observations import Observation
from cypresswalk.lab.servers import SimulatedServer, build_servers
from cypresswalk.lab.testbed.streams import LOOPBACK
from cypresswalk.lab.units import MILLISECOND, SECOND

Address = tuple[str, int]
LATENESS_CHECK_INTERVAL = 20 * MILLISECOND


class Bed:
    """The test bed of one scenario.

    Attributes:
        observations: What all drivers observed.
        servers: The models by name.
        server_addresses: By server and balancer: the address in the balancer's endpoint list.
        balancer_addresses: Where clients reach each balancer.
        edges: By zone.
        failures: Of the lab itself; a scenario with one says nothing.
        lateness: How late the event loop was at each check, in nanoseconds.
        began: When the first clients may come; 0 before that.
    """

    def __init__(self, experiment: Experiment, seed: int):
        """Build the models; nothing runs yet."""
        self.experiment = experiment
        self.seed = seed
        # Start times in the list are wall time: that of the start, moved by the monotonic clock.
        self.wall_offset = time.time_ns() - time.monotonic_ns()
        self.observations: list[Observation] = []
        self.servers = build_servers(experiment, seed)
        self.listing = initial_list(list(self.servers.values()))
        self.balancers = experiment.balancer_names()
        groups = experiment.balancer_groups()
        self.balancer_zone = {
            name: group.zone for name, group in zip(self.balancers, groups, strict=True)
        }
        self.clients = ClientPopulation(experiment, seed)
        self.edges = {
            zone: EdgeLoadBalancer(
                zone, [name for name in self.balancers if self.balancer_zone[name] == zone]
            )
            for zone in dict.fromkeys(self.balancer_zone.values())
        }
        self.server_addresses: dict[str, dict[str, Address]] = {name: {} for name in self.servers}
        self.balancer_addresses: dict[str, Address] = {}
        self.connection_numbers = count(1)
        self.tasks: set[asyncio.Task] = set()
        self.failures: list[str] = []
        self.lateness: list[int] = []
        self.began = 0
        self.proxies: list[Proxy] = []

    def now(self) -> int:
        """Return nanoseconds of the lab's clock."""
        return time.monotonic_ns() + self.wall_offset

    def observe(
        self, kind: str, flow: str = "", subject: str = "", /, **fields: object
    ) -> Observation:
        """Record an observation of this moment; see `lab.observations` for the arguments."""
        observation = Observation(self.now(), kind, flow, subject, fields)
        self.observations.append(observation)
        return observation

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Run a task until the scenario's end; an exception of it is a failure of the lab."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.failures.append(f"{type(task.exception()).__name__}: {task.exception()}")

    async def sleep_until(self, at: int) -> None:
        """Sleep until a time of the lab's clock; return at once if it is past."""
        wait = at - self.now()
        if wait > 0:
            await asyncio.sleep(wait / SECOND)

    async def watch_lateness(self) -> None:
        """Measure for ever how late the event loop is."""
        while True:
            due = self.now() + LATENESS_CHECK_INTERVAL
            await self.sleep_until(due)
            self.lateness.append(max(self.now() - due, 0))

    async def with_faults(self, address: Address, plan: Plan, side: str) -> Address:
        """Start a proxy that injects a plan's faults before an address; return the proxy's address.

        Where the plan has no fault there is no proxy, and the address itself is returned.
        """
        if plan == Plan():
            return address

        def on_fault(fault: Fault, ports: list[int]) -> None:
            """Notes a fault and the ports of the connection that it strikes."""
            self.observe("fault", "", side, ports=list(ports), kind=fault.kind.value)

        seed = self.seed + len(self.proxies)
        proxy = Proxy((LOOPBACK, 0), address, plan, seed, self.now, on_fault)
        await proxy.start()
        self.proxies.append(proxy)
        return proxy.address

    def one_way_delay(self, balancer: str, server: SimulatedServer) -> int:
        """Return nanoseconds of one way between a balancer and a server."""
        same_zone = self.balancer_zone[balancer] == server.group.zone
        network = self.experiment.network
        return int((network.within_ms if same_zone else network.across_ms) * MILLISECOND)

    def encode_endpoint(self, endpoint: Endpoint, balancer: str) -> dict:
        """Return an entry in the platform's form, with the server's address for a balancer."""
        group = self.servers[endpoint.server].group
        return {
            "instanceId": endpoint.server,
            "hostPort": "{}:{}".format(*self.server_addresses[endpoint.server][balancer]),
            "zone": group.zone,
            "machineType": group.name,
            "cell": group.cell,
            "lifecycle": endpoint.state.value,
            "weight": group.weight,
            "startedAtMs": endpoint.started_ms,
        }
