"""Tests of the placement of replicas by the leader, with real replicas in virtual time."""

from collections.abc import Iterable
from random import Random

import pytest

from cypresswalk.agreement.messages import Member
from cypresswalk.copies.effects import AnswerRequest, SendMessage, SendToLeader
from cypresswalk.copies.messages import (
    AnyMessage,
    PartitionFetched,
    PartitionMessage,
    PartitionSealed,
    ReplicaSlow,
)
from cypresswalk.copies.placement import PARTITIONS
from cypresswalk.copies.replica import Replica
from cypresswalk.fleet.replica_placement import MAX_REPLACING, SECOND, ReplicaPlacement

STEPS_PER_SECOND = 5
REPLICAS = 3
MIN_REPLICAS = 2
# Nanoseconds after which a partition without any replica begins empty.
MAX_UNAVAILABLE = 60 * SECOND
# End of a reservation that outlasts each test.
NEVER = 1 << 62

# View and replicas of a partition, as agreed.
View = tuple[int, tuple[str, ...]]


class Fleet:
    """Members with replicas, agreed views, and a leader that runs five times a second.

    Messages are delivered without delay.

    Attributes:
        members: members of the group, the first three of which vote.
        replicas: replicas by member's id.
        dead: ids of members that do not answer.
        views: agreed views by partition.
        leaving: names of members that are to leave.
        placement: the leader's placement, which is under test.
        granted: keys that were granted, by partition.
    """

    def __init__(self, size: int = 5) -> None:
        """Start the members m0, m1, ... in three zones, and a leader."""
        self.members = tuple(Member(f"m{i}#1", i < 3, "", f"z{i % 3}") for i in range(size))
        self.replicas = {member.id: Replica(member.id) for member in self.members}
        self.dead: set[str] = set()
        self.views: dict[int, View] = {}
        self.leaving: list[str] = []
        self.placement = ReplicaPlacement("m0#1", REPLICAS, MIN_REPLICAS)
        self.now = 0
        self.results: list[str] = []
        self.granted: dict[int, set[str]] = {}
        self.report_capabilities()

    def report_capabilities(self) -> None:
        """Report to the leader that all members can hold replicas."""
        for member in self.members:
            self.placement.on_capability(member.id, True)

    def change_leader(self) -> None:
        """Replace the leader by another member, which knows only what is agreed."""
        self.placement = ReplicaPlacement("m1#1", REPLICAS, MIN_REPLICAS)
        self.placement.reset(self.now)
        self.report_capabilities()

    def is_alive(self, member: str) -> bool:
        """Return whether a member answers."""
        return member not in self.dead

    def live_replicas(self) -> Iterable[tuple[str, Replica]]:
        """Return the replicas of members that answer, with the members' ids."""
        return [(name, replica) for name, replica in self.replicas.items() if self.is_alive(name)]

    def deliver_to_leader(self, member: str, message: AnyMessage) -> None:
        """Deliver a replica's message to the leader."""
        self.placement.on_message(self.now, member, message, self.views)

    def carry_out(self, member: str) -> None:
        """Carry out a replica's effects, and the effects of its messages at other replicas."""
        replica = self.replicas[member]
        while replica.effects:
            match replica.effects.pop(0):
                case SendToLeader(message):
                    self.deliver_to_leader(member, message)
                case AnswerRequest(_, answer):
                    self.results.append(answer.result)
                case SendMessage(receiver, message) if self.is_alive(receiver):
                    self.deliver(member, receiver, message)

    def deliver(self, sender: str, receiver: str, message: AnyMessage) -> None:
        """Deliver a message to another replica, or to the leader if it is the receiver."""
        if isinstance(message, PartitionSealed | PartitionFetched):
            self.deliver_to_leader(sender, message)
        else:
            assert isinstance(message, PartitionMessage)
            self.replicas[receiver].on_message(sender, message)
            self.carry_out(receiver)

    def run(self, seconds: float) -> None:
        """Advance time, and run the leader at each step."""
        for _ in range(round(seconds * STEPS_PER_SECOND)):
            self.now += SECOND // STEPS_PER_SECOND
            proposals, messages = self.placement.next_steps(
                self.now, self.members, self.views, self.leaving, self.is_alive, MAX_UNAVAILABLE
            )
            for receiver, message in messages:
                if self.is_alive(receiver):
                    self.deliver_from_leader(receiver, message)
            for partition, view in proposals.items():
                self.agree(partition, view)
            self.check_complete_replicas()
            self.report_slow_replicas()

    def deliver_from_leader(self, receiver: str, message: AnyMessage) -> None:
        """Deliver the leader's message; the replica's answers to the leader are delivered first."""
        replica = self.replicas[receiver]
        if not isinstance(message, PartitionSealed):
            assert isinstance(message, PartitionMessage)
            replica.on_message("m0#1", message)
        for effect in [found for found in replica.effects if isinstance(found, SendMessage)]:
            if isinstance(effect.message, PartitionSealed | PartitionFetched):
                self.deliver_to_leader(receiver, effect.message)
                replica.effects.remove(effect)
        self.carry_out(receiver)

    def agree(self, partition: int, view: View) -> None:
        """Agree on a partition's next view, and begin it at the live replicas."""
        number, chosen = view
        assert number == self.views.get(partition, (0,))[0] + 1
        assert len(chosen) >= MIN_REPLICAS
        self.views[partition] = view
        for name, replica in self.live_replicas():
            replica.begin_view(partition, number, chosen)
            self.carry_out(name)

    def check_complete_replicas(self) -> None:
        """Assert that each complete replica of a newest view has all keys granted in it."""
        for partition, (view, chosen) in self.views.items():
            for name, replica in self.live_replicas():
                state = replica.partition(partition)
                if name in chosen and state.complete and state.view == view:
                    assert set(state.records) >= self.granted.get(partition, set())

    def report_slow_replicas(self) -> None:
        """Report to the leader the replicas that are not complete in their view."""
        for name, replica in self.live_replicas():
            for partition, (view, chosen) in self.views.items():
                state = replica.partition(partition)
                if name in chosen and state.view == view and not state.complete:
                    self.deliver_to_leader(name, ReplicaSlow(partition, view, name))

    def revive(self, member: str) -> None:
        """Make a member answer again, with all that was agreed in the meantime."""
        self.dead.discard(member)
        for partition, view in self.views.items():
            self.replicas[member].begin_view(partition, *view)
        self.carry_out(member)

    def revive_all(self) -> None:
        """Make all members answer again."""
        self.dead.clear()
        for member in self.replicas:
            self.revive(member)

    def reserve_everywhere(self, key: str) -> None:
        """Reserve a key in each partition whose primary answers."""
        for partition, (_, chosen) in self.views.items():
            primary = chosen[0]
            if not self.is_alive(primary):
                continue
            before = len(self.results)
            self.replicas[primary].reserve(0, partition, key, "c", NEVER, None)
            self.carry_out(primary)
            if self.results[before:] == ["granted"]:
                self.granted.setdefault(partition, set()).add(key)

    def partitions_that_granted(self, key: str) -> set[int]:
        """Return the partitions that granted a key."""
        return {partition for partition, keys in self.granted.items() if key in keys}

    def partitions_at(self, member: str) -> list[int]:
        """Return the partitions with a replica at a member."""
        return [partition for partition, (_, chosen) in self.views.items() if member in chosen]

    def replica_counts(self) -> set[int]:
        """Return the numbers of complete live replicas that occur among the partitions."""
        return {
            sum(
                self.is_alive(name) and self.replicas[name].partition(partition).complete
                for name in chosen
            )
            for partition, (_, chosen) in self.views.items()
        }


def settled_fleet(size: int) -> Fleet:
    """Return a fleet in which each partition has its replicas."""
    fleet = Fleet(size)
    fleet.run(2)
    return fleet


def test_partitions_are_replicated_again_elsewhere_when_members_die():
    fleet = settled_fleet(5)
    assert len(fleet.views) == PARTITIONS
    assert fleet.replica_counts() == {REPLICAS}
    fleet.reserve_everywhere("x")
    assert len(fleet.granted) == PARTITIONS
    fleet.dead.add("m1#1")
    fleet.reserve_everywhere("y")  # the partitions of m1 grant nothing now
    fleet.run(0.8)
    # They grant again soon, with two replicas, except for the few that get new replicas.
    fleet.reserve_everywhere("z")
    assert len(fleet.partitions_that_granted("z")) >= PARTITIONS - MAX_REPLACING
    fleet.run(15)
    assert fleet.replica_counts() == {REPLICAS}
    assert not fleet.partitions_at("m1#1")
    fleet.dead.add("m2#1")
    fleet.run(15)
    assert fleet.replica_counts() == {REPLICAS}
    assert fleet.partitions_that_granted("x") == set(fleet.granted)
    assert not fleet.placement.under_replicated
    assert not fleet.placement.lost


def test_partitions_grant_with_the_minimum_of_replicas_and_not_with_one():
    fleet = settled_fleet(5)
    for dead in ("m1#1", "m2#1"):
        fleet.dead.add(dead)
        fleet.run(15)
    fleet.dead.add("m3#1")
    fleet.run(5)
    fleet.reserve_everywhere("w")
    assert len(fleet.partitions_that_granted("w")) == PARTITIONS
    assert len(fleet.placement.under_replicated) == PARTITIONS
    fleet.dead.add("m4#1")
    fleet.run(20)
    fleet.reserve_everywhere("v")
    assert not fleet.partitions_that_granted("v")
    fleet.revive_all()
    fleet.run(20)
    assert fleet.replica_counts() == {REPLICAS}
    assert not fleet.placement.unreachable


def test_replica_that_lost_its_files_gets_all_keys_before_it_is_complete():
    fleet = settled_fleet(3)
    fleet.reserve_everywhere("x")
    emptied = fleet.replicas["m2#1"] = Replica("m2#1")
    for partition, view in fleet.views.items():
        emptied.begin_view(partition, *view)
    fleet.run(15)
    assert fleet.replica_counts() == {REPLICAS}
    assert all("x" in emptied.partition(number).records for number in range(PARTITIONS))


def test_new_leader_continues_with_partitions_that_its_predecessor_sealed():
    fleet = settled_fleet(3)
    for partition, (view, chosen) in fleet.views.items():
        primary = fleet.replicas[chosen[0]]
        assert primary.seal(partition, view)
        primary.effects.clear()
    fleet.change_leader()
    # A sealed primary reports that it is sealed until the next view begins.
    for partition, (view, chosen) in fleet.views.items():
        fleet.deliver_to_leader(chosen[0], PartitionSealed(partition, view, True))
    fleet.run(3)
    fleet.reserve_everywhere("x")
    assert len(fleet.granted) == PARTITIONS


def test_partition_without_any_replica_grants_nothing_until_all_its_keys_have_expired():
    fleet = settled_fleet(4)
    fleet.reserve_everywhere("x")
    # Three machines lose their disks and return under new incarnations.
    fleet.dead |= {"m1#1", "m2#1", "m3#1"}
    returned = tuple(Member(f"m{i}#2", True, "", f"z{i % 3}") for i in (1, 2, 3))
    fleet.members = (fleet.members[0], *returned)
    for member in returned:
        fleet.replicas[member.id] = Replica(member.id)
    fleet.report_capabilities()
    lost = set(fleet.views) - set(fleet.partitions_at("m0#1"))
    assert 0 < len(lost) < PARTITIONS
    fleet.run(40)
    assert set(fleet.placement.lost) == lost
    # The keys granted in a lost partition are unknown, so their flows may run again.
    for partition in lost:
        del fleet.granted[partition]
    fleet.reserve_everywhere("y")
    assert not fleet.partitions_that_granted("y") & lost
    assert len(fleet.granted) == PARTITIONS - len(lost)
    fleet.run(30)
    fleet.reserve_everywhere("z")
    assert len(fleet.partitions_that_granted("z")) == PARTITIONS
    assert not fleet.placement.lost


def test_leaving_member_loses_its_partitions_and_a_joining_member_gets_some():
    fleet = settled_fleet(4)
    fleet.reserve_everywhere("x")
    fleet.leaving = ["m3"]
    fleet.run(20)
    assert not fleet.partitions_at("m3#1")
    assert fleet.replica_counts() == {REPLICAS}
    fleet.leaving = []
    fleet.run(20)
    assert len(fleet.partitions_at("m3#1")) > PARTITIONS // 3
    assert fleet.replica_counts() == {REPLICAS}
    assert len(fleet.granted) == PARTITIONS


@pytest.mark.parametrize("seed", range(4))
def test_random_deaths_and_returns_lose_no_granted_key(seed):
    random, fleet = Random(seed), settled_fleet(6)
    for step in range(60):
        member = random.choice(fleet.members).id
        if member in fleet.dead:
            fleet.revive(member)
        elif len(fleet.dead) < 2:
            fleet.dead.add(member)
        fleet.run(random.choice((0.2, 0.6, 3)))
        fleet.reserve_everywhere(f"i{step}")
        if random.random() < 0.1:
            fleet.change_leader()
    fleet.revive_all()
    fleet.run(30)
    assert fleet.replica_counts() == {REPLICAS}
