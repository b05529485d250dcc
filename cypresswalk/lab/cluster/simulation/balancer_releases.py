"""Simulated releases of balancers in virtual time.

The fleet's and the agents' production code runs with simulated processes, under random faults and
operators' calls. `release_simulation` has the rules that are checked after every step.
"""

from random import Random

from cypresswalk.fleet.records import FleetState
from cypresswalk.lab.cluster.simulation.balancer_hosts import BalancerHost, Traffic
from cypresswalk.lab.cluster.simulation.faults import Handler, Target
from cypresswalk.lab.cluster.simulation.network import DEFAULT_DELAY, MIN_DELAY
from cypresswalk.lab.cluster.simulation.release_faults import ReleaseFaults
from cypresswalk.lab.cluster.simulation.release_runs import (
    MAX_DELAYS_MS,
    Outcome,
    ReleaseRun,
)
from cypresswalk.lab.cluster.simulation.release_simulation import (
    MAX_DETECTION_TIME,
    Reason,
    ReleaseSimulation,
)
from cypresswalk.lab.units import MILLISECOND, SECOND
from cypresswalk.rollout.bounds import Bound
from cypresswalk.rollout.release import MemberKind

MAX_RELEASE_TIME = 600 * SECOND  # for a release to end once all faults are cleared
MAX_ACTIONS_UNTIL_CRASH = 12  # bound on an agent's actions before an injected crash
# Relative frequency of each kind of fault or call.
WEIGHTS = {
    "cut": 5,
    "cut_one_way": 5,
    "isolate": 3,
    "slow_way": 3,
    "heal": 8,
    "kill": 4,
    "kill_process": 5,
    "start": 10,
    "freeze": 5,
    "kill_agent": 6,
    "agent_at_step": 8,
    "start_agent": 10,
    "halt": 2,
    "resume": 5,
    "pause": 1,
    "unpause": 3,
    "back": 0.6,
    "drain": 5,
    "undrain": 6,
    "hand_over": 4,
    "kill_leader": 3,
}
# One value of each is drawn for each run.
BUILDS = ("good", "good", "good", "aborts", "slow", "falls", "never_ready")
FOLLOWERS = (0, 2, 3, 4)
BOUNDS: tuple[Bound, ...] = (1, 1, 2, {"share": 0.4, "least": 1})
LOSSES = (0.0, 0.02)


class BalancerReleases(ReleaseSimulation[BalancerHost]):
    """Simulated fleet in which a release changes the balancers.

    Attributes:
        traffic: the load on all balancers.
    """

    kind = MemberKind.BALANCERS
    observation_interval = SECOND // 10
    min_flows = 150
    change_timeout_s = 60.0

    def __init__(
        self,
        seed: int,
        voters: int = 3,
        followers: int = 3,
        bound: Bound = 2,
        build: str = "good",
        *,
        zones: int = 2,
        flows_per_s: int = 20,
        loss: float = 0.0,
        delay: tuple[int, int] = DEFAULT_DELAY,
    ):
        """Create a fleet that is not started yet; see ReleaseSimulation."""
        count = voters + followers
        super().__init__(seed, voters, followers, zones, count, bound, build, loss, delay)
        self.traffic = Traffic(flows_per_s)
        for name, process in self.processes.items():
            self.hosts[name] = BalancerHost(self, process, self.traffic)

    def start(self) -> None:
        """Start all agents, which start the balancers."""
        for host in self.hosts.values():
            host.agent.start()
        self.observe_hosts()

    def is_bound_waived(self, host: BalancerHost, reason: Reason) -> bool:
        """Return True if a rollback repairs a balancer that was not serving until recently."""
        if self.rollback_requested_at is None or reason is not Reason.RELEASE:
            return False
        since = host.serving_since
        return since is None or self.now - since < MAX_DETECTION_TIME

    def is_halt_binding(self, host: BalancerHost, reason: Reason) -> bool:
        """Return whether a halt forbids taking this balancer out.

        A halt forbids drains and releases of balancers that serve, but no rollbacks.
        """
        is_forbidden = reason is Reason.DRAIN or self.rollback_requested_at is None
        return is_forbidden and host.is_serving()

    def is_settled(self, state: FleetState) -> bool:
        """Return whether all balancers serve, and none has a grant to go out."""
        if state.leave_grants or (state.release is None and state.halted):
            return False
        return all(host.is_serving() and not host.is_being_changed for host in self.hosts.values())

    def running_versions(self) -> dict[str, str]:
        """Return the version that serves at each host; all hosts must serve."""
        return {host.name: host.serving_version() for host in self.hosts.values()}

    def describe_leader(self) -> str:
        """Describe what the leader's release waits for, and which balancers it counts as out."""
        leader = self.leader()
        if leader is None:
            return "no leader"
        duties = leader.live_member.duties
        unavailable = duties.balancers.unavailable(duties.run_at)
        return f"waits for {duties.releases.control.waits_for}, unavailable {unavailable}"


class BalancerReleaseFaults:
    """Faults and operators' calls during a release of balancers."""

    def __init__(self, simulation: BalancerReleases, random: Random):
        """Inject into the given simulation; `random` draws the targets."""
        self._simulation = simulation
        self._random = random
        self._names = sorted(simulation.hosts)
        shared = ReleaseFaults(simulation, self._host, MAX_ACTIONS_UNTIL_CRASH)
        self._handlers: dict[str, Handler] = shared.handlers() | {
            "kill": self._kill_host,
            "kill_process": self._kill_process,
            "kill_leader": self._kill_leader,
            "start": shared.start_agents,
            "drain": self._drain,
            "undrain": shared.bring_back,
        }

    def inject(self, kind: str) -> None:
        """Inject a fault or make a call of the given kind."""
        simulation = self._simulation
        name, other_name = self._random.sample(self._names, 2)
        other = other_name if kind.startswith("cut") else ""
        simulation.note(f"{kind} {name} {other}")
        simulation.count(kind)
        process = simulation.processes[name]
        target = Target(process, simulation.processes[other_name], self._random.choice)
        self._handlers[kind](target)

    def _host(self, target: Target) -> BalancerHost:
        return self._simulation.hosts[target.process.name]

    def _kill_host(self, target: Target) -> None:
        self._host(target).kill_all()

    def _kill_process(self, target: Target) -> None:
        host = self._host(target)
        if host.running:
            host.end_process(target.pick(sorted(host.running)))

    def _kill_leader(self, target: Target) -> None:
        leader = self._simulation.leader()
        if leader is not None:
            host = self._simulation.hosts[leader.name]
            host.end_process(host.member_pid)

    def _drain(self, target: Target) -> None:
        self._host(target).take_out()


def run_seed(seed: int, action_count: int = 60, build: str = "") -> Outcome:
    """Run a release by a seed; the same seed and arguments give the same outcome.

    Args:
        seed: seed of all random draws.
        action_count: number of faults and calls.
        build: name of the new version's build; drawn if empty.
    """
    random = Random(f"{seed}/release")
    build = build or random.choice(BUILDS)
    simulation = BalancerReleases(
        seed,
        3,
        random.choice(FOLLOWERS),
        random.choice(BOUNDS),
        build,
        loss=random.choice(LOSSES),
        delay=(MIN_DELAY, random.choice(MAX_DELAYS_MS) * MILLISECOND),
    )
    faults = BalancerReleaseFaults(simulation, random)
    release_run = ReleaseRun(simulation, random, faults.inject, WEIGHTS, MAX_RELEASE_TIME)
    return release_run.run(action_count)
