"""What releases cost and harm: their length and words by fleet size and bound, in virtual time; bad builds and false halts; real processes
beside a plain loop. `python benchmarks/release_cost.py [lengths|lengths200|bad|good|loop|halts]`; docs/measurements/rollout.md."""

import asyncio
import logging
import signal
import statistics
import sys
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Any

from cypresswalk.lab.cluster.plan import Build, Plan, Step
from cypresswalk.lab.cluster.releases import NEW, OLD, SECOND, Releases
from cypresswalk.lab.cluster.testbed.bed import ClusterTestBed
from cypresswalk.lab.cluster.testbed.builds import make_balancer_build
from cypresswalk.lab.cluster.testbed.result import conclude
from cypresswalk.rollout.plan import PlanFile, waves_by_zone


def planned(w: Releases, hold_s: float, flows: int) -> list:
    """As `release plan` draws it up: zone by zone, a first one, each wave twice the one before."""
    zones = {name: p.table.zone for name, p in w.processes.items()}
    waves = waves_by_zone(PlanFile(name="r1", since=OLD, to=NEW), zones)
    return ["r1", OLD, NEW, waves, hold_s, flows, 8.0, 0.01, 1.5, 120.0]


def released(
    w: Releases, hold_s: float, flows: int, most_s: int = 3600, burst: bool = False
) -> tuple[Any, float, int]:
    """The state at its end, how many virtual seconds it took, and its waves."""
    w.start()
    w.run(30 * SECOND, check=False)
    plan = planned(w, hold_s, flows)
    began, rate, chance = w.now, w.rate, Random(f"{w.seed}/burst")
    w.tell("release_begin", {"plan": plan}, span=20 * SECOND)
    while w.now - began < most_s * SECOND:
        w.run(SECOND, check=False)
        if burst:  # half as many again, for a fifth of the time, a lost server's failures at all alike for a tenth
            w.rate = rate * 3 // 2 if chance.random() < 0.2 else rate
            w.lost_share = 0.2 if chance.random() < 0.1 else 0.0
        state = w.release()
        if (
            state is not None
            and state.release is not None
            and (state.halted or state.release.phase != "running")
        ):
            return state, (w.now - began) / SECOND, len(plan[3])
    return w.release(), float("inf"), len(plan[3])


def lengths(*only: int) -> None:
    """Of the sizes named; two hundred take some minutes of processor time."""
    print(
        "| balancers | bound | waves | s of the release | most out at once | words a second | while idle |\n| --- | --- | --- | --- | --- | --- | --- |"
    )
    for members, bound in ((6, 1), (6, 2), (50, 1), (50, 5), (200, 5), (200, 20)):
        if only and members not in only:
            continue
        w = Releases(
            1,
            5 if members > 6 else 3,
            members - (5 if members > 6 else 3),
            bound,
            zones=4 if members > 6 else 2,
            rate=5,
        )
        w.start()
        w.run(30 * SECOND, check=False)
        before = w.words
        w.run(10 * SECOND, check=False)
        idle = (w.words - before) / 10
        plan = planned(w, 10.0, 20)
        began, before = w.now, w.words
        w.tell("release_begin", {"plan": plan}, span=20 * SECOND)
        while w.now - began < 7200 * SECOND and (
            (s := w.release()) is None
            or s.release is None
            or s.release.phase == "running"
            and not s.halted
        ):
            w.run(2 * SECOND, check=False)
        took = (w.now - began) / SECOND
        end = w.release()
        print(
            f"| {members} | {bound} | {len(plan[3])} | {took:.0f} ({end.release.phase}{', halted' if end.halted else ''}) | {w.most_out} | "
            f"{(w.words - before) / took:.0f} | {idle:.0f} |",
            flush=True,
        )


def bad() -> None:
    for kind in ("aborts", "slow", "falls", "never_ready"):
        harmed, noticed, changed = [], [], []
        for seed in range(10):
            w = Releases(seed, 3, 6, 2, kind)
            state, took, _ = released(w, 30.0, 200, 600)
            assert state.halted is not None, (kind, seed)
            statuses = [s for s in state.release.members.values() if s in ("new", "failed")]
            changed.append(len(statuses))
            new = [
                m for m in w.machines.values() if any(r.version == NEW for r in m.running.values())
            ]
            harmed.append(
                sum(r.served[2] for m in new for r in m.running.values() if r.version == NEW)
            )
            noticed.append(took)
        print(
            f"{kind}: halted in {len(noticed)} of 10, after {statistics.median(noticed):.0f} s ({min(noticed):.0f} to {max(noticed):.0f}) from its "
            f"begin, at most {max(changed)} changed, {statistics.median(harmed):.0f} flows failed there ({min(harmed)} to {max(harmed)})",
            flush=True,
        )


def good() -> None:
    halts = []
    for seed in range(10):
        state, took, _ = released(Releases(100 + seed, 3, 6, 2), 30.0, 200, 1800, burst=True)
        print(seed, state.release.phase, f"{took:.0f} s", state.halted or "", flush=True)
        halts += [state.halted] if state.halted else []
    print(f"false halts: {len(halts)} of 10")


def lost(rig: ClusterTestBed) -> dict[str, int]:
    return {
        kind: sum(f.answer == kind for f in rig.clients.flows)
        for kind in sorted({f.answer for f in rig.clients.flows})
    }


async def by_loop(kind: str, folder: Path) -> dict[str, int]:
    """What people write: for each balancer stop it, start the new version, wait until it answers, next."""
    rig = ClusterTestBed(Plan(balancers=5, zones=2, flows_per_s=150), folder / "rig")
    try:
        await rig.start()
        assert await rig.convergence.wait() is not None
        (folder / "versions").mkdir()
        make_balancer_build(folder / "versions", rig.launch.tree, "new", Build(kind))
        rig.launch.tree = folder / "versions/new"
        rig.clients.start()
        await asyncio.sleep(2)
        for name in rig.names:
            p = rig.balancers[name]
            p.process.send_signal(signal.SIGTERM)
            while p.process.poll() is None:
                await asyncio.sleep(0.05)
            rig.balancers[name].start()
            until = time.monotonic() + 5
            while time.monotonic() < until and not await answers(p.admin):
                await asyncio.sleep(0.05)
        await asyncio.sleep(20)
        rig.clients.stop()
        await asyncio.sleep(2)
        return lost(rig)
    finally:
        await rig.stop()


async def answers(where: tuple[str, int]) -> bool:
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(*where)
            writer.write(b"check\r\n")
            line = await reader.readline()
            writer.close()
            return line == b"OK\r\n"
    except (OSError, TimeoutError):
        return False


async def by_release(kind: str, folder: Path) -> dict[str, int]:
    rig = ClusterTestBed(
        Plan(
            balancers=5, zones=2, flows_per_s=150, balancer_agents=True, max_unavailable_balancers=1
        ),
        folder / "rig",
    )
    try:
        await rig.start()
        await rig.agree_on_bounds(await rig.convergence.wait())
        rig.clients.start()
        await asyncio.sleep(2)
        await rig.releases.begin(Step(at_s=0, action="release", build=kind))
        report = (await rig.releases.finish()).to_json()
        assert "home_in_s" in report, report
        rig.clients.stop()
        await asyncio.sleep(2)
        return lost(rig) | report
    finally:
        await rig.stop()


def loop() -> None:
    for kind in ("good", "rejects", "aborts"):
        for how in (by_loop, by_release):
            with tempfile.TemporaryDirectory() as folder:
                print(kind, how.__name__, asyncio.run(how(kind, Path(folder))), flush=True)


def halts() -> None:
    """At seven balancers, two of which may be out: from the yes to a halt, at any moment of a release, to the last one told to leave."""

    async def one(seed: int, folder: Path) -> dict[str, Any]:
        rig = ClusterTestBed(
            Plan(
                balancers=7,
                voters=3,
                zones=2,
                flows_per_s=50,
                balancer_agents=True,
                max_unavailable_balancers=2,
                seed=seed,
            ),
            folder / "rig",
        )
        try:
            await rig.start()
            await rig.agree_on_bounds(await rig.convergence.wait())
            rig.clients.start()
            await rig.releases.begin(Step(at_s=0, action="release", hold_s=1.0))
            await asyncio.sleep(2 + 2.3 * seed)
            await rig.releases.halt(rig.chance.choice(rig.names))
            await asyncio.sleep(4)
            began = time.monotonic()
            await rig.releases.roll_back("n0")
            report = (await conclude(rig)).to_json()
            return {
                key: report[key]
                for key in ("broken", "halt_to_last_out_s", "most_out", "ended", "told_to_leave")
            } | {"back_in_s": round(time.monotonic() - began, 1)}
        finally:
            await rig.stop()

    for seed in range(6):
        with tempfile.TemporaryDirectory() as folder:
            print(seed, asyncio.run(one(seed, Path(folder))), flush=True)


if __name__ == "__main__":
    logging.getLogger("cypresswalk").setLevel(logging.CRITICAL)
    for name in sys.argv[1:]:
        {
            "lengths": lengths,
            "lengths200": lambda: lengths(200),
            "bad": bad,
            "good": good,
            "loop": loop,
            "halts": halts,
        }[name]()
