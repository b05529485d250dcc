"""Schedule of an explorer run: faults and calls drawn before the run."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from cypresswalk.lab.cluster.simulation.faults import draw_pause

# Relative frequency of each kind of fault or call; `explorer` and `operators` have their handlers.
WEIGHTS = {
    "cut": 6,
    "cut_one_way": 6,
    "heal": 6,
    "isolate": 3,
    "slow_way": 4,
    "kill": 5,
    "kill_writing": 6,
    "start": 10,
    "freeze": 4,
    "wipe": 2,
    "put_back": 2,
    "copy": 3,
    "disk_fails": 2,
    "disk_full": 2,
    "disk_well": 6,
    "out": 8,
    "back": 4,
    "offer": 6,
    "show": 4,
    "refuses": 1,
    "settled": 3,
    "hand_over": 2,
}
MAX_NUMBER = 1 << 30


@dataclass(frozen=True, slots=True)
class ScheduledAction:
    """A scheduled fault or call.

    Attributes:
        kind: a key of WEIGHTS.
        process: name of the target balancer.
        other: name of the other balancer, for faults between two.
        number: random number that determines delays, servers and settings.
        pause: time until the next action, nanoseconds.
    """

    kind: str
    process: str
    other: str
    number: int
    pause: int


Schedule = list[ScheduledAction]


def draw_schedule(seed: int, names: list[str], length: int) -> Schedule:
    """Draw `length` faults and calls for the named balancers."""
    random = Random(f"{seed}/plan")
    return [_draw_action(random, names) for _ in range(length)]


def _draw_action(random: Random, names: list[str]) -> ScheduledAction:
    process, other = random.sample(names, 2) if len(names) > 1 else (names[0], names[0])
    pause = draw_pause(random)
    kind = random.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
    return ScheduledAction(kind, process, other, random.randrange(MAX_NUMBER), pause)


def reduce_schedule(schedule: Schedule, fails: Callable[[Schedule], bool]) -> Schedule:
    """Minimize a failing schedule by removing parts of halving size.

    Args:
        schedule: schedule of a run that fails.
        fails: function that returns whether a run by the given schedule fails.
    """
    size = max(len(schedule) // 2, 1)
    while True:
        start = 0
        while start < len(schedule):
            shorter = schedule[:start] + schedule[start + size :]
            if fails(shorter):
                schedule = shorter
            else:
                start += size
        if size == 1:
            return schedule
        size = max(size // 2, 1)
