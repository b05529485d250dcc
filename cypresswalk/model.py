"""Plain types that the decision module and its hosts share. Times and spans are whole nanoseconds."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

SECOND = 1_000_000_000


class Effect(Enum):
    REPEATABLE = "repeatable"  # may run again
    REFERENCED = "referenced"  # repeats are dropped by the servers of one group, for a while
    ONCE_ONLY = "once-only"


class Scope(Enum):
    """Which servers drop the repeats of a referenced flow."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListForm(Enum):
    DELTA = "delta"  # the changed entries alone
    FULL = "full"
    CACHED = "cached"  # a whole list, perhaps out of date
    FAILED = "failed"  # a call for the list failed, or the subscription broke


class Outcome(Enum):
    """How a connect ended. Those marked True prove that the flow never ran there."""

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
        return self.value[1]


@dataclass(slots=True, eq=False)
class ServiceType:
    effect: Effect
    scope: Scope
    window: int  # how long repeats of a referenced flow are remembered
    setup_target: int
    message_target: int  # 0 where none is stated


@dataclass(slots=True)
class Settings:
    instances: int
    zone: int
    service_types: list[ServiceType]
    max_connects: int
    retry_after: bool  # a reject may say when to come back
    max_retry_after: int
    probes: bool
    moves: bool  # an established flow can be sent to look for a new server
    list_asked: bool  # the list comes on request only
    ask_within: int
    cold: int  # a started server is warm no later than this
    cold_share: float
    fall_window: int
    overload_factor: float
    zone_price: float  # points for each flow that crosses zones once
    move_price: float  # points for each flow moved once
    probe_price: float  # points for one probe a flow
    peers: bool  # instances can tell each other a few bytes
    peer_price: float  # points for a full message a flow, for each that receives it
    shares: list[
        float
    ]  # for each customer the standing flows within its share, all balancers together
    overage_payoff: float  # what a flow beyond the share is worth, as a part
    load_index: int  # place of the load over capacity in a server's report, -1 where none
    # Connects beyond a flow's first, in any window: so many, and that part of the flows taken in it. No window, no such rule.
    further_window: int = 0
    further_free: float = 0.0
    further_part: float = 0.0


@dataclass(slots=True, eq=False)
class Server:
    id: int
    zone: int = 0
    cell: int = 0
    weight: float = 1.0
    since: int = 0  # its latest start; 0: long ago
    state: State = State.READY
    health: int = 0
    known: bool = False  # a probe has told
    fresh: bool = False  # new or restarted: out until a probe passes
    probing: bool = False
    next_probe: int = 0
    next_move: int = 0
    dealt: object = None  # a decaying sum: what this balancer has dealt out of its budget
    answers: int = 0  # connects established since its start
    misses: int = 0  # connects unanswered since the last that was established
    errors: int = 0  # connects answered with an error since then
    failed: int = 0  # probes failed since the last that passed
    filled: object = None  # and another: flows it was sent beyond that instead of giving them up
    drops: object = None  # a decaying sum: established flows that it broke off
    trial_at: int = 0  # when one flow may try a server with misses again
    strain: float = 0.0  # as last told: 1 is a message at its target, or all capacity asked
    strain_at: int = 0
    full_until: int = 0
    barred: bool = False  # taken out by hand, whatever the list says
    barred_at: int = 0
    owed: bool = False  # put back by hand: the next flow that may go there does
    limit: float = float(
        "inf"
    )  # connections it held without dropping any, once it has dropped some
    cut_at: int = 0
    cut_delay: int = 0  # of a message there when that was cut
    told_at: int = 0  # when one balancer last told the others of its strain
    delay: int = 0  # of a message there, as last told
    out: dict = field(default_factory=dict)  # flows whose connect is out there
    flows: dict = field(default_factory=dict)  # flows established there
    groups: Counter = field(default_factory=Counter)  # how many of each group are among them


@dataclass(slots=True, eq=False)
class Flow:
    id: int
    type: ServiceType
    key: int
    until: int  # the client's connect timeout
    customer: int = 0
    grouped: bool = False  # the key names a group, whose work its members share
    again: bool = False  # its client comes back after a break or a move, or says that it repeats
    tried: list[Server] = field(default_factory=list)
    admitted: list[Server] = field(default_factory=list)  # the cold servers that it may go to
    server: Server | None = None  # where its connect is out or stands
    sent: int = 0
    held_until: int = 0
    asked: list[Server] = field(default_factory=list)  # a probe of them is out on its behalf
    ask_until: int = 0  # it waits for those no longer than that
    established: bool = False
    may_have_run: Server | None = None
    ran_at: int = 0  # when the first connect that may have run was sent
    last: Outcome | None = None

    def due(self, now: int) -> int:
        """When it must be looked at again, if nothing happens before."""
        # Its time may have been cut since: guards against an answer after the end of a stop.
        return min(
            self.ask_until if now < self.ask_until or not self.held_until else self.held_until,
            self.until,
        )

    def repeats_until(self) -> float:
        """When a connect more of one that may have run does harm, where servers drop repeats for a while."""
        return (
            self.ran_at + self.type.window
            if self.type.effect is Effect.REFERENCED
            else float("inf")
        )


# What the module may decide; the host carries each out at once.


@dataclass(slots=True)
class Connect:
    flow: Flow
    server: Server
    timeout: int  # 0: until the client's connect timeout


@dataclass(slots=True)
class Reject:
    flow: Flow
    wait: int  # 0: no advice


@dataclass(slots=True)
class Abort:
    flow: Flow


@dataclass(slots=True)
class Move:
    flow: Flow


@dataclass(slots=True)
class Probe:
    server: Server


@dataclass(slots=True)
class Subscribe:
    """Ask for the server list's changes from here on."""


@dataclass(slots=True)
class Tell:
    """A hint to all other instances; it may be lost."""

    server: Server
    strain: float


@dataclass(slots=True)
class Wake:
    after: int


Decision = Connect | Reject | Abort | Move | Probe | Subscribe | Tell | Wake
