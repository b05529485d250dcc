"""The evidence by which a release is judged."""

from dataclasses import dataclass, field

import pytest
from release_model import MILLISECOND, PLAN

from cypresswalk.model import SECOND
from cypresswalk.rollout.evidence import Evidence, ServedCounts, assess

FLOWS_A_SECOND = 100
USUAL_SETUP_MS = 3


def served(
    established: int, rejected: int, failed: int, setup_ms: int = USUAL_SETUP_MS
) -> ServedCounts:
    """What a process answered, with a mean set-up time."""
    setup_time = established * setup_ms * MILLISECOND
    return ServedCounts(established, rejected, failed, setup_time)


OTHERS = served(10_000, 0, 50)
NOBODY = ServedCounts()


@pytest.mark.parametrize(
    "own, others, verdict",
    [
        pytest.param(served(9, 0, 1), OTHERS, "unknown", id="too few flows"),
        pytest.param(served(200, 0, 2), OTHERS, "good", id="as the others"),
        pytest.param(served(180, 0, 20), OTHERS, "bad", id="a tenth failed"),
        pytest.param(served(196, 0, 4), OTHERS, "unknown", id="two percent failed by chance"),
        pytest.param(served(200, 200, 0), OTHERS, "bad", id="ready and rejects"),
        pytest.param(served(200, 0, 0, setup_ms=9), OTHERS, "bad", id="slow"),
        pytest.param(served(0, 0, 60), OTHERS, "bad", id="all failed"),
        pytest.param(served(200, 0, 0, setup_ms=9), NOBODY, "good", id="slow without others"),
        pytest.param(served(200, 200, 0), NOBODY, "unknown", id="rejects without others"),
    ],
)
def test_verdict_compares_enough_flows_with_the_others(own, others, verdict):
    assert assess(PLAN, "n0", own, others).verdict == verdict


@dataclass
class ObservedFleet:
    """Three balancers that serve flows while a release is observed.

    Attributes:
        members: How far each is in the release.
        wave: Who is observed.
    """

    members: dict[str, str] = field(default_factory=lambda: {"n0": "old", "n1": "old", "n2": "old"})
    wave: list[str] = field(default_factory=lambda: ["n0"])
    evidence: Evidence = field(default_factory=Evidence)
    now: int = 0

    def __post_init__(self) -> None:
        """Begin with processes that have served nothing."""
        self.counts = {name: ServedCounts() for name in self.members}

    def restart(self, name: str) -> None:
        """A process of the new version takes a balancer's place."""
        self.members[name] = "new"
        self.counts[name] = ServedCounts()

    def serve(self, seconds: int, failure_share: float = 0.0, **shares: float) -> str:
        """Serve flows, of which a share fails at all, or at some by name.

        Returns:
            Why the first bad member is bad, or an empty string.
        """
        for _ in range(seconds):
            self.now += SECOND
            for name, before in self.counts.items():
                failed = round(FLOWS_A_SECOND * shares.get(name, failure_share))
                grown = served(FLOWS_A_SECOND - failed, 0, failed)
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
    """A fleet whose first wave is changed; flows to a lost server failed meanwhile."""
    fleet = ObservedFleet()
    assert not fleet.serve(60)
    fleet.restart("n0")
    assert not fleet.serve(6, failure_share=0.4)
    assert not fleet.serve(30, failure_share=0.01)
    return fleet


def test_evidence_compares_members_over_the_same_time(fleet_after_first_wave):
    """Else a server lost for a moment, as a member comes back, would halt a good release."""
    assert not fleet_after_first_wave.evidence.missing(PLAN, ["n0"])


def test_last_wave_is_compared_with_those_that_were_passed(fleet_after_first_wave):
    """Nobody runs the old version by then."""
    fleet = fleet_after_first_wave
    fleet.wave = ["n1", "n2"]
    fleet.members |= {"n1": "new", "n2": "new"}
    assert not fleet.serve(30, failure_share=0.02)
    assert not fleet.evidence.missing(PLAN, fleet.wave)
    assert fleet.serve(30, failure_share=0.02, n2=0.3).startswith("n2 failed or rejected")
