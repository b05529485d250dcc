"""The endpoint list, its changes and the list agents that serve it. No I/O, no clock."""

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
        server: The server's name.
        state: The server's state in the list.
        started_ms: The server's start in milliseconds of wall time; 0 if it was long ago.
    """

    server: str
    state: ServerState
    started_ms: int


class WatchAnswer(NamedTuple):
    """A list agent's answer to a watch.

    Attributes:
        complete: Whether it is the complete list rather than only changes.
        endpoints: The entries.
        version: The version of the list that the answer brings the watcher to.
    """

    complete: bool
    endpoints: list[Endpoint]
    version: int


class EndpointList:
    """The list as a sequence of changes; its version is the number of changes."""

    def __init__(self) -> None:
        """Start at version 0, empty."""
        self.changes: list[Endpoint] = []

    def add(self, server: str, state: ServerState, started_ms: int) -> int:
        """Add a change and return the new version."""
        self.changes.append(Endpoint(server, state, started_ms))
        return len(self.changes)

    def changes_between(self, since: int, until: int) -> list[Endpoint]:
        """Return the latest entry of each server that changed after `since`, up to `until`."""
        latest: dict[str, Endpoint] = {}
        for endpoint in self.changes[max(since, 0) : until]:
            # Removed first, so that entries are in the order of their latest changes.
            latest.pop(endpoint.server, None)
            latest[endpoint.server] = endpoint
        return list(latest.values())

    def complete(self, version: int) -> list[Endpoint]:
        """Return all entries of a version except those of terminated servers."""
        return [
            endpoint
            for endpoint in self.changes_between(0, version)
            if endpoint.state is not ServerState.TERMINATED
        ]


class ListAgent:
    """One address of the list service, which has all changes up to a version.

    Changes reach it with a delay. The agent at a new address may start with an older version.
    """

    def __init__(
        self, endpoint_list: EndpointList, experiment: Experiment, random: Random, version: int
    ):
        """Start at a version of the list; delays are drawn from `random`."""
        self.endpoint_list = endpoint_list
        self.random = random
        self.delay_ms = experiment.list_service.delay_ms
        self.version = version
        self.silent = False

    def next_delay(self) -> int:
        """Draw the delay of the next change, in nanoseconds."""
        return int(self.random.uniform(*self.delay_ms) * MILLISECOND)

    def receive(self, version: int) -> bool:
        """Take over a version that arrived; return whether it is newer than the current one.

        Changes can arrive out of order; a later version includes all earlier changes.
        """
        if version <= self.version:
            return False
        self.version = version
        return True

    def answer(self, since: int) -> WatchAnswer:
        """Answer a watch for changes after version `since`.

        If `since` is 0 or a version that this agent has not reached, answer the complete list.
        """
        if since <= 0 or since > self.version:
            return WatchAnswer(True, self.endpoint_list.complete(self.version), self.version)
        changes = self.endpoint_list.changes_between(since, self.version)
        return WatchAnswer(False, changes, self.version)


def initial_list(servers: list[SimulatedServer]) -> EndpointList:
    """Return the list of the running servers, without those that are added later."""
    endpoint_list = EndpointList()
    for server in servers:
        if server.running:
            endpoint_list.add(server.name, ServerState.IN_SERVICE, 0)
    return endpoint_list
