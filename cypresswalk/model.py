"""Data types shared by the decision code and the hosts that run it.

Times and durations are whole nanoseconds of the host's clock. Prices are in points, the unit in
which the deployment states what one flow earns.
"""

import math
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from cypresswalk.measures import DecayingSum

SECOND = 1_000_000_000


class Effect(Enum):
    """The effect of running a flow's opening twice."""

    IDEMPOTENT = "repeatable"  # safe on any server, at any time
    IDEMPOTENCY_KEY = "referenced"  # servers in its scope drop repeats for a limited time
    NON_IDEMPOTENT = "once-only"  # never safe


class Scope(Enum):
    """The servers that recognize and drop repeats of a flow with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ServerState(Enum):
    """The state that the endpoint list gives for a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class EndpointUpdate(Enum):
    """The kind of an endpoint list update."""

    DELTA = "delta"  # only the entries that changed
    FULL = "full"
    CACHED = "cached"  # a complete list that may be out of date
    FAILED = "failed"  # no list: a request for it failed or the watch broke


class Outcome(Enum):
    """The way in which an attempt or an established connection ended.

    Each value holds the name and whether the outcome proves that the flow did not run.
    """

    OK = ("ok", False)
    ERROR = ("error", False)
    FULL = ("full", True)
    TIMEOUT = ("timeout", False)
    CONNECT_FAILED = ("connect failed", True)
    RESET = ("reset", False)
    CANCELLED = ("cancelled", False)
    NOT_SENT = ("moot", True)  # the balancer dropped the attempt before it sent anything

    @property
    def never_ran(self) -> bool:
        """Return whether the outcome proves that the flow did not run on the server."""
        return self.value[1]


@dataclass(slots=True, eq=False)
class ServiceType:
    """A kind of flow, as the settings describe it."""

    effect: Effect
    scope: Scope
    idempotency_window: int  # how long servers drop repeats of a flow with an idempotency key
    setup_latency_objective: int
    message_latency_objective: int  # 0 if there is none


@dataclass(slots=True)
class Settings:
    """The deployment's settings for a balancer, decoded; times are nanoseconds."""

    instances: int  # balancers in the tier
    zone: int  # of this balancer
    service_types: list[ServiceType]
    max_attempts: int  # per flow
    retry_after_allowed: bool  # a reject may tell the client when to retry
    max_retry_after: int
    health_checks: bool  # servers answer health checks
    can_migrate: bool  # the client of an established flow can be sent to look for a new server
    list_polled: bool  # the endpoint list is sent only on request
    max_list_retry_interval: int  # a failed request for the list is repeated within this time
    warm_up_time: int  # longest time from a server's start until it is warm
    warm_up_initial_fraction: float  # fraction of its capacity that a server has at its start
    slow_start_window: int  # in which too many new flows overload a server that warms up
    overload_factor: float  # multiple of its capacity that it can be sent in that window
    zone_crossing_price: float  # per flow that crosses zones once
    migration_price: float  # per flow that is migrated once
    health_check_price: float  # at a rate of one check per flow
    gossip: bool  # balancers can send each other messages of a few bytes
    gossip_price: float  # per receiver, at a rate of one message of full size per flow
    quotas: list[float]  # by tenant: concurrent flows within the quota, over all balancers
    overage_weight: float  # value of a flow beyond the quota, as a fraction of one within it
    load_index: int  # position of the utilization in a server's load report, -1 if it has none
    # The retry budget limits attempts beyond a flow's first in any window: the base number, plus
    # the ratio times the flows that arrived in the window.
    retry_window: int = 0  # 0: no retry budget
    retry_budget_base: float = 0.0
    retry_budget_ratio: float = 0.0


@dataclass(slots=True, eq=False)
class Server:
    """A server of the endpoint list, with the state that the decision code keeps about it.

    The first fields come from the list. Those below a comment belong to the rule that the comment
    names. The decaying sums are set when the server first appears in a balancer's list.
    """

    id: int
    zone: int = 0
    cell: int = 0
    weight: float = 1.0
    started_at: int = 0  # time of its latest start; 0: long ago
    state: ServerState = ServerState.READY
    gone_since: int = 0  # set while the list names the server no more

    # Health checks.
    health: int = 0  # rise/fall counter, see decisions/health.py
    checked: bool = False  # at least one health check has completed since its start
    awaiting_first_pass: bool = False  # new or restarted, and down until a check passes
    check_in_flight: bool = False
    next_check_at: int = 0  # on `HealthCheckSchedule.clock`
    failed_checks: int = 0  # since the last check that passed

    # Rotation: an operator can take a server out of rotation, whatever state the list gives.
    out_of_rotation: bool = False
    out_of_rotation_since: int = 0
    first_flow_pending: bool = False  # back in rotation: gets the next flow that may go to it

    # Outlier ejection.
    consecutive_failures: int = 0  # attempts without an answer since one was last established
    # Since then, flows that it answered with an error and that the next server accepted.
    consecutive_errors: int = 0
    next_trial_at: int = 0  # when one flow may be sent to an ejected server as a trial
    ejected_until: int = 0  # set when it reports that it is full or drops flows it just accepted

    # Load.
    load: float = 0.0  # last report; 1: messages take their objective, or all capacity is in use
    load_reported_at: int = 0  # time of that report
    message_delay: int = 0  # last report
    gossiped_at: int = 0  # when a balancer last sent the others its load

    # Concurrency limit.
    concurrency_limit: float = math.inf  # connections; infinity: no limit
    limit_cut_at: int = 0
    delay_at_cut: int = 0  # message delay when the limit was cut
    recent_drops: DecayingSum = field(init=False)  # established flows that the server dropped

    # Slow start.
    established_count: int = 0  # attempts established since its start
    slow_start_spent: DecayingSum = field(init=False)  # used part of this balancer's budget
    # Flows sent to it beyond the budget, because they would have been rejected otherwise.
    slow_start_excess: DecayingSum = field(init=False)

    # Migration.
    next_migration_at: int = 0

    # Flows from this balancer.
    pending_flows: dict["Flow", None] = field(default_factory=dict)  # with an unfinished attempt
    established_flows: dict["Flow", None] = field(default_factory=dict)
    group_sizes: Counter[int] = field(default_factory=Counter)  # number of its flows, by group


class SlowStartDraw(Protocol):
    """What a flow has drawn from the slow-start budgets."""

    def admits(self, server: Server) -> bool:
        """Return whether the flow may go to the server, which warms up."""


@dataclass(slots=True, eq=False)
class Flow:
    """A client's connection, from its arrival to its end."""

    id: int
    service_type: ServiceType
    key: int  # the group's key, else the flow's routing key, else the flow's id
    deadline: int  # when the client gives up connecting
    tenant: int = 0
    grouped: bool = False  # the key is that of a group, whose flows share work on a server
    returning: bool = False  # the client reconnects after a break or migration, or says it does
    attempts: list[Server] = field(default_factory=list)
    slow_start_draw: SlowStartDraw | None = None  # None: no server that warms up admits the flow
    server: Server | None = None  # of the unfinished attempt or the established connection
    attempt_sent_at: int = 0
    queued_until: int = 0
    awaited_checks: list[Server] = field(default_factory=list)  # whose health checks it awaits
    await_checks_until: int = 0
    established: bool = False
    may_have_run_on: Server | None = None
    may_have_run_since: int = 0  # when the first attempt that may have run was sent
    last_outcome: Outcome | None = None

    def next_due(self, now: int) -> int:
        """Return when the flow must be processed again if no event for it comes first."""
        waits_for_checks = now < self.await_checks_until or not self.queued_until
        due = self.await_checks_until if waits_for_checks else self.queued_until
        # A shutdown may have shortened the deadline since.
        return min(due, self.deadline)

    def idempotency_expires_at(self) -> float:
        """Return when servers stop dropping repeats of this flow, if it may have run.

        From then on another attempt may take effect twice. Infinity for flows without an
        idempotency key.
        """
        if self.service_type.effect is not Effect.IDEMPOTENCY_KEY:
            return math.inf
        return self.may_have_run_since + self.service_type.idempotency_window


# Decisions. The host carries out each one immediately.


@dataclass(slots=True)
class StartAttempt:
    """Connect the flow to a server."""

    flow: Flow
    server: Server
    timeout: int  # 0: until the flow's deadline


@dataclass(slots=True)
class Reject:
    """Reject the flow; it has not run, or the client can safely send it again."""

    flow: Flow
    retry_after: int  # time until the client should retry; 0: not stated


@dataclass(slots=True)
class Abort:
    """Answer the flow with an error; it may have run, and sending it again is not safe."""

    flow: Flow


@dataclass(slots=True)
class Migrate:
    """Send the client of an established flow to look for a new server."""

    flow: Flow


@dataclass(slots=True)
class CheckHealth:
    """Send the server a health check."""

    server: Server


@dataclass(slots=True)
class Subscribe:
    """Request the changes of the endpoint list from now on."""


@dataclass(slots=True)
class SendGossip:
    """Send a server's load to all other balancers; the message may be lost."""

    server: Server
    load: float


@dataclass(slots=True)
class ScheduleWakeup:
    """Call `on_wakeup` after a time, unless another wake-up is due earlier."""

    after: int


Decision = (
    StartAttempt | Reject | Abort | Migrate | CheckHealth | Subscribe | SendGossip | ScheduleWakeup
)
