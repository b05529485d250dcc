"""The state machine and the leader's release control, tested on a simple model of a fleet."""

import pytest
from release_model import (
    MAX_OUT,
    NEW_VERSION,
    OLD_VERSION,
    PLAN,
    ModelFleet,
    run_release_with_faults,
)
from release_mutants import (
    count_unheard_balancers_as_out,
    end_grants_while_agents_work,
    ignore_halts,
    ignore_lost_balancers,
    skip_wave_observation,
)

from cypresswalk.fleet import commands
from cypresswalk.model import SECOND

# Each mutant must be detected by one of this many seeds.
MUTANT_SEED_COUNT = 60
LEADER_CHANGE_PROBABILITY = 0.03


@pytest.mark.parametrize("seed", range(6))
def test_good_release_goes_wave_by_wave_within_the_bound_under_leader_changes(seed):
    fleet = ModelFleet(seed)
    while fleet.release.phase == "running" and fleet.now < 900 * SECOND:
        before = dict(fleet.release.members)
        fleet.step()
        if fleet.random.random() < LEADER_CHANGE_PROBABILITY:
            fleet.change_leader()
        begun = [
            name
            for name, status in fleet.release.members.items()
            if status != "old" and before[name] == "old"
        ]
        assert all(name in PLAN.waves[fleet.release.wave] for name in begun)
    assert fleet.release.phase == "done"
    assert set(fleet.versions.values()) == {NEW_VERSION}
    assert fleet.peak_out <= MAX_OUT
    assert not fleet.is_halted, fleet.halt_reason


def run_bad_release(seed: int, defect: str) -> None:
    """Release a version with a defect: it must halt, change no further member, and roll back."""
    fleet = ModelFleet(seed)
    setattr(fleet, defect, NEW_VERSION)
    fleet.run_until(lambda: fleet.is_halted, 300)
    assert fleet.release.wave == 0
    assert fleet.count_of(NEW_VERSION) == 1
    assert "n0" in fleet.halt_reason
    for _ in range(50):
        fleet.step()
    assert fleet.count_of(NEW_VERSION) == 1
    assert fleet.apply(commands.RollBack, "r1")[0]
    fleet.run_until_rolled_back()
    assert set(fleet.versions.values()) == {OLD_VERSION}


@pytest.mark.parametrize("defect", ["bad_version", "slow_version"])
@pytest.mark.parametrize("seed", range(4))
def test_bad_release_halts_in_its_first_wave_and_is_rolled_back(seed, defect):
    run_bad_release(seed, defect)


def test_release_without_enough_flows_halts_in_its_first_wave():
    fleet = ModelFleet(1)
    fleet.flows_per_step = 0
    fleet.run_until(lambda: fleet.is_halted, 300)
    assert fleet.release.wave == 0
    assert "nothing is known of wave 0" in fleet.halt_reason


@pytest.mark.parametrize("seed", range(12))
def test_release_with_faults_keeps_bounds_and_halts_and_can_be_rolled_back(seed):
    run_release_with_faults(seed)


@pytest.mark.parametrize(
    "mutate",
    [
        end_grants_while_agents_work,
        ignore_lost_balancers,
        ignore_halts,
        count_unheard_balancers_as_out,
    ],
)
def test_release_mutant_is_detected(mutate, monkeypatch):
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        for seed in range(MUTANT_SEED_COUNT):
            run_release_with_faults(seed)


def test_mutant_that_skips_wave_observation_is_detected(monkeypatch):
    skip_wave_observation(monkeypatch)
    with pytest.raises(AssertionError):
        for seed in range(4):
            run_bad_release(seed, "bad_version")
