"""The result of a run's releases: whether bounds and halts were respected."""

from dataclasses import dataclass
from typing import Any

from cypresswalk.lab.cluster.checkers.halts import MAX_HALT_DELAY, HaltReport, check_halts
from cypresswalk.lab.cluster.checkers.unavailability import (
    Outage,
    UnavailabilityReport,
    check_unavailability,
)
from cypresswalk.lab.cluster.testbed.cluster_testbed import ClusterTestBed
from cypresswalk.lab.cluster.testbed.outages import AGENT_POLL_INTERVAL
from cypresswalk.lab.cluster.testbed.releases import ReleaseEnd
from cypresswalk.lab.units import SECOND


@dataclass(frozen=True, slots=True)
class ReleaseResult:
    """The result of a run's releases.

    Attributes:
        end: end of the last release.
        unavailability: report on how many members were out at once.
        bound: maximum number of members that may be out at once.
        departures: number of times that a member was ordered to leave.
        halts: number of agreed halts.
        halt: report on departures after halts.
        violations: one line per violation, including those of the two reports.
    """

    end: ReleaseEnd
    unavailability: UnavailabilityReport
    bound: int
    departures: int
    halts: int
    halt: HaltReport
    violations: list[str]

    def to_json(self) -> dict[str, Any]:
        """Return the releases' part of the report."""
        return self.end.to_json() | {
            "most_out": self.unavailability.max_planned,
            "most_out_and_lost": self.unavailability.max_total,
            "bound": self.bound,
            "told_to_leave": self.departures,
            "halts": self.halts,
            "halt_to_last_out_s": round(self.halt.longest / SECOND, 2),
        }


def check_release(testbed: ClusterTestBed, end: ReleaseEnd) -> ReleaseResult:
    """Check a run with agents, once its last release has ended."""
    releases = testbed.releases
    members = testbed.balancer_members or testbed.server_members
    assert releases is not None and members is not None  # there are agents
    slack = testbed.slack() + AGENT_POLL_INTERVAL
    halt_slack = MAX_HALT_DELAY + testbed.slack()
    planned = testbed.outages.planned()
    lost = testbed.outages.lost()
    if testbed.server_members is not None:
        lost = _unexplained_outages(lost, planned, slack)
        halt_slack += AGENT_POLL_INTERVAL
    departures = members.departures()
    unavailability = check_unavailability(
        planned, lost, departures, members.bound, releases.rollbacks, slack
    )
    halt = check_halts(departures, releases.halts, releases.resumes, releases.rollbacks, halt_slack)
    violations = [*unavailability.violations, *halt.violations]
    if testbed.server_members is not None:
        violations += _attempts_during_change(testbed, planned, slack)
    if end.unfinished_body:
        violations.append(f"the release did not finish: {end.to_json()}")
    violations += _agent_violations(testbed)
    return ReleaseResult(
        end=end,
        unavailability=unavailability,
        bound=members.bound,
        departures=len(departures),
        halts=len(releases.halts),
        halt=halt,
        violations=violations,
    )


def _unexplained_outages(lost: list[Outage], planned: list[Outage], slack: int) -> list[Outage]:
    """Return the outages in which a server answered no health checks while it was not changed."""
    return [
        outage
        for outage in lost
        if not any(
            change.name == outage.name
            and change.begin - slack <= outage.begin
            and outage.end <= change.end + slack
            for change in planned
        )
    ]


def _attempts_during_change(
    testbed: ClusterTestBed, planned: list[Outage], slack: int
) -> list[str]:
    violations = []
    attempts = testbed.recording.attempts()
    for change in planned:
        sent = [
            attempt
            for attempt in attempts
            if attempt.server == change.name
            and change.begin + slack < attempt.at < change.end - slack
        ]
        if sent:
            violations.append(
                f"{sent[0].balancer} sent to {change.name} while it was being changed"
            )
    return violations


def _agent_violations(testbed: ClusterTestBed) -> list[str]:
    """Return violations for tracebacks in logs of hosts with agents and for flows cut off."""
    if testbed.server_members is None or testbed.server_events is None:
        return [
            f"{name}: a traceback in its {log}"
            for name, host in testbed.balancers.items()
            for log in host.logs_with_traceback()
        ]
    violations = []
    for name, host in testbed.server_members.hosts.items():
        for log in host.logs_with_traceback():
            shown = "agent's log" if log == host.log.name else log
            violations.append(f"{name}: a traceback in its {shown}")
    cut_off = testbed.server_events.cut_off_flows
    if cut_off:
        violations.append(f"{cut_off} flows were open at servers that were stopped")
    return violations
