"""Placement: which server a flow goes to."""

from decision_helpers import establish_flows, settle
from helpers import SimulatedHost

from cypresswalk.decisions import placement
from cypresswalk.decisions.balancer import JOIN_PAUSE_PER_SERVER
from cypresswalk.decisions.health import LARGE_FLEET, RISE
from cypresswalk.decisions.maglev import build_table
from cypresswalk.model import SECOND, EndpointUpdate, Server


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


def test_servers_that_come_up_in_a_large_fleet_join_together_and_ones_that_go_down_leave_at_once(
    monkeypatch,
):
    # While 1,200 servers joined within seconds, the tables were built anew at each flow.
    built = []

    def count_and_build(servers):
        built.append(len(servers))
        return build_table(servers)

    monkeypatch.setattr(placement, "build_table", count_and_build)
    host = SimulatedHost(2 * LARGE_FLEET)
    balancer = host.balancer
    new = [Server(5 + 13 * i) for i in range(60)]
    host.update_endpoints(EndpointUpdate.DELTA, new)
    host.arrive()
    built.clear()
    began = host.now
    for server in new:
        host.now += SECOND // 1000
        balancer.on_health_check_result(host.now, server, True, None)
        host.arrive()
    pause = (len(balancer.servers) - LARGE_FLEET) * JOIN_PAUSE_PER_SERVER
    assert 1 <= len(built) <= (host.now - began) // pause + 1
    host.now += pause
    host.arrive()
    assert all(balancer.placement.is_placeable(server) for server in new)
    new[0].health = RISE
    balancer.on_health_check_result(host.now, new[0], False, None)
    assert not balancer.placement.is_placeable(new[0])
