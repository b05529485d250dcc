"""Leases: the holder gives one up before its grantor counts it as lapsed."""

from cypresswalk.fleet.leases import HeldLease, LeaseGrants
from cypresswalk.lab.cluster.virtual import SECOND


def test_a_lease_is_given_up_by_its_holder_before_its_giver_counts_it_as_lapsed():
    held, given = HeldLease(5 * SECOND, 0), LeaseGrants(5 * SECOND, 0)
    number = held.request(100 * SECOND)
    given.grant(100 * SECOND, "a")
    held.on_grant(number, 3)
    assert held.valid_until(2) == 0 and 104 * SECOND < held.valid_until(3) < 105 * SECOND
    assert not given.lapsed(105 * SECOND, "a") and given.lapsed(106 * SECOND, "a")
    assert not LeaseGrants(5 * SECOND, 100 * SECOND).lapsed(104 * SECOND, "a")
    held.on_grant(99, 7)  # an answer to nothing that was asked
    assert held.valid_until(3) > 0
