"""A seeded model of a fleet of balancers that share no state, over the decisions alone.

The model checks that the attempts that reach a warming server stay within its slow-start budget in
every window.
"""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from helpers import START, SimulatedHost, present
from rule_assertions import assert_within_slow_start_budget, slow_start_limit

from cypresswalk.decisions.balancer import Balancer
from cypresswalk.model import SECOND, EndpointUpdate, Flow, Outcome, Server, ServerState

MILLISECOND = SECOND // 1000
TICK = 20 * MILLISECOND  # time step of the model, and the latency of a message
MEAN_LIFETIME = 20 * SECOND  # of a flow
SLOW_START_WINDOW = 2 * SECOND
OVERLOAD_FACTOR = 3.0
WARM_UP_TIME = 20 * SECOND
INITIAL_FRACTION = 0.2
CAPACITY = 40  # flows that a server can hold
MAX_RETURNS = 8  # times that a rejected client reconnects
HOT_KEY = 777


@dataclass(frozen=True, slots=True)
class Client:
    """A client that connects or reconnects."""

    key: int | None = None  # key of its flow; None: drawn on arrival
    returns: int = 0  # number of times that it was rejected


class ModelServer:
    """A server with its real capacity, which balancers don't know."""

    def __init__(self, ident: int, capacity: int, started_at: int = 0):
        """Create an empty server; one that started at 0 has warmed up."""
        self.ident = ident
        self.capacity = capacity
        self.started_at = started_at
        self.held = 0
        self.attempts: deque[int] = deque()  # times, of the last window

    def warm_fraction(self, now: int) -> float:
        """Return the fraction of its capacity that the server has now."""
        if not self.started_at:
            return 1.0
        age = min(now - self.started_at, WARM_UP_TIME)
        return INITIAL_FRACTION + (1 - INITIAL_FRACTION) * age / WARM_UP_TIME

    def is_full(self, now: int) -> bool:
        """Return whether the server can hold no more flows."""
        return self.held >= self.capacity * self.warm_fraction(now)

    def budget(self, now: int) -> float:
        """Return the attempts that the server may get in a window.

        The budget is based on the number of flows that end per window when the server is full.
        """
        flows_per_window = self.capacity / (MEAN_LIFETIME / SLOW_START_WINDOW)
        return OVERLOAD_FACTOR * self.warm_fraction(now) * flows_per_window

    def on_attempt(self, now: int) -> None:
        """Count an attempt and assert that it is within the budget."""
        self.attempts.append(now)
        while self.attempts[0] <= now - SLOW_START_WINDOW:
            self.attempts.popleft()
        limit = slow_start_limit(self.budget(now))
        assert_within_slow_start_budget(len(self.attempts), limit)


class ModelBalancer(SimulatedHost):
    """One balancer of the fleet."""

    def __init__(self, fleet_size: int, seed: int, now: int, servers: list[Server]):
        """Create a balancer that has just started and knows the servers of its list."""
        self.migrated: list[tuple[Flow, int]] = []  # flows and the ids of their servers
        super().__init__(
            0,
            instances=fleet_size,
            overload_factor=OVERLOAD_FACTOR,
            slow_start_window=SLOW_START_WINDOW,
            warm_up_time=WARM_UP_TIME,
            warm_up_initial_fraction=INITIAL_FRACTION,
            health_check_price=0.004,
        )
        self.now = now
        self.balancer = Balancer(self.balancer.settings, seed, now)
        self.clients: dict[int, Client] = {}  # clients of unanswered flows, by flow id
        self.sent: set[tuple[int, int]] = (
            set()
        )  # attempts delivered so far: flow id and attempt number
        self.update_endpoints(EndpointUpdate.CACHED, servers)

    def end(self, flow: Flow, outcome: Outcome) -> None:
        """End a flow; record migrated ones, because their clients return."""
        if outcome is Outcome.CANCELLED:
            self.migrated.append((flow, present(flow.server).id))
        super().end(flow, outcome)

    def take_new_attempts(self) -> list[Flow]:
        """Return the flows whose latest attempt is new since the last call."""
        flows = []
        for flow in list(self.open.values()):
            is_pending = flow.server is not None and self.history[flow.id][-1].outcome is None
            attempt = (flow.id, len(flow.attempts))
            if is_pending and attempt not in self.sent:
                self.sent.add(attempt)
                flows.append(flow)
        return flows

    def take_rejected_clients(self) -> list[Client]:
        """Return the clients that were rejected since the last call."""
        rejected = []
        for flow_id, answer in list(self.answers.items()):
            client = self.clients.pop(flow_id, None)
            if client is not None and answer == "reject":
                rejected.append(client)
        return rejected


class Fleet:
    """Balancers, servers and clients in simulated time."""

    def __init__(
        self,
        seed: object,
        balancers: int = 30,
        servers: int = 12,
        rate: float = 14.0,
        hot_fraction: float = 0.0,
        hot_key: int = HOT_KEY,
        keeps_keys: bool = False,
    ):
        """Create a fleet that has just started.

        Args:
            seed: the seed of all random draws.
            balancers: the number of balancers; their traffic differs by up to a factor of three.
            servers: the number of servers, all warm.
            rate: new clients per second.
            hot_fraction: the fraction of flows that belong to one group.
            hot_key: the key of that group.
            keeps_keys: whether returning clients keep their keys.
        """
        self.rng = random.Random(f"ramp {seed}")
        self.now = START
        self.size = balancers
        self.hot_fraction = hot_fraction
        self.hot_key = hot_key
        self.keeps_keys = keeps_keys
        self.servers = {7 + 13 * i: ModelServer(7 + 13 * i, CAPACITY) for i in range(servers)}
        weights = [self.rng.uniform(1, 3.0) for _ in range(balancers)]
        self.rates = [rate * weight / sum(weights) for weight in weights]
        self.events: list[tuple[int, float, Callable[..., None], tuple]] = []
        self.last_flow_id = 0
        self.attempts_at_warming_servers = 0
        self.balancers: list[ModelBalancer] = []
        for number in range(balancers):
            self.start_balancer(number)

    # Time.

    def schedule(self, at: int, event: Callable[..., None], *args: object) -> None:
        """Schedule an event; events at the same time run in random order."""
        self.events.append((at, self.rng.random(), event, args))

    def delay(self, shortest_ms: int, longest_ms: int) -> int:
        """Return a random time between two delays in milliseconds from now."""
        return self.now + self.rng.randrange(shortest_ms, longest_ms) * MILLISECOND

    def run(self, span: int) -> None:
        """Advance the model by `span` nanoseconds."""
        end = self.now + span
        while self.now < end:
            self.now += TICK
            for number, rate in enumerate(self.rates):
                host = self.balancers[number]
                host.pass_time(self.now - host.now)
                self.process_decisions(host)
                if self.rng.random() < rate * TICK / SECOND:
                    self.arrive(number)
            due = [event for event in self.events if event[0] <= self.now]
            self.events = [event for event in self.events if event[0] > self.now]
            for _, _, event, args in sorted(due, key=lambda event: event[:2]):
                event(*args)

    # Balancers.

    def start_balancer(self, number: int) -> None:
        """Start a balancer that knows only the endpoint list."""
        seed = number + self.rng.randrange(1 << 30)
        listed = [self.entry(server) for server in self.servers.values()]
        host = ModelBalancer(self.size, seed, self.now, listed)
        self.balancers[number : number + 1] = [host]  # replaces, or appends the next one
        self.process_decisions(host)

    def restart_balancer(self, number: int) -> None:
        """Kill and restart a balancer; the clients of its flows return to any balancer."""
        flows = self.balancers[number].balancer.flows.values()
        for flow in [flow for flow in flows if flow.established]:
            server_id = present(flow.server).id
            if server_id in self.servers:
                self.servers[server_id].held -= 1
            self.schedule(
                self.delay(50, 1500), self.return_client, self.returning_client(flow), True
            )
        self.start_balancer(number)

    def is_running(self, host: ModelBalancer) -> bool:
        """Return whether the balancer has not been restarted."""
        return host in self.balancers

    def process_decisions(self, host: ModelBalancer) -> None:
        """Deliver the balancer's new decisions to servers and clients after a delay."""
        for flow in host.take_new_attempts():
            self.attempt(host, flow)
        for client in host.take_rejected_clients():
            if client.returns < MAX_RETURNS:
                again = Client(client.key, client.returns + 1)
                self.schedule(self.delay(50, 300), self.return_client, again, False)
        while host.migrated:
            flow, server_id = host.migrated.pop()
            if server_id in self.servers:
                self.servers[server_id].held -= 1
            self.schedule(
                self.delay(50, 1500), self.return_client, self.returning_client(flow), True
            )
        for server in list(host.health_checks):
            self.schedule(self.now + TICK, self.answer_health_check, host, server)
            host.health_checks.remove(server)

    # Clients.

    def returning_client(self, flow: Flow) -> Client:
        """Return the client of an established flow, which reconnects."""
        return Client(flow.key if self.keeps_keys else None)

    def arrive(self, number: int, returning: bool = False, client: Client | None = None) -> None:
        """Connect a client to a balancer; a new client unless one is given."""
        client = client or Client()
        host = self.balancers[number]
        self.last_flow_id += 1
        host.last_id = self.last_flow_id
        key = client.key or self.draw_key()
        flow = host.arrive(returning=returning, key=key, grouped=self.hot_fraction > 0)
        host.clients[flow.id] = Client(key if self.keeps_keys else None, client.returns)
        self.process_decisions(host)

    def draw_key(self) -> int:
        """Return the key of a client that connects for the first time."""
        is_hot = self.rng.random() < self.hot_fraction
        return self.hot_key if is_hot else self.rng.randrange(1, 1 << 40)

    def return_client(self, client: Client, returning: bool) -> None:
        """Reconnect a client to a random balancer."""
        number = self.rng.choices(range(self.size), self.rates)[0]
        self.arrive(number, returning, client)

    # Servers.

    def entry(self, server: ModelServer, state: ServerState = ServerState.READY) -> Server:
        """Return the server's entry in the list."""
        return Server(id=server.ident, started_at=server.started_at, state=state)

    def attempt(self, host: ModelBalancer, flow: Flow) -> None:
        """Deliver an attempt to its server, which may be gone without the balancer's knowledge."""
        server = self.servers.get(present(flow.server).id) or ModelServer(
            present(flow.server).id, 0
        )
        if server.started_at:
            self.attempts_at_warming_servers += 1
            server.on_attempt(self.now)
        self.schedule(self.now + TICK, self.answer_attempt, host, flow, server)

    def answer_attempt(self, host: ModelBalancer, flow: Flow, server: ModelServer) -> None:
        """Deliver the server's answer to the balancer."""
        if not self.is_running(host) or flow.id not in host.open:
            return
        if server.ident not in self.servers:
            host.end(flow, Outcome.CONNECT_FAILED)
        elif server.is_full(self.now):
            host.end(flow, Outcome.FULL)
        else:
            server.held += 1
            host.accept(flow)
            lifetime = int(self.rng.expovariate(1 / MEAN_LIFETIME))
            self.schedule(self.now + lifetime, self.end_flow, host, flow, server)
        self.process_decisions(host)

    def end_flow(self, host: ModelBalancer, flow: Flow, server: ModelServer) -> None:
        """End an established flow successfully."""
        if self.is_running(host) and flow.id in host.balancer.flows:
            server.held -= 1
            host.end(flow, Outcome.OK)
            self.process_decisions(host)

    def answer_health_check(self, host: ModelBalancer, server: Server) -> None:
        """Answer a health check."""
        if self.is_running(host):
            host.health_checks.append(server)
            host.answer_health_check(server, server.id in self.servers)
            self.process_decisions(host)

    def replace_servers(self, idents: list[int]) -> None:
        """Restart servers under new ids.

        Their flows break at once; each balancer gets the update of the endpoint list later.
        """
        for ident in idents:
            old = self.servers.pop(ident)
            new = ModelServer(1000 + ident, old.capacity, self.now)
            self.servers[new.ident] = new
            for host in self.balancers:
                self.break_flows(host, ident)
                gone = self.entry(old, ServerState.GONE)
                at = self.now + self.rng.randrange(1500) * MILLISECOND
                self.schedule(at, self.announce_replacement, host, new, gone)

    def break_flows(self, host: ModelBalancer, ident: int) -> None:
        """Break all flows that the balancer has at the server; their clients return."""
        flows = host.balancer.flows.values()
        at_server = [
            flow for flow in flows if flow.established and present(flow.server).id == ident
        ]
        for flow in at_server:
            if flow.id in host.balancer.flows:  # it was not migrated in the meantime
                host.end(flow, Outcome.RESET)
                self.schedule(
                    self.delay(50, 1500), self.return_client, self.returning_client(flow), True
                )

    def announce_replacement(self, host: ModelBalancer, new: ModelServer, gone: Server) -> None:
        """Deliver the update of the endpoint list to a balancer."""
        host.update_endpoints(EndpointUpdate.DELTA, [self.entry(new), gone])
        self.process_decisions(host)
