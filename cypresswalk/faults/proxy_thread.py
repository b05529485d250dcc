"""A proxy on a thread of its own, for tests and tools that are not written round an event loop."""

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
    """`with ProxyThread(to, plan, seed) as proxy:` gives a proxy that listens on any free port.

    The proxy's methods must be called on its loop: `on_loop` does that.
    """

    def __init__(
        self,
        to: Address,
        plan: FaultPlan | None = None,
        seed: int = 0,
        listen: Address = ("127.0.0.1", 0),
        udp: bool = False,
        clock: Callable[[], int] = time.monotonic_ns,
    ):
        """Does not run yet; the arguments are those of `Proxy`, `udp` chooses `DatagramProxy`."""
        proxy_type = DatagramProxy if udp else Proxy
        self.proxy: Proxy | DatagramProxy = proxy_type(listen, to, plan or Plan(), seed, clock)
        self.ready = Event()
        self.stopping = asyncio.Event()
        self.error: OSError | None = None
        self.thread = Thread(target=lambda: asyncio.run(self.run()), daemon=True, name="faults")

    async def run(self) -> None:
        """Runs the proxy until it is stopped."""
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
        """Has the proxy's loop call a function."""
        self.loop.call_soon_threadsafe(call, *args)

    def __enter__(self) -> Proxy | DatagramProxy:
        """Starts the proxy. Raises OSError where the address is taken."""
        self.thread.start()
        self.ready.wait()
        if self.error is not None:
            raise self.error
        return self.proxy

    def __exit__(self, *_: object) -> None:
        """Stops the proxy."""
        self.on_loop(self.stopping.set)
        self.thread.join(STOP_TIMEOUT)
