"""Measures the duration of releases, their cost, and the flows that bad builds fail.

    python benchmarks/release_cost.py [lengths|lengths200|bad|good|loop|halts]   none by default

In virtual time: `lengths`: duration of a release and messages a second, by fleet size and bound;
`lengths200`: the same for two hundred balancers only; `bad`: flows that bad builds fail until the
halt; `good`: false halts. With real processes: `loop`: a release compared with a plain loop over
the balancers; `halts`: seconds from a halt to the last balancer that leaves.
Results: docs/measurements/rollout.md.
"""

import asyncio
import logging
import signal
import statistics
import time
from collections import Counter
from random import Random
from typing import Any, NamedTuple

from harness import (
    RealCluster,
    ReleaseCluster,
    VirtualRelease,
    report,
    run_parts,
    running,
    table_head,
    table_row,
)

SETTLING_SECONDS = 30  # virtual, after the start
IDLE_SECONDS = 10  # virtual, in which an idle fleet's messages are counted
SEEDS = 10

MAX_LENGTH = 7200  # virtual seconds of a release whose length is measured
LENGTH_STEP = 2  # virtual seconds
LENGTH_HOLD_S = 10.0
LENGTH_MIN_FLOWS = 20
LARGEST = 200  # balancers

# Releases of good and bad builds, whose members are compared by the evidence.
JUDGED_HOLD_S = 30.0
JUDGED_MIN_FLOWS = 200
BAD_BUILDS = ("aborts", "slow", "falls", "never_ready")
MAX_BAD_LENGTH = 600  # virtual seconds
MAX_GOOD_LENGTH = 1800  # virtual seconds

LOOP_PLAN = {"balancers": 5, "zones": 2, "flows_per_s": 150}
AGENTS = {"agents": True, "bound": 1}
LOOP_BUILDS = ("good", "rejects", "aborts")
READY_SECONDS = 5  # for which the loop waits for a new process
POLL_INTERVAL = 0.05  # seconds
AFTER_LOOP_SECONDS = 20  # of load on the new version after the loop

HALT_PLAN = {
    "balancers": 7,
    "voters": 3,
    "zones": 2,
    "flows_per_s": 50,
    "agents": True,
    "bound": 2,
}
HALT_RUNS = 6
HALT_FIGURES = ("broken", "halt_to_last_out_s", "most_out", "ended", "told_to_leave")


# In virtual time.


class FleetSize(NamedTuple):
    """Size of a fleet whose release is measured."""

    balancers: int
    bound: int  # maximum number of balancers out at once

    def make(self) -> VirtualRelease:
        """Create the fleet without starting it."""
        large = self.balancers > 6
        voters = 5 if large else 3
        return VirtualRelease(
            1, voters, self.balancers - voters, self.bound, zones=4 if large else 2, rate=5
        )


FLEET_SIZES = (
    FleetSize(6, 1),
    FleetSize(6, 2),
    FleetSize(50, 1),
    FleetSize(50, 5),
    FleetSize(LARGEST, 5),
    FleetSize(LARGEST, 20),
)


def measure_lengths(only: int | None = None) -> None:
    """Print a table for one fleet size or for all; 200 balancers take minutes of CPU time."""
    titles = (
        "balancers",
        "bound",
        "waves",
        "s of the release",
        "most out at once",
        "messages a second",
        "while idle",
    )
    report(table_head(*titles))
    for size in FLEET_SIZES:
        if only in (None, size.balancers):
            report(length_row(size))


def length_row(size: FleetSize) -> str:
    """Run one release to its end; return its table row."""
    fleet = size.make()
    fleet.start()
    fleet.run(SETTLING_SECONDS)
    before = fleet.messages
    fleet.run(IDLE_SECONDS)
    idle = (fleet.messages - before) / IDLE_SECONDS
    began, before = fleet.now, fleet.messages
    fleet.begin(LENGTH_HOLD_S, LENGTH_MIN_FLOWS)
    while fleet.now - began < MAX_LENGTH and not fleet.has_ended:
        fleet.run(LENGTH_STEP)
    seconds = fleet.now - began
    state = fleet.state
    return table_row(
        *size,
        len(fleet.waves),
        f"{seconds:.0f} ({state.release.phase}{', halted' if state.halted else ''})",
        fleet.max_members_out,
        f"{(fleet.messages - before) / seconds:.0f}",
        f"{idle:.0f}",
    )


def run_judged_release(fleet: VirtualRelease, max_seconds: int, varies: bool = False) -> float:
    """Run a release until it ends or halts.

    Args:
        fleet: a fleet that has not been started.
        max_seconds: virtual seconds after which to stop.
        varies: whether the load varies, and at times flows of both builds fail alike.

    Returns:
        Virtual seconds that the release took; infinite if it did not end.
    """
    fleet.start()
    fleet.run(SETTLING_SECONDS)
    began = fleet.now
    rng = Random(f"{fleet.seed}/burst")
    fleet.begin(JUDGED_HOLD_S, JUDGED_MIN_FLOWS)
    while fleet.now - began < max_seconds:
        fleet.run(1)
        if varies:
            fleet.vary_load(rng)
        if fleet.has_ended:
            return fleet.now - began
    return float("inf")


class BadRelease(NamedTuple):
    """The effects of a release of a bad build until its halt."""

    seconds: float
    changed: int  # number of balancers
    failed: int  # number of flows


def run_bad_release(build: str, seed: int) -> BadRelease:
    """Release a bad build; the release must be halted."""
    fleet = VirtualRelease(seed, 3, 6, 2, build)
    seconds = run_judged_release(fleet, MAX_BAD_LENGTH)
    state = fleet.state
    assert state.halted is not None, (build, seed)
    changed = [status for status in state.release.members.values() if status in ("new", "failed")]
    return BadRelease(seconds, len(changed), fleet.failed_on_new_build())


def measure_bad_builds() -> None:
    """Print the virtual seconds until bad builds are halted, and the flows that fail until then."""
    for build in BAD_BUILDS:
        releases = [run_bad_release(build, seed) for seed in range(SEEDS)]
        seconds = [release.seconds for release in releases]
        failed = [release.failed for release in releases]
        report(
            f"{build}: halted in {len(releases)} of {SEEDS}, after "
            f"{statistics.median(seconds):.0f} s ({min(seconds):.0f} to {max(seconds):.0f}) from "
            f"its start, at most {max(release.changed for release in releases)} changed, "
            f"{statistics.median(failed):.0f} flows failed on the new build "
            f"({min(failed)} to {max(failed)})"
        )


def measure_good_builds() -> None:
    """Print the number of false halts of a good build under a varying load."""
    false_halts = 0
    for seed in range(SEEDS):
        fleet = VirtualRelease(100 + seed, 3, 6, 2)
        seconds = run_judged_release(fleet, MAX_GOOD_LENGTH, varies=True)
        state = fleet.state
        report(f"{seed} {state.release.phase} {seconds:.0f} s {state.halted or ''}")
        false_halts += bool(state.halted)
    report(f"false halts: {false_halts} of {SEEDS}")


# With real processes.


def count_answers(cluster: RealCluster) -> dict[str, int]:
    """Return the number of clients with each answer."""
    return dict(sorted(Counter(request.answer for request in cluster.requests).items()))


async def is_ready(address: tuple[str, int]) -> bool:
    """Return whether a balancer replies OK to `check` within a second."""
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"check\r\n")
            reply = await reader.readline()
            writer.close()
            return reply == b"OK\r\n"
    except (OSError, TimeoutError):
        return False


async def by_loop(build: str) -> dict[str, Any]:
    """Change versions by the usual plain loop: stop a balancer, start the new one, wait for it."""
    async with running(RealCluster, LOOP_PLAN) as cluster:
        await cluster.wait_until_agreed()
        cluster.use_build(build)
        cluster.start_load()
        await asyncio.sleep(2)
        for name in cluster.names:
            await replace(cluster, name)
        await asyncio.sleep(AFTER_LOOP_SECONDS)
        cluster.stop_load()
        await asyncio.sleep(2)
        return count_answers(cluster)


async def replace(cluster: RealCluster, name: str) -> None:
    """Stop a balancer and start the new version; wait until it is ready, or for READY_SECONDS."""
    process = cluster.process(name)
    process.send_signal(signal.SIGTERM)
    while process.poll() is None:
        await asyncio.sleep(POLL_INTERVAL)
    cluster.start(name)
    deadline = time.monotonic() + READY_SECONDS
    while time.monotonic() < deadline and not await is_ready(cluster.admin_address(name)):
        await asyncio.sleep(POLL_INTERVAL)


async def by_release(build: str) -> dict[str, Any]:
    """Change versions by a release, with at most one balancer out at a time."""
    async with running(ReleaseCluster, LOOP_PLAN | AGENTS) as cluster:
        await cluster.agree_on_bound()
        cluster.start_load()
        await asyncio.sleep(2)
        await cluster.begin_release(build=build)
        end = await cluster.finish_release()
        assert "home_in_s" in end, end
        cluster.stop_load()
        await asyncio.sleep(2)
        return count_answers(cluster) | end


def compare_with_loop() -> None:
    """Print clients' answers for a good and two bad builds, by a loop and by a release."""
    for build in LOOP_BUILDS:
        for change in (by_loop, by_release):
            report(f"{build} {change.__name__} {asyncio.run(change(build))}")


def measure_halts() -> None:
    """Print the seconds from a confirmed halt until the last balancer is told to leave.

    Each run halts the release at a later moment.
    """
    for seed in range(HALT_RUNS):
        report(f"{seed} {asyncio.run(run_halted_release(seed))}")


async def run_halted_release(seed: int) -> dict[str, Any]:
    """Halt a release of a good build, roll it back, and check the run against the rules."""
    async with running(ReleaseCluster, HALT_PLAN | {"seed": seed}) as cluster:
        await cluster.agree_on_bound()
        cluster.start_load()
        await cluster.begin_release(hold_s=1.0)
        await asyncio.sleep(2 + 2.3 * seed)
        await cluster.halt_at_random_balancer()
        await asyncio.sleep(4)
        began = time.monotonic()
        await cluster.roll_back()
        verdict = await cluster.verdict()
        figures = {key: verdict[key] for key in HALT_FIGURES}
        return figures | {"back_in_s": round(time.monotonic() - began, 1)}


PARTS = {
    "lengths": measure_lengths,
    "lengths200": lambda: measure_lengths(LARGEST),
    "bad": measure_bad_builds,
    "good": measure_good_builds,
    "loop": compare_with_loop,
    "halts": measure_halts,
}

if __name__ == "__main__":
    logging.getLogger("cypresswalk").setLevel(logging.CRITICAL)
    run_parts(__doc__, PARTS, default=False)
