"""A soak test: random plans, each played with real processes and then checked.

A seed fails if a rule was violated, or if anything of `soak_findings` was found: a crash, a logged
fault, too many file descriptors, a flow left unanswered at a planned stop, an endpoint list read
late or a SIGHUP without effect.
"""

import json
from dataclasses import asdict, dataclass
from pathlib import Path

from cypresswalk.lab.play import play_scenario
from cypresswalk.lab.soak_findings import (
    attempts_after_client_left,
    concerns_flow,
    descriptor_limit_violations,
    late_list_updates,
    logged_faults,
    lost_reloads,
    repeated_ids,
    unanswered_at_stops,
)
from cypresswalk.lab.soak_plan import soak_experiment, soak_table

MAX_SHOWN_FINDINGS = 20


@dataclass(slots=True)
class SeedVerdict:
    """The result of one seed.

    Attributes:
        seed: The seed.
        findings: The faults found, violations of the rules first; empty if there were none.
        void: The reason why the result says nothing about the balancer; empty if it is valid.
        flows: The number of flows sent.
    """

    seed: int
    findings: list[str]
    void: str
    flows: int


def play_seed(seed: int, folder: Path) -> SeedVerdict:
    """Play and check a seed's plan; write plan, logs, observations and findings to a folder.

    Raises:
        CommandError: A balancer does not start.
    """
    experiment = soak_experiment(seed)
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "plan.json").write_text(json.dumps(soak_table(seed), indent=1))
    result = play_scenario(experiment, experiment.variants[0], seed, folder, checks_leaks=True)
    repeated = repeated_ids(result.events)
    findings = [
        *(breach for breach in result.breaches if not concerns_flow(breach, repeated)),
        *unanswered_at_stops(result.events),
        *attempts_after_client_left(result.events),
        *late_list_updates(result.events, experiment),
        *lost_reloads(result.events, folder),
        *logged_faults(folder),
        *descriptor_limit_violations(experiment, result),
        *result.leaks,
    ]
    flows = sum(event.kind == "sent" for event in result.events)
    verdict = SeedVerdict(seed, findings[:MAX_SHOWN_FINDINGS], result.void, flows)
    (folder / "verdict.json").write_text(json.dumps(asdict(verdict), indent=1))
    return verdict
