"""A release as the fleet has agreed on it: which balancers, or servers, are changed in which waves, and how far each is. No I/O, no clock: a state
machine over entries of the agreed log, so that whoever leads next carries on where the last one stopped.

    old -> out (it may be changed) -> changing (its agent has begun) -> new, or failed
    back: new, failed -> out -> changing -> old

Invariants: R7 an agent begins only what is agreed, and not yet begun, and not halted; R8 a wave begins once all of the one before are new
and have held; R9 a halt lets nothing begin but the way back; R10 from every state there is a way to the end, or back."""

import msgspec

UNFINISHED = ("running", "paused", "back")


class Plan(msgspec.Struct, frozen=True, array_like=True):
    name: str
    since: str  # the version that runs, as agents know it
    to: str
    waves: list[list[str]]  # balancers, or servers, by name
    hold_s: float  # how long each wave must hold before the next begins
    flows: int  # that each changed balancer must have answered meanwhile, or nothing is known of it
    patience: float  # holds that may pass without enough flows until it halts
    worse: float  # the share of its flows that a changed balancer may fail or reject more than the others
    slower: float  # times the others' mean set-up
    change_s: float  # within which an agent must have changed a balancer
    kind: str = "balancers"  # or "servers"
    empty_s: float = 30.0  # within which a server's flows must have left it


class Release(msgspec.Struct, array_like=True):
    plan: Plan
    by: str
    at: int
    phase: str = "running"
    wave: int = 0
    members: dict[str, str] = {}
    said: dict[str, str] = {}  # what agents told last
    was: dict[str, str] = {}  # of those that are out: what they were before
    boots: dict[str, int] = {}  # how often each had started when its turn came, where that is known
    outs: dict[str, int] = {}  # of servers: the version that took each out


def objection(plan: Plan, known: list[str]) -> list[str]:
    """A line for each thing that is wrong."""
    wrong = []
    names = [name for wave in plan.waves for name in wave]
    there = ", ".join(known[:20]) + (", ..." if len(known) > 20 else "")
    what = "listed" if plan.kind == "servers" else "a member"
    wrong += [
        f"waves: {name} is not {what}; there are {there}"
        for name in sorted(set(names) - set(known))
    ]
    if plan.kind not in ("balancers", "servers"):
        wrong.append(f"kind: {plan.kind}, not balancers or servers")
    wrong += [
        f"waves: {name} stands there twice"
        for name in sorted({name for name in names if names.count(name) > 1})
    ]
    wrong += [f"waves[{i}]: empty" for i, wave in enumerate(plan.waves) if not wave]
    if not names:
        wrong.append("waves: nobody")
    if not plan.to or not plan.since or plan.to == plan.since:
        wrong.append("since, to: two versions that differ")
    for field, low, high in (
        ("hold_s", 0.1, 1e6),
        ("flows", 0, 1e9),
        ("patience", 1, 1e4),
        ("worse", 0.0, 1.0),
        ("slower", 1.0, 1e3),
        ("change_s", 1, 1e5),
        ("empty_s", 1, 1e5),
    ):
        if not low <= getattr(plan, field) <= high:
            wrong.append(f"{field}: {getattr(plan, field)}, not from {low:g} to {high:g}")
    return wrong


def begin(
    plan: Plan, by: str, at: int, now: Release | None, known: list[str]
) -> tuple[Release | None, str]:
    """The release, or why there is none."""
    if now is not None and now.phase in UNFINISHED:
        return (
            None,
            f"release {now.plan.name} by {now.by} is {now.phase}: it must be done or back first",
        )
    wrong = objection(plan, known)
    if now is not None and plan.name == now.plan.name:
        wrong.append(
            f"name: {plan.name} was the last one's"
        )  # what was said of that must not be taken for this one
    if wrong:
        return None, "; ".join(wrong)
    return Release(
        plan, by, at, members={name: "old" for wave in plan.waves for name in wave}
    ), f"release {plan.name} begun"


def may_go(release: Release, name: str, halted: bool) -> str:
    """Why that balancer may not be changed now, or nothing. Bounds are another matter (bounds.py)."""
    status = release.members.get(name)
    if release.phase == "back":
        return "" if status in ("new", "failed") else f"{name} is {status}"
    if release.phase != "running":
        return f"the release is {release.phase}"
    if halted:
        return "halted"
    if name not in release.plan.waves[release.wave]:
        return f"{name} is not of wave {release.wave}"
    # What failed halted it: once a person has resumed it is tried again.
    return "" if status in ("old", "failed") else f"{name} is {status}"


def go(release: Release, name: str, boot: int) -> None:
    release.was[name], release.members[name], release.boots[name] = (
        release.members[name],
        "out",
        boot,
    )


def target(release: Release, name: str) -> str:
    """The version that its agent is to run."""
    return release.plan.since if release.phase == "back" else release.plan.to


def began(release: Release, name: str, to: str, halted: bool) -> str:
    """Why its agent may not begin, or nothing. Bounds are another matter."""
    if release.members.get(name) != "out" or to != target(release, name):
        return f"{name} is {release.members.get(name)}, and nothing to be changed to {to}"
    return "halted" if halted and release.phase != "back" else ""


def came(release: Release, name: str, runs: str, why: str) -> str:
    """What its agent found once it had changed it, or could not. Why that halts the release, or nothing."""
    if release.members.get(name) != "changing":
        return ""
    release.said[name] = why
    wanted = target(release, name)
    release.members[name] = (
        "new" if runs == release.plan.to else "old" if runs == release.plan.since else "failed"
    )
    if release.phase == "back" and all(status == "old" for status in release.members.values()):
        release.phase = "backed"
    return "" if runs == wanted else f"{name}: {why or 'it runs ' + (runs or 'nothing')}"


def returned(release: Release, name: str) -> None:
    """Its place is another's again; what had not begun begins no more."""
    if release.members.get(name) == "out":
        # Guards one that had failed, and runs the new version or nothing, against passing for old.
        release.members[name] = release.was.pop(name)


def held(release: Release, wave: int) -> str:
    if release.phase != "running" or wave != release.wave:
        return f"wave {release.wave} of a release that is {release.phase}"
    if any(release.members[name] != "new" for name in release.plan.waves[wave]):
        return f"not all of wave {wave} are new"
    release.wave += 1
    if release.wave == len(release.plan.waves):
        release.phase = "done"
    return ""


def turn_back(release: Release) -> str:
    """Also of one that is done, while no other has begun."""
    if release.phase in ("back", "backed"):
        return f"the release is {release.phase} already"
    for name in list(release.members):
        returned(release, name)  # what had not begun
    release.phase = (
        "backed" if all(status == "old" for status in release.members.values()) else "back"
    )
    return ""
