"""Maglev lookup tables (Eisenbud et al., NSDI 2016, section 3.4), with weights."""

from collections.abc import Iterator
from itertools import chain, islice

from cypresswalk.decisions.hashing import hash_number
from cypresswalk.model import Server

TABLE_SIZE = 1021  # prime; each of seventy servers gets 14 or 15 slots, equal within 7%
PREFERENCE_LIST_SIZE = 3  # servers for a group: the owner of its slot and the next two
MAX_CACHED_WALKS = 256  # of 1021 slots; half a megabyte with two hundred servers

Table = list[Server]


def slot_of(key: int) -> int:
    """Return the key's slot in every table."""
    return hash_number(key) % TABLE_SIZE


class _Permutation:
    """A server's permutation of the slots and the current position in it.

    Attributes:
        server: the server.
        slot: the current slot of the permutation.
        skip: the distance from one slot of the permutation to the next.
        share: the server's weight as a fraction of the highest weight.
        credit: the sum of `share` over the rounds so far, minus the slots taken.
    """

    __slots__ = ("server", "slot", "skip", "share", "credit")

    def __init__(self, server: Server, top_weight: float):
        """Derive offset and skip from the two halves of a hash of the id."""
        digest = hash_number(server.id)
        self.server = server
        self.slot = (digest & (1 << 64) - 1) % TABLE_SIZE
        self.skip = 1 + (digest >> 64) % (TABLE_SIZE - 1)
        self.share = server.weight / top_weight
        self.credit = 0.0


def build_table(servers: list[Server]) -> Table:
    """Build a table: servers take turns at their next free slot, as often as their weight says."""
    table: list[Server | None] = [None] * TABLE_SIZE
    top_weight = max(server.weight for server in servers)
    permutations = [
        _Permutation(server, top_weight) for server in sorted(servers, key=lambda server: server.id)
    ]
    free = TABLE_SIZE
    while True:
        for permutation in permutations:
            permutation.credit += permutation.share
            if permutation.credit < 1:
                continue
            permutation.credit -= 1
            while table[permutation.slot] is not None:
                permutation.slot = (permutation.slot + permutation.skip) % TABLE_SIZE
            table[permutation.slot] = permutation.server
            free -= 1
            if not free:
                return [server for server in table if server is not None]


class WalkCache:
    """The orders of servers from a slot on, cached until the tables change."""

    def __init__(self) -> None:
        """Start with an empty cache."""
        self._orders: dict[tuple[int, int], list[Server]] = {}

    def clear(self) -> None:
        """Clear the cache, because the tables have changed."""
        self._orders.clear()

    def from_key(self, table: Table, key: int) -> Iterator[Server]:
        """Yield the servers in the order of their first slots from the key's slot on."""
        slot = slot_of(key)
        order = self._orders.get((id(table), slot))
        first: list[Server] = []
        if order is None:
            for server in chain(table[slot:], table[:slot]):
                if server not in first:
                    first.append(server)
                    yield server
                    if len(first) > PREFERENCE_LIST_SIZE:
                        break
            # Few walks go further than this. While no server admits anything, the same walks are
            # repeated in full, so the complete order is computed once and cached.
            if len(self._orders) >= MAX_CACHED_WALKS:
                self._orders.clear()
            order = list(dict.fromkeys(chain(table[slot:], table[:slot])))
            self._orders[id(table), slot] = order
        yield from islice(order, len(first), None)
