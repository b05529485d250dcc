"""For how long balancers acted on a version that contradicts an agreed one."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from cypresswalk.lab.cluster.checkers.linearizability import NEVER
from cypresswalk.lab.units import SECOND


@dataclass(frozen=True, slots=True)
class Removal:
    """A server that was taken out of rotation for the whole fleet.

    Attributes:
        server: its name.
        requested_at: when the call was made.
        agreed_at: when its caller read that it was agreed.
        settled_at: when it was said that no balancer sends there any more.
        returned_at: when the server's return was asked for.
    """

    server: str
    requested_at: int
    agreed_at: int
    settled_at: int = NEVER
    returned_at: int = NEVER


class Attempt(NamedTuple):
    """A new connection at a server, and the balancer that made it."""

    at: int
    server: str
    balancer: str


class ContradictionReport(NamedTuple):
    """The longest time from an agreed removal to an attempt, nanoseconds; what came too late."""

    longest: int
    violations: list[str]


def contradictions(
    removals: Iterable[Removal],
    attempts: Sequence[Attempt | tuple[int, str, str]],
    max_contradiction: int,
    slack: int,
) -> ContradictionReport:
    """Find attempts at servers that the fleet had agreed are out of rotation.

    Args:
        removals: with the span that each lasted.
        attempts: at all servers.
        max_contradiction: nanoseconds after the agreement within which some are allowed.
        slack: nanoseconds granted beyond each limit.
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
                violations.append(
                    f"{sent} {delay / SECOND:.3f} s after all had agreed that it is out"
                )
            if at > removal.settled_at + slack:
                late = (at - removal.settled_at) / SECOND
                violations.append(f"{sent} {late:.3f} s after the yes for all balancers")
    return ContradictionReport(longest, violations)


def lost_removals(removals: Iterable[Removal], out_of_rotation: set[str]) -> list[str]:
    """Find agreed removals that the fleet no longer knows of, though nobody ended them."""
    return [
        f"{removal.server} was taken out with a yes and is not out at the end"
        for removal in removals
        if removal.returned_at == NEVER and removal.server not in out_of_rotation
    ]
