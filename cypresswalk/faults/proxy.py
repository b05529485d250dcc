"""The proxy for TCP: accepts connections and injects a plan's faults. One event loop, no thread."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

from cypresswalk.faults.connection import Connection, Endpoint
from cypresswalk.faults.injection import InjectingProxy
from cypresswalk.faults.kinds import Fault, Kind
from cypresswalk.faults.plan import FaultPlan, PlacedFault, ways

ACCEPT_BACKLOG = 1024


@dataclass(frozen=True)
class Injected:
    """A plan, and a fault that was added to all connections while it ran.

    Attributes:
        plan: without the fault.
        fault: its connection and offset do not count.
        direction: of the fault, perhaps both.
    """

    plan: FaultPlan
    fault: Fault
    direction: str

    def original(self) -> FaultPlan:
        """The plan without all that was added."""
        return self.plan.original() if isinstance(self.plan, Injected) else self.plan

    def at(self, connection: int, way: str, offset: int) -> Fault:
        """The fault in one direction of one connection."""
        fault = self.fault
        return Fault(
            connection, way, offset, fault.kind, fault.size, fault.ms, fault.rate, fault.mask
        )

    def for_connection(self, number: int, seed: int) -> list[Fault]:
        """The faults of a connection that comes later: the added one at its first byte."""
        added = [self.at(number, way, 0) for way in ways(self.direction)]
        return [*self.plan.for_connection(number, seed), *added]

    def for_datagram(self, peer: int, way: str, number: int, seed: int) -> list[Fault]:
        """The plan's own: nothing can be added for UDP."""
        return self.plan.for_datagram(peer, way, number, seed)

    def named(self) -> Sequence[PlacedFault | Fault]:
        """The plan's own faults at stated places."""
        return self.plan.named()


@dataclass(eq=False, repr=False)
class Proxy(InjectingProxy):
    """Listens after `start`, at `address`; `stop` resets the connections that are left.

    Attributes:
        open: the connections that are not over, in the order in which they came.
        connections: how many were accepted.
    """

    open: dict[Connection, None] = field(init=False, default_factory=dict)
    connections: int = field(init=False, default=0)

    async def start(self) -> None:
        """Listens. Raises OSError where the address is taken."""
        self.loop = asyncio.get_running_loop()
        self.server = await self.loop.create_server(
            self.accept, *self.listen, backlog=ACCEPT_BACKLOG
        )
        self.address = self.server.sockets[0].getsockname()[:2]

    def accept(self) -> Endpoint:
        """The caller's end of a new connection."""
        self.connections += 1
        connection = Connection(self, self.connections)
        self.open[connection] = None
        return Endpoint(connection, connection.up, connection.down)

    def on_closed(self, connection: Connection) -> None:
        """A connection is over."""
        self.open.pop(connection, None)

    def inject(
        self, kind: Kind, direction: str, size: int = 0, ms: int = 0, rate: int = 0, mask: int = 1
    ) -> None:
        """Injects a fault now, wherever each connection is, and into each that comes.

        For faults by time, which a plan of bytes can't state.
        """
        injected = Injected(
            self.plan, Fault(0, direction, 0, kind, size, ms, rate, mask), direction
        )
        self.plan = injected
        for connection in list(self.open):
            for way in ways(direction):
                target = connection.up if way == "up" else connection.down
                target.inject(injected.at(connection.number, way, target.stream.at))

    def remove_injected(self) -> None:
        """Ends what `inject` began.

        Connections are reset: one that bytes were taken out of can't go on.
        """
        if isinstance(self.plan, Injected):
            self.plan = self.plan.original()
            for connection in list(self.open):
                connection.reset()

    async def stop(self) -> None:
        """Stops listening and resets all connections."""
        self.server.close()
        for connection in list(self.open):
            connection.reset()
        await asyncio.sleep(0)
