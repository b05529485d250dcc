"""Compares changed members with the others over the same time. No I/O, no clock.

Each member reports about every second how many flows it has answered since its process started.
The growth between two observations is added to the sums for unchanged members or to those of the
changed member, by its status at that time, so that a changed member is compared with what the
others answered since its change. For example, a
server that is lost for a moment affects all members alike; with sums over different times it would
count against those that were changed just before.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from cypresswalk.rollout.release import ChangeStatus, Plan

SECOND = 1_000_000_000
NANOSECONDS_PER_MS = 1e6
# A failure share counts as bad if it is worse by more than this many standard errors, so that a
# short burst of failures does not halt a release.
MIN_STANDARD_ERRORS = 3.0
MIN_FLOWS = 30  # a member is not judged bad on fewer flows
# Counts of members arrive a second or two apart. Over a shorter window, failures at all members may
# look like failures at only a few.
MIN_WINDOW = 5 * SECOND  # nanoseconds
MAX_REASONS = 5  # listed in one text


@dataclass(frozen=True, slots=True)
class ServedCounts:
    """Counts of the flows that a process has answered since it started.

    Attributes:
        established: flows that were set up.
        rejected: flows that were rejected.
        failed: flows that failed.
        setup_ns: sum of the set-up times of established flows, nanoseconds.
    """

    established: int = 0
    rejected: int = 0
    failed: int = 0
    setup_ns: int = 0

    def growth_since(self, before: "ServedCounts") -> "ServedCounts":
        """Return the increase since `before`; a restarted process has counted from zero."""
        restarted = (
            self.established < before.established
            or self.failed < before.failed
            or self.rejected < before.rejected
        )
        return self if restarted else self - before

    def __sub__(self, other: "ServedCounts") -> "ServedCounts":
        """Return the difference of each count."""
        return ServedCounts(
            self.established - other.established,
            self.rejected - other.rejected,
            self.failed - other.failed,
            self.setup_ns - other.setup_ns,
        )

    def __add__(self, other: "ServedCounts") -> "ServedCounts":
        """Return the sum of each count."""
        return ServedCounts(
            self.established + other.established,
            self.rejected + other.rejected,
            self.failed + other.failed,
            self.setup_ns + other.setup_ns,
        )

    @property
    def flows(self) -> int:
        """All answered flows."""
        return self.established + self.rejected + self.failed

    @property
    def failure_share(self) -> float:
        """Share of answered flows that failed or were rejected, 0.0 to 1.0."""
        return (self.rejected + self.failed) / self.flows if self.flows else 0.0

    @property
    def mean_setup_ns(self) -> float:
        """Mean set-up time, nanoseconds; only valid if some flows were established."""
        return self.setup_ns / self.established


class Verdict(StrEnum):
    """The result of comparing one changed member with the others."""

    GOOD = "good"
    BAD = "bad"
    UNKNOWN = "unknown"


class Assessment(NamedTuple):
    """A verdict and its reason, which is empty for GOOD."""

    verdict: Verdict
    reason: str


def assess(plan: Plan, name: str, own: ServedCounts, others: ServedCounts) -> Assessment:
    """Compare what one changed member served with what the others served meanwhile.

    If there are no others to compare with, as in a fleet of one, `others` is empty and the member
    is compared with a failure share of zero.
    """
    failure = failure_reason(plan, name, own, others)
    if failure:
        return Assessment(Verdict.BAD, failure)
    if own.flows < plan.min_flows:
        return Assessment(Verdict.UNKNOWN, f"{name} answered {own.flows} flows of {plan.min_flows}")
    if own.failure_share > others.failure_share + plan.max_excess_failure_share:
        # Worse than allowed, but perhaps by chance; the wave must not pass on this either.
        return Assessment(
            Verdict.UNKNOWN,
            f"{name} failed or rejected {own.failure_share:.1%} of {own.flows} flows, "
            f"the others {others.failure_share:.1%}: too few to tell",
        )
    return Assessment(Verdict.GOOD, "")


def failure_reason(plan: Plan, name: str, own: ServedCounts, others: ServedCounts) -> str:
    """Return why a changed member is certainly worse than the others, or an empty string."""
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
    """Return the difference of two failure shares that may be due to chance."""
    variance = max(
        others.failure_share * (1 - others.failure_share),
        own.failure_share * (1 - own.failure_share),
    )
    return MIN_STANDARD_ERRORS * (variance * (1 / own.flows + 1 / others.flows)) ** 0.5


@dataclass(slots=True)
class ObservationWindow:
    """The counts of one changed member, and the sums of the others when it was changed.

    Attributes:
        since: time when the member was first seen changed, nanoseconds.
        unchanged_before: `Evidence.unchanged` at that time.
        passed_before: `Evidence.passed` at that time.
        own: flows that the member itself has answered since then.
        own_in_passed: the part of `own` that is also included in `Evidence.passed`.
    """

    since: int
    unchanged_before: ServedCounts
    passed_before: ServedCounts
    own: ServedCounts = ServedCounts()
    own_in_passed: ServedCounts = ServedCounts()


@dataclass(slots=True)
class Evidence:
    """Sums of the flows that members answered, by whether they were changed.

    Attributes:
        latest: the counts that each member reported last, by name.
        unchanged: flows answered by members with the old version.
        passed: flows answered by members of waves that have passed.
        windows: the observation window of each changed member, by name.
    """

    latest: dict[str, ServedCounts] = field(default_factory=dict)
    unchanged: ServedCounts = ServedCounts()
    passed: ServedCounts = ServedCounts()
    windows: dict[str, ObservationWindow] = field(default_factory=dict)

    def observe(
        self,
        now: int,
        members: Mapping[str, str],
        wave: Collection[str],
        served: Mapping[str, ServedCounts],
    ) -> None:
        """Add the increase of all counts since the last observation.

        Args:
            now: current time, nanoseconds.
            members: the status of each member of the release; others count as unchanged.
            wave: names of the members in the current wave.
            served: the counts of the members that have reported recently, by name.
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
                self.add_to_window(now, name, growth, in_wave=name in wave)

    def add_to_window(self, now: int, name: str, growth: ServedCounts, in_wave: bool) -> None:
        """Add what a changed member has answered to its window."""
        window = self.windows.get(name)
        if window is None:
            # This increase may still come from the old process, so it is not counted.
            self.windows[name] = ObservationWindow(now, self.unchanged, self.passed)
            return
        window.own += growth
        if not in_wave:
            self.passed += growth
            window.own_in_passed += growth

    def baseline(self, window: ObservationWindow) -> ServedCounts:
        """Return the counts that a changed member is compared with.

        These are the counts of the unchanged members since the member's change. If they served less
        than half as many flows as the member, as in the last wave, members of passed waves are
        included. If all of these served too few flows, all counts of unchanged members are used,
        including those from before the change.
        """
        unchanged = self.unchanged - window.unchanged_before
        passed = self.passed - window.passed_before - window.own_in_passed
        if 2 * unchanged.flows < window.own.flows:
            unchanged += passed
        return unchanged if unchanged.flows >= MIN_FLOWS else self.unchanged

    def first_failure(self, plan: Plan, now: int) -> str:
        """Return why the first bad member is bad, or an empty string.

        Each member is judged separately, so that many good machines can't hide one bad one.
        """
        for name, window in self.windows.items():
            if now - window.since >= MIN_WINDOW:
                assessment = assess(plan, name, window.own, self.baseline(window))
                if assessment.verdict is Verdict.BAD:
                    return assessment.reason
        return ""

    def missing_evidence(self, plan: Plan, names: Collection[str]) -> str:
        """Return why some of the named members are not known to be good, or an empty string."""
        reasons = []
        for name in names:
            window = self.windows.get(name)
            if window is None:
                reasons.append(f"{name}: no report yet")
                continue
            assessment = assess(plan, name, window.own, self.baseline(window))
            if assessment.verdict is not Verdict.GOOD:
                reasons.append(assessment.reason)
        return "; ".join(reasons[:MAX_REASONS])
