"""Balancers that agents start and change: their releases, and their drains by operators."""

import asyncio
import time
from collections.abc import Mapping
from pathlib import Path
from random import Random
from typing import Any

from cypresswalk.lab.cluster.checkers.unavailability import Departure
from cypresswalk.lab.cluster.plan import Build, Plan, Step
from cypresswalk.lab.cluster.testbed.balancer_host import RESTART_BY_AGENT, BalancerHost
from cypresswalk.lab.cluster.testbed.builds import FIRST_VERSION, make_balancer_build
from cypresswalk.lab.cluster.testbed.outages import (
    DRAINED,
    OutageLog,
    watch_agents,
    watch_health,
)
from cypresswalk.lab.cluster.testbed.recording import Recording
from cypresswalk.lab.cluster.testbed.releases import (
    CHANGE_TIMEOUT_S,
    MAX_EXCESS_FAILURE_SHARE,
    MAX_HOLD_PERIODS,
)
from cypresswalk.lab.cluster.testbed.tasks import BackgroundTasks
from cypresswalk.lab.units import SECOND
from cypresswalk.rollout.agent_state import AgentState, AgentStep
from cypresswalk.rollout.bounds import max_unavailable
from cypresswalk.rollout.release import Plan as ReleasePlan

HEALTH_CHECK_INTERVAL_S = 0.3
CLIENT_ADDRESS_EVENT = "front"  # recorded when a client address starts or stops answering
ADMIN_TIMEOUT_S = 2.0
MAX_SETUP_RATIO = 4.0
FEW_BALANCERS = 8  # with fewer balancers a release has two waves, else up to three
STEPS_WHILE_OUT = (AgentStep.STARTING_NEW, AgentStep.STOPPING_OLD)


class BalancerMembers:
    """All balancers as members of a release; implements `releases.ReleaseMembers`."""

    finish_timeout_per_member_s = 8.0

    def __init__(
        self,
        plan: Plan,
        hosts: Mapping[str, BalancerHost],
        root: Path,
        tree: Path,
        outages: OutageLog,
        recording: Recording,
    ):
        """Store the parameters; `prepare` makes the folder of versions.

        Args:
            plan: plan of the cluster.
            hosts: host by balancer; hosts may be added later.
            root: folder of versions.
            tree: root folder of the program's source files.
            outages: log that receives the outages of balancers.
            recording: recording that receives calls and changes of agents and balancers.
        """
        self.names = plan.balancer_names()
        self.first_balancer = self.names[0]
        self.bound = len(self.names)
        if plan.max_unavailable_balancers:
            self.bound = max_unavailable(plan.max_unavailable_balancers, len(self.names))
        self._hosts = hosts
        self._root = root
        self._tree = tree
        self._outages = outages
        self._recording = recording
        self._drained: set[str] = set()
        self._drains: list[Departure] = []

    def prepare(self) -> None:
        """Make the folder of versions and the first version."""
        self._root.mkdir()
        self.make_build(FIRST_VERSION, Build.GOOD)

    def watch(self, tasks: BackgroundTasks, rng: Random) -> None:
        """Start tasks that record which balancers are unavailable."""
        tasks.spawn(watch_agents(self._hosts, STEPS_WHILE_OUT, self._outages, self._recording))
        for host in self._hosts.values():
            tasks.spawn(self._watch_health(host, rng.random() * HEALTH_CHECK_INTERVAL_S))

    def make_build(self, version: str, build: Build) -> None:
        """Make a version that agents can start."""
        make_balancer_build(self._root, self._tree, version, build)

    def release_plan(
        self, name: str, from_version: str, to_version: str, names: list[str], step: Step
    ) -> ReleasePlan:
        """Return the plan of a release: a canary wave, then the others in one or two waves."""
        if len(names) < FEW_BALANCERS:
            waves = [names[:1], names[1:]]
        else:
            third = len(names) // 3
            waves = [names[:2], names[2:third], names[third:]]
        return ReleasePlan(
            name=name,
            from_version=from_version,
            to_version=to_version,
            waves=[wave for wave in waves if wave],
            hold_s=step.hold_s,
            min_flows=step.min_flows,
            max_hold_periods=MAX_HOLD_PERIODS,
            max_excess_failure_share=MAX_EXCESS_FAILURE_SHARE,
            max_setup_ratio=MAX_SETUP_RATIO,
            change_timeout_s=CHANGE_TIMEOUT_S,
        )

    def agent_states(self) -> list[AgentState]:
        """Return the saved state of each agent."""
        return [host.agent_state() for host in self._hosts.values()]

    def no_member_is_out(self, body: dict[str, Any]) -> bool:
        """Return whether the fleet's answer to the call `release` counts no balancer as out."""
        return not body["away"] and not body["seen_out"]

    async def end_drains(self) -> None:
        """End all drains by operators."""
        for name in sorted(self._drained):
            await self.set_drained(name, False)

    async def set_drained(self, name: str, drained: bool) -> None:
        """Start or end a balancer's drain by an operator's call to that balancer."""
        call = "drain-on" if drained else "drain-off"
        answer = await self._admin_call(name, call)
        now = time.monotonic_ns()
        self._recording.record("told", call=call, who=name, said=answer)
        if answer != "OK":
            return
        if not drained:
            self._drained.discard(name)
        elif name in self._drained:
            return
        else:
            self._drained.add(name)
            self._drains.append(Departure(now, name, "drain"))
        self._outages.set_planned_outage(name, DRAINED, drained, now)

    def departures(self) -> list[Departure]:
        """Return when each balancer was ordered to leave, in order of time."""
        by_agents = [
            Departure(event.at, name, "release")
            for name, host in self._hosts.items()
            for event in host.logged_events("told_to_leave")
        ]
        return sorted(by_agents + self._drains)

    def count_crashes_as_disruptions(self) -> None:
        """Record a disruption for each balancer process that ended by itself.

        A defective build may make it crash.
        """
        for host in self._hosts.values():
            for event in host.logged_events("ended_by_itself"):
                host.disruptions.append((event.at - RESTART_BY_AGENT, event.at + SECOND))

    async def _watch_health(self, host: BalancerHost, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await watch_health(
            host.name,
            host.listen,
            HEALTH_CHECK_INTERVAL_S,
            CLIENT_ADDRESS_EVENT,
            self._outages,
            self._recording,
        )

    async def _admin_call(self, name: str, line: str) -> str:
        """Return the first line of a balancer's answer, or the reason why there is none."""
        host, _, port = self._hosts[name].agent_state().admin.rpartition(":")
        writer = None
        try:
            async with asyncio.timeout(ADMIN_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(line.encode() + b"\r\n")
                return (await reader.readline()).decode(errors="replace").strip()
        except (OSError, ValueError) as error:
            return f"none: {error}"
        finally:
            if writer is not None:
                writer.close()
