"""A proxy in a thread of its own, for tests and tools that have no event loop."""

import asyncio
import time
from collections.abc import Callable
from threading import Event, Thread

from cypresswalk.faults.connection import Address
from cypresswalk.faults.datagram_proxy import DatagramProxy
from cypresswalk.faults.plan import FaultPlan, Plan
from cypresswalk.faults.proxy import Proxy

STOP_TIMEOUT = 10  # seconds


class ProxyThread:
    """A proxy that runs in a thread: `with ProxyThread(target, plan, seed) as proxy:`.

    The proxy listens on any free port by default. Its methods must be called in its event loop;
    `on_loop` does that.
    """

    def __init__(
        self,
        target: Address,
        plan: FaultPlan | None = None,
        seed: int = 0,
        listen: Address = ("127.0.0.1", 0),
        udp: bool = False,
        clock: Callable[[], int] = time.monotonic_ns,
    ):
        """Create the proxy: a `DatagramProxy` if `udp`, else a `Proxy`, with the same arguments."""
        proxy_type = DatagramProxy if udp else Proxy
        self.proxy: Proxy | DatagramProxy = proxy_type(listen, target, plan or Plan(), seed, clock)
        self.ready = Event()
        self.stopping = asyncio.Event()
        self.error: OSError | None = None
        self.thread = Thread(target=lambda: asyncio.run(self.run()), daemon=True, name="faults")

    async def run(self) -> None:
        """Run the proxy until it is stopped."""
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

    def on_loop(self, call: Callable[..., object], *args: object) -> None:
        """Call a function in the proxy's event loop."""
        self.loop.call_soon_threadsafe(call, *args)

    def __enter__(self) -> Proxy | DatagramProxy:
        """Start the proxy and return it. Raise OSError if it can't listen on the address."""
        self.thread.start()
        self.ready.wait()
        if self.error is not None:
            raise self.error
        return self.proxy

    def __exit__(self, *_: object) -> None:
        """Stop the proxy and wait until its thread ends, at most STOP_TIMEOUT."""
        self.on_loop(self.stopping.set)
        self.thread.join(STOP_TIMEOUT)
