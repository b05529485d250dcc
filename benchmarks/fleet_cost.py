"""What agreement costs: set-up of flows with and without it, side by side in one run; commands a second; words by fleet size; kills
of a process that writes a voter's log. `python benchmarks/fleet_cost.py [flows|commands|leaderless|words|kills]`; docs/measurements/agreement.md."""

import asyncio
import os
import random
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from cypresswalk.agreement.log import Snapshot
from cypresswalk.agreement.messages import ENTRY_COMMAND, Entry, Member
from cypresswalk.agreement.ready import PersistentState, Ready
from cypresswalk.agreement.store import LogIdentity, Store
from cypresswalk.lab.cluster.plan import Plan
from cypresswalk.lab.cluster.testbed.bed import ClusterTestBed
from cypresswalk.lab.cluster.virtual import SECOND, World
from cypresswalk.state.disk import DiskFolder


def flows() -> None:
    """The same load in turn at balancers that agree and at the same ones without an operator file: p50 and p99 of OPEN to UP."""

    async def one(fleet: bool) -> list[float]:
        with tempfile.TemporaryDirectory() as folder:
            rig = ClusterTestBed(
                Plan(balancers=3, duration_s=8, flows_per_s=120), Path(folder) / "rig"
            )
            if not fleet:
                rig.launch.environment["PROXY_OPERATOR"] = ""
            try:
                await rig.start()
                if fleet:
                    assert await rig.convergence.wait() is not None
                else:
                    await asyncio.sleep(3)
                rig.clients.start()
                await rig.player.play()
                sizes = [
                    int(
                        next(
                            line
                            for line in open(f"/proc/{p.process.pid}/status")
                            if line.startswith("VmRSS")
                        ).split()[1]
                    )
                    for p in rig.balancers.values()
                ]
                print("fleet" if fleet else "alone", "resident KB", sizes)
                return sorted(
                    (f.answered_at - f.sent_at) / 1e6 for f in rig.clients.flows if f.answer == "UP"
                )
            finally:
                await rig.stop()

    for turn in range(5):
        for fleet in (True, False):
            took = asyncio.run(one(fleet))
            print(
                f"{turn} {'fleet' if fleet else 'alone'} flows {len(took)} p50 {statistics.median(took):.2f} ms "
                f"p99 {took[int(len(took) * 0.99)]:.2f} ms",
                flush=True,
            )


def commands() -> None:
    """Servers out and back, as fast as the fleet agrees, from 1 and from 8 callers at a time."""

    async def run() -> None:
        with tempfile.TemporaryDirectory() as folder:
            rig = ClusterTestBed(Plan(balancers=3, flows_per_s=0), Path(folder) / "rig")
            try:
                await rig.start()
                assert await rig.convergence.wait() is not None
                for callers in (1, 8):
                    count, took = 0, []
                    until = time.monotonic() + 5

                    async def caller(number: int) -> None:
                        nonlocal count
                        while time.monotonic() < until:
                            began = time.monotonic()
                            result, _ = await rig.calls.command(
                                "n1", "out" if count % 2 else "back", server=f"x-{number}"
                            )
                            assert result == "yes"
                            took.append((time.monotonic() - began) * 1000)
                            count += 1

                    await asyncio.gather(*(caller(i) for i in range(callers)))
                    took.sort()
                    print(
                        f"{callers} callers: {count / 5:.0f} a second, p50 {statistics.median(took):.1f} ms, "
                        f"p99 {took[int(len(took) * 0.99)]:.1f} ms",
                        flush=True,
                    )
            finally:
                await rig.stop()

    asyncio.run(run())


def leaderless() -> None:
    """The leader killed, ten times: how long until a command is agreed again, and what the others' clients see meanwhile."""

    async def run() -> None:
        with tempfile.TemporaryDirectory() as folder:
            rig = ClusterTestBed(Plan(balancers=3, flows_per_s=0), Path(folder) / "rig")
            try:
                await rig.start()
                assert await rig.convergence.wait() is not None
                gaps, refused, asked = [], 0, 0
                for turn in range(10):
                    leader = await rig.calls.leader()
                    others = [name for name in rig.names if name != leader]
                    rig.balancers[leader].kill()
                    began = time.monotonic()
                    while (await rig.calls.command(others[0], "out", server=f"y-{turn}"))[
                        0
                    ] != "yes":
                        pass
                    gaps.append(time.monotonic() - began)
                    for number in range(20):
                        await rig.clients.flow(f"k{turn}.{number}", others[number % 2], "view")
                    rig.balancers[leader].start()
                    assert await rig.convergence.wait() is not None
                refused = sum(f.answer != "UP" for f in rig.clients.flows)
                asked = len(rig.clients.flows)
                gaps.sort()
                print(
                    f"ten leaders killed: agreed again after {gaps[0]:.2f} to {gaps[-1]:.2f} s, median {statistics.median(gaps):.2f}; "
                    f"{refused} of {asked} flows at the others not established"
                )
            finally:
                await rig.stop()

    asyncio.run(run())


def words() -> None:
    for voters, followers in ((3, 0), (3, 2), (3, 17), (5, 45), (5, 195)):
        world = World(1, voters, followers)
        world.start()
        world.run(20 * SECOND, check=False)
        before, size = world.words, world.bytes
        world.run(10 * SECOND, check=False)
        print(
            f"{voters + followers} members: {(world.words - before) / 10:.0f} words a second, "
            f"{(world.bytes - size) / 10 / 1024:.0f} KB a second",
            flush=True,
        )


MEMBERS = (Member("a#1", True),)


def writer(folder: str) -> None:
    """Writes entries until it is killed; says each number once it is flushed."""
    disk = DiskFolder(folder)
    store = Store(disk)
    kept = store.load("f", "a", lambda text: None) or PersistentState(Snapshot(0, 0, MEMBERS, b"x"))
    store.begin(
        LogIdentity("f", "g", "a#1", (store.identity.boot if store.identity else 0) + 1), kept
    )
    index, base = kept.snapshot.index + len(kept.entries), kept.snapshot.index
    chance = random.Random()
    while True:
        index += 1
        store.write(
            Ready(
                entries=[
                    (index, Entry(1, ENTRY_COMMAND, b"%d" % index + bytes(chance.randrange(2000))))
                ]
            )
        )
        os.write(1, b"%d\n" % index)
        if index - base > 40:
            base = index
            store.write(Ready(vote=(1, "a#1"), snapshot=Snapshot(index, 1, MEMBERS, b"x")))


def kills() -> None:
    """1,000 kills of a process that writes: everything that it had said is there."""

    def one(number: int) -> int:
        chance, done, last = random.Random(number), 0, 0
        with tempfile.TemporaryDirectory() as folder:
            for _ in range(125):
                process = subprocess.Popen(
                    [sys.executable, __file__, "writer", folder], stdout=subprocess.PIPE
                )
                begun = (
                    process.stdout.readline()
                )  # it writes now; a process that starts has nothing to lose
                time.sleep(chance.uniform(0, 0.06))
                process.send_signal(signal.SIGKILL)
                said = (begun + process.communicate()[0]).split()
                last = max(last, int(said[-1]) if said else 0)
                kept = Store(DiskFolder(folder)).load("f", "a", lambda text: None)
                have = kept.snapshot.index + len(kept.entries) if kept else 0
                assert have >= last, f"{last} was acknowledged, {have} are there"
                last, done = have, done + 1
        return last

    with ThreadPoolExecutor(8) as pool:
        entries = list(pool.map(one, range(8)))
    print(f"1000 kills, {sum(entries)} entries, nothing acknowledged lost")


if __name__ == "__main__":
    if sys.argv[1:2] == ["writer"]:
        writer(sys.argv[2])
    for name in sys.argv[1:] or ["flows", "commands", "leaderless", "words", "kills"]:
        {
            "flows": flows,
            "commands": commands,
            "leaderless": leaderless,
            "words": words,
            "kills": kills,
        }[name]()
