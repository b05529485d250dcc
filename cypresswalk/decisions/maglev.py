"""Maglev lookup tables (Eisenbud et al., NSDI 2016, section 3.4), with weights."""

from collections.abc import Iterator
from functools import lru_cache
from itertools import chain, islice
from operator import attrgetter

from cypresswalk.decisions.hashing import hash_number
from cypresswalk.model import Server

TABLE_SIZE = 1021  # prime; each of seventy servers gets 14 or 15 slots, equal within 7%
PREFERENCE_LIST_SIZE = 3  # servers for a group: the owner of its slot and the next two
MAX_CACHED_PERMUTATIONS = 8192  # more than a list can name
MAX_CACHED_WALKS = 256  # of 1021 slots; half a megabyte with two hundred servers

Table = list[Server]


def slot_of(key: int) -> int:
    """Return the key's slot in every table."""
    return hash_number(key) % TABLE_SIZE


@lru_cache(MAX_CACHED_PERMUTATIONS)
def _offset_and_skip(server_id: int) -> tuple[int, int]:
    digest = hash_number(server_id)
    return (digest & (1 << 64) - 1) % TABLE_SIZE, 1 + (digest >> 64) % (TABLE_SIZE - 1)


def build_table(servers: list[Server]) -> Table:
    """Build a table: servers take turns at their next free slot, as often as their weight says."""
    table: list[Server | None] = [None] * TABLE_SIZE
    ordered = sorted(servers, key=attrgetter("id"))
    top_weight = max(server.weight for server in servers)
    shares = [server.weight / top_weight for server in ordered]
    positions = [_offset_and_skip(server.id) for server in ordered]
    credits = [0.0] * len(ordered)  # the sum of shares over the rounds so far, less slots taken
    free = TABLE_SIZE
    while True:
        for index, share in enumerate(shares):
            credit = credits[index] + share
            if credit < 1:
                credits[index] = credit
                continue
            credits[index] = credit - 1
            slot, skip = positions[index]
            if table[slot] is not None:
                while table[slot] is not None:
                    slot = (slot + skip) % TABLE_SIZE
                positions[index] = (slot, skip)
            table[slot] = ordered[index]
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
