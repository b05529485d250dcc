"""The servers of the lab: what each does with a connection, a line or a probe. No I/O, no clock; chance is handed in.

A server is a pile of work in front of a number of cores. What stands there asks a steady part of it; a set-up and a
probe add to the pile; what is asked beyond the whole makes it grow. A line waits behind the pile. Times are nanoseconds."""

from collections import Counter, deque
from dataclasses import dataclass
from enum import Enum
from random import Random

from cypresswalk.lab.experiment import Experiment, ScheduledFault, ServerGroup, server_names

MILLISECOND = 1_000_000
SECOND = 1_000 * MILLISECOND


class Reply(Enum):
    UP = "up"
    BUSY = "busy"
    ERROR = "error"
    RESET = "reset"
    SILENT = "silent"


class Life(Enum):
    SERVING = "in_service"
    DRAINING = "terminating"
    GONE = "terminated"


@dataclass(slots=True)
class Standing:
    load: float
    group: str
    since: int


class Server:
    """Its host tells what comes and when, and carries out what it answers."""

    def __init__(
        self,
        name: str,
        machines: ServerGroup,
        chance: Random,
        overload_factor: float,
        fall: int,
        turnover: float,
    ):
        """`fall` and `overload_factor` are the rule on cold servers; `turnover` is how many loads one place of load
        serves a second, at this experiment's mix of types."""
        self.name, self.machines, self.chance = name, machines, chance
        self.overload_factor, self.fall, self.turnover = overload_factor, fall, turnover
        self.cold_share, self.cold = (
            machines.warm_up_initial_fraction,
            int(machines.warm_up_s * SECOND),
        )
        self.life = Life.SERVING
        self.running, self.started = True, 0  # 0: long ago
        self.standing: dict[int, Standing] = {}
        self.asked = 0.0
        self.groups: Counter[str] = Counter()
        self.pile, self.pile_at = 0.0, 0  # seconds of the whole machine's work
        self.sent: deque[tuple[int, float]] = (
            deque()
        )  # loads sent within the rule's time, while cold
        self.fallen = False
        # Troubles.
        self.silent = self.hangs = False
        self.slowness, self.taken, self.errors, self.resets = 1.0, 0.0, 0.0, 0.0

    # What it can do.

    def warmth(self, now: int) -> float:
        if not self.started or now - self.started >= self.cold:
            return 1.0
        return self.cold_share + (1 - self.cold_share) * (now - self.started) / self.cold

    def capacity(self, now: int) -> float:
        """Loads that it can carry now."""
        m = self.machines
        return m.cores * m.speed * m.per_core * self.warmth(now) / self.slowness * (1 - self.taken)

    def demand(self) -> float:
        return self.asked + self.machines.group_work * len(self.groups)

    def strain(self, now: int) -> float:
        return self.demand() / max(self.capacity(now), 1e-9)

    def settle(self, now: int) -> None:
        """Brings the pile up to now."""
        span = (now - self.pile_at) / SECOND
        if span > 0:
            self.pile = max(self.pile + (self.strain(now) - 1) * span, 0.0)
            self.pile_at = now

    def add_work(self, now: int, core_seconds: float) -> None:
        m = self.machines
        self.pile += core_seconds / (
            m.cores * m.speed * self.warmth(now) / self.slowness * max(1 - self.taken, 0.01)
        )

    def delay(self, now: int) -> int:
        """What a line waits now: its own service, longer as the cores fill, and the pile."""
        self.settle(now)
        idle = max(1 - self.strain(now), 0.05)
        return int((0.001 / idle + self.pile) * SECOND)

    # What comes.

    def open(self, now: int, number: int, load: float, group: str) -> tuple[Reply, int]:
        """A connection with that load comes. The reply, and after how long."""
        self.settle(now)
        self.count_cold(now, load)
        if self.silent or self.hangs:
            return Reply.SILENT, 0
        if not self.running:
            return Reply.RESET, 0
        if self.life is not Life.SERVING or len(self.standing) >= self.machines.max_connections:
            return Reply.BUSY, MILLISECOND
        if self.chance.random() < self.resets:
            return Reply.RESET, MILLISECOND
        if self.chance.random() < self.errors:
            return Reply.ERROR, MILLISECOND
        self.add_work(now, self.machines.setup_ms / 1000)
        self.standing[number] = Standing(load, group, now)
        self.asked += load
        if group:
            self.groups[group] += 1
        return Reply.UP, self.delay(now)

    def closed(self, now: int, number: int) -> None:
        self.settle(now)
        stood = self.standing.pop(number, None)
        if stood is None:
            return
        self.asked = max(self.asked - stood.load, 0.0)
        if stood.group:
            self.groups[stood.group] -= 1
            if not self.groups[stood.group]:
                del self.groups[stood.group]

    def line(self, now: int) -> int | None:
        """How long the line's echo takes; None: nothing ever comes."""
        return None if self.silent or self.hangs or not self.running else self.delay(now)

    def probe(self, now: int) -> int | None:
        """How long its answer takes. A server that hangs answers probes: that is what makes it a trouble."""
        if self.silent or not self.running:
            return None
        self.settle(now)
        self.add_work(now, self.machines.health_check_ms / 1000)
        return MILLISECOND if self.hangs else self.delay(now)

    def dropped(self, now: int) -> int | None:
        """The number of a connection that it breaks off since its pile is too high: the newest, as a full one does."""
        self.settle(now)
        if (
            self.pile <= self.machines.max_backlog_s
            or not self.standing
            or self.hangs
            or self.silent
        ):
            return None
        return max(self.standing, key=lambda number: self.standing[number].since)

    # Rule four.

    def budget(self, now: int) -> float:
        """Loads that all balancers together may send it within the rule's time: what it can set up and see through
        in that time as warm as it is, times the factor."""
        return self.overload_factor * self.capacity(now) * self.turnover * self.fall / SECOND

    def count_cold(self, now: int, load: float) -> None:
        if self.warmth(now) >= 1 or not self.running:
            self.sent.clear()
            return
        self.sent.append((now, load))
        while self.sent and self.sent[0][0] <= now - self.fall:
            self.sent.popleft()
        if sum(l for _, l in self.sent) > max(self.budget(now), 1.0) and len(self.sent) > 1:
            self.fallen = True

    # What befalls it.

    def stop(self, now: int) -> list[int]:
        """Its process ends; the numbers of the connections that break."""
        lost = list(self.standing)
        self.running, self.silent, self.hangs = False, False, False
        self.standing.clear()
        self.groups.clear()
        self.asked = self.pile = 0.0
        return lost

    def start(self, now: int, started: int) -> None:
        """It starts anew, cold. `started` is the same moment in the clock that `warmth` is asked by."""
        self.running, self.fallen, self.started, self.life = True, False, started, Life.SERVING
        self.pile, self.pile_at = 0.0, now
        self.sent.clear()


def turnover(experiment: Experiment) -> float:
    """Loads served a second by each place of load: the mean load of a new connection over load times life, by the mix."""
    total = sum(t.share for t in experiment.types)
    loads = sum(t.share / total * sum(t.load) / 2 for t in experiment.types)
    held = sum(t.share / total * sum(t.load) / 2 * sum(t.lifetime_s) / 2 for t in experiment.types)
    return loads / max(held, 1e-9)


def servers_of(experiment: Experiment, seed: int) -> dict[str, Server]:
    rule = experiment.settings
    speed = turnover(experiment)
    servers = {
        name: Server(
            name,
            machines,
            Random(f"{seed}/server/{name}"),
            rule.overload_factor,
            int(rule.overload_window_ms * MILLISECOND),
            speed,
        )
        for machines in experiment.servers
        for name in server_names(machines)
    }
    for trouble in experiment.faults:
        if trouble.kind == "grow":
            for name in grown(experiment, trouble):
                servers[name].running = False  # switched off until then
    return servers


def grown(experiment: Experiment, trouble: ScheduledFault) -> list[str]:
    """The servers that a `grow` brings: so many of those named, the last ones first."""
    return named(experiment, trouble.servers)[::-1][: int(trouble.amount)]


def named(experiment: Experiment, names: list[str]) -> list[str]:
    """Servers by their own names, their kind's, their zone's, or `all`."""
    return [
        server
        for machines in experiment.servers
        for server in server_names(machines)
        if any(name in (server, machines.name, machines.zone, "all") for name in names)
    ]
