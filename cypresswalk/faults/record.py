"""The record of injected faults, as JSON lines.

Lines are sorted by connection, direction and offset: the order in which several connections reach
their faults depends on the machine's load, and a record must not.
"""

import os
from pathlib import Path

from cypresswalk.faults.kinds import CONNECTION_ENDING_KINDS, Fault, Kind
from cypresswalk.faults.plan import (
    FaultPlan,
    PlacedDatagramFault,
    PlacedFault,
    single_directions,
)

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
        injected = {(f.connection, f.direction, f.kind, f.at) for f in self.faults}
        lines = []
        for spec in plan.placed_faults():
            numbers = spec.connection if isinstance(spec.connection, list) else [spec.connection]
            for number in numbers:
                if isinstance(number, str):
                    continue  # "all"
                place = f"{spec.kind.value} at {spec.at} not injected into connection {number}:"
                if number > connections:
                    lines.append(f"{place} only connections up to {connections} were opened")
                else:
                    lines += [
                        f"{place} its data did not reach that place ({direction})"
                        for direction in missed_directions(spec, number, injected)
                    ]
        return lines


def missed_directions(
    spec: PlacedFault | Fault, connection: int, injected: set[tuple[int, str, Kind, int]]
) -> list[str]:
    """Return the directions of a connection into which a fault was not injected.

    `injected` has the connection, direction, kind and offset of each injected fault.
    """
    directions = single_directions(spec.direction)
    missed = [name for name in directions if (connection, name, spec.kind, spec.at) not in injected]
    if len(missed) < len(directions) and ends_connection(spec):
        return []
    return missed


def ends_connection(spec: PlacedFault | Fault) -> bool:
    """Return whether a fault in one direction ends both."""
    is_datagram = isinstance(spec, PlacedDatagramFault)
    return spec.kind in CONNECTION_ENDING_KINDS and not is_datagram
