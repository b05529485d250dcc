"""Concurrency limits and what is migrated because of them."""

import pytest
from decision_helpers import fill, settle
from helpers import START, SimulatedHost, service

from cypresswalk.decisions.flow_table import unassign
from cypresswalk.decisions.limits import fits
from cypresswalk.decisions.occupancy import GROUP_WORK, occupancy
from cypresswalk.model import SECOND, Flow, Outcome


def test_congestion_is_relieved_by_migrating_and_rejecting_at_once():
    host = SimulatedHost(2)
    settle(host)
    fill(host, 40)
    for server in host.balancer.servers.values():
        host.balancer.on_message_delay(host.now, server, SECOND)
    host.pull()
    host.pass_time(SECOND // 2)
    held = sum(len(server.established_flows) for server in host.balancer.servers.values())
    assert held <= 36
    flows = [host.arrive() for _ in range(8)]
    assert sum(host.answers.get(flow.id) == "reject" for flow in flows) >= 6


def test_single_broken_connections_limit_no_server():
    # Guards against sound servers being limited, one after another, until flows are rejected all round.
    host = SimulatedHost(2, gossip=True, instances=2)
    settle(host)
    fill(host, 20)
    for _ in range(6):
        for server in host.balancer.servers.values():
            host.end(next(iter(server.established_flows)), Outcome.RESET)
        host.pass_time(8 * SECOND)
        fill(host, 2)
    assert (
        all(server.concurrency_limit == float("inf") for server in host.balancer.servers.values())
        and not host.gossip
    )
    server = host.balancer.servers[7]
    host.balancer.on_message_delay(host.now, server, SECOND // 20)
    host.pass_time(3 * SECOND // 2)
    host.end(next(iter(server.established_flows)), Outcome.RESET)
    assert server.concurrency_limit < len(
        server.established_flows
    )  # strained, the first one counts


def test_overloaded_server_loses_a_few_flows_before_its_messages_are_late():
    # Guards against a few servers staying near their limit for good while others stand idle.
    host = SimulatedHost(3)
    settle(host)
    fill(host, 60)
    worn = host.balancer.servers[7]
    stood = len(worn.established_flows)
    for strain, most in ((0.4, stood), (0.6, stood - 1)):
        for _ in range(3):
            host.balancer.on_message_delay(host.now, worn, int(strain * SECOND / 10))
            host.pull()
            host.pass_time(SECOND)
        assert most - 5 < len(worn.established_flows) <= most and (
            strain > 0.5 or len(worn.established_flows) == stood
        )


def test_balancers_with_a_flow_each_relieve_a_late_server_step_by_step():
    # Seen with forty balancers of three flows: each cut its one flow there to the same part of a flow, second after
    # second, and two thirds of all stayed. While the delay falls the last step is at work: no further one.
    left = {0: 0, SECOND // 10: 0}
    for falls in left:
        for me in range(40):
            host = SimulatedHost(8, instances=40)
            settle(host)
            host.last_id = 1_000_000 * me
            while not (late := host.balancer.servers[7]).established_flows:
                host.accept(host.arrive(key=10 * me + host.last_id, grouped=True))
            for second in range(8):
                if late.established_flows:
                    host.balancer.on_message_delay(host.now, late, SECOND - falls * second)
                    host.pull()
                host.pass_time(SECOND)
            left[falls] += len(late.established_flows)
    assert left[0] <= 20 < 25 <= left[SECOND // 10]


def test_server_with_a_hopeless_delay_is_left_at_once():
    host = SimulatedHost(3)
    settle(host)
    fill(host, 30)
    hung = max(host.balancer.servers.values(), key=lambda server: len(server.established_flows))
    host.balancer.on_message_delay(host.now, hung, 20 * SECOND)
    host.pull()
    host.pass_time(SECOND)
    assert len(hung.established_flows) <= 1


def test_group_counts_once_a_server_and_the_smallest_leaves_first():
    host = SimulatedHost(1)
    settle(host)
    flows = [
        Flow(i, host.balancer.settings.service_types[0], key, host.now + SECOND, grouped=True)
        for i, key in enumerate([1, 1, 1, 2], 1)
    ]
    for flow in flows:
        host.open[flow.id], host.history[flow.id] = flow, []
        host.balancer.on_flow(host.now, flow)
        host.pull()
        host.accept(flow)
    server = host.balancer.servers[7]
    assert occupancy(server) == 4 + 2 * GROUP_WORK
    assert host.balancer.migration.first_to_leave(server) is flows[3]
    unassign(flows[3], server)
    assert occupancy(server) == 3 + GROUP_WORK


def test_limit_is_forgotten_on_a_clock_far_from_zero():
    host = SimulatedHost(1)
    assert host.balancer.limits.current(START * 10_000, host.balancer.servers[7]) == float("inf")


def test_limit_under_one_flow_keeps_its_part_and_all_balancers_yield_the_same_keys():
    kept = []
    for me in range(2):
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
    assert kept[0] == kept[1] and 70 < len(kept[0]) < 130


def test_limit_found_during_warm_up_grows_with_it():
    # Seen on operators' days: a server held for its whole warming the one group that it bore in its second second.
    host = SimulatedHost(servers=3)
    cold, warm = list(host.balancer.servers.values())[:2]
    cold.started_at = host.now
    for server in (cold, warm):
        host.balancer.limits.keep_at(host.now, server, 3.0)
    later = host.now + 10 * SECOND
    grown = host.balancer.limits.current(later, warm)
    assert 3 < grown < 5 and host.balancer.limits.current(later, cold) == pytest.approx(
        3 * grown, rel=0.01
    )  # 0.2 to 0.6 of it
    cold.limit_cut_at = cold.started_at + 30 * SECOND  # warm by then: as any other
    assert host.balancer.limits.current(cold.limit_cut_at + SECOND, cold) < 3.2
