"""Single hard cases of the fleet's agreement in virtual time."""

import agreement_mutants
import pytest

from cypresswalk.fleet.events import LeadershipReleased
from cypresswalk.lab.cluster.virtual import SECOND, Broken, World


def begun(seed: int, voters: int = 3, followers: int = 0) -> World:
    world = World(seed, voters, followers)
    world.start()
    world.run(8 * SECOND)
    assert world.leader() is not None and all(p.acts for p in world.processes.values())
    return world


def ask(world, process, name, **args) -> list:
    told: list = []
    world.entered += 1
    ident = (
        {"ident": f"{name}/{world.entered}", "by": "test", "at": 0}
        if name in ("out", "back", "offer")
        else {}
    )
    world.call(process, name, ident | args, 6 * SECOND, lambda ok, body: told.append((ok, body)))
    return told


def a_slow_way_then_a_cut(seed: int) -> None:
    """Answers come three seconds late; then the holder is cut off while one is on its way, and a newer version comes into force."""
    world = begun(seed)
    leader = world.leader()
    holder = next(p for p in world.processes.values() if p is not leader)
    world.slow[leader.name, holder.name] = 3 * SECOND
    world.run(10 * SECOND)
    assert holder.acts
    world.cuts |= {
        pair
        for q in world.processes
        for pair in ((holder.name, q), (q, holder.name))
        if q != holder.name
    }
    told = ask(world, leader, "out", server="s0")
    world.run(12 * SECOND)
    assert told[0][0] and not holder.acts


def test_a_lease_runs_from_when_it_was_asked_for(monkeypatch):
    for seed in range(3):
        a_slow_way_then_a_cut(seed)
    agreement_mutants.lease_from_the_answer(monkeypatch)
    with pytest.raises(Broken, match="^L: "):
        for seed in range(3):
            a_slow_way_then_a_cut(seed)


def a_folder_put_back(seed: int) -> None:
    """One of two that hold what was agreed comes back with yesterday's folder, and the other is down: a third knows nothing of it."""
    world = begun(seed)
    leader = world.leader()
    old, third = (p for p in world.processes.values() if p is not leader)
    old.kill()
    copy = old.disk.copy()
    old.start()
    world.run(4 * SECOND)
    world.cuts |= {
        pair for q in (leader, old) for pair in ((third.name, q.name), (q.name, third.name))
    }
    told = ask(world, leader, "out", server="s0")
    world.run(SECOND)
    assert told[0][0]
    leader.kill()
    old.kill()
    old.disk.put_back(copy, whole_disk=False)
    old.start()
    world.cuts.clear()
    world.run(15 * SECOND)
    leader.start()
    world.run(40 * SECOND)
    assert "s0" in world.leader().fleet.member.state.removed_servers
    assert (
        all(p.acts for p in world.processes.values())
        and len(world.leader().fleet.member.members) == 3
    )


def test_a_folder_put_back_from_a_copy_is_another_member(monkeypatch):
    a_folder_put_back(1)
    agreement_mutants.put_back_folder_is_believed(monkeypatch)
    with pytest.raises((Broken, AssertionError)):
        a_folder_put_back(1)


def test_a_whole_disk_set_back_is_found_by_those_that_saw_its_later_starts():
    world = begun(3)
    leader = world.leader()
    other = next(p for p in world.processes.values() if p is not leader)
    before = other.fleet.member.id
    other.kill()
    copy = other.disk.copy()
    for _ in range(2):
        other.start()
        world.run(3 * SECOND)
        other.kill()
    other.disk.put_back(copy, whole_disk=True)
    other.start()
    world.run(20 * SECOND)
    assert other.fleet.member.id != before and other.acts
    assert [m.name for m in world.leader().fleet.member.members].count(other.name) == 1


def test_a_frozen_leader_that_wakes_acts_on_nothing_and_promises_nothing():
    world = begun(4)
    leader = world.leader()
    world.freeze(leader, 60 * SECOND)
    world.run(5 * SECOND)
    heir = (
        world.leader()
        if world.leader() is not leader
        else max(
            (p for p in world.live() if p is not leader and p.fleet.member.is_leader),
            key=lambda p: p.fleet.member.node.term,
        )
    )
    told = ask(world, heir, "out", server="s1")
    world.run(20 * SECOND)
    assert told[0][0]
    world.now = leader.frozen_until
    assert not leader.fleet.may_act()  # at once, before it has heard anything
    late = ask(world, leader, "out", server="s2")
    world.run(10 * SECOND)
    assert (
        late[0][0] and leader.acts and {"s1", "s2"} <= set(heir.fleet.member.state.removed_servers)
    )


def test_most_disks_lost_at_once_stop_the_fleet_and_do_nothing_worse():
    """One wiped, one put back, one down."""
    world = begun(5)
    wiped, back, down = world.processes.values()
    back.kill()
    copy = back.disk.copy()
    back.start()
    world.run(3 * SECOND)
    told = ask(world, world.leader(), "out", server="s0")
    world.run(SECOND)
    assert told[0][0]
    for p in (wiped, back, down):
        p.kill()
    wiped.disk.wipe()
    back.disk.put_back(copy, whole_disk=False)
    wiped.start(), back.start()
    world.run(30 * SECOND)
    assert world.leader() is None and not wiped.acts and not back.acts
    down.start()
    world.run(30 * SECOND)
    assert world.leader() is None and not any(p.acts for p in world.processes.values())


def test_first_starts_that_differ_found_nothing():
    world = World(6)
    world.processes["n1"].table = world.processes["n1"].table.model_copy(
        update={"first": {"n0": world.addresses["n0"], "n1": world.addresses["n1"]}}
    )
    world.start()
    world.run(20 * SECOND)
    assert world.leader() is None and not any(p.acts for p in world.processes.values())


def test_the_whole_fleet_stops_and_starts_at_once():
    world = begun(7, followers=3)
    told = ask(world, world.leader(), "out", server="s0")
    world.run(SECOND)
    assert told[0][0]
    for p in world.processes.values():
        p.kill()
    world.run(SECOND)
    world.start()
    world.run(8 * SECOND)
    assert all(
        p.acts and "s0" in p.fleet.member.state.removed_servers for p in world.processes.values()
    )


def test_a_version_that_one_cannot_read_is_not_made_active_and_says_who_and_why():
    world = begun(8, followers=1)
    world.processes["n3"].refuses.add(9)
    base = world.leader().fleet.member.state.settings_version
    told = ask(world, world.processes["n1"], "offer", base=base, settings={"mark": 9})
    two = ask(world, world.processes["n2"], "offer", base=base, settings={"mark": 3})
    world.run(5 * SECOND)
    assert told[0] == (False, {"why": "n3: it can't be read here", "version": base})
    assert not two[0][0] and "held" in two[0][1]["why"]
    told = ask(world, world.processes["n2"], "offer", base=base, settings={"mark": 3})
    world.run(5 * SECOND)
    assert told[0][0] and all(
        p.fleet.member.state.settings == {"mark": 3} for p in world.processes.values()
    )
    told = ask(world, world.processes["n2"], "offer", base=base, settings={"mark": 4})
    world.run(5 * SECOND)
    assert not told[0][0] and "stale" in told[0][1]["why"]


def test_a_call_that_reaches_nobody_says_that_nothing_was_done_and_one_that_may_have_says_so():
    world = begun(9)
    leader = world.leader()
    cut = next(p for p in world.processes.values() if p is not leader)
    world.cuts |= {
        pair for q in world.processes for pair in ((cut.name, q), (q, cut.name)) if q != cut.name
    }
    early = ask(world, cut, "out", server="s0")
    world.run(5 * SECOND)
    late = ask(world, cut, "out", server="s1")
    world.run(7 * SECOND)
    assert early[0][1]["unsure"] and "may or may not" in early[0][1]["why"]
    assert not late[0][1]["unsure"] and "nothing was done" in late[0][1]["why"]


def test_members_leave_and_are_replaced_and_a_follower_far_behind_is_given_a_snapshot():
    world = begun(10, voters=3, followers=2)
    gone = next(
        p
        for p in world.processes.values()
        if p is not world.leader() and p.name in ("n0", "n1", "n2")
    )
    gone.kill()
    behind = world.processes["n4"]
    behind.kill()
    told: list = []
    world.call(
        world.leader(),
        "replace",
        {"ident": "r", "by": "t", "at": 0, "member": gone.name, "other": "n3"},
        6 * SECOND,
        lambda ok, body: told.append(ok),
    )
    for i in range(700):
        ask(world, world.leader(), "out" if i % 2 == 0 else "back", server="s0")
        world.run(SECOND // 50, check=i % 50 == 0)
    world.run(10 * SECOND)
    members = {m.name: m.voter for m in world.leader().fleet.member.members}
    assert (
        told == [True] and gone.name not in members and members["n3"] and sum(members.values()) == 3
    )
    assert world.leader().fleet.member.node.log.snapshot.index > 500
    behind.start()
    gone.start()
    world.run(10 * SECOND)
    assert behind.acts and behind.acts_on == world.leader().acts_on
    assert not gone.acts and gone.name not in {m.name for m in world.leader().fleet.member.members}


def test_a_planned_stop_hands_leadership_over():
    world = begun(11)
    leader, term = world.leader(), world.leader().fleet.member.node.term
    leader.turn([LeadershipReleased()])
    world.run(SECOND // 2)
    assert world.leader() is not leader and world.leader().fleet.member.node.term == term + 1


def test_two_hundred_balancers_in_virtual_time():
    world = World(12, voters=5, followers=195)
    world.start()
    world.run(15 * SECOND, check=False)
    world.check()
    assert len(world.leader().fleet.member.members) == 200 and all(
        p.acts for p in world.processes.values()
    )
    told = ask(world, world.processes["n150"], "out", server="s0")
    world.run(2 * SECOND, check=False)
    assert told[0][0] and all(
        "s0" in p.fleet.member.state.removed_servers for p in world.processes.values()
    )
