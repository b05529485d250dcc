"""Tests of the player of a cluster's plan."""

import asyncio
import time
from typing import Any, cast

from cypresswalk.lab.cluster.plan import Action, Plan, Step
from cypresswalk.lab.cluster.testbed.player import Player

REPLICAS_WAIT_S = 0.3


class RecordingDouble:
    """A recording that discards events."""

    def record(self, kind: str, **fields: object) -> None:
        """Discard an event."""


def test_step_that_waits_for_replicas_begins_once_they_are_stable_and_shifts_later_ones():
    # Guards against a failure under load: a plan wiped the two remaining replicas at fixed times,
    # before the third one was complete again, and lost the keys that it was meant to show as kept.
    done: list[tuple[int, float]] = []
    began = time.monotonic()
    steps = [
        Step(at_s=0, action=Action.WIPE, balancer="n0", after_replicas=True),
        Step(at_s=0.1, action=Action.WIPE, balancer="n1"),
    ]

    async def wait_for_replicas() -> None:
        """Simulate replicas that take a while."""
        await asyncio.sleep(REPLICAS_WAIT_S)

    def wipe(step: Step) -> None:
        """Record the balancer's number and the time."""
        done.append((int(step.balancer[1:]), time.monotonic() - began))

    plan = Plan(duration_s=1, steps=steps)
    player = Player(
        plan, {Action.WIPE: wipe}, cast(Any, None), cast(Any, RecordingDouble()), wait_for_replicas
    )
    asyncio.run(player.play())
    (first, first_at), (second, second_at) = done
    assert (first, second) == (0, 1)
    assert first_at >= REPLICAS_WAIT_S
    assert second_at - first_at >= 0.09
