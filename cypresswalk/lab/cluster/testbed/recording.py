"""What processes did and what clients and operators were told, in one recording on one clock."""

import json
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cypresswalk.lab.cluster.checkers.contradiction import Attempt
from cypresswalk.lab.cluster.checkers.four_rules import Execution
from cypresswalk.lab.observations import Observation
from cypresswalk.lab.units import SECOND

FLOW_OPENED = "open"  # at a server: server, balancer, flow, effect
FLOW_ANSWERED = "answer"  # at a client
EVENTS_OF_FLOWS = (FLOW_OPENED, FLOW_ANSWERED)


@dataclass(frozen=True, slots=True)
class Event:
    """One line of `history.jsonl`.

    Attributes:
        at: nanoseconds of the monotonic clock.
        kind: what happened.
        fields: what this kind carries.
    """

    at: int
    kind: str
    fields: dict[str, Any]

    def to_json(self) -> dict[str, Any]:
        """Return the object that stands in the file."""
        return {"at": self.at, "what": self.kind} | self.fields

    @classmethod
    def from_json(cls, data: dict[str, Any]) -> "Event":
        """Read the object that stands in the file."""
        fields = {key: value for key, value in data.items() if key not in ("at", "what")}
        return cls(data["at"], data["what"], fields)

    def line(self, begin: int) -> str:
        """Return it as a line for people, its time in seconds after `begin`."""
        fields = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{(self.at - begin) / SECOND:8.3f} {self.kind} {fields}"


class Recording:
    """Events for people and for the cluster's checkers, observations for the lab's checker."""

    def __init__(self) -> None:
        """Nothing is recorded yet."""
        self.events: list[Event] = []
        self.observations: list[Observation] = []

    def record(self, kind: str, /, **fields: Any) -> None:
        """Record an event of this moment."""
        self.events.append(Event(time.monotonic_ns(), kind, fields))

    def observe(self, kind: str, flow: str = "", subject: str = "", /, **fields: object) -> None:
        """Record an observation of this moment; see `lab.observations` for the arguments."""
        self.observations.append(Observation(time.monotonic_ns(), kind, flow, subject, fields))

    def attempts(self) -> list[Attempt]:
        """Return the attempts that servers saw."""
        return [
            Attempt(event.at, event.fields["server"], event.fields["balancer"])
            for event in self.events
            if event.kind == FLOW_OPENED
        ]

    def executions(self) -> list[Execution]:
        """Return the flows that ran at servers."""
        return [
            Execution(event.fields["flow"], event.fields["effect"], event.fields["server"])
            for event in self.events
            if event.kind == FLOW_OPENED
        ]

    def save(self, path: Path) -> None:
        """Write all events to a file, one a line."""
        with open(path, "w", encoding="utf-8") as file:
            file.writelines(json.dumps(event.to_json()) + "\n" for event in self.events)


def timeline(path: Path) -> list[str]:
    """Return lines for people from a saved recording: faults, calls and their answers, in order."""
    lines = path.read_text(encoding="utf-8").splitlines()
    events = [Event.from_json(json.loads(line)) for line in lines]
    begin = events[0].at if events else 0
    return [event.line(begin) for event in events if event.kind not in EVENTS_OF_FLOWS]
