"""Placement: which server a flow goes to."""

from decision_helpers import establish_flows, settle
from helpers import SimulatedHost

from cypresswalk.model import SECOND


def test_hot_key_spills_over_to_other_servers():
    host = SimulatedHost(4)
    settle(host)
    establish_flows(host, 40, key=5)
    counts = [len(server.established_flows) for server in host.balancer.servers.values()]
    assert max(counts) <= 14


def test_group_stays_on_three_servers_while_servers_are_overloaded_in_turn():
    # With many balancers, groups were on most servers, and each copy costs the group's own work.
    host = SimulatedHost(12)
    settle(host)
    servers = list(host.balancer.servers.values())
    for turn in range(36):
        for server in servers[turn % 2 :: 2]:
            server.load, server.load_reported_at = 0.9, host.now
        establish_flows(host, 1, key=5, grouped=True)
        host.pass_time(SECOND // 2)
    assert sum(bool(server.established_flows) for server in servers) <= 3


def test_server_over_the_mean_is_no_reason_to_cross_zones():
    host = SimulatedHost(4, zone_crossing_price=0.2, instances=1)
    settle(host)
    establish_flows(host, 60, key=5)
    assert all(
        server.zone == 0 for server in host.balancer.servers.values() if server.established_flows
    )
