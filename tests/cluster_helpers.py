"""Helpers for tests with a cluster of real balancer processes on loopback."""

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

from cypresswalk.lab.cluster.plan import Action, Plan, Step
from cypresswalk.lab.cluster.testbed.cluster_testbed import ClusterTestBed
from cypresswalk.lab.cluster.testbed.fleet_calls import FleetAnswer

Address = tuple[str, int]
Value = TypeVar("Value")

ANSWER_TIMEOUT_S = 4
READY_TIMEOUT_S = 15
POLL_PAUSE_S = 0.05


def send_line(address: Address, text: str) -> str:
    """Send one line on a new connection, and return the first line of the answer."""
    with socket.create_connection(address, timeout=ANSWER_TIMEOUT_S) as sock:
        sock.sendall(text.encode() + b"\r\n")
        return sock.makefile("rb").readline().decode().strip()


async def send_line_async(address: Address, text: str) -> str:
    """Call `send_line` in a thread, so that the event loop is not blocked."""
    return await asyncio.to_thread(send_line, address, text)


def with_cluster(
    tmp_path: Path, test: Callable[[ClusterTestBed], Awaitable[None]], **plan: Any
) -> None:
    """Run a test with a converged cluster, and end the cluster's processes in any case.

    Args:
        tmp_path: folder in which the cluster's folder is made.
        test: function that receives the testbed.
        plan: fields of the cluster's plan.
    """

    async def run() -> None:
        testbed = ClusterTestBed(Plan(**plan), tmp_path / "rig")
        try:
            await testbed.start()
            assert await testbed.convergence.wait() is not None
            await test(testbed)
            assert not testbed.tasks.failures
        finally:
            await testbed.stop()

    asyncio.run(run())


async def poll(
    read: Callable[[], Awaitable[Value]],
    is_met: Callable[[Value], bool],
    seconds: float,
    pause_s: float = POLL_PAUSE_S,
) -> Value:
    """Read a value until it meets a condition or the time is over; return the last value."""
    end = time.monotonic() + seconds
    while not is_met(value := await read()) and time.monotonic() < end:
        await asyncio.sleep(pause_s)
    return value


async def history_contains(testbed: ClusterTestBed, balancer: str, *texts: str) -> bool:
    """Return whether one record of the fleet's history contains all texts."""
    _, body = await testbed.calls.call(balancer, "history")
    return any(all(text in record[3] for text in texts) for record in body["history"])


class Operator:
    """An operator who makes calls to the balancers of a cluster."""

    def __init__(self, testbed: ClusterTestBed) -> None:
        """Create an operator of the cluster of `testbed`."""
        self.testbed = testbed

    async def call(self, name: str, line: str) -> str:
        """Make an admin call to one balancer."""
        return await send_line_async(self.testbed.balancers[name].admin, line)

    async def ping(self, name: str) -> str:
        """Send one balancer a health check, as a load balancer in front of it does."""
        return await send_line_async(self.testbed.balancers[name].listen, "PING")

    async def set_bounds(self, bounds: dict[str, Any]) -> None:
        """Put bounds into the shared settings, and wait until all balancers act on them."""
        shown = (await self.testbed.calls.call("n0", "show")).body
        settings = shown["settings"] | {"bounds": bounds}
        base = shown["settings_version"]
        answer = await self.testbed.calls.command("n0", "offer", base=base, settings=settings)
        assert answer.ok, answer.body
        assert await self.testbed.convergence.wait() is not None

    async def wait_until_no_member_is_out(self) -> None:
        """Wait until the leader counts no member as out."""
        calls = self.testbed.calls

        async def status() -> FleetAnswer:
            return await calls.call(await calls.leader(), "status", timeout_s=1.0)

        def no_member_is_out(answer: FleetAnswer) -> bool:
            return answer.ok and not answer.body["seen_out"] and not answer.body["away"]

        answer = await poll(status, no_member_is_out, READY_TIMEOUT_S)
        assert no_member_is_out(answer), answer

    async def heal(self) -> None:
        """End all faults, start killed balancers, and wait until all balancers are ready."""
        await self.testbed.player.do(Step(at_s=0, action=Action.HEAL))
        assert await self.testbed.convergence.wait() is not None
        await self.wait_until_no_member_is_out()
