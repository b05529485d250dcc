"""Tests of when the leader sees that a balancer that was out is back."""

from collections.abc import Collection

import pytest

from cypresswalk.agreement.messages import Member
from cypresswalk.fleet.unavailability import UnavailabilityTracker
from cypresswalk.model import SECOND

MEMBERS = [Member("n0#1", True, "", ""), Member("n1#1", True, "", "")]
GRANT = ("n1 (call)", 7, "drained")
LATER_GRANT = ("n1 (call)", 8, "drained")


class Leader:
    """Leader's tracker, with n1 out by a leave grant."""

    def __init__(self) -> None:
        """Start like a new leader, without any report."""
        self.tracker = UnavailabilityTracker(5 * SECOND)
        self.present = {"n0", "n1"}

    def ended_grant(
        self,
        at_s: int,
        grant: tuple[str, int, str] = GRANT,
        changing: Collection[str] = (),
        waiting: Collection[str] = (),
    ) -> tuple[str, tuple[str, int, str]] | None:
        """Return the balancer whose grant has ended, with that grant, or None."""
        now = at_s * SECOND
        unavailable = set(self.tracker.unavailable(now, MEMBERS, [], [], [])) - {"n0"}
        return self.tracker.next_ended_grant(
            now, {"n1": grant}, changing, waiting, unavailable, self.present
        )

    def grant_lease(self, at_s: int, number: int) -> None:
        """Grant n1 a lease."""
        self.tracker.on_lease_granted(at_s * SECOND, "n1#1", number)

    def report_readiness(self, at_s: int, ready: bool, last_lease: int) -> None:
        """Process a readiness report that n1 sent when `last_lease` was its latest lease."""
        self.tracker.on_readiness(at_s * SECOND, "n1#1", ready, last_lease)


@pytest.fixture
def leader() -> Leader:
    """Return a leader that has just begun."""
    return Leader()


def test_member_without_a_report_to_a_new_leader_is_unavailable(leader):
    assert set(leader.tracker.unavailable(0, MEMBERS[1:], [], [], [])) == {"n1"}


def test_grant_ends_with_readiness_that_was_sent_after_the_grant_expired(leader):
    assert leader.ended_grant(0) is None
    leader.grant_lease(1, 10)
    leader.report_readiness(4, ready=True, last_lease=10)  # sent before it went out
    assert leader.ended_grant(4) is None
    leader.grant_lease(4, 11)
    leader.report_readiness(5, ready=False, last_lease=11)  # now it is out
    assert leader.ended_grant(5) is None
    leader.grant_lease(6, 12)
    leader.report_readiness(7, ready=True, last_lease=12)
    assert leader.ended_grant(7) == ("n1", GRANT)
    assert leader.ended_grant(8, LATER_GRANT) is None


def test_grant_of_a_release_ends_with_readiness_of_the_new_process(leader):
    """The old process is ready all the time, which tells nothing about the new one."""
    assert leader.ended_grant(0, waiting={"n1"}) is None
    assert leader.ended_grant(9, changing={"n1"}) is None
    leader.grant_lease(9, 20)
    leader.report_readiness(9, ready=True, last_lease=20)
    assert leader.ended_grant(10) is None
    leader.report_readiness(10, ready=True, last_lease=20)
    assert leader.ended_grant(10) is None
    leader.grant_lease(10, 21)
    leader.report_readiness(10, ready=True, last_lease=21)
    assert leader.ended_grant(10) == ("n1", GRANT)


def test_grant_of_a_member_that_is_gone_ends_at_once(leader):
    leader.present.discard("n1")
    assert leader.ended_grant(0) == ("n1", GRANT)
