"""Generator of random plans; the same seed gives the same plan."""

from dataclasses import dataclass, field
from random import Random

from cypresswalk.lab.cluster.plan import (
    ACTIONS_WITHOUT_BALANCER,
    LEADER,
    LINK_ACTIONS,
    Action,
    Build,
    Plan,
    Step,
)

FIRST_FAULT_S = 1.0
HEAL_BEFORE_END_S = 5.0  # when all faults are ended
LAST_FAULT_BEFORE_END_S = 6.0
RECOVERY_S = 6.0  # from a disk's loss until its replicas have been restored elsewhere
LEADER_PROBABILITY = 0.4
LEADER_PROBABILITY_IN_RELEASE = 0.3
KEEP_GOOD_RELEASE_PROBABILITY = 0.6
DURATIONS_MS = (200, 900, 3000)
RELEASE_DURATIONS_MS = (200, 900, 3000, 7000)
# A wipe loses a balancer's data; the others make the balancer unavailable for a while.
ACTIONS_THAT_TAKE_DOWN = (Action.KILL, Action.STOP, Action.WIPE)

FAULTS = [
    Action.CUT,
    Action.CUT_ONE_WAY,
    Action.DELAY,
    Action.GARBLE,
    Action.ISOLATE,
    Action.HEAL,
    Action.KILL,
    Action.FREEZE,
    Action.WIPE,
    Action.STOP,
    Action.HALF_CLOSE,
    Action.DISK_FULL,
    Action.DISK_FAILS,
    Action.LIST_LAGS,
    Action.RESTART_SERVER,
]
FAULTS_OF_REPLICAS = [Action.WIPE, Action.WIPE, Action.KILL, Action.FREEZE]
CALLS = [
    Action.REMOVE_SERVER,
    Action.REMOVE_SERVER,
    Action.RETURN_SERVER,
    Action.OFFER_SETTINGS,
    Action.OFFER_SETTINGS,
    Action.SHOW_SETTINGS,
]
RELEASE_FAULTS = [
    Action.CUT,
    Action.CUT_ONE_WAY,
    Action.DELAY,
    Action.ISOLATE,
    Action.HEAL,
    Action.KILL,
    Action.FREEZE,
    Action.WIPE,
    Action.KILL_BALANCER,
    Action.KILL_BALANCER,
    Action.KILL_AGENT,
    Action.KILL_AGENT,
    Action.HALT,
    Action.RESUME_RELEASES,
    Action.PAUSE,
    Action.UNPAUSE,
    Action.DRAIN,
    Action.DRAIN,
    Action.UNDRAIN,
    Action.ROLL_BACK,
]
RELEASE_BUILDS = [
    Build.GOOD,
    Build.GOOD,
    Build.GOOD,
    Build.REJECTS,
    Build.ABORTS,
    Build.CRASHES,
    Build.NEVER_READY,
    Build.CANNOT_READ_SETTINGS,
]


def random_plan(
    seed: int,
    balancers: int = 5,
    voters: int = 3,
    duration_s: float = 20,
    faults: int = 8,
    replicas: int = 0,
) -> Plan:
    """Draw a plan of faults and calls; all faults are ended five seconds before the end.

    At most one disk is lost; with replicated keys, several may be lost one after another.
    """
    random = Random(f"{seed}/together")
    names = [f"n{number}" for number in range(balancers)]
    last_fault_s = duration_s - LAST_FAULT_BEFORE_END_S
    planner = _FaultPlanner(random, names, voters, replicas)
    times = sorted(random.uniform(FIRST_FAULT_S, last_fault_s) for _ in range(faults))
    for at_s in times:
        planner.add_fault(at_s)
    steps = planner.steps
    for _ in range(faults):
        steps.append(_random_call(random, names, last_fault_s))
    steps.append(Step(at_s=duration_s - HEAL_BEFORE_END_S, action=Action.HEAL))
    return Plan(
        balancers=balancers,
        voters=voters,
        duration_s=duration_s,
        seed=seed,
        clock_drift={random.choice(names): random.choice((0.01, -0.01))},
        replicas=replicas,
        repeat_probability=0.6 if replicas else 0,
        flows_per_s=60 if replicas else 30,
        steps=sorted(steps, key=lambda step: step.at_s),
    )


@dataclass
class _FaultPlanner:
    """A planner that draws the faults of a plan in the order of time.

    Attributes:
        taken_down: balancers that have been killed or stopped.
        last_loss_at_s: time of the last loss of a disk or, with replicas, a balancer; 0 for never.
    """

    random: Random
    names: list[str]
    voters: int
    replicas: int
    steps: list[Step] = field(default_factory=list)
    taken_down: set[str] = field(default_factory=set)
    last_loss_at_s: float = 0.0

    def add_fault(self, at_s: float) -> None:
        """Add a fault, and a later start of the balancer that it takes down."""
        random = self.random
        action = random.choice(FAULTS + FAULTS_OF_REPLICAS * (self.replicas > 0))
        balancer, peer = random.sample(self.names, 2)
        if random.random() < LEADER_PROBABILITY:
            balancer = LEADER
        if self._exceeds_failure_limit(action, at_s):
            action = Action.FREEZE
        if action in (Action.KILL, Action.STOP):
            self.taken_down.add(balancer)
            start_s = round(at_s + random.uniform(0.5, 3), 2)
            self.steps.append(Step(at_s=start_s, action=Action.START, balancer=balancer))
        if action == Action.WIPE or self.replicas and action in ACTIONS_THAT_TAKE_DOWN:
            self.last_loss_at_s = at_s
        duration_ms = random.choice(DURATIONS_MS)
        server = 2 + random.randrange(2) if action == Action.RESTART_SERVER else 0
        self.steps.append(_fault(at_s, action, balancer, peer, duration_ms, server))

    def _exceeds_failure_limit(self, action: Action, at_s: float) -> bool:
        """Return whether the action could take down most voters or lose a second disk."""
        recovered = self.replicas > 0 and at_s > self.last_loss_at_s + RECOVERY_S
        if action not in ACTIONS_THAT_TAKE_DOWN or recovered:
            return False
        limit_reached = len(self.taken_down) >= (self.voters - 1) // 2
        return limit_reached or action == Action.WIPE and self.last_loss_at_s > 0


def _random_call(random: Random, names: list[str], last_s: float) -> Step:
    action = random.choice(CALLS)
    return Step(
        at_s=round(random.uniform(FIRST_FAULT_S, last_s), 2),
        action=action,
        balancer=random.choice(names),
        server=random.randrange(2),
    )


def random_release_plan(
    seed: int, balancers: int = 5, voters: int = 3, duration_s: float = 30, faults: int = 10
) -> Plan:
    """Draw a release of a good or a bad build with faults and calls, some close together.

    At most one disk is lost, and at most one host is killed, so that most voters keep running.
    """
    random = Random(f"{seed}/release")
    names = [f"n{number}" for number in range(balancers)]
    planner = _ReleaseFaultPlanner(random, names, random.choice(RELEASE_BUILDS))
    at_s = FIRST_FAULT_S
    for _ in range(faults):
        spans = (random.uniform(0.05, 0.6), random.uniform(0.5, 2 * duration_s / faults))
        at_s += random.choice(spans)
        if at_s > duration_s:
            break
        planner.add_fault(at_s)
    return Plan(
        balancers=balancers,
        voters=voters,
        duration_s=duration_s,
        seed=seed,
        zones=2,
        balancer_agents=True,
        max_unavailable_balancers=random.choice((1, 2)),
        flows_per_s=100,
        steps=sorted(planner.steps, key=lambda step: step.at_s),
    )


class _ReleaseFaultPlanner:
    """A planner that draws the faults and calls of a release plan in the order of time."""

    def __init__(self, random: Random, names: list[str], build: Build):
        self.random = random
        self.names = names
        self.build = build
        self.steps = [Step(at_s=0.5, action=Action.RELEASE, build=build, shuffled=True)]
        self.host_killed = False
        self.disk_lost = False

    def add_fault(self, at_s: float) -> None:
        """Add a fault or call, and a later start of what it takes down."""
        random = self.random
        action = random.choice(RELEASE_FAULTS)
        balancer, peer = random.sample(self.names, 2)
        if random.random() < LEADER_PROBABILITY_IN_RELEASE and action not in (
            Action.WIPE,
            Action.KILL,
        ):
            balancer = LEADER
        action = self._limit_damage(action)
        if action == Action.KILL:
            self.host_killed = True
            self._start(Action.START, balancer, at_s + random.uniform(1, 12))
        if action == Action.KILL_AGENT:
            self._start(Action.START_AGENT, balancer, at_s + random.uniform(0.3, 6))
        if self._resumes_good_release(action):
            action = Action.RESUME_RELEASES
        self.disk_lost = self.disk_lost or action == Action.WIPE
        duration_ms = random.choice(RELEASE_DURATIONS_MS)
        self.steps.append(_fault(at_s, action, balancer, peer, duration_ms))

    def _start(self, action: Action, balancer: str, at_s: float) -> None:
        self.steps.append(Step(at_s=round(at_s, 2), action=action, balancer=balancer))

    def _limit_damage(self, action: Action) -> Action:
        """Return the action, or KILL_BALANCER in place of a second kill or wipe."""
        second_kill = action == Action.KILL and self.host_killed
        second_wipe = action == Action.WIPE and self.disk_lost
        return Action.KILL_BALANCER if second_kill or second_wipe else action

    def _resumes_good_release(self, action: Action) -> bool:
        """Return whether to resume a good release in place of a drawn rollback."""
        return (
            action == Action.ROLL_BACK
            and self.build == Build.GOOD
            and self.random.random() < KEEP_GOOD_RELEASE_PROBABILITY
        )


def _fault(
    at_s: float, action: Action, balancer: str, peer: str, duration_ms: int, server: int = 0
) -> Step:
    """Return the step of a fault, with only the targets that its action takes."""
    return Step(
        at_s=round(at_s, 2),
        action=action,
        balancer="" if action in ACTIONS_WITHOUT_BALANCER else balancer,
        peer=peer if action in LINK_ACTIONS else "",
        duration_ms=duration_ms,
        server=server,
    )
