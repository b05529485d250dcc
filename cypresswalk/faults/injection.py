"""Common base of the TCP and UDP proxies: their settings and the record of injected faults."""

from collections.abc import Callable
from dataclasses import dataclass, field

from cypresswalk.faults.connection import Address
from cypresswalk.faults.kinds import Fault
from cypresswalk.faults.plan import FaultPlan
from cypresswalk.faults.record import Record


def ignore_fault(fault: Fault, ports: list[int]) -> None:
    """Do nothing: the default `fault_callback`."""


@dataclass(eq=False, repr=False)
class InjectingProxy:
    """A proxy that forwards what arrives at one address to another, and injects faults.

    Attributes:
        listen_address: address to listen on; port 0 for any free port.
        target: address to forward to.
        plan: plan of the faults to inject.
        seed: seed for the plan's random choices.
        clock: function that returns the time in nanoseconds.
        fault_callback: function that is called with each injected fault and the ports of its
            connection (empty for UDP).
        record: record of the injected faults.
        address: address that it listens on, known once it has started.
    """

    listen_address: Address
    target: Address
    plan: FaultPlan
    seed: int
    clock: Callable[[], int]
    fault_callback: Callable[[Fault, list[int]], None] = ignore_fault
    record: Record = field(init=False, default_factory=Record)
    address: Address = field(init=False)

    def __post_init__(self) -> None:
        """Set `address` to the address to listen on until `start` is called."""
        self.address = self.listen_address

    def on_injected(self, fault: Fault, ports: list[int]) -> None:
        """Record a fault that was injected, and call `fault_callback`."""
        self.record.add(fault)
        self.fault_callback(fault, ports)
