"""Servers that operators take out of rotation and return to it."""

from helpers import SimulatedHost

from cypresswalk.model import SECOND, EndpointUpdate, Server


def test_flows_at_a_server_out_of_rotation_migrate_within_two_seconds_and_not_all_at_once():
    host = SimulatedHost(servers=2)
    for _ in range(20):
        host.accept(host.arrive())
    server = max(host.balancer.servers.values(), key=lambda s: len(s.established_flows))
    held_before = len(server.established_flows)
    host.balancer.remove_from_rotation(host.now, server)
    host.carry_out_decisions()
    assert len(server.established_flows) >= held_before - 1 > 5
    host.pass_time(SECOND)
    assert 0 < len(server.established_flows) < held_before
    host.pass_time(2 * SECOND)
    assert not server.established_flows


def test_warming_server_that_returns_gets_a_first_flow_of_any_key_and_then_few_more():
    # A warming server is admitted few flows, and few of these have keys whose slots it owns.
    # Without the first flow, it might get none.
    host = SimulatedHost(servers=8)
    server = next(iter(host.balancer.servers.values()))
    host.balancer.remove_from_rotation(host.now, server)
    host.update_endpoints(EndpointUpdate.DELTA, [Server(id=server.id, started_at=host.now)])
    host.balancer.return_to_rotation(host.now, server)
    host.carry_out_decisions()
    host.answer_health_check(server, True)
    for _ in range(30):
        host.arrive()
    assert host.attempts[0][1] is server
    assert 1 <= sum(attempted is server for _, attempted in host.attempts) <= 3
