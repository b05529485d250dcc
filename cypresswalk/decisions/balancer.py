"""The decisions of one balancer: the interface that its host calls.

A host creates one Balancer from its settings, a seed and the current time. It reports events by
the `on_...` methods, then calls `next_decision` until that returns None and carries out each
decision at once. Events only update state; `next_decision` makes all decisions. Times are whole
nanoseconds of the host's clock.

`_place` lists the steps that a flow goes through, in order: check that there is time left and that
one more attempt is safe; wait for health checks of the servers on its preference list; check that
it is admitted; pick a server; queue the flow if no server has capacity; spend from the retry
budget; start the attempt.
"""

from cypresswalk.decisions.admission import MAX_PENDING_ATTEMPTS, Admission, ErrorThrottle
from cypresswalk.decisions.endpoints import Endpoints
from cypresswalk.decisions.flow_queue import FlowQueue
from cypresswalk.decisions.flow_table import (
    FlowTable,
    assign_established,
    assign_pending,
    unassign,
)
from cypresswalk.decisions.gossip import Gossip
from cypresswalk.decisions.hashing import Draws
from cypresswalk.decisions.health import (
    FAST_INTERVAL,
    LARGE_FLEET,
    HealthCheckSchedule,
    is_up,
    record_result,
)
from cypresswalk.decisions.limits import ConcurrencyLimits
from cypresswalk.decisions.list_polling import ListPolling
from cypresswalk.decisions.migration import Migration
from cypresswalk.decisions.outliers import NEW_FLOW_PERIOD, OutlierDetection, is_outlier
from cypresswalk.decisions.overload import OverloadControl
from cypresswalk.decisions.placement import Placement
from cypresswalk.decisions.retries import (
    RetryBudget,
    attempt_timeout,
    final_answer,
    may_retry,
)
from cypresswalk.decisions.reviews import Reviews
from cypresswalk.decisions.slow_start import SlowStart
from cypresswalk.decisions.traffic import Traffic
from cypresswalk.decisions.warm_up import WarmUp
from cypresswalk.measures import DecayingSum
from cypresswalk.model import (
    SECOND,
    Abort,
    CheckHealth,
    Decision,
    EndpointUpdate,
    Flow,
    Migrate,
    Outcome,
    Reject,
    ScheduleWakeup,
    Server,
    Settings,
    StartAttempt,
    Subscribe,
)

MAX_SLEEP = 60 * SECOND  # until the next wake-up when nothing is due; any value works
# Nanoseconds for each server beyond LARGE_FLEET, so that building tables takes little of the time.
JOIN_PAUSE_PER_SERVER = 50_000
# Names of the sums that a handover transfers; the state folder stores all of them but "borne".
HANDED_OVER_SUMS = ("carried", "borne", "arrivals", "hints", "setup_time", "setups")


class Balancer:
    """The state of one balancer, which takes events and returns decisions.

    Args:
        settings: the deployment's settings.
        seed: the seed of all random draws.
        now: the current time in nanoseconds.

    Attributes:
        settings: the settings in force; change them by `on_settings`.
        servers: all servers of the endpoint list and those that are gone for a short time, by id;
            read-only for hosts.
        flows: all flows that this balancer holds, by id; read-only for hosts.
    """

    placement_type = Placement
    migration_type = Migration

    def __init__(self, settings: Settings, seed: int, now: int):
        """Create the rules, each with its own state and the other rules that it reads."""
        self.settings = settings
        self.seed = seed
        self.servers: dict[int, Server] = {}
        self._flow_table = FlowTable()
        self.flows = self._flow_table.by_id

        self.draws = Draws(seed)
        self.traffic = Traffic(now)
        self.reviews = Reviews(now)
        self.warm_up = WarmUp(settings)
        self.health_checks = HealthCheckSchedule(settings, self.traffic, self.draws, now)
        self.gossip = Gossip(settings, self.traffic, self.draws, now)
        self.limits = ConcurrencyLimits(self.warm_up, self.reviews)
        self.overload = OverloadControl(
            settings, self.servers, self._flow_table, self.limits, self.gossip, self.reviews
        )
        self.outliers = OutlierDetection(
            settings, self.health_checks, self.gossip, self.reviews, self.traffic, self.draws
        )
        self.slow_start = SlowStart(
            settings,
            self.servers,
            self._flow_table,
            self.traffic,
            self.limits,
            self.warm_up,
            now,
        )
        self._endpoints = Endpoints(self.servers, self.health_checks, self.slow_start)
        self.admission = Admission(self.limits, self.outliers, self.warm_up)
        self.error_throttle = ErrorThrottle(self.traffic, self.draws, now)
        self.placement = self.placement_type(
            settings,
            self.servers,
            self._flow_table,
            self.admission,
            self.warm_up,
            self.slow_start,
        )
        self.retry_budget = RetryBudget(settings, now)
        self.migration = self.migration_type(
            settings,
            self.servers,
            self._flow_table,
            self.limits,
            self.traffic,
            self.reviews,
            self.draws,
            now,
        )
        self.list_polling = ListPolling(settings, self.draws, now)

        self._queue = FlowQueue()
        self._silent_flows: dict[Flow, None] = {}  # to migrate: their servers don't respond
        self._next_wakeup_at = 0
        self._servers_changed_at = now
        self._joins_due_at: int | None = None  # servers that went up are included from then on

    def sums(self) -> dict[str, DecayingSum]:
        """Return the sums that a handover transfers, by their names on the wire."""
        sums = (
            self.traffic.completed,
            self.slow_start.warm_occupancy,
            self.traffic.arrivals,
            self.gossip.sent,
            self.traffic.setup_time,
            self.traffic.setups,
        )
        return dict(zip(HANDED_OVER_SUMS, sums, strict=True))

    # Events: the settings, the endpoint list, operators, other processes.

    def on_settings(self, now: int, settings: Settings) -> None:
        """Apply new settings; flows that are held keep the service type they arrived with."""
        self.settings = settings
        for rule in (
            self.warm_up,
            self.health_checks,
            self.gossip,
            self.outliers,
            self.slow_start,
            self.placement,
            self.migration,
            self.list_polling,
        ):
            rule.settings = settings
        self.overload.apply_settings(settings)
        self.retry_budget.apply_settings(now, settings, now > self.traffic.started_at)
        self.reviews.next_at = now

    def on_endpoints(self, now: int, update: EndpointUpdate, entries: list[Server]) -> None:
        """Apply an update of the endpoint list, or record that a call for the list failed.

        Args:
            now: the current time in nanoseconds.
            update: the kind of update: changed entries, a full or cached list, or a failed call.
            entries: the servers as listed; the object of a new server is kept and updated later.
        """
        if update is EndpointUpdate.FAILED:
            self.list_polling.on_failed(now)
            return
        if update is not EndpointUpdate.CACHED:
            self.list_polling.on_answered()
        self._endpoints.update(now, update, entries)
        self._mark_servers_stale(now)
        self.reviews.next_at = now

    def remove_gone_servers(self, now: int) -> list[int]:
        """Remove servers that have been gone for long; return their ids, for the host's own state.

        Without it a balancer that runs for weeks beside releases would keep all that ever were.
        """
        removed = self._endpoints.remove_gone(now)
        if removed:
            self._mark_servers_stale(now)
        return removed

    def remove_from_rotation(self, now: int, server: Server) -> None:
        """Take a server out of rotation for an operator, whatever the list says of it."""
        if self._endpoints.remove_from_rotation(now, server):
            self._mark_servers_stale(now)
            self.reviews.request(now, server)

    def return_to_rotation(self, now: int, server: Server) -> None:
        """Return a server to rotation for an operator.

        The server counts as restarted; whether it warms up depends on its listed start time.
        """
        if self._endpoints.return_to_rotation(now, server):
            self._mark_servers_stale(now)
            self.reviews.next_at = now

    def on_predecessor_lost(self, now: int) -> None:
        """Count all budgets as spent, because the balancer that this one replaces was lost."""
        self.slow_start.on_predecessor_lost(now)
        self.assume_retry_budget_spent(now)

    def assume_retry_budget_spent(self, now: int) -> None:
        """Count the retry budget as spent by the process that this one replaces.

        How many retries that process made is unknown.
        """
        self.retry_budget.assume_spent(now)

    def spend_all_budgets(self, now: int) -> None:
        """Spend the slow-start and retry budgets; another process uses what is left of them."""
        self.retry_budget.spend_all(now)
        self.slow_start.spend_all(now)

    def _on_server_up(self, now: int) -> None:
        """Include a server that went up: at once, or in a large fleet together with the next ones.

        The tables of a large fleet are built anew at a limited rate while many servers join.
        """
        pause = max(len(self.servers) - LARGE_FLEET, 0) * JOIN_PAUSE_PER_SERVER
        due = self._servers_changed_at + pause
        if now >= due:
            self._mark_servers_stale(now)
        elif self._joins_due_at is None:
            self._joins_due_at = due

    def _mark_servers_stale(self, now: int) -> None:
        self._servers_changed_at = now
        self._joins_due_at = None
        self.placement.mark_stale(now)
        self.slow_start.mark_stale()

    def on_servers_restored(self, now: int) -> None:
        """Record that the host has set the servers' state, as after a restart or a handover."""
        self._mark_servers_stale(now)

    def is_avoided(self, now: int, server: Server) -> bool:
        """Return whether the server is in no pool, is ejected for a while, or is an outlier."""
        if not self.placement.is_placeable(server):
            return True
        return now < server.ejected_until or is_outlier(server)

    # Events: flows.

    def on_flow(self, now: int, flow: Flow) -> None:
        """Take a new flow that needs a server."""
        self._flow_table.add(flow)
        if not flow.returning:
            self.traffic.arrivals.add(now, 1)
        self.retry_budget.record_flow(now)
        self._queue.add(flow)

    def on_flow_resumed(self, now: int, flow: Flow, server: Server) -> None:
        """Take an established flow that is connected to the given server already."""
        self._flow_table.add(flow)
        flow.attempts.append(server)
        flow.established = True
        assign_established(flow, server)
        self.health_checks.schedule_again(now, server)

    def on_established(self, now: int, flow: Flow, took: int) -> None:
        """Record that the flow's latest attempt succeeded after `took` nanoseconds."""
        server = flow.server
        assert server is not None, "the flow has no attempt in progress"
        flow.established = True
        flow.slow_start_draw = None
        server.pending_flows.pop(flow, None)
        server.established_flows[flow] = None
        self._queue.capacity_freed = True
        server.established_count += 1
        server.first_flow_pending = False
        refused_by = flow.attempts[-2] if flow.last_outcome is Outcome.ERROR else None
        self.outliers.on_established(now, server, refused_by)
        self.traffic.record_setup(now, took)
        self.traffic.established.add(now, 1)

    def on_ended(self, now: int, flow: Flow, outcome: Outcome, final: bool, took: int) -> None:
        """Record that the flow's latest attempt, or its established connection, ended.

        Args:
            now: the current time in nanoseconds.
            flow: the flow.
            outcome: the way in which it ended.
            final: whether the flow has ended too; otherwise it is placed again.
            took: nanoseconds since the attempt started.
        """
        server = flow.server
        assert server is not None, "the flow has no attempt in progress"
        self._unassign(flow)
        if flow.established:
            self._on_connection_ended(now, flow, server, outcome)
        else:
            self._on_attempt_ended(now, flow, server, outcome, took)
        flow.last_outcome = outcome
        flow.server = None
        if final:
            self._forget(flow)
        else:
            self._queue.add(flow)

    def _on_connection_ended(self, now: int, flow: Flow, server: Server, outcome: Outcome) -> None:
        if outcome is Outcome.OK:
            self.traffic.completed.add(now, 1)
        elif outcome is Outcome.RESET and is_up(server) and self.overload.record_drop(now, server):
            self.limits.cut(now, server)
            if now - flow.attempt_sent_at < NEW_FLOW_PERIOD:
                self.outliers.on_new_flow_dropped(now, server)

    def _on_attempt_ended(
        self, now: int, flow: Flow, server: Server, outcome: Outcome, took: int
    ) -> None:
        self.outliers.on_attempt_failed(now, server, outcome, took)
        self.traffic.errors.add(now, outcome is Outcome.ERROR)
        self.traffic.denied.add(now, outcome is not Outcome.NOT_SENT)
        if not outcome.never_ran and flow.may_have_run_on is None:
            flow.may_have_run_on = server
            flow.may_have_run_since = flow.attempt_sent_at

    def on_client_gone(self, now: int, flow: Flow) -> None:
        """Forget the flow of a client that is gone, and an attempt in progress with it.

        The outcome of that attempt says nothing about its server.
        """
        self._forget(flow)
        if flow.server is not None:
            self._unassign(flow)

    def on_silence(self, now: int, flow: Flow, server_responds: bool) -> None:
        """Migrate an established flow whose client sends but gets no response from the server.

        Args:
            now: the current time in nanoseconds.
            flow: the flow.
            server_responds: whether the server responds on other flows; if not, this counts as a
                failure of the server.
        """
        if not server_responds:
            assert flow.server is not None, "the flow is not established"
            self.outliers.on_attempt_failed(now, flow.server, Outcome.RESET, 0)
        self._silent_flows[flow] = None

    # Events: health and load of servers, time.

    def on_health_check_result(
        self, now: int, server: Server, passed: bool, utilization: float | None
    ) -> None:
        """Record the result of a health check.

        Args:
            now: the current time in nanoseconds.
            server: the server that was checked.
            passed: whether the server answered as expected.
            utilization: the fraction of its capacity in use, if its answer reported that.
        """
        self._queue.capacity_freed = True
        changed = record_result(server, passed)
        if utilization is not None:
            self.overload.on_utilization(now, server, utilization)
        self.health_checks.schedule_next(now, server)
        if changed and is_up(server):
            self._on_server_up(now)
        elif changed:
            self._mark_servers_stale(now)
        self.reviews.request(now, server)

    def on_message_delay(self, now: int, server: Server, delay: int) -> None:
        """Record the message delay of a server, in nanoseconds."""
        self.overload.on_message_delay(now, server, delay)

    def on_gossip(self, now: int, server: Server, load: float) -> None:
        """Record a server's load as another balancer reported it."""
        self.overload.on_gossip(now, server, load)

    def on_wakeup(self, now: int) -> None:
        """Record that the time of the last ScheduleWakeup has come."""
        self._next_wakeup_at = 0

    # Decisions.

    def next_decision(self, now: int) -> Decision | None:
        """Return the next decision, or None when there is nothing to do until the next event.

        The order is: migrate flows that get no response; send gossip; place queued flows; check
        the servers whose results flows wait for; request the endpoint list; run the health checks
        that are due; migrate flows; schedule a wake-up.
        """
        self._queue.release(now)
        if self._silent_flows:
            flow, _ = self._silent_flows.popitem()
            self._unassign(flow)
            return Migrate(flow)
        if self.gossip.outbox:
            return self.gossip.outbox.pop()
        if self._queue.unplaced:
            decision = self._place_next(now)
            if decision is not None:
                return decision
        if self.health_checks.requested:
            return CheckHealth(self.health_checks.requested.pop())
        if self.list_polling.next_at is not None and self.list_polling.take_due(now):
            return Subscribe()
        if now >= self.reviews.next_at:
            action = self._review(now)
            if action is not None:
                return action
        return self._wake_up(now)

    def _place_next(self, now: int) -> StartAttempt | Reject | Abort | None:
        if self._joins_due_at is not None and now >= self._joins_due_at:
            self._mark_servers_stale(now)
        unplaced = self._queue.unplaced
        while unplaced:
            flow = unplaced.popleft()
            if flow not in self._flow_table:
                continue
            decision = self._place(now, flow)
            if decision is not None:
                return decision
            self._queue.wait(flow)
        return None

    def _review(self, now: int) -> CheckHealth | Migrate | None:
        """Return a health check that is due, or the migration of a flow."""
        server = self.health_checks.next_due(now)
        if server is not None:
            return CheckHealth(server)
        check_due_at = self.health_checks.next_due_at(now)
        latest = now + MAX_SLEEP if check_due_at is None else check_due_at
        flow = self.migration.next_flow(now)
        if flow is not None:
            self._unassign(flow)
            return Migrate(flow)
        self.reviews.next_at = self.migration.next_due_at(now, latest)
        return None

    def _wake_up(self, now: int) -> ScheduleWakeup | None:
        due = self.reviews.next_at
        if self.list_polling.next_at is not None:
            due = min(due, self.list_polling.next_at)
        if self._queue.waiting:
            due = min(due, self._queue.next_due(now))
        if self._next_wakeup_at and due >= self._next_wakeup_at:
            return None
        self._next_wakeup_at = due
        return ScheduleWakeup(due - now)

    # The steps of placing a flow.

    def _place(self, now: int, flow: Flow) -> StartAttempt | Reject | Abort | None:
        """Return the flow's next attempt or its final answer, or None to keep it queued."""
        if self._is_out_of_attempts(now, flow):
            return self._give_up(now, flow)
        self.slow_start.sample_occupancy(now)
        if not flow.await_checks_until:
            flow.await_checks_until = now + flow.service_type.setup_latency_objective // 10
            self.slow_start.admit(now, flow, self.placement)
            self._request_checks(now, flow)
        if now < flow.await_checks_until and any(
            server.check_in_flight for server in flow.awaited_checks
        ):
            return None
        if not self._is_admitted(now, flow):
            return self._give_up(now, flow)
        server = self.placement.pick(now, flow)
        if server is None:
            return None if self._may_queue(now, flow) else self._give_up(now, flow)
        if flow.attempts and not self.retry_budget.try_spend(now):
            return self._give_up(now, flow)
        return self._start_attempt(now, flow, server)

    def _is_out_of_attempts(self, now: int, flow: Flow) -> bool:
        if flow.deadline <= now or len(flow.attempts) >= self.settings.max_attempts:
            return True
        return not may_retry(now, flow)

    def _request_checks(self, now: int, flow: Flow) -> None:
        """Request checks of the servers on the flow's preference list whose known load is old.

        Do nothing if checks don't report load.
        """
        if self.settings.load_index < 0 or not self.settings.health_checks:
            return
        for server in self.placement.preference_list(flow.key):
            if server.check_in_flight or now - server.load_reported_at > FAST_INTERVAL:
                flow.awaited_checks.append(server)
                self.health_checks.request(server)

    def _is_admitted(self, now: int, flow: Flow) -> bool:
        """Return whether the flow may be attempted now.

        A returning client would be dropped again if all servers on its preference list miss their
        objective.
        """
        would_be_dropped = (
            flow.returning
            and flow.grouped
            and self.placement.preference_list_misses_objective(now, flow.key)
        )
        return not would_be_dropped and not self.error_throttle.should_reject(now, flow)

    def _may_queue(self, now: int, flow: Flow) -> bool:
        """Return whether attempts in progress may still free capacity in time."""
        if not flow.queued_until:
            longest = now + flow.service_type.setup_latency_objective // 2
            flow.queued_until = min(longest, flow.deadline)
        if now >= flow.queued_until:
            return False
        return any(
            len(server.pending_flows) >= MAX_PENDING_ATTEMPTS for server in self.servers.values()
        )

    def _start_attempt(self, now: int, flow: Flow, server: Server) -> StartAttempt:
        self.outliers.on_attempt_started(now, server)
        self.error_throttle.on_attempt_started(now)
        flow.attempts.append(server)
        flow.attempt_sent_at = now
        assign_pending(flow, server)
        return StartAttempt(flow, server, attempt_timeout(now, flow, self.settings, self.traffic))

    def _give_up(self, now: int, flow: Flow) -> Reject | Abort:
        """Forget the flow and return its final answer."""
        self._forget(flow)
        self.traffic.denied.add(now, 1)
        return final_answer(flow, self.settings)

    def _forget(self, flow: Flow) -> None:
        self._silent_flows.pop(flow, None)
        self._flow_table.remove(flow)

    def _unassign(self, flow: Flow) -> None:
        assert flow.server is not None, "the flow has no server"
        unassign(flow, flow.server)
        self._queue.capacity_freed = True
