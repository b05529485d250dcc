"""Whether members still went out after a halt was agreed."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cypresswalk.lab.cluster.checkers.linearizability import NEVER
from cypresswalk.lab.cluster.checkers.unavailability import Departure
from cypresswalk.lab.units import MILLISECOND, SECOND
from cypresswalk.rollout.change_agent import MAX_GRANT_AGE

# From a halt's yes until no agent may begin to stop its member: the age of a turn that it was
# granted, and a margin.
MAX_HALT_DELAY = int(MAX_GRANT_AGE * SECOND) + 100 * MILLISECOND


class Halt(NamedTuple):
    """A halt: when it was asked for, and when its caller read that it was agreed."""

    requested_at: int
    agreed_at: int


class HaltReport(NamedTuple):
    """The longest time from an agreed halt to a departure, nanoseconds; what came too late."""

    longest: int
    violations: list[str]


def check_halts(
    departures: Iterable[Departure | tuple[int, str, str]],
    halts: Iterable[Halt | tuple[int, int]],
    resumes: Sequence[int],
    rollbacks: Sequence[int],
    slack: int,
) -> HaltReport:
    """Find members that went out after a halt all the same.

    Args:
        departures: of members.
        halts: that were agreed.
        resumes: when each was asked for; one after a halt may have ended it.
        rollbacks: when each was asked for; a release may be rolled back while halted.
        slack: nanoseconds after the agreement within which a departure is allowed.
    """
    longest = 0
    violations = []
    going = list(departures)
    for requested_at, agreed_at in halts:
        until = min((at for at in resumes if at > requested_at), default=NEVER)
        for at, name, cause in going:
            on_way_back = cause != "drain" and any(when < at for when in rollbacks)
            if not agreed_at < at < until or on_way_back:
                continue
            longest = max(longest, at - agreed_at)
            if at > agreed_at + slack:
                late = (at - agreed_at) / SECOND
                violations.append(f"{name} went out ({cause}) {late:.2f} s after a yes to a halt")
    return HaltReport(longest, violations)
