"""Single hard cases of the fleet's agreement in virtual time."""

import agreement_mutants
import pytest
from agreement_helpers import (
    PendingCall,
    all_act,
    any_acts,
    call,
    isolate,
    leader_of,
    member_of,
    node_of,
    other_processes,
    removed_servers,
    started_world,
)

from cypresswalk.fleet.events import LeadershipReleased
from cypresswalk.lab.cluster.simulation.errors import ViolationError
from cypresswalk.lab.cluster.simulation.process import Process
from cypresswalk.lab.cluster.simulation.world import World
from cypresswalk.model import SECOND

# More entries than a leader keeps before it writes a snapshot.
SNAPSHOT_ENTRIES = 700


def play_delayed_grant_then_cut(seed: int) -> None:
    """Cut a follower off while a late grant is on its way, and change the settings meanwhile.

    Grants take three seconds; a newer version comes into force after the cut.
    """
    world = started_world(seed)
    leader = leader_of(world)
    holder = other_processes(world, leader)[0]
    world.network.slow_down(leader.name, holder.name, 3 * SECOND)
    world.run(10 * SECOND)
    assert holder.acts
    isolate(world, holder)
    removal = call(world, leader, "out", server="s0")
    world.run(12 * SECOND)
    assert removal.accepted
    assert not holder.acts


def test_lease_runs_from_when_it_was_requested(monkeypatch):
    for seed in range(3):
        play_delayed_grant_then_cut(seed)
    agreement_mutants.lease_runs_from_its_grant(monkeypatch)
    with pytest.raises(ViolationError, match="^L: "):
        for seed in range(3):
            play_delayed_grant_then_cut(seed)


def play_restored_folder(seed: int) -> None:
    """Bring one of two that hold a committed change back with an older folder.

    The other of the two is down then, and the third has never heard of the change.
    """
    world = started_world(seed)
    leader = leader_of(world)
    restored, unaware = other_processes(world, leader)
    restored.kill()
    backup = restored.disk.copy()
    restored.start()
    world.run(4 * SECOND)
    world.network.cut(unaware.name, leader.name)
    world.network.cut(unaware.name, restored.name)
    removal = call(world, leader, "out", server="s0")
    world.run(SECOND)
    assert removal.accepted
    leader.kill()
    restored.kill()
    restored.disk.restore(backup, with_inodes=False)
    restored.start()
    world.network.heal()
    world.run(15 * SECOND)
    leader.start()
    world.run(40 * SECOND)
    assert "s0" in removed_servers(leader_of(world))
    assert all_act(world)
    assert len(member_of(leader_of(world)).members) == 3


def test_member_with_a_restored_folder_is_a_new_incarnation(monkeypatch):
    play_restored_folder(1)
    agreement_mutants.restored_folders_are_trusted(monkeypatch)
    with pytest.raises((ViolationError, AssertionError)):
        play_restored_folder(1)


def test_restored_disk_is_detected_by_members_that_saw_later_starts():
    world = started_world(3)
    leader = leader_of(world)
    restored = other_processes(world, leader)[0]
    id_before = member_of(restored).id
    restored.kill()
    backup = restored.disk.copy()
    for _ in range(2):
        restored.start()
        world.run(3 * SECOND)
        restored.kill()
    restored.disk.restore(backup, with_inodes=True)
    restored.start()
    world.run(20 * SECOND)
    assert member_of(restored).id != id_before
    assert restored.acts
    names = [member.name for member in member_of(leader_of(world)).members]
    assert names.count(restored.name) == 1


def new_leader(world: World, old: Process) -> Process:
    """The leader of the newest term besides a frozen one."""
    leaders = [
        process for process in world.live() if process is not old and member_of(process).is_leader
    ]
    return max(leaders, key=lambda process: node_of(process).term)


def test_frozen_leader_acts_on_nothing_when_it_wakes():
    world = started_world(4)
    frozen = leader_of(world)
    world.freeze(frozen, 60 * SECOND)
    world.run(5 * SECOND)
    leader = new_leader(world, frozen)
    removal = call(world, leader, "out", server="s1")
    world.run(20 * SECOND)
    assert removal.accepted
    world.now = frozen.frozen_until
    assert frozen.fleet is not None
    assert not frozen.fleet.may_act()  # at once, before it has heard anything
    later_removal = call(world, frozen, "out", server="s2")
    world.run(10 * SECOND)
    assert later_removal.accepted
    assert frozen.acts
    assert {"s1", "s2"} <= removed_servers(leader)


def test_loss_of_most_disks_stops_the_fleet():
    """One disk is wiped, one is restored from a backup, and the third member is down."""
    world = started_world(5)
    wiped, restored, down = world.processes.values()
    restored.kill()
    backup = restored.disk.copy()
    restored.start()
    world.run(3 * SECOND)
    removal = call(world, leader_of(world), "out", server="s0")
    world.run(SECOND)
    assert removal.accepted
    for process in (wiped, restored, down):
        process.kill()
    wiped.disk.wipe()
    restored.disk.restore(backup, with_inodes=False)
    wiped.start()
    restored.start()
    world.run(30 * SECOND)
    assert world.leader() is None
    assert not wiped.acts
    assert not restored.acts
    down.start()
    world.run(30 * SECOND)
    assert world.leader() is None
    assert not any_acts(world)


def test_members_with_different_seed_members_bootstrap_nothing():
    world = World(6)
    seed_members = {name: world.addresses[name] for name in ("n0", "n1")}
    process = world.processes["n1"]
    process.table = process.table.model_copy(update={"first": seed_members})
    world.start()
    world.run(20 * SECOND)
    assert world.leader() is None
    assert not any_acts(world)


def test_fleet_recovers_when_all_members_restart_at_once():
    world = started_world(7, followers=3)
    removal = call(world, leader_of(world), "out", server="s0")
    world.run(SECOND)
    assert removal.accepted
    for process in world.processes.values():
        process.kill()
    world.run(SECOND)
    world.start()
    world.run(8 * SECOND)
    assert all_act(world)
    assert all("s0" in removed_servers(process) for process in world.processes.values())


def propose_settings(world: World, name: str, base: int, mark: int) -> PendingCall:
    """Propose settings at one member, made from the version `base`."""
    return call(world, world.processes[name], "offer", base=base, settings={"mark": mark})


def test_settings_that_one_member_cannot_read_are_rejected_with_its_reason():
    world = started_world(8, followers=1)
    world.processes["n3"].unreadable_marks.add(9)
    base = member_of(leader_of(world)).state.settings_version
    unreadable = propose_settings(world, "n1", base, 9)
    concurrent = propose_settings(world, "n2", base, 3)
    world.run(5 * SECOND)
    assert unreadable.answer == (False, {"why": "n3: it can't be read here", "version": base})
    assert not concurrent.accepted
    assert "held" in concurrent.body["why"]
    readable = propose_settings(world, "n2", base, 3)
    world.run(5 * SECOND)
    assert readable.accepted
    in_force = [member_of(process).state.settings for process in world.processes.values()]
    assert in_force == [{"mark": 3}] * 4
    stale = propose_settings(world, "n2", base, 4)
    world.run(5 * SECOND)
    assert not stale.accepted
    assert "stale" in stale.body["why"]


def test_isolated_member_says_whether_a_call_may_have_taken_effect():
    world = started_world(9)
    isolated = other_processes(world, leader_of(world))[0]
    isolate(world, isolated)
    early = call(world, isolated, "out", server="s0")
    world.run(5 * SECOND)
    late = call(world, isolated, "out", server="s1")
    world.run(7 * SECOND)
    assert early.body["unsure"]
    assert "may or may not" in early.body["why"]
    assert not late.body["unsure"]
    assert "nothing was done" in late.body["why"]


def test_replaced_voter_leaves_and_lagging_non_voter_gets_a_snapshot():
    world = started_world(10, voters=3, followers=2)
    voters = [world.processes[name] for name in ("n0", "n1", "n2")]
    replaced = next(process for process in voters if process is not leader_of(world))
    lagging = world.processes["n4"]
    replaced.kill()
    lagging.kill()
    replacement = call(world, leader_of(world), "replace", member=replaced.name, other="n3")
    for number in range(SNAPSHOT_ENTRIES):
        call(world, leader_of(world), "out" if number % 2 == 0 else "back", server="s0")
        world.run(SECOND // 50, check=number % 50 == 0)
    world.run(10 * SECOND)
    is_voter = {member.name: member.voter for member in member_of(leader_of(world)).members}
    assert replacement.accepted
    assert replaced.name not in is_voter
    assert is_voter["n3"]
    assert sum(is_voter.values()) == 3
    assert node_of(leader_of(world)).log.snapshot.index > 500
    lagging.start()
    replaced.start()
    world.run(10 * SECOND)
    assert lagging.acts
    assert lagging.acts_on == leader_of(world).acts_on
    assert not replaced.acts
    assert replaced.name not in {member.name for member in member_of(leader_of(world)).members}


def test_planned_stop_transfers_leadership():
    world = started_world(11)
    leader, term = leader_of(world), node_of(leader_of(world)).term
    leader.turn([LeadershipReleased()])
    world.run(SECOND // 2)
    assert leader_of(world) is not leader
    assert node_of(leader_of(world)).term == term + 1


def test_two_hundred_members_agree():
    world = World(12, voters=5, followers=195)
    world.start()
    world.run(15 * SECOND, check=False)
    world.check()
    assert len(member_of(leader_of(world)).members) == 200
    assert all_act(world)
    removal = call(world, world.processes["n150"], "out", server="s0")
    world.run(2 * SECOND, check=False)
    assert removal.accepted
    assert all("s0" in removed_servers(process) for process in world.processes.values())
