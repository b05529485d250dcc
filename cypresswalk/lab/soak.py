"""A soak test: random plans, each played with real processes and then checked.

A seed fails if a rule was violated, or if a balancer crashed, logged an internal fault, exceeded
its file descriptors, or left a flow unanswered at a planned stop.
"""

import json
import re
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from pathlib import Path

from cypresswalk.lab.experiment import Experiment
from cypresswalk.lab.observations import Observation
from cypresswalk.lab.play import play_scenario
from cypresswalk.lab.result import ScenarioResult
from cypresswalk.lab.rules import DEFAULT_SLACK
from cypresswalk.lab.soak_plan import soak_experiment, soak_table
from cypresswalk.lab.units import SECOND

FAULT_IN_LOG = re.compile(r"Traceback|event=(fault|thread_failed)\b")
MAX_SHOWN_FINDINGS = 20
ATTEMPT_TIME_AFTER_LEAVE = SECOND // 10  # time in which attempts for a client that left may begin
MAX_LATE_ATTEMPTS = 2


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
    result = play_scenario(experiment, experiment.variants[0], seed, folder)
    repeated = repeated_ids(result.events)
    findings = [
        *(breach for breach in result.breaches if not concerns_flow(breach, repeated)),
        *unanswered_at_stops(result.events),
        *attempts_after_client_left(result.events),
        *logged_faults(folder),
        *descriptor_limit_violations(experiment, result),
    ]
    flows = sum(event.kind == "sent" for event in result.events)
    verdict = SeedVerdict(seed, findings[:MAX_SHOWN_FINDINGS], result.void, flows)
    (folder / "verdict.json").write_text(json.dumps(asdict(verdict), indent=1))
    return verdict


def repeated_ids(events: Iterable[Observation]) -> set[str]:
    """Return the flow ids that a misbehaving client repeated.

    Violations of such flows don't count: it is random whose line a balancer reads first, and the
    balancer forgets an id once its flow has ended.
    """
    return {event.flow for event in events if event.kind == "said_again"}


def concerns_flow(breach: str, flows: set[str]) -> bool:
    """Return whether a violation's text is about one of the flows."""
    words = breach.split(" at ", 1)[0].rsplit(": ", 1)
    return words[-1] in flows


def unanswered_at_stops(events: Iterable[Observation]) -> list[str]:
    """Return a finding for each flow sent to a balancer during its planned stop and not answered.

    The checker excuses flows that a balancer's end cuts off. A planned stop is no excuse, because
    SIGKILL comes only after the longest timeout.
    """
    sent: dict[str, Observation] = {}
    settled: set[str] = set()
    ended: dict[str, Observation] = {}
    stops: defaultdict[str, list[int]] = defaultdict(list)
    scenario_end = 0
    for event in events:
        match event.kind:
            case "sent":
                sent[event.flow] = event
            case "answer" | "left":
                settled.add(event.flow)
            case "ended" | "waited":
                ended.setdefault(event.flow, event)
            case "balancer_down" if event.fields.get("planned"):
                stops[event.subject].append(event.at)
            case "day_ended":
                scenario_end = event.at
    findings = []
    for flow, event in sent.items():
        end = ended.get(flow)
        if flow in settled or end is None or end.at > scenario_end:
            continue
        if any(event.at <= stop <= end.at + SECOND for stop in stops[event.subject]):
            findings.append(
                f"one answer: {flow} at {event.at / SECOND:.3f} s: sent to {event.subject}, "
                f"stopped as planned, and not answered ({end.kind} {end.fields.get('how', '')})"
            )
    return findings


def attempts_after_client_left(events: Iterable[Observation]) -> list[str]:
    """Return a finding for each attempt that began too long after its client left.

    Too long is over ATTEMPT_TIME_AFTER_LEAVE plus the slack. Up to MAX_LATE_ATTEMPTS such attempts
    are no finding.
    """
    left_at: dict[str, int] = {}
    late: list[str] = []
    for event in events:
        if event.kind == "left":
            left_at[event.flow] = event.at
        elif event.kind == "attempt" and event.flow in left_at:
            after = event.at - left_at[event.flow]
            if after > ATTEMPT_TIME_AFTER_LEAVE + DEFAULT_SLACK:
                text = f"an attempt {after / SECOND:.3f} s after its client left"
                late.append(f"one answer: {event.flow} at {event.at / SECOND:.3f} s: {text}")
    return late if len(late) > MAX_LATE_ATTEMPTS else []


def logged_faults(folder: Path) -> list[str]:
    """Return the log lines in which a balancer reports an internal fault."""
    return [
        f"{path.name}: {line[:300]}"
        for path in sorted(folder.glob("*.log"))
        for line in path.read_text(errors="replace").splitlines()
        if FAULT_IN_LOG.search(line)
    ]


def descriptor_limit_violations(experiment: Experiment, result: ScenarioResult) -> list[str]:
    """Return the first sample of each balancer in which it exceeded its descriptor limit."""
    groups = dict(zip(experiment.balancer_names(), experiment.balancer_groups(), strict=True))
    found: dict[str, str] = {}
    for second, name, _, descriptors, _ in result.samples:
        if descriptors > groups[name].sockets:
            text = f"{name} held {descriptors} descriptors at {second:.1f} s"
            found.setdefault(name, f"{text}, {groups[name].sockets} are allowed")
    return list(found.values())
