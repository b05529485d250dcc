"""What a restarted balancer restores from a snapshot, depending on the snapshot's age."""

from typing import NamedTuple

import pytest
from helpers import START, entries, settings
from state_helpers import recovered_harness, snapshot

from cypresswalk.decisions.balancer import Balancer
from cypresswalk.decisions.health import RISE, is_up
from cypresswalk.decisions.outliers import MAX_FAILURES
from cypresswalk.model import SECOND, EndpointUpdate, Flow, Outcome, Server, ServerState
from cypresswalk.state.recovery import (
    FAULT_HALF_LIFE,
    MAX_ID_AGE,
    Recovery,
    belief_weight,
    decay_count,
)
from cypresswalk.state.snapshot import Snapshot, observations

TWO_HOURS = 7200 * SECOND


class Recovered(NamedTuple):
    """A balancer after its recovery, and how much was restored."""

    balancer: Balancer
    counts: dict[str, int]  # the result of `Recovery.apply`
    recovery: Recovery

    @property
    def first_server(self) -> Server:
        """The server that most tests examine, with the id 7."""
        return self.balancer.servers[7]


def balancer_of(servers: int, now: int, **changes: object) -> Balancer:
    """Return a balancer with a list of `servers` servers; `changes` apply to the list's entries."""
    balancer = Balancer(settings(), 1, now)
    balancer.on_endpoints(now, EndpointUpdate.CACHED, entries(servers, **changes))
    return balancer


def recover(
    content: Snapshot, now: int, version: int = 5, address: str = "a:1", **changes: object
) -> Recovered:
    """Restore a snapshot into a balancer of four servers.

    `version` and `address` are those of the balancer's endpoint list.
    """
    balancer = balancer_of(4, now, **changes)
    recovery = Recovery(content, now, version, address)
    return Recovered(balancer, recovery.apply(balancer), recovery)


def healthy_snapshot(**header: object) -> Snapshot:
    """Return a snapshot of four healthy servers."""
    return snapshot(0, servers=4, **header)


def make_failing(content: Snapshot, place: int = 0, **changes: object) -> Snapshot:
    """Change a server's record to one that failed attempts and health checks."""
    for name, value in ({"misses": 4, "health": 0, "failed": 5} | changes).items():
        setattr(content.servers[place], name, value)
    return content


@pytest.mark.parametrize(
    "age, failures, up", [(0, 4, False), (20, 2, True), (60, 0, True), (7200, 0, True)]
)
def test_failures_decay_with_their_half_life(age, failures, up):
    recovered = recover(make_failing(healthy_snapshot()), START + age * SECOND)
    assert recovered.first_server.consecutive_failures == failures
    assert is_up(recovered.first_server) is up


def test_weight_halves_every_half_life_and_is_zero_for_the_future():
    weights = [belief_weight(age * SECOND, FAULT_HALF_LIFE) for age in (0, 20, 40, 60, 80)]
    assert [decay_count(4, weight) for weight in weights] == [4, 2, 1, 0, 0]
    assert belief_weight(-1, FAULT_HALF_LIFE) == 0


def test_snapshot_of_hours_ago_restores_drains_only():
    content = make_failing(healthy_snapshot())
    content.servers[1].state = "draining"
    now = START + TWO_HOURS
    recovered = recover(content, now, version=0).balancer
    fresh = balancer_of(4, now)
    assert recovered.servers[20].state is ServerState.DRAINING
    fields = (
        "health",
        "checked",
        "awaiting_first_pass",
        "consecutive_failures",
        "consecutive_errors",
        "failed_checks",
        "established_count",
        "concurrency_limit",
        "load",
        "ejected_until",
    )
    for server_id, server in recovered.servers.items():
        fresh_server = fresh.servers[server_id]
        for field in fields:
            assert getattr(server, field) == getattr(fresh_server, field), field
    assert recovered.traffic.completed.total == 0
    assert recovered.traffic.started_at == fresh.traffic.started_at


@pytest.mark.parametrize(
    "learned, taken",
    [(START + 3600 * SECOND, START), (START + 3600 * SECOND, START + 3600 * SECOND)],
)
def test_records_from_the_future_restore_drains_only(learned, taken):
    content = make_failing(healthy_snapshot(taken=taken), learned=learned)
    content.servers[1].state = "gone"
    content.ids = [(5, learned), (6, START)]
    recovered = recover(content, START + SECOND, version=0)
    assert recovered.first_server.consecutive_failures == 0
    assert is_up(recovered.first_server)
    assert recovered.counts["drains"] == 1
    assert list(recovered.recovery.recent_ids()) == [6]


def test_record_of_a_server_that_restarted_is_ignored():
    content = make_failing(healthy_snapshot(), state="draining")
    recovered = recover(content, START + SECOND, started_at=START)
    assert recovered.counts["restarted"] == 4
    assert recovered.first_server.state is ServerState.READY
    assert recovered.first_server.consecutive_failures == 0


@pytest.mark.parametrize(
    "version, address, drained", [(0, "a:1", True), (9, "a:1", False), (9, "b:1", True)]
)
def test_drain_holds_until_a_later_list_of_the_same_address_ends_it(version, address, drained):
    """A restart must neither send flows to a draining server nor exclude a ready one forever."""
    content = healthy_snapshot()
    content.servers[0].state = "draining"
    recovered = recover(content, START + SECOND, version=version, address=address)
    assert (recovered.first_server.state is ServerState.DRAINING) is drained
    recovered.balancer.on_endpoints(START + 2 * SECOND, EndpointUpdate.FULL, entries(4))
    assert recovered.first_server.state is ServerState.READY


def place_flows(balancer: Balancer, now: int, count: int) -> list[Flow]:
    """Let flows arrive; each that gets a server is accepted by it."""
    flows = []
    for number in range(1, count + 1):
        flow = Flow(number, balancer.settings.service_types[0], number, START + 9 * SECOND)
        balancer.on_flow(now, flow)
        while balancer.next_decision(now) is not None:
            pass
        if flow.server is not None:
            balancer.on_established(now, flow, 1000)
        flows.append(flow)
    return flows


@pytest.mark.parametrize("failing, restored", [(1, 1), (2, 2), (3, 0), (4, 0)])
def test_failures_of_more_than_half_of_the_servers_are_not_restored(failing, restored):
    content = healthy_snapshot()
    for place in range(failing):
        make_failing(content, place, limit=1.0, limit_cut_at=START)
    recovered = recover(content, START + SECOND)
    balancer = recovered.balancer
    assert recovered.counts["aside"] == restored
    failures = [server.consecutive_failures for server in balancer.servers.values()]
    assert sum(count >= MAX_FAILURES for count in failures) == restored
    flows = place_flows(balancer, START + SECOND, 40)
    used = {flow.server.id for flow in flows if flow.server is not None}
    assert len(used) >= 4 - restored
    assert flows[-1].server is not None


def test_server_recorded_as_healthy_counts_as_unknown():
    content = healthy_snapshot()
    content.servers[0].health = 4
    recovered = recover(content, START + SECOND)
    balancer, server = recovered.balancer, recovered.first_server
    assert is_up(server)
    assert not server.checked
    assert server.health <= RISE
    # It is ejected as soon as it fails two attempts, whatever its record says.
    for _ in range(MAX_FAILURES):
        balancer.outliers.on_attempt_failed(START + SECOND, server, Outcome.TIMEOUT, SECOND)
    flow = Flow(1, balancer.settings.service_types[0], 1, START + 9 * SECOND)
    assert not balancer.admission.is_preferred(START + SECOND, server, flow, True)


def test_restart_loop_does_not_renew_old_knowledge(tmp_path):
    first = recovered_harness(tmp_path)
    first.balancer.servers[7].consecutive_failures = 4
    first.end()
    failures = []
    for turn in range(1, 5):
        incarnation = recovered_harness(tmp_path, now=START + turn * 15 * SECOND)
        failures.append(incarnation.balancer.servers[7].consecutive_failures)
        incarnation.end()
    # 4 failures decay by the age of the first observation: after 15, 30, 45 and 60 s.
    assert failures[0] == 2
    assert failures[-1] == 0
    assert failures == sorted(failures, reverse=True)


def test_observations_change_with_a_health_check_but_not_with_time():
    balancer = balancer_of(2, START)
    server = balancer.servers[7]
    before = observations(server)
    balancer.on_wakeup(START + SECOND // 10)
    assert observations(server) == before
    balancer.on_health_check_result(START + SECOND, server, True, None)
    assert observations(server) != before


def test_slow_start_budget_is_not_granted_twice():
    content = healthy_snapshot()
    content.servers[0].slow_start_spent = (7.5, START)
    recovered = recover(content, START + SECOND)
    assert 5 < recovered.first_server.slow_start_spent.read(START + SECOND) < 7.5
    # The sums keep their start: otherwise the flows of a long run would count as those of a short
    # one, at a much higher rate.
    assert recovered.balancer.traffic.started_at == START - 60 * SECOND


def test_flow_ids_are_kept_for_minutes_only():
    content = snapshot(0, servers=1)
    content.ids = [(1, START - MAX_ID_AGE), (2, START), (3, START + SECOND)]
    recovery = Recovery(content, START + SECOND, 0, "")
    assert list(recovery.recent_ids()) == [2, 3]
