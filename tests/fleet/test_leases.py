"""Leases: a holder stops using a lease before its grantor counts it as lapsed."""

import pytest

from cypresswalk.fleet.leases import HeldLease, LeaseGrants
from cypresswalk.model import SECOND

SPAN = 5 * SECOND
REQUESTED_AT = 100 * SECOND
VERSION = 3


@pytest.fixture
def held_lease() -> HeldLease:
    """Return a lease that was requested and granted at the same time."""
    lease = HeldLease(SPAN, 0)
    number = lease.request(REQUESTED_AT)
    lease.on_grant(number, VERSION)
    return lease


def test_lease_ends_for_its_holder_before_its_grantor_counts_it_as_lapsed(held_lease):
    grants = LeaseGrants(SPAN, 0)
    grants.grant(REQUESTED_AT, "a")
    assert 104 * SECOND < held_lease.valid_until(VERSION) < 105 * SECOND
    assert not grants.lapsed(105 * SECOND, "a")
    assert grants.lapsed(106 * SECOND, "a")


def test_lease_is_not_valid_for_an_older_version(held_lease):
    assert held_lease.valid_until(VERSION - 1) == 0


def test_new_grantor_counts_no_lease_as_lapsed_that_its_predecessor_may_have_granted():
    assert not LeaseGrants(SPAN, REQUESTED_AT).lapsed(104 * SECOND, "a")


def test_grant_that_was_not_requested_is_ignored(held_lease):
    held_lease.on_grant(99, 7)
    assert held_lease.valid_until(VERSION) > 0
