"""A cluster of real balancer processes on loopback, and the lines that one is asked by."""

import asyncio
import socket

from cypresswalk.lab.cluster.plan import Plan
from cypresswalk.lab.cluster.stage import Rig


def say(address, text: str) -> str:
    """One line in, the first line of the answer."""
    with socket.create_connection(address, timeout=4) as sock:
        sock.sendall(text.encode() + b"\r\n")
        return sock.makefile("rb").readline().decode().strip()


async def asked(address, text: str) -> str:
    return await asyncio.get_running_loop().run_in_executor(None, say, address, text)


def with_rig(tmp_path, test, **plan):
    async def run():
        rig = Rig(Plan(**plan), tmp_path / "rig")
        try:
            await rig.begin()
            assert await rig.whole() is not None
            await test(rig)
            assert not rig.faults
        finally:
            await rig.end()

    asyncio.run(run())
