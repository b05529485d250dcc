"""A fleet of balancers that share nothing, over the decisions and without a bench.

Seeded. What reaches a server that warms up is held against its slow-start budget in every window.
"""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from helpers import START, SimulatedHost
from rule_assertions import assert_within_slow_start_budget, slow_start_limit

from cypresswalk.decisions.balancer import Balancer
from cypresswalk.model import SECOND, EndpointUpdate, Flow, Outcome, Server, ServerState

MILLISECOND = SECOND // 1000
TICK = 20 * MILLISECOND  # in which the model goes on; and how long a message is on its way
MEAN_LIFETIME = 20 * SECOND  # of a flow
SLOW_START_WINDOW = 2 * SECOND
OVERLOAD_FACTOR = 3.0
WARM_UP_TIME = 20 * SECOND
INITIAL_FRACTION = 0.2
CAPACITY = 40  # flows that a server can hold
MAX_RETURNS = 8  # times that a rejected client comes again
HOT_KEY = 777


@dataclass(frozen=True, slots=True)
class Client:
    """A client that comes, or comes again."""

    key: int | None = None  # of its flow; None: drawn when it comes
    returns: int = 0  # how often it was rejected


class ModelServer:
    """What a server can truly hold, which nobody tells."""

    def __init__(self, ident: int, capacity: int, started_at: int = 0):
        """A server that holds nothing yet; one that started at 0 has warmed up."""
        self.ident = ident
        self.capacity = capacity
        self.started_at = started_at
        self.held = 0
        self.attempts: deque[int] = deque()  # times, of the last window

    def warm_fraction(self, now: int) -> float:
        """The part of its capacity that it has by now."""
        if not self.started_at:
            return 1.0
        age = min(now - self.started_at, WARM_UP_TIME)
        return INITIAL_FRACTION + (1 - INITIAL_FRACTION) * age / WARM_UP_TIME

    def is_full(self, now: int) -> bool:
        """Whether it can hold no further flow."""
        return self.held >= self.capacity * self.warm_fraction(now)

    def budget(self, now: int) -> float:
        """Attempts that it may get in a window, by the flows that end in one when it is full."""
        flows_per_window = self.capacity / (MEAN_LIFETIME / SLOW_START_WINDOW)
        return OVERLOAD_FACTOR * self.warm_fraction(now) * flows_per_window

    def on_attempt(self, now: int) -> None:
        """Counts an attempt, which must be within the budget."""
        self.attempts.append(now)
        while self.attempts[0] <= now - SLOW_START_WINDOW:
            self.attempts.popleft()
        limit = slow_start_limit(self.budget(now))
        assert_within_slow_start_budget(len(self.attempts), limit)


class ModelBalancer(SimulatedHost):
    """One balancer of the fleet."""

    def __init__(self, fleet_size: int, seed: int, now: int, servers: list[Server]):
        """A balancer that has just started and knows the servers from its list."""
        self.migrated: list[tuple[Flow, int]] = []  # flows, and ids of their servers
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
        self.clients: dict[int, Client] = {}  # of the unanswered flows, by flow id
        self.sent: set[tuple[int, int]] = set()  # attempts on their way: flow id and number
        self.update_endpoints(EndpointUpdate.CACHED, servers)

    def end(self, flow: Flow, outcome: Outcome) -> None:
        """A flow ends; migrated ones are noted, since their clients return."""
        if outcome is Outcome.CANCELLED:
            self.migrated.append((flow, flow.server.id))
        super().end(flow, outcome)

    def unsent_attempts(self) -> list[Flow]:
        """Flows whose latest attempt has not been taken up by the model yet."""
        flows = []
        for flow in list(self.open.values()):
            is_out = flow.server is not None and self.history[flow.id][-1].outcome is None
            attempt = (flow.id, len(flow.attempts))
            if is_out and attempt not in self.sent:
                self.sent.add(attempt)
                flows.append(flow)
        return flows

    def newly_rejected(self) -> list[Client]:
        """The clients that were rejected since the last call."""
        rejected = []
        for flow_id, answer in list(self.answers.items()):
            client = self.clients.pop(flow_id, None)
            if client is not None and answer == "reject":
                rejected.append(client)
        return rejected


class Fleet:
    """Balancers, servers and clients in one model of time."""

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
        """A fleet that has just started.

        Args:
            seed: of all that is drawn.
            balancers: how many, with shares of the traffic that differ by up to three.
            servers: how many, all warm.
            rate: new clients a second.
            hot_fraction: the part of the flows that are of one group.
            hot_key: that group's key.
            keeps_keys: clients that come again have the key that they had.
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
        self.balancers: list[ModelBalancer | None] = []
        for number in range(balancers):
            self.balancers.append(None)
            self.start_balancer(number)

    # Time.

    def schedule(self, at: int, event: Callable[..., None], *args: object) -> None:
        """Something happens at a time; what happens at the same time does so in random order."""
        self.events.append((at, self.rng.random(), event, args))

    def delay(self, shortest_ms: int, longest_ms: int) -> int:
        """A time some milliseconds from now."""
        return self.now + self.rng.randrange(shortest_ms, longest_ms) * MILLISECOND

    def run(self, span: int) -> None:
        """Plays that much time."""
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
        """A balancer starts, with what the list says."""
        seed = number + self.rng.randrange(1 << 30)
        listed = [self.entry(server) for server in self.servers.values()]
        self.balancers[number] = ModelBalancer(self.size, seed, self.now, listed)
        self.process_decisions(self.balancers[number])

    def restart_balancer(self, number: int) -> None:
        """Killed: its flows' clients return, anywhere; it knows nothing but the list."""
        flows = self.balancers[number].balancer.flows.values()
        for flow in [flow for flow in flows if flow.established]:
            if flow.server.id in self.servers:
                self.servers[flow.server.id].held -= 1
            self.schedule(self.delay(50, 1500), self.return_client, self.returning(flow), True)
        self.start_balancer(number)

    def is_running(self, host: ModelBalancer) -> bool:
        """Whether the balancer was not restarted since."""
        return host in self.balancers

    def process_decisions(self, host: ModelBalancer) -> None:
        """Takes up what the balancer has decided: it reaches servers and clients later."""
        for flow in host.unsent_attempts():
            self.attempt(host, flow)
        for client in host.newly_rejected():
            if client.returns < MAX_RETURNS:
                again = Client(client.key, client.returns + 1)
                self.schedule(self.delay(50, 300), self.return_client, again, False)
        while host.migrated:
            flow, server_id = host.migrated.pop()
            if server_id in self.servers:
                self.servers[server_id].held -= 1
            self.schedule(self.delay(50, 1500), self.return_client, self.returning(flow), True)
        for server in list(host.health_checks):
            self.schedule(self.now + TICK, self.answer_health_check, host, server)
            host.health_checks.remove(server)

    # Clients.

    def returning(self, flow: Flow) -> Client:
        """The client of an established flow, which comes again."""
        return Client(flow.key if self.keeps_keys else None)

    def arrive(self, number: int, returning: bool = False, client: Client | None = None) -> None:
        """A client comes to that balancer, a new one unless it is named."""
        client = client or Client()
        host = self.balancers[number]
        self.last_flow_id += 1
        host.last_id = self.last_flow_id
        key = client.key or self.draw_key()
        flow = host.arrive(returning=returning, key=key, grouped=self.hot_fraction > 0)
        host.clients[flow.id] = Client(key if self.keeps_keys else None, client.returns)
        self.process_decisions(host)

    def draw_key(self) -> int:
        """The key of a client that comes for the first time."""
        is_hot = self.rng.random() < self.hot_fraction
        return self.hot_key if is_hot else self.rng.randrange(1, 1 << 40)

    def return_client(self, client: Client, returning: bool) -> None:
        """A client comes again, to any balancer."""
        number = self.rng.choices(range(self.size), self.rates)[0]
        self.arrive(number, returning, client)

    # Servers.

    def entry(self, server: ModelServer, state: ServerState = ServerState.READY) -> Server:
        """The server's entry in the list."""
        return Server(id=server.ident, started_at=server.started_at, state=state)

    def attempt(self, host: ModelBalancer, flow: Flow) -> None:
        """An attempt reaches its server, which may be gone without the balancer's knowledge."""
        server = self.servers.get(flow.server.id) or ModelServer(flow.server.id, 0)
        if server.started_at:
            self.attempts_at_warming_servers += 1
            server.on_attempt(self.now)
        self.schedule(self.now + TICK, self.answer_attempt, host, flow, server)

    def answer_attempt(self, host: ModelBalancer, flow: Flow, server: ModelServer) -> None:
        """The server's answer reaches the balancer."""
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
        """An established flow ends well."""
        if self.is_running(host) and flow.id in host.balancer.flows:
            server.held -= 1
            host.end(flow, Outcome.OK)
            self.process_decisions(host)

    def answer_health_check(self, host: ModelBalancer, server: Server) -> None:
        """A health check ends."""
        if self.is_running(host):
            host.health_checks.append(server)
            host.answer_health_check(server, server.id in self.servers)
            self.process_decisions(host)

    def replace_servers(self, idents: list[int]) -> None:
        """Servers restart under new ids; their flows break, and balancers hear of it one by one."""
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
        """All flows that the balancer has at the server break; their clients return."""
        flows = host.balancer.flows.values()
        at_server = [flow for flow in flows if flow.established and flow.server.id == ident]
        for flow in at_server:
            if flow.id in host.balancer.flows:  # it was not migrated meanwhile
                host.end(flow, Outcome.RESET)
                self.schedule(self.delay(50, 1500), self.return_client, self.returning(flow), True)

    def announce_replacement(self, host: ModelBalancer, new: ModelServer, gone: Server) -> None:
        """The list's update reaches a balancer."""
        host.update_endpoints(EndpointUpdate.DELTA, [self.entry(new), gone])
        self.process_decisions(host)
