"""Whether changed members serve as well as the others did at the same time. No I/O, no clock.

A member reports how many flows it has answered since its process began, every second or so. The
growth between two observations is added to what the member was at the time, so that a changed
member is compared with what the others answered since it was changed: a server lost for a moment
affects all alike and must not count against those that have only been there since.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from cypresswalk.rollout.release import ChangeStatus, Plan

SECOND = 1_000_000_000
NANOSECONDS_PER_MS = 1e6
CONFIDENCE = 3.0  # standard errors by which a share must be worse, so that a burst halts no release
MIN_FLOWS = 30  # below this nothing is said to be bad
# Counts arrive a second or two apart: over less time a loss at all members looks like one at a few.
MIN_WINDOW = 5 * SECOND  # nanoseconds
MAX_REASONS = 5  # listed in one text


@dataclass(frozen=True, slots=True)
class ServedCounts:
    """What a process has answered since it began.

    Attributes:
        established: flows that were set up.
        rejected: flows that were rejected.
        failed: flows that failed.
        setup_ns: sum of set-up times, nanoseconds.
    """

    established: int = 0
    rejected: int = 0
    failed: int = 0
    setup_ns: int = 0

    def growth_since(self, before: "ServedCounts") -> "ServedCounts":
        """What was added; a process that was restarted counts from zero."""
        restarted = (
            self.established < before.established
            or self.failed < before.failed
            or self.rejected < before.rejected
        )
        return self if restarted else self - before

    def __sub__(self, other: "ServedCounts") -> "ServedCounts":
        """The difference, count by count."""
        return ServedCounts(
            self.established - other.established,
            self.rejected - other.rejected,
            self.failed - other.failed,
            self.setup_ns - other.setup_ns,
        )

    def __add__(self, other: "ServedCounts") -> "ServedCounts":
        """The sum, count by count."""
        return ServedCounts(
            self.established + other.established,
            self.rejected + other.rejected,
            self.failed + other.failed,
            self.setup_ns + other.setup_ns,
        )

    @property
    def flows(self) -> int:
        """All flows that were answered."""
        return self.established + self.rejected + self.failed

    @property
    def failure_share(self) -> float:
        """The part of flows that failed or were rejected, 0.0 to 1.0."""
        return (self.rejected + self.failed) / self.flows if self.flows else 0.0

    @property
    def mean_setup_ns(self) -> float:
        """Mean set-up time, nanoseconds; only where some were established."""
        return self.setup_ns / self.established


class Verdict(StrEnum):
    """What the evidence says of one changed member."""

    GOOD = "good"
    BAD = "bad"
    UNKNOWN = "unknown"


class Assessment(NamedTuple):
    """A verdict and its reason, which is empty for GOOD."""

    verdict: Verdict
    reason: str


def assess(plan: Plan, name: str, own: ServedCounts, others: ServedCounts) -> Assessment:
    """Compares what one changed member served with what the others served meanwhile.

    Where nobody is left to compare with, as in a fleet of one, `others` is empty and the member is
    held against no failures at all.
    """
    failure = failure_reason(plan, name, own, others)
    if failure:
        return Assessment(Verdict.BAD, failure)
    if own.flows < plan.min_flows:
        return Assessment(Verdict.UNKNOWN, f"{name} answered {own.flows} flows of {plan.min_flows}")
    if own.failure_share > others.failure_share + plan.max_excess_failure_share:
        # Worse than allowed, but not surely so: the wave must not pass on it either.
        return Assessment(
            Verdict.UNKNOWN,
            f"{name} failed or rejected {own.failure_share:.1%} of {own.flows} flows, "
            f"the others {others.failure_share:.1%}: too few to tell",
        )
    return Assessment(Verdict.GOOD, "")


def failure_reason(plan: Plan, name: str, own: ServedCounts, others: ServedCounts) -> str:
    """Why a changed member is surely worse than the others, or an empty string."""
    if own.flows < MIN_FLOWS or others.flows < MIN_FLOWS:
        return ""
    max_share = others.failure_share + plan.max_excess_failure_share + sampling_error(own, others)
    if own.failure_share > max_share:
        return (
            f"{name} failed or rejected {own.failure_share:.1%} of {own.flows} flows, "
            f"the others {others.failure_share:.1%} of {others.flows}"
        )
    if (
        own.established >= MIN_FLOWS
        and others.established >= MIN_FLOWS
        and own.mean_setup_ns > plan.max_setup_ratio * others.setup_ns / others.established
    ):
        return (
            f"{name} took {own.mean_setup_ns / NANOSECONDS_PER_MS:.1f} ms for a set-up, "
            f"the others {others.mean_setup_ns / NANOSECONDS_PER_MS:.1f}"
        )
    return ""


def sampling_error(own: ServedCounts, others: ServedCounts) -> float:
    """The difference of two failure shares that chance may cause (CONFIDENCE standard errors)."""
    variance = max(
        others.failure_share * (1 - others.failure_share),
        own.failure_share * (1 - own.failure_share),
    )
    return CONFIDENCE * (variance * (1 / own.flows + 1 / others.flows)) ** 0.5


@dataclass(slots=True)
class Window:
    """What one changed member, and the others, served since it was first seen changed.

    Attributes:
        since: when that was, nanoseconds.
        unchanged_before: what the unchanged members had answered by then.
        passed_before: what members of passed waves had answered by then.
        own: what the member itself has answered since.
        own_as_passed: the part of `own` that is counted in `Evidence.passed`.
    """

    since: int
    unchanged_before: ServedCounts
    passed_before: ServedCounts
    own: ServedCounts = ServedCounts()
    own_as_passed: ServedCounts = ServedCounts()


@dataclass(slots=True)
class Evidence:
    """Sums of what members served, by whether they were changed.

    Attributes:
        latest: the counts each member reported last, by name.
        unchanged: what members of the old version have answered.
        passed: what members of waves that have passed have answered.
        windows: what is known of each changed member, by name.
    """

    latest: dict[str, ServedCounts] = field(default_factory=dict)
    unchanged: ServedCounts = ServedCounts()
    passed: ServedCounts = ServedCounts()
    windows: dict[str, Window] = field(default_factory=dict)

    def observe(
        self,
        now: int,
        members: Mapping[str, str],
        wave: Collection[str],
        served: Mapping[str, ServedCounts],
    ) -> None:
        """Adds what has grown since the last observation.

        Args:
            now: nanoseconds.
            members: the status of each member of the release; others count as unchanged.
            wave: names in the wave under way.
            served: the counts of those heard lately, by name.
        """
        self.windows = {
            name: window
            for name, window in self.windows.items()
            if members.get(name) == ChangeStatus.NEW
        }
        for name, counts in sorted(served.items()):
            growth = ServedCounts()
            if name in self.latest:
                growth = counts.growth_since(self.latest[name])
            self.latest[name] = counts
            status = members.get(name, ChangeStatus.OLD)
            if status == ChangeStatus.OLD:
                self.unchanged += growth
            elif status == ChangeStatus.NEW:
                self.add_changed(now, name, growth, in_wave=name in wave)

    def add_changed(self, now: int, name: str, growth: ServedCounts, in_wave: bool) -> None:
        """Adds what a changed member has answered to its window."""
        window = self.windows.get(name)
        if window is None:
            # What has grown by now may be its old process's.
            self.windows[name] = Window(now, self.unchanged, self.passed)
            return
        window.own += growth
        if not in_wave:
            self.passed += growth
            window.own_as_passed += growth

    def baseline(self, window: Window) -> ServedCounts:
        """What a changed member is compared with.

        The unchanged members within its own time; where they served little beside it, as in the
        last wave, members of passed waves too; where nobody served, the unchanged ones before its
        time.
        """
        unchanged = self.unchanged - window.unchanged_before
        passed = self.passed - window.passed_before - window.own_as_passed
        if 2 * unchanged.flows < window.own.flows:
            unchanged += passed
        return unchanged if unchanged.flows >= MIN_FLOWS else self.unchanged

    def first_failure(self, plan: Plan, now: int) -> str:
        """Why the first bad member is bad, or an empty string.

        Each member is judged by itself, so that one bad machine is not outweighed by many good
        ones.
        """
        for name, window in self.windows.items():
            if now - window.since >= MIN_WINDOW:
                assessment = assess(plan, name, window.own, self.baseline(window))
                if assessment.verdict is Verdict.BAD:
                    return assessment.reason
        return ""

    def missing(self, plan: Plan, names: Collection[str]) -> str:
        """Why the members named are not all known to be good, or an empty string."""
        reasons = []
        for name in names:
            window = self.windows.get(name)
            if window is None:
                reasons.append(f"{name}: not heard")
                continue
            assessment = assess(plan, name, window.own, self.baseline(window))
            if assessment.verdict is not Verdict.GOOD:
                reasons.append(assessment.reason)
        return "; ".join(reasons[:MAX_REASONS])
