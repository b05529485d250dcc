"""What came of one scenario played with one variant and seed."""

import json
from dataclasses import asdict, dataclass, field
from pathlib import Path

from cypresswalk.lab import observations
from cypresswalk.lab.observations import Observation


@dataclass(slots=True)
class ScenarioResult:
    """The raw result. The names of its fields are the keys of `day.json`.

    Attributes:
        began: When the first clients could come, by the lab's clock in nanoseconds.
        ended: When the last could.
        void: Why the result says nothing about the balancer; empty if it does.
        breaches: The first violations of the rules, as text.
        broken: Number of violations by rule.
        samples: Second, balancer, resident bytes, descriptors, seconds of processor time.
        counters: Each balancer's own counters.
        lateness_ms: How late the lab itself was.
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
    events: list[Observation] = field(default_factory=list)

    def save(self, folder: Path) -> None:
        """Write the observations and the rest into a folder."""
        observations.save(self.events, folder / "events.jsonl")
        data = asdict(self) | {"events": len(self.events)}
        (folder / "day.json").write_text(json.dumps(data, indent=1))
