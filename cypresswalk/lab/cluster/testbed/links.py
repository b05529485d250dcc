"""The links between balancers: a fault proxy for each direction between two balancers."""

import time
from collections.abc import Iterator, Mapping
from random import Random

from cypresswalk.faults.kinds import Kind
from cypresswalk.faults.plan import Plan as FaultPlan
from cypresswalk.faults.proxy import Proxy
from cypresswalk.lab.cluster.testbed.addresses import Address
from cypresswalk.lab.cluster.testbed.balancer_host import BalancerHost

GARBLED_BYTES = 64


class Links:
    """The links from each balancer to the others.

    Two balancers that are not voters don't communicate and have no link.
    """

    def __init__(self, host: str, seed: int, rng: Random):
        """Store the parameters; `start` starts proxies that listen on `host`."""
        self._host = host
        self._seed = seed
        self._rng = rng
        self._proxies: dict[tuple[str, str], Proxy] = {}

    async def start(self, balancers: Mapping[str, BalancerHost], voters: list[str]) -> None:
        """Start a proxy for each link."""
        for source in balancers:
            for target in balancers:
                if source != target and (source in voters or target in voters):
                    proxy = Proxy(
                        (self._host, 0),
                        balancers[target].fleet,
                        FaultPlan(),
                        self._seed,
                        time.monotonic_ns,
                    )
                    await proxy.start()
                    self._proxies[source, target] = proxy

    async def stop(self) -> None:
        """Stop all proxies."""
        for proxy in self._proxies.values():
            await proxy.stop()

    def addresses_from(self, source: str) -> dict[str, Address]:
        """Return the addresses by which a balancer reaches the others."""
        return {
            target: proxy.address
            for (link_source, target), proxy in self._proxies.items()
            if link_source == source
        }

    def cut(self, source: str, target: str) -> None:
        """Drop all data between two balancers in both directions."""
        for proxy in [*self._link(source, target), *self._link(target, source)]:
            proxy.inject(Kind.BLACK_HOLE, "both")

    def cut_one_way(self, source: str, target: str) -> None:
        """Drop the data that the source sends on a link."""
        for proxy in self._link(source, target):
            proxy.inject(Kind.BLACK_HOLE, "up")

    def delay(self, source: str, target: str, delay_ms: int) -> None:
        """Delay the data that the source sends on a link."""
        for proxy in self._link(source, target):
            proxy.inject(Kind.LATENCY, "up", ms=delay_ms)

    def garble(self, source: str, target: str) -> None:
        """Corrupt bytes that the source sends on a link."""
        for proxy in self._link(source, target):
            mask = self._rng.randrange(1, 1 << 32)
            proxy.inject(Kind.GARBLE, "up", size=GARBLED_BYTES, mask=mask)

    def half_close(self, source: str, target: str) -> None:
        """Close one direction of a link's connections."""
        for proxy in self._link(source, target):
            proxy.inject(Kind.HALF_CLOSE, "up")

    def isolate(self, balancer: str) -> None:
        """Drop all data to and from a balancer."""
        for pair, proxy in self._proxies.items():
            if balancer in pair:
                proxy.inject(Kind.BLACK_HOLE, "both")

    def heal(self) -> None:
        """End all faults."""
        for proxy in self._proxies.values():
            proxy.remove_injected()

    def _link(self, source: str, target: str) -> Iterator[Proxy]:
        """Yield the proxy of a link, if there is one."""
        proxy = self._proxies.get((source, target))
        if proxy is not None:
            yield proxy
