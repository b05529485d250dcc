"""Concurrency limits and the migrations that they cause."""

import pytest
from decision_helpers import establish_flows, settle
from helpers import START, SimulatedHost, service

from cypresswalk.decisions.flow_table import unassign
from cypresswalk.decisions.limits import fits
from cypresswalk.decisions.occupancy import GROUP_WORK, occupancy
from cypresswalk.model import SECOND, Flow, Outcome


def test_congestion_is_relieved_by_migrating_and_rejecting_at_once():
    host = SimulatedHost(2)
    settle(host)
    establish_flows(host, 40)
    for server in host.balancer.servers.values():
        host.balancer.on_message_delay(host.now, server, SECOND)
    host.carry_out_decisions()
    host.pass_time(SECOND // 2)
    held = sum(len(server.established_flows) for server in host.balancer.servers.values())
    assert held <= 36
    flows = [host.arrive() for _ in range(8)]
    assert sum(host.answers.get(flow.id) == "reject" for flow in flows) >= 6


def test_occasional_broken_connections_limit_no_server():
    # Otherwise healthy servers would be limited one after another until all flows are rejected.
    host = SimulatedHost(2, gossip=True, instances=2)
    settle(host)
    establish_flows(host, 20)
    for _ in range(6):
        for server in host.balancer.servers.values():
            host.end(next(iter(server.established_flows)), Outcome.RESET)
        host.pass_time(8 * SECOND)
        establish_flows(host, 2)
    assert all(
        server.concurrency_limit == float("inf") for server in host.balancer.servers.values()
    )
    assert not host.gossip
    server = host.balancer.servers[7]
    host.balancer.on_message_delay(host.now, server, SECOND // 20)
    host.pass_time(3 * SECOND // 2)
    host.end(next(iter(server.established_flows)), Outcome.RESET)
    # At an overloaded server, the first broken connection counts.
    assert server.concurrency_limit < len(server.established_flows)


def test_overloaded_server_loses_a_few_flows_before_its_messages_are_late():
    # Otherwise a few servers would stay near their limit while others are idle.
    host = SimulatedHost(3)
    settle(host)
    establish_flows(host, 60)
    server = host.balancer.servers[7]
    held_before = len(server.established_flows)

    def held_at(load: float) -> int:
        for _ in range(3):
            host.balancer.on_message_delay(host.now, server, int(load * SECOND / 10))
            host.carry_out_decisions()
            host.pass_time(SECOND)
        return len(server.established_flows)

    assert held_at(0.4) == held_before
    assert held_before - 6 < held_at(0.6) <= held_before - 1


def test_balancers_with_one_flow_each_relieve_a_slow_server_step_by_step():
    # Seen with forty balancers that had three flows each: every balancer repeatedly cut the limit
    # for its one flow there to the same fraction of a flow, and two thirds of all flows stayed.
    # While the delay falls, the last step is taking effect, and no further step is due.
    left = {0: 0, SECOND // 10: 0}
    for decrease in left:
        for number in range(40):
            host = SimulatedHost(8, instances=40)
            settle(host)
            host.last_id = 1_000_000 * number
            while not (slow := host.balancer.servers[7]).established_flows:
                host.accept(host.arrive(key=10 * number + host.last_id, grouped=True))
            for second in range(8):
                if slow.established_flows:
                    host.balancer.on_message_delay(host.now, slow, SECOND - decrease * second)
                    host.carry_out_decisions()
                host.pass_time(SECOND)
            left[decrease] += len(slow.established_flows)
    assert left[0] <= 20 < 25 <= left[SECOND // 10]


def test_all_but_one_flow_leave_a_server_with_an_extreme_delay_at_once():
    host = SimulatedHost(3)
    settle(host)
    establish_flows(host, 30)
    slow = max(host.balancer.servers.values(), key=lambda server: len(server.established_flows))
    host.balancer.on_message_delay(host.now, slow, 20 * SECOND)
    host.carry_out_decisions()
    host.pass_time(SECOND)
    assert len(slow.established_flows) <= 1


def test_group_counts_once_per_server_and_the_smallest_leaves_first():
    host = SimulatedHost(1)
    settle(host)
    flows = [
        Flow(i, host.balancer.settings.service_types[0], key, host.now + SECOND, grouped=True)
        for i, key in enumerate([1, 1, 1, 2], 1)
    ]
    for flow in flows:
        host.submit(flow)
        host.accept(flow)
    server = host.balancer.servers[7]
    assert occupancy(server) == 4 + 2 * GROUP_WORK
    assert host.balancer.migration.first_to_leave(server) is flows[3]
    unassign(flows[3], server)
    assert occupancy(server) == 3 + GROUP_WORK


def test_limit_is_dropped_on_a_clock_far_from_zero():
    host = SimulatedHost(1)
    assert host.balancer.limits.current(START * 10_000, host.balancer.servers[7]) == float("inf")


def test_limit_below_one_flow_keeps_a_fraction_of_flows_and_all_balancers_evict_the_same_keys():
    kept = []
    for _ in range(2):
        host = SimulatedHost(1, instances=2)
        balancer, server = host.balancer, host.balancer.servers[7]
        server.concurrency_limit, server.limit_cut_at = 0.5, host.now
        kept.append(
            {
                key
                for key in range(1, 201)
                if fits(
                    balancer.limits.current(host.now, server),
                    server,
                    Flow(key, service(), key, START),
                    0,
                    1,
                )
            }
        )
    assert kept[0] == kept[1]
    assert 70 < len(kept[0]) < 130


def test_limit_found_during_warm_up_grows_with_it():
    # Otherwise a server would be limited for its whole warm-up to the one group that it could hold
    # within the first two seconds.
    host = SimulatedHost(servers=3)
    limits = host.balancer.limits
    warming_up, warm = list(host.balancer.servers.values())[:2]
    warming_up.started_at = host.now
    for server in (warming_up, warm):
        limits.lower_to(host.now, server, 3.0)
    later = host.now + 10 * SECOND
    grown = limits.current(later, warm)
    assert 3 < grown < 5
    # It has warmed up from 0.2 to 0.6 of its capacity.
    assert limits.current(later, warming_up) == pytest.approx(3 * grown, rel=0.01)
    # A limit found after the warm-up grows like any other.
    warming_up.limit_cut_at = warming_up.started_at + 30 * SECOND
    assert limits.current(warming_up.limit_cut_at + SECOND, warming_up) < 3.2
