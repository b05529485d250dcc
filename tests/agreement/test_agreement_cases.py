"""Consensus of a simulated fleet in particular fault scenarios."""

import agreement_mutants
import pytest
from agreement_helpers import (
    PendingCall,
    all_have_leases,
    any_has_lease,
    call,
    isolate,
    leader_of,
    member_of,
    node_of,
    other_processes,
    removed_servers,
    start_simulation,
)

from cypresswalk.fleet.events import LeadershipReleased
from cypresswalk.lab.cluster.simulation.errors import ViolationError
from cypresswalk.lab.cluster.simulation.fleet_simulation import FleetSimulation
from cypresswalk.lab.cluster.simulation.process import Process
from cypresswalk.model import SECOND

# More entries than a leader keeps before it takes a snapshot.
SNAPSHOT_ENTRIES = 700


def run_delayed_grant_then_cut(seed: int) -> None:
    """Cut a follower off while a delayed lease grant is in flight, and commit a change meanwhile.

    Messages to the follower take three seconds. The new version takes effect after the cut.
    """
    simulation = start_simulation(seed)
    leader = leader_of(simulation)
    holder = other_processes(simulation, leader)[0]
    simulation.network.slow_down(leader.name, holder.name, 3 * SECOND)
    simulation.run(10 * SECOND)
    assert holder.may_act
    isolate(simulation, holder)
    removal = call(simulation, leader, "out", server="s0")
    simulation.run(12 * SECOND)
    assert removal.accepted
    assert not holder.may_act


def test_lease_runs_from_when_it_was_requested(monkeypatch):
    for seed in range(3):
        run_delayed_grant_then_cut(seed)
    agreement_mutants.lease_runs_from_its_grant(monkeypatch)
    with pytest.raises(ViolationError, match="^L: "):
        for seed in range(3):
            run_delayed_grant_then_cut(seed)


def run_restored_folder(seed: int) -> None:
    """Restore an older folder at one of the two members that have a committed change.

    The other one of them is down then, and the third member has never received the change.
    """
    simulation = start_simulation(seed)
    leader = leader_of(simulation)
    restored, unaware = other_processes(simulation, leader)
    restored.kill()
    backup = restored.disk.copy()
    restored.start()
    simulation.run(4 * SECOND)
    simulation.network.cut(unaware.name, leader.name)
    simulation.network.cut(unaware.name, restored.name)
    removal = call(simulation, leader, "out", server="s0")
    simulation.run(SECOND)
    assert removal.accepted
    leader.kill()
    restored.kill()
    restored.disk.restore(backup, with_inodes=False)
    restored.start()
    simulation.network.heal()
    simulation.run(15 * SECOND)
    leader.start()
    simulation.run(40 * SECOND)
    assert "s0" in removed_servers(leader_of(simulation))
    assert all_have_leases(simulation)
    assert len(member_of(leader_of(simulation)).members) == 3


def test_member_with_a_restored_folder_is_a_new_incarnation(monkeypatch):
    run_restored_folder(1)
    agreement_mutants.restored_folders_are_trusted(monkeypatch)
    with pytest.raises((ViolationError, AssertionError)):
        run_restored_folder(1)


def test_restored_disk_is_detected_by_members_that_saw_later_starts():
    simulation = start_simulation(3)
    leader = leader_of(simulation)
    restored = other_processes(simulation, leader)[0]
    id_before = member_of(restored).id
    restored.kill()
    backup = restored.disk.copy()
    for _ in range(2):
        restored.start()
        simulation.run(3 * SECOND)
        restored.kill()
    restored.disk.restore(backup, with_inodes=True)
    restored.start()
    simulation.run(20 * SECOND)
    assert member_of(restored).id != id_before
    assert restored.may_act
    names = [member.name for member in member_of(leader_of(simulation)).members]
    assert names.count(restored.name) == 1


def new_leader(simulation: FleetSimulation, old: Process) -> Process:
    """Return the leader of the latest term, other than `old`."""
    leaders = [
        process
        for process in simulation.live()
        if process is not old and member_of(process).is_leader
    ]
    return max(leaders, key=lambda process: node_of(process).term)


def test_frozen_leader_acts_on_nothing_when_it_wakes():
    simulation = start_simulation(4)
    frozen = leader_of(simulation)
    simulation.freeze(frozen, 60 * SECOND)
    simulation.run(5 * SECOND)
    leader = new_leader(simulation, frozen)
    removal = call(simulation, leader, "out", server="s1")
    simulation.run(20 * SECOND)
    assert removal.accepted
    simulation.now = frozen.frozen_until
    assert frozen.fleet is not None
    assert not frozen.fleet.may_act()  # at once, before it has received any message
    later_removal = call(simulation, frozen, "out", server="s2")
    simulation.run(10 * SECOND)
    assert later_removal.accepted
    assert frozen.may_act
    assert {"s1", "s2"} <= removed_servers(leader)


def test_loss_of_most_disks_stops_the_fleet():
    """Wipe one disk, restore another from a backup, and keep the third member down."""
    simulation = start_simulation(5)
    wiped, restored, down = simulation.processes.values()
    restored.kill()
    backup = restored.disk.copy()
    restored.start()
    simulation.run(3 * SECOND)
    removal = call(simulation, leader_of(simulation), "out", server="s0")
    simulation.run(SECOND)
    assert removal.accepted
    for process in (wiped, restored, down):
        process.kill()
    wiped.disk.wipe()
    restored.disk.restore(backup, with_inodes=False)
    wiped.start()
    restored.start()
    simulation.run(30 * SECOND)
    assert simulation.leader() is None
    assert not wiped.may_act
    assert not restored.may_act
    down.start()
    simulation.run(30 * SECOND)
    assert simulation.leader() is None
    assert not any_has_lease(simulation)


def test_members_with_different_seed_members_bootstrap_nothing():
    simulation = FleetSimulation(6)
    seed_members = {name: simulation.addresses[name] for name in ("n0", "n1")}
    process = simulation.processes["n1"]
    process.table = process.table.model_copy(update={"first": seed_members})
    simulation.start()
    simulation.run(20 * SECOND)
    assert simulation.leader() is None
    assert not any_has_lease(simulation)


def test_fleet_recovers_when_all_members_restart_at_once():
    simulation = start_simulation(7, followers=3)
    removal = call(simulation, leader_of(simulation), "out", server="s0")
    simulation.run(SECOND)
    assert removal.accepted
    for process in simulation.processes.values():
        process.kill()
    simulation.run(SECOND)
    simulation.start()
    simulation.run(8 * SECOND)
    assert all_have_leases(simulation)
    assert all("s0" in removed_servers(process) for process in simulation.processes.values())


def propose_settings(simulation: FleetSimulation, name: str, base: int, mark: int) -> PendingCall:
    """Propose settings at one member, based on the version `base`."""
    return call(simulation, simulation.processes[name], "offer", base=base, settings={"mark": mark})


def test_settings_that_one_member_cannot_read_are_rejected_with_its_reason():
    simulation = start_simulation(8, followers=1)
    simulation.processes["n3"].unreadable_marks.add(9)
    base = member_of(leader_of(simulation)).state.settings_version
    unreadable = propose_settings(simulation, "n1", base, 9)
    concurrent = propose_settings(simulation, "n2", base, 3)
    simulation.run(5 * SECOND)
    assert unreadable.answer == (False, {"why": "n3: it can't be read here", "version": base})
    assert not concurrent.accepted
    assert "held" in concurrent.body["why"]
    readable = propose_settings(simulation, "n2", base, 3)
    simulation.run(5 * SECOND)
    assert readable.accepted
    in_force = [member_of(process).state.settings for process in simulation.processes.values()]
    assert in_force == [{"mark": 3}] * 4
    stale = propose_settings(simulation, "n2", base, 4)
    simulation.run(5 * SECOND)
    assert not stale.accepted
    assert "stale" in stale.body["why"]


def test_isolated_member_says_whether_a_call_may_have_taken_effect():
    simulation = start_simulation(9)
    isolated = other_processes(simulation, leader_of(simulation))[0]
    isolate(simulation, isolated)
    early = call(simulation, isolated, "out", server="s0")
    simulation.run(5 * SECOND)
    late = call(simulation, isolated, "out", server="s1")
    simulation.run(7 * SECOND)
    assert early.body["unsure"]
    assert "may or may not" in early.body["why"]
    assert not late.body["unsure"]
    assert "nothing was done" in late.body["why"]


def test_replaced_voter_leaves_and_lagging_non_voter_gets_a_snapshot():
    simulation = start_simulation(10, voters=3, followers=2)
    voters = [simulation.processes[name] for name in ("n0", "n1", "n2")]
    replaced = next(process for process in voters if process is not leader_of(simulation))
    lagging = simulation.processes["n4"]
    replaced.kill()
    lagging.kill()
    replacement = call(
        simulation, leader_of(simulation), "replace", member=replaced.name, other="n3"
    )
    for number in range(SNAPSHOT_ENTRIES):
        call(simulation, leader_of(simulation), "out" if number % 2 == 0 else "back", server="s0")
        simulation.run(SECOND // 50, check=number % 50 == 0)
    simulation.run(10 * SECOND)
    is_voter = {member.name: member.voter for member in member_of(leader_of(simulation)).members}
    assert replacement.accepted
    assert replaced.name not in is_voter
    assert is_voter["n3"]
    assert sum(is_voter.values()) == 3
    assert node_of(leader_of(simulation)).log.snapshot.index > 500
    lagging.start()
    replaced.start()
    simulation.run(10 * SECOND)
    assert lagging.may_act
    assert lagging.applied_version == leader_of(simulation).applied_version
    assert not replaced.may_act
    assert replaced.name not in {member.name for member in member_of(leader_of(simulation)).members}


def test_planned_stop_transfers_leadership():
    simulation = start_simulation(11)
    leader, term = leader_of(simulation), node_of(leader_of(simulation)).term
    leader.process_events([LeadershipReleased()])
    simulation.run(SECOND // 2)
    assert leader_of(simulation) is not leader
    assert node_of(leader_of(simulation)).term == term + 1


def test_two_hundred_members_agree():
    simulation = FleetSimulation(12, voters=5, followers=195)
    simulation.start()
    simulation.run(15 * SECOND, check=False)
    simulation.check()
    assert len(member_of(leader_of(simulation)).members) == 200
    assert all_have_leases(simulation)
    removal = call(simulation, simulation.processes["n150"], "out", server="s0")
    simulation.run(2 * SECOND, check=False)
    assert removal.accepted
    assert all("s0" in removed_servers(process) for process in simulation.processes.values())
