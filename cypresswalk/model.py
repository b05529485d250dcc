"""Plain types that the decisions and their hosts share.

Times and spans are whole nanoseconds of the host's clock; prices are points of what one flow earns.
"""

import math
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from cypresswalk.measures import DecayingSum

SECOND = 1_000_000_000


class Effect(Enum):
    """What a second run of a flow's opening would do."""

    IDEMPOTENT = "repeatable"  # it may run again
    IDEMPOTENCY_KEY = "referenced"  # repeats are dropped by servers in its scope, for a while
    NON_IDEMPOTENT = "once-only"


class Scope(Enum):
    """Which servers drop the repeats of a flow with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ServerState(Enum):
    """A server's state by the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class EndpointUpdate(Enum):
    """What an update of the endpoint list holds."""

    DELTA = "delta"  # the changed entries alone
    FULL = "full"
    CACHED = "cached"  # a whole list, perhaps out of date
    FAILED = "failed"  # a call for the list failed, or the watch broke


class Outcome(Enum):
    """How an attempt or an established connection ended."""

    OK = ("ok", False)
    ERROR = ("error", False)
    FULL = ("full", True)
    TIMEOUT = ("timeout", False)
    CONNECT_FAILED = ("connect failed", True)
    RESET = ("reset", False)
    CANCELLED = ("cancelled", False)
    MOOT = ("moot", True)

    @property
    def never_ran(self) -> bool:
        """Whether it proves that the flow never ran on that server."""
        return self.value[1]


@dataclass(slots=True, eq=False)
class ServiceType:
    """One kind of flow, as the settings describe it."""

    effect: Effect
    scope: Scope
    idempotency_window: int  # how long repeats of a flow with an idempotency key are dropped
    setup_latency_objective: int
    message_latency_objective: int  # 0 where none is stated


@dataclass(slots=True)
class Settings:
    """What the deployment tells every balancer, decoded; times are nanoseconds."""

    instances: int  # balancers of the tier
    zone: int  # this balancer's
    service_types: list[ServiceType]
    max_attempts: int  # for one flow
    retry_after_allowed: bool  # a reject may say when to come back
    max_retry_after: int
    health_checks: bool  # servers answer health checks
    can_migrate: bool  # an established flow can be sent to look for a new server
    list_polled: bool  # the endpoint list comes on request only
    poll_within: int
    warm_up_time: int  # a started server is warm no later than this
    warm_up_initial_fraction: float  # of its capacity, right after its start
    slow_start_window: int  # in which a server that warms up can be overrun
    overload_factor: float  # times its capacity that it can be sent in that window
    zone_crossing_price: float  # for each flow that crosses zones once
    migration_price: float  # for each flow migrated once
    health_check_price: float  # for one check a flow
    gossip: bool  # instances can tell each other a few bytes
    gossip_price: float  # for a full message a flow, for each that receives it
    quotas: list[float]  # by tenant: standing flows within its quota, all balancers together
    overage_weight: float  # what a flow beyond the quota is worth, as a part
    load_index: int  # place of the utilization in a server's report, -1 where none
    # Attempts beyond a flow's first, in any window: so many, and that part of the flows taken in
    # it.
    retry_window: int = 0  # 0: no such budget
    retry_budget_base: float = 0.0
    retry_budget_ratio: float = 0.0


@dataclass(slots=True, eq=False)
class Server:
    """A server of the endpoint list, and what the decisions know of it.

    The fields after the list's own belong to the rule named above them. The sums are set when a
    balancer first lists the server.
    """

    id: int
    zone: int = 0
    cell: int = 0
    weight: float = 1.0
    started_at: int = 0  # its latest start; 0: long ago
    state: ServerState = ServerState.READY

    # Health checks.
    health: int = 0  # the rise/fall counter
    checked: bool = False  # a health check has told
    awaiting_first_pass: bool = False  # new or restarted: down until a check passes
    check_in_flight: bool = False
    next_check_at: int = 0  # by `HealthCheckSchedule.clock`
    failed_checks: int = 0  # since the last that passed

    # Out of rotation by an operator's call, whatever the list says.
    out_of_rotation: bool = False
    out_of_rotation_since: int = 0
    owed_first_flow: bool = False  # returned: the next flow that may go there does

    # Outlier ejection.
    consecutive_failures: int = 0  # attempts unanswered since the last that was established
    consecutive_errors: int = 0  # attempts answered with an error since then
    next_trial_at: int = 0  # when one flow may try an ejected server
    ejected_until: int = 0  # it said that it is full, or dropped what it had just taken

    # Load.
    load: float = 0.0  # as last told: 1 is a message at its objective, or all capacity in use
    load_at: int = 0
    message_delay: int = 0  # as last told
    gossiped_at: int = 0  # when a balancer last told the others of its load

    # Concurrency limit.
    concurrency_limit: float = math.inf  # connections; none before it has dropped any
    limit_cut_at: int = 0
    delay_at_cut: int = 0  # message delay when the limit was cut
    recent_drops: DecayingSum = field(init=False)  # established flows that it broke off

    # Slow start.
    established_count: int = 0  # attempts established since its start
    slow_start_spent: DecayingSum = field(init=False)  # of this balancer's budget for it
    slow_start_fills: DecayingSum = field(init=False)  # flows beyond the budget, instead of rejects

    # Migration.
    next_migration_at: int = 0

    # Flows from this balancer.
    pending_flows: dict["Flow", None] = field(default_factory=dict)  # their attempt is out there
    established_flows: dict["Flow", None] = field(default_factory=dict)
    group_sizes: Counter[int] = field(default_factory=Counter)  # how many of each group


@dataclass(slots=True, eq=False)
class Flow:
    """A client's connection, from its arrival to its end."""

    id: int
    service_type: ServiceType
    key: int  # its group's, else its routing key, else its id
    deadline: int  # when the client gives up connecting
    tenant: int = 0
    grouped: bool = False  # the key names a group, whose work its members share
    returning: bool = False  # its client comes back after a break or a migration, or says so
    attempts: list[Server] = field(default_factory=list)
    slow_start_admitted: list[Server] = field(default_factory=list)  # those it may go to
    server: Server | None = None  # where its attempt is out or it is established
    attempt_sent_at: int = 0
    queued_until: int = 0
    awaited_checks: list[Server] = field(default_factory=list)  # checked on its behalf
    await_checks_until: int = 0
    established: bool = False
    may_have_run_on: Server | None = None
    may_have_run_since: int = 0  # when the first attempt that may have run was sent
    last_outcome: Outcome | None = None

    def next_due(self, now: int) -> int:
        """Return when it must be looked at again if nothing happens before."""
        waits_for_checks = now < self.await_checks_until or not self.queued_until
        due = self.await_checks_until if waits_for_checks else self.queued_until
        # The deadline may have been cut since, at a shutdown.
        return min(due, self.deadline)

    def idempotency_expires_at(self) -> float:
        """Return when one more attempt of a flow that may have run does harm.

        That is where servers drop repeats for a while; infinity for all other flows.
        """
        if self.service_type.effect is not Effect.IDEMPOTENCY_KEY:
            return math.inf
        return self.may_have_run_since + self.service_type.idempotency_window


# Decisions: the host carries out each at once.


@dataclass(slots=True)
class StartAttempt:
    """Connect to that server on the flow's behalf."""

    flow: Flow
    server: Server
    timeout: int  # 0: until the flow's deadline


@dataclass(slots=True)
class Reject:
    """Turn the flow away; nothing of it has run, or a repeat does no harm."""

    flow: Flow
    retry_after: int  # 0: no advice


@dataclass(slots=True)
class Abort:
    """Answer the flow with a failure: it may have run, and a repeat may do harm."""

    flow: Flow


@dataclass(slots=True)
class Migrate:
    """Send the client of an established flow to look for a new server."""

    flow: Flow


@dataclass(slots=True)
class CheckHealth:
    """Send that server a health check."""

    server: Server


@dataclass(slots=True)
class Subscribe:
    """Ask for the endpoint list's changes from here on."""


@dataclass(slots=True)
class SendGossip:
    """Tell all other instances of a server's load; the message may be lost."""

    server: Server
    load: float


@dataclass(slots=True)
class ScheduleWakeup:
    """Call `on_wakeup` after that time, unless another wake-up comes before."""

    after: int


Decision = (
    StartAttempt | Reject | Abort | Migrate | CheckHealth | Subscribe | SendGossip | ScheduleWakeup
)
