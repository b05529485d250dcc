"""Release commands at the state machine, and release plans read from files."""

import pytest
from release_model import PLAN, ZONES, Fleet

from cypresswalk.fleet import commands
from cypresswalk.refusal import CommandError
from cypresswalk.rollout import plan as plans


def test_a_second_release_is_refused_and_all_errors_of_a_plan_are_named(tmp_path):
    fleet = Fleet(1)
    ok, why = fleet.say(commands.BeginRelease, PLAN, sorted(ZONES))
    assert not ok and "r1 by test is running" in why
    assert fleet.say(commands.RollBack, "r0") == (False, "release r1 by test has come since")
    assert fleet.say(commands.RollBack, "r1")[0] and fleet.release.phase == "backed"
    assert fleet.say(commands.BeginRelease, PLAN, sorted(ZONES)) == (
        False,
        "name: r1 was the last one's",
    )
    file = tmp_path / "r.toml"
    file.write_text(
        'name = "x"\nsince = "v1"\nto = "v1"\nwaves = [["n0", "n9"], [], ["n0"]]\nhold_s = -1\nworse = 2\n'
    )
    with pytest.raises(CommandError) as refusal:
        plans.read_plan(str(file), ZONES, {})
    assert len(str(refusal.value).splitlines()) == 6, refusal.value
    file.write_text('name = "x"\nsince = "v1"\nto = "v2"\nzones = ["z2"]\ncanary = 1\n')
    assert plans.read_plan(str(file), ZONES, {})[3] == [["n2"], ["n5"], ["n0", "n3"], ["n1", "n4"]]
    file.write_text(
        'name = "x"\nsince = "v1"\nto = "v2"\nkind = "servers"\nempty_s = 9\nwaves = [["s1"], ["n0"]]\n'
    )
    with pytest.raises(CommandError) as refusal:
        plans.read_plan(str(file), ZONES, {"s1": "0"})
    assert "n0 is not listed; there are s1" in str(refusal.value)
    assert plans.read_plan(str(file), ZONES, {"s1": "0", "n0": "1"})[-2:] == ["servers", 9.0]


def test_a_failed_member_that_did_not_use_its_second_turn_stays_failed():
    """Else the release would be back with the new version running there."""
    fleet = Fleet(1)
    assert (
        fleet.say(commands.GrantTurn, "n0", ZONES, {}, 1)[0]
        and fleet.say(commands.ChangeStarted, "n0", "v2", ZONES, {})[0]
    )
    fleet.say(commands.ChangeFinished, "n0", "", "its process ended")
    assert fleet.release.members["n0"] == "failed" and fleet.machine.state.halted
    assert fleet.say(commands.Resume, 1)[0]
    fleet.say(commands.BalancerReturned, "n0", fleet.machine.state.leave_grants["n0"])
    assert fleet.say(commands.GrantTurn, "n0", ZONES, {}, 2)[0]
    assert (
        fleet.say(commands.BalancerReturned, "n0", fleet.machine.state.leave_grants["n0"])[0]
        and fleet.release.members["n0"] == "failed"
    )
    assert (
        fleet.say(commands.GrantTurn, "n0", ZONES, {}, 2)[0]
        and fleet.say(commands.RollBack, "r1")[0]
    )
    assert fleet.release.members["n0"] == "failed" and fleet.release.phase == "back"
    # Again and again, or late: one that names another count of halts, or another release, changes nothing.
    assert (
        not fleet.say(commands.ChangeStarted, "n1", "v2", ZONES, {})[0]
        and fleet.machine.state.halted is None
    )
    fleet.say(commands.Halt, "by hand")
    assert not fleet.say(commands.Resume, 1)[0] and fleet.machine.state.halted
