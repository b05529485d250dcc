"""Random plans: the same seed gives the same plan."""

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
HEAL_BEFORE_END_S = 5.0  # when everything is healed
LAST_FAULT_BEFORE_END_S = 6.0
RECOVERY_S = 6.0  # after a disk was lost, until what it held is replicated elsewhere
LEADER_PROBABILITY = 0.4
LEADER_PROBABILITY_IN_RELEASE = 0.3
KEEP_GOOD_RELEASE_PROBABILITY = 0.6
DURATIONS_MS = (200, 900, 3000)
RELEASE_DURATIONS_MS = (200, 900, 3000, 7000)
# A wipe loses what a balancer held; the others lose the balancer for a while.
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
    """Draw faults and calls; everything is healed five seconds before the end.

    One disk is lost at most; where keys are replicated, one after another.
    """
    chance = Random(f"{seed}/together")
    names = [f"n{number}" for number in range(balancers)]
    last_fault_s = duration_s - LAST_FAULT_BEFORE_END_S
    drawn = _FaultDraw(chance, names, voters, replicas)
    times = sorted(chance.uniform(FIRST_FAULT_S, last_fault_s) for _ in range(faults))
    for at_s in times:
        drawn.add_fault(at_s)
    steps = drawn.steps
    for _ in range(faults):
        steps.append(_random_call(chance, names, last_fault_s))
    steps.append(Step(at_s=duration_s - HEAL_BEFORE_END_S, action=Action.HEAL))
    return Plan(
        balancers=balancers,
        voters=voters,
        duration_s=duration_s,
        seed=seed,
        clock_drift={chance.choice(names): chance.choice((0.01, -0.01))},
        replicas=replicas,
        repeat_probability=0.6 if replicas else 0,
        flows_per_s=60 if replicas else 30,
        steps=sorted(steps, key=lambda step: step.at_s),
    )


@dataclass
class _FaultDraw:
    """Draws faults in the order of time.

    Attributes:
        went_down: balancers that were killed or stopped so far.
        lost_at_s: when a disk, or a replica for a while, was lost last; 0 for never.
    """

    chance: Random
    names: list[str]
    voters: int
    replicas: int
    steps: list[Step] = field(default_factory=list)
    went_down: set[str] = field(default_factory=set)
    lost_at_s: float = 0.0

    def add_fault(self, at_s: float) -> None:
        """Add a fault, and the start of a balancer that it takes down."""
        chance = self.chance
        action = chance.choice(FAULTS + FAULTS_OF_REPLICAS * (self.replicas > 0))
        balancer, peer = chance.sample(self.names, 2)
        if chance.random() < LEADER_PROBABILITY:
            balancer = LEADER
        if self._takes_too_many(action, at_s):
            action = Action.FREEZE
        if action in (Action.KILL, Action.STOP):
            self.went_down.add(balancer)
            start_s = round(at_s + chance.uniform(0.5, 3), 2)
            self.steps.append(Step(at_s=start_s, action=Action.START, balancer=balancer))
        if action == Action.WIPE or self.replicas and action in ACTIONS_THAT_TAKE_DOWN:
            self.lost_at_s = at_s
        duration_ms = chance.choice(DURATIONS_MS)
        server = 2 + chance.randrange(2) if action == Action.RESTART_SERVER else 0
        self.steps.append(_fault(at_s, action, balancer, peer, duration_ms, server))

    def _takes_too_many(self, action: Action, at_s: float) -> bool:
        """Return whether it could take down most voters, or a second disk."""
        recovered = self.replicas > 0 and at_s > self.lost_at_s + RECOVERY_S
        if action not in ACTIONS_THAT_TAKE_DOWN or recovered:
            return False
        too_many_down = len(self.went_down) >= (self.voters - 1) // 2
        return too_many_down or action == Action.WIPE and self.lost_at_s > 0


def _random_call(chance: Random, names: list[str], last_s: float) -> Step:
    action = chance.choice(CALLS)
    return Step(
        at_s=round(chance.uniform(FIRST_FAULT_S, last_s), 2),
        action=action,
        balancer=chance.choice(names),
        server=chance.randrange(2),
    )


def random_release_plan(
    seed: int, balancers: int = 5, voters: int = 3, duration_s: float = 30, faults: int = 10
) -> Plan:
    """Draw a release of a good or a bad build among faults and calls, some close together.

    One disk is lost at most, and no more hosts are down at once than leave most voters.
    """
    chance = Random(f"{seed}/release")
    names = [f"n{number}" for number in range(balancers)]
    drawn = _ReleaseFaultDraw(chance, names, chance.choice(RELEASE_BUILDS))
    at_s = FIRST_FAULT_S
    for _ in range(faults):
        spans = (chance.uniform(0.05, 0.6), chance.uniform(0.5, 2 * duration_s / faults))
        at_s += chance.choice(spans)
        if at_s > duration_s:
            break
        drawn.add_fault(at_s)
    return Plan(
        balancers=balancers,
        voters=voters,
        duration_s=duration_s,
        seed=seed,
        zones=2,
        balancer_agents=True,
        max_unavailable_balancers=chance.choice((1, 2)),
        flows_per_s=100,
        steps=sorted(drawn.steps, key=lambda step: step.at_s),
    )


class _ReleaseFaultDraw:
    """Draws faults and calls during a release, in the order of time."""

    def __init__(self, chance: Random, names: list[str], build: Build):
        self.chance = chance
        self.names = names
        self.build = build
        self.steps = [Step(at_s=0.5, action=Action.RELEASE, build=build, shuffled=True)]
        self.host_killed = False
        self.disk_lost = False

    def add_fault(self, at_s: float) -> None:
        """Add a fault or call, and the start of what it takes down."""
        chance = self.chance
        action = chance.choice(RELEASE_FAULTS)
        balancer, peer = chance.sample(self.names, 2)
        if chance.random() < LEADER_PROBABILITY_IN_RELEASE and action not in (
            Action.WIPE,
            Action.KILL,
        ):
            balancer = LEADER
        action = self._allowed(action)
        if action == Action.KILL:
            self.host_killed = True
            self._start(Action.START, balancer, at_s + chance.uniform(1, 12))
        if action == Action.KILL_AGENT:
            self._start(Action.START_AGENT, balancer, at_s + chance.uniform(0.3, 6))
        if self._goes_on_with_good_release(action):
            action = Action.RESUME_RELEASES
        self.disk_lost = self.disk_lost or action == Action.WIPE
        duration_ms = chance.choice(RELEASE_DURATIONS_MS)
        self.steps.append(_fault(at_s, action, balancer, peer, duration_ms))

    def _start(self, action: Action, balancer: str, at_s: float) -> None:
        self.steps.append(Step(at_s=round(at_s, 2), action=action, balancer=balancer))

    def _allowed(self, action: Action) -> Action:
        """Return the action, or a lesser one where it would take down too much."""
        second_kill = action == Action.KILL and self.host_killed
        second_wipe = action == Action.WIPE and self.disk_lost
        return Action.KILL_BALANCER if second_kill or second_wipe else action

    def _goes_on_with_good_release(self, action: Action) -> bool:
        """Return whether a good release is resumed in place of being rolled back."""
        return (
            action == Action.ROLL_BACK
            and self.build == Build.GOOD
            and self.chance.random() < KEEP_GOOD_RELEASE_PROBABILITY
        )


def _fault(
    at_s: float, action: Action, balancer: str, peer: str, duration_ms: int, server: int = 0
) -> Step:
    """Return the step of a fault, with those of the targets that its action has."""
    return Step(
        at_s=round(at_s, 2),
        action=action,
        balancer="" if action in ACTIONS_WITHOUT_BALANCER else balancer,
        peer=peer if action in LINK_ACTIONS else "",
        duration_ms=duration_ms,
        server=server,
    )
