"""Updates of the servers by the endpoint list and by operators."""

import math

from cypresswalk.decisions.health import RISE, HealthCheckSchedule, reset_health
from cypresswalk.decisions.slow_start import SlowStart
from cypresswalk.measures import DecayingSum
from cypresswalk.model import SECOND, EndpointUpdate, Server, ServerState

DROPS_TIME_CONSTANT = 5 * SECOND
GONE_RETENTION = 600 * SECOND  # longer than budgets, late lists and results of checks matter
REMOVAL_INTERVAL = 60 * SECOND


class Endpoints:
    """The servers as the endpoint list and operators have set them.

    Args:
        servers: all servers of the list and those that are gone for a short time, by id; this class
            adds to it and removes from it.
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
        self._next_removal_at = 0

    def update(self, now: int, update: EndpointUpdate, entries: list[Server]) -> None:
        """Apply an update of the list.

        Args:
            now: the current time in nanoseconds.
            update: the kind of update; servers that a full or cached list doesn't name are gone.
            entries: the servers as listed; the object of a new server is kept and updated later.
        """
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
                    self._set_state(now, server, ServerState.GONE)
        self._count_servers()

    def _count_servers(self) -> None:
        """Tell the schedule of checks how many servers are listed, and how many are ready."""
        states = [server.state for server in self._servers.values()]
        self._health_checks.listed_servers = len(states) - states.count(ServerState.GONE)
        self._health_checks.ready_servers = states.count(ServerState.READY)

    def remove_gone(self, now: int) -> list[int]:
        """Remove servers that have been gone for long, and return their ids.

        Servers with flows stay, and so do those that operators took out of rotation, since that
        holds until they return them.
        """
        if now < self._next_removal_at:
            return []
        self._next_removal_at = now + REMOVAL_INTERVAL
        removed = [
            server.id
            for server in self._servers.values()
            if server.state is ServerState.GONE
            and now - server.gone_since > GONE_RETENTION
            and not server.out_of_rotation
            and not server.check_in_flight
            and not server.pending_flows
            and not server.established_flows
        ]
        for server_id in removed:
            del self._servers[server_id]
        return removed

    def _add(self, now: int, server: Server, is_new: bool) -> None:
        self._servers[server.id] = server
        server.gone_since = now
        server.health = RISE - 1
        server.awaiting_first_pass = is_new
        server.recent_drops = DecayingSum(DROPS_TIME_CONSTANT, now)
        self._slow_start.add_server(now, server)
        self._health_checks.listed_servers += 1
        self._health_checks.schedule_first(now, server)

    def _update_server(self, now: int, server: Server, entry: Server) -> None:
        is_back = server.state is ServerState.GONE and entry.state is ServerState.READY
        if is_back or entry.started_at != server.started_at:
            self._restart(now, server)
        server.zone = entry.zone
        server.cell = entry.cell
        server.weight = entry.weight
        server.started_at = entry.started_at
        self._set_state(now, server, entry.state)
        if server.state is ServerState.READY:
            self._health_checks.schedule_again(now, server)

    @staticmethod
    def _set_state(now: int, server: Server, state: ServerState) -> None:
        if state is ServerState.GONE and server.state is not ServerState.GONE:
            server.gone_since = now
        server.state = state

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
