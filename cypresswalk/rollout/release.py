"""The replicated state of a release: which members change in which wave, and how far each is.

Members are balancers or servers. No I/O, no clock: this is a part of the state machine that applies
the replicated log, so that the next leader continues where the last one stopped. Replicas compute
the texts of this module while they apply a command, so two versions must produce the same text.

    old -> out (its turn is granted) -> changing (its agent has started) -> new
    changing -> old if the change failed and the old version runs, failed if neither version runs
    rolling back: new, failed -> out -> changing -> old

Invariants (numbered as in docs/design/rollout.md): R7 an agent starts only a change that is agreed,
not yet started and not halted; R8 a wave starts once all members of the previous wave are new and
have been observed for long enough; R9 during a halt nothing starts except a rollback; R10 every
state allows the release to be completed or rolled back.
"""

from collections.abc import Collection, Sequence
from enum import StrEnum
from typing import NamedTuple

import msgspec

MAX_NAMES_LISTED = 20  # known members listed in an error


class Phase(StrEnum):
    """The phase of a release as a whole."""

    RUNNING = "running"
    PAUSED = "paused"
    ROLLING_BACK = "back"
    DONE = "done"
    ROLLED_BACK = "backed"


class ChangeStatus(StrEnum):
    """The progress of one member of a release."""

    OLD = "old"
    TURN_GRANTED = "out"
    CHANGING = "changing"
    NEW = "new"
    FAILED = "failed"


class MemberKind(StrEnum):
    """The kind of members that a release changes."""

    BALANCERS = "balancers"
    SERVERS = "servers"


UNFINISHED_PHASES = (Phase.RUNNING, Phase.PAUSED, Phase.ROLLING_BACK)


class Plan(msgspec.Struct, frozen=True, array_like=True):
    """The plan of a release; agreed once and never changed.

    Attributes:
        name: name of the release.
        from_version: the version that runs before the release, as agents know it.
        to_version: the version that members are changed to.
        waves: names of members, a list for each wave.
        hold_s: seconds for which each wave is observed before the next one starts.
        min_flows: flows that each changed member must have answered before its wave passes.
        max_hold_periods: multiple of `hold_s` after which a wave without enough evidence halts the
            release.
        max_excess_failure_share: the most by which a changed member's share of failed and rejected
            flows may exceed the others', 0.0 to 1.0.
        max_setup_ratio: largest allowed ratio of a changed member's mean set-up time to that of
            the others.
        change_timeout_s: seconds within which an agent must have changed its member.
        kind: a MemberKind; any other text is an error in the plan.
        drain_timeout_s: seconds within which the flows of a server must have ended.
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
    """The current release, or the last one.

    Attributes:
        plan: plan of the release.
        started_by: who started it.
        started_at_ms: time it was started, wall clock, milliseconds.
        phase: a Phase.
        wave: index of the current wave.
        members: ChangeStatus of each member, by name.
        reports: the error that each agent reported last, by name; empty if its change succeeded.
        previous_statuses: ChangeStatus before its turn of each member with a granted turn, by name.
        boots_at_grant: number of starts of each member when its turn was granted, by name; 0 or
            absent if unknown.
        out_since_version: version of the agreed state in which each server was taken out, by name.
    """

    plan: Plan
    started_by: str
    started_at_ms: int
    phase: str = Phase.RUNNING.value
    wave: int = 0
    members: dict[str, str] = {}
    reports: dict[str, str] = {}
    previous_statuses: dict[str, str] = {}
    boots_at_grant: dict[str, int] = {}
    out_since_version: dict[str, int] = {}


class PlanLimit(NamedTuple):
    """The allowed range of one number of a plan, and its key in the plan's file."""

    file_key: str
    field: str
    low: float
    high: float


PLAN_LIMITS = (
    PlanLimit("hold_s", "hold_s", 0.1, 1e6),
    PlanLimit("flows", "min_flows", 0, 1e9),
    PlanLimit("patience", "max_hold_periods", 1, 1e4),
    PlanLimit("worse", "max_excess_failure_share", 0.0, 1.0),
    PlanLimit("slower", "max_setup_ratio", 1.0, 1e3),
    PlanLimit("change_s", "change_timeout_s", 1, 1e5),
    PlanLimit("empty_s", "drain_timeout_s", 1, 1e5),
)


def plan_errors(plan: Plan, known: Sequence[str]) -> list[str]:
    """Return a line for each error in a plan, with the keys of the plan's file.

    Args:
        plan: the requested plan.
        known: names of all balancers or of all servers.
    """
    names = [name for wave in plan.waves for name in wave]
    errors = unknown_name_errors(plan, names, known)
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


def unknown_name_errors(plan: Plan, names: Collection[str], known: Sequence[str]) -> list[str]:
    """Return a line for each name in the waves that is not known."""
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
    """Begin a release.

    Args:
        plan: the requested plan.
        by: who requests it.
        at: time of the request, wall clock, milliseconds.
        current: the current or last release, if any.
        known: names of all balancers or of all servers.

    Returns:
        The new release and a text for the history, or None and why it is rejected.
    """
    if current is not None and current.phase in UNFINISHED_PHASES:
        return (
            None,
            f"release {current.plan.name} by {current.started_by} is {current.phase}:"
            " it must be done or back first",
        )
    errors = plan_errors(plan, known)
    if current is not None and plan.name == current.plan.name:
        # Commands name their release, and one sent for the last release must not apply to this one.
        errors.append(f"name: {plan.name} was the last one's")
    if errors:
        return None, "; ".join(errors)
    members: dict[str, str] = {name: ChangeStatus.OLD for wave in plan.waves for name in wave}
    return Release(plan, by, at, members=members), f"release {plan.name} begun"


def turn_objection(release: Release, name: str, halted: bool) -> str:
    """Return why a member may not be granted its turn now, or an empty string.

    Bounds are checked separately, by bounds.py.
    """
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
    # A failed member halted the release; once an operator has resumed it, the member is retried.
    unchanged = status in (ChangeStatus.OLD, ChangeStatus.FAILED)
    return "" if unchanged else f"{name} is {status}"


def grant_turn(release: Release, name: str, boot: int) -> None:
    """Grant a member its turn; `boot` is how often it has started, 0 if unknown."""
    release.previous_statuses[name] = release.members[name]
    release.members[name] = ChangeStatus.TURN_GRANTED
    release.boots_at_grant[name] = boot


def target_version(release: Release, name: str) -> str:
    """Return the version that a member's agent should run."""
    if release.phase == Phase.ROLLING_BACK:
        return release.plan.from_version
    return release.plan.to_version


def start_objection(release: Release, name: str, version: str, halted: bool) -> str:
    """Return why a member's agent may not start the change, or an empty string.

    Bounds are checked separately.
    """
    status = release.members.get(name)
    if status != ChangeStatus.TURN_GRANTED or version != target_version(release, name):
        return f"{name} is {status}, and nothing to be changed to {version}"
    return "halted" if halted and release.phase != Phase.ROLLING_BACK else ""


def record_report(release: Release, name: str, running: str, reason: str) -> str:
    """Record an agent's report that the change of its member has ended or failed.

    Args:
        release: the release; it is modified.
        name: name of the member.
        running: the version that runs now, empty if none does.
        reason: what went wrong, if anything.

    Returns:
        Why the report halts the release, or an empty string.
    """
    if release.members.get(name) != ChangeStatus.CHANGING:
        return ""
    release.reports[name] = reason
    wanted = target_version(release, name)
    if running == release.plan.to_version:
        release.members[name] = ChangeStatus.NEW
    elif running == release.plan.from_version:
        release.members[name] = ChangeStatus.OLD
    else:
        release.members[name] = ChangeStatus.FAILED
    if release.phase == Phase.ROLLING_BACK and all_old(release):
        release.phase = Phase.ROLLED_BACK
    return "" if running == wanted else f"{name}: {reason or 'it runs ' + (running or 'nothing')}"


def end_unused_turn(release: Release, name: str) -> None:
    """End a turn that was granted and not used; the member returns to its previous status."""
    if release.members.get(name) == ChangeStatus.TURN_GRANTED:
        # Not simply OLD: a member that had failed runs the new version or none.
        release.members[name] = release.previous_statuses.pop(name)


def pass_wave(release: Release, wave: int) -> str:
    """End a wave that was observed for long enough; return why it is rejected, or empty."""
    if release.phase != Phase.RUNNING or wave != release.wave:
        return f"wave {release.wave} of a release that is {release.phase}"
    if any(release.members[name] != ChangeStatus.NEW for name in release.plan.waves[wave]):
        return f"not all of wave {wave} are new"
    release.wave += 1
    if release.wave == len(release.plan.waves):
        release.phase = Phase.DONE
    return ""


def roll_back(release: Release) -> str:
    """Start rolling back; return why it is rejected, or an empty string.

    A finished release may be rolled back too, as long as no other has begun.
    """
    if release.phase in (Phase.ROLLING_BACK, Phase.ROLLED_BACK):
        return f"the release is {release.phase} already"
    for name in list(release.members):
        end_unused_turn(release, name)
    release.phase = Phase.ROLLED_BACK if all_old(release) else Phase.ROLLING_BACK
    return ""


def all_old(release: Release) -> bool:
    """Return whether every member runs the version from before the release."""
    return all(status == ChangeStatus.OLD for status in release.members.values())
