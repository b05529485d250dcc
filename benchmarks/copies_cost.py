"""Measures the cost of reserving idempotency keys and replicating the reservations.

    python benchmarks/copies_cost.py [delay|claims|million]     all three by default

`delay` starts complete balancers; the other parts start processes that run only the member's side
of the fleet (`fleet.driver.FleetThread`). A claim is a request for a reservation.
Results: docs/measurements/copies.md.
"""

import asyncio
import json
import os
import shutil
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from queue import SimpleQueue
from typing import Any, cast

from harness import (
    SECOND,
    RealCluster,
    Summary,
    kill_child,
    read_line,
    report,
    resident_kib,
    run_parts,
    running,
    start_child,
    write_line,
)

from cypresswalk.copies.driver import ReplicationThread
from cypresswalk.copies.effects import StoredChange
from cypresswalk.copies.events import Event, ReservationRequested
from cypresswalk.copies.messages import RecordStored, ReservationRecord
from cypresswalk.copies.placement import PARTITIONS, partition_of
from cypresswalk.copies.reservations import ReservationAnswer
from cypresswalk.fleet import client
from cypresswalk.fleet.driver import FleetThread
from cypresswalk.fleet.errors import UncertainOutcomeError
from cypresswalk.lab.balancers import free_port
from cypresswalk.operator import FleetTable
from cypresswalk.refusal import CommandError

FLEET = "cost"  # the fleet's name
HOST = "127.0.0.1"
MEMBER_ROLE = "member"  # argument of a child process

DELAY_TURNS = 5
CLAIM_SECONDS = 5
FILLED_KEYS = 1_000_000
KEYS_PER_WRITE = 20_000  # flushed together when a replica is filled
RECORD_LIFETIME = 3_600 * SECOND
HOT_PARTITION = 7  # the partition of all keys of `claim ... part`
JOIN_SECONDS = 8  # until members that joined have taken over their partitions
ANSWER_MARGIN = 5  # seconds for which a claimer waits for answers after its end
NOTICE_SECONDS = 3  # until the leader has noticed that a member is gone


# The process of a member.


@dataclass(frozen=True, slots=True)
class FillRequested:
    """A request to store `count` keys in bulk."""

    count: int


class FillableReplicationThread(ReplicationThread):
    """A replication thread that can store keys in bulk, as if they had been reserved.

    Each member stores its keys by itself, without messages to the others.
    """

    def on_event(self, now: int, event: Event | FillRequested) -> None:
        """Handle an event of the base class, or FillRequested."""
        if not isinstance(event, FillRequested):
            super().on_event(now, event)
            return
        expires_at = time.time_ns() // RECORD_LIFETIME * RECORD_LIFETIME + 2 * RECORD_LIFETIME
        for first in range(0, event.count, KEYS_PER_WRITE):
            self._store(range(first, min(first + KEYS_PER_WRITE, event.count)), expires_at)
        report("filled")

    def _store(self, numbers: range, expires_at: int) -> None:
        """Store the keys of `numbers` that belong here; all members use the same `expires_at`."""
        changes: list[StoredChange] = []
        for number in numbers:
            key = f"{number:016x}"
            partition = self.replica.partitions.get(partition_of(key))
            if (
                partition is None
                or not partition.complete
                or self.replica.member_id not in partition.replicas
            ):
                continue
            record = ReservationRecord(key, "n0#0123456789abcdef/1.1000", expires_at, "ran")
            self.replica.put(partition, record)
            changes.append(RecordStored(partition_of(key), record))
        if changes:
            self.log.write(changes, self.replica.statuses)


class Claimer:
    """A load that keeps a constant number of claims pending at a member for some seconds."""

    def __init__(self, fleet: FleetThread, pending: int, seconds: float, key: str):
        """Create a claimer.

        Args:
            fleet: the member's thread.
            pending: number of pending claims.
            seconds: duration in seconds.
            key: the key that all claims are for; "part" for keys of one partition, "" for any.
        """
        self.fleet = fleet
        self.pending = pending
        self.seconds = seconds
        self.key = key
        self.ends_at = 0.0
        self.prefix = os.urandom(8).hex()
        self.durations_ms: list[float] = []
        self.results: Counter[str] = Counter()
        self.finished = threading.Semaphore(0)

    def run(self) -> None:
        """Run the claims, then print the figures as JSON."""
        self.ends_at = time.monotonic() + self.seconds
        for number in range(self.pending):
            self._claim(number)
        for _ in range(self.pending):
            self.finished.acquire(timeout=self.seconds + ANSWER_MARGIN)
        summary = Summary.of(self.durations_ms)
        figures = {
            "count": summary.count,
            "kinds": self.results,
            "p50": summary.median,
            "p99": summary.p99,
        }
        report(json.dumps(figures))

    def _claim(self, number: int) -> None:
        began = time.monotonic()

        def on_answer(answer: ReservationAnswer, by: str) -> None:
            """Count the answer, and claim the next key until the time is up."""
            self.results[answer.result] += 1
            self.durations_ms.append((time.monotonic() - began) * 1000)
            if time.monotonic() < self.ends_at:
                self._claim(number + self.pending)
            else:
                self.finished.release()

        deadline = self.fleet.now() + SECOND
        event = ReservationRequested(self._key(number), SECOND, deadline, on_answer)
        assert self.fleet.replication is not None  # its table has replicas
        self.fleet.replication.put(event)

    def _key(self, number: int) -> str:
        if self.key != "part":
            return self.key or f"{self.prefix[:8]}{number:08x}"
        candidate = number << 16
        while True:
            key = f"{self.prefix[:4]}{candidate:012x}"
            if partition_of(key) == HOT_PARTITION:
                return key
            candidate += 1


def run_member(table: str) -> None:
    """Run a member that executes the commands on its input.

    The commands are `claim PENDING SECONDS [KEY]` and `fill COUNT`.

    Args:
        table: table `[fleet]` of the operator file, as JSON.
    """
    fleet = FleetThread(
        FleetTable.model_validate_json(table),
        lambda settings: "",
        {"serviceTypes": []},
        lambda view: fleet.on_version_applied(view.version),
        lambda: None,
    )
    # The fleet's thread creates its own replication thread; this class handles one more event.
    assert fleet.replication is not None  # the table has replicas
    fleet.replication.__class__ = FillableReplicationThread
    queue = cast("SimpleQueue[Any]", fleet.replication.queue)
    fleet.start()
    for line in sys.stdin:
        command, *words = line.split()
        if command == "fill":
            queue.put(FillRequested(int(words[0])))
        elif command == "claim":
            key = words[2] if len(words) > 2 else ""
            Claimer(fleet, int(words[0]), float(words[1]), key).run()


# The process of the benchmark.


@dataclass
class Members:
    """Processes of members m0, m1 and so on; the first `voters` vote."""

    folder: Path
    count: int
    voters: int = 3
    processes: dict[str, "subprocess.Popen[str]"] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Choose names and addresses."""
        self.names = [f"m{number}" for number in range(self.count)]
        self.addresses = {name: f"{HOST}:{free_port(HOST)}" for name in self.names}

    def __enter__(self) -> "Members":
        """Start all members, and wait until all partitions are placed and complete."""
        try:
            for name in self.names:
                self.start(name)
            self.wait_until_complete()
            time.sleep(JOIN_SECONDS)
            self.wait_until_complete()
        except BaseException:
            self.kill_all()
            raise
        return self

    def __exit__(self, *error: object) -> None:
        """Kill all members."""
        self.kill_all()

    def start(self, name: str) -> None:
        """Start a member."""
        number = self.names.index(name)
        table = {
            "fleet": FLEET,
            "name": name,
            "address": self.addresses[name],
            "folder": str(self.folder / name),
            "zone": f"z{number % 3}",
            "first": {voter: self.addresses[voter] for voter in self.names[: self.voters]},
            "copies": {},
        }
        self.processes[name] = start_child(__file__, MEMBER_ROLE, json.dumps(table))

    def kill_and_wipe(self, name: str) -> None:
        """Kill a member and remove its folder."""
        kill_child(self.processes[name])
        shutil.rmtree(self.folder / name)

    def kill_all(self) -> None:
        """Kill all members."""
        for process in self.processes.values():
            kill_child(process)

    def send_line(self, name: str, line: str) -> None:
        """Write a line to a member's input."""
        write_line(self.processes[name], line)

    def next_line(self, name: str) -> str:
        """Wait for the next line of a member's output and return it."""
        return read_line(self.processes[name])

    def local_status(self, name: str, timeout: float = 20.0) -> dict[str, Any]:
        """Return a member's status of its own replicas."""
        address = self.addresses[name]
        return client.call([address], FLEET, "copies_local", None, timeout)[1]

    def resident_kib(self, name: str) -> int:
        """Return the resident memory of a member, in KiB."""
        return resident_kib(self.processes[name].pid)

    def wait_until_complete(self, timeout: float = 60) -> None:
        """Wait until all members can hold replicas and all replicas are complete."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if self._is_complete():
                return
            time.sleep(0.05)
        raise SystemExit("timed out waiting for complete partitions")

    def _is_complete(self) -> bool:
        addresses = list(self.addresses.values())
        try:
            ok, status = client.call(addresses, FLEET, "copies", None, 2.0)
        except (CommandError, UncertainOutcomeError):
            return False
        return (
            ok
            and len(status["parts"]) == PARTITIONS
            and not status["lacking"]
            and not status["changing"]
            and len(status["able"]) >= self.count
        )


# The parts.


def measure_delay() -> None:
    """Print the time from OPEN to UP, alternately with replicas on disk, in memory, and without."""
    for turn in range(DELAY_TURNS):
        for copies, in_memory in ((3, False), (3, True), (0, False)):
            samples = asyncio.run(setup_delays(copies, in_memory))
            figures = "; ".join(
                f"{effect} {sample.count}: p50 {sample.median:.2f} p99 {sample.p99:.2f} ms"
                for effect, sample in samples.items()
            )
            report(f"{turn} copies {copies} {'memory' if in_memory else 'disk'}  {figures}")


async def setup_delays(copies: int, in_memory: bool) -> dict[str, Summary]:
    """Return the times until flows were established, in milliseconds, by effect."""
    plan = {"balancers": 3, "lasts_s": 10, "flows_per_s": 150, "copies": copies}
    async with running(RealCluster, plan, in_memory) as cluster:
        await cluster.wait_until_agreed()
        if copies:
            await cluster.wait_until_replicated()
        await cluster.play()
        established = [request for request in cluster.requests if request.is_established]
        return {
            effect: Summary.of([r.setup_ms for r in established if r.effect == effect])
            for effect in ("once-only", "repeatable")
        }


def measure_claims() -> None:
    """Print the rate and the latency of claims by all members at once."""
    for count in (3, 5, 9):
        with tempfile.TemporaryDirectory() as folder, Members(Path(folder), count) as members:
            for pending, key in ((1, ""), (64, ""), (64, "hot"), (64, "part")):
                claim_at_all_members(members, pending, key)
            local = members.local_status("m0", timeout=5.0)
            size = sum(file.stat().st_size for file in (Path(folder) / "m0").glob("copies.*"))
            counts = local["counts"]
            report(
                f"   m0 holds {local['ids']} ids, {size / max(local['ids'], 1):.0f} bytes on disk "
                f"for each, {counts['written'] / counts['flushes']:.1f} records a flush"
            )


def claim_at_all_members(members: Members, pending: int, key: str) -> None:
    """Run claims at all members at once, and print the figures."""
    for name in members.names:
        members.send_line(name, f"claim {pending} {CLAIM_SECONDS} {key}")
    results = [json.loads(members.next_line(name)) for name in members.names]
    rate = sum(figures["count"] for figures in results) / CLAIM_SECONDS
    median = statistics.median(figures["p50"] for figures in results)
    p99 = max(figures["p99"] for figures in results)
    report(
        f"{len(results)} members, {pending} pending at each {key}: {rate:.0f} claims a second, "
        f"p50 {median:.2f} ms, p99 {p99:.1f} ms, {[figures['kinds'] for figures in results]}"
    )


def measure_million() -> None:
    """Print the memory of a million keys, and the time to replace a lost member's replicas.

    Each key is stored at three of four members; one of them is killed and its folder removed while
    claims run.
    """
    with tempfile.TemporaryDirectory() as folder, Members(Path(folder), 4) as members:
        fill(members)
        members.send_line("m0", "claim 8 40")
        time.sleep(5)
        members.kill_and_wipe("m3")
        began = time.monotonic()
        members.start("m3")
        time.sleep(NOTICE_SECONDS)
        members.wait_until_complete(timeout=120)
        duration = time.monotonic() - began
        report(f"all parts have three copies again {duration:.1f} s after the kill")
        held = [complete_keys(members.local_status(name)) for name in members.names]
        report(f"ids in complete parts, by member: {held}")
        report(f"claims in the meantime: {members.next_line('m0').strip()}")


def fill(members: Members) -> None:
    """Make all members store the keys that belong to them; print the memory per key."""
    before = members.resident_kib("m0")
    for name in members.names:
        members.send_line(name, f"fill {FILLED_KEYS}")
    for name in members.names:
        assert members.next_line(name) == "filled\n"
    keys = members.local_status("m0")["ids"]
    size = (members.resident_kib("m0") - before) * 1024 / keys
    report(f"m0 holds {keys} ids: {size:.0f} bytes of memory for each")


def complete_keys(local: dict[str, Any]) -> int:
    """Return the number of keys in a member's complete partitions, given its status."""
    return sum(keys for _, _, complete, _, keys, *_ in local["parts"] if complete)


PARTS = {"delay": measure_delay, "claims": measure_claims, "million": measure_million}

if __name__ == "__main__":
    if sys.argv[1:2] == [MEMBER_ROLE]:
        run_member(sys.argv[2])
    else:
        run_parts(__doc__, PARTS, default=True)
