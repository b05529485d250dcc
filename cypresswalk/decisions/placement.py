"""Placement: which server a flow goes to.

Each pool has a Maglev table of its servers that are up; the nearest pool comes first. A flow walks
a table from its key's slot, whose server is called the slot's owner, and takes the first suitable
server. A group is kept to a preference list of three servers, the slot's owner and the next two,
because every further server would have to do the group's own work as well.
"""

from collections.abc import Callable, Iterator
from functools import cached_property
from itertools import chain, islice

from cypresswalk.decisions.admission import Admission
from cypresswalk.decisions.balance import is_over_mean
from cypresswalk.decisions.flow_table import FlowTable
from cypresswalk.decisions.health import is_up
from cypresswalk.decisions.load import misses_objective
from cypresswalk.decisions.maglev import (
    PREFERENCE_LIST_SIZE,
    Table,
    WalkCache,
    build_table,
    slot_of,
)
from cypresswalk.decisions.retries import in_idempotency_scope
from cypresswalk.decisions.slow_start import SlowStart
from cypresswalk.decisions.warm_up import WarmUp
from cypresswalk.model import Flow, Server, ServerState, Settings

MIN_CROSSING_PRICE = 0.03  # points; below it, keeping groups together across zones saves more


class Pool:
    """The servers of one pool and their lookup table.

    Attributes:
        servers: the servers in the order of the list.
        members: the same servers as a set.
    """

    def __init__(self, servers: list[Server]):
        """Keep the servers; they must not be empty."""
        self.servers = servers
        self.members = frozenset(servers)

    @cached_property
    def table(self) -> Table:
        """Return the lookup table, which is built at its first use.

        Few flows go beyond the nearest pool, and while servers join, the pools change at each flow.
        """
        return build_table(self.servers)


class Placement:
    """The pools of servers and the choice of a server from them.

    Args:
        settings: the deployment's settings.
        servers: all servers that the balancer knows, by id.
        flows: all flows that this balancer holds.
        admission: the rule that decides which servers may get a flow.
        warm_up: the warm-up state of the servers.
        slow_start: the rule that offers warming servers to flows that would be rejected.
    """

    def __init__(
        self,
        settings: Settings,
        servers: dict[int, Server],
        flows: FlowTable,
        admission: Admission,
        warm_up: WarmUp,
        slow_start: SlowStart,
    ):
        """Start without pools; the first use builds them."""
        self.settings = settings
        self._stale = True  # the list of servers, or which of them are up, may have changed
        self._changed_at = 0  # time of that change
        self._servers = servers
        self._flows = flows
        self._admission = admission
        self._warm_up = warm_up
        self._slow_start = slow_start
        self._pools: list[Pool] = []
        self._returned: list[Server] = []  # to rotation, without a flow since
        self._members: list[tuple[int, int, float]] = []
        self._walk_cache = WalkCache()
        self._displaced_at: dict[int, int] = {}

    def mark_stale(self, now: int) -> None:
        """Rebuild the pools at their next use: the list, or which servers are up, has changed."""
        self._stale = True
        self._changed_at = now

    def pools(self) -> list[Pool]:
        """Return the pools, the nearest first.

        If no server is up, the pools hold all ready servers of the list: the table must not become
        empty when all health checks time out.
        """
        if self._stale:
            self._stale = False
            self._rebuild()
        return self._pools

    def _rebuild(self) -> None:
        ready = [
            server
            for server in self._servers.values()
            if server.state is ServerState.READY and not server.out_of_rotation
        ]
        up = [server for server in ready if is_up(server)] or ready
        self._returned = [server for server in ready if server.first_flow_pending]
        # List updates mostly repeat known entries; rebuild the tables only if their servers change.
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
        former = self._pools
        self._pools = [Pool(group) for group in groups if group]
        for pool in self._pools[:1]:
            pool.table  # noqa: B018 (built now: a later loss is counted by the slots of this table)
        self._walk_cache.clear()
        self._record_displaced_slots(former)

    def _record_displaced_slots(self, former: list[Pool]) -> None:
        """Record the slots of the nearest pool whose owner was lost.

        A server that drains or was taken out of rotation does not count as lost, because its flows
        leave it one after another.
        """
        for pool in former[:1]:
            removed = pool.members.difference(*(remaining.members for remaining in self._pools))
            lost = {
                owner
                for owner in removed
                if owner.state is not ServerState.DRAINING and not owner.out_of_rotation
            }
            for slot, owner in enumerate(pool.table if lost else []):
                if owner in lost:
                    self._displaced_at[slot] = self._changed_at

    def walk(self, pool: Pool, key: int) -> Iterator[Server]:
        """Yield the pool's servers in the order of its table, starting at the key's slot."""
        return self._walk_cache.from_key(pool.table, key)

    def preference_list(self, key: int) -> list[Server]:
        """Return the first servers of the key's walk through the nearest pool."""
        return [
            server
            for pool in self.pools()[:1]
            for server in islice(self.walk(pool, key), PREFERENCE_LIST_SIZE)
        ]

    def preference_list_misses_objective(self, now: int, key: int) -> bool:
        """Return whether all servers on the key's preference list miss their objective.

        If the nearest pool is smaller than the list, servers of the next pool complete it.
        """
        walked = chain.from_iterable(self.walk(pool, key) for pool in self.pools())
        return all(misses_objective(now, server) for server in islice(walked, PREFERENCE_LIST_SIZE))

    def is_placeable(self, server: Server) -> bool:
        """Return whether the server is in any pool."""
        return any(server in pool.members for pool in self.pools())

    def ownership(self, key: int) -> Callable[[Server], bool]:
        """Return a function that tells whether a server owns the key's slot in its pool now."""
        pools = self.pools()
        slot = slot_of(key)

        def owns_slot(server: Server) -> bool:
            """Return whether the server owned the slot when the function was made."""
            return any(server in pool.members and pool.table[slot] is server for pool in pools)

        return owns_slot

    def displaced_at(self, key: int) -> int | None:
        """Return when the owner of the key's slot was last lost; None if it never was."""
        self.pools()
        return self._displaced_at.get(slot_of(key))

    def pick(self, now: int, flow: Flow) -> Server | None:
        """Return the server for the flow, or None if none has capacity.

        A server that an operator has just returned to rotation comes first: while it warms up, so
        few flows are admitted to it that it might get none. The order in each pool is: the owner of
        the key's slot, the servers that hold flows of the same group, and the servers after the
        slot.
        """
        returned = self._pick_awaiting_first_flow(now, flow)
        if returned is not None:
            return returned
        last_resort = None
        for pool in self.pools():
            preferred, fallback = self._pick_from(now, flow, pool, last_resort is not None)
            if preferred is not None:
                return preferred
            last_resort = last_resort or fallback
        if last_resort is not None:
            return last_resort
        walked = (server for pool in self.pools() for server in self.walk(pool, flow.key))
        return self._slow_start.pick_beyond_budget(now, flow, walked)

    def _pick_awaiting_first_flow(self, now: int, flow: Flow) -> Server | None:
        pools = self.pools()
        if not self._returned:
            return None
        self._returned = [server for server in self._returned if server.first_flow_pending]
        for pool in pools:
            for server in self._returned:
                if server in pool.members and self._may_take(now, server, flow, owns_slot=True):
                    return server
        return None

    def _may_take(self, now: int, server: Server, flow: Flow, owns_slot: bool) -> bool:
        return (
            server not in flow.attempts
            and in_idempotency_scope(flow, server)
            and self._admission.has_capacity(now, server, flow, owns_slot)
            and self._admission.is_preferred(now, server, flow, owns_slot)
        )

    def _group_servers(self, flow: Flow, pool: Pool) -> list[Server]:
        """Return the pool's servers that hold flows of the same group."""
        if not flow.grouped or self._flows.by_key[flow.key] < 2:
            return []
        return [server for server in pool.servers if flow.key in server.group_sizes]

    def _pick_from(
        self, now: int, flow: Flow, pool: Pool, has_last_resort: bool
    ) -> tuple[Server | None, Server | None]:
        """Pick from one pool.

        For a group, the walk ends after its preference list if a server was found by then, here or,
        if `has_last_resort` is set, in a nearer pool.

        Returns:
            The server that should take the flow, or None, and a fallback: the first server that has
            capacity for it, or None. The former may be a server over the mean: it is still sound,
            and being over the mean is no reason to go to another pool.
        """
        owner = pool.table[slot_of(flow.key)]
        over_mean: Server | None = None
        fallback: Server | None = None
        group_servers = self._group_servers(flow, pool)
        candidates = chain([owner], group_servers, self.walk(pool, flow.key))
        admission = self._admission
        for position, server in enumerate(candidates, -len(group_servers)):
            if (
                flow.grouped
                and position > PREFERENCE_LIST_SIZE
                and (over_mean or fallback or has_last_resort)
            ):
                break
            is_warming = self._warm_up.applies(now, server)
            # Don't choose a warming server only because another server is over the mean.
            if over_mean and is_warming:
                continue
            owns_slot = server is owner
            if not in_idempotency_scope(flow, server):
                continue
            if not admission.has_capacity(now, server, flow, owns_slot):
                continue
            if server not in flow.attempts and admission.is_preferred(now, server, flow, owns_slot):
                if not is_over_mean(now, server, flow, pool.servers):
                    return server, fallback
                over_mean = over_mean or server
            # A warming server that gets here is overloaded, failing or was tried before, so it
            # must not be the fallback.
            if not is_warming:
                fallback = fallback or server
        return over_mean, fallback
