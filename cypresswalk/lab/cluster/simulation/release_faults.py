"""Faults and calls that releases of balancers and of servers share."""

from collections.abc import Callable
from typing import Any

from cypresswalk.lab.cluster.simulation.faults import Handler, Target, WorldFaults
from cypresswalk.lab.cluster.simulation.hosts import Host
from cypresswalk.lab.cluster.simulation.release_world import ReleaseWorld

LINK_DELAYS_S = (0.1, 0.5, 1.0)


class ReleaseFaults:
    """Faults of links, balancers and agents, and calls about the release."""

    def __init__(
        self,
        world: ReleaseWorld[Any],
        host_of: Callable[[Target], Host],
        max_actions_until_crash: int,
    ):
        """Injects into that world.

        Args:
            world: into which faults are injected.
            host_of: the host that a fault is aimed at.
            max_actions_until_crash: of an agent that dies at one of its actions.
        """
        self._world = world
        self._host_of = host_of
        self._max_actions_until_crash = max_actions_until_crash

    def handlers(self) -> dict[str, Handler]:
        """The handlers by the kind of fault or call."""
        world = self._world
        return WorldFaults(world, LINK_DELAYS_S).handlers() | {
            "kill_agent": self._kill_agent,
            "agent_at_step": self._crash_agent_later,
            "start_agent": self.start_agents,
            "halt": lambda target: world.halt(),
            "resume": lambda target: world.resume(),
            "pause": lambda target: world.set_paused(True),
            "unpause": lambda target: world.set_paused(False),
            "back": lambda target: world.roll_back(),
        }

    def start_agents(self, target: Target) -> None:
        """Starts all agents that do not run."""
        for host in self._world.hosts.values():
            host.agent.start()

    def bring_back(self, target: Target) -> None:
        """Ends all of what operators have taken out."""
        for host in self._world.hosts.values():
            if host.removed:
                host.bring_back()

    def _kill_agent(self, target: Target) -> None:
        self._host_of(target).agent.kill()

    def _crash_agent_later(self, target: Target) -> None:
        actions = target.pick(range(self._max_actions_until_crash))
        self._host_of(target).agent.actions_until_crash = actions
