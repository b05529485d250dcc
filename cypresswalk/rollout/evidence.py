"""Whether balancers that were changed serve as well as the others did at the same time. No I/O, no clock."""

from dataclasses import dataclass

from cypresswalk.rollout.release import Plan

SURE = 3.0          # standard errors by which a share must be worse: a burst must not halt a release
LEAST = 30          # flows below which nothing is said to be bad


@dataclass(frozen=True, slots=True)
class Served:
    """Counts since a balancer's process began: flows brought up, rejected, failed, and the sum of set-ups in nanoseconds."""
    up: int = 0
    rejected: int = 0
    failed: int = 0
    took: int = 0

    def since(self, before: "Served") -> "Served":
        """A process that began anew counts from nothing."""
        if self.up < before.up or self.failed < before.failed or self.rejected < before.rejected:
            return self
        return Served(self.up - before.up, self.rejected - before.rejected, self.failed - before.failed, self.took - before.took)

    def __add__(self, other: "Served") -> "Served":
        return Served(self.up + other.up, self.rejected + other.rejected, self.failed + other.failed, self.took + other.took)

    @property
    def flows(self) -> int:
        return self.up + self.rejected + self.failed

    @property
    def bad(self) -> float:
        return (self.rejected + self.failed) / self.flows if self.flows else 0.0


def verdict(plan: Plan, changed: dict[str, Served], others: Served) -> tuple[str, str]:
    """"bad" with why; "good"; or "unknown" with of whom too little is known. Each changed one by itself: one bad machine of many
    must not be outweighed."""
    few = []
    for name, served in sorted(changed.items()):
        if served.flows >= LEAST:
            spread = SURE * (max(others.bad * (1 - others.bad), served.bad * (1 - served.bad)) / served.flows) ** 0.5
            if served.bad > others.bad + plan.worse + spread:
                return "bad", (f"{name} failed or rejected {served.bad:.1%} of {served.flows} flows, the others {others.bad:.1%} "
                               f"of {others.flows}")
            if served.up >= LEAST and others.up >= LEAST and served.took / served.up > plan.slower * others.took / others.up:
                return "bad", (f"{name} took {served.took / served.up / 1e6:.1f} ms for a set-up, the others "
                               f"{others.took / others.up / 1e6:.1f}")
        if served.flows < plan.flows:
            few.append(f"{name} answered {served.flows} flows of {plan.flows}")
    return ("unknown", "; ".join(few[:5])) if few else ("good", "")
