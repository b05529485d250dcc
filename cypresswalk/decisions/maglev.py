"""Maglev lookup tables (Eisenbud et al., NSDI 2016, section 3.4), with weights."""

from collections.abc import Iterator
from itertools import chain, islice

from cypresswalk.decisions.hashing import hash64
from cypresswalk.model import Server

TABLE_SIZE = 1021  # prime; each of seventy servers gets 14 or 15 slots: even to 7%
PLACES = 3  # servers of a group: its slot's and the next two of the table
MAX_CACHED_WALKS = 256  # of 1021 slots: with two hundred servers half a megabyte

Table = list[Server]


def slot_of(key: int) -> int:
    """Return the key's slot in every table."""
    return hash64(key) % TABLE_SIZE


class _Turn:
    """A server's permutation of the slots, and how far it has come."""

    __slots__ = ("server", "slot", "skip", "share", "credit")

    def __init__(self, server: Server, top_weight: float):
        """Derive offset and skip from two hashes of the id."""
        digest = hash64(server.id)
        self.server = server
        self.slot = (digest & (1 << 64) - 1) % TABLE_SIZE
        self.skip = 1 + (digest >> 64) % (TABLE_SIZE - 1)
        self.share = server.weight / top_weight
        self.credit = 0.0


def build_table(servers: list[Server]) -> Table:
    """Fill a table: each server in turn takes its next free slot, as often as its weight asks."""
    table: list[Server | None] = [None] * TABLE_SIZE
    top_weight = max(server.weight for server in servers)
    turns = [_Turn(server, top_weight) for server in sorted(servers, key=lambda server: server.id)]
    free = TABLE_SIZE
    while True:
        for turn in turns:
            turn.credit += turn.share
            if turn.credit < 1:
                continue
            turn.credit -= 1
            while table[turn.slot] is not None:
                turn.slot = (turn.slot + turn.skip) % TABLE_SIZE
            table[turn.slot] = turn.server
            free -= 1
            if not free:
                return [server for server in table if server is not None]


class Walks:
    """Orders of servers from a slot on, kept while the tables stay the same."""

    def __init__(self) -> None:
        """Begin with no order known."""
        self._orders: dict[tuple[int, int], list[Server]] = {}

    def clear(self) -> None:
        """Forget all; the tables have changed."""
        self._orders.clear()

    def from_key(self, table: Table, key: int) -> Iterator[Server]:
        """Yield the servers in the order in which the table names them from the key's slot on."""
        slot = slot_of(key)
        order = self._orders.get((id(table), slot))
        first: list[Server] = []
        if order is None:
            for server in chain(table[slot:], table[:slot]):
                if server not in first:
                    first.append(server)
                    yield server
                    if len(first) > PLACES:
                        break
            # Few walks go further. All are asked for again while no server admits anything: that
            # order is made up once.
            if len(self._orders) >= MAX_CACHED_WALKS:
                self._orders.clear()
            order = list(dict.fromkeys(chain(table[slot:], table[:slot])))
            self._orders[id(table), slot] = order
        yield from islice(order, len(first), None)
