"""A cluster of real balancer processes on loopback, and the calls that are made at them."""

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

from cypresswalk.lab.cluster.plan import Plan, Step
from cypresswalk.lab.cluster.stage import Rig

Address = tuple[str, int]
Value = TypeVar("Value")

ANSWER_TIMEOUT_S = 4
READY_TIMEOUT_S = 15
POLL_PAUSE_S = 0.05


def say(address: Address, text: str) -> str:
    """Send one line on a connection of its own; the first line of the answer."""
    with socket.create_connection(address, timeout=ANSWER_TIMEOUT_S) as sock:
        sock.sendall(text.encode() + b"\r\n")
        return sock.makefile("rb").readline().decode().strip()


async def asked(address: Address, text: str) -> str:
    """`say` in a thread, so that the event loop goes on."""
    return await asyncio.get_running_loop().run_in_executor(None, say, address, text)


def with_rig(tmp_path: Path, test: Callable[[Rig], Awaitable[None]], **plan: Any) -> None:
    """Run a test with a cluster that has agreed; end its processes whatever happens.

    Args:
        tmp_path: The cluster's folder is made in it.
        test: Is given the cluster.
        plan: Fields of the cluster's plan.
    """

    async def run() -> None:
        rig = Rig(Plan(**plan), tmp_path / "rig")
        try:
            await rig.begin()
            assert await rig.whole() is not None
            await test(rig)
            assert not rig.faults
        finally:
            await rig.end()

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

    def __init__(self, rig: Rig) -> None:
        """Call the balancers of `rig`."""
        self.rig = rig

    async def call(self, name: str, line: str) -> str:
        """Make an admin call at one balancer."""
        return await asked(self.rig.processes[name].admin, line)

    async def ping(self, name: str) -> str:
        """Ask one balancer, as a load balancer before it does, whether it takes clients."""
        return await asked(self.rig.processes[name].listen, "PING")

    async def set_bounds(self, bounds: dict[str, Any]) -> None:
        """Put bounds into the shared settings, and wait until all act on them."""
        _, shown = await self.rig.ask("n0", "show")
        settings = shown["settings"] | {"bounds": bounds}
        base = shown["settings_version"]
        result, body = await self.rig.command("n0", "offer", base=base, settings=settings)
        assert result == "yes", body
        assert await self.rig.whole() is not None

    async def wait_until_nobody_is_out(self) -> None:
        """Wait until the leader counts nobody as out."""

        async def status() -> tuple[str, Any]:
            return await self.rig.ask(await self.rig.leader(), "status", span=1.0)

        def nobody_is_out(answer: tuple[str, Any]) -> bool:
            result, body = answer
            return result == "yes" and not body["seen_out"] and not body["away"]

        answer = await poll(status, nobody_is_out, READY_TIMEOUT_S)
        assert nobody_is_out(answer), answer

    async def heal(self) -> None:
        """End all faults, start who was killed, and wait until all are ready."""
        await self.rig.do(Step(at_s=0, do="heal"))
        assert await self.rig.whole() is not None
        await self.wait_until_nobody_is_out()
