"""The experiment file: a world, the course of the load, troubles on a schedule, seeds, and variants to hold side by side.

Decoded from TOML by pydantic (see cypresswalk.toml). Times in the file are seconds (`_s`) or milliseconds (`_ms`);
everything else in the lab counts in nanoseconds."""

from pathlib import Path
from typing import Literal

from pydantic import Field, field_validator, model_validator

from cypresswalk import toml
from cypresswalk.faults.plan import Plan

Range = tuple[float, float]
NAME = r"^[A-Za-z][A-Za-z0-9_-]{0,31}$"


def ordered(value: Range | None) -> Range | None:
    if value is not None and not 0 <= value[0] <= value[1] <= 1e6:
        raise ValueError("a range is [least, most], both from 0 on")
    return value


class Machines(toml.Table):
    """Servers that are alike. One core of speed 1 carries `per_core` connections of load 1."""

    name: str = Field(pattern=NAME)
    zone: str
    count: int = Field(ge=1, le=400)
    cores: int = Field(2, ge=1, le=256)
    speed: float = Field(1.0, gt=0, le=100)
    per_core: float = Field(20, gt=0)
    most: int = Field(10_000, ge=1)  # connections; beyond it BUSY
    weight: float = Field(1.0, gt=0)
    cell: int = Field(0, ge=0)
    setup_ms: float = Field(2, ge=0)  # of one core's time, for each connection
    probe_ms: float = Field(1, ge=0)  # and for each probe
    group_work: float = Field(2, ge=0)  # loads that each group asks, wherever any of it stands
    cold_share: float = Field(0.2, gt=0, le=1)  # of its capacity, as it starts
    cold_s: float = Field(20, ge=0)  # until it is warm
    gives_up_s: float = Field(2, gt=0)  # a pile of that much work: it drops what came last


class ServiceType(toml.Table):
    name: str = Field(pattern=NAME)
    share: float = Field(gt=0)
    effect: Literal["repeatable", "referenced", "once-only"] = "repeatable"
    scope: Literal["all", "zone", "cell"] = "all"
    window_ms: float = Field(1000, ge=0)
    setup_target_ms: float = Field(300, gt=0)
    timeout_ms: float = Field(1500, gt=0, le=60_000)
    message_target_ms: float = Field(150, gt=0)
    payoff: float = Field(1, gt=0)
    life_s: Range = (4, 12)
    load: Range = (0.5, 1.5)
    _ordered = field_validator("life_s", "load")(ordered)


class Customer(toml.Table):
    name: str = Field(pattern=NAME)
    share: float = Field(gt=0)


class Clients(toml.Table):
    """What clients do. `habit`: what one does that got no server: nothing, at once, after a wait; `ignores` is the share
    of those who do not keep to a wait that they were told."""

    habit: Literal["none", "at once", "wait"] = "wait"
    retries: int = Field(2, ge=0, le=100)
    wait_ms: Range = (50, 400)
    ignores: float = Field(0.0, ge=0, le=1)
    returns: bool = True  # after a break or MOVE
    return_ms: Range = (50, 800)
    leaves: float = Field(0.0, ge=0, le=1)  # share that goes away before its answer
    groups: int = Field(20, ge=0)  # 0: no groups
    line_ms: float = Field(500, ge=20)  # between two lines
    bad_per_s: float = Field(
        0.0, ge=0
    )  # bad clients: garbage, silence, half lines, floods, ids said again
    _ordered = field_validator("wait_ms", "return_ms")(ordered)


class Balancers(toml.Table):
    zone: str
    count: int = Field(1, ge=1, le=64)
    sockets: int = Field(512, ge=64)
    memory_mb: int = Field(96, ge=24)


class Net(toml.Table):
    """One way, in milliseconds."""

    within_ms: float = Field(0.2, ge=0)
    across_ms: float = Field(8, ge=0)
    peers_ms: Range = (1, 10)
    peers_lost: float = Field(0.0, ge=0, le=1)
    _ordered = field_validator("peers_ms")(ordered)


class ListService(toml.Table):
    late_ms: Range = (300, 1500)
    asked: bool = False  # the list comes on request only
    _ordered = field_validator("late_ms")(ordered)


class Front(toml.Table):
    """Deals clients out among the balancers of a zone, and notices a dead one late."""

    notice_ms: Range = (800, 2000)
    _ordered = field_validator("notice_ms")(ordered)


class Load(toml.Table):
    """New clients a second: straight lines between the points [second, rate]."""

    course: list[tuple[float, float]] = Field(min_length=1)

    @field_validator("course")
    @classmethod
    def in_order(cls, value: list[tuple[float, float]]) -> list[tuple[float, float]]:
        if any(rate < 0 or rate > 10_000 for _, rate in value) or any(
            a[0] >= b[0] for a, b in zip(value, value[1:])
        ):
            raise ValueError("points are [second, rate], the seconds rising, rates from 0 to 10000")
        return value

    def rate(self, second: float) -> float:
        points = self.course
        if second <= points[0][0]:
            return points[0][1]
        for (a, low), (b, high) in zip(points, points[1:]):
            if second <= b:
                return low + (high - low) * (second - a) / (b - a)
        return points[-1][1]


SERVER_TROUBLES = (
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
Kind = Literal[
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
    "balancer_kill",
    "balancer_stop",
    "reload",
    "cut_clients",
    "burst",
]


class Trouble(toml.Table):
    """`servers` and `balancers` take names, a zone's name, or `all`. What `amount` says depends on the kind: slow: so many
    times slower; neighbour: the share that another program takes; errors, resets, cut_clients: the share struck; burst: so
    many clients at one instant; grow: so many servers like those named."""

    kind: Kind
    at_s: float = Field(ge=0)
    for_s: float = Field(0, ge=0)  # 0: to the end of the day; drains: until it is gone
    servers: list[str] = []
    balancers: list[str] = []
    amount: float = Field(0, ge=0)

    @model_validator(mode="after")
    def complete(self) -> "Trouble":
        if self.kind in SERVER_TROUBLES + ("grow", "release") and not self.servers:
            raise ValueError(f"{self.kind} needs servers")
        if self.kind in ("balancer_kill", "balancer_stop", "reload") and not self.balancers:
            raise ValueError(f"{self.kind} needs balancers")
        if (
            self.kind in ("slow", "neighbour", "errors", "resets", "cut_clients", "burst", "grow")
            and not self.amount
        ):
            raise ValueError(f"{self.kind} needs an amount above 0")
        if self.kind in ("neighbour", "errors", "resets", "cut_clients") and self.amount > 1:
            raise ValueError(f"{self.kind}: the amount is a share, at most 1")
        return self


class Between(toml.Table):
    """Fault plans (cypresswalk.faults) between clients and balancers, and between balancers and servers."""

    clients: Plan = Plan()
    servers: Plan = Plan()


class Settings(toml.Table):
    """What the balancers are told, besides the world."""

    max_connects: int = Field(4, ge=1, le=20)
    probes: bool = True
    peers: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = Field(2000, ge=0)
    reports_load: bool = False
    state: bool = False  # what balancers know is kept in a folder over their restarts
    state_every_s: float = Field(1, ge=0.2)
    dial_timeout_ms: float = Field(150, gt=0)
    drain_grace_ms: float = Field(3000, gt=0)
    overload_factor: float = Field(4, gt=0)
    fall_ms: float = Field(3000, gt=0)
    zone_price: float = Field(0.0, ge=0)
    move_price: float = Field(0.014, ge=0)
    probe_price: float = Field(0.004, ge=0)


class Variant(toml.Table):
    """Another balancer in the same world: one of the lab's baselines, an earlier revision, or other settings."""

    name: str = Field(pattern=NAME)
    policy: Literal["product", "random", "least", "maglev"] = "product"
    revision: str = Field("", max_length=100)
    settings: Settings | None = None

    @model_validator(mode="after")
    def either(self) -> "Variant":
        if self.revision and self.policy != "product":
            raise ValueError("a revision plays its own policy")
        return self


class Experiment(toml.Table):
    name: str = Field(pattern=NAME)
    about: str = ""
    seconds: float = Field(gt=0, le=3600)
    seeds: list[int] = Field([1, 2, 3, 4, 5], min_length=1)
    zones: list[str] = Field(["north"], min_length=1, max_length=16)
    net: Net = Net()
    servers: list[Machines] = Field(min_length=1)
    balancers: list[Balancers] = Field(min_length=1)
    types: list[ServiceType] = Field(min_length=1)
    customers: list[Customer] = [Customer(name="all", share=1)]
    load: Load
    clients: Clients = Clients()
    list_service: ListService = ListService()
    front: Front = Front()
    between: Between = Between()
    settings: Settings = Settings()
    trouble: list[Trouble] = []
    variant: list[Variant] = [Variant(name="product")]

    @model_validator(mode="after")
    def hangs_together(self) -> "Experiment":
        for what, tables in (("servers", self.servers), ("balancers", self.balancers)):
            for i, table in enumerate(tables):
                if table.zone not in self.zones:
                    raise ValueError(
                        f"{what}[{i}].zone: {table.zone!r} is not one of {', '.join(self.zones)}"
                    )
        for what, names in (
            ("servers", [m.name for m in self.servers]),
            ("types", [t.name for t in self.types]),
            ("customers", [c.name for c in self.customers]),
            ("variant", [v.name for v in self.variant]),
        ):
            if len(set(names)) < len(names):
                raise ValueError(f"{what}: a name stands twice")
        machines = {name for m in self.servers for name in (m.name, *names_of(m))} | {
            *self.zones,
            "all",
        }
        balancers = set(self.balancer_names()) | {*self.zones, "all"}
        for i, trouble in enumerate(self.trouble):
            if trouble.at_s >= self.seconds:
                raise ValueError(f"trouble[{i}].at_s: the day ends after {self.seconds:g} s")
            for field, allowed in (("servers", machines), ("balancers", balancers)):
                for name in getattr(trouble, field):
                    if name not in allowed:
                        raise ValueError(
                            f"trouble[{i}].{field}: {name!r} is not one of {', '.join(sorted(allowed))}"
                        )
        return self

    def balancer_names(self) -> list[str]:
        return [f"b{i}" for i in range(sum(b.count for b in self.balancers))]

    def balancer_tables(self) -> list[Balancers]:
        return [table for table in self.balancers for _ in range(table.count)]


def names_of(machines: Machines) -> list[str]:
    return [f"{machines.name}-{i}" for i in range(machines.count)]


def read(path: str | Path) -> Experiment:
    """Raises Refusal with a line for each wrong field."""
    return toml.read(path, Experiment)
