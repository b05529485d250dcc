"""The record of injected faults, as JSON lines.

Lines are sorted by connection, direction and offset: the order in which several connections reach
their faults depends on the machine's load, and a record must not.
"""

import os
from pathlib import Path

from cypresswalk.faults.kinds import Fault
from cypresswalk.faults.plan import FaultPlan

MAX_FAULTS = 1_000_000


class Record:
    """A collection of injected faults.

    Attributes:
        faults: the injected faults, in the order of injection.
        limit: largest number of faults to keep.
        omitted: number of faults beyond the limit, which were not kept.
    """

    def __init__(self, limit: int = MAX_FAULTS):
        """Create an empty record for at most `limit` faults."""
        self.faults: list[Fault] = []
        self.limit = limit
        self.omitted = 0

    def add(self, fault: Fault) -> None:
        """Add a fault, or count it as omitted."""
        if len(self.faults) < self.limit:
            self.faults.append(fault)
        else:
            self.omitted += 1

    def text(self) -> str:
        """Return the record's lines, sorted."""
        return "".join(
            fault.json_line() + "\n" for fault in sorted(self.faults, key=lambda f: f.sort_key)
        )

    def save(self, path: str | Path) -> None:
        """Write the record to a file, which is replaced atomically. Raise OSError on failure."""
        temporary = f"{path}.new"
        with open(temporary, "w", encoding="utf-8") as file:
            file.write(self.text())
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)

    def missed_faults(self, plan: FaultPlan, connections: int) -> list[str]:
        """Return a line for each fault of a numbered connection that was never injected.

        Args:
            plan: plan that the proxy used.
            connections: number of connections that were accepted.
        """
        injected = {(fault.connection, fault.kind, fault.at) for fault in self.faults}
        lines = []
        for spec in plan.placed_faults():
            numbers = spec.connection if isinstance(spec.connection, list) else [spec.connection]
            for number in numbers:
                if isinstance(number, str):
                    continue  # "all"
                place = f"{spec.kind.value} at {spec.at} not injected into connection {number}:"
                if number > connections:
                    lines.append(f"{place} only connections up to {connections} were opened")
                elif (number, spec.kind, spec.at) not in injected:
                    lines.append(f"{place} its data did not reach that place")
        return lines
