"""Faults that every simulation injects, and how the draws of a run are spread over time."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol, TypeVar

from cypresswalk.fleet.events import LeadershipReleased
from cypresswalk.lab.cluster.simulation.process import Process
from cypresswalk.lab.cluster.simulation.world import World
from cypresswalk.lab.units import SECOND

FREEZE_TIMES_S = (0.2, 2, 7, 30)
MAX_PAUSES_S = (0.3, 2, 8)  # between two faults; the first is within the fleet's reaction time


ValueT = TypeVar("ValueT")


class Picker(Protocol):
    """Picks one of several values, by a draw."""

    def __call__(self, values: Sequence[ValueT], /) -> ValueT:
        """The value that is picked."""


@dataclass(frozen=True, slots=True)
class Target:
    """What a fault or a call is aimed at.

    Attributes:
        process: a balancer.
        other: another balancer, for faults between two.
        pick: picks one of several values.
    """

    process: Process
    other: Process
    pick: Picker


Handler = Callable[[Target], None]  # injects one kind of fault, or makes one kind of call


def draw_pause(random: Random) -> int:
    """How long to wait until the next fault, nanoseconds."""
    pauses = [random.uniform(0, longest) for longest in MAX_PAUSES_S]
    return int(random.choice(pauses) * SECOND)


class WorldFaults:
    """Faults of links and of running balancers."""

    def __init__(self, world: World, link_delays_s: Sequence[float]):
        """Injects into that world; a slow link is slower by one of these delays."""
        self._world = world
        self._network = world.network
        self._link_delays_s = link_delays_s

    def handlers(self) -> dict[str, Handler]:
        """The handlers by the kind of fault."""
        return {
            "cut": self.cut,
            "cut_one_way": self.cut_one_way,
            "isolate": self.isolate,
            "slow_way": self.slow_down,
            "heal": self.heal,
            "freeze": self.freeze,
            "hand_over": self.release_leadership,
        }

    def cut(self, target: Target) -> None:
        """Nothing passes between two balancers."""
        self._network.cut(target.process.name, target.other.name)

    def cut_one_way(self, target: Target) -> None:
        """Nothing passes from one balancer to another."""
        self._network.cut_one_way(target.process.name, target.other.name)

    def isolate(self, target: Target) -> None:
        """Nothing passes between one balancer and all others."""
        self._network.isolate(target.process.name, self._world.processes)

    def slow_down(self, target: Target) -> None:
        """All that passes from one balancer to another arrives late."""
        delay = int(target.pick(self._link_delays_s) * SECOND)
        self._network.slow_down(target.process.name, target.other.name, delay)

    def heal(self, target: Target) -> None:
        """All links are well again."""
        self._network.heal()

    def freeze(self, target: Target) -> None:
        """A running balancer stops for a while and does not notice."""
        if target.process.fleet is not None:
            span = int(target.pick(FREEZE_TIMES_S) * SECOND)
            self._world.freeze(target.process, span)

    def release_leadership(self, target: Target) -> None:
        """A running balancer is asked to hand leadership over, if it has it."""
        target.process.turn([LeadershipReleased()])
