"""Faults that all simulations inject, and the random pauses between them."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol, TypeVar

from cypresswalk.fleet.events import LeadershipReleased
from cypresswalk.lab.cluster.simulation.fleet_simulation import FleetSimulation
from cypresswalk.lab.cluster.simulation.process import Process
from cypresswalk.lab.units import SECOND

FREEZE_TIMES_S = (0.2, 2, 7, 30)
MAX_PAUSES_S = (0.3, 2, 8)  # between two faults; the first is within the fleet's reaction time


ValueT = TypeVar("ValueT")


class Picker(Protocol):
    """A function that picks one of several values by a random draw."""

    def __call__(self, values: Sequence[ValueT], /) -> ValueT:
        """Return the picked value."""


@dataclass(frozen=True, slots=True)
class Target:
    """The target of a fault or a call.

    Attributes:
        process: a balancer.
        other: another balancer, for faults between two.
        pick: a function that picks one of several values.
    """

    process: Process
    other: Process
    pick: Picker


Handler = Callable[[Target], None]  # injects a fault or makes a call


def draw_pause(random: Random) -> int:
    """Draw the time to wait until the next fault, nanoseconds."""
    pauses = [random.uniform(0, longest) for longest in MAX_PAUSES_S]
    return int(random.choice(pauses) * SECOND)


class CommonFaults:
    """Faults of links and of running balancers, common to all simulations."""

    def __init__(self, simulation: FleetSimulation, link_delays_s: Sequence[float]):
        """Inject into the simulation; a slow link gets one of the given extra delays."""
        self._simulation = simulation
        self._network = simulation.network
        self._link_delays_s = link_delays_s

    def handlers(self) -> dict[str, Handler]:
        """Return the handlers by the kind of fault."""
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
        """Cut the link between two balancers."""
        self._network.cut(target.process.name, target.other.name)

    def cut_one_way(self, target: Target) -> None:
        """Cut the link from one balancer to another, in this direction only."""
        self._network.cut_one_way(target.process.name, target.other.name)

    def isolate(self, target: Target) -> None:
        """Cut all links of one balancer."""
        self._network.isolate(target.process.name, self._simulation.processes)

    def slow_down(self, target: Target) -> None:
        """Add a delay to all messages from one balancer to another."""
        delay = int(target.pick(self._link_delays_s) * SECOND)
        self._network.slow_down(target.process.name, target.other.name, delay)

    def heal(self, target: Target) -> None:
        """Restore all links."""
        self._network.heal()

    def freeze(self, target: Target) -> None:
        """Suspend a running balancer for a while, as if by SIGSTOP."""
        if target.process.fleet is not None:
            duration = int(target.pick(FREEZE_TIMES_S) * SECOND)
            self._simulation.freeze(target.process, duration)

    def release_leadership(self, target: Target) -> None:
        """Ask a running balancer to hand over leadership, if it leads."""
        target.process.process_events([LeadershipReleased()])
