"""How many members a bound allows to be unavailable."""

import pytest
from helpers import PARAMS

from cypresswalk.fleet.shared_settings import objection
from cypresswalk.rollout import bounds
from cypresswalk.rollout.bounds import max_unavailable, violation_reason


@pytest.mark.parametrize(
    "bound, of, may",
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
def test_a_bound_is_a_number_or_a_share_rounded_down(bound, of, may):
    assert max_unavailable(bound, of) == may


def test_every_wrong_bound_is_named_and_none_comes_into_force():
    wrong = {
        "balancers": {"all": 0, "zone": {"share": 2}, "odd": 1},
        "servers": {"all": {"share": 0.5, "least": -1}},
        "clients": {},
    }
    said = objection(
        PARAMS,
        {
            "serviceTypes": PARAMS["serviceTypes"],
            "limits": PARAMS["limits"],
            "rules": PARAMS["rules"],
            "deductions": {},
            "extra": PARAMS["extra"],
            "tenants": PARAMS["tenants"],
            "instances": 1,
            "bounds": wrong,
        },
    )
    for place in (
        "balancers.all",
        "balancers.zone",
        "balancers.odd",
        "servers.all",
        "bounds.clients",
    ):
        assert place in said
    assert not bounds.objection(
        {"balancers": {"all": 1}, "servers": {"zone": {"share": 0.5, "least": 1}}}
    )


def test_each_zone_and_all_members_have_a_bound_and_lost_members_count():
    zones = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "b3": "b"}
    scopes = {"all": 3, "zone": 1}
    assert not violation_reason(scopes, zones, {"a1": "drained"}, {}, "b1")
    assert "of zone a" in violation_reason(scopes, zones, {}, {"a1": "not heard"}, "a2")
    assert not violation_reason(
        scopes, zones, {}, {"a1": "not heard"}, "a1"
    )  # out already: no further place
    assert violation_reason(
        {"all": 1}, zones, {}, {"b1": "not ready", "b2": "not heard"}, "a1"
    ).startswith("2 of 5 are out and 1 may be: b1 (not ready)")
    assert violation_reason(
        {"all": 1}, zones, {}, {"b1": "not ready", "b2": "not heard"}, "b1"
    )  # it may come back just before it goes
    assert not violation_reason(
        {"all": 1}, zones, {}, {"b1": "not ready", "b2": "not heard"}, "b1", heals=True
    )
    assert violation_reason(
        {"all": 1}, zones, {"a1": "drained"}, {"b1": "not ready"}, "b1", heals=True
    )
    assert violation_reason(
        {"zone": {"share": 0.5}}, {"only": "z"}, {}, {}, "only"
    )  # a zone of one: half of it is none
    assert not violation_reason({"zone": {"share": 0.5, "least": 1}}, {"only": "z"}, {}, {}, "only")
