"""Outlier ejection: servers that pass health checks and still do not serve.

A server whose attempts fail twice in a row is passed over, but for one flow now and then. So is
another zone as a whole, once sound servers there, one after another, leave an attempt unanswered:
then the way there is at fault and not they.
"""

from dataclasses import dataclass

from cypresswalk.decisions.gossip import Gossip
from cypresswalk.decisions.hashing import Draws
from cypresswalk.decisions.health import JITTER, HealthCheckSchedule
from cypresswalk.decisions.load import OBJECTIVE_MISSED, is_overloaded
from cypresswalk.decisions.reviews import Reviews
from cypresswalk.decisions.traffic import Traffic
from cypresswalk.model import SECOND, Outcome, Server, Settings

MAX_FAILURES = 2  # one may be chance; the second ejects a server that passes health checks
TRIAL_INTERVAL = 2 * SECOND
FULL_EJECTION = 1 * SECOND  # a queue of new connections empties in less
MAX_ZONE_FAILURES = 3  # servers in a row, as FALL of the health counter
SETTLED_AFTER = 2 * SECOND  # a flow dropped within this time of its attempt was among the newest
UNANSWERED = frozenset({Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET})


@dataclass(slots=True)
class ZoneFailures:
    """Sound servers of another zone that left an attempt unanswered."""

    servers: int  # in a row
    next_trial_at: int  # when one flow may try that zone again


def is_outlier(server: Server) -> bool:
    """Return whether new flows pass the server over but for a trial."""
    return server.consecutive_failures >= MAX_FAILURES or server.consecutive_errors >= MAX_FAILURES


def is_sound(now: int, server: Server) -> bool:
    """Return whether the server is neither ejected nor overloaded; errors do not count."""
    return (
        server.consecutive_failures < MAX_FAILURES
        and now >= server.ejected_until
        and not is_overloaded(now, server)
    )


class OutlierDetection:
    """Counts failures by server and by zone, and ejects."""

    def __init__(
        self,
        settings: Settings,
        health_checks: HealthCheckSchedule,
        gossip: Gossip,
        reviews: Reviews,
        traffic: Traffic,
        draws: Draws,
    ):
        """Begin with no zone lost."""
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
        """A server took a flow.

        Args:
            now: nanoseconds.
            server: that took it.
            refused_by: the server that answered the same flow with an error just before, if one
                did.
                Only then that error counts: a flow that no server takes speaks against none.
        """
        server.consecutive_failures = 0
        server.consecutive_errors = 0
        self.zone_failures.pop(server.zone, None)
        if refused_by is not None:
            # What stands there may be served well: only new flows pass it over.
            refused_by.consecutive_errors += 1
            refused_by.next_trial_at = self._next_trial(now)

    def on_attempt_failed(self, now: int, server: Server, outcome: Outcome, took: int) -> None:
        """An attempt ended in no set-up, after so many nanoseconds."""
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
        """A full server dropped a flow that it had just taken.

        It is ejected for a while, since each drop makes room for the next flow, and the others are
        told: the client comes back to another balancer.
        """
        server.ejected_until = self._next_trial(now)
        self._gossip.offer(now, server, OBJECTIVE_MISSED)

    def zone_is_lost(self, server: Server) -> bool:
        """Return whether the way to the server's zone is at fault."""
        failures = self.zone_failures.get(server.zone)
        return failures is not None and failures.servers >= MAX_ZONE_FAILURES

    def zone_is_passed_over(self, now: int, server: Server) -> bool:
        """Return whether the server's zone is lost and its next trial is not due."""
        return self.zone_is_lost(server) and now < self.zone_failures[server.zone].next_trial_at

    def on_attempt_started(self, now: int, server: Server) -> None:
        """A flow goes to the server: in a lost zone that is the trial."""
        if self.zone_is_lost(server):
            self.zone_failures[server.zone].next_trial_at = self._next_trial(now)

    def awaits_trial(self, now: int, server: Server) -> bool:
        """Return whether no flow may try an outlier now."""
        return now < server.next_trial_at or bool(server.pending_flows)
