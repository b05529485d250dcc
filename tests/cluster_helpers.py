"""A cluster of real balancer processes on loopback, and the calls that are made at them."""

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

from cypresswalk.lab.cluster.plan import Action, Plan, Step
from cypresswalk.lab.cluster.testbed.bed import ClusterTestBed
from cypresswalk.lab.cluster.testbed.fleet_calls import FleetAnswer

Address = tuple[str, int]
Value = TypeVar("Value")

ANSWER_TIMEOUT_S = 4
READY_TIMEOUT_S = 15
POLL_PAUSE_S = 0.05


def send_line(address: Address, text: str) -> str:
    """Send one line on a connection of its own; the first line of the answer."""
    with socket.create_connection(address, timeout=ANSWER_TIMEOUT_S) as sock:
        sock.sendall(text.encode() + b"\r\n")
        return sock.makefile("rb").readline().decode().strip()


async def ask(address: Address, text: str) -> str:
    """`send_line` in a thread, so that the event loop goes on."""
    return await asyncio.to_thread(send_line, address, text)


def with_cluster(
    tmp_path: Path, test: Callable[[ClusterTestBed], Awaitable[None]], **plan: Any
) -> None:
    """Run a test with a cluster that has converged; end its processes whatever happens.

    Args:
        tmp_path: The cluster's folder is made in it.
        test: Is given the test bed.
        plan: Fields of the cluster's plan.
    """

    async def run() -> None:
        bed = ClusterTestBed(Plan(**plan), tmp_path / "rig")
        try:
            await bed.start()
            assert await bed.convergence.wait() is not None
            await test(bed)
            assert not bed.tasks.failures
        finally:
            await bed.stop()

    asyncio.run(run())


async def poll(
    read: Callable[[], Awaitable[Value]],
    is_met: Callable[[Value], bool],
    seconds: float,
    pause_s: float = POLL_PAUSE_S,
) -> Value:
    """Read a value until it is as wanted or the time is over; the last value."""
    end = time.monotonic() + seconds
    while not is_met(value := await read()) and time.monotonic() < end:
        await asyncio.sleep(pause_s)
    return value


class Operator:
    """A person who calls the balancers of a cluster."""

    def __init__(self, bed: ClusterTestBed) -> None:
        """Call the balancers of `bed`."""
        self.bed = bed

    async def call(self, name: str, line: str) -> str:
        """Make an admin call at one balancer."""
        return await ask(self.bed.balancers[name].admin, line)

    async def ping(self, name: str) -> str:
        """Ask one balancer, as a load balancer before it does, whether it takes clients."""
        return await ask(self.bed.balancers[name].listen, "PING")

    async def set_bounds(self, bounds: dict[str, Any]) -> None:
        """Put bounds into the shared settings, and wait until all act on them."""
        shown = (await self.bed.calls.call("n0", "show")).body
        settings = shown["settings"] | {"bounds": bounds}
        base = shown["settings_version"]
        answer = await self.bed.calls.command("n0", "offer", base=base, settings=settings)
        assert answer.ok, answer.body
        assert await self.bed.convergence.wait() is not None

    async def wait_until_nobody_is_out(self) -> None:
        """Wait until the leader counts nobody as out."""
        calls = self.bed.calls

        async def status() -> FleetAnswer:
            return await calls.call(await calls.leader(), "status", timeout_s=1.0)

        def nobody_is_out(answer: FleetAnswer) -> bool:
            return answer.ok and not answer.body["seen_out"] and not answer.body["away"]

        answer = await poll(status, nobody_is_out, READY_TIMEOUT_S)
        assert nobody_is_out(answer), answer

    async def heal(self) -> None:
        """End all faults, start who was killed, and wait until all are ready."""
        await self.bed.player.do(Step(at_s=0, action=Action.HEAL))
        assert await self.bed.convergence.wait() is not None
        await self.wait_until_nobody_is_out()
