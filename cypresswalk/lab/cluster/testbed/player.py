"""Plays a plan: does each of its steps at its time."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeAlias

from cypresswalk.lab.cluster.plan import (
    LEADER,
    LINK_ACTIONS,
    SERVER_ACTIONS,
    Action,
    Plan,
    Step,
    server_name,
)
from cypresswalk.lab.cluster.testbed.fleet_calls import FleetCalls
from cypresswalk.lab.cluster.testbed.recording import Recording

# What does a step whose names are resolved; what takes long it does in a task.
StepHandler: TypeAlias = Callable[[Step], None]


class Player:
    """Does steps."""

    def __init__(
        self,
        plan: Plan,
        handlers: Mapping[Action, StepHandler],
        calls: FleetCalls,
        recording: Recording,
        wait_for_replicas: Callable[[], Awaitable[object]],
    ):
        """Nothing is done yet.

        Args:
            plan: of the cluster.
            handlers: of all actions that the plan may have.
            calls: tell who leads.
            recording: gets each step.
            wait_for_replicas: returns once all replicas are at rest, or after a while.
        """
        self._plan = plan
        self._handlers = handlers
        self._calls = calls
        self._recording = recording
        self._wait_for_replicas = wait_for_replicas

    @property
    def actions(self) -> set[Action]:
        """What can be done on this test bed."""
        return set(self._handlers)

    async def play(self) -> None:
        """Do all steps, and wait for the plan's end."""
        began = time.monotonic()
        for step in self._plan.steps:
            await asyncio.sleep(max(began + step.at_s - time.monotonic(), 0))
            if step.after_replicas:
                waits_since = time.monotonic()
                await self._wait_for_replicas()
                began += time.monotonic() - waits_since
            await self.do(step)
        await asyncio.sleep(max(began + self._plan.duration_s - time.monotonic(), 0))

    async def do(self, step: Step) -> None:
        """Do a step now."""
        step = await self._resolve(step)
        fields: dict[str, object] = {"do": step.action, "who": step.balancer}
        if step.action in LINK_ACTIONS:
            fields["other"] = step.peer
        if step.action in SERVER_ACTIONS:
            fields["server"] = server_name(step.server)
        self._recording.record("step", **fields)
        self._handlers[step.action](step)

    async def _resolve(self, step: Step) -> Step:
        """Replace LEADER by its name, and a peer that is the same balancer by the next one."""
        balancer = step.balancer
        if balancer == LEADER:
            balancer = await self._calls.leader()
        peer = step.peer
        if balancer and peer == balancer:
            names = self._plan.balancer_names()
            peer = names[(names.index(balancer) + 1) % len(names)]
        return step.model_copy(update={"balancer": balancer, "peer": peer})
