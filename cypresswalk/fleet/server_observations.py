"""What the leader knows of servers from balancers' reports.

Which are unhealthy, which have been seen ready again, what each has answered. No I/O, no clock. It
begins empty with each leader, and is inconclusive until most balancers have reported.

A single report counts for little: a server can be unreachable for one balancer alone, and a
balancer that is cut off finds all of them unhealthy. So half of the recent reports make a server
unhealthy, and more than half of the members that act on its return make it ready again.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from cypresswalk.fleet.messages import ServerReport
from cypresswalk.rollout.evidence import ServedCounts

UNHEALTHY_REASON = "held for bad by {} of {} balancers"
INCONCLUSIVE_REASON = "most balancers have not said yet which servers are bad"


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A report, when it came (nanoseconds) and which version its sender acted on."""

    received_at: int
    version: int
    report: ServerReport


@dataclass
class ServerObservations:
    """The latest report of each member, and totals since this leader began.

    Attributes:
        fresh: nanoseconds for which a report counts.
        reports: by member's id.
        counts: flow counts by server in each member's latest report.
        served: by server, all that has been added to the counts since this leader began.
    """

    fresh: int
    reports: dict[str, ReceivedReport] = field(default_factory=dict)
    counts: dict[str, dict[str, ServedCounts]] = field(default_factory=dict)
    served: dict[str, ServedCounts] = field(default_factory=dict)

    def on_report(self, now: int, member: str, version: int, report: ServerReport) -> None:
        """Take over a member's report."""
        self.reports[member] = ReceivedReport(now, version, report)
        before = self.counts.get(member)
        self.counts[member] = {
            name: ServedCounts(*counts) for name, counts in report.flow_counts.items()
        }
        if before is None:
            return  # counted over a time before this leader began
        for name, counts in self.counts[member].items():
            added = counts.growth_since(before.get(name, ServedCounts()))
            self.served[name] = self.served.get(name, ServedCounts()) + added

    def retain(self, members: Collection[str]) -> None:
        """Drop what others than these members reported."""
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
            if member in members and now - received.received_at <= self.fresh
        ]

    def conclusive(self, now: int, members: Collection[str]) -> bool:
        """Whether more than half of the members have reported lately."""
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
        """Return returning servers that need not be waited for any more, with their versions.

        These are servers that most members, in reports made while they acted on the return, find
        healthy, and servers that are listed no more.
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
        """Return a server's flows over all these members; None while one of them is not heard."""
        recent = self.recent(now, members)
        if len(recent) != len(members):
            return None
        return sum(received.report.open_flows.get(server, 0) for received in recent)
