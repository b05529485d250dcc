"""Simulated servers: how each handles connections, lines and health checks.

No I/O, no clock; the caller passes in the source of random numbers. A server is modelled as a
backlog of work in front of a number of cores. Each connection takes a constant share of the cores.
A set-up or a health check adds to the backlog, and load beyond the capacity makes it grow. A line
waits until the backlog is processed. Times are in nanoseconds.
"""

from collections import Counter, deque
from dataclasses import dataclass
from enum import Enum
from random import Random

from cypresswalk.lab.experiment import Experiment, ScheduledFault, ServerGroup, server_names
from cypresswalk.lab.units import MILLISECOND, SECOND

MIN_SPARE_SHARE = 0.05  # of a server's capacity, to bound the service time of a line
MIN_CORE_SHARE = 0.01  # of a server's cores, left over by another program
LINE_SERVICE_S = 0.001  # service time of a line at an idle server


class Reply(Enum):
    """A server's reaction to a new connection."""

    UP = "up"
    BUSY = "busy"
    ERROR = "error"
    RESET = "reset"
    SILENT = "silent"


class ServerState(Enum):
    """A server's state in the endpoint list."""

    IN_SERVICE = "in_service"
    DRAINING = "terminating"
    TERMINATED = "terminated"


@dataclass(slots=True)
class Connection:
    """An established connection: its load, its group (or ""), and when it was established."""

    load: float
    group: str
    since: int


class SimulatedServer:
    """The model of one server; its driver reports arrivals and their times and sends answers."""

    def __init__(
        self,
        name: str,
        group: ServerGroup,
        random: Random,
        overload_factor: float,
        overload_window: int,
        turnover: float,
    ):
        """Start warm, running and empty.

        Args:
            name: The server's name.
            group: The server group, with the properties of its servers.
            random: The source of its random numbers.
            overload_factor: The factor of a cold server's budget; see `budget`.
            overload_window: The time window of that budget, in nanoseconds.
            turnover: The load that one unit of capacity serves per second; see `turnover`.
        """
        self.name = name
        self.group = group
        self.random = random
        self.overload_factor = overload_factor
        self.overload_window = overload_window
        self.turnover = turnover
        self.warm_up = int(group.warm_up_s * SECOND)
        self.state = ServerState.IN_SERVICE
        self.running = True
        # Start time in nanoseconds; 0 if it was long ago.
        self.started = 0
        self.connections: dict[int, Connection] = {}
        self.connection_load = 0.0
        # Number of connections by group.
        self.groups: Counter[str] = Counter()
        # Work in seconds of all cores of the server, as of `backlog_at`.
        self.backlog_s = 0.0
        self.backlog_at = 0
        # Time and amount of each load that arrived within the overload window, while cold.
        self.recent_loads: deque[tuple[int, float]] = deque()
        self.overloaded = False
        # Injected faults.
        self.silent = False
        self.hanging = False
        self.slowness = 1.0
        self.stolen_share = 0.0
        self.error_share = 0.0
        self.reset_share = 0.0

    # Capacity.

    def warm_fraction(self, now: int) -> float:
        """Return the share of its full capacity that it has now, by the time since its start."""
        if not self.started or now - self.started >= self.warm_up:
            return 1.0
        initial = self.group.warm_up_initial_fraction
        return initial + (1 - initial) * (now - self.started) / self.warm_up

    def capacity(self, now: int) -> float:
        """Return the load that it can carry now."""
        group = self.group
        warm = group.cores * group.speed * group.per_core * self.warm_fraction(now)
        return warm / self.slowness * (1 - self.stolen_share)

    def demand(self) -> float:
        """Return the load of its connections and their groups."""
        return self.connection_load + self.group.group_work * len(self.groups)

    def utilization(self, now: int) -> float:
        """Return demand divided by capacity; above 1.0, the backlog grows."""
        return self.demand() / max(self.capacity(now), 1e-9)

    def update_backlog(self, now: int) -> None:
        """Compute the backlog as of now."""
        span_s = (now - self.backlog_at) / SECOND
        if span_s > 0:
            growth = (self.utilization(now) - 1) * span_s
            self.backlog_s = max(self.backlog_s + growth, 0.0)
            self.backlog_at = now

    def delay(self, now: int) -> int:
        """Return the delay of a line: the backlog plus a service time that utilization extends."""
        self.update_backlog(now)
        spare = max(1 - self.utilization(now), MIN_SPARE_SHARE)
        return int((LINE_SERVICE_S / spare + self.backlog_s) * SECOND)

    def _add_work(self, now: int, core_seconds: float) -> None:
        group = self.group
        warm = group.cores * group.speed * self.warm_fraction(now)
        left = max(1 - self.stolen_share, MIN_CORE_SHARE)
        self.backlog_s += core_seconds / (warm / self.slowness * left)

    # Connections, lines and health checks.

    def open(self, now: int, number: int, load: float, group: str) -> tuple[Reply, int]:
        """Handle a new connection; return the reply and its delay in nanoseconds."""
        self.update_backlog(now)
        self._count_recent_load(now, load)
        if self.silent or self.hanging:
            return Reply.SILENT, 0
        if not self.running:
            return Reply.RESET, 0
        full = len(self.connections) >= self.group.max_connections
        if self.state is not ServerState.IN_SERVICE or full:
            return Reply.BUSY, MILLISECOND
        if self.random.random() < self.reset_share:
            return Reply.RESET, MILLISECOND
        if self.random.random() < self.error_share:
            return Reply.ERROR, MILLISECOND
        self._add_work(now, self.group.setup_ms / 1000)
        self.connections[number] = Connection(load, group, now)
        self.connection_load += load
        if group:
            self.groups[group] += 1
        return Reply.UP, self.delay(now)

    def close(self, now: int, number: int) -> None:
        """Remove a connection that ended; ignore an unknown one."""
        self.update_backlog(now)
        connection = self.connections.pop(number, None)
        if connection is None:
            return
        self.connection_load = max(self.connection_load - connection.load, 0.0)
        if connection.group:
            self.groups[connection.group] -= 1
            if not self.groups[connection.group]:
                del self.groups[connection.group]

    def echo_delay(self, now: int) -> int | None:
        """Return the delay of a line's echo; None if it never comes."""
        if self.silent or self.hanging or not self.running:
            return None
        return self.delay(now)

    def health_check_delay(self, now: int) -> int | None:
        """Return the delay of the answer to a health check; None if it never comes.

        A hanging server still answers health checks, which distinguishes it from a silent one.
        """
        if self.silent or not self.running:
            return None
        self.update_backlog(now)
        self._add_work(now, self.group.health_check_ms / 1000)
        return MILLISECOND if self.hanging else self.delay(now)

    def connection_to_drop(self, now: int) -> int | None:
        """Return the number of the newest connection if the backlog is too long, else None."""
        self.update_backlog(now)
        if self.backlog_s <= self.group.max_backlog_s or not self.connections:
            return None
        if self.hanging or self.silent:
            return None
        return max(self.connections, key=lambda number: self.connections[number].since)

    # Rule four: a cold server that gets more load than its budget crashes.

    def budget(self, now: int) -> float:
        """Return the load that all balancers together may send it within the overload window.

        It is the load that the server, with its current capacity, can serve to the end in that
        time, multiplied by the overload factor.
        """
        window = self.overload_window
        return self.overload_factor * self.capacity(now) * self.turnover * window / SECOND

    def _count_recent_load(self, now: int, load: float) -> None:
        if self.warm_fraction(now) >= 1 or not self.running:
            self.recent_loads.clear()
            return
        self.recent_loads.append((now, load))
        while self.recent_loads and self.recent_loads[0][0] <= now - self.overload_window:
            self.recent_loads.popleft()
        # A single connection is always allowed, as is a load of 1.0.
        total = sum(recent for _, recent in self.recent_loads)
        if total > max(self.budget(now), 1.0) and len(self.recent_loads) > 1:
            self.overloaded = True

    # Stop and start of its process.

    def stop(self, now: int) -> list[int]:
        """Stop its process; return the numbers of the connections that break."""
        lost = list(self.connections)
        self.running = False
        self.silent = False
        self.hanging = False
        self.connections.clear()
        self.groups.clear()
        self.connection_load = 0.0
        self.backlog_s = 0.0
        return lost

    def start(self, now: int, started: int) -> None:
        """Start it cold at `now`; `warm_fraction` counts from `started`."""
        self.running = True
        self.overloaded = False
        self.started = started
        self.state = ServerState.IN_SERVICE
        self.backlog_s = 0.0
        self.backlog_at = now
        self.recent_loads.clear()


def turnover(experiment: Experiment) -> float:
    """Return the load that one unit of capacity serves per second, for the mix of types.

    It is the mean load of a new connection, divided by the mean of load times lifetime.
    """
    total = sum(t.share for t in experiment.types)
    loads = sum(t.share / total * sum(t.load) / 2 for t in experiment.types)
    load_seconds = sum(
        t.share / total * sum(t.load) / 2 * sum(t.lifetime_s) / 2 for t in experiment.types
    )
    return loads / max(load_seconds, 1e-9)


def build_servers(experiment: Experiment, seed: int) -> dict[str, SimulatedServer]:
    """Return all servers by name; those that a `grow` fault adds are not running yet."""
    settings = experiment.settings
    turnover_rate = turnover(experiment)
    servers = {
        name: SimulatedServer(
            name,
            group,
            Random(f"{seed}/server/{name}"),
            settings.overload_factor,
            int(settings.overload_window_ms * MILLISECOND),
            turnover_rate,
        )
        for group in experiment.servers
        for name in server_names(group)
    }
    for fault in experiment.faults:
        if fault.kind == "grow":
            for name in added_servers(experiment, fault):
                servers[name].running = False
    return servers


def added_servers(experiment: Experiment, fault: ScheduledFault) -> list[str]:
    """Return the servers that a `grow` fault adds: the last `amount` of those named."""
    return matching_servers(experiment, fault.servers)[::-1][: int(fault.amount)]


def matching_servers(experiment: Experiment, names: list[str]) -> list[str]:
    """Return the servers selected by names of servers, groups or zones, or by `all`."""
    return [
        server
        for group in experiment.servers
        for server in server_names(group)
        if any(name in (server, group.name, group.zone, "all") for name in names)
    ]
