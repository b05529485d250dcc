"""The endpoint list: its changes, and what each list agent knows of them. No I/O, no clock."""

from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from cypresswalk.lab.experiment import Experiment
from cypresswalk.lab.servers import ServerState, SimulatedServer
from cypresswalk.lab.units import MILLISECOND


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A server's entry in the list.

    Attributes:
        server: Its name.
        state: Its state as the list has it.
        started_ms: Its start in milliseconds of wall time; 0 if it was long ago.
    """

    server: str
    state: ServerState
    started_ms: int


class WatchAnswer(NamedTuple):
    """What a list agent answers to a watch.

    Attributes:
        complete: Whether it is the complete list rather than changes alone.
        endpoints: The entries.
        version: The version that the watcher knows with them.
    """

    complete: bool
    endpoints: list[Endpoint]
    version: int


class EndpointList:
    """All changes in order; the list's version is their number."""

    def __init__(self) -> None:
        """Start at version 0, empty."""
        self.changes: list[Endpoint] = []

    def add(self, server: str, state: ServerState, started_ms: int) -> int:
        """Add a change and return the version that it makes."""
        self.changes.append(Endpoint(server, state, started_ms))
        return len(self.changes)

    def changes_between(self, since: int, until: int) -> list[Endpoint]:
        """Return the latest entry of each server that changed after `since`, up to `until`."""
        latest: dict[str, Endpoint] = {}
        for endpoint in self.changes[max(since, 0) : until]:
            # Taken out first, so that the order is that of the latest changes.
            latest.pop(endpoint.server, None)
            latest[endpoint.server] = endpoint
        return list(latest.values())

    def complete(self, version: int) -> list[Endpoint]:
        """Return all entries of a version but those of terminated servers."""
        return [
            endpoint
            for endpoint in self.changes_between(0, version)
            if endpoint.state is not ServerState.TERMINATED
        ]


class ListAgent:
    """What one address of the list service knows: all changes up to a version that arrives late.

    A new address may begin further back, with an older version.
    """

    def __init__(self, listing: EndpointList, experiment: Experiment, random: Random, version: int):
        """Start with the list at a version; delays are drawn from `random`."""
        self.listing = listing
        self.random = random
        self.delay_ms = experiment.list_service.delay_ms
        self.version = version
        self.silent = False

    def next_delay(self) -> int:
        """Draw how late the next change arrives, in nanoseconds."""
        return int(self.random.uniform(*self.delay_ms) * MILLISECOND)

    def learn(self, version: int) -> bool:
        """Take a version that arrived, and return whether it is newer than the one known.

        Changes can arrive out of order; the later one includes all before it.
        """
        if version <= self.version:
            return False
        self.version = version
        return True

    def answer(self, since: int) -> WatchAnswer:
        """Answer a watch from a version on.

        Since 0, or since a version that this agent has not reached, it is the complete list.
        """
        if since <= 0 or since > self.version:
            return WatchAnswer(True, self.listing.complete(self.version), self.version)
        changes = self.listing.changes_between(since, self.version)
        return WatchAnswer(False, changes, self.version)


def initial_list(servers: list[SimulatedServer]) -> EndpointList:
    """Return the list of the servers that run; those to be added later are not on it yet."""
    listing = EndpointList()
    for server in servers:
        if server.running:
            listing.add(server.name, ServerState.IN_SERVICE, 0)
    return listing
