"""A proxy on a thread of its own, for tests and tools that are not written round an event loop."""

import asyncio
import time
from collections.abc import Callable
from threading import Event, Thread

from cypresswalk.faults.plan import Plan, Replay
from cypresswalk.faults.proxy import Address, DatagramProxy, Proxy


class Running:
    """`with Running(to, plan, seed) as proxy:` gives a proxy that listens on a port of the kernel's choice.

    Calls made to the proxy itself must be made by its loop: `on_loop` does."""

    def __init__(
        self,
        to: Address,
        plan: Plan | Replay | None = None,
        seed: int = 0,
        listen: Address = ("127.0.0.1", 0),
        udp: bool = False,
        clock: Callable[[], int] = time.monotonic_ns,
    ):
        self.proxy = (DatagramProxy if udp else Proxy)(listen, to, plan or Plan(), seed, clock)
        self.ready, self.stopping = Event(), asyncio.Event()
        self.error: OSError | None = None
        self.thread = Thread(target=lambda: asyncio.run(self.run()), daemon=True, name="faults")

    async def run(self) -> None:
        self.loop = asyncio.get_running_loop()
        try:
            await self.proxy.start()
        except OSError as error:
            self.error = error
            return
        finally:
            self.ready.set()
        await self.stopping.wait()
        await self.proxy.stop()

    def on_loop(self, call: Callable, *words: object) -> None:
        self.loop.call_soon_threadsafe(call, *words)

    def __enter__(self) -> "Proxy | DatagramProxy":
        self.thread.start()
        self.ready.wait()
        if self.error is not None:
            raise self.error
        return self.proxy

    def __exit__(self, *_: object) -> None:
        self.on_loop(self.stopping.set)
        self.thread.join(10)
