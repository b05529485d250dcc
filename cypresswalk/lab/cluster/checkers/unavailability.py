"""Checker that no more members were out at once than the bound allows."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from cypresswalk.lab.units import SECOND

# Time after which any leader must know of a lost member: age of its last report, an election and a
# read's age.
DETECTION_TIME = 8 * SECOND


@dataclass(frozen=True, slots=True)
class Outage:
    """A span in which a balancer or server was out or lost.

    Attributes:
        name: name of the member.
        begin: when it began, nanoseconds.
        end: when it ended, nanoseconds.
        cause: "changed" or "drained" if planned, or "lost".
    """

    name: str
    begin: int
    end: int
    cause: str


class Departure(NamedTuple):
    """A request to take a member out: time, member, and cause ("release" or "drain")."""

    at: int
    name: str
    cause: str


class UnavailabilityReport(NamedTuple):
    """The most members out at once, and the violations of the bound.

    Attributes:
        max_planned: most members in planned outages at once.
        max_total: most members out or lost at once.
        violations: a line for each violation.
    """

    max_planned: int
    max_total: int
    violations: list[str]


def check_unavailability(
    planned: Sequence[Outage],
    lost: Sequence[Outage],
    departures: Sequence[Departure | tuple[int, str, str]],
    bound: int,
    rollbacks: Sequence[int],
    slack: int,
) -> UnavailabilityReport:
    """Check outages against a bound on members out at once.

    Args:
        planned: outages by releases and drains.
        lost: spans in which a member answered no request, by a fault.
        departures: requests to take members out, in order of time.
        bound: number of members that may be out at once.
        rollbacks: when each rollback was requested.
        slack: delay with which an outage's end may be observed, nanoseconds; it can make
            consecutive outages seem to overlap.
    """
    max_planned = max_total = 0
    violations = []
    for at in sorted({outage.begin for outage in [*planned, *lost]}):
        out = _names_out(planned, at, slack)
        max_planned = max(max_planned, len(out))
        max_total = max(max_total, len(out | _names_out(lost, at, slack)))
        if len(out) > bound:
            violations.append(
                f"{', '.join(sorted(out))} are out at once by releases or drains, "
                f"at most {bound} may be out"
            )
    for departure in [Departure(*departure) for departure in departures]:
        lost_others = _known_lost_others(lost, departure, slack)
        others = _departed_before(departure, departures, planned, slack) | lost_others
        if not lost_others or _rolls_back_lost_member(departure, lost, rollbacks):
            continue
        if len(others | {departure.name}) > bound:
            violations.append(
                f"{departure.name} went out ({departure.cause}) while {', '.join(sorted(others))} "
                f"were out or lost, at most {bound} may be out"
            )
    return UnavailabilityReport(max_planned, max_total, list(dict.fromkeys(violations)))


def _names_out(outages: Iterable[Outage], at: int, slack: int) -> set[str]:
    return {outage.name for outage in outages if outage.begin <= at < outage.end - slack}


def _known_lost_others(lost: Iterable[Outage], departure: Departure, slack: int) -> set[str]:
    """Return other members lost for so long that any leader must have known."""
    known = {
        outage.name
        for outage in lost
        if outage.begin < departure.at - DETECTION_TIME and outage.end > departure.at + slack
    }
    return known - {departure.name}


def _departed_before(
    departure: Departure,
    departures: Iterable[Departure | tuple[int, str, str]],
    planned: Sequence[Outage],
    slack: int,
) -> set[str]:
    """Return other members that were asked to go out earlier and are still out.

    A planned outage counts here only if a departure falls into it.
    """
    return {
        name
        for when, name, _ in departures
        if when < departure.at
        and name != departure.name
        and any(
            outage.name == name and outage.begin <= when <= departure.at < outage.end - slack
            for outage in planned
        )
    }


def _rolls_back_lost_member(
    departure: Departure, lost: Iterable[Outage], rollbacks: Iterable[int]
) -> bool:
    """Return whether a rollback takes out a member that was itself lost."""
    return any(at < departure.at for at in rollbacks) and any(
        outage.name == departure.name
        and outage.begin < departure.at
        and outage.end > departure.at - DETECTION_TIME
        for outage in lost
    )
