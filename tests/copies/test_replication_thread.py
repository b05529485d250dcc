"""Replication threads on simulated disks: failing disks, exceptions and restarts."""

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

# Offset of the wall time from the threads' clock, in nanoseconds.
WALL_CLOCK_OFFSET = 10**18
RESERVATION_DURATION = 1_000 * SECOND
RESERVE_TIMEOUT = SECOND // 2
CLOCK_STEP = SECOND // 10
# Rounds of message delivery per clock step; enough for all messages, including answers.
ROUNDS_PER_STEP = 12


class ReplicaGroup:
    """Three replication threads that a test steps, with one clock and links that lose nothing.

    Attributes:
        disks: The disk of each member.
        threads: The replication thread of each member.
        health: The health reports of all members in order: the member, and whether it is healthy.
    """

    NAMES = ("a#1", "b#1", "c#1")

    def __init__(self) -> None:
        """Start all three, and agree on the first view of each partition."""
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
        """Start a member's process; `boot` is the number of this start."""

        def send(receiver: str, batch: MessageBatch) -> None:
            self.threads[receiver].put(MessagesReceived(name, batch.messages))

        thread = ReplicationThread(
            self.disks[name],
            now=lambda: self.now,
            wall=lambda: self.now + WALL_CLOCK_OFFSET,
            send=send,
            send_to_leader=lambda messages: None,
            on_health_changed=lambda healthy: self.health.append((name, healthy)),
        )
        thread.put(IdentityAssigned(name, boot))
        self.threads[name] = thread

    def agree_on_views(self, name: str) -> None:
        """Announce the first view of all partitions to a member; all three are replicas of each."""
        views = {partition: (1, self.NAMES) for partition in range(PARTITIONS)}
        self.threads[name].put(ViewsAgreed(views))

    def run(self, seconds: float = 0.0) -> None:
        """Advance the clock in steps, and deliver all messages at each step."""
        end = self.now + int(seconds * SECOND)
        while True:
            for _ in range(ROUNDS_PER_STEP):
                for thread in self.threads.values():
                    self.run_thread(thread)
            if self.now >= end:
                return
            self.now += CLOCK_STEP

    @staticmethod
    def run_thread(thread: ReplicationThread) -> None:
        """Let a thread process the events in its queue."""
        events = []
        while not thread.queue.empty():
            events.append(thread.queue.get())
        thread.process_events(events)

    def reserve(self, name: str, key: str) -> list[tuple[str, str]]:
        """Reserve a key at a member; return a list to which the result and owner are added."""
        answers: list[tuple[str, str]] = []
        request = ReservationRequested(
            key,
            RESERVATION_DURATION,
            self.now + RESERVE_TIMEOUT,
            lambda answer, owner: answers.append((answer.result, answer.owner)),
        )
        self.threads[name].put(request)
        self.run()
        return answers

    def partition(self, name: str, key: str) -> Partition:
        """Return a member's replica of the partition that contains a key."""
        return self.threads[name].replica.partition(partition_of(key))

    def damage_newest_file(self, name: str) -> None:
        """Change one byte of the newest file of a member."""
        files = self.disks[name].files
        newest = max(file for file in files if file.startswith("copies."))
        data = files[newest].data
        self.disks[name].damage(newest, data[:40] + bytes([data[40] ^ 1]) + data[41:])


@pytest.fixture
def group() -> ReplicaGroup:
    """Return three healthy replicas of each partition."""
    return ReplicaGroup()


def test_key_is_granted_once(group):
    assert group.reserve("b#1", "x")[0][0] == "granted"
    assert group.reserve("c#1", "x")[0][0] == "held"


def test_replica_whose_disk_fails_is_unhealthy_until_it_has_read_its_files_again(group):
    assert group.reserve("b#1", "x")[0][0] == "granted"
    group.disks["c#1"].failing = True
    answers = group.reserve("b#1", "y")
    assert answers == []  # no grant before every replica has the record
    assert group.health[-1] == ("c#1", False)
    group.run(1.0)
    assert answers == [("refused", "")]  # answered at the deadline, whatever the replicas do
    group.disks["c#1"].failing = False
    group.run(2.0)
    assert group.health[-1] == ("c#1", True)
    assert "x" in group.partition("c#1", "x").records
    assert group.partition("c#1", "x").complete
    assert group.reserve("a#1", "z")[0][0] == "granted"
    group.run(6.0)
    states = [comparable_parts(thread) for thread in group.threads.values()]
    assert states[0] == states[1] == states[2]
    group.start("c#1", 2)  # the tail torn by the failing disk is not damage at the next start
    group.agree_on_views("c#1")
    group.run()
    assert group.partition("c#1", "x").complete
    assert not group.threads["c#1"].counts["lost"]


def comparable_parts(thread: ReplicationThread) -> list[list[Any]]:
    """Return the status of a thread's partitions, without the numbers of records."""
    return [part[1:4] + part[6:] for part in thread.status()["parts"]]


def test_exception_leaves_no_record_in_memory_that_is_not_on_disk(group, monkeypatch):
    thread = group.threads["a#1"]
    request = ReserveKey(1, partition_of("x"), "x", "b#1/1.1", RESERVATION_DURATION)
    thread.put(MessagesReceived("b#1", [request]))

    def fail(*arguments: Any) -> None:
        thread.stop_requested.set()  # the call of run() below ends after this batch
        raise ValueError("simulated fault")

    monkeypatch.setattr(thread.log, "write", fail)
    thread.run()
    assert not thread.healthy
    assert not thread.replica.partitions
    assert group.threads["b#1"].queue.empty()  # no message was sent for the unwritten record


@pytest.mark.parametrize(
    "boot, damaged, complete",
    [(2, False, True), (9, False, False), (2, True, False)],
    ids=["next start", "another start", "damaged file"],
)
def test_restart_is_complete_only_with_undamaged_files_of_the_last_start(
    group, boot, damaged, complete
):
    group.reserve("a#1", "x")
    if damaged:
        group.damage_newest_file("b#1")
    group.start("b#1", boot)
    group.agree_on_views("b#1")
    group.run()
    partition = group.partition("b#1", "x")
    assert partition.complete is complete
    assert ("x" in partition.records) is complete
    assert group.threads["b#1"].counts["lost"] == (not complete)
