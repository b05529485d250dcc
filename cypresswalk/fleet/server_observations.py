"""The leader's knowledge of servers from balancers' reports. No I/O, no clock.

It covers which servers are unhealthy, which have been seen ready again, and the flow counts of
each. It starts empty with each leader, and is inconclusive until most balancers have reported.

A single report is not enough: a server can be unreachable from one balancer alone, and a balancer
that is cut off finds all servers unhealthy. So a server counts as unhealthy if half of the recent
reports say so, and as ready again if more than half of the members have reported it healthy while
they acted on its return.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from cypresswalk.fleet.messages import ServerReport
from cypresswalk.rollout.evidence import ServedCounts

UNHEALTHY_REASON = "reported unhealthy by {} of {} balancers"
INCONCLUSIVE_REASON = "most balancers have not reported yet which servers are unhealthy"


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A report as the leader received it.

    Attributes:
        received_at: time of receipt in nanoseconds.
        version: version that the sender acted on.
        report: the report.
    """

    received_at: int
    version: int
    report: ServerReport


@dataclass
class ServerObservations:
    """The latest report of each member, and totals since this leader began.

    Attributes:
        max_report_age: nanoseconds for which a report counts.
        reports: latest report by member's id.
        counts: flow counts by server in each member's latest report, by member's id.
        served: growth of the flow counts since this leader began, by server.
    """

    max_report_age: int
    reports: dict[str, ReceivedReport] = field(default_factory=dict)
    counts: dict[str, dict[str, ServedCounts]] = field(default_factory=dict)
    served: dict[str, ServedCounts] = field(default_factory=dict)

    def on_report(self, now: int, member: str, version: int, report: ServerReport) -> None:
        """Store a member's report, and add the growth of its counts to the totals."""
        self.reports[member] = ReceivedReport(now, version, report)
        before = self.counts.get(member)
        self.counts[member] = {
            name: ServedCounts(*counts) for name, counts in report.flow_counts.items()
        }
        if before is None:
            return  # the first counts cover time before this leader began
        for name, counts in self.counts[member].items():
            added = counts.growth_since(before.get(name, ServedCounts()))
            self.served[name] = self.served.get(name, ServedCounts()) + added

    def retain(self, members: Collection[str]) -> None:
        """Drop the reports of all but these members."""
        self.reports = {
            member: report for member, report in self.reports.items() if member in members
        }
        self.counts = {
            member: counts for member, counts in self.counts.items() if member in members
        }

    def recent(self, now: int, members: Collection[str]) -> list[ReceivedReport]:
        """Return the reports of these members that still count."""
        return [
            received
            for member, received in self.reports.items()
            if member in members and now - received.received_at <= self.max_report_age
        ]

    def conclusive(self, now: int, members: Collection[str]) -> bool:
        """Return whether more than half of the members have reported recently."""
        return 2 * len(self.recent(now, members)) > len(members)

    def unhealthy(self, now: int, members: Collection[str]) -> dict[str, str]:
        """Return servers that at least half of the recent reports find unhealthy, with reasons."""
        recent = self.recent(now, members)
        count_of: dict[str, int] = {}
        for received in recent:
            for name in received.report.unhealthy:
                count_of[name] = count_of.get(name, 0) + 1
        return {
            name: UNHEALTHY_REASON.format(count, len(recent))
            for name, count in sorted(count_of.items())
            if 2 * count >= len(recent)
        }

    def seen_ready(
        self,
        now: int,
        members: Collection[str],
        returning: dict[str, int],
        listed: Collection[str],
    ) -> dict[str, int]:
        """Return the returning servers that have been seen ready or are gone, with their versions.

        A server has been seen ready if most members reported it healthy while they acted on its
        return. It is gone if the endpoint list no longer has it.

        Args:
            now: nanoseconds.
            members: ids of the members whose reports count.
            returning: version that returned each server to rotation, by server.
            listed: servers in the endpoint list.
        """
        recent = self.recent(now, members)
        found = {}
        for name, version in returning.items():
            healthy_at = sum(
                received.version >= version and name not in received.report.unhealthy
                for received in recent
            )
            if name not in listed or 2 * healthy_at > len(members):
                found[name] = version
        return found

    def open_flows(self, now: int, members: Collection[str], server: str) -> int | None:
        """Return a server's open flows at all these members; None if a recent report is missing."""
        recent = self.recent(now, members)
        if len(recent) != len(members):
            return None
        return sum(received.report.open_flows.get(server, 0) for received in recent)
