"""Checker that no member is taken out after a halt was agreed."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cypresswalk.lab.cluster.checkers.linearizability import NEVER
from cypresswalk.lab.cluster.checkers.unavailability import Departure
from cypresswalk.lab.units import MILLISECOND, SECOND
from cypresswalk.rollout.change_agent import MAX_GRANT_AGE

# Longest time from a halt's confirmation until an agent begins to stop its member: the maximum age
# of a grant on which an agent acts, plus a margin.
MAX_HALT_DELAY = int(MAX_GRANT_AGE * SECOND) + 100 * MILLISECOND


class Halt(NamedTuple):
    """A halt: when it was requested, and when its caller got the confirmation."""

    requested_at: int
    agreed_at: int


class HaltReport(NamedTuple):
    """The longest time from an agreed halt to a departure, nanoseconds, and the violations."""

    longest: int
    violations: list[str]


def check_halts(
    departures: Iterable[Departure | tuple[int, str, str]],
    halts: Iterable[Halt | tuple[int, int]],
    resumes: Sequence[int],
    rollbacks: Sequence[int],
    slack: int,
) -> HaltReport:
    """Find members that went out despite a halt.

    Args:
        departures: departures of members.
        halts: agreed halts.
        resumes: when each resume was requested; one after a halt may have ended it.
        rollbacks: when each was requested; a release may be rolled back while halted.
        slack: time after the agreement in which a departure is allowed, nanoseconds.
    """
    longest = 0
    violations = []
    departed = list(departures)
    for requested_at, agreed_at in halts:
        until = min((at for at in resumes if at > requested_at), default=NEVER)
        for at, name, cause in departed:
            is_rollback = cause != "drain" and any(when < at for when in rollbacks)
            if not agreed_at < at < until or is_rollback:
                continue
            longest = max(longest, at - agreed_at)
            if at > agreed_at + slack:
                late = (at - agreed_at) / SECOND
                violations.append(f"{name} went out ({cause}) {late:.2f} s after a confirmed halt")
    return HaltReport(longest, violations)
