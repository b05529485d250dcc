"""Shared code of the benchmarks: arguments, statistics, child processes, clusters of balancers.

This is the only benchmark module that uses `cypresswalk.lab.cluster`. There are two kinds of
cluster: `RealCluster` and its subclasses run processes on loopback, `VirtualRun` and its subclasses
run the fleet's own code in virtual time.

Import this module before the package: it adds the source tree to the path, so that a benchmark runs
without an installation.
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
from cypresswalk.lab.cluster.testbed.builds import make_balancer_build
from cypresswalk.lab.cluster.testbed.cluster_testbed import ClusterTestBed
from cypresswalk.lab.cluster.testbed.releases import Releases
from cypresswalk.lab.cluster.testbed.result import conclude
from cypresswalk.rollout.plan import PlanFile, waves_by_zone

SECOND = 1_000_000_000  # in nanoseconds
MILLISECOND = 1_000_000
ESTABLISHED = "UP"  # reply to a client whose flow was established
COMMAND_TIMEOUT = 20  # virtual seconds within which the fleet must agree on a release
MEMORY_FOLDER = "/dev/shm"  # a file system in memory, where a flush costs nothing


# Arguments.


def run_parts(description: str, parts: Mapping[str, Callable[[], None]], default: bool) -> None:
    """Run the parts that the command line names, in its order.

    Args:
        description: text for `--help`.
        parts: functions that measure and print, by name.
        default: whether to run all parts if none is named; otherwise none is run.
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


# Statistics and output.


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which a share (0 to 1) of the sorted `values` lies."""
    return values[int(len(values) * share)]


@dataclass(frozen=True)
class Summary:
    """Statistics of a sample, in its own unit."""

    count: int
    median: float
    p99: float
    minimum: float
    maximum: float

    @classmethod
    def of(cls, values: Sequence[float]) -> "Summary":
        """Summarize values; raise `statistics.StatisticsError` if there is none."""
        ordered = sorted(values)
        median = statistics.median(ordered)
        return cls(len(ordered), median, percentile(ordered, 0.99), ordered[0], ordered[-1])


def resident_kib(pid: int) -> int:
    """Return the resident memory of a process, in KiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    raise ProcessLookupError(f"process {pid} has ended")


def report(text: str) -> None:
    """Print a line and flush it, so that it is visible while the benchmark runs."""
    print(text, flush=True)


def table_row(*cells: object) -> str:
    """Return a row of a Markdown table."""
    return f"| {' | '.join(map(str, cells))} |"


def table_head(*titles: str) -> str:
    """Return the first two lines of a Markdown table."""
    return f"{table_row(*titles)}\n{table_row(*['---'] * len(titles))}"


# Child processes.


def start_child(script: str, role: str, argument: str) -> "subprocess.Popen[str]":
    """Start a benchmark's own script as a child, with pipes to its input and from its output.

    The script gets `role` and `argument` as its arguments.
    """
    return subprocess.Popen(
        [sys.executable, script, role, argument],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def write_line(child: "subprocess.Popen[str]", line: str) -> None:
    """Write a line to a child's input."""
    assert child.stdin is not None  # `start_child` opened it
    child.stdin.write(line + "\n")
    child.stdin.flush()


def read_line(child: "subprocess.Popen[str]") -> str:
    """Wait for a line of a child's output; return an empty one if the child has ended."""
    assert child.stdout is not None  # `start_child` opened it
    return child.stdout.readline()


def read_rest(child: "subprocess.Popen[str]") -> str:
    """Return the unread output of a child that has ended."""
    assert child.stdout is not None  # `start_child` opened it
    return child.stdout.read()


def kill_child(child: "subprocess.Popen[str]") -> None:
    """Kill a child and wait until it has ended."""
    child.send_signal(signal.SIGKILL)
    child.wait()


# Real processes.


class Request(NamedTuple):
    """A client's request and its answer. All times are nanoseconds of the same clock."""

    effect: str  # "repeatable" or "once-only"
    answer: str  # first word of the balancer's reply, or how the connection ended without one
    sent_at: int
    deadline: int
    answered_at: int

    @property
    def is_established(self) -> bool:
        """Whether a server accepted the flow."""
        return self.answer == ESTABLISHED

    @property
    def setup_ms(self) -> float:
        """Time from sending the request to the answer, in milliseconds."""
        return (self.answered_at - self.sent_at) / MILLISECOND

    @property
    def is_late(self) -> bool:
        """Whether the answer came after the deadline."""
        return self.answered_at > self.deadline


class RealCluster:
    """Balancers of one fleet on loopback, with simulated servers, endpoint list and clients.

    Balancers are named n0, n1 and so on. Create a cluster with `running`.
    """

    in_fleet: ClassVar[bool] = True  # if False, the balancers' operator files are empty

    def __init__(self, folder: Path, plan: Mapping[str, Any]):
        """Prepare a cluster; `plan` has the content of a cluster's plan file."""
        self.folder = folder
        self.testbed = ClusterTestBed(
            Plan.model_validate(plan), folder / "rig", in_fleet=self.in_fleet
        )

    @property
    def names(self) -> list[str]:
        """Names of all balancers."""
        return self.testbed.names

    @property
    def requests(self) -> list[Request]:
        """All finished requests."""
        return [
            Request(flow.effect, flow.answer, flow.sent_at, flow.deadline, flow.answered_at)
            for flow in self.testbed.clients.flows
        ]

    def process(self, name: str) -> "subprocess.Popen[Any]":
        """Return the process started last for a balancer: the balancer, or its agent."""
        process = self.testbed.balancers[name].process
        assert process is not None, f"{name} is not running"
        return process

    def admin_address(self, name: str) -> tuple[str, int]:
        """Return the address at which a balancer accepts operators' commands."""
        return self.testbed.balancers[name].admin

    def resident_kib(self) -> list[int]:
        """Return the resident memory of each balancer, in KiB."""
        return [resident_kib(self.process(name).pid) for name in self.names]

    async def wait_until_agreed(self) -> dict[str, Any]:
        """Wait until each balancer acts on the newest version with a lease; return the status."""
        status = await self.testbed.convergence.wait()
        assert status is not None, "the fleet has not converged"
        return status

    async def wait_until_replicated(self) -> None:
        """Wait until each partition of keys is complete at all its replicas."""
        await self.testbed.convergence.wait_for_replicas()

    async def command(self, name: str, command: str, **args: Any) -> bool:
        """Send a command for the fleet to a balancer; return whether it was carried out."""
        return (await self.testbed.calls.command(name, command, **args)).ok

    async def leader(self) -> str:
        """Return the name of the leader."""
        return await self.testbed.calls.leader()

    def kill(self, name: str) -> None:
        """Kill a balancer."""
        self.testbed.balancers[name].kill()

    def start(self, name: str) -> None:
        """Start a balancer that is not running."""
        self.testbed.balancers[name].start()

    def use_build(self, kind: str) -> None:
        """Make balancers that are started from now on run a build of this kind."""
        builds = self.folder / "versions"
        builds.mkdir()
        launch = self.testbed.launch
        make_balancer_build(builds, launch.tree, "new", Build(kind))
        launch.tree = builds / "new"

    async def request(self, ident: str, name: str) -> None:
        """Send one client's idempotent request to a balancer and wait until it has ended."""
        await self.testbed.clients.flow(ident, name, "view")

    def run_in_background(self, work: Any) -> Awaitable[Any]:
        """Run a coroutine until it or the cluster ends."""
        return self.testbed.tasks.spawn(work)

    def start_load(self) -> None:
        """Start the clients, which send requests to random balancers at the rate of the plan."""
        self.testbed.clients.start()

    def stop_load(self) -> None:
        """Stop sending new requests."""
        self.testbed.clients.stop()

    async def play(self) -> None:
        """Run the plan's load for its duration."""
        self.testbed.clients.start()
        await self.testbed.player.play()


class StandaloneCluster(RealCluster):
    """The same balancers without an operator file: each is independent of the others."""

    def __init__(self, folder: Path, plan: Mapping[str, Any]):
        """Prepare a cluster as `RealCluster` does."""
        super().__init__(folder, plan)
        self.testbed.launch.environment["PROXY_OPERATOR"] = ""


class SingleBalancer(RealCluster):
    """One balancer, n0, without a fleet; a successor can be started beside its process."""

    in_fleet = False

    def start_second_process(self) -> tuple["subprocess.Popen[Any]", tuple[str, int]]:
        """Start a successor beside the running process; return it and its address for commands."""
        launch = self.testbed.launch
        predecessor = self.testbed.balancers["n0"]
        admin = self.testbed.addresses.free()
        environment = {
            "TMPDIR": str(predecessor.folder),
            "PROXY_CONFIG": str(predecessor.config_file),
            "PROXY_ADMIN_ADDR": "{}:{}".format(*admin),
        }
        with open(predecessor.log, "ab") as log:
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
    """Balancers with agents and a bound on those out at once, which releases need."""

    @property
    def releases(self) -> Releases:
        """The releases of the balancers."""
        assert self.testbed.releases is not None, "the plan has no agents"
        return self.testbed.releases

    async def agree_on_bound(self) -> None:
        """Have the fleet agree on the settings with the plan's bound."""
        await self.testbed.agree_on_bounds(await self.wait_until_agreed())

    async def begin_release(self, **step: Any) -> None:
        """Begin a release; `step` has the fields of a release step in a cluster's plan file."""
        await self.releases.begin(Step.model_validate({"at_s": 0, "do": "release"} | step))

    async def halt_at_random_balancer(self) -> None:
        """Send a halt to a random balancer."""
        await self.releases.halt(self.testbed.rng.choice(self.names))

    async def roll_back(self) -> None:
        """Start rolling the release back."""
        await self.releases.roll_back(self.names[0])

    async def finish_release(self) -> dict[str, Any]:
        """Complete the release, or roll it back if the build is bad; return a report of it."""
        return (await self.releases.finish()).to_json()

    async def verdict(self) -> dict[str, Any]:
        """Finish the release, then check the whole run against the rules; return the result."""
        return (await conclude(self.testbed)).to_json()


ClusterT = TypeVar("ClusterT", bound=RealCluster)


@asynccontextmanager
async def running(
    kind: type[ClusterT], plan: Mapping[str, Any], in_memory: bool = False
) -> AsyncIterator[ClusterT]:
    """Start a cluster in a temporary folder, and stop it at the end or after an error.

    Args:
        kind: class of the cluster.
        plan: content of a cluster's plan file.
        in_memory: whether the folder is on a file system in memory.
    """
    with tempfile.TemporaryDirectory(dir=MEMORY_FOLDER if in_memory else None) as folder:
        cluster = kind(Path(folder), plan)
        try:
            await cluster.testbed.start()
            yield cluster
        finally:
            await cluster.testbed.stop()


# Virtual time.


class VirtualRun:
    """A fleet in virtual time, deterministic for a seed. Subclasses create `_simulation`."""

    _simulation: FleetSimulation

    def start(self) -> None:
        """Start all balancers."""
        self._simulation.start()

    def run(self, seconds: float) -> None:
        """Advance virtual time; no invariant is checked."""
        self._simulation.run(int(seconds * SECOND), check=False)

    @property
    def messages(self) -> int:
        """Number of messages sent so far."""
        return self._simulation.network.message_count

    @property
    def sent_bytes(self) -> int:
        """Total size of the messages sent so far, in bytes."""
        return self._simulation.network.byte_count


class VirtualCluster(VirtualRun):
    """A fleet without agents."""

    def __init__(self, seed: int, voters: int, followers: int):
        """Create the fleet; `start` starts it."""
        self._simulation = FleetSimulation(seed, voters, followers)


class VirtualRelease(VirtualRun):
    """A fleet with agents, and one release."""

    _simulation: BalancerReleases

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
        """Create the fleet; `start` starts it.

        Args:
            seed: seed of all random values.
            voters: number of balancers that vote.
            followers: number of balancers that do not vote.
            bound: maximum number of balancers out at once.
            build: kind of the released build.
            zones: number of zones among which the balancers are spread.
            rate: flows per second at each balancer.
        """
        self._simulation = BalancerReleases(
            seed, voters, followers, bound, build, zones=zones, flows_per_s=rate
        )
        self.seed = seed
        self.waves: list[list[str]] = []
        self.flow_rate = rate

    @property
    def now(self) -> float:
        """Current virtual time, in seconds."""
        return self._simulation.now / SECOND

    @property
    def max_members_out(self) -> int:
        """Maximum number of balancers that the program itself had out at once."""
        return self._simulation.max_members_out

    @property
    def state(self) -> Any:
        """The leader's agreed state (`fleet.records.FleetState`); None if there is no leader."""
        return self._simulation.agreed_state()

    @property
    def has_ended(self) -> bool:
        """Whether the release has ended or is halted."""
        state = self.state
        return (
            state is not None
            and state.release is not None
            and (bool(state.halted) or state.release.phase != "running")
        )

    def begin(self, hold_s: float, min_flows: int) -> None:
        """Begin a release with the waves of `release plan`: zone by zone, each twice as large.

        Args:
            hold_s: time for which each wave is held, in seconds.
            min_flows: number of flows that each changed member must have answered.
        """
        zones = {name: p.table.zone for name, p in self._simulation.processes.items()}
        file = PlanFile.model_validate({"name": "r1", "since": OLD_VERSION, "to": NEW_VERSION})
        self.waves = waves_by_zone(file, zones)
        # Maxima: hold periods, excess failure share, set-up ratio, seconds of a change.
        limits = [8.0, 0.01, 1.5, 120.0]
        plan = ["r1", OLD_VERSION, NEW_VERSION, self.waves, hold_s, min_flows, *limits]
        self._simulation.operator_call(
            "release_begin", {"plan": plan}, timeout=COMMAND_TIMEOUT * SECOND
        )

    def vary_load(self, rng: Random) -> None:
        """Set a random load.

        With probability 0.2 there are 1.5 times the flows; with probability 0.1, 20 % of them fail.
        """
        busy = rng.random() < 0.2
        self._simulation.traffic.flows_per_s = self.flow_rate * 3 // 2 if busy else self.flow_rate
        self._simulation.traffic.failure_share = 0.2 if rng.random() < 0.1 else 0.0

    def failed_on_new_build(self) -> int:
        """Return the number of flows that failed at running processes of the new build."""
        return sum(
            process.flows.failed
            for host in self._simulation.hosts.values()
            for process in host.running.values()
            if process.version == NEW_VERSION
        )
