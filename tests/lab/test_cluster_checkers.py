"""Tests of the cluster lab's checkers on correct and incorrect histories."""

from cypresswalk.lab.cluster.checkers.answers import ClientFlow, missing_or_late_answers
from cypresswalk.lab.cluster.checkers.contradiction import Removal, contradictions, lost_removals
from cypresswalk.lab.cluster.checkers.four_rules import repeated_executions
from cypresswalk.lab.cluster.checkers.halts import check_halts
from cypresswalk.lab.cluster.checkers.linearizability import (
    CallKind,
    CallOutcome,
    SettingsCall,
    linearizability_violation,
)
from cypresswalk.lab.cluster.checkers.unavailability import Outage, check_unavailability
from cypresswalk.model import SECOND

# Version and value before the first call.
FIRST_VERSION = (1, 0)
OFFER = SettingsCall(CallKind.OFFER, 0, 10, CallOutcome.YES, 1, 77, 2)
UNSURE_OFFER = SettingsCall(CallKind.OFFER, 0, 10, CallOutcome.UNSURE, 1, 77, 0)


def show(called_at: int, returned_at: int, value: int, version: int) -> SettingsCall:
    """Return a call that read the settings."""
    return SettingsCall(CallKind.SHOW, called_at, returned_at, CallOutcome.YES, 0, value, version)


def test_settings_read_during_an_offer_may_be_old_or_new():
    calls = [OFFER, show(5, 20, 77, 2), show(1, 4, 0, 1)]
    assert not linearizability_violation(calls, FIRST_VERSION)


def test_old_settings_read_after_an_accepted_offer_are_a_violation():
    assert linearizability_violation([OFFER, show(11, 20, 0, 1)], FIRST_VERSION)


def test_two_accepted_offers_on_one_base_are_a_violation():
    other_offer = SettingsCall(CallKind.OFFER, 11, 20, CallOutcome.YES, 1, 78, 3)
    assert linearizability_violation([OFFER, other_offer], FIRST_VERSION)


def test_an_offer_without_an_answer_may_have_come_into_force_or_not():
    assert not linearizability_violation([UNSURE_OFFER, show(30, 40, 77, 5)], FIRST_VERSION)
    assert not linearizability_violation([UNSURE_OFFER, show(30, 40, 0, 1)], FIRST_VERSION)


# The removal of server s0 is agreed at 10 s and settled at all balancers at 20 s.
SERVER_OUT = [Removal("s0", 0, 10 * SECOND, 20 * SECOND)]


def test_attempts_at_a_removed_server_are_measured_from_its_removal():
    attempts = [(14 * SECOND, "s0", "n1"), (30 * SECOND, "s1", "n1")]
    assert contradictions(SERVER_OUT, attempts, 5 * SECOND, 0) == (4 * SECOND, [])


def test_attempts_beyond_the_max_contradiction_are_a_violation():
    assert contradictions(SERVER_OUT, [(16 * SECOND, "s0", "n1")], 5 * SECOND, 0)[1]


def test_attempts_after_a_removal_has_settled_are_a_violation():
    violations = contradictions(SERVER_OUT, [(21 * SECOND, "s0", "n1")], 60 * SECOND, 0)[1]
    assert len(violations) == 1


def test_a_removed_server_that_is_back_without_a_request_is_a_violation():
    assert lost_removals(SERVER_OUT, set())
    assert not lost_removals(SERVER_OUT, {"s0"})


def test_a_flow_without_an_answer_is_a_violation_unless_its_balancer_was_disrupted():
    flow = ClientFlow("f", "repeatable", 0, SECOND, "end", SECOND // 2, "n0")
    disrupted = {"n0": [(SECOND // 3, SECOND // 2)]}
    assert missing_or_late_answers([flow], {}, 0)
    assert not missing_or_late_answers([flow], disrupted, 0)


def test_a_late_answer_is_a_violation():
    flow = ClientFlow("f", "repeatable", 0, SECOND, "UP", 3 * SECOND, "n0")
    assert missing_or_late_answers([flow], {}, 0)


def test_a_once_only_flow_that_ran_at_two_servers_is_a_violation():
    assert repeated_executions([("f", "once-only", "a"), ("f", "once-only", "b")])
    assert not repeated_executions([("f", "once-only", "a")])


OUT_N0 = Outage("n0", 10 * SECOND, 20 * SECOND, "changed")
OUT_N1 = Outage("n1", 15 * SECOND, 25 * SECOND, "changed")
LOST_N2 = Outage("n2", 2 * SECOND, 40 * SECOND, "lost")
N1_GOES_OUT = [(18 * SECOND, "n1", "release")]


def test_more_out_at_once_than_the_bound_is_a_violation():
    assert check_unavailability([OUT_N0, OUT_N1], [], [], 2, [], 0) == (2, 2, [])
    violations = check_unavailability([OUT_N0, OUT_N1], [], [], 1, [], 0)[2]
    assert violations == ["n0, n1 are out at once by releases or drains, at most 1 may be out"]


def test_going_out_beside_a_lost_balancer_beyond_the_bound_is_a_violation():
    assert check_unavailability([OUT_N1], [LOST_N2], N1_GOES_OUT, 2, [], 0) == (1, 2, [])
    violations = check_unavailability([OUT_N1], [LOST_N2], N1_GOES_OUT, 1, [], 0)[2]
    assert "n1 went out (release) while n2 were out or lost" in violations[0]


def test_going_out_beside_a_balancer_not_yet_known_to_be_lost_is_no_violation():
    just_lost = Outage("n2", 14 * SECOND, 40 * SECOND, "lost")
    assert check_unavailability([OUT_N1], [just_lost], N1_GOES_OUT, 1, [], 0)[2] == []


def test_going_out_to_be_rolled_back_from_a_fault_is_no_violation():
    lost = [LOST_N2, Outage("n1", 3 * SECOND, 40 * SECOND, "lost")]
    assert check_unavailability([OUT_N1], lost, N1_GOES_OUT, 1, [5 * SECOND], 0)[2] == []


HALT = [(15 * SECOND, 15 * SECOND)]


def test_going_out_after_a_halt_is_a_violation_beyond_the_time_allowed():
    asked_and_agreed = [(15 * SECOND, 16 * SECOND)]
    assert check_halts(N1_GOES_OUT, asked_and_agreed, [], [], 2 * SECOND) == (2 * SECOND, [])
    violations = check_halts(N1_GOES_OUT, HALT, [], [], 2 * SECOND)[1]
    assert violations == ["n1 went out (release) 3.00 s after a confirmed halt"]


def test_going_out_after_a_resume_or_in_a_rollback_is_no_violation():
    assert check_halts(N1_GOES_OUT, HALT, [16 * SECOND], [], 2 * SECOND)[1] == []
    assert check_halts(N1_GOES_OUT, HALT, [], [16 * SECOND], 2 * SECOND)[1] == []
