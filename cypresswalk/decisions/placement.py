"""Placement: which server a flow goes to.

The servers that are up stand in Maglev tables, one a pool, the nearest pool first. A flow walks a
table from its key's slot and stops at the first server that will do. A group has three places, its
slot's and the next two: copies of it elsewhere would ask the group's own work again.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import chain, islice

from cypresswalk.decisions.admission import Admission
from cypresswalk.decisions.balance import is_over_mean
from cypresswalk.decisions.health import is_up
from cypresswalk.decisions.load import misses_objective
from cypresswalk.decisions.maglev import PLACES, Table, Walks, build_table, slot_of
from cypresswalk.decisions.retries import in_idempotency_scope
from cypresswalk.decisions.slow_start import SlowStart
from cypresswalk.decisions.warm_up import WarmUp
from cypresswalk.model import Flow, Server, ServerState, Settings

MIN_CROSSING_PRICE = 0.03  # points: below it keeping groups whole across zones pays more


@dataclass(slots=True)
class Pool:
    """The servers of one pool and their lookup table."""

    table: Table
    servers: list[Server]


class Placement:
    """Keeps the pools and picks servers from them.

    Args:
        settings: of the deployment.
        servers: all that the list has named, by id.
        admission: which servers may be sent a flow.
        warm_up: which servers warm up.
        slow_start: fills servers that warm up, rather than that a flow is rejected.
    """

    def __init__(
        self,
        settings: Settings,
        servers: dict[int, Server],
        admission: Admission,
        warm_up: WarmUp,
        slow_start: SlowStart,
    ):
        """Begin with no pool; the first use builds them."""
        self.settings = settings
        self.stale = True  # the servers, or which of them are up, may have changed
        self._servers = servers
        self._admission = admission
        self._warm_up = warm_up
        self._slow_start = slow_start
        self._pools: list[Pool] = []
        self._members: list[tuple[int, int, float]] = []
        self._walks = Walks()

    def pools(self) -> list[Pool]:
        """Return the pools, the nearest first.

        Without a server that is up all listed ready ones serve: health checks that all time out
        must never empty the table.
        """
        if self.stale:
            self.stale = False
            self._rebuild()
        return self._pools

    def _rebuild(self) -> None:
        ready = [
            server
            for server in self._servers.values()
            if server.state is ServerState.READY and not server.out_of_rotation
        ]
        up = [server for server in ready if is_up(server)] or ready
        # Lists come in parts and mostly repeat what is known: tables are built when they would
        # differ.
        members = [(server.id, server.zone, server.weight) for server in up]
        if members == self._members:
            return
        self._members = members
        groups = [up]
        zone = self.settings.zone
        if self.settings.zone_crossing_price >= MIN_CROSSING_PRICE:
            groups = [
                [server for server in up if (server.zone == zone) is near] for near in (True, False)
            ]
        self._pools = [Pool(build_table(group), group) for group in groups if group]
        self._walks.clear()

    def walk(self, pool: Pool, key: int) -> Iterator[Server]:
        """Yield the pool's servers in the order of its table from the key's slot on."""
        return self._walks.from_key(pool.table, key)

    def nearest_places(self, key: int) -> list[Server]:
        """Return the key's places in the nearest pool."""
        return [
            server for pool in self.pools()[:1] for server in islice(self.walk(pool, key), PLACES)
        ]

    def all_places_miss_objective(self, now: int, key: int) -> bool:
        """Return whether all places of a key miss their objective.

        Where the nearest pool has fewer servers than places the next one's count.
        """
        walked = chain.from_iterable(self.walk(pool, key) for pool in self.pools())
        return all(misses_objective(now, server) for server in islice(walked, PLACES))

    def is_placeable(self, server: Server) -> bool:
        """Return whether the server stands in any pool."""
        return any(server in pool.servers for pool in self.pools())

    def homes(self, key: int) -> list[Server]:
        """Return the server at the key's slot, of each pool."""
        return [pool.table[slot_of(key)] for pool in self.pools()]

    def pick(self, now: int, flow: Flow) -> Server | None:
        """Return the server for the flow, or None where none has capacity.

        A server that an operator has just returned to rotation comes first, since few keys are its
        own while it warms up. Then, pool by pool: the key's slot, where its group stands from here,
        and the servers after the slot.
        """
        owed = self._pick_owed(now, flow)
        if owed is not None:
            return owed
        last_resort = None
        for pool in self.pools():
            preferred, fallback = self._pick_from(now, flow, pool, last_resort is not None)
            if preferred is not None:
                return preferred
            last_resort = last_resort or fallback
        if last_resort is not None:
            return last_resort
        walked = (server for pool in self.pools() for server in self.walk(pool, flow.key))
        return self._slow_start.fill(now, flow, walked)

    def _pick_owed(self, now: int, flow: Flow) -> Server | None:
        for pool in self.pools():
            for server in pool.servers:
                if server.owed_first_flow and self._may_take(now, server, flow, at_home=True):
                    return server
        return None

    def _may_take(self, now: int, server: Server, flow: Flow, at_home: bool) -> bool:
        return (
            server not in flow.attempts
            and in_idempotency_scope(flow, server)
            and self._admission.has_capacity(now, server, flow, at_home)
            and self._admission.is_preferred(now, server, flow, at_home)
        )

    def _pick_from(
        self, now: int, flow: Flow, pool: Pool, has_last_resort: bool
    ) -> tuple[Server | None, Server | None]:
        """Pick from one pool.

        Returns:
            The server that should take the flow, if any; and the first that has capacity for it. A
            server over the mean is still sound: that alone is no reason to go to another pool.
        """
        home = pool.table[slot_of(flow.key)]
        over_mean: Server | None = None
        fallback: Server | None = None
        group_stands = (
            [server for server in pool.servers if flow.key in server.group_sizes]
            if flow.grouped
            else []
        )
        candidates = chain([home], group_stands, self.walk(pool, flow.key))
        admission = self._admission
        for place, server in enumerate(candidates, -len(group_stands)):
            if flow.grouped and place > PLACES and (over_mean or fallback or has_last_resort):
                break
            warms_up = self._warm_up.applies(now, server)
            # Being over the mean alone sends nobody to a server that warms up.
            if over_mean and warms_up:
                continue
            at_home = server is home
            if not in_idempotency_scope(flow, server):
                continue
            if not admission.has_capacity(now, server, flow, at_home):
                continue
            if server not in flow.attempts and admission.is_preferred(now, server, flow, at_home):
                if not is_over_mean(now, server, flow, pool.servers):
                    return server, fallback
                over_mean = over_mean or server
            # One that warms up is no last resort: it is overloaded, fails, or was tried.
            if not warms_up:
                fallback = fallback or server
        return over_mean, fallback
