"""The list of servers: what has changed, and what each balancer's agent knows of it by when. No I/O, no clock."""

from dataclasses import dataclass
from random import Random

from cypresswalk.lab.experiment import Experiment
from cypresswalk.lab.world import MILLISECOND, Life, Server


@dataclass(frozen=True, slots=True)
class Entry:
    server: str
    life: Life
    started_ms: int  # wall time, as the platform's list tells it; 0: long ago


class Listing:
    """All that changed, in order: the version is the number of changes."""

    def __init__(self) -> None:
        self.changes: list[Entry] = []

    def change(self, server: str, life: Life, started_ms: int) -> int:
        self.changes.append(Entry(server, life, started_ms))
        return len(self.changes)

    def between(self, since: int, until: int) -> list[Entry]:
        """The latest word on each server that changed after one version and up to another."""
        latest: dict[str, Entry] = {}
        for entry in self.changes[max(since, 0) : until]:
            latest.pop(entry.server, None)
            latest[entry.server] = entry
        return list(latest.values())

    def whole(self, until: int) -> list[Entry]:
        return [entry for entry in self.between(0, until) if entry.life is not Life.GONE]


class Agent:
    """What one address of the list service knows: all changes up to a version that arrives late. One with a start of
    its own may begin further back: an older list at a new address."""

    def __init__(self, listing: Listing, experiment: Experiment, chance: Random, version: int):
        self.listing, self.chance, self.late = listing, chance, experiment.list_service.delay_ms
        self.version = version
        self.silent = False

    def lateness(self) -> int:
        """Of the next change."""
        return int(self.chance.uniform(*self.late) * MILLISECOND)

    def learn(self, version: int) -> bool:
        """Whether that was news. Changes can arrive in another order than they were made: the later holds them all."""
        if version <= self.version:
            return False
        self.version = version
        return True

    def answer(self, since: int) -> tuple[bool, list[Entry], int]:
        """For a watch from that version on: whether it is the whole list, the entries, the version. Since 0, or a version
        that this agent has not reached, the whole list."""
        if since <= 0 or since > self.version:
            return True, self.listing.whole(self.version), self.version
        return False, self.listing.between(since, self.version), self.version


def first_list(servers: list[Server]) -> Listing:
    """Those that run; what grows later is not on it yet."""
    listing = Listing()
    for server in servers:
        if server.running:
            listing.change(server.name, Life.SERVING, 0)
    return listing
