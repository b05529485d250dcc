"""The result of a run: what the checkers find in the recording of a cluster, and its figures."""

import json
from dataclasses import dataclass
from typing import Any

from cypresswalk.lab.cluster.checkers.answers import missing_or_late_answers
from cypresswalk.lab.cluster.checkers.contradiction import (
    ContradictionReport,
    Removal,
    contradictions,
    lost_removals,
)
from cypresswalk.lab.cluster.checkers.four_rules import repeated_executions, rule_violations
from cypresswalk.lab.cluster.checkers.linearizability import (
    CallKind,
    CallOutcome,
    linearizability_violation,
)
from cypresswalk.lab.cluster.testbed.bed import ClusterTestBed
from cypresswalk.lab.cluster.testbed.fleet_calls import SHORT_CALL_TIMEOUT_S
from cypresswalk.lab.cluster.testbed.release_result import ReleaseResult, check_release
from cypresswalk.lab.cluster.testbed.settings import checker_rules
from cypresswalk.lab.units import MILLISECOND, SECOND

MAX_SHOWN = 1500  # characters of a status
LIST_DETECTION_TIME = SECOND  # until most voters have told the leader of a new list


@dataclass(frozen=True, slots=True)
class ClusterResult:
    """What came of a run.

    Attributes:
        violations: a line for each; empty if all rules held.
        longest_contradiction: nanoseconds from an agreed removal to an attempt at that server.
        max_contradiction_s: allowed for that.
        answers: flows by the answer that their clients got.
        offers: of settings.
        agreed_offers: that got a yes.
        removals: of servers that got a yes.
        lateness: of the test bed's own event loop, nanoseconds.
        release: where there are agents.
    """

    violations: list[str]
    longest_contradiction: int
    max_contradiction_s: float
    answers: dict[str, int]
    offers: int
    agreed_offers: int
    removals: int
    lateness: int
    release: ReleaseResult | None

    def to_json(self) -> dict[str, Any]:
        """Return the report that commands print; the operators' page names its keys."""
        report = {
            "broken": self.violations,
            "longest_contradiction_s": round(self.longest_contradiction / SECOND, 3),
            "stated_s": self.max_contradiction_s,
            "answers": self.answers,
            "calls": {
                "offers": self.offers,
                "offers_yes": self.agreed_offers,
                "taken_out": self.removals,
            },
            "machine_late_ms": round(self.lateness / MILLISECOND, 1),
        }
        return report | (self.release.to_json() if self.release is not None else {})


async def conclude(bed: ClusterTestBed) -> ClusterResult:
    """Bring a run to its end and check it.

    Where there are agents, all faults are ended first and the last release is brought to its end.
    Without agents the plan itself must end its faults, by `heal`: the fleet is to converge here.
    """
    end = None
    if bed.releases is not None:
        _heal_all(bed)
        end = await bed.releases.finish()
        await _end_of_load(bed)
    violations = await _convergence_violations(bed)
    bed.recording.observe("day_ended")  # what is under way now is not waited for
    contradiction = _check_contradictions(bed)
    violations += contradiction.violations
    violations += _check_recording(bed)
    violations += [f"the rig: {failure}" for failure in bed.tasks.failures]
    violations += _crashes(bed)
    if bed.plan.replicas:
        violations += await _replica_violations(bed)
    release = check_release(bed, end) if end is not None else None
    if release is not None:
        violations += release.violations
    offers = [call for call in bed.operators.settings_calls if call.kind == CallKind.OFFER]
    return ClusterResult(
        violations=violations,
        longest_contradiction=contradiction.longest,
        max_contradiction_s=bed.plan.max_contradiction_s,
        answers=bed.clients.answer_counts(),
        offers=len(offers),
        agreed_offers=sum(offer.outcome == CallOutcome.YES for offer in offers),
        removals=bed.operators.removals_agreed,
        lateness=bed.lateness.worst,
        release=release,
    )


def _heal_all(bed: ClusterTestBed) -> None:
    bed.heal()
    if bed.server_members is not None:
        bed.server_members.start_missing_agents()


async def _end_of_load(bed: ClusterTestBed) -> None:
    """Stop the load, excuse balancers that crashed, and read what servers have written by then.

    A build may be made to crash: a balancer that ended by itself counts as disrupted then.
    """
    bed.clients.stop()
    if bed.balancer_members is not None:
        bed.balancer_members.excuse_crashes()
    if bed.server_events is not None:
        await bed.server_events.read_last()


async def _convergence_violations(bed: ClusterTestBed) -> list[str]:
    status = await bed.convergence.wait()
    if status is None:
        answers = await bed.calls.local_status(bed.names)
        shown = [(name, answer.body) for name, answer in zip(bed.names, answers, strict=True)]
        return [
            "the fleet is not whole again though all faults were lifted: "
            + json.dumps(shown, default=str)[:MAX_SHOWN]
        ]
    answer = await bed.calls.call(bed.names[0], "show")
    out_of_rotation = set(answer.body["out"]) if answer.ok else set()
    return lost_removals(bed.operators.removals(), out_of_rotation)


def _check_contradictions(bed: ClusterTestBed) -> ContradictionReport:
    """Check removals by the fleet's agreement, and those by the endpoint list.

    Most voters' lists learn of the latter within a moment; the fleet then binds balancers whose
    lists lag.
    """
    attempts = bed.recording.attempts()
    limit = int(bed.plan.max_contradiction_s * SECOND)
    agreed = contradictions(bed.operators.removals(), attempts, limit, bed.slack())
    listed = contradictions(
        [Removal(server, at, at) for server, at in bed.lists.drained_at],
        attempts,
        limit,
        bed.slack() + LIST_DETECTION_TIME,
    )
    return ContradictionReport(
        agreed.longest,
        agreed.violations + [f"the list took it out: {line}" for line in listed.violations],
    )


def _check_recording(bed: ClusterTestBed) -> list[str]:
    flows = bed.clients.flows
    disruptions = bed.disruptions()
    slack = bed.slack()
    observations = [
        observation
        for observation in bed.recording.observations
        if observation.flow not in bed.clients.repeated
    ]
    unordered = linearizability_violation(
        bed.operators.settings_calls, bed.operators.initial_settings
    )
    return [
        *([unordered] if unordered else []),
        *missing_or_late_answers(flows, disruptions, slack),
        *repeated_executions(bed.recording.executions()),
        *rule_violations(observations, checker_rules(bed.plan, slack), flows, disruptions, slack),
    ]


def _crashes(bed: ClusterTestBed) -> list[str]:
    codes = {name: host.exit_code() for name, host in bed.balancers.items()}
    return [f"{name} ended by itself, code {code}" for name, code in codes.items() if code]


async def _replica_violations(bed: ClusterTestBed) -> list[str]:
    """Wait until replicas are complete; save what each balancer says of its own."""
    bed.clients.stop()
    status = await bed.convergence.wait_for_replicas()
    local = [
        await bed.calls.call(name, "copies_local", timeout_s=SHORT_CALL_TIMEOUT_S)
        for name in bed.names
    ]
    bodies = [answer.body for answer in local]
    (bed.folder / "copies.json").write_text(json.dumps(bodies, default=str))
    if status.complete:
        return []
    return [f"copies are not whole again: {json.dumps(status.body, default=str)[:MAX_SHOWN]}"]
