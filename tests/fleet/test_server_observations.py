"""Tests of the leader's evaluation of balancers' reports on servers."""

from cypresswalk.fleet.messages import ServerReport
from cypresswalk.fleet.server_observations import ServerObservations
from cypresswalk.lab.units import SECOND

VALID_FOR = 5 * SECOND
MEMBERS = {"n0#1", "n1#1", "n2#1", "n3#1"}


def test_unhealthy_servers_and_open_flows_need_enough_recent_reports():
    observations = ServerObservations(VALID_FOR)
    observations.on_report(0, "n0#1", 4, ServerReport(["s0", "s1"]))
    observations.on_report(0, "n1#1", 4, ServerReport(["s0"]))
    assert not observations.conclusive(0, MEMBERS)
    assert observations.open_flows(0, MEMBERS, "s0") is None
    observations.on_report(SECOND, "n2#1", 4, ServerReport([], {"s0": 3}))
    assert observations.conclusive(SECOND, MEMBERS)
    # n3, which has not reported yet, may have flows at s0 (seed 357).
    assert observations.open_flows(SECOND, MEMBERS, "s0") is None
    observations.on_report(SECOND, "n3#1", 3, ServerReport([]))
    assert observations.conclusive(SECOND, MEMBERS)
    # Two of four report s0 unhealthy, only one reports s1.
    assert list(observations.unhealthy(SECOND, MEMBERS)) == ["s0"]
    assert observations.open_flows(SECOND, MEMBERS, "s0") == 3
    assert not observations.conclusive(6 * SECOND + 1, MEMBERS)


def test_server_is_seen_ready_by_a_majority_that_acts_on_its_return():
    observations = ServerObservations(VALID_FOR)
    observations.on_report(0, "n0#1", 4, ServerReport(["s0", "s1"]))
    observations.on_report(0, "n1#1", 4, ServerReport(["s0"]))
    observations.on_report(SECOND, "n2#1", 4, ServerReport([], {"s0": 3}))
    observations.on_report(SECOND, "n3#1", 3, ServerReport([]))
    # s1 returned in version 4, on which n3 does not act yet: only two of four have seen s1 ready.
    assert observations.seen_ready(SECOND, MEMBERS, {"s1": 4}, ["s0", "s1"]) == {}
    observations.on_report(SECOND, "n3#1", 4, ServerReport([]))
    returned = {"s1": 4, "s9": 2}  # s9 is no longer listed
    assert observations.seen_ready(SECOND, MEMBERS, returned, ["s0", "s1"]) == returned


def test_counts_are_summed_over_restarts_of_a_balancer():
    observations = ServerObservations(VALID_FOR)
    # Only what is counted after a member's first report is added to the totals.
    observations.on_report(SECOND, "n0#1", 4, ServerReport([]))
    for at, counts in ((7, (10, 0, 1, 50)), (8, (14, 0, 1, 70)), (9, (3, 0, 0, 9))):
        report = ServerReport(flow_counts={"s0": counts})
        observations.on_report(at * SECOND, "n0#1", 4, report)
    served = observations.served["s0"]
    assert (served.established, served.failed) == (17, 1)
