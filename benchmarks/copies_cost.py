"""What claims and their copies cost. `python benchmarks/copies_cost.py [delay|claims|million]`; docs/measurements/copies.md.

`delay` starts whole balancers; the others processes with nothing but a member's part in the fleet (`fleet.driver.Fleet`)."""

import asyncio
import json
import os
import shutil
import signal
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from cypresswalk.copies.driver import ReplicationThread
from cypresswalk.copies.messages import RecordStored, ReservationRecord
from cypresswalk.copies.placement import partition_of
from cypresswalk.fleet import client
from cypresswalk.fleet.driver import FleetThread
from cypresswalk.lab.balancers import free_port
from cypresswalk.lab.cluster.plan import Plan
from cypresswalk.lab.cluster.testbed.bed import ClusterTestBed
from cypresswalk.operator import FleetTable

SECOND = 1_000_000_000
HELD = 3_600 * SECOND


def delay() -> None:
    """The same load with copies and without, in turn, on a disk that flushes and on one in memory: OPEN to UP."""

    async def one(copies: int, memory: bool) -> dict[str, list[float]]:
        with tempfile.TemporaryDirectory(dir="/dev/shm" if memory else None) as folder:
            rig = ClusterTestBed(
                Plan(balancers=3, duration_s=10, flows_per_s=150, replicas=copies),
                Path(folder) / "rig",
            )
            try:
                await rig.start()
                assert await rig.convergence.wait() is not None
                if copies:
                    await rig.convergence.wait_for_replicas()
                rig.clients.start()
                await rig.player.play()
                return {
                    kind: sorted(
                        (f.answered_at - f.sent_at) / 1e6
                        for f in rig.clients.flows
                        if f.answer == "UP" and f.effect == kind
                    )
                    for kind in ("once-only", "repeatable")
                }
            finally:
                await rig.stop()

    for turn in range(5):
        for copies, memory in ((3, False), (3, True), (0, False)):
            took = asyncio.run(one(copies, memory))
            said = "; ".join(
                f"{kind} {len(t)}: p50 {statistics.median(t):.2f} p99 {t[int(len(t) * 0.99)]:.2f} ms"
                for kind, t in took.items()
            )
            print(f"{turn} copies {copies} {'memory' if memory else 'disk'}  {said}", flush=True)


class Filled(ReplicationThread):
    """Takes ids in bulk, each holder by itself, as if they had been claimed."""

    def on_event(self, now: int, event: tuple) -> None:
        if event[0] != "fill":
            return super().on_event(now, event)
        until = time.time_ns() // HELD * HELD + 2 * HELD  # the same at all
        for first in range(0, event[1], 20_000):
            values = []
            for number in range(first, min(first + 20_000, event[1])):
                ident = f"{number:016x}"
                partition = self.replica.partitions.get(partition_of(ident))
                if (
                    partition is not None
                    and partition.complete
                    and self.replica.member_id in partition.replicas
                ):
                    record = ReservationRecord(ident, "n0#0123456789abcdef/1.1000", until, "ran")
                    self.replica.put(partition, record)
                    values.append(RecordStored(partition_of(ident), record))
            if values:
                self.log.write(values, self.replica.statuses)
        print("filled", flush=True)


def member(table: str) -> None:
    """Reads what to do from its input: `claim N SECONDS [ID]` with so many out at a time, `fill N`."""
    fleet = FleetThread(
        FleetTable(**json.loads(table)),
        lambda settings: "",
        {"serviceTypes": []},
        lambda view: fleet.on_version_applied(view.version),
        lambda: None,
    )
    fleet.copies.__class__ = Filled
    fleet.start()
    for line in sys.stdin:
        what, *words = line.split()
        if what == "fill":
            fleet.copies.put("fill", int(words[0]))
        elif what == "claim":
            claim(fleet, int(words[0]), float(words[1]), *words[2:])


def claim(fleet: FleetThread, out: int, seconds: float, ident: str = "") -> None:
    """`ident`: one that all ask for; or "part", ids that fall into one part."""
    took: list[float] = []
    kinds: dict[str, int] = {}
    ends, gate = time.monotonic() + seconds, threading.Semaphore(0)
    draw = os.urandom(8).hex()

    def next_one(number: int) -> None:
        began = time.monotonic()

        def reply(answer, by) -> None:
            kinds[answer.result] = kinds.get(answer.result, 0) + 1
            took.append((time.monotonic() - began) * 1000)
            if time.monotonic() < ends:
                next_one(number + out)
            else:
                gate.release()

        asked = ident
        if ident == "part":
            at = number << 16
            while partition_of(asked := f"{draw[:4]}{at:012x}") != 7:
                at += 1
        fleet.copies.put(
            "claim", asked or f"{draw[:8]}{number:08x}", SECOND, fleet.now() + SECOND, reply
        )

    for number in range(out):
        next_one(number)
    for _ in range(out):
        gate.acquire(timeout=seconds + 5)
    took.sort()
    print(
        json.dumps(
            {
                "count": len(took),
                "kinds": kinds,
                "p50": statistics.median(took),
                "p99": took[int(len(took) * 0.99)],
            }
        ),
        flush=True,
    )


class Members:
    def __init__(self, folder: Path, names: list[str], voters: int = 3):
        self.folder, self.names = folder, names
        places = {name: f"127.0.0.1:{free_port('127.0.0.1')}" for name in names}
        self.places = places
        self.tables = {
            name: json.dumps(
                {
                    "fleet": "cost",
                    "name": name,
                    "address": places[name],
                    "folder": str(folder / name),
                    "zone": f"z{i % 3}",
                    "first": {v: places[v] for v in names[:voters]},
                    "copies": {},
                }
            )
            for i, name in enumerate(names)
        }
        self.running: dict[str, subprocess.Popen] = {}

    def start(self, name: str) -> None:
        self.running[name] = subprocess.Popen(
            [sys.executable, __file__, "member", self.tables[name]],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def say(self, name: str, line: str) -> None:
        self.running[name].stdin.write(line + "\n")
        self.running[name].stdin.flush()

    def whole(self, within: float = 60, least: int = 1) -> dict:
        until = time.monotonic() + within
        while time.monotonic() < until:
            try:
                ok, body = client.call(list(self.places.values()), "cost", "copies", None, 2.0)
                if (
                    ok
                    and len(body["parts"]) == 64
                    and not body["lacking"]
                    and not body["changing"]
                    and len(body["able"]) >= least
                ):
                    return body
            except Exception:
                pass
            time.sleep(0.05)
        raise SystemExit("never whole")

    def end(self) -> None:
        for process in self.running.values():
            process.kill()
            process.wait()


def claims() -> None:
    """From all members at once, 64 out at each."""
    for count in (3, 5, 9):
        with tempfile.TemporaryDirectory() as folder:
            members = Members(Path(folder), [f"m{i}" for i in range(count)])
            try:
                for name in members.names:
                    members.start(name)
                members.whole(least=count)
                time.sleep(8)  # joined ones take over their parts
                members.whole(least=count)
                for out, ident in ((1, ""), (64, ""), (64, "hot"), (64, "part")):
                    for name in members.names:
                        members.say(name, f"claim {out} 5 {ident}")
                    found = [
                        json.loads(members.running[name].stdout.readline())
                        for name in members.names
                    ]
                    print(
                        f"{count} members, {out} out at each {ident}: {sum(f['count'] for f in found) / 5:.0f} claims a second, "
                        f"p50 {statistics.median(f['p50'] for f in found):.2f} ms, p99 {max(f['p99'] for f in found):.1f} ms, "
                        f"{[f['kinds'] for f in found]}",
                        flush=True,
                    )
                local = client.call([members.places["m0"]], "cost", "copies_local", None, 5.0)[1]
                size = sum(f.stat().st_size for f in (Path(folder) / "m0").glob("copies.*"))
                print(
                    f"   m0 holds {local['ids']} ids, {size / max(local['ids'], 1):.0f} bytes on disk for each, "
                    f"{local['counts']['written'] / local['counts']['flushes']:.1f} records a flush",
                    flush=True,
                )
            finally:
                members.end()


def million() -> None:
    """A million ids at three of four members; one is killed and wiped while claims run: memory, and the time until all is made up."""
    with tempfile.TemporaryDirectory() as folder:
        members = Members(Path(folder), [f"m{i}" for i in range(4)])
        try:
            for name in members.names:
                members.start(name)
            members.whole(least=4)
            time.sleep(8)
            members.whole(least=4)

            def memory(name: str) -> int:
                return int(
                    next(
                        line
                        for line in open(f"/proc/{members.running[name].pid}/status")
                        if line.startswith("VmRSS")
                    ).split()[1]
                )

            before = memory("m0")
            for name in members.names:
                members.say(name, "fill 1000000")
            for name in members.names:
                assert members.running[name].stdout.readline() == "filled\n"
            local = client.call([members.places["m0"]], "cost", "copies_local", None, 20.0)[1]
            print(
                f"m0 holds {local['ids']} ids: {(memory('m0') - before) * 1024 / local['ids']:.0f} bytes of memory for each",
                flush=True,
            )
            members.say("m0", "claim 8 40")
            time.sleep(5)
            members.running["m3"].send_signal(signal.SIGKILL)
            members.running["m3"].wait()
            shutil.rmtree(Path(folder) / "m3")
            began = time.monotonic()
            members.start("m3")
            time.sleep(3)  # until who leads has seen it gone
            members.whole(within=120, least=4)
            took = time.monotonic() - began
            print(f"three copies of all parts again {took:.1f} s after the kill", flush=True)
            held = [
                client.call([where], "cost", "copies_local", None, 20.0)[1]
                for where in members.places.values()
            ]
            print(
                "ids held in whole parts, by member:",
                [sum(p[4] for p in one["parts"] if p[2]) for one in held],
                flush=True,
            )
            print("claims meanwhile:", members.running["m0"].stdout.readline().strip(), flush=True)
        finally:
            members.end()


if __name__ == "__main__":
    if sys.argv[1:2] == ["member"]:
        member(sys.argv[2])
    for name in sys.argv[1:] or ["delay", "claims", "million"]:
        {"delay": delay, "claims": claims, "million": million}[name]()
