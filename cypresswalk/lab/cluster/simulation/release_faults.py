"""Faults and calls common to releases of balancers and of servers."""

from collections.abc import Callable
from typing import Any

from cypresswalk.lab.cluster.simulation.faults import CommonFaults, Handler, Target
from cypresswalk.lab.cluster.simulation.hosts import Host
from cypresswalk.lab.cluster.simulation.release_simulation import ReleaseSimulation

LINK_DELAYS_S = (0.1, 0.5, 1.0)


class ReleaseFaults:
    """Faults of links, balancers and agents, and operators' calls about the release."""

    def __init__(
        self,
        simulation: ReleaseSimulation[Any],
        host_of: Callable[[Target], Host],
        max_actions_until_crash: int,
    ):
        """Inject into the given simulation.

        Args:
            simulation: the simulation in which to inject faults.
            host_of: function that returns the target host of a fault.
            max_actions_until_crash: bound on an agent's actions before it crashes.
        """
        self._simulation = simulation
        self._host_of = host_of
        self._max_actions_until_crash = max_actions_until_crash

    def handlers(self) -> dict[str, Handler]:
        """Return the handlers by the kind of fault or call."""
        simulation = self._simulation
        return CommonFaults(simulation, LINK_DELAYS_S).handlers() | {
            "kill_agent": self._kill_agent,
            "agent_at_step": self._crash_agent_later,
            "start_agent": self.start_agents,
            "halt": lambda target: simulation.halt(),
            "resume": lambda target: simulation.resume(),
            "pause": lambda target: simulation.set_paused(True),
            "unpause": lambda target: simulation.set_paused(False),
            "back": lambda target: simulation.roll_back(),
        }

    def start_agents(self, target: Target) -> None:
        """Start all agents that do not run."""
        for host in self._simulation.hosts.values():
            host.agent.start()

    def bring_back(self, target: Target) -> None:
        """Bring back all members that operators have taken out."""
        for host in self._simulation.hosts.values():
            if host.removed:
                host.bring_back()

    def _kill_agent(self, target: Target) -> None:
        self._host_of(target).agent.kill()

    def _crash_agent_later(self, target: Target) -> None:
        actions = target.pick(range(self._max_actions_until_crash))
        self._host_of(target).agent.actions_until_crash = actions
