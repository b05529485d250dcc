"""Bounds on the number of unavailable members."""

import pytest
from helpers import PARAMS

from cypresswalk.fleet.shared_settings import objection
from cypresswalk.rollout import bounds
from cypresswalk.rollout.bounds import ShareBound, max_unavailable, violation_reason

ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "b3": "b"}
ALL_AND_ZONE = {"all": 3, "zone": 1}
ONE_OF_ALL = {"all": 1}
TWO_LOST = {"b1": "not ready", "b2": "not heard"}
SHARED_SETTINGS = {
    "serviceTypes": PARAMS["serviceTypes"],
    "limits": PARAMS["limits"],
    "rules": PARAMS["rules"],
    "deductions": {},
    "extra": PARAMS["extra"],
    "tenants": PARAMS["tenants"],
    "instances": 1,
}


@pytest.mark.parametrize(
    "bound, total, expected",
    [
        (2, 10, 2),
        ({"share": 0.34}, 10, 3),
        ({"share": 0.25}, 3, 0),
        ({"share": 0.25, "least": 1}, 3, 1),
        ({"share": 0.1}, 10, 1),
        ({"share": 1.0}, 1, 1),
        ({"share": 0.3}, 10, 3),
    ],
)
def test_bound_is_a_number_or_a_share_rounded_down(bound, total, expected):
    assert max_unavailable(bound, total) == expected


@pytest.fixture
def error_of_invalid_bounds() -> str:
    """Return the error for settings in which five bounds are invalid."""
    invalid = {
        "balancers": {"all": 0, "zone": {"share": 2}, "odd": 1},
        "servers": {"all": {"share": 0.5, "least": -1}},
        "clients": {},
    }
    return objection(PARAMS, SHARED_SETTINGS | {"bounds": invalid})


@pytest.mark.parametrize(
    "field",
    ["balancers.all", "balancers.zone", "balancers.odd", "servers.all", "bounds.clients"],
)
def test_every_invalid_bound_is_named(error_of_invalid_bounds, field):
    assert field in error_of_invalid_bounds


def test_valid_bounds_are_accepted():
    valid = {"balancers": {"all": 1}, "servers": {"zone": {"share": 0.5, "least": 1}}}
    assert not bounds.validation_error(valid)


def test_zone_bound_counts_each_zone_separately():
    assert not violation_reason(ALL_AND_ZONE, ZONES, {"a1": "drained"}, {}, "b1")


def test_lost_members_count_against_the_bound():
    violation = violation_reason(ALL_AND_ZONE, ZONES, {}, {"a1": "not heard"}, "a2")
    assert "of zone a" in violation


def test_violation_lists_the_number_and_names_of_unavailable_members():
    violation = violation_reason(ONE_OF_ALL, ZONES, {}, TWO_LOST, "a1")
    assert violation.startswith("2 of 5 are out and 1 may be: b1 (not ready)")


def test_member_that_is_already_out_is_not_counted_twice():
    assert not violation_reason(ALL_AND_ZONE, ZONES, {}, {"a1": "not heard"}, "a1")


def test_lost_member_violates_a_bound_that_others_exceed():
    """The lost member may come back just before it is taken out."""
    assert violation_reason(ONE_OF_ALL, ZONES, {}, TWO_LOST, "b1")


def test_lost_member_may_be_repaired_though_others_are_lost():
    assert not violation_reason(ONE_OF_ALL, ZONES, {}, TWO_LOST, "b1", is_repair=True)


def test_lost_member_may_not_be_repaired_while_another_is_out_by_a_grant():
    granted, lost = {"a1": "drained"}, {"b1": "not ready"}
    assert violation_reason(ONE_OF_ALL, ZONES, granted, lost, "b1", is_repair=True)


def test_a_share_of_a_zone_of_one_allows_none_unless_it_has_a_least_number():
    only = {"only": "z"}
    half = ShareBound(share=0.5)
    half_and_at_least_one = ShareBound(share=0.5, least=1)
    assert violation_reason({"zone": half}, only, {}, {}, "only")
    assert not violation_reason({"zone": half_and_at_least_one}, only, {}, {}, "only")
