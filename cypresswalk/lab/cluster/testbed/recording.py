"""The recording of a run: events of processes, clients and operators with times of one clock."""

import json
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cypresswalk.lab.cluster.checkers.contradiction import Attempt
from cypresswalk.lab.cluster.checkers.four_rules import Execution
from cypresswalk.lab.observations import Observation
from cypresswalk.lab.units import SECOND

FLOW_OPENED = "open"  # a server received a flow; fields: server, balancer, flow, effect
FLOW_ANSWERED = "answer"  # a client's flow ended
FLOW_EVENTS = (FLOW_OPENED, FLOW_ANSWERED)


@dataclass(frozen=True, slots=True)
class Event:
    """An event, saved as one line of `history.jsonl`.

    Attributes:
        at: nanoseconds of the monotonic clock.
        kind: kind of event.
        fields: further values, which depend on the kind.
    """

    at: int
    kind: str
    fields: dict[str, Any]

    def to_json(self) -> dict[str, Any]:
        """Return the JSON object for the file."""
        return {"at": self.at, "what": self.kind} | self.fields

    @classmethod
    def from_json(cls, data: dict[str, Any]) -> "Event":
        """Return the event of a JSON object from the file."""
        fields = {key: value for key, value in data.items() if key not in ("at", "what")}
        return cls(data["at"], data["what"], fields)

    def line(self, begin: int) -> str:
        """Return a human-readable line, with the time in seconds after `begin`."""
        fields = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{(self.at - begin) / SECOND:8.3f} {self.kind} {fields}"


class Recording:
    """The recording of a run.

    Attributes:
        events: events for people and for the cluster's checkers.
        observations: observations for the lab's checker.
    """

    def __init__(self) -> None:
        """Create an empty recording."""
        self.events: list[Event] = []
        self.observations: list[Observation] = []

    def record(self, kind: str, /, **fields: Any) -> None:
        """Record an event that happens now."""
        self.events.append(Event(time.monotonic_ns(), kind, fields))

    def observe(self, kind: str, flow: str = "", subject: str = "", /, **fields: object) -> None:
        """Record an observation made now; `lab.observations` describes the arguments."""
        self.observations.append(Observation(time.monotonic_ns(), kind, flow, subject, fields))

    def attempts(self) -> list[Attempt]:
        """Return the attempts that servers received."""
        return [
            Attempt(event.at, event.fields["server"], event.fields["balancer"])
            for event in self.events
            if event.kind == FLOW_OPENED
        ]

    def executions(self) -> list[Execution]:
        """Return the executions of flows at servers."""
        return [
            Execution(event.fields["flow"], event.fields["effect"], event.fields["server"])
            for event in self.events
            if event.kind == FLOW_OPENED
        ]

    def save(self, path: Path) -> None:
        """Write all events to a file, one per line."""
        with open(path, "w", encoding="utf-8") as file:
            file.writelines(json.dumps(event.to_json()) + "\n" for event in self.events)


def timeline(path: Path) -> list[str]:
    """Return human-readable lines from a saved recording: faults, calls and answers, in order."""
    lines = path.read_text(encoding="utf-8").splitlines()
    events = [Event.from_json(json.loads(line)) for line in lines]
    begin = events[0].at if events else 0
    return [event.line(begin) for event in events if event.kind not in FLOW_EVENTS]
