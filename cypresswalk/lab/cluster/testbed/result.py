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
from cypresswalk.lab.cluster.testbed.cluster_testbed import ClusterTestBed
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


async def conclude(testbed: ClusterTestBed) -> ClusterResult:
    """Finish a run and check it.

    With agents, end all faults first and finish the last release. Without agents the plan itself
    must end its faults by `heal`, because the fleet must be able to converge here.
    """
    end = None
    if testbed.releases is not None:
        _heal_all(testbed)
        end = await testbed.releases.finish()
        await _stop_load(testbed)
    violations = await _convergence_violations(testbed)
    testbed.recording.observe("day_ended")  # the checker expects no answers for flows open now
    contradiction = _check_contradictions(testbed)
    violations += contradiction.violations
    violations += _check_recording(testbed)
    violations += [f"a task of the testbed failed: {failure}" for failure in testbed.tasks.failures]
    violations += _crashes(testbed)
    if testbed.plan.replicas:
        violations += await _replica_violations(testbed)
    release = check_release(testbed, end) if end is not None else None
    if release is not None:
        violations += release.violations
    offers = [call for call in testbed.operators.settings_calls if call.kind == CallKind.OFFER]
    return ClusterResult(
        violations=violations,
        longest_contradiction=contradiction.longest,
        max_contradiction_s=testbed.plan.max_contradiction_s,
        answers=testbed.clients.answer_counts(),
        offers=len(offers),
        agreed_offers=sum(offer.outcome == CallOutcome.YES for offer in offers),
        removals=testbed.operators.agreed_removal_count,
        lateness=testbed.lateness.worst,
        release=release,
    )


def _heal_all(testbed: ClusterTestBed) -> None:
    testbed.heal()
    if testbed.server_members is not None:
        testbed.server_members.start_missing_agents()


async def _stop_load(testbed: ClusterTestBed) -> None:
    """Stop the load, count crashes of balancers as disruptions, and read the servers' last events.

    A crash is no violation, since a build may be made to crash.
    """
    testbed.clients.stop()
    if testbed.balancer_members is not None:
        testbed.balancer_members.count_crashes_as_disruptions()
    if testbed.server_events is not None:
        await testbed.server_events.read_last()


async def _convergence_violations(testbed: ClusterTestBed) -> list[str]:
    status = await testbed.convergence.wait()
    if status is None:
        answers = await testbed.calls.local_status(testbed.names)
        shown = [(name, answer.body) for name, answer in zip(testbed.names, answers, strict=True)]
        return [
            "the fleet did not converge after all faults had ended: "
            + json.dumps(shown, default=str)[:MAX_SHOWN]
        ]
    answer = await testbed.calls.call(testbed.names[0], "show")
    out_of_rotation = set(answer.body["out"]) if answer.ok else set()
    return lost_removals(testbed.operators.removals(), out_of_rotation)


def _check_contradictions(testbed: ClusterTestBed) -> ContradictionReport:
    """Check removals by the fleet's agreement, and removals by the endpoint list.

    The lists of most voters show the latter within LIST_DETECTION_TIME; from then on the fleet's
    agreement also binds balancers whose lists lag.
    """
    attempts = testbed.recording.attempts()
    limit = int(testbed.plan.max_contradiction_s * SECOND)
    agreed = contradictions(testbed.operators.removals(), attempts, limit, testbed.slack())
    listed = contradictions(
        [Removal(server, at, at) for server, at in testbed.lists.drained_at],
        attempts,
        limit,
        testbed.slack() + LIST_DETECTION_TIME,
    )
    return ContradictionReport(
        agreed.longest,
        agreed.violations + [f"removed by the endpoint list: {line}" for line in listed.violations],
    )


def _check_recording(testbed: ClusterTestBed) -> list[str]:
    flows = testbed.clients.flows
    disruptions = testbed.disruptions()
    slack = testbed.slack()
    observations = [
        observation
        for observation in testbed.recording.observations
        if observation.flow not in testbed.clients.repeated
    ]
    unordered = linearizability_violation(
        testbed.operators.settings_calls, testbed.operators.initial_settings
    )
    return [
        *([unordered] if unordered else []),
        *missing_or_late_answers(flows, disruptions, slack),
        *repeated_executions(testbed.recording.executions()),
        *rule_violations(
            observations, checker_rules(testbed.plan, slack), flows, disruptions, slack
        ),
    ]


def _crashes(testbed: ClusterTestBed) -> list[str]:
    codes = {name: host.exit_code() for name, host in testbed.balancers.items()}
    return [f"{name} ended unexpectedly, exit code {code}" for name, code in codes.items() if code]


async def _replica_violations(testbed: ClusterTestBed) -> list[str]:
    """Wait until replicas are complete, and save each balancer's report on its own replicas."""
    testbed.clients.stop()
    status = await testbed.convergence.wait_for_replicas()
    local = [
        await testbed.calls.call(name, "copies_local", timeout_s=SHORT_CALL_TIMEOUT_S)
        for name in testbed.names
    ]
    bodies = [answer.body for answer in local]
    (testbed.folder / "copies.json").write_text(json.dumps(bodies, default=str))
    if status.complete:
        return []
    return [f"replicas did not become complete: {json.dumps(status.body, default=str)[:MAX_SHOWN]}"]
