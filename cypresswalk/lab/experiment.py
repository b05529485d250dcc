"""The experiment file: servers, balancers, load over time, scheduled faults, seeds and variants.

Decoded from TOML by pydantic (see cypresswalk.toml). Times in the file are in seconds (`_s`) or
milliseconds (`_ms`); the rest of the lab uses nanoseconds. A field with an alias has the alias as
its key in the file and in error messages; code outside this module uses only the field names.
"""

from pathlib import Path
from typing import Literal, TypeAlias

from pydantic import Field, field_validator, model_validator

from cypresswalk import toml
from cypresswalk.faults.plan import Plan

Range: TypeAlias = tuple[float, float]  # minimum and maximum
NAME = r"^[A-Za-z][A-Za-z0-9_-]{0,31}$"
MAX_RANGE = 1e6
MAX_RATE = 10_000  # new clients a second
ALL = "all"  # names every server or balancer


def ordered(value: Range | None) -> Range | None:
    """Return a range after checking its bounds.

    Raises:
        ValueError: The bounds are not in order, or not from 0 to MAX_RANGE.
    """
    if value is not None and not 0 <= value[0] <= value[1] <= MAX_RANGE:
        raise ValueError("a range is [minimum, maximum], in order and from 0 on")
    return value


class ServerGroup(toml.Table):
    """A group of identical servers.

    One core of speed 1 carries `per_core` connections of load 1.

    Attributes:
        max_connections: The number of connections above which a server answers BUSY.
        setup_ms: The CPU time of one core that each connection's set-up takes.
        health_check_ms: The CPU time of one core that each health check takes.
        group_work: The load that each group of connections adds, whatever its size.
        warm_up_initial_fraction: The share of its capacity that a server has when it starts.
        warm_up_s: The time until a started server has its full capacity.
        max_backlog_s: The backlog of work above which a server drops its newest connection.
    """

    name: str = Field(pattern=NAME)
    zone: str
    count: int = Field(ge=1, le=400)
    cores: int = Field(default=2, ge=1, le=256)
    speed: float = Field(default=1.0, gt=0, le=100)
    per_core: float = Field(default=20, gt=0)
    max_connections: int = Field(default=10_000, ge=1, alias="most")
    weight: float = Field(default=1.0, gt=0)
    cell: int = Field(default=0, ge=0)
    setup_ms: float = Field(default=2, ge=0)
    health_check_ms: float = Field(default=1, ge=0, alias="probe_ms")
    group_work: float = Field(default=2, ge=0)
    warm_up_initial_fraction: float = Field(default=0.2, gt=0, le=1, alias="cold_share")
    warm_up_s: float = Field(default=20, ge=0, alias="cold_s")
    max_backlog_s: float = Field(default=2, gt=0, alias="gives_up_s")


class ServiceType(toml.Table):
    """A type of flow: its share of the load, its effect and its objectives.

    Attributes:
        effect: Whether a flow that may have run may be retried: always ("repeatable"), within
            window and scope ("referenced") or never ("once-only").
        scope: The servers to which a retry is limited: all, or those of the same zone or cell.
        window_ms: The time after the first attempt within which a retry is allowed.
        timeout_ms: The time for which a client waits for an answer.
        priority_weight: The value of a second of service, relative to other types.
        lifetime_s: The range of times for which clients want to be served.
        load: The range of the load of one connection.
    """

    name: str = Field(pattern=NAME)
    share: float = Field(gt=0)
    effect: Literal["repeatable", "referenced", "once-only"] = "repeatable"
    scope: Literal["all", "zone", "cell"] = "all"
    window_ms: float = Field(default=1000, ge=0)
    setup_latency_objective_ms: float = Field(default=300, gt=0, alias="setup_target_ms")
    timeout_ms: float = Field(default=1500, gt=0, le=60_000)
    message_latency_objective_ms: float = Field(default=150, gt=0, alias="message_target_ms")
    priority_weight: float = Field(default=1, gt=0, alias="payoff")
    lifetime_s: Range = Field(default=(4, 12), alias="life_s")
    load: Range = (0.5, 1.5)
    _ordered = field_validator("lifetime_s", "load")(ordered)


class Tenant(toml.Table):
    """A tenant and its share of the load."""

    name: str = Field(pattern=NAME)
    share: float = Field(gt=0)


class Clients(toml.Table):
    """The behaviour of clients.

    Attributes:
        after_rejection: A client's reaction to a rejection: give up ("none"), retry at once, or
            retry after a wait.
        retries: The maximum number of retries in a row.
        wait_ms: The range of waits before a retry, if the rejection names none.
        ignore_retry_after: The share of clients that ignore Retry-After.
        reconnect: Whether a client reconnects after its connection broke or was migrated.
        reconnect_ms: The range of waits before it reconnects.
        leave: The share of clients that leave before their answer.
        groups: The number of groups of connections; 0 for none.
        line_ms: The interval between two lines on a connection.
        bad_per_s: The number of misbehaving clients per second: garbage, silence, half lines,
            floods, repeated ids.
        resting: The number of clients per balancer that keep one connection open and use it until
            it ends.
        crowd: The number of clients per balancer that connect and send nothing.
    """

    after_rejection: Literal["none", "at once", "wait"] = Field(default="wait", alias="habit")
    retries: int = Field(default=2, ge=0, le=100)
    wait_ms: Range = (50, 400)
    ignore_retry_after: float = Field(default=0.0, ge=0, le=1, alias="ignores")
    reconnect: bool = Field(default=True, alias="returns")
    reconnect_ms: Range = Field(default=(50, 800), alias="return_ms")
    leave: float = Field(default=0.0, ge=0, le=1, alias="leaves")
    groups: int = Field(default=20, ge=0)
    line_ms: float = Field(default=500, ge=20)
    bad_per_s: float = Field(default=0.0, ge=0)
    resting: int = Field(default=0, ge=0, le=1000)
    crowd: int = Field(default=0, ge=0, le=5000)
    _ordered = field_validator("wait_ms", "reconnect_ms")(ordered)


class BalancerGroup(toml.Table):
    """The balancers of one zone and the resource limits of each."""

    zone: str
    count: int = Field(default=1, ge=1, le=64)
    sockets: int = Field(default=512, ge=64)
    memory_mb: int = Field(default=96, ge=24)


class Network(toml.Table):
    """One-way delays within a zone, across zones and between balancers, and gossip loss."""

    within_ms: float = Field(default=0.2, ge=0)
    across_ms: float = Field(default=8, ge=0)
    peers_ms: Range = (1, 10)
    peers_lost: float = Field(default=0.0, ge=0, le=1)
    _ordered = field_validator("peers_ms")(ordered)


class ListService(toml.Table):
    """The delay of endpoint list changes, and whether balancers must poll the list."""

    delay_ms: Range = Field(default=(300, 1500), alias="late_ms")
    polled: bool = Field(default=False, alias="asked")
    _ordered = field_validator("delay_ms")(ordered)


class EdgeSettings(toml.Table):
    """The delay after which the edge load balancer of a zone notices a dead balancer."""

    detection_ms: Range = Field(default=(800, 2000), alias="notice_ms")
    _ordered = field_validator("detection_ms")(ordered)


class Load(toml.Table):
    """The rate of new clients per second, interpolated linearly between points [second, rate]."""

    course: list[tuple[float, float]] = Field(min_length=1)

    @field_validator("course")
    @classmethod
    def _in_order(cls, value: list[tuple[float, float]]) -> list[tuple[float, float]]:
        rate_wrong = any(rate < 0 or rate > MAX_RATE for _, rate in value)
        pairs = zip(value, value[1:], strict=False)
        if rate_wrong or any(before[0] >= after[0] for before, after in pairs):
            raise ValueError(
                "points are [second, rate], with increasing seconds and rates from 0 to 10000"
            )
        return value

    def rate(self, second: float) -> float:
        """Return the rate at a second of the scenario."""
        points = self.course
        if second <= points[0][0]:
            return points[0][1]
        for (begin, first), (end, last) in zip(points, points[1:], strict=False):
            if second <= end:
                return first + (last - first) * (second - begin) / (end - begin)
        return points[-1][1]


SERVER_FAULTS = (
    "crash",
    "vanish",
    "hang",
    "slow",
    "neighbour",
    "errors",
    "resets",
    "drain",
    "restart",
)
BALANCER_FAULTS = ("balancer_kill", "balancer_stop", "reload", "signals")
FAULTS_WITH_AMOUNT = ("slow", "neighbour", "errors", "resets", "cut_clients", "burst", "grow")
FAULTS_WITH_SHARE = ("neighbour", "errors", "resets", "cut_clients")
FaultKind = Literal[
    "crash",
    "vanish",
    "hang",
    "slow",
    "neighbour",
    "errors",
    "resets",
    "drain",
    "restart",
    "grow",
    "release",
    "list_outage",
    "list_stall",
    "balancer_kill",
    "balancer_stop",
    "reload",
    "signals",
    "cut_clients",
    "burst",
]
SignalName = Literal["HUP", "TERM", "USR1"]


class ScheduledFault(toml.Table):
    """A fault scheduled at a time of the scenario.

    Attributes:
        at_s: The time at which it begins.
        for_s: Its duration; 0 for the rest of the scenario. For a drain, the time until the server
            is gone.
        servers: The names of servers, server groups or zones, or `all`.
        balancers: The names of balancers or zones, or `all`.
        amount: By kind: the slowdown factor (slow), the share of the machine that another program
            takes (neighbour), the share of flows or clients affected (errors, resets,
            cut_clients), the number of clients that arrive at once (burst), or the number of the
            named servers to add (grow).
        signals: The signals that the kind `signals` sends, each up to 50 ms after the previous one.
    """

    kind: FaultKind
    at_s: float = Field(ge=0)
    for_s: float = Field(default=0, ge=0)
    servers: list[str] = []
    balancers: list[str] = []
    amount: float = Field(default=0, ge=0)
    signals: list[SignalName] = []

    @model_validator(mode="after")
    def _complete(self) -> "ScheduledFault":
        if self.kind in (*SERVER_FAULTS, "grow", "release") and not self.servers:
            raise ValueError(f"{self.kind} needs servers")
        if self.kind in BALANCER_FAULTS and not self.balancers:
            raise ValueError(f"{self.kind} needs balancers")
        if (self.kind == "signals") != bool(self.signals):
            raise ValueError(
                "signals: required for the kind signals, and not allowed for other kinds"
            )
        if self.kind in FAULTS_WITH_AMOUNT and not self.amount:
            raise ValueError(f"{self.kind} needs an amount above 0")
        if self.kind in FAULTS_WITH_SHARE and self.amount > 1:
            raise ValueError(f"{self.kind}: the amount is a share, at most 1")
        return self


class ConnectionFaults(toml.Table):
    """The fault plans (cypresswalk.faults) for the connections of clients and of servers."""

    clients: Plan = Plan()
    servers: Plan = Plan()


class Settings(toml.Table):
    """The settings of the balancers, besides servers and tenants.

    Attributes:
        state: Whether a balancer persists its state in a folder across restarts.
        state_every_s: The interval between two writes of that state.
        overload_window_ms: The time window of a cold server's budget.
    """

    max_attempts: int = Field(default=4, ge=1, le=20, alias="max_connects")
    health_checks: bool = Field(default=True, alias="probes")
    gossip: bool = Field(default=False, alias="peers")
    retry_after: bool = False
    max_retry_after_ms: float = Field(default=2000, ge=0)
    reports_load: bool = False
    state: bool = False
    state_every_s: float = Field(default=1, ge=0.2)
    dial_timeout_ms: float = Field(default=150, gt=0)
    drain_grace_ms: float = Field(default=3000, gt=0)
    overload_factor: float = Field(default=4, gt=0)
    overload_window_ms: float = Field(default=3000, gt=0, alias="fall_ms")
    zone_crossing_price: float = Field(default=0.0, ge=0, alias="zone_price")
    migration_price: float = Field(default=0.014, ge=0, alias="move_price")
    health_check_price: float = Field(default=0.004, ge=0, alias="probe_price")


class Variant(toml.Table):
    """A balancer implementation or configuration to compare on the same servers and clients.

    It is one of the lab's baselines, an earlier revision, or the product with other settings.
    """

    name: str = Field(pattern=NAME)
    policy: Literal["product", "random", "least", "maglev"] = "product"
    revision: str = Field(default="", max_length=100)
    settings: Settings | None = None

    @model_validator(mode="after")
    def _either(self) -> "Variant":
        if self.revision and self.policy != "product":
            raise ValueError("a revision can be played only with the policy product")
        return self


class Experiment(toml.Table):
    """The content of an experiment file."""

    name: str = Field(pattern=NAME)
    about: str = ""
    seconds: float = Field(gt=0, le=3600)
    seeds: list[int] = Field(default=[1, 2, 3, 4, 5], min_length=1)
    zones: list[str] = Field(default=["north"], min_length=1, max_length=16)
    network: Network = Field(default=Network(), alias="net")
    servers: list[ServerGroup] = Field(min_length=1)
    balancers: list[BalancerGroup] = Field(min_length=1)
    types: list[ServiceType] = Field(min_length=1)
    tenants: list[Tenant] = Field(default=[Tenant(name="all", share=1)], alias="customers")
    load: Load
    clients: Clients = Clients()
    list_service: ListService = ListService()
    edge: EdgeSettings = Field(default=EdgeSettings(), alias="front")
    connection_faults: ConnectionFaults = Field(default=ConnectionFaults(), alias="between")
    settings: Settings = Settings()
    faults: list[ScheduledFault] = Field(default=[], alias="trouble")
    variants: list[Variant] = Field(default=[Variant(name="product")], alias="variant")

    @model_validator(mode="after")
    def _consistent(self) -> "Experiment":
        self._check_zones("servers", [group.zone for group in self.servers])
        self._check_zones("balancers", [group.zone for group in self.balancers])
        check_unique("servers", [group.name for group in self.servers])
        check_unique("types", [flow_type.name for flow_type in self.types])
        check_unique("customers", [tenant.name for tenant in self.tenants])
        check_unique("variant", [variant.name for variant in self.variants])
        self._check_faults()
        return self

    def _check_zones(self, key: str, zones: list[str]) -> None:
        for index, zone in enumerate(zones):
            if zone not in self.zones:
                known = ", ".join(self.zones)
                raise ValueError(f"{key}[{index}].zone: {zone!r} is not one of {known}")

    def _check_faults(self) -> None:
        groups = {group.name for group in self.servers}
        servers = {name for group in self.servers for name in server_names(group)}
        any_server = groups | servers | {*self.zones, ALL}
        any_balancer = {*self.balancer_names(), *self.zones, ALL}
        for index, fault in enumerate(self.faults):
            if fault.at_s >= self.seconds:
                message = f"the scenario ends after {self.seconds:g} s"
                raise ValueError(f"trouble[{index}].at_s: {message}")
            check_known(f"trouble[{index}].servers", fault.servers, any_server)
            check_known(f"trouble[{index}].balancers", fault.balancers, any_balancer)

    def balancer_names(self) -> list[str]:
        """Return the names of all balancers, in the order of `balancer_groups`."""
        return [f"b{i}" for i in range(sum(group.count for group in self.balancers))]

    def balancer_groups(self) -> list[BalancerGroup]:
        """Return each balancer's group."""
        return [group for group in self.balancers for _ in range(group.count)]


def check_unique(key: str, names: list[str]) -> None:
    """Raise ValueError if a name occurs twice."""
    if len(set(names)) < len(names):
        raise ValueError(f"{key}: a name occurs twice")


def check_known(key: str, names: list[str], known: set[str]) -> None:
    """Raise ValueError if a name is not known."""
    for name in names:
        if name not in known:
            raise ValueError(f"{key}: {name!r} is not one of {', '.join(sorted(known))}")


def server_names(group: ServerGroup) -> list[str]:
    """Return the names of the servers of a group."""
    return [f"{group.name}-{i}" for i in range(group.count)]


def read(path: str | Path) -> Experiment:
    """Read an experiment file.

    Raises:
        CommandError: The file can't be read or is invalid; one line for each invalid field.
    """
    return toml.read(path, Experiment)
