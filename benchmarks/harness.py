"""What the benchmarks share: their arguments, clusters of balancers, child processes, figures.

All that benchmarks use of `cypresswalk.lab.cluster` is used in this module alone. There are two
kinds of cluster: `RealCluster` and its subclasses run processes on loopback, `VirtualRun` and its
subclasses the fleet's own code in virtual time.

Imported before the package: a benchmark runs from the source tree, nothing need be installed.
"""

import argparse
import os
import signal
import statistics
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any, ClassVar, NamedTuple, TypeVar

sys.path.insert(0, str(Path(__file__).parents[1]))

from cypresswalk.lab.cluster.plan import Build, Plan, Step
from cypresswalk.lab.cluster.simulation.balancer_releases import BalancerReleases
from cypresswalk.lab.cluster.simulation.fleet_simulation import FleetSimulation
from cypresswalk.lab.cluster.simulation.release_simulation import NEW_VERSION, OLD_VERSION
from cypresswalk.lab.cluster.testbed.bed import ClusterTestBed
from cypresswalk.lab.cluster.testbed.builds import make_balancer_build
from cypresswalk.lab.cluster.testbed.releases import Releases
from cypresswalk.lab.cluster.testbed.result import conclude
from cypresswalk.rollout.plan import PlanFile, waves_by_zone

SECOND = 1_000_000_000  # in nanoseconds
MILLISECOND = 1_000_000
ESTABLISHED = "UP"  # the answer to a client whose flow was established
COMMAND_TIMEOUT = 20  # virtual seconds in which a release must be agreed
MEMORY_FOLDER = "/dev/shm"  # a file system in memory: a flush costs nothing


# Arguments.


def run_parts(description: str, parts: Mapping[str, Callable[[], None]], default: bool) -> None:
    """Runs the parts that the command line names, in its order.

    Args:
        description: for `--help`.
        parts: what measures and prints, by name.
        default: whether all parts run where none is named; otherwise none does.
    """
    parser = argparse.ArgumentParser(
        description=description, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("part", nargs="*", help=", ".join(parts))
    names = parser.parse_args().part
    unknown = [name for name in names if name not in parts]
    if unknown:
        parser.error(f"no such part: {', '.join(unknown)}; there are {', '.join(parts)}")
    for name in names or (parts if default else ()):
        parts[name]()


# Figures.


def percentile(values: Sequence[float], share: float) -> float:
    """The value below which that share (0 to 1) of all values lies; `values` are sorted."""
    return values[int(len(values) * share)]


@dataclass(frozen=True)
class Summary:
    """Figures of a sample, in its own unit."""

    count: int
    median: float
    p99: float
    least: float
    most: float

    @classmethod
    def of(cls, values: Sequence[float]) -> "Summary":
        """Raises `statistics.StatisticsError` where there is no value."""
        ordered = sorted(values)
        median = statistics.median(ordered)
        return cls(len(ordered), median, percentile(ordered, 0.99), ordered[0], ordered[-1])


def resident_kib(pid: int) -> int:
    """Resident memory of a process, in KiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    raise ProcessLookupError(f"process {pid} has no memory any more")


def report(text: str) -> None:
    """Prints a line at once, so that it is seen while the benchmark goes on."""
    print(text, flush=True)


def table_row(*cells: object) -> str:
    """A row of a Markdown table."""
    return f"| {' | '.join(map(str, cells))} |"


def table_head(*titles: str) -> str:
    """The first two lines of a Markdown table."""
    return f"{table_row(*titles)}\n{table_row(*['---'] * len(titles))}"


# Child processes.


def start_child(script: str, role: str, argument: str) -> "subprocess.Popen[str]":
    """Starts a benchmark's own script as a child, with pipes to its input and from its output.

    The script sees `role` and `argument` as its arguments.
    """
    return subprocess.Popen(
        [sys.executable, script, role, argument],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def write_line(child: "subprocess.Popen[str]", line: str) -> None:
    """Writes a line to a child's input."""
    assert child.stdin is not None  # as `start_child` opened it
    child.stdin.write(line + "\n")
    child.stdin.flush()


def read_line(child: "subprocess.Popen[str]") -> str:
    """Waits for a line of a child's output; empty once it has ended."""
    assert child.stdout is not None  # as `start_child` opened it
    return child.stdout.readline()


def read_rest(child: "subprocess.Popen[str]") -> str:
    """All that a child that has ended wrote and nobody read."""
    assert child.stdout is not None  # as `start_child` opened it
    return child.stdout.read()


def kill_child(child: "subprocess.Popen[str]") -> None:
    """Kills a child and waits for its end."""
    child.send_signal(signal.SIGKILL)
    child.wait()


# Real processes.


class Request(NamedTuple):
    """A client's request and its answer. Times are nanoseconds of one clock."""

    effect: str  # "repeatable" or "once-only"
    answer: str  # the first word of the balancer's reply, or how the connection ended
    sent_at: int
    deadline: int
    answered_at: int

    @property
    def is_established(self) -> bool:
        """Whether a server took it."""
        return self.answer == ESTABLISHED

    @property
    def setup_ms(self) -> float:
        """From the client's first line to the answer."""
        return (self.answered_at - self.sent_at) / MILLISECOND

    @property
    def is_late(self) -> bool:
        """Whether it was answered after its deadline."""
        return self.answered_at > self.deadline


class RealCluster:
    """Balancers of one fleet on loopback, with stand-ins for servers, endpoint list and clients.

    Balancers are named n0, n1 and so on. Use it by `running`.
    """

    in_fleet: ClassVar[bool] = True  # else balancers' operator files are empty

    def __init__(self, folder: Path, plan: Mapping[str, Any]):
        """`plan` is what a cluster's plan file says."""
        self.folder = folder
        self.bed = ClusterTestBed(Plan.model_validate(plan), folder / "rig", in_fleet=self.in_fleet)

    @property
    def names(self) -> list[str]:
        """All balancers' names."""
        return self.bed.names

    @property
    def requests(self) -> list[Request]:
        """All requests that have ended."""
        return [
            Request(flow.effect, flow.answer, flow.sent_at, flow.deadline, flow.answered_at)
            for flow in self.bed.clients.flows
        ]

    def process(self, name: str) -> "subprocess.Popen[Any]":
        """The process that was started last for a balancer: it, or its agent."""
        process = self.bed.balancers[name].process
        assert process is not None, f"{name} does not run"
        return process

    def admin_address(self, name: str) -> tuple[str, int]:
        """Where a balancer takes operators' commands."""
        return self.bed.balancers[name].admin

    def resident_kib(self) -> list[int]:
        """Resident memory of each balancer, in KiB."""
        return [resident_kib(self.process(name).pid) for name in self.names]

    async def wait_until_agreed(self) -> dict[str, Any]:
        """The status, once each balancer acts on the fleet's newest version under a lease."""
        status = await self.bed.convergence.wait()
        assert status is not None, "the fleet has not come together"
        return status

    async def wait_until_replicated(self) -> None:
        """Waits until each partition of keys is complete at all its replicas."""
        await self.bed.convergence.wait_for_replicas()

    async def command(self, name: str, command: str, **args: Any) -> bool:
        """Asks a balancer for a command that the fleet agrees on. Whether it was carried out."""
        return (await self.bed.calls.command(name, command, **args)).ok

    async def leader(self) -> str:
        """The name of the balancer that leads."""
        return await self.bed.calls.leader()

    def kill(self, name: str) -> None:
        """Kills a balancer."""
        self.bed.balancers[name].kill()

    def start(self, name: str) -> None:
        """Starts a balancer that does not run."""
        self.bed.balancers[name].start()

    def use_build(self, kind: str) -> None:
        """Balancers that are started from now on run a build of that kind."""
        builds = self.folder / "versions"
        builds.mkdir()
        launch = self.bed.launch
        make_balancer_build(builds, launch.tree, "new", Build(kind))
        launch.tree = builds / "new"

    async def request(self, ident: str, name: str) -> None:
        """One client's idempotent request to a balancer, until it has ended."""
        await self.bed.clients.flow(ident, name, "view")

    def run_in_background(self, work: Any) -> Awaitable[Any]:
        """Runs a coroutine until it ends or the cluster does."""
        return self.bed.tasks.spawn(work)

    def start_load(self) -> None:
        """Clients send as many requests a second as the plan says, to balancers by chance."""
        self.bed.clients.start()

    def stop_load(self) -> None:
        """No client sends a further request."""
        self.bed.clients.stop()

    async def play(self) -> None:
        """The load of the plan, for as long as it says."""
        self.bed.clients.start()
        await self.bed.player.play()


class UnagreedCluster(RealCluster):
    """The same balancers without an operator file: nothing is agreed."""

    def __init__(self, folder: Path, plan: Mapping[str, Any]):
        """As `RealCluster`."""
        super().__init__(folder, plan)
        self.bed.launch.environment["PROXY_OPERATOR"] = ""


class SingleBalancer(RealCluster):
    """One balancer, n0, that agrees with nobody and can be upgraded beside the running process."""

    in_fleet = False

    def start_second_process(self) -> tuple["subprocess.Popen[Any]", tuple[str, int]]:
        """Starts a successor beside the running process; it, and its address for commands."""
        launch = self.bed.launch
        first = self.bed.balancers["n0"]
        admin = self.bed.addresses.free()
        environment = {
            "TMPDIR": str(first.folder),
            "PROXY_CONFIG": str(first.config_file),
            "PROXY_ADMIN_ADDR": "{}:{}".format(*admin),
        }
        with open(first.log, "ab") as log:
            process = subprocess.Popen(
                launch.program,
                cwd=launch.tree,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=os.environ | environment,
            )
        return process, admin


class ReleaseCluster(RealCluster):
    """Balancers under agents, with a bound on those that are out at once: releases can be run."""

    @property
    def releases(self) -> Releases:
        """Releases of the balancers."""
        assert self.bed.releases is not None, "the plan has no agents"
        return self.bed.releases

    async def agree_on_bound(self) -> None:
        """Agrees on the settings with the plan's bound."""
        await self.bed.agree_on_bounds(await self.wait_until_agreed())

    async def begin_release(self, **step: Any) -> None:
        """Begins a release; `step` is what a cluster's plan file says of one."""
        await self.releases.begin(Step.model_validate({"at_s": 0, "do": "release"} | step))

    async def halt_anywhere(self) -> None:
        """Asks a balancer drawn by chance for a halt."""
        await self.releases.halt(self.bed.chance.choice(self.names))

    async def roll_back(self) -> None:
        """Asks for the way back."""
        await self.releases.roll_back(self.names[0])

    async def finish_release(self) -> dict[str, Any]:
        """Brings the release to its end, or back where the build is bad. How that went."""
        return (await self.releases.finish()).to_json()

    async def verdict(self) -> dict[str, Any]:
        """As `finish_release`; then holds the whole run against the rules."""
        return (await conclude(self.bed)).to_json()


ClusterT = TypeVar("ClusterT", bound=RealCluster)


@asynccontextmanager
async def running(
    kind: type[ClusterT], plan: Mapping[str, Any], in_memory: bool = False
) -> AsyncIterator[ClusterT]:
    """Begins a cluster in a folder of its own, and ends it whatever happens.

    Args:
        kind: of the cluster.
        plan: what a cluster's plan file says.
        in_memory: the folder is on a file system in memory.
    """
    with tempfile.TemporaryDirectory(dir=MEMORY_FOLDER if in_memory else None) as folder:
        cluster = kind(Path(folder), plan)
        try:
            await cluster.bed.start()
            yield cluster
        finally:
            await cluster.bed.stop()


# Virtual time.


class VirtualRun:
    """A fleet in virtual time; a subclass makes its world. The same seed gives the same run."""

    _world: FleetSimulation

    def start(self) -> None:
        """Starts all balancers."""
        self._world.start()

    def run(self, seconds: float) -> None:
        """Lets virtual time pass; no invariant is checked."""
        self._world.run(int(seconds * SECOND), check=False)

    @property
    def messages(self) -> int:
        """Messages that were sent so far."""
        return self._world.network.message_count

    @property
    def sent_bytes(self) -> int:
        """Bytes of all messages that were sent so far."""
        return self._world.network.byte_count


class VirtualCluster(VirtualRun):
    """A fleet alone."""

    def __init__(self, seed: int, voters: int, followers: int):
        """Nothing runs yet."""
        self._world = FleetSimulation(seed, voters, followers)


class VirtualRelease(VirtualRun):
    """A fleet and its agents, and one release."""

    _world: BalancerReleases

    def __init__(
        self,
        seed: int,
        voters: int,
        followers: int,
        bound: int,
        build: str = "good",
        zones: int = 2,
        rate: int = 20,
    ):
        """Nothing runs yet.

        Args:
            seed: the same seed gives the same run.
            voters: balancers that vote.
            followers: balancers that do not.
            bound: on balancers that are out at once.
            build: what kind of build is released.
            zones: among which the balancers are spread.
            rate: flows a second at each balancer.
        """
        self._world = BalancerReleases(
            seed, voters, followers, bound, build, zones=zones, flows_per_s=rate
        )
        self.seed = seed
        self.waves: list[list[str]] = []
        self.flow_rate = rate

    @property
    def now(self) -> float:
        """Virtual seconds."""
        return self._world.now / SECOND

    @property
    def most_out(self) -> int:
        """How many balancers were out at once by the program's own doing, at most."""
        return self._world.max_members_out

    @property
    def state(self) -> Any:
        """What is agreed, as the leader has it (`fleet.records.FleetState`); None without one."""
        return self._world.agreed_state()

    @property
    def has_ended(self) -> bool:
        """Whether the release is over or halted."""
        state = self.state
        return (
            state is not None
            and state.release is not None
            and (bool(state.halted) or state.release.phase != "running")
        )

    def begin(self, hold_s: float, min_flows: int) -> None:
        """Begins a release whose waves `release plan` would draw up: zone by zone, each doubled.

        Args:
            hold_s: how long each wave is held.
            min_flows: that each changed member must have answered.
        """
        zones = {name: p.table.zone for name, p in self._world.processes.items()}
        file = PlanFile.model_validate({"name": "r1", "since": OLD_VERSION, "to": NEW_VERSION})
        self.waves = waves_by_zone(file, zones)
        # Hold periods and excess failures at most, set-up ratio at most, seconds of a change.
        limits = [8.0, 0.01, 1.5, 120.0]
        plan = ["r1", OLD_VERSION, NEW_VERSION, self.waves, hold_s, min_flows, *limits]
        self._world.operator_call("release_begin", {"plan": plan}, timeout=COMMAND_TIMEOUT * SECOND)

    def vary_load(self, chance: Random) -> None:
        """Half as many flows again for a fifth of the time; for a tenth of it 20 % fail."""
        busy = chance.random() < 0.2
        self._world.traffic.flows_per_s = self.flow_rate * 3 // 2 if busy else self.flow_rate
        self._world.traffic.failure_share = 0.2 if chance.random() < 0.1 else 0.0

    def failed_on_new_build(self) -> int:
        """Flows that failed at processes of the new build that still run."""
        return sum(
            process.flows.failed
            for host in self._world.hosts.values()
            for process in host.running.values()
            if process.version == NEW_VERSION
        )
