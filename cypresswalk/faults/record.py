"""The record of injected faults, as JSON lines.

Lines are sorted by connection, direction and offset: the order in which several connections reach
their faults follows from the machine's load, and a record must not.
"""

import os
from pathlib import Path

from cypresswalk.faults.kinds import Fault
from cypresswalk.faults.plan import FaultPlan

MAX_FAULTS = 1_000_000


class Record:
    """Collects injected faults.

    Attributes:
        left_out: how many were not kept, beyond the limit.
    """

    def __init__(self, limit: int = MAX_FAULTS):
        """Keeps at most `limit` faults."""
        self.faults: list[Fault] = []
        self.limit = limit
        self.left_out = 0

    def add(self, fault: Fault) -> None:
        """Adds one, or counts it as left out."""
        if len(self.faults) < self.limit:
            self.faults.append(fault)
        else:
            self.left_out += 1

    def text(self) -> str:
        """The record's lines."""
        return "".join(fault.line() + "\n" for fault in sorted(self.faults, key=lambda f: f.place))

    def save(self, path: str | Path) -> None:
        """Replaces a file in one step. Raises OSError."""
        temporary = f"{path}.new"
        with open(temporary, "w", encoding="utf-8") as file:
            file.write(self.text())
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)

    def missed(self, plan: FaultPlan, connections: int) -> list[str]:
        """A line for each fault of a named connection that was never injected.

        Args:
            plan: that was carried out.
            connections: how many there were.
        """
        done = {(fault.connection, fault.kind, fault.at) for fault in self.faults}
        lines = []
        for spec in plan.named():
            numbers = spec.connection if isinstance(spec.connection, list) else [spec.connection]
            for number in numbers:
                if isinstance(number, str):
                    continue  # "all"
                place = f"{spec.kind.value} at {spec.at}: connection {number} never came"
                if number > connections:
                    lines.append(f"{place}, {connections} did")
                elif (number, spec.kind, spec.at) not in done:
                    lines.append(f"{place} that far")
        return lines
