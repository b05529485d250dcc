"""What agreement costs.

    python benchmarks/fleet_cost.py [flows|commands|leaderless|words|kills]     all by default

`flows`: set-up of flows with a fleet and without it, side by side in one run. `commands`: commands
a second. `leaderless`: how long a fleet is without a leader. `words`: messages by fleet size.
`kills`: kills of a process that writes a voter's log. Results: docs/measurements/agreement.md.
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
    Summary,
    UnagreedCluster,
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
START_SECONDS = 3  # in which balancers that agree on nothing have started
IDLE_PLAN = {"balancers": 3, "flows_per_s": 0}

COMMAND_SECONDS = 5
CALLERS = (1, 8)

LEADER_KILLS = 10
FLOWS_PER_KILL = 20

FLEET_SIZES = ((3, 0), (3, 2), (3, 17), (5, 45), (5, 195))  # voters, followers
SETTLING_SECONDS = 20  # virtual
COUNTED_SECONDS = 10  # virtual

WRITERS = 8  # at a time
KILLS_PER_WRITER = 125
MAX_WRITER_SECONDS = 0.06
MAX_ENTRY_BYTES = 2000
ENTRIES_PER_SNAPSHOT = 40
MEMBERS = (Member("a#1", True),)


# Set-up of flows.


def measure_flows() -> None:
    """OPEN to UP in milliseconds, and resident memory in KiB, with a fleet and without, in turn."""
    for turn in range(FLOW_TURNS):
        for agreed in (True, False):
            delays = asyncio.run(setup_delays(agreed))
            report(
                f"{turn} {'fleet' if agreed else 'alone'} flows {delays.count} "
                f"p50 {delays.median:.2f} ms p99 {delays.p99:.2f} ms"
            )


async def setup_delays(agreed: bool) -> Summary:
    """Milliseconds until flows were established; prints the memory of each balancer."""
    kind = RealCluster if agreed else UnagreedCluster
    async with running(kind, FLOW_PLAN) as cluster:
        if agreed:
            await cluster.wait_until_agreed()
        else:
            await asyncio.sleep(START_SECONDS)
        await cluster.play()
        report(f"{'fleet' if agreed else 'alone'} resident KB {cluster.resident_kib()}")
        return Summary.of([r.setup_ms for r in cluster.requests if r.is_established])


# Commands.


def measure_commands() -> None:
    """Servers out and back, as fast as the fleet agrees, from 1 and from 8 callers at a time."""

    async def run() -> None:
        """Begins a cluster, measures and prints."""
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
    """Milliseconds of each command, from callers that send one after another."""
    delays_ms: list[float] = []
    until = time.monotonic() + COMMAND_SECONDS

    async def call_repeatedly(number: int) -> None:
        """One caller."""
        while time.monotonic() < until:
            began = time.monotonic()
            command = "out" if len(delays_ms) % 2 else "back"
            assert await cluster.command("n1", command, server=f"x-{number}")
            delays_ms.append((time.monotonic() - began) * 1000)

    await asyncio.gather(*(call_repeatedly(number) for number in range(callers)))
    return Summary.of(delays_ms)


# Loss of the leader.


def measure_leader_loss() -> None:
    """Seconds until a command is agreed again once the leader is killed, and clients' answers."""

    async def run() -> None:
        """Begins a cluster, measures and prints."""
        async with running(RealCluster, IDLE_PLAN) as cluster:
            await cluster.wait_until_agreed()
            gaps = Summary.of([await leader_gap(cluster, turn) for turn in range(LEADER_KILLS)])
            refused = sum(not request.is_established for request in cluster.requests)
            report(
                f"ten leaders killed: agreed again after {gaps.least:.2f} to {gaps.most:.2f} s, "
                f"median {gaps.median:.2f}; {refused} of {len(cluster.requests)} flows at the "
                "others not established"
            )

    asyncio.run(run())


async def leader_gap(cluster: RealCluster, turn: int) -> float:
    """Kills the leader and starts it again; seconds until the others agreed on a command."""
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
    """Messages and KiB a virtual second of an idle fleet, by its size."""
    for voters, followers in FLEET_SIZES:
        cluster = VirtualCluster(1, voters, followers)
        cluster.start()
        cluster.run(SETTLING_SECONDS)
        messages, size = cluster.messages, cluster.sent_bytes
        cluster.run(COUNTED_SECONDS)
        report(
            f"{voters + followers} members: "
            f"{(cluster.messages - messages) / COUNTED_SECONDS:.0f} words a second, "
            f"{(cluster.sent_bytes - size) / COUNTED_SECONDS / 1024:.0f} KB a second"
        )


# Kills of a writer.


def load(store: Store) -> PersistentState | None:
    """What a writer's folder holds."""
    return store.load("f", "a", lambda text: None)


def last_index(state: PersistentState) -> int:
    """The number of the last entry."""
    return state.snapshot.index + len(state.entries)


def run_writer(folder: str) -> None:
    """Writes entries until it is killed; prints the number of each once it is flushed."""
    store = Store(DiskFolder(folder))
    state = load(store) or PersistentState(Snapshot(0, 0, MEMBERS, b"x"))
    boot = (store.identity.boot if store.identity else 0) + 1
    store.begin_file(LogIdentity("f", "g", "a#1", boot), state)
    index, snapshot_index = last_index(state), state.snapshot.index
    chance = random.Random()
    while True:
        index += 1
        data = b"%d" % index + bytes(chance.randrange(MAX_ENTRY_BYTES))
        store.write(Ready(entries=[(index, Entry(1, ENTRY_COMMAND, data))]))
        os.write(1, b"%d\n" % index)
        if index - snapshot_index > ENTRIES_PER_SNAPSHOT:
            snapshot_index = index
            store.write(Ready(vote=Vote(1, "a#1"), snapshot=Snapshot(index, 1, MEMBERS, b"x")))


def measure_kills() -> None:
    """1,000 kills of a process that writes: every entry that it had acknowledged is there."""
    with ThreadPoolExecutor(WRITERS) as pool:
        entries = list(pool.map(kill_writers, range(WRITERS)))
    kills = WRITERS * KILLS_PER_WRITER
    report(f"{kills} kills, {sum(entries)} entries, nothing acknowledged lost")


def kill_writers(seed: int) -> int:
    """Starts a writer on one folder and kills it, again and again; the number of entries then."""
    chance = random.Random(seed)
    found = 0
    with tempfile.TemporaryDirectory() as folder:
        for _ in range(KILLS_PER_WRITER):
            writer = start_child(__file__, WRITER_ROLE, folder)
            acknowledged = max(found, last_acknowledged(writer, chance))
            state = load(Store(DiskFolder(folder)))
            found = last_index(state) if state else 0
            assert found >= acknowledged, f"{acknowledged} was acknowledged, {found} are there"
    return found


def last_acknowledged(writer: "subprocess.Popen[str]", chance: random.Random) -> int:
    """Kills a writer at a moment drawn by chance; the last entry that it acknowledged, or 0."""
    with writer:  # closes its pipes
        # It writes from its first line on; a process that starts has nothing to lose.
        output = read_line(writer)
        time.sleep(chance.uniform(0, MAX_WRITER_SECONDS))
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
