"""Whether more members were out at once than the bound allows."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from cypresswalk.lab.units import SECOND

# After so long whoever leads must know of a lost member: last report, an election, a read's age.
DETECTION_TIME = 8 * SECOND


@dataclass(frozen=True, slots=True)
class Outage:
    """A span in which a balancer or server was out.

    Attributes:
        name: of the member.
        begin: nanoseconds.
        end: nanoseconds.
        cause: "changed" or "drained" by the program's own doing, or "lost".
    """

    name: str
    begin: int
    end: int
    cause: str


class Departure(NamedTuple):
    """A member that was told to go out: when, who, and whether by a "release" or a "drain"."""

    at: int
    name: str
    cause: str


class UnavailabilityReport(NamedTuple):
    """How many were out at most, and what broke the bound.

    Attributes:
        max_planned: by the program's own doing.
        max_total: with those that were lost.
        violations: a line for each.
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
    """Hold outages against a bound on members out at once.

    Args:
        planned: outages by the program's own doing.
        lost: spans in which a member answered nobody.
        departures: in order of time.
        bound: how many may be out at once.
        rollbacks: when each was asked for.
        slack: nanoseconds by which an outage's end may be seen late, so that two that follow each
            other seem to overlap.
    """
    max_planned = max_total = 0
    violations = []
    for at in sorted({outage.begin for outage in [*planned, *lost]}):
        out = _names_out(planned, at, slack)
        max_planned = max(max_planned, len(out))
        max_total = max(max_total, len(out | _names_out(lost, at, slack)))
        if len(out) > bound:
            violations.append(
                f"{', '.join(sorted(out))} are out at once by the program's doing, {bound} may be"
            )
    for departure in [Departure(*departure) for departure in departures]:
        away = _known_lost(lost, departure, slack)
        others = _departed_before(departure, departures, planned, slack) | away
        if not away or _heals(departure, lost, rollbacks):
            continue
        if len(others | {departure.name}) > bound:
            violations.append(
                f"{departure.name} went out ({departure.cause}) while {', '.join(sorted(others))} "
                f"were out or lost, {bound} may be"
            )
    return UnavailabilityReport(max_planned, max_total, list(dict.fromkeys(violations)))


def _names_out(outages: Iterable[Outage], at: int, slack: int) -> set[str]:
    return {outage.name for outage in outages if outage.begin <= at < outage.end - slack}


def _known_lost(lost: Iterable[Outage], departure: Departure, slack: int) -> set[str]:
    """Return others that were lost for so long that whoever leads must have known."""
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
    """Return others that had been told to go and are out still.

    Being changed without having been told to go is out to nobody; drained is.
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


def _heals(departure: Departure, lost: Iterable[Outage], rollbacks: Iterable[int]) -> bool:
    """Return whether a roll-back changes a member that was lost itself."""
    return any(at < departure.at for at in rollbacks) and any(
        outage.name == departure.name
        and outage.begin < departure.at
        and outage.end > departure.at - DETECTION_TIME
        for outage in lost
    )
