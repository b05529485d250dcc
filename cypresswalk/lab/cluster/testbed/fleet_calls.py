"""Calls to the fleet, made by threads so that they don't block the event loop."""

import asyncio
import time
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from itertools import count
from typing import Any, NamedTuple

from cypresswalk.fleet import client
from cypresswalk.fleet.errors import UncertainOutcomeError
from cypresswalk.lab.balancers import address_text
from cypresswalk.lab.cluster.checkers.linearizability import CallOutcome
from cypresswalk.lab.cluster.testbed.balancer_host import BalancerHost
from cypresswalk.lab.units import MILLISECOND
from cypresswalk.refusal import CommandError

FLEET_NAME = "rig"  # the fleet's name in all testbeds
AUTHOR = "rig"  # the author of the testbed's commands in the fleet's history
CALL_TIMEOUT_S = 4.0
SHORT_CALL_TIMEOUT_S = 1.0
FIND_LEADER_TIMEOUT_S = 0.5
MAX_CONCURRENT_CALLS = 16


class FleetAnswer(NamedTuple):
    """An answer of the fleet.

    Attributes:
        outcome: YES, NO or UNSURE.
        body: content of the answer; the operators' page documents its keys.
    """

    outcome: CallOutcome
    body: Any

    @property
    def ok(self) -> bool:
        """Whether the outcome is YES."""
        return self.outcome == CallOutcome.YES

    def shown_body(self) -> str:
        """Return the body as text, truncated for the recording."""
        return str(self.body)[:200]

    def version(self) -> int | None:
        """Return the version that a command created, None if it failed or the answer has none."""
        text = str(self.body.get("why", "")).removeprefix("version ") if self.ok else ""
        return int(text) if text.isdecimal() else None


class FleetCalls:
    """Calls to the balancers of a cluster."""

    def __init__(self, balancers: Mapping[str, BalancerHost]):
        """Store the mapping of hosts, to which hosts may be added later."""
        self._balancers = balancers
        self._threads = ThreadPoolExecutor(MAX_CONCURRENT_CALLS)
        self._command_numbers = count(1)

    def close(self) -> None:
        """Cancel waiting calls and accept no more."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    async def call(
        self,
        balancer: str,
        name: str,
        args: dict[str, Any] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> FleetAnswer:
        """Make a call to a balancer."""
        address = address_text(self._balancers[balancer].fleet)

        def make_call() -> FleetAnswer:
            """Make the blocking call and return its answer; errors become NO or UNSURE."""
            try:
                ok, body = client.call([address], FLEET_NAME, name, args, timeout_s)
                return FleetAnswer(CallOutcome.YES if ok else CallOutcome.NO, body)
            except CommandError as error:
                return FleetAnswer(CallOutcome.NO, {"why": str(error)})
            except UncertainOutcomeError as error:
                return FleetAnswer(CallOutcome.UNSURE, {"why": str(error)})

        return await asyncio.get_running_loop().run_in_executor(self._threads, make_call)

    async def command(self, balancer: str, name: str, **args: Any) -> FleetAnswer:
        """Make a call that changes agreed state, with a command id, an author and the wall time."""
        head = {
            "ident": f"rig:{next(self._command_numbers)}",
            "by": AUTHOR,
            "at": time.time_ns() // MILLISECOND,
        }
        return await self.call(balancer, name, head | args)

    async def leader(self) -> str:
        """Return the leader's name; the first balancer if no leader is known."""
        for name in self._balancers:
            outcome, body = await self.call(name, "local", timeout_s=FIND_LEADER_TIMEOUT_S)
            if outcome == CallOutcome.YES and body["leader"]:
                return body["leader"].partition("#")[0]
        return next(iter(self._balancers))

    async def local_status(self, names: list[str]) -> list[FleetAnswer]:
        """Return each balancer's status of itself."""
        return [await self.call(name, "local", timeout_s=SHORT_CALL_TIMEOUT_S) for name in names]
