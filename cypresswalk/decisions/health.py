"""Health checks: a rise/fall counter for each server, and when it is checked next.

The counter is HAProxy's: a pass adds one, a failure takes one off, up is at least RISE. Checks come
at intervals that depend on the counter, jittered. They go by a clock that runs with time where
checks are cheap, and slower where the flows of this balancer could not pay for them.
"""

from heapq import heappop, heappush

from cypresswalk.decisions.hashing import Draws
from cypresswalk.decisions.traffic import Traffic
from cypresswalk.model import SECOND, Server, ServerState, Settings

RISE = 2  # passes from down to up
FALL = 3  # failures from full health to down
MAX_HEALTH = RISE + FALL - 1
HEALTHY_INTERVAL = 5 * SECOND
FAST_INTERVAL = 1 * SECOND  # degraded or not checked yet
DOWN_INTERVAL = 10 * SECOND
JITTER = 0.1  # of an interval
FIRST_CHECK_JITTER = 0.9
MAX_POINTS_PER_FLOW = 0.01  # what checks may cost of a flow's worth


def is_up(server: Server) -> bool:
    """Return whether new flows may go to the server, by its counter, the list and operators.

    A server that was never checked is up, but for one that has started lately.
    """
    if server.state is not ServerState.READY:
        return False
    if server.awaiting_first_pass or server.out_of_rotation:
        return False
    return server.health >= RISE or not server.checked


def reset_health(server: Server) -> None:
    """Forget what was known of a server: it has started anew."""
    server.health = RISE - 1
    server.checked = False
    server.awaiting_first_pass = True
    server.failed_checks = 0


def record_result(server: Server, passed: bool) -> bool:
    """Count a health check's result; return whether the server went up or down by it."""
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
    """When each server is checked.

    Args:
        settings: of the deployment.
        servers: all that the list has named, by id; the schedule reads how many there are.
        traffic: what this balancer's flows can pay.
        draws: for the jitter.
        now: nanoseconds.

    Attributes:
        requested: servers to check right away for flows that wait; the last goes first.
    """

    def __init__(
        self,
        settings: Settings,
        servers: dict[int, Server],
        traffic: Traffic,
        draws: Draws,
        now: int,
    ):
        """Begin with no server scheduled."""
        self.settings = settings
        self._servers = servers
        self._traffic = traffic
        self._draws = draws
        self._clock = 0
        self._clock_read_at = now
        self._heap: list[tuple[int, int, Server]] = []
        self._entries = 0
        self.requested: list[Server] = []

    def slowdown(self, now: int) -> float:
        """Return how many times slower than time the clock of checks runs, at least 1."""
        if not self.settings.health_check_price:
            return 1.0
        affordable = (
            self._traffic.arrival_rate(now) * MAX_POINTS_PER_FLOW / self.settings.health_check_price
        )
        return max(1.0, len(self._servers) / HEALTHY_INTERVAL / affordable)

    def clock(self, now: int) -> int:
        """Return the clock of checks, brought up to now."""
        self._clock += int((now - self._clock_read_at) / self.slowdown(now))
        self._clock_read_at = now
        return self._clock

    def schedule_first(self, now: int, server: Server) -> None:
        """Check a server that was listed for the first time.

        A new one is of no use before: its check is spread over two seconds of time, and comes at
        once where checks are cheap.
        """
        slowdown = self.slowdown(now)
        spread = (1 - 1 / slowdown) / slowdown if server.awaiting_first_pass else 1.0
        clock = self.clock(now)
        wait = self._draws.jittered(FAST_INTERVAL, FIRST_CHECK_JITTER)
        self._schedule(server, clock + int(wait * spread))

    def schedule_now(self, now: int, server: Server) -> None:
        """Check a server as soon as possible."""
        self._schedule(server, self.clock(now))

    def bring_forward(self, now: int, server: Server) -> None:
        """Check a server as soon as possible, unless its check is due already."""
        if server.next_check_at > self.clock(now):
            self._schedule(server, self.clock(now))

    def schedule_next(self, now: int, server: Server) -> None:
        """Schedule the check that follows a result that was recorded."""
        if server.health == MAX_HEALTH:
            interval = HEALTHY_INTERVAL
        elif server.health > 0 or server.failed_checks < FALL:
            # A server that never failed before is not kept out for long by one lost check.
            interval = FAST_INTERVAL
        else:
            interval = DOWN_INTERVAL
        clock = self.clock(now)
        self._schedule(server, clock + self._draws.jittered(interval, JITTER))

    def _schedule(self, server: Server, clock: int) -> None:
        server.next_check_at = clock
        if self.settings.health_checks:
            self._entries += 1
            heappush(self._heap, (clock, self._entries, server))

    def request(self, server: Server) -> None:
        """Check a server right away for a flow that waits for it, unless a check is out."""
        if not server.check_in_flight:
            server.check_in_flight = True
            self.requested.append(server)

    def next_due(self, now: int) -> Server | None:
        """Return a server whose check is due, counted as sent, or None."""
        clock = self.clock(now)
        while self._heap and self._heap[0][0] <= clock:
            due, _, server = heappop(self._heap)
            # An entry is void once the check was put forward or is out.
            void = due != server.next_check_at or server.check_in_flight
            if not void and server.state is not ServerState.GONE:
                server.check_in_flight = True
                return server
        return None

    def next_due_at(self, now: int) -> int | None:
        """Return when the next check is due; call it after `next_due` at the same time."""
        if not self._heap:
            return None
        return now + 1 + int((self._heap[0][0] - self._clock) * self.slowdown(now))
