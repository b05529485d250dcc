"""A release as the fleet has agreed on it: which members change in which wave, and how far each is.

Members are balancers or servers. No I/O, no clock: a state machine over entries of the agreed log,
so that whoever leads next carries on where the last leader stopped.

    old -> out (its turn is granted) -> changing (its agent has started) -> new, or failed
    rolling back: new, failed -> out -> changing -> old

Invariants (numbered as in docs/design/rollout.md): R7 an agent starts only what is agreed, not yet
started and not halted; R8 a wave starts once all of the one before are new and have been observed
for long enough; R9 a halt lets nothing start but rolling back; R10 from every state there is a way
to the end, or back.
"""

from collections.abc import Collection, Sequence
from enum import StrEnum
from typing import NamedTuple

import msgspec

MAX_NAMES_LISTED = 20  # known members named in an objection


class Phase(StrEnum):
    """How far a release as a whole is."""

    RUNNING = "running"
    PAUSED = "paused"
    ROLLING_BACK = "back"
    DONE = "done"
    ROLLED_BACK = "backed"


class ChangeStatus(StrEnum):
    """How far one member of a release is."""

    OLD = "old"
    TURN_GRANTED = "out"
    CHANGING = "changing"
    NEW = "new"
    FAILED = "failed"


class MemberKind(StrEnum):
    """What a release changes."""

    BALANCERS = "balancers"
    SERVERS = "servers"


UNFINISHED = (Phase.RUNNING, Phase.PAUSED, Phase.ROLLING_BACK)


class Plan(msgspec.Struct, frozen=True, array_like=True):
    """What a release is to do; agreed once and never changed.

    Attributes:
        name: the release's name.
        from_version: the version that runs, as agents know it.
        to_version: the version it is changed to.
        waves: names of members, a list for each wave.
        hold_s: how long each wave is observed before the next one starts, seconds.
        min_flows: flows each changed member must have answered in that time.
        max_hold_periods: how many `hold_s` may pass without enough flows until it halts.
        max_excess_failure_share: by how much the share of flows that a changed member fails or
            rejects may exceed the others'.
        max_setup_ratio: by what factor its mean set-up time may exceed the others'.
        change_timeout_s: within which an agent must have changed its member, seconds.
        kind: a MemberKind; another text is objected to.
        drain_timeout_s: within which a server's flows must have left it, seconds.
    """

    name: str
    from_version: str
    to_version: str
    waves: list[list[str]]
    hold_s: float
    min_flows: int
    max_hold_periods: float
    max_excess_failure_share: float
    max_setup_ratio: float
    change_timeout_s: float
    kind: str = MemberKind.BALANCERS.value
    drain_timeout_s: float = 30.0


class Release(msgspec.Struct, array_like=True):
    """A release under way, or the last one.

    Attributes:
        plan: what it is to do.
        by: who began it.
        at: when, wall clock, milliseconds.
        phase: a Phase.
        wave: the number of the wave under way.
        members: a ChangeStatus for each member, by name.
        reports: what each agent said last, by name; empty where all went well.
        previous: of members whose turn was granted, what they were before.
        boots: how often each had started when its turn was granted, where that is known.
        out_since_version: of servers, the version of the agreed state that took each out.
    """

    plan: Plan
    by: str
    at: int
    phase: str = Phase.RUNNING.value
    wave: int = 0
    members: dict[str, str] = {}
    reports: dict[str, str] = {}
    previous: dict[str, str] = {}
    boots: dict[str, int] = {}
    out_since_version: dict[str, int] = {}


class Limits(NamedTuple):
    """The values that one number of a plan may have, and its key in the plan's file."""

    file_key: str
    field: str
    low: float
    high: float


PLAN_LIMITS = (
    Limits("hold_s", "hold_s", 0.1, 1e6),
    Limits("flows", "min_flows", 0, 1e9),
    Limits("patience", "max_hold_periods", 1, 1e4),
    Limits("worse", "max_excess_failure_share", 0.0, 1.0),
    Limits("slower", "max_setup_ratio", 1.0, 1e3),
    Limits("change_s", "change_timeout_s", 1, 1e5),
    Limits("empty_s", "drain_timeout_s", 1, 1e5),
)


def objection(plan: Plan, known: Sequence[str]) -> list[str]:
    """A line for each error in a plan, in the words of its file.

    Args:
        plan: as asked for.
        known: names of the members, or servers, that there are.
    """
    names = [name for wave in plan.waves for name in wave]
    errors = unknown_names(plan, names, known)
    if plan.kind not in tuple(MemberKind):
        errors.append(f"kind: {plan.kind}, not balancers or servers")
    errors += [
        f"waves: {name} stands there twice"
        for name in sorted({name for name in names if names.count(name) > 1})
    ]
    errors += [f"waves[{i}]: empty" for i, wave in enumerate(plan.waves) if not wave]
    if not names:
        errors.append("waves: nobody")
    if not plan.to_version or not plan.from_version or plan.to_version == plan.from_version:
        errors.append("since, to: two versions that differ")
    for limits in PLAN_LIMITS:
        value = getattr(plan, limits.field)
        if not limits.low <= value <= limits.high:
            errors.append(f"{limits.file_key}: {value}, not from {limits.low:g} to {limits.high:g}")
    return errors


def unknown_names(plan: Plan, names: Collection[str], known: Sequence[str]) -> list[str]:
    """A line for each name in the waves that no member has."""
    listed = ", ".join(known[:MAX_NAMES_LISTED])
    if len(known) > MAX_NAMES_LISTED:
        listed += ", ..."
    expected = "listed" if plan.kind == MemberKind.SERVERS else "a member"
    return [
        f"waves: {name} is not {expected}; there are {listed}"
        for name in sorted(set(names) - set(known))
    ]


def begin(
    plan: Plan, by: str, at: int, current: Release | None, known: Sequence[str]
) -> tuple[Release | None, str]:
    """Begins a release.

    Args:
        plan: as asked for.
        by: who asks.
        at: wall clock, milliseconds.
        current: the release there is, if any.
        known: names of the members, or servers, that there are.

    Returns:
        The new release and a text for the history, or None and why it is refused.
    """
    if current is not None and current.phase in UNFINISHED:
        return (
            None,
            f"release {current.plan.name} by {current.by} is {current.phase}:"
            " it must be done or back first",
        )
    errors = objection(plan, known)
    if current is not None and plan.name == current.plan.name:
        # Commands name their release: one meant for the last must not act on this one.
        errors.append(f"name: {plan.name} was the last one's")
    if errors:
        return None, "; ".join(errors)
    members: dict[str, str] = {name: ChangeStatus.OLD for wave in plan.waves for name in wave}
    return Release(plan, by, at, members=members), f"release {plan.name} begun"


def turn_objection(release: Release, name: str, halted: bool) -> str:
    """Why a member may not be granted its turn now, or an empty string; bounds.py checks bounds."""
    status = release.members.get(name)
    if release.phase == Phase.ROLLING_BACK:
        changed = status in (ChangeStatus.NEW, ChangeStatus.FAILED)
        return "" if changed else f"{name} is {status}"
    if release.phase != Phase.RUNNING:
        return f"the release is {release.phase}"
    if halted:
        return "halted"
    if name not in release.plan.waves[release.wave]:
        return f"{name} is not of wave {release.wave}"
    # A failed one halted the release: once a person has resumed, it is tried again.
    unchanged = status in (ChangeStatus.OLD, ChangeStatus.FAILED)
    return "" if unchanged else f"{name} is {status}"


def grant_turn(release: Release, name: str, boot: int) -> None:
    """Grants a member its turn; `boot` is how often it has started, 0 if unknown."""
    release.previous[name] = release.members[name]
    release.members[name] = ChangeStatus.TURN_GRANTED
    release.boots[name] = boot


def target_version(release: Release, name: str) -> str:
    """The version that a member's agent is to run."""
    if release.phase == Phase.ROLLING_BACK:
        return release.plan.from_version
    return release.plan.to_version


def start_objection(release: Release, name: str, to: str, halted: bool) -> str:
    """Why a member's agent may not start changing it, or an empty string; bounds are apart."""
    status = release.members.get(name)
    if status != ChangeStatus.TURN_GRANTED or to != target_version(release, name):
        return f"{name} is {status}, and nothing to be changed to {to}"
    return "halted" if halted and release.phase != Phase.ROLLING_BACK else ""


def record_report(release: Release, name: str, runs: str, why: str) -> str:
    """Records what an agent reports once it has changed its member, or could not.

    Args:
        release: is changed.
        name: the member.
        runs: the version that runs now, empty if none does.
        why: what went wrong, if anything.

    Returns:
        Why that halts the release, or an empty string.
    """
    if release.members.get(name) != ChangeStatus.CHANGING:
        return ""
    release.reports[name] = why
    wanted = target_version(release, name)
    if runs == release.plan.to_version:
        release.members[name] = ChangeStatus.NEW
    elif runs == release.plan.from_version:
        release.members[name] = ChangeStatus.OLD
    else:
        release.members[name] = ChangeStatus.FAILED
    if release.phase == Phase.ROLLING_BACK and all_old(release):
        release.phase = Phase.ROLLED_BACK
    return "" if runs == wanted else f"{name}: {why or 'it runs ' + (runs or 'nothing')}"


def end_unused_turn(release: Release, name: str) -> None:
    """Ends a turn that was granted and not used: the member is what it was before."""
    if release.members.get(name) == ChangeStatus.TURN_GRANTED:
        # Not simply OLD: one that had failed runs the new version, or nothing.
        release.members[name] = release.previous.pop(name)


def pass_wave(release: Release, wave: int) -> str:
    """Ends a wave that was observed for long enough; why that is refused, or empty."""
    if release.phase != Phase.RUNNING or wave != release.wave:
        return f"wave {release.wave} of a release that is {release.phase}"
    if any(release.members[name] != ChangeStatus.NEW for name in release.plan.waves[wave]):
        return f"not all of wave {wave} are new"
    release.wave += 1
    if release.wave == len(release.plan.waves):
        release.phase = Phase.DONE
    return ""


def roll_back(release: Release) -> str:
    """Starts rolling back; why that is refused, or an empty string.

    A release that is done may be rolled back too, as long as no other has begun.
    """
    if release.phase in (Phase.ROLLING_BACK, Phase.ROLLED_BACK):
        return f"the release is {release.phase} already"
    for name in list(release.members):
        end_unused_turn(release, name)
    release.phase = Phase.ROLLED_BACK if all_old(release) else Phase.ROLLING_BACK
    return ""


def all_old(release: Release) -> bool:
    """Whether every member runs the version before."""
    return all(status == ChangeStatus.OLD for status in release.members.values())
