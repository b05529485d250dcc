"""What a soak test finds beside the checker's violations (docs/design/soak.md)."""

import re
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from cypresswalk.lab.experiment import Experiment
from cypresswalk.lab.observations import Observation
from cypresswalk.lab.result import ScenarioResult
from cypresswalk.lab.rules import DEFAULT_SLACK
from cypresswalk.lab.units import SECOND

FAULT_IN_LOG = re.compile(r"Traceback|event=(fault|thread_failed)\b")
RELOAD_IN_LOG = re.compile(r"ts=(\d+\.\d+) .*event=reload(_failed)?\b")
ATTEMPT_TIME_AFTER_LEAVE = SECOND // 10  # time in which attempts for a client that left may begin
MAX_LATE_ATTEMPTS = 2
LIST_UPDATE_TIME = 6 * SECOND  # from a change at a list agent until a balancer has read it
RELOAD_TIME = SECOND  # from SIGHUP until a balancer has read its file


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


@dataclass(slots=True)
class ListHistory:
    """What happened to the endpoint list and to the balancers that read it.

    Attributes:
        received: The observations that a list agent got a version.
        told: The observations that a balancer was sent an entry, by balancer.
        ends: The times at which a balancer ended, by balancer.
        outages: The begin and end of each time in which no list agent answered.
        scenario_end: The time at which the scenario ended.
    """

    received: list[Observation] = field(default_factory=list)
    told: defaultdict[str, list[Observation]] = field(default_factory=lambda: defaultdict(list))
    ends: defaultdict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    outages: list[tuple[int, int]] = field(default_factory=list)
    scenario_end: int = 0

    def may_be_late(self, balancer: str, since: int, until: int) -> bool:
        """Return whether something other than the balancer explains that it has not read a list."""
        return (
            until > self.scenario_end
            or any(since <= at <= until for at in self.ends[balancer])
            or any(begin <= until and since <= end for begin, end in self.outages)
        )

    def was_told(self, balancer: str, version: int, until: int) -> bool:
        """Return whether a balancer was sent a version, or a later one, by a time."""
        return any(
            update.at <= until and update.fields["version"] >= version
            for update in self.told[balancer]
        )


def read_list_history(events: Iterable[Observation], experiment: Experiment) -> ListHistory:
    """Return the history of the endpoint list from a scenario's observations."""
    history = ListHistory()
    outage_spans = iter(fault.for_s for fault in experiment.faults if fault.kind == "list_outage")
    for event in events:
        match event.kind:
            case "list_received":
                history.received.append(event)
            case "told":
                history.told[event.subject].append(event)
            case "balancer_down":
                history.ends[event.subject].append(event.at)
            case "trouble" if event.subject == "list_outage":
                span = int(next(outage_spans) * SECOND)
                history.outages.append((event.at, event.at + span))
            case "day_ended":
                history.scenario_end = event.at
    return history


def late_list_updates(events: Iterable[Observation], experiment: Experiment) -> list[str]:
    """Return a finding for each list version that a balancer read too late, or not at all.

    Too late is over LIST_UPDATE_TIME plus the slack after its list agent had it. This applies to
    balancers that watch the list, run for all of that time, and can reach the list agent.
    """
    if experiment.list_service.polled:
        return []
    history = read_list_history(events, experiment)
    findings = []
    for event in history.received:
        balancer, version = event.subject, event.fields["version"]
        until = event.at + LIST_UPDATE_TIME + DEFAULT_SLACK
        if history.may_be_late(balancer, event.at, until):
            continue
        if not history.was_told(balancer, version, until):
            findings.append(
                f"list: {balancer} did not read version {version} within "
                f"{LIST_UPDATE_TIME / SECOND:.0f} s from {event.at / SECOND:.3f} s on"
            )
    return findings


def lost_reloads(events: Iterable[Observation], folder: Path) -> list[str]:
    """Return a finding for each SIGHUP after which a balancer did not read its file in time.

    A balancer that ends within that time need not read it.
    """
    signals: list[Observation] = []
    ends: defaultdict[str, list[int]] = defaultdict(list)
    for event in events:
        if event.kind == "signal" and event.fields["sent"] == "HUP":
            signals.append(event)
        elif event.kind in ("balancer_down", "day_ended"):
            ends[event.subject].append(event.at)
    reloads = {name: reload_times(folder / f"{name}.log") for name in {s.subject for s in signals}}
    findings = []
    for event in signals:
        until = event.at + RELOAD_TIME
        if any(event.at <= at <= until for at in (*ends[event.subject], *ends[""])):
            continue
        # The log's times are rounded to milliseconds.
        if not any(event.at - SECOND // 1000 <= at <= until for at in reloads[event.subject]):
            findings.append(
                f"reload: {event.subject} did not read its file within "
                f"{RELOAD_TIME / SECOND:.0f} s of SIGHUP at {event.at / SECOND:.3f} s"
            )
    return findings


def reload_times(log_file: Path) -> list[int]:
    """Return the times in nanoseconds at which a balancer logged that it had read its file."""
    lines = log_file.read_text(errors="replace").splitlines()
    return [int(float(match[1]) * SECOND) for match in map(RELOAD_IN_LOG.match, lines) if match]


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
