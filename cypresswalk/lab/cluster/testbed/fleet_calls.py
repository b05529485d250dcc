"""Calls to the fleet, made by threads so that the event loop goes on meanwhile."""

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

FLEET_NAME = "rig"  # of all test beds
AUTHOR = "rig"  # of all the test bed's commands, in the fleet's record
CALL_TIMEOUT_S = 4.0
SHORT_CALL_TIMEOUT_S = 1.0
FIND_LEADER_TIMEOUT_S = 0.5
MAX_CONCURRENT_CALLS = 16


class FleetAnswer(NamedTuple):
    """An answer of the fleet and its body, whose keys the operators' page names."""

    outcome: CallOutcome
    body: Any

    @property
    def ok(self) -> bool:
        """Whether it is a yes."""
        return self.outcome == CallOutcome.YES

    def shown_body(self) -> str:
        """Return the body as text of bounded length."""
        return str(self.body)[:200]

    def version(self) -> int | None:
        """Return the version that a command made, None if it did not say or is no yes."""
        text = str(self.body.get("why", "")).removeprefix("version ") if self.ok else ""
        return int(text) if text.isdecimal() else None


class FleetCalls:
    """Calls to the balancers of a cluster."""

    def __init__(self, balancers: Mapping[str, BalancerHost]):
        """The hosts may be added later."""
        self._balancers = balancers
        self._threads = ThreadPoolExecutor(MAX_CONCURRENT_CALLS)
        self._idents = count(1)

    def close(self) -> None:
        """Make no more calls."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    async def call(
        self,
        balancer: str,
        name: str,
        args: dict[str, Any] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> FleetAnswer:
        """Make a call at a balancer."""
        address = address_text(self._balancers[balancer].fleet)

        def make_call() -> FleetAnswer:
            """Make the call, blocking, and return its answer; errors become NO or UNSURE."""
            try:
                ok, body = client.call([address], FLEET_NAME, name, args, timeout_s)
                return FleetAnswer(CallOutcome.YES if ok else CallOutcome.NO, body)
            except CommandError as error:
                return FleetAnswer(CallOutcome.NO, {"why": str(error)})
            except UncertainOutcomeError as error:
                return FleetAnswer(CallOutcome.UNSURE, {"why": str(error)})

        return await asyncio.get_running_loop().run_in_executor(self._threads, make_call)

    async def command(self, balancer: str, name: str, **args: Any) -> FleetAnswer:
        """Make a call that changes what is agreed: with an id, its author and the wall clock."""
        head = {
            "ident": f"rig:{next(self._idents)}",
            "by": AUTHOR,
            "at": time.time_ns() // MILLISECOND,
        }
        return await self.call(balancer, name, head | args)

    async def leader(self) -> str:
        """Return the balancer that leads, the first one if none is known to."""
        for name in self._balancers:
            outcome, body = await self.call(name, "local", timeout_s=FIND_LEADER_TIMEOUT_S)
            if outcome == CallOutcome.YES and body["leader"]:
                return body["leader"].partition("#")[0]
        return next(iter(self._balancers))

    async def local_status(self, names: list[str]) -> list[FleetAnswer]:
        """Return what each balancer says of itself."""
        return [await self.call(name, "local", timeout_s=SHORT_CALL_TIMEOUT_S) for name in names]
