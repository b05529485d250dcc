"""Measures the cost of agreement in a fleet.

    python benchmarks/fleet_cost.py [flows|commands|leaderless|words|kills]     all by default

`flows`: set-up time of flows with and without a fleet, in one run. `commands`: rate of commands.
`leaderless`: time without a leader after the leader is killed. `words`: messages by fleet size.
`kills`: data lost when a process that writes a voter's log is killed.
Results: docs/measurements/agreement.md.
"""

import asyncio
import os
import random
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor

from harness import (
    RealCluster,
    StandaloneCluster,
    Summary,
    VirtualCluster,
    kill_child,
    read_line,
    read_rest,
    report,
    run_parts,
    running,
    start_child,
)

from cypresswalk.agreement.log import Snapshot
from cypresswalk.agreement.messages import ENTRY_COMMAND, Entry, Member
from cypresswalk.agreement.ready import PersistentState, Ready, Vote
from cypresswalk.agreement.store import LogIdentity, Store
from cypresswalk.state.disk import DiskFolder

WRITER_ROLE = "writer"  # argument of a child process

FLOW_TURNS = 5
FLOW_PLAN = {"balancers": 3, "lasts_s": 8, "flows_per_s": 120}
START_SECONDS = 3  # until balancers without a fleet have started
IDLE_PLAN = {"balancers": 3, "flows_per_s": 0}

COMMAND_SECONDS = 5
CALLERS = (1, 8)

LEADER_KILLS = 10
FLOWS_PER_KILL = 20

FLEET_SIZES = ((3, 0), (3, 2), (3, 17), (5, 45), (5, 195))  # numbers of voters and followers
SETTLING_SECONDS = 20  # virtual, before messages are counted
COUNTED_SECONDS = 10  # virtual, in which messages are counted

WRITERS = 8  # in parallel
KILLS_PER_WRITER = 125
MAX_WRITER_SECONDS = 0.06  # from a writer's first line to its kill
MAX_ENTRY_BYTES = 2000
ENTRIES_PER_SNAPSHOT = 40
MEMBERS = (Member("a#1", True),)


# Set-up of flows.


def measure_flows() -> None:
    """Print the time from OPEN to UP and the memory, alternately with and without a fleet."""
    for turn in range(FLOW_TURNS):
        for in_fleet in (True, False):
            delays = asyncio.run(setup_delays(in_fleet))
            report(
                f"{turn} {'fleet' if in_fleet else 'alone'} flows {delays.count} "
                f"p50 {delays.median:.2f} ms p99 {delays.p99:.2f} ms"
            )


async def setup_delays(in_fleet: bool) -> Summary:
    """Return the times until flows were established, in milliseconds; print balancers' memory."""
    kind = RealCluster if in_fleet else StandaloneCluster
    async with running(kind, FLOW_PLAN) as cluster:
        if in_fleet:
            await cluster.wait_until_agreed()
        else:
            await asyncio.sleep(START_SECONDS)
        await cluster.play()
        report(f"{'fleet' if in_fleet else 'alone'} resident KiB {cluster.resident_kib()}")
        return Summary.of([r.setup_ms for r in cluster.requests if r.is_established])


# Commands.


def measure_commands() -> None:
    """Print rate and latency of taking servers out and back, for 1 and 8 concurrent callers."""

    async def run() -> None:
        """Start a cluster, measure and print."""
        async with running(RealCluster, IDLE_PLAN) as cluster:
            await cluster.wait_until_agreed()
            for callers in CALLERS:
                delays = await command_delays(cluster, callers)
                report(
                    f"{callers} callers: {delays.count / COMMAND_SECONDS:.0f} a second, "
                    f"p50 {delays.median:.1f} ms, p99 {delays.p99:.1f} ms"
                )

    asyncio.run(run())


async def command_delays(cluster: RealCluster, callers: int) -> Summary:
    """Return the times of commands, in milliseconds; each caller sends one after another."""
    delays_ms: list[float] = []
    deadline = time.monotonic() + COMMAND_SECONDS

    async def call_repeatedly(number: int) -> None:
        """Send commands as one caller until the time is up."""
        while time.monotonic() < deadline:
            began = time.monotonic()
            command = "out" if len(delays_ms) % 2 else "back"
            assert await cluster.command("n1", command, server=f"x-{number}")
            delays_ms.append((time.monotonic() - began) * 1000)

    await asyncio.gather(*(call_repeatedly(number) for number in range(callers)))
    return Summary.of(delays_ms)


# Loss of the leader.


def measure_leader_loss() -> None:
    """Print the time from the leader's kill to the next agreed command, and clients' answers."""

    async def run() -> None:
        """Start a cluster, measure and print."""
        async with running(RealCluster, IDLE_PLAN) as cluster:
            await cluster.wait_until_agreed()
            gaps = Summary.of([await leader_gap(cluster, turn) for turn in range(LEADER_KILLS)])
            refused = sum(not request.is_established for request in cluster.requests)
            report(
                f"ten leaders killed: agreed again after {gaps.minimum:.2f} to {gaps.maximum:.2f} "
                f"s, median {gaps.median:.2f}; {refused} of {len(cluster.requests)} flows at the "
                "other balancers not established"
            )

    asyncio.run(run())


async def leader_gap(cluster: RealCluster, turn: int) -> float:
    """Kill the leader; return the seconds until the others agree on a command; start it again."""
    leader = await cluster.leader()
    others = [name for name in cluster.names if name != leader]
    cluster.kill(leader)
    began = time.monotonic()
    while not await cluster.command(others[0], "out", server=f"y-{turn}"):
        pass
    gap = time.monotonic() - began
    for number in range(FLOWS_PER_KILL):
        await cluster.request(f"k{turn}.{number}", others[number % 2])
    cluster.start(leader)
    await cluster.wait_until_agreed()
    return gap


# Messages.


def measure_messages() -> None:
    """Print messages and KiB per virtual second of an idle fleet, by its size."""
    for voters, followers in FLEET_SIZES:
        cluster = VirtualCluster(1, voters, followers)
        cluster.start()
        cluster.run(SETTLING_SECONDS)
        messages, size = cluster.messages, cluster.sent_bytes
        cluster.run(COUNTED_SECONDS)
        report(
            f"{voters + followers} members: "
            f"{(cluster.messages - messages) / COUNTED_SECONDS:.0f} messages a second, "
            f"{(cluster.sent_bytes - size) / COUNTED_SECONDS / 1024:.0f} KiB a second"
        )


# Kills of a writer.


def load(store: Store) -> PersistentState | None:
    """Return the state in a writer's folder."""
    return store.load("f", "a", lambda text: None)


def last_index(state: PersistentState) -> int:
    """Return the index of the last entry."""
    return state.snapshot.index + len(state.entries)


def run_writer(folder: str) -> None:
    """Write entries until killed; print the index of each entry once it is flushed."""
    store = Store(DiskFolder(folder))
    state = load(store) or PersistentState(Snapshot(0, 0, MEMBERS, b"x"))
    boot = (store.identity.boot if store.identity else 0) + 1
    store.begin_file(LogIdentity("f", "g", "a#1", boot), state)
    index, snapshot_index = last_index(state), state.snapshot.index
    rng = random.Random()
    while True:
        index += 1
        data = b"%d" % index + bytes(rng.randrange(MAX_ENTRY_BYTES))
        store.write(Ready(entries=[(index, Entry(1, ENTRY_COMMAND, data))]))
        os.write(1, b"%d\n" % index)
        if index - snapshot_index > ENTRIES_PER_SNAPSHOT:
            snapshot_index = index
            store.write(Ready(vote=Vote(1, "a#1"), snapshot=Snapshot(index, 1, MEMBERS, b"x")))


def measure_kills() -> None:
    """Kill a writing process 1,000 times; check that each acknowledged entry is stored."""
    with ThreadPoolExecutor(WRITERS) as pool:
        entries = list(pool.map(kill_writers, range(WRITERS)))
    kills = WRITERS * KILLS_PER_WRITER
    report(f"{kills} kills, {sum(entries)} entries, nothing acknowledged lost")


def kill_writers(seed: int) -> int:
    """Start a writer on one folder and kill it, repeatedly; return the final number of entries."""
    rng = random.Random(seed)
    found = 0
    with tempfile.TemporaryDirectory() as folder:
        for _ in range(KILLS_PER_WRITER):
            writer = start_child(__file__, WRITER_ROLE, folder)
            acknowledged = max(found, last_acknowledged(writer, rng))
            state = load(Store(DiskFolder(folder)))
            found = last_index(state) if state else 0
            assert found >= acknowledged, f"{acknowledged} entries acknowledged, {found} stored"
    return found


def last_acknowledged(writer: "subprocess.Popen[str]", rng: random.Random) -> int:
    """Kill a writer at a random time; return the last entry that it acknowledged, or 0."""
    with writer:  # closes its pipes
        # Before its first line the writer has acknowledged nothing, so a kill would test nothing.
        output = read_line(writer)
        time.sleep(rng.uniform(0, MAX_WRITER_SECONDS))
        kill_child(writer)
        output += read_rest(writer)
    numbers = output.split()
    return int(numbers[-1]) if numbers else 0


PARTS = {
    "flows": measure_flows,
    "commands": measure_commands,
    "leaderless": measure_leader_loss,
    "words": measure_messages,
    "kills": measure_kills,
}

if __name__ == "__main__":
    if sys.argv[1:2] == [WRITER_ROLE]:
        run_writer(sys.argv[2])
    else:
        run_parts(__doc__, PARTS, default=True)
