"""Updates of the servers by the endpoint list and by operators."""

import math

from cypresswalk.decisions.health import RISE, HealthCheckSchedule, reset_health
from cypresswalk.decisions.slow_start import SlowStart
from cypresswalk.measures import DecayingSum
from cypresswalk.model import SECOND, EndpointUpdate, Server, ServerState

DROPS_TIME_CONSTANT = 5 * SECOND


class Endpoints:
    """The servers as the endpoint list and operators have set them.

    Args:
        servers: all servers that the list has ever named, by id; this class adds to it and never
            removes any.
        health_checks: the schedule of checks, to which new and restarted servers are added.
        slow_start: the slow-start budgets, of which each server has one.
    """

    def __init__(
        self,
        servers: dict[int, Server],
        health_checks: HealthCheckSchedule,
        slow_start: SlowStart,
    ):
        """Keep the servers and the rules that are updated with them."""
        self._servers = servers
        self._health_checks = health_checks
        self._slow_start = slow_start

    def update(self, now: int, update: EndpointUpdate, entries: list[Server]) -> None:
        """Apply an update of the list.

        Args:
            now: the current time in nanoseconds.
            update: the kind of update; servers that a full or cached list doesn't name are gone.
            entries: the servers as listed; the object of a new server is kept and updated later.
        """
        self._health_checks.ready_servers = self._count_ready(update, entries)
        for entry in entries:
            known = self._servers.get(entry.id)
            if known is None:
                self._add(now, entry, is_new=update is not EndpointUpdate.CACHED)
            else:
                self._update_server(now, known, entry)
        if update is not EndpointUpdate.DELTA:
            named = {entry.id for entry in entries}
            for server in self._servers.values():
                if server.id not in named:
                    server.state = ServerState.GONE

    def _count_ready(self, update: EndpointUpdate, entries: list[Server]) -> int:
        """Return how many servers are ready after the update."""
        states = {}
        if update is EndpointUpdate.DELTA:
            states = {server.id: server.state for server in self._servers.values()}
        states |= {entry.id: entry.state for entry in entries}
        return sum(state is ServerState.READY for state in states.values())

    def _add(self, now: int, server: Server, is_new: bool) -> None:
        self._servers[server.id] = server
        server.health = RISE - 1
        server.awaiting_first_pass = is_new
        server.recent_drops = DecayingSum(DROPS_TIME_CONSTANT, now)
        self._slow_start.add_server(now, server)
        self._health_checks.schedule_first(now, server)

    def _update_server(self, now: int, server: Server, entry: Server) -> None:
        is_back = server.state is ServerState.GONE and entry.state is ServerState.READY
        if is_back or entry.started_at != server.started_at:
            self._restart(now, server)
        server.zone = entry.zone
        server.cell = entry.cell
        server.weight = entry.weight
        server.started_at = entry.started_at
        server.state = entry.state
        if server.state is ServerState.READY:
            self._health_checks.schedule_again(now, server)

    def _restart(self, now: int, server: Server) -> None:
        """Reset the state of a server that was restarted."""
        reset_health(server)
        self._health_checks.schedule_now(now, server)
        server.established_count = 0
        server.consecutive_failures = 0
        server.consecutive_errors = 0
        server.load = 0.0
        server.ejected_until = 0
        server.concurrency_limit = math.inf

    def remove_from_rotation(self, now: int, server: Server) -> bool:
        """Take a server out of rotation; return False if it was out already."""
        if server.out_of_rotation:
            return False
        server.out_of_rotation = True
        server.out_of_rotation_since = now
        server.first_flow_pending = False
        return True

    def return_to_rotation(self, now: int, server: Server) -> bool:
        """Return a server to rotation; return False if it was in rotation already."""
        if not server.out_of_rotation:
            return False
        server.out_of_rotation = False
        server.first_flow_pending = True
        self._restart(now, server)
        return True
