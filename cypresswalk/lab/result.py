"""The result of one scenario, played with one variant and seed."""

import json
from dataclasses import asdict, dataclass, field
from pathlib import Path

from cypresswalk.lab import observations
from cypresswalk.lab.observations import Observation


@dataclass(slots=True)
class ScenarioResult:
    """The raw result. The names of its fields are the keys of `day.json`.

    Attributes:
        began: The time from which clients could arrive, in nanoseconds of the lab's clock.
        ended: The time until which clients could arrive, in nanoseconds of the lab's clock.
        void: The reason why the result says nothing about the balancer; empty if it is valid.
        breaches: The first violations of the rules, as text.
        broken: The number of violations by rule.
        samples: Tuples of second, balancer, resident bytes, file descriptors and CPU seconds.
        counters: Each balancer's counters.
        lateness_ms: Statistics of the lab's own lateness, in milliseconds.
        leaks: What balancers still held some time after the last client, as text, if checked.
        events: All observations.
    """

    experiment: str
    variant: str
    seed: int
    began: int = 0
    ended: int = 0
    void: str = ""
    breaches: list[str] = field(default_factory=list)
    broken: dict[str, int] = field(default_factory=dict)
    samples: list[tuple[float, str, int, int, float]] = field(default_factory=list)
    counters: dict[str, dict[str, int]] = field(default_factory=dict)
    lateness_ms: dict[str, float] = field(default_factory=dict)
    leaks: list[str] = field(default_factory=list)
    events: list[Observation] = field(default_factory=list)

    def save(self, folder: Path) -> None:
        """Write the observations and the other fields to two files in a folder."""
        observations.save(self.events, folder / "events.jsonl")
        data = asdict(self) | {"events": len(self.events)}
        (folder / "day.json").write_text(json.dumps(data, indent=1))
