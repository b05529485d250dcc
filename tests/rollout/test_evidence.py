"""The evidence on whether changed members serve as well as the others."""

from dataclasses import dataclass, field

import pytest
from release_model import MILLISECOND, PLAN

from cypresswalk.model import SECOND
from cypresswalk.rollout.evidence import Evidence, ServedCounts, assess

FLOWS_PER_SECOND = 100
USUAL_SETUP_MS = 3


def served(
    established: int, rejected: int, failed: int, setup_ms: int = USUAL_SETUP_MS
) -> ServedCounts:
    """Return the counts of a process with a mean set-up time."""
    setup_time = established * setup_ms * MILLISECOND
    return ServedCounts(established, rejected, failed, setup_time)


OTHERS = served(10_000, 0, 50)
NO_OTHERS = ServedCounts()


@pytest.mark.parametrize(
    "own, others, verdict",
    [
        pytest.param(served(9, 0, 1), OTHERS, "unknown", id="too few flows"),
        pytest.param(served(200, 0, 2), OTHERS, "good", id="like the others"),
        pytest.param(served(180, 0, 20), OTHERS, "bad", id="a tenth failed"),
        pytest.param(served(196, 0, 4), OTHERS, "unknown", id="two percent failed by chance"),
        pytest.param(served(200, 200, 0), OTHERS, "bad", id="half rejected"),
        pytest.param(served(200, 0, 0, setup_ms=9), OTHERS, "bad", id="slow"),
        pytest.param(served(0, 0, 60), OTHERS, "bad", id="all failed"),
        pytest.param(served(200, 0, 0, setup_ms=9), NO_OTHERS, "good", id="slow without others"),
        pytest.param(served(200, 200, 0), NO_OTHERS, "unknown", id="rejects without others"),
    ],
)
def test_verdict_compares_enough_flows_with_the_others(own, others, verdict):
    assert assess(PLAN, "n0", own, others).verdict == verdict


@dataclass
class ObservedFleet:
    """Three balancers that serve flows while a release is observed.

    Attributes:
        members: Status of each balancer in the release, by name.
        wave: Names of the balancers in the current wave.
        evidence: The evidence under test.
        now: Current time, nanoseconds.
    """

    members: dict[str, str] = field(default_factory=lambda: {"n0": "old", "n1": "old", "n2": "old"})
    wave: list[str] = field(default_factory=lambda: ["n0"])
    evidence: Evidence = field(default_factory=Evidence)
    now: int = 0

    def __post_init__(self) -> None:
        """Start with processes that have served no flows."""
        self.counts = {name: ServedCounts() for name in self.members}

    def restart(self, name: str) -> None:
        """Replace a balancer's process by one of the new version."""
        self.members[name] = "new"
        self.counts[name] = ServedCounts()

    def serve(self, seconds: int, failure_share: float = 0.0, **shares: float) -> str:
        """Serve flows, of which a share fails, and observe the counts each second.

        Args:
            seconds: How long to serve.
            failure_share: The share of flows that fails at balancers without a share of their own.
            shares: Shares of single balancers, by name.

        Returns:
            Why the first bad member is bad, or an empty string.
        """
        for _ in range(seconds):
            self.now += SECOND
            for name, before in self.counts.items():
                failed = round(FLOWS_PER_SECOND * shares.get(name, failure_share))
                grown = served(FLOWS_PER_SECOND - failed, 0, failed)
                self.counts[name] = ServedCounts(
                    before.established + grown.established,
                    0,
                    before.failed + grown.failed,
                    before.setup_ns + grown.setup_ns,
                )
            self.evidence.observe(self.now, self.members, self.wave, dict(self.counts))
        return self.evidence.first_failure(PLAN, self.now)


@pytest.fixture
def fleet_after_first_wave() -> ObservedFleet:
    """Return a fleet whose first wave is changed while flows to a lost server fail."""
    fleet = ObservedFleet()
    assert not fleet.serve(60)
    fleet.restart("n0")
    assert not fleet.serve(6, failure_share=0.4)
    assert not fleet.serve(30, failure_share=0.01)
    return fleet


def test_evidence_compares_members_over_the_same_time(fleet_after_first_wave):
    """Otherwise a server lost for a moment while a member returns would halt a good release."""
    assert not fleet_after_first_wave.evidence.missing_evidence(PLAN, ["n0"])


def test_last_wave_is_compared_with_passed_waves(fleet_after_first_wave):
    """No member runs the old version by then."""
    fleet = fleet_after_first_wave
    fleet.wave = ["n1", "n2"]
    fleet.members |= {"n1": "new", "n2": "new"}
    assert not fleet.serve(30, failure_share=0.02)
    assert not fleet.evidence.missing_evidence(PLAN, fleet.wave)
    assert fleet.serve(30, failure_share=0.02, n2=0.3).startswith("n2 failed or rejected")
