"""Outlier ejection: servers that pass health checks but don't serve flows.

A server whose attempts fail twice in a row gets no new flows except an occasional trial. The same
holds for another zone as a whole once several sound servers there in a row leave an attempt
unanswered, because then the network path to the zone is at fault, not the servers.
"""

from dataclasses import dataclass

from cypresswalk.decisions.gossip import Gossip
from cypresswalk.decisions.hashing import Draws
from cypresswalk.decisions.health import JITTER, HealthCheckSchedule
from cypresswalk.decisions.load import OBJECTIVE_MISSED, is_overloaded
from cypresswalk.decisions.reviews import Reviews
from cypresswalk.decisions.traffic import Traffic
from cypresswalk.model import SECOND, Outcome, Server, Settings

MAX_FAILURES = 2  # one failure may be chance; the second ejects the server
TRIAL_INTERVAL = 2 * SECOND
FULL_EJECTION = 1 * SECOND  # a queue of new connections drains in less
MAX_ZONE_FAILURES = 3  # servers in a row; as many as FALL of the health counter
NEW_FLOW_PERIOD = 2 * SECOND  # a flow dropped within this time of its attempt counts as new
UNANSWERED = frozenset({Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET})


@dataclass(slots=True)
class ZoneFailures:
    """The sound servers of another zone that left an attempt unanswered."""

    servers: int  # number of servers in a row
    next_trial_at: int  # time in nanoseconds from which one flow may try the zone again


def is_outlier(server: Server) -> bool:
    """Return whether new flows must skip the server, except for trials."""
    return server.consecutive_failures >= MAX_FAILURES or server.consecutive_errors >= MAX_FAILURES


def is_sound(now: int, server: Server) -> bool:
    """Return whether the server is neither failing, ejected nor overloaded.

    Errors that it answered don't count.
    """
    return (
        server.consecutive_failures < MAX_FAILURES
        and now >= server.ejected_until
        and not is_overloaded(now, server)
    )


class OutlierDetection:
    """The failure counts of servers and zones, by which they are ejected."""

    def __init__(
        self,
        settings: Settings,
        health_checks: HealthCheckSchedule,
        gossip: Gossip,
        reviews: Reviews,
        traffic: Traffic,
        draws: Draws,
    ):
        """Start with no failures of zones."""
        self.settings = settings
        self._health_checks = health_checks
        self._gossip = gossip
        self._reviews = reviews
        self._traffic = traffic
        self._draws = draws
        self.zone_failures: dict[int, ZoneFailures] = {}

    def _next_trial(self, now: int) -> int:
        return now + self._draws.jittered(TRIAL_INTERVAL, JITTER)

    def on_established(self, now: int, server: Server, refused_by: Server | None) -> None:
        """Reset the failure counts of a server that accepted a flow.

        Args:
            now: the current time in nanoseconds.
            server: the server that accepted the flow.
            refused_by: the server that answered the same flow with an error just before, or None.
                Only such errors count, because an error that every server returns for a flow is no
                evidence against any of them.
        """
        server.consecutive_failures = 0
        server.consecutive_errors = 0
        self.zone_failures.pop(server.zone, None)
        if refused_by is not None:
            # Its established flows may be served well, so only new flows skip it.
            refused_by.consecutive_errors += 1
            refused_by.next_trial_at = self._next_trial(now)

    def on_attempt_failed(self, now: int, server: Server, outcome: Outcome, took: int) -> None:
        """Record that an attempt failed after `took` nanoseconds."""
        if outcome is Outcome.FULL:
            server.ejected_until = now + FULL_EJECTION
        elif outcome in UNANSWERED:
            self._count_failure(now, server)
            if outcome is Outcome.TIMEOUT:
                self._traffic.record_setup(now, took)

    def _count_failure(self, now: int, server: Server) -> None:
        server.consecutive_failures += 1
        if server.consecutive_failures == 1 and server.zone != self.settings.zone:
            known = self.zone_failures.get(server.zone)
            servers = known.servers + 1 if known else 1
            self.zone_failures[server.zone] = ZoneFailures(servers, self._next_trial(now))
        server.next_trial_at = self._next_trial(now)
        self._health_checks.bring_forward(now, server)
        self._reviews.request(now, server)
        self._gossip.offer(now, server, OBJECTIVE_MISSED)

    def on_new_flow_dropped(self, now: int, server: Server) -> None:
        """Eject a full server that dropped a flow it had just accepted.

        Otherwise each drop would make room for the next flow. The other balancers are informed,
        because the client returns to one of them.
        """
        server.ejected_until = self._next_trial(now)
        self._gossip.offer(now, server, OBJECTIVE_MISSED)

    def zone_is_unreachable(self, server: Server) -> bool:
        """Return whether the network path to the server's zone is considered broken."""
        failures = self.zone_failures.get(server.zone)
        return failures is not None and failures.servers >= MAX_ZONE_FAILURES

    def zone_is_skipped(self, now: int, server: Server) -> bool:
        """Return whether the server's zone is unreachable and the zone's next trial is not due."""
        return (
            self.zone_is_unreachable(server) and now < self.zone_failures[server.zone].next_trial_at
        )

    def on_attempt_started(self, now: int, server: Server) -> None:
        """Postpone the zone's next trial if the server's zone is unreachable."""
        if self.zone_is_unreachable(server):
            self.zone_failures[server.zone].next_trial_at = self._next_trial(now)

    def awaits_trial(self, now: int, server: Server) -> bool:
        """Return whether the outlier's next trial is not due yet or is in progress."""
        return now < server.next_trial_at or bool(server.pending_flows)
