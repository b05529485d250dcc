"""What is persisted of a balancer's knowledge, as records, and how it is copied from the balancer.

No I/O and no clock. Times are nanoseconds of wall time, as the balancer's own clock counts them.
The records' fields stand in files; this module and `recovery` are where they meet the attributes of
model.Server and of the decisions' Balancer.
"""

from msgspec import Struct

from cypresswalk.choice import Balancer, Decaying
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


# By field of SumsRecord, in its order: the attribute of Balancer.
SUM_ATTRIBUTES = {
    "carried": "carried",
    "arrivals": "arrivals",
    "hints": "hints",
    "setup_time": "setup_time",
    "setups": "setups",
}


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


def copy_sum(decaying: object) -> tuple[float, int]:
    """A decaying sum's total and time; zeros for None."""
    return (decaying.total, decaying.at) if isinstance(decaying, Decaying) else (0.0, 0)


def copy_server(server: Server, learned: int) -> ServerRecord:
    """The server's record; `learned` as there."""
    return ServerRecord(
        id=server.id,
        since=server.since,
        state=server.state.value,
        learned=learned,
        health=server.health,
        known=server.known,
        fresh=server.fresh,
        misses=server.misses,
        errors=server.errors,
        failed=server.failed,
        answers=server.answers,
        trial_at=server.trial_at,
        full_until=server.full_until,
        strain=server.strain,
        strain_at=server.strain_at,
        limit=server.limit,
        cut_at=server.cut_at,
        delay=server.delay,
        dealt=copy_sum(server.dealt),
        drops=copy_sum(server.drops),
    )


def copy_sums(balancer: Balancer) -> SumsRecord:
    """The balancer's own sums."""
    return SumsRecord(*(copy_sum(getattr(balancer, name)) for name in SUM_ATTRIBUTES.values()))


def observations(server: Server) -> tuple[object, ...]:
    """Changes whenever something is heard of the server, and not when time passes.

    Without it a loop of restarts would write old knowledge anew as if it had just been learned.
    """
    return (
        server.health,
        server.known,
        server.fresh,
        server.misses,
        server.errors,
        server.failed,
        server.answers,
        server.strain_at,
        server.cut_at,
        server.full_until,
        server.next_probe,
        server.since,
        server.state,
    )
