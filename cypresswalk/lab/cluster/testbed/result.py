"""The result of a run: the violations that checkers find in its recording, and measurements."""

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

MAX_SHOWN = 1500  # characters of a status in a violation
LIST_DETECTION_TIME = SECOND  # time until most voters have reported a new list to the leader


@dataclass(frozen=True, slots=True)
class ClusterResult:
    """The result of a run.

    Attributes:
        violations: one line per violation; empty if all rules held.
        longest_contradiction: longest time from an agreed removal of a server to an attempt at that
            server, in nanoseconds.
        max_contradiction_s: limit for that time, in seconds.
        answers: number of flows by the answer that their clients got.
        offers: number of offers of settings.
        agreed_offers: number of offers that were accepted.
        removals: number of removals of servers that were accepted.
        lateness: largest lateness of the testbed's own event loop, in nanoseconds.
        release: result of releases; None without agents.
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
        """Return the report that commands print; the operators' page documents its keys."""
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
    """Finish a run and check it.

    With agents, end all faults first and finish the last release. Without agents the plan itself
    must end its faults by `heal`, because the fleet must be able to converge here.
    """
    end = None
    if bed.releases is not None:
        _heal_all(bed)
        end = await bed.releases.finish()
        await _end_of_load(bed)
    violations = await _convergence_violations(bed)
    bed.recording.observe("day_ended")  # the checker expects no answers for flows open now
    contradiction = _check_contradictions(bed)
    violations += contradiction.violations
    violations += _check_recording(bed)
    violations += [f"a task of the testbed failed: {failure}" for failure in bed.tasks.failures]
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
    """Stop the load, count crashes of balancers as disruptions, and read the servers' last events.

    A crash is no violation, since a build may be made to crash.
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
            "the fleet did not converge after all faults had ended: "
            + json.dumps(shown, default=str)[:MAX_SHOWN]
        ]
    answer = await bed.calls.call(bed.names[0], "show")
    out_of_rotation = set(answer.body["out"]) if answer.ok else set()
    return lost_removals(bed.operators.removals(), out_of_rotation)


def _check_contradictions(bed: ClusterTestBed) -> ContradictionReport:
    """Check removals by the fleet's agreement, and removals by the endpoint list.

    The lists of most voters show the latter within LIST_DETECTION_TIME; from then on the fleet's
    agreement also binds balancers whose lists lag.
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
        agreed.violations + [f"removed by the endpoint list: {line}" for line in listed.violations],
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
    return [f"{name} ended unexpectedly, exit code {code}" for name, code in codes.items() if code]


async def _replica_violations(bed: ClusterTestBed) -> list[str]:
    """Wait until replicas are complete, and save each balancer's report on its own replicas."""
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
    return [f"replicas did not become complete: {json.dumps(status.body, default=str)[:MAX_SHOWN]}"]
