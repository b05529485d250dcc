"""Simulated releases of servers in virtual time.

The fleet's and the agents' production code runs with simulated servers, and with balancers that
check servers' health, send them flows and drain them. Rules, in addition to those of
`release_simulation`:

- S: no server is shut down while a balancer may send it flows or has flows open there, and no
  flow is sent to a server that is being changed.
"""

from random import Random

from cypresswalk.fleet.records import FleetState
from cypresswalk.lab.cluster.checkers.halts import MAX_HALT_DELAY
from cypresswalk.lab.cluster.simulation.errors import ViolationError
from cypresswalk.lab.cluster.simulation.faults import Handler, Target
from cypresswalk.lab.cluster.simulation.network import DEFAULT_DELAY, MIN_DELAY
from cypresswalk.lab.cluster.simulation.release_faults import ReleaseFaults
from cypresswalk.lab.cluster.simulation.release_runs import (
    MAX_DELAYS_MS,
    Outcome,
    ReleaseRun,
)
from cypresswalk.lab.cluster.simulation.release_simulation import Reason, ReleaseSimulation
from cypresswalk.lab.cluster.simulation.server_hosts import ServerHost
from cypresswalk.lab.cluster.simulation.serving_balancers import Drains, ServingBalancer
from cypresswalk.lab.units import MILLISECOND, SECOND
from cypresswalk.rollout.bounds import Bound
from cypresswalk.rollout.release import MemberKind

ZONES = 2
MAX_RELEASE_TIME = 900 * SECOND  # for a release to end once all faults are cleared
MAX_ACTIONS_UNTIL_CRASH = 16  # bound on an agent's actions before an injected crash
RETURN_SERVER = "in"  # name of the call in the history and in counts
# Relative frequency of each kind of fault or call.
WEIGHTS = {
    "cut": 5,
    "cut_one_way": 4,
    "isolate": 3,
    "slow_way": 3,
    "heal": 8,
    "kill": 4,
    "start": 10,
    "freeze": 5,
    "lose_server": 3,
    "server_falls": 4,
    "kill_agent": 6,
    "agent_at_step": 8,
    "start_agent": 12,
    "halt": 2,
    "resume": 6,
    "pause": 1,
    "unpause": 3,
    "back": 0.6,
    "out": 5,
    RETURN_SERVER: 6,
    "hand_over": 4,
}
AIMED_AT_BALANCERS = ("cut", "cut_one_way", "isolate", "kill", "freeze")  # not at a server
# One value of each is drawn for each run.
BUILDS = ("good", "good", "good", "aborts", "falls", "never_ready")
SERVER_COUNTS = (2, 4, 6)
FOLLOWERS = (0, 1, 2)
BOUNDS: tuple[Bound, ...] = (1, 1, 2, {"share": 0.4, "least": 1})
LOSSES = (0.0, 0.02)


class ServerReleases(ReleaseSimulation[ServerHost]):
    """Simulated fleet in which a release changes the servers.

    Attributes:
        balancers: the balancers' health checks and flows, by name of the balancer.
        drains: the speed at which open flows leave servers that are out.
    """

    kind = MemberKind.SERVERS
    observation_interval = SECOND // 5
    min_flows = 60
    change_timeout_s = 90.0

    def __init__(
        self,
        seed: int,
        servers: int = 6,
        bound: Bound = 2,
        build: str = "good",
        *,
        voters: int = 3,
        followers: int = 3,
        loss: float = 0.0,
        delay: tuple[int, int] = DEFAULT_DELAY,
    ):
        """Create a fleet with `servers` servers that is not started yet; see ReleaseSimulation."""
        super().__init__(seed, voters, followers, ZONES, servers, bound, build, loss, delay)
        self.drains = Drains()
        for name in (f"s{i}" for i in range(servers)):
            self.hosts[name] = ServerHost(self, name)
        self.balancers = {
            name: ServingBalancer(self, process, self.hosts, self.drains)
            for name, process in self.processes.items()
        }

    def start(self) -> None:
        """Start all agents, which start the servers, and all balancers."""
        for host in self.hosts.values():
            host.agent.start()
        super().start()
        self.call_later(self.observation_interval, self.observe_hosts)

    def after_observation(self) -> None:
        """Let each balancer check the servers and send flows."""
        for balancer in self.balancers.values():
            balancer.step()

    def on_process_ended(self, host: ServerHost) -> None:
        """End all flows at the server."""
        for balancer in self.balancers.values():
            balancer.open_flows[host.name] = 0

    def on_stopping(self, host: ServerHost) -> None:
        """Check all rules when a server is asked to shut down; raise ViolationError."""
        super().on_stopping(host)
        for balancer in self.balancers.values():
            if balancer.process.may_act:
                self._check_balancer(balancer, host)

    def _check_balancer(self, balancer: ServingBalancer, host: ServerHost) -> None:
        name = balancer.process.name
        if host.name not in balancer.out:
            raise ViolationError(f"S: {host.name} is asked to shut down, but {name} may send to it")
        # A balancer that could not act until just now had no lease when the fleet asked for open
        # flows.
        acts_for_long = self.now - balancer.last_inactive_at > MAX_HALT_DELAY
        open_flows = balancer.open_flows.get(host.name)
        if acts_for_long and open_flows:
            raise ViolationError(
                f"S: {host.name} is asked to shut down, but {name} has {open_flows} flows there"
            )

    def is_bound_waived(self, host: ServerHost, reason: Reason) -> bool:
        """Return True in a rollback, which may have to change servers that are lost."""
        return self.rollback_requested_at is not None

    def is_halt_binding(self, host: ServerHost, reason: Reason) -> bool:
        """Return whether a halt forbids taking this server out.

        A halt forbids releases, but no rollbacks and no calls by operators.
        """
        return reason is Reason.RELEASE and self.rollback_requested_at is None

    def recover_processes(self) -> None:
        """Start balancers that do not run, and end freezes."""
        for process in self.processes.values():
            process.thaw()
            if process.fleet is None:
                process.start()
            self.schedule(process)

    def return_removed(self, state: FleetState) -> None:
        """Bring back servers whose removal was confirmed late or whose caller got no answer."""
        for name in state.removed_servers:
            self.hosts[name].bring_back()

    def is_settled(self, state: FleetState) -> bool:
        """Return whether all servers answer, and all balancers send to them."""
        if state.halted or state.removed_servers or state.returning_servers:
            return False
        if any(balancer.out for balancer in self.balancers.values()):
            return False
        return all(host.is_serving() and not host.is_being_changed for host in self.hosts.values())

    def running_versions(self) -> dict[str, str]:
        """Return the version that runs at each host."""
        return {host.name: host.running_version() for host in self.hosts.values()}

    def describe_leader(self) -> str:
        """Describe what the leader's release waits for, and which servers count as unhealthy."""
        leader = self.leader()
        if leader is None:
            return "no leader"
        duties = leader.live_member.duties
        unhealthy = duties.servers.unhealthy(duties.run_at)
        return f"waits for {duties.releases.control.waits_for}, unhealthy {unhealthy}"


class ServerReleaseFaults:
    """Faults and operators' calls during a release of servers."""

    def __init__(self, simulation: ServerReleases, random: Random):
        """Inject into the given simulation; `random` draws the targets."""
        self._simulation = simulation
        self._random = random
        self._names = sorted(simulation.hosts)
        self._host = simulation.hosts[self._names[0]]  # target of the current fault
        shared = ReleaseFaults(simulation, lambda target: self._host, MAX_ACTIONS_UNTIL_CRASH)
        self._handlers: dict[str, Handler] = shared.handlers() | {
            "kill": self._kill_balancer,
            "start": self._start_balancers,
            "lose_server": lambda target: self._host.kill_all(),
            "server_falls": lambda target: self._host.end_process(self._host.latest_pid),
            "out": lambda target: self._host.take_out(),
            RETURN_SERVER: shared.bring_back,
        }

    def inject(self, kind: str) -> None:
        """Inject a fault or make a call of the given kind."""
        simulation = self._simulation
        process, other = self._random.sample(list(simulation.processes.values()), 2)
        self._host = simulation.hosts[self._random.choice(self._names)]
        simulation.note(f"{kind} {process.name if kind in AIMED_AT_BALANCERS else self._host.name}")
        simulation.count(kind)
        self._handlers[kind](Target(process, other, self._random.choice))

    def _kill_balancer(self, target: Target) -> None:
        """Kill a balancer, unless half of them are down already."""
        processes = self._simulation.processes.values()
        down = sum(process.fleet is None for process in processes)
        if down < len(processes) // 2:
            target.process.kill()

    def _start_balancers(self, target: Target) -> None:
        for process in self._simulation.processes.values():
            if process.fleet is None:
                process.start()


def run_seed(seed: int, action_count: int = 60, build: str = "") -> Outcome:
    """Run a release by a seed; the same seed and arguments give the same outcome.

    Args:
        seed: seed of all random draws.
        action_count: number of faults and calls.
        build: name of the new version's build; drawn if empty.
    """
    random = Random(f"{seed}/servings")
    build = build or random.choice(BUILDS)
    simulation = ServerReleases(
        seed,
        random.choice(SERVER_COUNTS),
        random.choice(BOUNDS),
        build,
        followers=random.choice(FOLLOWERS),
        loss=random.choice(LOSSES),
        delay=(MIN_DELAY, random.choice(MAX_DELAYS_MS) * MILLISECOND),
    )
    faults = ServerReleaseFaults(simulation, random)
    release_run = ReleaseRun(simulation, random, faults.inject, WEIGHTS, MAX_RELEASE_TIME)
    return release_run.run(action_count)
