"""The fleet's agreement in virtual time: random faults by seed, mistakes planted for the explorer to find, and single hard cases."""

import os
import struct
import subprocess
import sys
from pathlib import Path
from random import Random
from zlib import crc32

import planted
import pytest

from cypresswalk.agreement.errors import (
    BusyError,
    DamagedLogError,
    ForeignFileError,
    LogDivergedError,
)
from cypresswalk.agreement.log import Snapshot
from cypresswalk.agreement.member_state import Role
from cypresswalk.agreement.messages import ENTRY_COMMAND, AppendEntries, Entry, Member
from cypresswalk.agreement.node import Node
from cypresswalk.agreement.ready import PersistentState, Ready
from cypresswalk.agreement.store import LogIdentity, Store
from cypresswalk.agreement.timing import Timing
from cypresswalk.fleet.events import LeadershipReleased
from cypresswalk.fleet.leases import HeldLease, LeaseGrants
from cypresswalk.fleet.messages import PROTOCOL, Call, FrameDecoder, FrameError, Hello, encode_frame
from cypresswalk.fleet.transport import Transport
from cypresswalk.lab.cluster.checkers.answers import ClientFlow, missing_or_late_answers
from cypresswalk.lab.cluster.checkers.contradiction import Removal, contradictions, lost_removals
from cypresswalk.lab.cluster.checkers.four_rules import repeated_executions
from cypresswalk.lab.cluster.checkers.linearizability import SettingsCall, linearizability_violation
from cypresswalk.lab.cluster.explore import plan_of, run_seed, smaller
from cypresswalk.lab.cluster.virtual import SECOND, Broken, MemoryDisk, World

ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize("first", range(0, 24, 6))
def test_faults_by_seed_break_no_invariant_and_leave_the_fleet_whole(first):
    for seed in range(first, first + 6):
        outcome = run_seed(seed, followers=seed % 3)
        assert not outcome.broken, outcome.broken + "\n" + "\n".join(outcome.history[-60:])
        assert outcome.longest <= 5 * SECOND and len(outcome.states) > 20


@pytest.mark.parametrize(
    "mistake, seeds",
    [
        (planted.vote_not_flushed, [8, 11]),
        (planted.answer_before_the_flush, [13]),
        (planted.lapsed_without_waiting, [18, 25]),
        (planted.wiped_voter_under_its_name, [14, 48]),
        (planted.followers_and_removed_are_counted, [0, 8]),
        (planted.failed_flush_is_forgotten, [1, 8]),
        (planted.logs_not_compared, [5, 8]),
    ],
)
def test_a_planted_mistake_is_found(mistake, seeds, monkeypatch):
    """Else the runs above would show nothing. Seeds that find it; the same ones find nothing in the program as it is."""
    assert not any(run_seed(seed).broken for seed in seeds)
    mistake(monkeypatch)
    assert any(run_seed(seed).broken for seed in seeds)


def test_a_failing_run_is_made_small(monkeypatch):
    planted.logs_not_compared(monkeypatch)
    plan = plan_of(5, [f"n{i}" for i in range(4)], 100)
    assert run_seed(5, plan=plan).broken
    short = smaller(5, plan[:40] if run_seed(5, plan=plan[:40]).broken else plan)
    assert run_seed(5, plan=short).broken and len(short) < 30


def test_a_seed_is_the_same_run_in_every_process():
    code = (
        "from cypresswalk.lab.cluster.explore import run_seed; o = run_seed(2, acts=30);"
        "print(o.steps, o.longest, sorted(o.situations.items()), sorted(o.states))"
    )
    runs = [
        subprocess.run(
            [sys.executable, "-c", code],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            env=os.environ | {"PYTHONHASHSEED": seed},
        ).stdout
        for seed in ("1", "2")
    ]
    assert runs[0] == runs[1] != ""


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
    planted.lease_from_the_answer(monkeypatch)
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
    planted.put_back_folder_is_believed(monkeypatch)
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


def node(entries: int = 0) -> Node:
    member = (Member("a#1", True),)
    made = Node(
        "a#1",
        PersistentState(Snapshot(0, 0, member, b"")),
        Timing(max_uncommitted_entries=8),
        Random(1),
        0,
    )
    made.tick(made.due())
    while (work := made.take_ready()) is not None:
        made.on_persisted(0, work)
    return made


def test_what_waits_to_be_agreed_has_a_bound_and_a_change_needs_an_agreed_entry_of_the_term():
    made = node()
    made.state.durable_index = 1 << 40  # nothing is written, so nothing is agreed
    for _ in range(8):
        made.propose(0, b"x")
    with pytest.raises(BusyError, match="too much"):
        made.propose(0, b"x")
    with pytest.raises(BusyError, match="not the leader"):
        Node(
            "b#1",
            PersistentState(Snapshot(0, 0, (Member("a#1", True),), b"")),
            Timing(),
            Random(1),
            0,
        ).propose(0, b"x")
    with pytest.raises(ValueError):
        made.change_membership(0, (Member("a#1", True), Member("b#1", True), Member("c#1", True)))


class Five:
    """Nodes alone, words carried by hand: for a case that takes more luck than random runs have."""

    def __init__(self):
        members = tuple(Member(name, True) for name in "abcde")
        self.nodes = {
            name: Node(
                name,
                PersistentState(Snapshot(0, 0, members, b"")),
                Timing(max_append_entries=1),
                Random(name),
                0,
            )
            for name in "abcde"
        }
        self.now = 0

    def pump(self, names: str, passes=lambda source, target, word: True) -> None:
        while any([self.step(name, names, passes) for name in names]):
            pass

    def step(self, name: str, names: str, passes) -> bool:
        work = self.nodes[name].take_ready()
        if work is None:
            return False
        self.nodes[name].on_persisted(self.now, work)
        for target, word in work.messages:
            if target in names and passes(name, target, word):
                self.nodes[target].step(self.now, name, word)
        return True

    def elect(self, name: str, names: str, passes=lambda source, target, word: True) -> None:
        for _ in range(6):
            self.now += 10 * SECOND
            self.nodes[name].state.due_at = self.now
            self.nodes[name].tick(self.now)
            self.pump(names, passes)
            if self.nodes[name].role is Role.LEADER:
                return
        raise AssertionError(f"{name} was not elected")


def an_entry_of_an_older_term(five: Five) -> tuple[int, int, bool]:
    """Figure 8 of the Raft paper: what a leader of an older term left at most voters is overwritten all the same."""
    five.elect("a", "abcde")
    index, _ = five.nodes["a"].propose(five.now, b"x")
    five.pump("ab")
    five.elect("e", "cde", lambda source, target, word: not isinstance(word, AppendEntries))
    later = five.nodes["a"].term + 2

    def without_its_own(source, target, word):
        return not (
            isinstance(word, AppendEntries) and any(entry.term >= later for entry in word.entries)
        )

    five.elect("a", "abc", without_its_own)
    for _ in range(8):
        five.now += SECOND // 5
        five.nodes["a"].tick(five.now)
        five.pump("abc", without_its_own)
    assert five.nodes["a"].role is Role.LEADER and five.nodes["c"].log.term_at(index) == 1
    counted = five.nodes["a"].commit_index
    five.elect("e", "bcde")
    five.pump("bcde")
    same = five.nodes["e"].log.term_at(index) == five.nodes["a"].log.term_at(index)
    return index, counted, same


def test_what_an_older_term_left_is_agreed_only_under_an_entry_of_this_one(monkeypatch):
    index, counted, same = an_entry_of_an_older_term(Five())
    assert counted < index and not same
    planted.older_term_committed_by_count(monkeypatch)
    with pytest.raises(
        LogDivergedError, match=f"entry {index} of term 1 is agreed, the leader of term"
    ):
        an_entry_of_an_older_term(Five())  # agreed, and then something else


# Files.


def stored(chance=Random(1)) -> tuple[MemoryDisk, Store, PersistentState]:
    disk = MemoryDisk(chance)
    store = Store(disk)
    kept = PersistentState(Snapshot(4, 2, (Member("a#1", True),), b"state"), [], 2, "a#1")
    store.begin(LogIdentity("f", "g", "a#1", 1), kept)
    return disk, store, kept


def reread(disk: MemoryDisk) -> PersistentState:
    return Store(disk).load("f", "a", lambda text: None)


def test_after_a_crash_at_every_operation_all_that_was_acknowledged_is_there():
    for point in range(60):
        for seed in range(12):
            disk, store, _ = stored(Random(seed))
            disk.kill_in = point
            acknowledged, term = 4, 2
            try:
                for index in range(5, 12):
                    store.write(
                        Ready(entries=[(index, Entry(2, ENTRY_COMMAND, bytes([index]) * 700))])
                    )
                    acknowledged = index
                    if index == 8:
                        store.write(
                            Ready(
                                vote=(3, "b#1"),
                                snapshot=Snapshot(7, 2, (Member("a#1", True),), b"later"),
                                entries=[(8, Entry(2, ENTRY_COMMAND, bytes([8]) * 700))],
                            )
                        )
                        term = 3
            except BaseException as error:
                assert type(error).__name__ == "Killed"
            disk.crash()
            kept = reread(disk)
            last = kept.snapshot.index + len(kept.entries)
            assert acknowledged <= last <= acknowledged + 1 and kept.term >= term
            assert all(
                e.data == bytes([i]) * 700
                for i, e in enumerate(kept.entries, kept.snapshot.index + 1)
            )


def test_damage_is_told_from_a_torn_tail_and_a_foreign_file_is_left_alone():
    disk, store, _ = stored()
    for index in range(5, 9):
        store.write(Ready(entries=[(index, Entry(2, ENTRY_COMMAND, b"\xff" * 40))]))
    data, inode = disk.files["log.1"]
    whole = len(reread(disk).entries)
    for at in range(10, len(data)):
        disk.files["log.1"] = data[:at] + bytes([data[at] ^ 0x55]) + data[at + 1 :], inode
        with pytest.raises(DamagedLogError):
            reread(disk)
    for end in range(len(data) - 90, len(data)):
        disk.files["log.1"] = data[:end], inode
        assert whole - 2 <= len(reread(disk).entries) < whole
    disk.files["log.1"] = data[:8] + struct.pack("<H", 9) + data[10:], inode
    with pytest.raises(ForeignFileError, match="version 9"):
        reread(disk)
    disk.files["log.1"] = data, inode
    for fleet, name in (("other", "a"), ("f", "b")):
        with pytest.raises(ForeignFileError):
            Store(disk).load(fleet, name, lambda text: None)


# Leases and frames.


def test_a_lease_is_given_up_by_its_holder_before_its_giver_counts_it_as_lapsed():
    held, given = HeldLease(5 * SECOND, 0), LeaseGrants(5 * SECOND, 0)
    number = held.request(100 * SECOND)
    given.grant(100 * SECOND, "a")
    held.on_grant(number, 3)
    assert held.valid_until(2) == 0 and 104 * SECOND < held.valid_until(3) < 105 * SECOND
    assert not given.lapsed(105 * SECOND, "a") and given.lapsed(106 * SECOND, "a")
    assert not LeaseGrants(5 * SECOND, 100 * SECOND).lapsed(104 * SECOND, "a")
    held.on_grant(99, 7)  # an answer to nothing that was asked
    assert held.valid_until(3) > 0


def test_odd_frames_end_a_connection_and_have_no_effect():
    chance = Random(7)
    changed = bytearray(encode_frame(Call(1, "status", {"server": "s-1"})))
    changed[-1] ^= 1  # another server's name, and a word as good as before
    frames = FrameDecoder()
    frames.feed(bytes(changed))
    with pytest.raises(FrameError, match="checksum"):
        frames.next_frame()
    good = encode_frame(Call(1, "status", {}))
    for _ in range(400):
        frames = FrameDecoder()
        data = chance.randbytes(40)
        frames.feed(struct.pack("<II", 40, crc32(data)) + data)
        with pytest.raises(FrameError):
            frames.next_frame()
    with pytest.raises(FrameError):
        frames = FrameDecoder()
        frames.feed(b"\xff" * 8)
        frames.next_frame()
    frames = FrameDecoder()
    for byte in good[:-1]:
        frames.feed(bytes([byte]))
        assert frames.next_frame() is None
    frames.feed(good[-1:])
    assert frames.next_frame() == Call(1, "status", {})

    def hello(
        to: str = "", fleet: str = "f", protocol: int = PROTOCOL, boot: int = 2, life: int = 5
    ) -> Hello:
        return Hello(protocol, fleet, "member", "g", "b#1", boot, life, "", to)

    links = Transport(
        ("127.0.0.1", 0),
        "f",
        lambda event: None,
        lambda: 0,
        lambda to: Hello(PROTOCOL, "f", "member", "g", "a#1", 1, 1, "", to),
        lambda: "g",
    )
    assert (
        links.rejection_of(hello()) is None
        and links.rejection_of(hello(to="a#1")) is None
        and links.rejection_of(hello(boot=3, life=6)) is None
    )
    codes = [
        links.rejection_of(odd).code
        for odd in (
            hello(fleet="x"),
            hello(protocol=PROTOCOL + 1),
            hello(to="a#0"),
            hello(boot=2, life=7),
            hello(boot=3, life=7),
        )
    ]
    assert codes == ["fleet", "protocol", "replaced", "put-back", "put-back"]


# Checkers, held against histories that are wrong.


def test_checkers_find_what_is_wrong_in_a_history():
    offer = SettingsCall("offer", 0, 10, "yes", 1, 77, 2)
    assert not linearizability_violation(
        [
            offer,
            SettingsCall("show", 5, 20, "yes", 0, 77, 2),
            SettingsCall("show", 1, 4, "yes", 0, 0, 1),
        ],
        (1, 0),
    )
    assert linearizability_violation(
        [offer, SettingsCall("show", 11, 20, "yes", 0, 0, 1)], (1, 0)
    )  # an old value after a yes
    assert linearizability_violation(
        [offer, SettingsCall("offer", 11, 20, "yes", 1, 78, 3)], (1, 0)
    )  # two on one base
    unsure = SettingsCall("offer", 0, 10, "unsure", 1, 77, 0)
    assert not linearizability_violation(
        [unsure, SettingsCall("show", 30, 40, "yes", 0, 77, 5)], (1, 0)
    )  # it came into force after all
    assert not linearizability_violation(
        [unsure, SettingsCall("show", 30, 40, "yes", 0, 0, 1)], (1, 0)
    )  # or did not
    down = [Removal("s0", 0, 10 * SECOND, 20 * SECOND)]
    assert contradictions(
        down, [(14 * SECOND, "s0", "n1"), (30 * SECOND, "s1", "n1")], 5 * SECOND, 0
    ) == (4 * SECOND, [])
    assert contradictions(down, [(16 * SECOND, "s0", "n1")], 5 * SECOND, 0)[1]
    assert len(contradictions(down, [(21 * SECOND, "s0", "n1")], 60 * SECOND, 0)[1]) == 1
    assert lost_removals(down, set()) and not lost_removals(down, {"s0"})
    flow = ClientFlow("f", "repeatable", 0, SECOND, "end", SECOND // 2, "n0")
    assert missing_or_late_answers([flow], {}, 0) and not missing_or_late_answers(
        [flow], {"n0": [(SECOND // 3, SECOND // 2)]}, 0
    )
    assert missing_or_late_answers(
        [ClientFlow("f", "repeatable", 0, SECOND, "UP", 3 * SECOND, "n0")], {}, 0
    )
    assert repeated_executions(
        [("f", "once-only", "a"), ("f", "once-only", "b")]
    ) and not repeated_executions([("f", "once-only", "a")])
