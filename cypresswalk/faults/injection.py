"""What the proxies for TCP and for UDP share: their settings, and the record of injected faults."""

from collections.abc import Callable
from dataclasses import dataclass, field

from cypresswalk.faults.connection import Address
from cypresswalk.faults.kinds import Fault
from cypresswalk.faults.plan import FaultPlan
from cypresswalk.faults.record import Record


def ignore_fault(fault: Fault, ports: list[int]) -> None:
    """For who does not want to know of each fault."""


@dataclass(eq=False, repr=False)
class InjectingProxy:
    """Passes on what comes to one address to another, and injects faults.

    Attributes:
        listen: where it is to listen; port 0 for any.
        to: where all goes on to.
        plan: which faults are injected.
        seed: for what the plan leaves to chance.
        clock: nanoseconds.
        told: is called with each injected fault and the connection's ports; none for UDP.
        record: of what was injected.
        address: where it listens.
    """

    listen: Address
    to: Address
    plan: FaultPlan
    seed: int
    clock: Callable[[], int]
    told: Callable[[Fault, list[int]], None] = ignore_fault
    record: Record = field(init=False, default_factory=Record)
    address: Address = field(init=False)

    def __post_init__(self) -> None:
        """Does not listen yet."""
        self.address = self.listen

    def on_injected(self, fault: Fault, ports: list[int]) -> None:
        """A fault was injected into what has these ports."""
        self.record.add(fault)
        self.told(fault, ports)
