"""The state that all drivers share: clock, observations, models and running tasks."""

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
# The slack that the rules allow beyond each limit. If the lab itself is later than that, a late
# event can't be attributed to the balancer.
LATENESS_TOLERANCE = 50 * MILLISECOND


class ScenarioTestBed:
    """The testbed of one scenario.

    Attributes:
        observations: The observations of all drivers.
        servers: The server models by name.
        server_addresses: The address in the balancer's endpoint list, by server and balancer.
        balancer_addresses: The address at which clients reach each balancer.
        edges: The edge load balancers by zone.
        failures: Failures of the lab itself; any of them makes the scenario void.
        lateness: The lateness of the event loop at each check, in nanoseconds.
        began: The time from which clients may arrive, in nanoseconds; 0 until it is set.
    """

    def __init__(self, experiment: Experiment, seed: int):
        """Build the models; nothing runs yet."""
        self.experiment = experiment
        self.seed = seed
        # Start times in the list are wall time, read once here and advanced by the monotonic clock.
        self.wall_offset = time.time_ns() - time.monotonic_ns()
        self.observations: list[Observation] = []
        self.servers = build_servers(experiment, seed)
        self.endpoint_list = initial_list(list(self.servers.values()))
        self.balancers = experiment.balancer_names()
        groups = experiment.balancer_groups()
        self.balancer_zone = {
            name: group.zone for name, group in zip(self.balancers, groups, strict=True)
        }
        self.population = ClientPopulation(experiment, seed)
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
        """Return the time of the lab's clock in nanoseconds."""
        return time.monotonic_ns() + self.wall_offset

    def observe(
        self, kind: str, flow: str = "", subject: str = "", /, **fields: object
    ) -> Observation:
        """Record an observation with the current time; see `lab.observations` for the arguments."""
        observation = Observation(self.now(), kind, flow, subject, fields)
        self.observations.append(observation)
        return observation

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Run a task until the scenario's end; an exception in it is a failure of the lab."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.failures.append(f"{type(task.exception()).__name__}: {task.exception()}")

    async def sleep_until(self, at: int) -> None:
        """Sleep until a time of the lab's clock; return at once if it has passed."""
        wait = at - self.now()
        if wait > 0:
            await asyncio.sleep(wait / SECOND)

    async def watch_lateness(self) -> None:
        """Measure the lateness of the event loop, until cancelled."""
        while True:
            due = self.now() + LATENESS_CHECK_INTERVAL
            await self.sleep_until(due)
            lateness = max(self.now() - due, 0)
            self.lateness.append(lateness)
            if lateness > LATENESS_TOLERANCE:
                self.observe("lab_late", since=due)

    async def with_fault_proxy(self, address: Address, plan: Plan, side: str) -> Address:
        """Start a proxy that injects a plan's faults in front of an address; return its address.

        If the plan has no fault, start no proxy and return the address itself.
        """
        if plan == Plan():
            return address

        def on_fault(fault: Fault, ports: list[int]) -> None:
            """Record a fault and the ports of the connection that it hit."""
            self.observe("fault", "", side, ports=list(ports), kind=fault.kind.value)

        seed = self.seed + len(self.proxies)
        proxy = Proxy((LOOPBACK, 0), address, plan, seed, self.now, on_fault)
        await proxy.start()
        self.proxies.append(proxy)
        return proxy.address

    def one_way_delay(self, balancer: str, server: SimulatedServer) -> int:
        """Return the one-way delay between a balancer and a server, in nanoseconds."""
        same_zone = self.balancer_zone[balancer] == server.group.zone
        network = self.experiment.network
        return int((network.within_ms if same_zone else network.across_ms) * MILLISECOND)

    def encode_endpoint(self, endpoint: Endpoint, balancer: str) -> dict:
        """Return an entry in the platform's format, with the server's address for a balancer."""
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
