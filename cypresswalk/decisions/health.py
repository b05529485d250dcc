"""Health checks: a rise/fall counter for each server, and the schedule of checks.

The counter works like HAProxy's: a pass adds one, a failure subtracts one, and a server is up from
RISE on. The jittered interval between checks depends on the counter. The schedule uses its own
clock, which runs at normal speed if checks are cheap, and slower if this balancer's flows can't pay
for checks at that rate. The healthy servers of a large fleet are checked less often.
"""

from heapq import heappop, heappush

from cypresswalk.decisions.hashing import Draws
from cypresswalk.decisions.traffic import Traffic
from cypresswalk.model import SECOND, Server, ServerState, Settings

RISE = 2  # passes from down to up
FALL = 3  # failures from full health to down
MAX_HEALTH = RISE + FALL - 1
HEALTHY_INTERVAL = 5 * SECOND
FAST_INTERVAL = 1 * SECOND  # for degraded servers and those not checked yet
DOWN_INTERVAL = 10 * SECOND
JITTER = 0.1  # of an interval
FIRST_CHECK_JITTER = 0.9
MAX_POINTS_PER_FLOW = 0.01  # limit on the cost of checks per flow, as a fraction of its value
# Servers; a check of a larger fleet mostly needs a new connection, so healthy servers get fewer.
LARGE_FLEET = 250
MAX_CHECKS_PER_FLOW = 2  # of the healthy servers of a large fleet
MIN_FRACTION_SEEN = 0.02  # of the arrivals in a time constant, after which their rate is estimated
NOT_SCHEDULED = -1  # `next_check_at` of a server that needs no checks


def is_up(server: Server) -> bool:
    """Return whether its counter, the list and operators allow new flows to the server.

    A server that was never checked is up, unless it is new or restarted.
    """
    if server.state is not ServerState.READY:
        return False
    if server.awaiting_first_pass or server.out_of_rotation:
        return False
    return server.health >= RISE or not server.checked


def needs_checks(server: Server) -> bool:
    """Return whether it matters to this balancer if the server is healthy.

    A server that drains gets no new flows; its health matters to the flows that it still has.
    """
    if server.state is ServerState.DRAINING:
        return bool(server.established_flows or server.pending_flows)
    return server.state is ServerState.READY


def reset_health(server: Server) -> None:
    """Reset the health of a server that was restarted."""
    server.health = RISE - 1
    server.checked = False
    server.awaiting_first_pass = True
    server.failed_checks = 0


def record_result(server: Server, passed: bool) -> bool:
    """Record a health check's result and return whether the server went up or down by it."""
    was_up = is_up(server)
    server.check_in_flight = False
    if passed:
        server.health = min(server.health + 1, MAX_HEALTH)
        server.failed_checks = 0
        server.awaiting_first_pass = False
    else:
        server.health = max(server.health - 1, 0)
        server.failed_checks += 1
    server.checked = True
    return was_up != is_up(server)


class HealthCheckSchedule:
    """The schedule of health checks.

    Args:
        settings: the deployment's settings.
        traffic: the arrivals at this balancer, which pay for checks.
        draws: the random numbers for the jitter.
        now: the current time in nanoseconds.

    Attributes:
        listed_servers: the number of servers that the list names.
        ready_servers: the number of these that are ready.
        requested: servers to check right away for waiting flows; the last one is checked first.
    """

    def __init__(
        self,
        settings: Settings,
        traffic: Traffic,
        draws: Draws,
        now: int,
    ):
        """Start without scheduled checks."""
        self.settings = settings
        self._traffic = traffic
        self._draws = draws
        self._clock = 0
        self._clock_read_at = now
        self._heap: list[tuple[int, int, Server]] = []
        self._entries = 0
        self._rate = 0.0  # of arrivals, as last computed
        self._rate_read_at = -1
        self.listed_servers = 0
        self.ready_servers = 0
        self.requested: list[Server] = []

    def slowdown(self, now: int) -> float:
        """Return how many times slower than real time the schedule's clock runs, at least 1."""
        if not self.settings.health_check_price:
            return 1.0
        affordable = (
            self._traffic.arrival_rate(now) * MAX_POINTS_PER_FLOW / self.settings.health_check_price
        )
        return max(1.0, self.listed_servers / HEALTHY_INTERVAL / affordable)

    def _healthy_interval(self, now: int) -> int:
        """Return the interval between checks of a healthy server on the schedule's clock.

        In a large fleet it is so long that checks stay within their limit.
        """
        if self.ready_servers <= LARGE_FLEET:
            return HEALTHY_INTERVAL
        allowed = max(LARGE_FLEET / HEALTHY_INTERVAL, MAX_CHECKS_PER_FLOW * self._arrival_rate(now))
        return max(HEALTHY_INTERVAL, int(self.ready_servers / allowed / self.slowdown(now)))

    def _arrival_rate(self, now: int) -> float:
        """Return the estimated arrivals per nanosecond, also soon after the start."""
        if now != self._rate_read_at:
            traffic = self._traffic
            fraction_seen = traffic.arrivals.accumulated_fraction(now, traffic.started_at)
            self._rate = traffic.arrival_rate(now) / max(fraction_seen, MIN_FRACTION_SEEN)
            self._rate_read_at = now
        return self._rate

    def clock(self, now: int) -> int:
        """Advance the schedule's clock to now and return it, in nanoseconds."""
        self._clock += int((now - self._clock_read_at) / self.slowdown(now))
        self._clock_read_at = now
        return self._clock

    def schedule_first(self, now: int, server: Server) -> None:
        """Schedule the first check of a server.

        A new server gets no flows until a check passes. So its first check comes at a random moment
        within two seconds of real time, and at once if checks are cheap.
        """
        slowdown = self.slowdown(now)
        spread = (1 - 1 / slowdown) / slowdown if server.awaiting_first_pass else 1.0
        clock = self.clock(now)
        wait = self._draws.jittered(FAST_INTERVAL, FIRST_CHECK_JITTER)
        self._schedule(server, clock + int(wait * spread))

    def schedule_now(self, now: int, server: Server) -> None:
        """Schedule a check of a server as soon as possible."""
        self._schedule(server, self.clock(now))

    def bring_forward(self, now: int, server: Server) -> None:
        """Schedule a check of a server as soon as possible, unless a check is due already."""
        if server.next_check_at > self.clock(now):
            self._schedule(server, self.clock(now))

    def schedule_again(self, now: int, server: Server) -> None:
        """Schedule a check of a server if none is, because it needs checks again."""
        if server.next_check_at == NOT_SCHEDULED:
            self.schedule_now(now, server)

    def schedule_next(self, now: int, server: Server) -> None:
        """Schedule the check that follows a recorded result.

        In a large fleet healthy servers are checked seldom. So a failure is confirmed in real time.
        A server that has passed twice is checked a third time at a random moment of half of that,
        so that the checks of servers that started together spread.
        """
        # One lost check must not keep out for long a server that never failed before.
        interval, jitter = FAST_INTERVAL, JITTER
        if server.health == MAX_HEALTH:
            interval = self._healthy_interval(now)
        elif server.health == 0 and server.failed_checks >= FALL:
            interval = DOWN_INTERVAL
        elif self.ready_servers > LARGE_FLEET:
            if server.failed_checks:
                interval = int(FAST_INTERVAL / self.slowdown(now))
            elif server.health > RISE:
                interval, jitter = self._healthy_interval(now) // 4, FIRST_CHECK_JITTER
        clock = self.clock(now)
        self._schedule(server, clock + self._draws.jittered(interval, jitter))

    def _schedule(self, server: Server, clock: int) -> None:
        server.next_check_at = clock
        if self.settings.health_checks:
            self._entries += 1
            heappush(self._heap, (clock, self._entries, server))

    def request(self, server: Server) -> None:
        """Request an immediate check for a waiting flow, unless one is in progress."""
        if not server.check_in_flight:
            server.check_in_flight = True
            self.requested.append(server)

    def next_due(self, now: int) -> Server | None:
        """Return a server whose check is due and mark it as sent, or return None."""
        clock = self.clock(now)
        while self._heap and self._heap[0][0] <= clock:
            due, _, server = heappop(self._heap)
            # An entry is stale once the check was rescheduled or is in progress.
            if due != server.next_check_at or server.check_in_flight:
                continue
            if self.ready_servers <= LARGE_FLEET or needs_checks(server):
                if server.state is ServerState.GONE:
                    continue
                server.check_in_flight = True
                return server
            server.next_check_at = NOT_SCHEDULED
        return None

    def next_due_at(self, now: int) -> int | None:
        """Return when the next check is due, or None; call `next_due` first, with the same time."""
        if not self._heap:
            return None
        return now + 1 + int((self._heap[0][0] - self._clock) * self.slowdown(now))
