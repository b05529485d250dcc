"""Release commands, applied by the replicated state machine."""

import pytest
from release_model import NEW_VERSION, PLAN, ZONES, ModelFleet

from cypresswalk.fleet import commands


@pytest.fixture
def fleet() -> ModelFleet:
    """Return a fleet in which release r1 has begun."""
    return ModelFleet(1)


def start_change(fleet: ModelFleet, name: str, boot: int = 1) -> None:
    """Grant a balancer its turn and start its change."""
    assert fleet.apply(commands.GrantTurn, name, ZONES, {}, boot)[0]
    assert fleet.apply(commands.ChangeStarted, name, NEW_VERSION, ZONES, {})[0]


def test_second_release_is_rejected_while_one_is_running(fleet):
    accepted, reason = fleet.apply(commands.BeginRelease, PLAN, sorted(ZONES))
    assert not accepted
    assert "r1 by test is running" in reason


def test_rollback_of_an_earlier_release_is_rejected(fleet):
    answer = fleet.apply(commands.RollBack, "r0")
    assert answer == (False, "release r1 by test has come since")


def test_release_under_the_name_of_the_last_one_is_rejected(fleet):
    assert fleet.apply(commands.RollBack, "r1")[0]
    assert fleet.release.phase == "backed"
    answer = fleet.apply(commands.BeginRelease, PLAN, sorted(ZONES))
    assert answer == (False, "name: r1 was the last one's")


def test_failed_member_that_did_not_use_its_second_turn_stays_failed(fleet):
    """Otherwise a rollback could end while this member still runs the new version."""
    start_change(fleet, "n0")
    fleet.apply(commands.ChangeFinished, "n0", "", "its process ended")
    assert fleet.release.members["n0"] == "failed"
    assert fleet.is_halted
    assert fleet.apply(commands.Resume, 1)[0]
    fleet.return_balancer("n0")
    assert fleet.apply(commands.GrantTurn, "n0", ZONES, {}, 2)[0]
    grant = fleet.machine.state.leave_grants["n0"]
    assert fleet.apply(commands.BalancerReturned, "n0", grant)[0]
    assert fleet.release.members["n0"] == "failed"
    assert fleet.apply(commands.GrantTurn, "n0", ZONES, {}, 2)[0]
    assert fleet.apply(commands.RollBack, "r1")[0]
    assert fleet.release.members["n0"] == "failed"
    assert fleet.release.phase == "back"
    assert not fleet.apply(commands.ChangeStarted, "n1", NEW_VERSION, ZONES, {})[0]
    assert not fleet.is_halted


def test_resume_that_was_sent_before_the_last_halt_is_rejected(fleet):
    fleet.apply(commands.Halt, "first")
    assert fleet.apply(commands.Resume, 1)[0]
    fleet.apply(commands.Halt, "second")
    assert not fleet.apply(commands.Resume, 1)[0]
    assert fleet.is_halted
