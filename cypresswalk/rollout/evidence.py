"""Whether balancers that were changed serve as well as the others did at the same time. No I/O, no clock.

What a balancer has answered is a count since its process began, told every second or so. All that grows from one look to the next is
added up by what its balancer was then, so that each changed one is held against what the others answered in the very time since it was
changed: a server lost for a moment strikes all alike, and must not speak against those that have only been there since."""

from collections.abc import Collection
from dataclasses import dataclass, field

from cypresswalk.rollout.release import Plan

SECOND = 1_000_000_000
SURE = 3.0  # standard errors by which a share must be worse: a burst must not halt a release
LEAST = 30  # flows below which nothing is said to be bad
SHORTEST = (
    5 * SECOND
)  # balancers tell their counts a second or two apart: over less time a loss of all looks like that of one


@dataclass(frozen=True, slots=True)
class Served:
    """Counts since a balancer's process began: flows brought up, rejected, failed, and the sum of set-ups in nanoseconds."""

    up: int = 0
    rejected: int = 0
    failed: int = 0
    took: int = 0

    def since(self, before: "Served") -> "Served":
        """A process that began anew counts from nothing."""
        return (
            self
            if self.up < before.up or self.failed < before.failed or self.rejected < before.rejected
            else self - before
        )

    def __sub__(self, other: "Served") -> "Served":
        return Served(
            self.up - other.up,
            self.rejected - other.rejected,
            self.failed - other.failed,
            self.took - other.took,
        )

    def __add__(self, other: "Served") -> "Served":
        return Served(
            self.up + other.up,
            self.rejected + other.rejected,
            self.failed + other.failed,
            self.took + other.took,
        )

    @property
    def flows(self) -> int:
        return self.up + self.rejected + self.failed

    @property
    def bad(self) -> float:
        return (self.rejected + self.failed) / self.flows if self.flows else 0.0


def judged(plan: Plan, name: str, served: Served, others: Served) -> tuple[str, str]:
    """ "bad", "unknown" or "good" of one balancer, and why."""
    if served.flows >= LEAST and others.flows >= LEAST:
        spread = (
            SURE
            * (
                max(others.bad * (1 - others.bad), served.bad * (1 - served.bad))
                * (1 / served.flows + 1 / others.flows)
            )
            ** 0.5
        )
        if served.bad > others.bad + plan.worse + spread:
            return "bad", (
                f"{name} failed or rejected {served.bad:.1%} of {served.flows} flows, the others {others.bad:.1%} "
                f"of {others.flows}"
            )
        if (
            served.up >= LEAST
            and others.up >= LEAST
            and served.took / served.up > plan.slower * others.took / others.up
        ):
            return "bad", (
                f"{name} took {served.took / served.up / 1e6:.1f} ms for a set-up, the others "
                f"{others.took / others.up / 1e6:.1f}"
            )
    if served.flows < plan.flows:
        return "unknown", f"{name} answered {served.flows} flows of {plan.flows}"
    # Where nobody is left to hold it against, as in a fleet of one: against none that failed.
    if served.bad > others.bad + plan.worse:
        # Guards against a wave that holds just before its flows would tell: worse than it may be, and not surely so, is not good.
        return (
            "unknown",
            f"{name} failed or rejected {served.bad:.1%} of {served.flows} flows, the others {others.bad:.1%}: too few to tell",
        )
    return "good", ""


@dataclass(slots=True)
class Window:
    """Of a changed one: since when it is looked at, what the others had answered by then, and its own since."""

    since: int
    old: Served
    held: Served
    own: Served = Served()
    as_held: Served = Served()  # the part of its own that stands in `held`


@dataclass(slots=True)
class Evidence:
    last: dict[str, Served] = field(default_factory=dict)
    old: Served = Served()  # all that those not changed have answered
    held: Served = Served()  # and those of waves that have held
    windows: dict[str, Window] = field(default_factory=dict)

    def look(
        self, now: int, members: dict[str, str], wave: Collection[str], served: dict[str, Served]
    ) -> None:
        """`members`: what each is to the release; whoever is not in it is as good as old."""
        self.windows = {
            name: window for name, window in self.windows.items() if members.get(name) == "new"
        }
        for name, figures in sorted(served.items()):
            grown = figures.since(self.last[name]) if name in self.last else Served()
            self.last[name] = figures
            status = members.get(name, "old")
            if status == "old":
                self.old += grown
            elif status == "new":
                window = self.windows.get(name)
                if window is None:  # what has grown by now may be its old process's
                    self.windows[name] = Window(now, self.old, self.held)
                    continue
                window.own += grown
                if name not in wave:
                    self.held += grown
                    window.as_held += grown

    def others(self, window: Window) -> Served:
        """Those not changed, in its own time; where they are few beside it, as in the last wave, those that have held too; where there is
        nobody, those not changed before it."""
        old, held = self.old - window.old, self.held - window.held - window.as_held
        if 2 * old.flows < window.own.flows:
            old += held
        return old if old.flows >= LEAST else self.old

    def bad(self, plan: Plan, now: int) -> str:
        """Of the first that is. Each changed one by itself: one bad machine of many must not be outweighed."""
        for name, window in self.windows.items():
            if now - window.since >= SHORTEST:
                how, why = judged(plan, name, window.own, self.others(window))
                if how == "bad":
                    return why
        return ""

    def unknown(self, plan: Plan, names: Collection[str]) -> str:
        """Nothing where enough is known to be good of each."""
        few = []
        for name in names:
            window = self.windows.get(name)
            how, why = (
                judged(plan, name, window.own, self.others(window))
                if window
                else ("unknown", f"{name}: not heard")
            )
            few += [why] if how != "good" else []
        return "; ".join(few[:5])
