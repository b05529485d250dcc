"""Replication threads on disks in memory: failing disks, faults of the program, restarts."""

from random import Random
from typing import Any

import pytest

from cypresswalk.copies.driver import ReplicationThread
from cypresswalk.copies.events import (
    IdentityAssigned,
    MessagesReceived,
    ReservationRequested,
    ViewsAgreed,
)
from cypresswalk.copies.messages import FetchPartition, MessageBatch, ReserveKey
from cypresswalk.copies.partition import Partition
from cypresswalk.copies.placement import PARTITIONS, partition_of
from cypresswalk.lab.cluster.simulation.disk import SimulatedDisk
from cypresswalk.model import SECOND

# Wall time is that much ahead of the threads' clock.
EPOCH = 10**18
RESERVATION_EXPIRY = 1_000 * SECOND
CLAIM_TIMEOUT = SECOND // 2
CLOCK_STEP = SECOND // 10
# Rounds in which all messages of one instant have been carried.
ROUNDS_OF_AN_INSTANT = 12


class ReplicaGroup:
    """Three replication threads that are run by hand, with one clock and links that lose nothing.

    Attributes:
        disks: By member.
        threads: By member.
        health: Who said that its replica is healthy, or is not, in order.
    """

    NAMES = ("a#1", "b#1", "c#1")

    def __init__(self) -> None:
        """Start all three, and agree on a first view of each partition."""
        self.now = 0
        self.health: list[tuple[str, bool]] = []
        self.disks = {name: SimulatedDisk(Random(name)) for name in self.NAMES}
        self.threads: dict[str, ReplicationThread] = {}
        for name in self.NAMES:
            self.start(name, 1)
        fetches = [FetchPartition(partition, 1, "") for partition in range(PARTITIONS)]
        for name in self.NAMES:
            self.threads[name].put(MessagesReceived("a#1", fetches))
        self.run()
        for name in self.NAMES:
            self.agree_on_views(name)
        self.run()

    def start(self, name: str, boot: int) -> None:
        """Start a member's process, for the `boot`th time."""

        def send(receiver: str, batch: MessageBatch) -> None:
            self.threads[receiver].put(MessagesReceived(name, batch.messages))

        thread = ReplicationThread(
            self.disks[name],
            now=lambda: self.now,
            wall=lambda: self.now + EPOCH,
            send=send,
            to_leader=lambda messages: None,
            on_healthy=lambda healthy: self.health.append((name, healthy)),
        )
        thread.put(IdentityAssigned(name, boot))
        self.threads[name] = thread

    def agree_on_views(self, name: str) -> None:
        """Tell a member the first view of all partitions: all three are replicas of each."""
        views = {partition: (1, self.NAMES) for partition in range(PARTITIONS)}
        self.threads[name].put(ViewsAgreed(views))

    def run(self, seconds: float = 0.0) -> None:
        """Let time pass, at whose every instant all messages are carried."""
        end = self.now + int(seconds * SECOND)
        while True:
            for _ in range(ROUNDS_OF_AN_INSTANT):
                for thread in self.threads.values():
                    self.turn(thread)
            if self.now >= end:
                return
            self.now += CLOCK_STEP

    @staticmethod
    def turn(thread: ReplicationThread) -> None:
        """Give a thread what waits for it."""
        events = []
        while not thread.queue.empty():
            events.append(thread.queue.get())
        thread.turn(events)

    def claim(self, name: str, key: str) -> list[tuple[str, str]]:
        """Claim a key at a member; the result and the owner follow in the list."""
        answers: list[tuple[str, str]] = []
        request = ReservationRequested(
            key,
            RESERVATION_EXPIRY,
            self.now + CLAIM_TIMEOUT,
            lambda answer, by: answers.append((answer.result, answer.owner)),
        )
        self.threads[name].put(request)
        self.run()
        return answers

    def partition(self, name: str, key: str) -> Partition:
        """A member's replica of the partition that has a key."""
        return self.threads[name].replica.partition(partition_of(key))

    def damage_newest_file(self, name: str) -> None:
        """Change one byte of the file that a member wrote last."""
        files = self.disks[name].files
        newest = max(file for file in files if file.startswith("copies."))
        data = files[newest].data
        self.disks[name].damage(newest, data[:40] + bytes([data[40] ^ 1]) + data[41:])


@pytest.fixture
def group() -> ReplicaGroup:
    """Three healthy replicas of each partition."""
    return ReplicaGroup()


def test_key_is_granted_once(group):
    assert group.claim("b#1", "x")[0][0] == "granted"
    assert group.claim("c#1", "x")[0][0] == "held"


def test_replica_whose_disk_fails_holds_nothing_until_it_has_read_all_again(group):
    assert group.claim("b#1", "x")[0][0] == "granted"
    group.disks["c#1"].failing = True
    answers = group.claim("b#1", "y")
    assert answers == []  # not before every replica has it
    assert group.health[-1] == ("c#1", False)
    group.run(1.0)
    assert answers == [("refused", "")]  # in time, whatever the replicas do
    group.disks["c#1"].failing = False
    group.run(2.0)
    assert group.health[-1] == ("c#1", True)
    assert "x" in group.partition("c#1", "x").records
    assert group.partition("c#1", "x").complete
    assert group.claim("a#1", "z")[0][0] == "granted"
    group.run(6.0)
    states = [comparable_parts(thread) for thread in group.threads.values()]
    assert states[0] == states[1] == states[2]
    group.start("c#1", 2)  # what its failing disk cut off is no damage at the next start
    group.agree_on_views("c#1")
    group.run()
    assert group.partition("c#1", "x").complete
    assert not group.threads["c#1"].counts["lost"]


def comparable_parts(thread: ReplicationThread) -> list[list[Any]]:
    """What a thread says of its partitions, but for how many records they have."""
    return [part[1:4] + part[6:] for part in thread.status()["parts"]]


def test_fault_of_the_program_leaves_nothing_in_memory_that_is_not_on_disk(group, monkeypatch):
    thread = group.threads["a#1"]
    claim = ReserveKey(1, partition_of("x"), "x", "b#1/1.1", RESERVATION_EXPIRY)
    thread.put(MessagesReceived("b#1", [claim]))

    def fail(*arguments: Any) -> None:
        thread.over.set()  # the run below ends after this turn
        raise ValueError("a fault")

    monkeypatch.setattr(thread.log, "write", fail)
    thread.run()
    assert not thread.healthy
    assert not thread.replica.partitions
    assert group.threads["b#1"].queue.empty()  # nothing is sent that was never written


@pytest.mark.parametrize(
    "boot, damaged, complete",
    [(2, False, True), (9, False, False), (2, True, False)],
    ids=["next start", "another start", "damaged file"],
)
def test_restart_is_complete_only_with_undamaged_files_of_the_last_start(
    group, boot, damaged, complete
):
    group.claim("a#1", "x")
    if damaged:
        group.damage_newest_file("b#1")
    group.start("b#1", boot)
    group.agree_on_views("b#1")
    group.run()
    partition = group.partition("b#1", "x")
    assert partition.complete is complete
    assert ("x" in partition.records) is complete
    assert group.threads["b#1"].counts["lost"] == (not complete)
