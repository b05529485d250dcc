"""Simulated servers: what each does with a connection, a line or a health check.

No I/O, no clock; random numbers are handed in. A server is a backlog of work in front of a number
of cores. Each connection takes a steady part of them; a set-up and a health check add to the
backlog; load beyond the capacity makes it grow. A line waits behind it. Times are nanoseconds.
"""

from collections import Counter, deque
from dataclasses import dataclass
from enum import Enum
from random import Random

from cypresswalk.lab.experiment import Experiment, ScheduledFault, ServerGroup, server_names
from cypresswalk.lab.units import MILLISECOND, SECOND

MIN_SPARE_SHARE = 0.05  # of a server's capacity, for the time of a line's own service
MIN_LEFT_SHARE = 0.01  # of a server's cores, beside another program
LINE_SERVICE_S = 0.001  # of an idle server


class Reply(Enum):
    """What a server does with a new connection."""

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
    """An established connection: its load, its group if any, and since when."""

    load: float
    group: str
    since: int


class SimulatedServer:
    """One server's model. Its host reports what arrives and when, and carries out the answers."""

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
            group: What servers of its kind are like.
            random: Source of its random numbers.
            overload_factor: Of the rule on cold servers, see `budget`.
            overload_window: Of the same rule, in nanoseconds.
            turnover: Loads that one place of load serves a second, see `turnover`.
        """
        # Over 40 lines since it sets one attribute a line.
        self.name = name
        self.group = group
        self.random = random
        self.overload_factor = overload_factor
        self.overload_window = overload_window
        self.turnover = turnover
        self.warm_up = int(group.warm_up_s * SECOND)
        self.state = ServerState.IN_SERVICE
        self.running = True
        # Nanoseconds; 0 is long ago.
        self.started = 0
        self.connections: dict[int, Connection] = {}
        self.connection_load = 0.0
        # Connections of each group.
        self.groups: Counter[str] = Counter()
        # Seconds of the whole server's work.
        self.backlog_s = 0.0
        self.backlog_at = 0
        # When and how much load arrived within the overload window, while cold.
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

    def warmth(self, now: int) -> float:
        """Return the share of its capacity that it has, by the time since its start."""
        if not self.started or now - self.started >= self.warm_up:
            return 1.0
        initial = self.group.warm_up_initial_fraction
        return initial + (1 - initial) * (now - self.started) / self.warm_up

    def capacity(self, now: int) -> float:
        """Return the loads that it can carry now."""
        group = self.group
        warm = group.cores * group.speed * group.per_core * self.warmth(now)
        return warm / self.slowness * (1 - self.stolen_share)

    def demand(self) -> float:
        """Return the loads that connections and their groups take."""
        return self.connection_load + self.group.group_work * len(self.groups)

    def utilization(self, now: int) -> float:
        """Return demand over capacity; above 1.0 the backlog grows."""
        return self.demand() / max(self.capacity(now), 1e-9)

    def update_backlog(self, now: int) -> None:
        """Bring the backlog up to now."""
        span_s = (now - self.backlog_at) / SECOND
        if span_s > 0:
            growth = (self.utilization(now) - 1) * span_s
            self.backlog_s = max(self.backlog_s + growth, 0.0)
            self.backlog_at = now

    def delay(self, now: int) -> int:
        """Return how long a line waits: its own service, longer as cores fill, and the backlog."""
        self.update_backlog(now)
        spare = max(1 - self.utilization(now), MIN_SPARE_SHARE)
        return int((LINE_SERVICE_S / spare + self.backlog_s) * SECOND)

    def _add_work(self, now: int, core_seconds: float) -> None:
        group = self.group
        warm = group.cores * group.speed * self.warmth(now)
        left = max(1 - self.stolen_share, MIN_LEFT_SHARE)
        self.backlog_s += core_seconds / (warm / self.slowness * left)

    # What arrives.

    def open(self, now: int, number: int, load: float, group: str) -> tuple[Reply, int]:
        """Take a new connection; return the reply and after how many nanoseconds it is sent."""
        self.update_backlog(now)
        self._count_while_cold(now, load)
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
        """Forget a connection that ended; one that is not known is ignored."""
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
        """Return how long the echo of a line takes; None: it never comes."""
        if self.silent or self.hanging or not self.running:
            return None
        return self.delay(now)

    def health_check_delay(self, now: int) -> int | None:
        """Return how long the answer to a health check takes; None: it never comes.

        A hanging server answers health checks: that is what makes it a fault of its own.
        """
        if self.silent or not self.running:
            return None
        self.update_backlog(now)
        self._add_work(now, self.group.health_check_ms / 1000)
        return MILLISECOND if self.hanging else self.delay(now)

    def connection_to_drop(self, now: int) -> int | None:
        """Return the newest connection's number if the backlog is too long, else None."""
        self.update_backlog(now)
        if self.backlog_s <= self.group.max_backlog_s or not self.connections:
            return None
        if self.hanging or self.silent:
            return None
        return max(self.connections, key=lambda number: self.connections[number].since)

    # Rule four: a cold server that gets more than its budget fails.

    def budget(self, now: int) -> float:
        """Return the loads that all balancers may send it within the overload window.

        It is what the server, as warm as it is, can set up and serve to the end in that time, times
        the overload factor.
        """
        window = self.overload_window
        return self.overload_factor * self.capacity(now) * self.turnover * window / SECOND

    def _count_while_cold(self, now: int, load: float) -> None:
        if self.warmth(now) >= 1 or not self.running:
            self.recent_loads.clear()
            return
        self.recent_loads.append((now, load))
        while self.recent_loads and self.recent_loads[0][0] <= now - self.overload_window:
            self.recent_loads.popleft()
        total = sum(recent for _, recent in self.recent_loads)
        if total > max(self.budget(now), 1.0) and len(self.recent_loads) > 1:
            self.overloaded = True

    # Its process.

    def stop(self, now: int) -> list[int]:
        """End its process; return the numbers of the connections that break."""
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
        """Start it cold. `started` is the same moment by the clock that `warmth` is asked by."""
        self.running = True
        self.overloaded = False
        self.started = started
        self.state = ServerState.IN_SERVICE
        self.backlog_s = 0.0
        self.backlog_at = now
        self.recent_loads.clear()


def turnover(experiment: Experiment) -> float:
    """Return the loads that one place of load serves a second, by the mix of types.

    It is the mean load of a new connection over the mean of load times lifetime.
    """
    total = sum(t.share for t in experiment.types)
    loads = sum(t.share / total * sum(t.load) / 2 for t in experiment.types)
    load_seconds = sum(
        t.share / total * sum(t.load) / 2 * sum(t.lifetime_s) / 2 for t in experiment.types
    )
    return loads / max(load_seconds, 1e-9)


def build_servers(experiment: Experiment, seed: int) -> dict[str, SimulatedServer]:
    """Return all servers by name; those that a `grow` adds are not running yet."""
    settings = experiment.settings
    loads_per_place = turnover(experiment)
    servers = {
        name: SimulatedServer(
            name,
            group,
            Random(f"{seed}/server/{name}"),
            settings.overload_factor,
            int(settings.overload_window_ms * MILLISECOND),
            loads_per_place,
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
    """Return the servers that a `grow` adds: so many of those named, the last ones first."""
    return matching_servers(experiment, fault.servers)[::-1][: int(fault.amount)]


def matching_servers(experiment: Experiment, names: list[str]) -> list[str]:
    """Return the servers that names mean: a server's, a group's or a zone's name, or `all`."""
    return [
        server
        for group in experiment.servers
        for server in server_names(group)
        if any(name in (server, group.name, group.zone, "all") for name in names)
    ]
