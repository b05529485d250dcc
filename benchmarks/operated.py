"""What operators' calls and upgrades cost: twenty upgrades beside a running process under load, and the worst wait of a call under a
crowd. `python benchmarks/operated.py [upgrades|calls]`; docs/measurements/operated.md."""

import asyncio
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from cypresswalk.lab.cluster.plan import Plan
from cypresswalk.lab.cluster.testbed.bed import ClusterTestBed

UPGRADES, RATE = 20, 150
CROWD, CROWDS, CALLERS = 300, 20, 4


def one_balancer(flows_per_s: float, folder: Path) -> ClusterTestBed:
    """One balancer on its own, with stand-ins for servers, list and clients round it."""
    plan = Plan(balancers=1, voters=1, servers=4, flows_per_s=flows_per_s)
    return ClusterTestBed(plan, folder / "rig", in_fleet=False)


def second(rig: ClusterTestBed) -> tuple[subprocess.Popen, tuple[str, int]]:
    host, admin = rig.balancers["n0"], rig.addresses.free()
    with open(host.log, "ab") as log:
        return subprocess.Popen(
            rig.launch.program,
            cwd=rig.launch.tree,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env=os.environ
            | {
                "TMPDIR": str(host.folder),
                "PROXY_CONFIG": str(host.config_file),
                "PROXY_ADMIN_ADDR": "%s:%d" % admin,
            },
        ), admin


async def call(where: tuple[str, int], line: bytes) -> tuple[str, float]:
    """The first line of its answer, and how long it took."""
    began, writer = time.monotonic(), None
    try:
        async with asyncio.timeout(5):
            reader, writer = await asyncio.open_connection(*where)
            writer.write(line + b"\r\n")
            return (await reader.readline()).decode().strip(), time.monotonic() - began
    except (OSError, TimeoutError) as error:
        return type(error).__name__, time.monotonic() - began
    finally:
        if writer is not None:
            writer.close()


async def ready(where: tuple[str, int]) -> float:
    began = time.monotonic()
    while (await call(where, b"check"))[0] != "OK":
        await asyncio.sleep(0.01)
    return time.monotonic() - began


async def upgrades(folder: Path) -> None:
    rig = one_balancer(RATE, folder)
    younger: subprocess.Popen | None = None
    try:
        await rig.start()
        await ready(rig.balancers["n0"].admin)
        rig.clients.start()
        elder, took, left = rig.balancers["n0"].process, [], []
        for _ in range(UPGRADES):
            await asyncio.sleep(0.5)
            younger, admin = second(rig)
            took.append(await ready(admin))
            told = time.monotonic()
            elder.send_signal(signal.SIGTERM)
            while elder.poll() is None:
                await asyncio.sleep(0.01)
            left.append(time.monotonic() - told)
            elder = younger
        rig.clients.stop()
        await asyncio.sleep(2)
        answers = Counter(flow.answer for flow in rig.clients.flows)
        late = sum(flow.answered_at > flow.deadline for flow in rig.clients.flows)
        print(
            f"{UPGRADES} upgrades under {RATE} flows a second: answers {dict(answers)}, {late} late; turned back unheard "
            f"{sum(answers[how] for how in ('refused', 'reset', 'end', 'none'))}; ready after {statistics.median(took):.2f} s "
            f"({min(took):.2f} to {max(took):.2f}), the old one gone {statistics.median(left):.2f} s after SIGTERM (at most {max(left):.2f})"
        )
    finally:
        if younger is not None:
            younger.kill()
        await rig.stop()


async def calls(folder: Path) -> None:
    """Callers one after another while crowds connect at once, and others hang."""
    rig = one_balancer(50, folder)
    try:
        await rig.start()
        admin = rig.balancers["n0"].admin
        await ready(admin)
        rig.clients.start()
        waits: dict[str, list[float]] = {
            "check": [],
            "vars": [],
            "set-down s-0": [],
            "set-up s-0": [],
        }
        odd: Counter[str] = Counter()
        over = asyncio.Event()

        async def caller() -> None:
            while not over.is_set():
                for line, waited in waits.items():
                    said, took = await call(admin, line.encode())
                    waited.append(took)
                    odd[f"{line}: {said[:40]}"] += not (
                        said == "OK" or line == "vars" and said.startswith("{")
                    )
                    await asyncio.sleep(0.02)

        # Set-down and set-up by several callers in turn: each is a yes, twice is once.
        callers = [rig.tasks.spawn(caller()) for _ in range(CALLERS)]
        hung = [await asyncio.open_connection(*admin) for _ in range(8)]
        for crowd in range(CROWDS):
            await asyncio.gather(
                *(rig.clients.flow(f"c{crowd}-{i}", "n0", "view") for i in range(CROWD))
            )
        over.set()
        await asyncio.gather(*callers)
        for _, writer in hung:
            writer.close()
        rig.clients.stop()
        print(
            f"{CROWDS} crowds of {CROWD} at once, {CALLERS} callers, 8 that hang; not as they should be: {dict(+odd)}"
        )
        for line, waited in waits.items():
            waited.sort()
            print(
                f"| `{line}` | {len(waited)} | {statistics.median(waited) * 1e3:.1f} | {waited[int(len(waited) * 0.99)] * 1e3:.0f} | "
                f"{waited[-1] * 1e3:.0f} |"
            )
        print(dict(Counter(flow.answer for flow in rig.clients.flows)))
    finally:
        await rig.stop()


if __name__ == "__main__":
    for name in sys.argv[1:]:
        with tempfile.TemporaryDirectory() as place:
            asyncio.run({"upgrades": upgrades, "calls": calls}[name](Path(place)))
