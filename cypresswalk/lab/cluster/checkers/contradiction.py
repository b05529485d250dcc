"""Checker of how long balancers acted on a version that contradicts an agreed one."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from cypresswalk.lab.cluster.checkers.linearizability import NEVER
from cypresswalk.lab.units import SECOND


@dataclass(frozen=True, slots=True)
class Removal:
    """The removal of a server from rotation in the whole fleet.

    Attributes:
        server: name of the server.
        requested_at: when the call was made.
        agreed_at: when the caller got the answer that it was agreed.
        settled_at: when the fleet confirmed that no balancer sends to the server any more.
        returned_at: when the server's return to rotation was requested.
    """

    server: str
    requested_at: int
    agreed_at: int
    settled_at: int = NEVER
    returned_at: int = NEVER


class Attempt(NamedTuple):
    """A new connection to a server, and the balancer that opened it."""

    at: int
    server: str
    balancer: str


class ContradictionReport(NamedTuple):
    """The longest time from an agreed removal to an attempt, nanoseconds, and the violations."""

    longest: int
    violations: list[str]


def contradictions(
    removals: Iterable[Removal],
    attempts: Sequence[Attempt | tuple[int, str, str]],
    max_contradiction: int,
    slack: int,
) -> ContradictionReport:
    """Find attempts at servers after the fleet had agreed to take them out of rotation.

    Args:
        removals: all removals of servers.
        attempts: connections to all servers.
        max_contradiction: time after the agreement in which attempts are allowed, nanoseconds.
        slack: tolerance added to each limit, nanoseconds.
    """
    longest = 0
    violations = []
    for removal in removals:
        for at, server, balancer in attempts:
            if server != removal.server or not removal.agreed_at < at < removal.returned_at:
                continue
            delay = at - removal.agreed_at
            longest = max(longest, delay)
            sent = f"{balancer} sent to {server}"
            if delay > max_contradiction + slack:
                violations.append(f"{sent} {delay / SECOND:.3f} s after its removal was agreed")
            if at > removal.settled_at + slack:
                late = (at - removal.settled_at) / SECOND
                violations.append(
                    f"{sent} {late:.3f} s after its removal was confirmed for all balancers"
                )
    return ContradictionReport(longest, violations)


def lost_removals(removals: Iterable[Removal], out_of_rotation: set[str]) -> list[str]:
    """Find agreed removals that the fleet has lost although no return was requested."""
    return [
        f"{removal.server} was taken out with a confirmation but is not out at the end"
        for removal in removals
        if removal.returned_at == NEVER and removal.server not in out_of_rotation
    ]
