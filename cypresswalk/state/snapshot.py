"""The records that are persisted of a balancer's state, and functions that copy them from it.

No I/O and no clock. Times are nanoseconds of wall time, like those of the balancer's clock. The
records' fields are part of the file format; only this module and `recovery` map them to the
attributes of model.Server and decisions.balancer.Balancer.
"""

from msgspec import Struct

from cypresswalk.decisions.balancer import Balancer
from cypresswalk.measures import DecayingSum
from cypresswalk.model import Server

SERVERS_PER_SLICE = 250  # copied without a break, in a tenth of a millisecond
IDS_PER_SLICE = 2000  # copied without a break, in a third of a millisecond


class ServerRecord(Struct, array_like=True, forbid_unknown_fields=True):
    """The state of one server, written as an array in the order of the fields.

    Attributes:
        id: the server's number.
        since: time of the server's latest start, according to the endpoint list.
        state: value of its ServerState.
        learned: time of the last change of its `observations`, in this or an earlier process of
            the balancer.
        health: the counter of passed and failed health checks, `Server.health`.
        known: whether a health check has given a result.
        fresh: whether it is new or restarted and no health check has passed yet.
        misses: attempts without an answer since the last established one.
        errors: attempts answered with an error since the last established one.
        failed: health checks failed since the last one that passed.
        answers: attempts established since its start.
        next_trial_at: time from which one flow may try the server while it is ejected.
        ejected_until: end of its ejection for being full or dropping flows.
        strain: reported load.
        strain_at: time of that report.
        limit: concurrency limit, in connections; inf if it has none.
        limit_cut_at: time of the last cut of that limit.
        delay: last reported message delay, in nanoseconds.
        slow_start_spent: total and time of the decaying sum of slow-start budget spent.
        recent_drops: total and time of the decaying sum of flows that it dropped.
    """

    id: int
    since: int
    state: str
    learned: int
    health: int
    known: bool
    fresh: bool
    misses: int
    errors: int
    failed: int
    answers: int
    next_trial_at: int
    ejected_until: int
    strain: float
    strain_at: int
    limit: float
    limit_cut_at: int
    delay: int
    slow_start_spent: tuple[float, int]
    recent_drops: tuple[float, int]


class SumsRecord(Struct, forbid_unknown_fields=True):
    """The balancer's own decaying sums, each as its total and the time of that total.

    Attributes:
        carried: established flows that ended successfully.
        arrivals: flows that arrived for the first time.
        hints: gossip messages sent.
        setup_time: duration of attempts, in nanoseconds.
        setups: number of attempts in `setup_time`.
    """

    carried: tuple[float, int]
    arrivals: tuple[float, int]
    hints: tuple[float, int]
    setup_time: tuple[float, int]
    setups: tuple[float, int]


class Header(Struct, forbid_unknown_fields=True):
    """The part of a snapshot that is not about single servers or flows."""

    balancer: str  # name of the balancer that took the snapshot
    taken: int  # time at which the snapshot was taken
    started: int  # time from which on the sums count
    list_version: int  # version of the balancer's endpoint list
    list_address: str  # address that this list came from
    again: float  # fraction of accepted flows whose clients reconnected after a break or migration
    sums: SumsRecord


class Snapshot(Struct):
    """The contents of one file."""

    head: Header
    servers: list[ServerRecord]
    ids: list[tuple[int, int]]  # each flow's id and the time at which it was copied


def copy_sum(decaying: DecayingSum) -> tuple[float, int]:
    """Return a decaying sum's total and the time of that total."""
    return decaying.total, decaying.updated_at


def copy_server(server: Server, learned: int) -> ServerRecord:
    """Return the record of a server; `learned` is the record's field of that name."""
    return ServerRecord(
        id=server.id,
        since=server.started_at,
        state=server.state.value,
        learned=learned,
        health=server.health,
        known=server.checked,
        fresh=server.awaiting_first_pass,
        misses=server.consecutive_failures,
        errors=server.consecutive_errors,
        failed=server.failed_checks,
        answers=server.established_count,
        next_trial_at=server.next_trial_at,
        ejected_until=server.ejected_until,
        strain=server.load,
        strain_at=server.load_reported_at,
        limit=server.concurrency_limit,
        limit_cut_at=server.limit_cut_at,
        delay=server.message_delay,
        slow_start_spent=copy_sum(server.slow_start_spent),
        recent_drops=copy_sum(server.recent_drops),
    )


def copy_sums(balancer: Balancer) -> SumsRecord:
    """Return the record of the balancer's own sums."""
    sums = balancer.sums()
    return SumsRecord(**{name: copy_sum(sums[name]) for name in SumsRecord.__struct_fields__})


def observations(server: Server) -> tuple[object, ...]:
    """Return values that change with every new observation of the server, not as time passes.

    They keep a restart loop from writing old knowledge again as if it had just been learned.
    """
    return (
        server.health,
        server.checked,
        server.awaiting_first_pass,
        server.consecutive_failures,
        server.consecutive_errors,
        server.failed_checks,
        server.established_count,
        server.load_reported_at,
        server.limit_cut_at,
        server.ejected_until,
        server.next_check_at,
        server.started_at,
        server.state,
    )
