"""Simulated clients: their arrivals, properties and reactions. No I/O, no clock.

All random numbers come from the seed. A client's properties and arrival time depend only on the
seed and the client's number, so that all variants get the same clients, however they are served.
"""

from bisect import bisect
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import accumulate
from random import Random

from cypresswalk.lab.experiment import Clients, Experiment, ServiceType
from cypresswalk.lab.units import MILLISECOND, SECOND

MISBEHAVIOURS = (
    "silent",
    "garbage",
    "half a line",
    "flood",
    "unknown type",
    "endless line",
    "twice",
)


@dataclass(slots=True)
class Client:
    """One client, from its arrival until it was served for its lifetime or gave up.

    Attributes:
        number: The client's number, from 0 on.
        arrives_at: The arrival time, in nanoseconds since the scenario's start.
        type: The type of the client's flows.
        tenant: The tenant that the client belongs to.
        group: The group of the client's connections; empty for none.
        zone: The zone in which the client arrives.
        lifetime: The total time that the client wants to be served, over all its connections, in
            nanoseconds.
        load: The load of each of its connections.
        leaves_after: The time after its opening line at which it leaves, in nanoseconds; 0 if it
            stays.
        ignores_retry_after: Whether it ignores the wait of a Retry-After.
        random: The source of its random numbers.
        rejections: The number of consecutive rejections.
        connections: The number of connections begun so far.
    """

    number: int
    arrives_at: int
    type: ServiceType
    tenant: str
    group: str
    zone: str
    lifetime: int
    load: float
    leaves_after: int
    ignores_retry_after: bool
    random: Random = field(repr=False)
    rejections: int = 0
    connections: int = 0

    def next_id(self) -> str:
        """Count a new connection and return the id of its flow."""
        self.connections += 1
        return f"p{self.number}.{self.connections}"

    def delay_after_rejection(self, behaviour: Clients, retry_after: int | None) -> int | None:
        """Return the nanoseconds until it retries, or None if it gives up.

        A client that does not ignore Retry-After (`retry_after`, in nanoseconds) waits for that
        time rather than for its own one.
        """
        self.rejections += 1
        if behaviour.after_rejection == "none" or self.rejections > behaviour.retries:
            return None
        if retry_after is not None and not self.ignores_retry_after:
            return retry_after
        if behaviour.after_rejection == "at once":
            return 0
        return draw_ms(self.random, behaviour.wait_ms)

    def delay_after_disconnect(self, behaviour: Clients) -> int | None:
        """Return the nanoseconds until it reconnects after a break or MOVE; None if it does not."""
        self.rejections = 0
        return draw_ms(self.random, behaviour.reconnect_ms) if behaviour.reconnect else None


def draw_ms(random: Random, milliseconds: tuple[float, float]) -> int:
    """Draw a time from a range of milliseconds; return it in nanoseconds."""
    return int(random.uniform(*milliseconds) * MILLISECOND)


class ClientPopulation:
    """All clients of a scenario, drawn from its seed."""

    def __init__(self, experiment: Experiment, seed: int):
        """Prepare the distributions; nothing is drawn yet."""
        self.experiment = experiment
        self.seed = seed
        self.types = experiment.types
        self.cumulative_type_shares = list(accumulate(flow_type.share for flow_type in self.types))
        self.tenants = experiment.tenants
        self.cumulative_tenant_shares = list(accumulate(tenant.share for tenant in self.tenants))

    def client(self, number: int, arrives_at: int) -> Client:
        """Draw the client with this number; the order of draws determines a seed's clients."""
        random = Random(f"{self.seed}/person/{number}")
        behaviour = self.experiment.clients
        flow_type = self.types[
            bisect(self.cumulative_type_shares, random.random() * self.cumulative_type_shares[-1])
        ]
        tenant_index = bisect(
            self.cumulative_tenant_shares, random.random() * self.cumulative_tenant_shares[-1]
        )
        tenant = self.tenants[tenant_index].name
        group = f"{tenant}-{random.randrange(behaviour.groups)}" if behaviour.groups else ""
        zone = random.choice([balancers.zone for balancers in self.experiment.balancer_groups()])
        lifetime = int(random.uniform(*flow_type.lifetime_s) * SECOND)
        load = random.uniform(*flow_type.load)
        leaves_after = 0
        if random.random() < behaviour.leave:
            objective_ms = flow_type.setup_latency_objective_ms
            leaves_after = int(random.random() * objective_ms * MILLISECOND) + 1
        return Client(
            number,
            arrives_at,
            flow_type,
            tenant,
            group,
            zone,
            lifetime,
            load,
            leaves_after,
            random.random() < behaviour.ignore_retry_after,
            random,
        )

    def arrivals(self) -> Iterator[int]:
        """Yield the clients' arrival times, in nanoseconds since the scenario's start.

        A Poisson process whose rate follows the load's course, by thinning (Lewis and Shedler,
        "Simulation of nonhomogeneous Poisson processes by thinning", 1979).
        """
        random = Random(f"{self.seed}/arrivals")
        load = self.experiment.load
        max_rate = max(rate for _, rate in load.course)
        second = 0.0
        while max_rate:
            second += random.expovariate(max_rate)
            if second >= self.experiment.seconds:
                return
            if random.random() * max_rate < load.rate(second):
                yield int(second * SECOND)

    def all(self) -> list[Client]:
        """Return all clients in order of arrival, including those of bursts."""
        arrival_times = list(self.arrivals())
        for fault in self.experiment.faults:
            if fault.kind == "burst":
                arrival_times += [int(fault.at_s * SECOND)] * int(fault.amount)
        # Bursts get the last numbers, so that adding a burst changes no other client.
        clients = [self.client(number, at) for number, at in enumerate(arrival_times)]
        return sorted(clients, key=lambda client: (client.arrives_at, client.number))

    def misbehaving(self) -> list[tuple[int, str, str]]:
        """Return the misbehaving clients: arrival time in nanoseconds, misbehaviour, zone."""
        random = Random(f"{self.seed}/bad")
        rate = self.experiment.clients.bad_per_s
        zones = [balancers.zone for balancers in self.experiment.balancer_groups()]
        found: list[tuple[int, str, str]] = []
        second = 0.0
        while rate and (second := second + random.expovariate(rate)) < self.experiment.seconds:
            misbehaviour = random.choice(MISBEHAVIOURS)
            found.append((int(second * SECOND), misbehaviour, random.choice(zones)))
        return found
