"""What is persisted of a balancer's knowledge, as records, and how it is copied from the balancer.

No I/O and no clock. Times are nanoseconds of wall time, as the balancer's own clock counts them.
The records' fields stand in files; this module and `recovery` are where they meet the attributes of
model.Server and of the decisions' Balancer.
"""

from msgspec import Struct

from cypresswalk.decisions.balancer import Balancer
from cypresswalk.measures import DecayingSum
from cypresswalk.model import Server

SERVERS_PER_SLICE = 250  # copied at once: a tenth of a millisecond
IDS_PER_SLICE = 2000  # likewise: a third of a millisecond


class ServerRecord(Struct, array_like=True, forbid_unknown_fields=True):
    """One server.

    `learned` is when something was last heard of it, by whichever incarnation of the balancer.
    """

    id: int
    since: int  # its start, as the list told it
    state: str
    learned: int
    health: int
    known: bool
    fresh: bool
    misses: int
    errors: int
    failed: int
    answers: int
    trial_at: int
    full_until: int
    strain: float
    strain_at: int
    limit: float  # inf where it has none
    cut_at: int
    delay: int
    dealt: tuple[float, int]  # a decaying sum: its total, and when that held
    drops: tuple[float, int]


class SumsRecord(Struct, forbid_unknown_fields=True):
    """The balancer's own decaying sums, each as its total and when that held."""

    carried: tuple[float, int]
    arrivals: tuple[float, int]
    hints: tuple[float, int]
    setup_time: tuple[float, int]
    setups: tuple[float, int]


class Header(Struct, forbid_unknown_fields=True):
    """Whose snapshot it is, when it was taken, and the balancer's sums."""

    balancer: str
    taken: int  # when it was copied
    started: int  # since when the sums have run
    list_version: int
    list_address: str
    again: float  # the fraction of flows that came again, as clients marked them
    sums: SumsRecord


class Snapshot(Struct):
    """All that one file holds."""

    head: Header
    servers: list[ServerRecord]
    ids: list[tuple[int, int]]  # a flow's id, and when it was served


def copy_sum(decaying: DecayingSum) -> tuple[float, int]:
    """A decaying sum's total and time."""
    return decaying.total, decaying.updated_at


def copy_server(server: Server, learned: int) -> ServerRecord:
    """The server's record; `learned` as there."""
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
        trial_at=server.next_trial_at,
        full_until=server.ejected_until,
        strain=server.load,
        strain_at=server.load_reported_at,
        limit=server.concurrency_limit,
        cut_at=server.limit_cut_at,
        delay=server.message_delay,
        dealt=copy_sum(server.slow_start_spent),
        drops=copy_sum(server.recent_drops),
    )


def copy_sums(balancer: Balancer) -> SumsRecord:
    """The balancer's own sums."""
    sums = balancer.sums()
    return SumsRecord(**{name: copy_sum(sums[name]) for name in SumsRecord.__struct_fields__})


def observations(server: Server) -> tuple[object, ...]:
    """Changes whenever something is heard of the server, and not when time passes.

    Without it a loop of restarts would write old knowledge anew as if it had just been learned.
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
