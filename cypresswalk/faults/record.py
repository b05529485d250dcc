"""What was done, as JSON lines.

Lines are kept in the order of connection, direction and offset: the order in which several connections come to their
faults follows from the machine's load, and a record must not."""

import os
from pathlib import Path

from cypresswalk.faults.kinds import Fault
from cypresswalk.faults.plan import Plan, Replay


class Record:
    def __init__(self, most: int = 1_000_000):
        self.faults: list[Fault] = []
        self.most, self.left_out = most, 0

    def add(self, fault: Fault) -> None:
        if len(self.faults) < self.most:
            self.faults.append(fault)
        else:
            self.left_out += 1

    def text(self) -> str:
        return "".join(fault.line() + "\n" for fault in sorted(self.faults, key=lambda f: f.place))

    def save(self, path: str | Path) -> None:
        """Whole or not at all."""
        new = f"{path}.new"
        with open(new, "w", encoding="utf-8") as file:
            file.write(self.text())
            file.flush()
            os.fsync(file.fileno())
        os.replace(new, path)

    def missed(self, plan: Plan | Replay, connections: int) -> list[str]:
        """A line for each fault that names a connection which never came, or a place which was never reached."""
        done = {(fault.connection, fault.kind, fault.at) for fault in self.faults}
        lines = []
        for spec in plan.named():
            numbers = spec.connection if isinstance(spec.connection, list) else [spec.connection]
            for number in numbers:
                if number == "all":
                    continue
                if number > connections:
                    lines.append(
                        f"{spec.kind.value} at {spec.at}: connection {number} never came, {connections} did"
                    )
                elif (number, spec.kind, spec.at) not in done:
                    lines.append(
                        f"{spec.kind.value} at {spec.at}: connection {number} never came that far"
                    )
        return lines
