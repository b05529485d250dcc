"""What the leader does about a release: the next balancer to go, whether a wave has held, when to halt. No I/O, no clock.

All that must survive a leader stands in the agreed log; what stands here (since when a wave holds, what each had served then) begins
anew with the next one, which so looks at least as long."""

from dataclasses import dataclass, field

from cypresswalk.rollout.evidence import Evidence, ServedCounts
from cypresswalk.rollout.release import Release, may_go

SECOND = 1_000_000_000
TRY_AGAIN = SECOND // 2  # a place that was refused is asked for again
LOST = 10 * SECOND  # a changed balancer that is out for so long is taken for lost
TWICE = 2
UNUSED = (
    30 * SECOND
)  # a server is out for so long while its agent does not begin: all balancers must have heard first


@dataclass(frozen=True, slots=True)
class ReleaseAction:
    """One command to propose: "go", "held", "halt", "unused"."""

    what: str
    name: str = ""
    why: str = ""
    wave: int = 0


@dataclass
class ReleaseControl:
    release: str = ""  # what stands here is of that one
    wave: int = -1
    holds_since: int | None = None
    evidence: Evidence = field(default_factory=Evidence)
    changing_since: dict[str, int] = field(default_factory=dict)
    turn_since: dict[str, int] = field(
        default_factory=dict
    )  # of servers whose agents have not begun
    came_since: dict[str, int] = field(
        default_factory=dict
    )  # of changed servers not seen ready yet
    falls: dict[str, int] = field(
        default_factory=dict
    )  # of changed servers: how often each became bad again
    tried_at: dict[str, int] = field(default_factory=dict)
    out_since: dict[str, int] = field(default_factory=dict)  # changed ones
    boots: dict[str, int] = field(
        default_factory=dict
    )  # of changed ones of whose turn nothing is known any more
    was_halted: bool = False
    last: str = ""  # what is waited for, for people

    def tend(
        self,
        now: int,
        release: Release | None,
        halted: bool,
        served: dict[str, ServedCounts],
        out: set[str],
        away: set[str],
        boots: dict[str, int],
    ) -> ReleaseAction | None:
        """`served`: figures by name, of those heard lately; `out`: seen out, by whatever cause; `away`: with a place of their own;
        `boots`: how often each has started, as it last said."""
        if release is None or release.phase not in ("running", "back"):
            self.last = ""
            return None
        if self.release != release.plan.name + release.phase or self.was_halted and not halted:
            # Also where a person has seen what there was and goes on: what counts is what comes from here on, or one fault would halt it
            # for ever.
            self.release, self.wave, self.evidence = (
                release.plan.name + release.phase,
                -1,
                Evidence(),
            )
            self.out_since, self.boots, self.falls = {}, {}, {}
        if self.wave != release.wave:
            self.wave, self.holds_since = release.wave, None
            self.tried_at.clear()
        self.was_halted = halted
        plan = release.plan
        if (
            plan.kind == "servers"
            and (do := self.servers_late(now, release, halted, away)) is not None
        ):
            return do
        self.changing_since = {
            name: self.changing_since.get(name, now)
            for name, status in release.members.items()
            if status == "changing"
        }
        for name, since in sorted(self.changing_since.items()):
            if now - since > plan.change_timeout_s * SECOND and not halted:
                return ReleaseAction(
                    "halt",
                    why=f"the agent of {name} has said nothing for {plan.change_timeout_s:g} s",
                )
        if release.phase == "running":
            wave = plan.waves[release.wave]
            changed = [name for name, status in sorted(release.members.items()) if status == "new"]
            self.evidence.observe(now, release.members, wave, served)
            if halted:
                self.last = "halted"
                return None
            bad = self.fallen(now, release, changed, out, boots) or self.evidence.first_failure(
                plan, now
            )
            if bad:
                return ReleaseAction("halt", why=bad)
            if all(release.members[name] == "new" for name in wave) and not set(wave) & (
                out | away
            ):
                return self.hold(now, release, wave)
            self.holds_since = None
            candidates = [name for name in wave if release.members[name] in ("old", "failed")]
        else:
            # The worst first: what failed, then what fails most of its flows.
            candidates = sorted(
                (name for name, status in release.members.items() if status in ("new", "failed")),
                key=lambda name: (
                    release.members[name] != "failed",
                    -served.get(name, ServedCounts()).failure_share,
                    name,
                ),
            )
        return self.next_to_go(now, release, halted, candidates)

    def servers_late(
        self, now: int, release: Release, halted: bool, away: set[str]
    ) -> ReleaseAction | None:
        """`away`: those that are out for it, or not seen ready since they came. A balancer's place ends by its own word (places.py)."""
        members = sorted(release.members.items())
        self.turn_since = {
            name: self.turn_since.get(name, now) for name, status in members if status == "out"
        }
        self.came_since = {
            name: self.came_since.get(name, now)
            for name, status in members
            if status == "new" and name in away
        }
        for name, since in self.turn_since.items():
            if now - since > UNUSED or halted and release.phase != "back":
                return ReleaseAction("unused", name)
        for name, since in self.came_since.items():
            if now - since > release.plan.change_timeout_s * SECOND and not halted:
                return ReleaseAction(
                    "halt",
                    why=f"{name} was changed, and most balancers have not seen it ready for {release.plan.change_timeout_s:g} s",
                )
        return None

    def next_to_go(
        self, now: int, release: Release, halted: bool, candidates: list[str]
    ) -> ReleaseAction | None:
        for name in candidates:
            if (
                not may_go(release, name, halted)
                and now - self.tried_at.get(name, -1 << 62) >= TRY_AGAIN
            ):
                self.tried_at[name] = now
                return ReleaseAction("go", name)
        self.last = f"waits for {', '.join(candidates[:5]) or 'those that are being changed'}"
        return None

    def fallen(
        self, now: int, release: Release, changed: list[str], out: set[str], boots: dict[str, int]
    ) -> str:
        """A changed one that does not stay: it is out for long, or its process ended and another was started in its place. One that falls
        over and over would never be out for long, and no wave of it ever hold."""
        if release.plan.kind == "servers":
            # Nobody tells how often a server has started. Once may be the way to it.
            self.falls |= {
                name: self.falls.get(name, 0) + 1
                for name in changed
                if name in out and name not in self.out_since
            }
            for name in changed:
                if self.falls.get(name, 0) >= TWICE:
                    return f"{name} was changed, came up and fell over, {TWICE} times"
        self.out_since = {name: self.out_since.get(name, now) for name in changed if name in out}
        for name, since in self.out_since.items():
            if now - since > LOST:
                return f"{name} was changed and has been out for {(now - since) / SECOND:.0f} s"
        self.boots = {name: boot for name, boot in self.boots.items() if name in changed}
        for name in changed:
            # One start is the change itself.
            known = release.boots.get(name, 0)
            base = known + 1 if known else self.boots.setdefault(name, boots.get(name, 1 << 62))
            if boots.get(name, 0) > base:
                return f"{name} was changed and then began anew by itself"
        return ""

    def hold(self, now: int, release: Release, wave: list[str]) -> ReleaseAction | None:
        plan = release.plan
        if self.holds_since is None:
            self.holds_since = now
        passed = now - self.holds_since
        why = self.evidence.missing(plan, wave)
        self.last = f"wave {release.wave} holds for {passed / SECOND:.1f} of {plan.hold_s:g} s: {why or 'good'}"
        if passed < plan.hold_s * SECOND:
            return None
        if not why:
            return ReleaseAction("held", wave=release.wave)
        if passed > plan.hold_s * plan.max_hold_periods * SECOND:
            return ReleaseAction(
                "halt",
                why=f"nothing is known of wave {release.wave} after {passed / SECOND:.0f} s: {why}",
            )
        return None
