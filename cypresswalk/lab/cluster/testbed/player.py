"""The player of a plan, which executes each step at its time."""

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

# Executes a step whose names are resolved. A handler runs long operations in a task.
StepHandler: TypeAlias = Callable[[Step], None]


class Player:
    """The executor of a plan's steps."""

    def __init__(
        self,
        plan: Plan,
        handlers: Mapping[Action, StepHandler],
        calls: FleetCalls,
        recording: Recording,
        wait_for_replicas: Callable[[], Awaitable[object]],
    ):
        """Store the parameters; `play` executes the steps.

        Args:
            plan: plan of the cluster.
            handlers: handlers of all actions that the plan may have.
            calls: calls by which the leader is determined.
            recording: recording that receives each step.
            wait_for_replicas: returns once no partition lacks replicas, is unreachable or is
                changing replicas, or after a timeout.
        """
        self._plan = plan
        self._handlers = handlers
        self._calls = calls
        self._recording = recording
        self._wait_for_replicas = wait_for_replicas

    @property
    def actions(self) -> set[Action]:
        """The actions that this testbed supports."""
        return set(self._handlers)

    async def play(self) -> None:
        """Execute all steps at their times, and wait until the plan ends."""
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
        """Execute a step now."""
        step = await self._resolve(step)
        fields: dict[str, object] = {"do": step.action, "who": step.balancer}
        if step.action in LINK_ACTIONS:
            fields["other"] = step.peer
        if step.action in SERVER_ACTIONS:
            fields["server"] = server_name(step.server)
        self._recording.record("step", **fields)
        self._handlers[step.action](step)

    async def _resolve(self, step: Step) -> Step:
        """Replace LEADER by the leader's name, and a peer equal to the balancer by the next one."""
        balancer = step.balancer
        if balancer == LEADER:
            balancer = await self._calls.leader()
        peer = step.peer
        if balancer and peer == balancer:
            names = self._plan.balancer_names()
            peer = names[(names.index(balancer) + 1) % len(names)]
        return step.model_copy(update={"balancer": balancer, "peer": peer})
