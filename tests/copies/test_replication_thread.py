"""Replication threads on disks in memory: failing disks, faults of the program, restarts."""

from random import Random

from cypresswalk.copies.driver import ReplicationThread
from cypresswalk.copies.messages import (
    FetchPartition,
    ReserveKey,
)
from cypresswalk.copies.placement import PARTITIONS, partition_of
from cypresswalk.lab.cluster.virtual import MemoryDisk


class Trio:
    """Three drivers on disks in memory, words between them carried at once, one clock."""

    def __init__(self):
        self.now, self.names, self.told = 0, ["a#1", "b#1", "c#1"], []
        self.disks = {name: MemoryDisk(Random(name)) for name in self.names}
        self.copies: dict[str, ReplicationThread] = {}
        for name in self.names:
            self.start(name, 1)
        for name in self.names:
            self.copies[name].put(
                "words", "a#1", [FetchPartition(part, 1, "") for part in range(PARTITIONS)]
            )
        self.turn()
        for name in self.names:
            self.place(name)
        self.turn()

    def start(self, name: str, boot: int) -> None:
        self.copies[name] = ReplicationThread(
            self.disks[name],
            lambda: self.now,
            lambda: self.now + 10**18,
            lambda to, batch: self.copies[to].put("words", name, batch.messages),
            lambda words: None,
            lambda holds: self.told.append((name, holds)),
        )
        self.copies[name].put("identity", name, boot)

    def place(self, name: str) -> None:
        self.copies[name].put(
            "placed", {part: (1, tuple(self.names)) for part in range(PARTITIONS)}
        )

    def turn(self, seconds: float = 0.0) -> None:
        until = self.now + int(seconds * 10**9)
        while True:
            for _ in range(12):
                for one in self.copies.values():
                    events = []
                    while not one.queue.empty():
                        events.append(one.queue.get())
                    one.turn(events)
            if self.now >= until:
                return
            self.now += 10**8

    def claim(self, name: str, ident: str) -> list:
        told: list = []
        self.copies[name].put(
            "claim",
            ident,
            10**12,
            self.now + 10**9 // 2,
            lambda answer, by: told.append((answer.result, answer.owner)),
        )
        self.turn()
        return told


def test_a_copy_whose_disk_fails_is_no_holder_until_it_has_read_all_anew():
    trio = Trio()
    assert trio.claim("b#1", "x")[0][0] == "granted" and trio.claim("c#1", "x")[0][0] == "held"
    trio.disks["c#1"].failing = True
    told = trio.claim("b#1", "y")
    assert told == [] and trio.told[-1] == ("c#1", False)  # not before every copy has it
    trio.turn(1.0)
    assert told == [("refused", "")]  # in time, whatever the holders do
    trio.disks["c#1"].failing = False
    trio.turn(2.0)
    assert trio.told[-1] == ("c#1", True)
    assert (
        "x" in trio.copies["c#1"].replica.partition(partition_of("x")).records
        and trio.copies["c#1"].replica.partition(partition_of("x")).complete
    )
    assert trio.claim("a#1", "z")[0][0] == "granted"
    trio.turn(6.0)
    told = [[p[1:4] + p[6:] for p in one.status()["parts"]] for one in trio.copies.values()]
    assert told[0] == told[1] == told[2]
    trio.start("c#1", 2)  # what was cut off once is no damage at the next start
    trio.place("c#1")
    trio.turn()
    assert (
        trio.copies["c#1"].replica.partition(partition_of("x")).complete
        and not trio.copies["c#1"].counts["lost"]
    )


def test_a_fault_in_the_program_leaves_nothing_in_memory_that_is_not_on_disk(monkeypatch):
    trio = Trio()
    one = trio.copies["a#1"]
    one.put("words", "b#1", [ReserveKey(1, partition_of("x"), "x", "b#1/1.1", 10**12)])

    def faulty(*words):
        one.over.set()  # the run below ends after this turn
        raise ValueError("a fault")

    monkeypatch.setattr(one.log, "write", faulty)
    one.run()
    assert not one.healthy and not one.replica.partitions
    assert trio.copies["b#1"].queue.empty()  # no word of what was never flushed


def test_a_restart_finds_what_was_flushed_and_files_of_another_start_or_damaged_count_as_lost():
    trio = Trio()
    trio.claim("a#1", "x")
    for boot, damage, whole in ((2, False, True), (9, False, False), (10, True, False)):
        if damage:
            file = max(name for name in trio.disks["b#1"].files if name.startswith("copies."))
            data, inode = trio.disks["b#1"].files[file]
            trio.disks["b#1"].files[file] = data[:40] + bytes([data[40] ^ 1]) + data[41:], inode
        trio.start("b#1", boot)
        trio.place("b#1")
        trio.turn()
        part = trio.copies["b#1"].replica.partition(partition_of("x"))
        assert part.complete is whole and ("x" in part.records) is whole, boot
        assert trio.copies["b#1"].counts["lost"] == (not whole)
