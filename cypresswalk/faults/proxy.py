"""The TCP proxy: accepts connections and injects a plan's faults, in one event loop."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

from cypresswalk.faults.connection import Connection, Endpoint
from cypresswalk.faults.injection import InjectingProxy
from cypresswalk.faults.kinds import Fault, Kind
from cypresswalk.faults.plan import FaultPlan, PlacedFault, single_directions

ACCEPT_BACKLOG = 1024


@dataclass(frozen=True)
class InjectedPlan:
    """A plan with a fault that was added to all connections while the proxy ran.

    Attributes:
        plan: the plan without the fault.
        fault: the fault, whose connection, direction and offset are ignored.
        direction: direction of the fault: "up", "down" or "both".
    """

    plan: FaultPlan
    fault: Fault
    direction: str

    def original_plan(self) -> FaultPlan:
        """Return the plan without any added faults."""
        return self.plan.original_plan() if isinstance(self.plan, InjectedPlan) else self.plan

    def fault_at(self, connection: int, single_direction: str, offset: int) -> Fault:
        """Return the added fault for one direction of one connection."""
        fault = self.fault
        return Fault(
            connection,
            single_direction,
            offset,
            fault.kind,
            fault.size,
            fault.ms,
            fault.rate,
            fault.mask,
        )

    def for_connection(self, number: int, seed: int) -> list[Fault]:
        """Return the faults of a new connection, with the added one at its first byte."""
        added = [
            self.fault_at(number, single_direction, 0)
            for single_direction in single_directions(self.direction)
        ]
        return [*self.plan.for_connection(number, seed), *added]

    def for_datagram(self, peer: int, single_direction: str, number: int, seed: int) -> list[Fault]:
        """Return the plan's faults: none can be added for UDP."""
        return self.plan.for_datagram(peer, single_direction, number, seed)

    def placed_faults(self) -> Sequence[PlacedFault | Fault]:
        """Return the plan's faults at stated places."""
        return self.plan.placed_faults()


@dataclass(eq=False, repr=False)
class Proxy(InjectingProxy):
    """The TCP proxy. It listens at `address` from `start` until `stop`.

    Attributes:
        open_connections: connections that are not closed, in the order of acceptance.
        connection_count: number of connections accepted so far.
    """

    open_connections: dict[Connection, None] = field(init=False, default_factory=dict)
    connection_count: int = field(init=False, default=0)

    async def start(self) -> None:
        """Start to listen. Raise OSError if it can't listen on the address."""
        self.loop = asyncio.get_running_loop()
        self.server = await self.loop.create_server(
            self.accept, *self.listen_address, backlog=ACCEPT_BACKLOG
        )
        self.address = self.server.sockets[0].getsockname()[:2]

    def accept(self) -> Endpoint:
        """Create a connection, and return the protocol of its client's socket."""
        self.connection_count += 1
        connection = Connection(self, self.connection_count)
        self.open_connections[connection] = None
        return Endpoint(connection, connection.up, connection.down)

    def on_closed(self, connection: Connection) -> None:
        """Forget a connection whose sockets are both closed."""
        self.open_connections.pop(connection, None)

    def inject(
        self, kind: Kind, direction: str, size: int = 0, ms: int = 0, rate: int = 0, mask: int = 1
    ) -> None:
        """Inject a fault into each connection at its present offset, and into each new connection.

        This is for faults at a point in time, which a plan of byte offsets can't state.
        """
        injected = InjectedPlan(
            self.plan, Fault(0, direction, 0, kind, size, ms, rate, mask), direction
        )
        self.plan = injected
        for connection in list(self.open_connections):
            for single_direction in single_directions(direction):
                target = connection.up if single_direction == "up" else connection.down
                target.inject(
                    injected.fault_at(connection.number, single_direction, target.stream.offset)
                )

    def remove_injected(self) -> None:
        """Remove all faults that `inject` added.

        Connections are reset, since one that has lost bytes can't continue.
        """
        if isinstance(self.plan, InjectedPlan):
            self.plan = self.plan.original_plan()
            for connection in list(self.open_connections):
                connection.reset()

    async def stop(self) -> None:
        """Stop listening, and reset all connections."""
        self.server.close()
        for connection in list(self.open_connections):
            connection.reset()
        await asyncio.sleep(0)
