"""The bounds on how many balancers or servers may be unavailable at once.

The fleet agrees on them as the settings' table `bounds`:

    "bounds": {"balancers": {"all": 2, "zone": {"share": 0.34, "least": 1}},
               "servers": {"all": {"share": 0.25}}}

A bound is a number, or a share of the members in its scope, rounded down and at least `least` if
that is given. A scope without a bound is not limited.

Replicas compute the texts of this module while they apply a command, so two versions must produce
the same text.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import NotRequired, TypedDict

KINDS = ("balancers", "servers")
ALL, ZONE = SCOPES = ("all", "zone")
MAX_NAMES_LISTED = 8  # in a violation's text
ROUNDING_SLACK = 1e-9  # so that 0.3 of 10 is 3 despite floating-point errors


class ShareBound(TypedDict):
    """A bound given as a share of the members.

    Attributes:
        share: the share of the members in the scope, above 0.0 and at most 1.0.
        least: the lowest number that the bound may come to.
    """

    share: float
    least: NotRequired[int]


Bound = int | ShareBound


@dataclass(frozen=True, slots=True)
class BoundViolation:
    """A bound that one more unavailable member would exceed.

    Attributes:
        unavailable: reasons of the members that are already out, by name, sorted.
        total: number of members in the scope.
        limit: number of them that may be out.
        zone: zone of the scope, or None if the scope is all members.
    """

    unavailable: Mapping[str, str]
    total: int
    limit: int
    zone: str | None

    def __str__(self) -> str:
        """Return the text for operators."""
        where = "" if self.zone is None else f" of zone {self.zone}"
        named = list(self.unavailable.items())[:MAX_NAMES_LISTED]
        listed = ", ".join(f"{name} ({reason})" for name, reason in named)
        if len(self.unavailable) > MAX_NAMES_LISTED:
            listed += ", ..."
        return (
            f"{len(self.unavailable)} of {self.total}{where} are out and {self.limit} may be: "
            f"{listed or 'none'}"
        )


def validation_error(bounds: object) -> str:
    """Return all errors in a `bounds` table in one line, or an empty string."""
    if not isinstance(bounds, dict):
        return "bounds: no table"
    errors = [
        f"bounds.{kind}: unknown; there are {', '.join(KINDS)}"
        for kind in sorted(set(bounds) - set(KINDS))
    ]
    for kind in KINDS:
        errors += scope_errors(kind, bounds.get(kind, {}))
    return "; ".join(errors)


def scope_errors(kind: str, scopes: object) -> list[str]:
    """Return a line for each error in the bounds of balancers or of servers."""
    if not isinstance(scopes, dict):
        return [f"bounds.{kind}: no table"]
    unknown = [
        f"bounds.{kind}.{scope}: unknown; there are {', '.join(SCOPES)}"
        for scope in sorted(set(scopes) - set(SCOPES))
    ]
    invalid = [
        f"bounds.{kind}.{scope}: {error}"
        for scope in SCOPES
        if scope in scopes and (error := bound_error(scopes[scope]))
    ]
    return unknown + invalid


def bound_error(bound: object) -> str:
    """Return what is wrong with one bound, or an empty string."""
    if isinstance(bound, dict):
        return share_error(bound)
    if isinstance(bound, bool) or not isinstance(bound, int) or bound < 1:
        return "a number above 0, or a table of `share` and `least`"
    return ""


def share_error(bound: dict[str, object]) -> str:
    """Return what is wrong with a bound given as a share, or an empty string."""
    share = bound.get("share")
    if (
        set(bound) - {"share", "least"}
        or isinstance(share, bool)
        or not isinstance(share, int | float)
        or not 0 < share <= 1
    ):
        return "a table of `share`, above 0 and no more than 1, and `least`"
    least = bound.get("least", 0)
    if isinstance(least, bool) or not isinstance(least, int) or least < 0:
        return "least: a number, 0 or more"
    return ""


def max_unavailable(bound: Bound, total: int) -> int:
    """Return how many of `total` members may be out at once."""
    if isinstance(bound, dict):
        return max(int(bound["share"] * total + ROUNDING_SLACK), bound.get("least", 0))
    return bound


def find_violation(
    scopes: Mapping[str, Bound],
    zones: Mapping[str, str],
    granted: Mapping[str, str],
    observed: Mapping[str, str],
    candidate: str,
    is_repair: bool = False,
) -> BoundViolation | None:
    """Return the first bound that would be exceeded if `candidate` went out, or None.

    An earlier grant to the candidate makes no difference, since others may have been lost since.

    Args:
        scopes: the bounds, by scope (`all`, `zone`).
        zones: the zone of every member, by name.
        granted: reasons of the members that may be out by a grant, by name.
        observed: reasons of the members that are out for any other cause, by name.
        candidate: the member that is to go out.
        is_repair: whether taking out the candidate repairs it, since it is out without a grant.
            Then only grants count against the bound: the candidate may come back just before it is
            taken out, so it needs a grant of its own, but other members without a grant do not
            block its repair.
    """
    candidate_zone = zones.get(candidate, "")
    unavailable = granted if is_repair else {**observed, **granted}
    same_zone = {name for name, zone in zones.items() if zone == candidate_zone}
    members_by_scope: tuple[tuple[str, Collection[str], str | None], ...] = (
        (ALL, zones, None),
        (ZONE, same_zone, candidate_zone),
    )
    for scope, members, zone in members_by_scope:
        if scope not in scopes:
            continue
        out = sorted(name for name in unavailable if name in members and name != candidate)
        limit = max_unavailable(scopes[scope], len(members))
        if len(out) + 1 > limit:
            reasons = {name: unavailable[name] for name in out}
            return BoundViolation(reasons, len(members), limit, zone)
    return None


def violation_reason(
    scopes: Mapping[str, Bound],
    zones: Mapping[str, str],
    granted: Mapping[str, str],
    observed: Mapping[str, str],
    candidate: str,
    is_repair: bool = False,
) -> str:
    """Return the text of `find_violation`'s result, or an empty string."""
    violation = find_violation(scopes, zones, granted, observed, candidate, is_repair)
    return "" if violation is None else str(violation)
