"""Releases: the state machine and the leader's part against a plain model."""

import pytest
from release_model import (
    PLAN,
    Fleet,
    a_halt_is_forgotten,
    a_release_among_faults,
    lost_balancers_are_not_counted,
    slots_are_freed_while_an_agent_works,
    unknown_members_are_taken_for_out,
    waves_do_not_wait,
)

from cypresswalk.fleet import commands


def test_a_good_release_goes_wave_by_wave_within_the_bound_under_leader_changes():
    for seed in range(6):
        fleet = Fleet(seed)
        while fleet.release.phase == "running" and fleet.now < 900 * 10**9:
            before = dict(fleet.release.members)
            fleet.step()
            if fleet.chance.random() < 0.03:
                fleet.other_leads()
            begun = {
                n for n, s in fleet.release.members.items() if s != "old" and before[n] == "old"
            }
            assert all(name in PLAN.waves[fleet.release.wave] for name in begun)
        assert (
            fleet.release.phase == "done"
            and set(fleet.runs.values()) == {"v2"}
            and fleet.most_out <= 2
        )
        assert fleet.machine.state.halted is None, fleet.machine.state.halted  # no false halt


@pytest.mark.parametrize("how", ["bad", "slow"])
def test_a_bad_release_is_halted_in_its_first_wave_and_rolled_back(how):
    for seed in range(4):
        fleet = Fleet(seed)
        setattr(fleet, how, "v2")
        while fleet.machine.state.halted is None and fleet.now < 300 * 10**9:
            fleet.step()
        assert (
            fleet.release.wave == 0
            and list(fleet.runs.values()).count("v2") == 1
            and "n0" in fleet.machine.state.halted[2]
        )
        for _ in range(50):
            fleet.step()
        assert list(fleet.runs.values()).count("v2") == 1  # it holds
        assert fleet.say(commands.RollBack, "r1")[0]
        fleet.until(("backed",))
        assert set(fleet.runs.values()) == {"v1"}


def test_too_few_flows_give_no_verdict_and_halt_the_release_in_the_end():
    fleet = Fleet(1)
    fleet.rate = 0
    while fleet.machine.state.halted is None and fleet.now < 300 * 10**9:
        fleet.step()
    assert fleet.release.wave == 0 and "nothing is known of wave 0" in fleet.machine.state.halted[2]


def test_lost_members_count_a_dead_agent_halts_and_rolling_back_is_always_possible():
    for seed in range(12):
        a_release_among_faults(seed)


@pytest.mark.parametrize(
    "mistake",
    [
        slots_are_freed_while_an_agent_works,
        lost_balancers_are_not_counted,
        a_halt_is_forgotten,
        unknown_members_are_taken_for_out,
    ],
)
def test_a_deliberately_broken_rule_is_detected(mistake, monkeypatch):
    mistake(monkeypatch)
    with pytest.raises(AssertionError):
        for seed in range(60):
            a_release_among_faults(seed)


def test_a_wave_that_is_not_observed_is_detected(monkeypatch):
    waves_do_not_wait(monkeypatch)
    with pytest.raises(AssertionError):
        test_a_bad_release_is_halted_in_its_first_wave_and_rolled_back("bad")
