"""Bounds on what is out at once, as they stand in the agreed settings:

    "bounds": {"balancers": {"all": 2, "zone": {"share": 0.34, "least": 1}}, "servers": {"all": {"share": 0.25}}}

A bound is a number, or a share of those that there are, rounded down, with a least where one is stated. Where none stands nothing is
bounded."""

from typing import Any

KINDS, SCOPES = ("balancers", "servers"), ("all", "zone")


def objection(bounds: object) -> str:
    """A line for all that is wrong with them, or nothing."""
    if not isinstance(bounds, dict):
        return "bounds: no table"
    wrong = [
        f"bounds.{kind}: unknown; there are {', '.join(KINDS)}"
        for kind in sorted(set(bounds) - set(KINDS))
    ]
    for kind in KINDS:
        scopes = bounds.get(kind, {})
        if not isinstance(scopes, dict):
            wrong.append(f"bounds.{kind}: no table")
            continue
        wrong += [
            f"bounds.{kind}.{scope}: unknown; there are {', '.join(SCOPES)}"
            for scope in sorted(set(scopes) - set(SCOPES))
        ]
        wrong += [
            f"bounds.{kind}.{scope}: {why}"
            for scope in SCOPES
            if scope in scopes and (why := odd(scopes[scope]))
        ]
    return "; ".join(wrong)


def odd(bound: object) -> str:
    if isinstance(bound, dict):
        share, least = bound.get("share"), bound.get("least", 0)
        if (
            set(bound) - {"share", "least"}
            or isinstance(share, bool)
            or not isinstance(share, int | float)
            or not 0 < share <= 1
        ):
            return "a table of `share`, above 0 and no more than 1, and `least`"
        if isinstance(least, bool) or not isinstance(least, int) or least < 0:
            return "least: a number, 0 or more"
        return ""
    if isinstance(bound, bool) or not isinstance(bound, int) or bound < 1:
        return "a number above 0, or a table of `share` and `least`"
    return ""


def allowed(bound: Any, of: int) -> int:
    """How many of so many may be out."""
    if isinstance(bound, dict):
        return max(int(bound["share"] * of + 1e-9), bound.get("least", 0))
    return bound


def why_not(
    scopes: dict[str, Any],
    zones: dict[str, str],
    granted: dict[str, str],
    seen: dict[str, str],
    who: str,
    heals: bool = False,
) -> str:
    """Why `who` may not go out besides the others, or nothing, whether or not it had a place before: others may have been lost since.
    `zones`: all that there are; `granted`: those that may be out by a grant, `seen`: those that are out by whatever else, each with why. `heals`: going out is what brings `who`, out by itself, back; it then takes one
    of those places that can be granted, since it may come back just before, and none from the others that are out."""
    zone = zones.get(who, "")
    taken = granted if heals else seen | granted
    for scope, members in (
        ("all", set(zones)),
        ("zone", {name for name, there in zones.items() if there == zone}),
    ):
        if scope not in scopes:
            continue
        gone = sorted(name for name in taken if name in members and name != who)
        most = allowed(scopes[scope], len(members))
        if len(gone) + 1 > most:
            where = "" if scope == "all" else f" of zone {zone}"
            said = ", ".join(f"{name} ({taken[name]})" for name in gone[:8]) + (
                ", ..." if len(gone) > 8 else ""
            )
            return (
                f"{len(gone)} of {len(members)}{where} are out and {most} may be: {said or 'none'}"
            )
    return ""
