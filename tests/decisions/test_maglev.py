"""Maglev tables."""

from helpers import SimulatedHost, entries, present

from cypresswalk.decisions.maglev import TABLE_SIZE, build_table


def test_losing_a_server_remaps_few_other_slots_and_weights_count():
    servers = entries(10)
    before, after = build_table(servers), build_table(servers[1:])
    moved = sum(a is not b for a, b in zip(before, after, strict=True) if a is not servers[0])
    assert moved < 0.1 * TABLE_SIZE
    servers[0].weight = 3.0
    table = build_table(servers)
    assert 2.5 < table.count(servers[0]) / table.count(servers[1]) < 3.5


def test_instances_agree_on_the_server_of_a_key_whatever_their_seed():
    hosts = [SimulatedHost(6, instances=3) for _ in range(3)]
    for key in range(1, 40):
        flows = [host.arrive(key=key) for host in hosts]
        assert len({present(flow.server).id for flow in flows}) == 1
        for host, flow in zip(hosts, flows, strict=True):
            host.accept(flow)
