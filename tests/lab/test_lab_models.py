"""The lab's endpoint list, edge load balancer, clients and metrics, without sockets."""

from random import Random

from lab_helpers import small

from cypresswalk.lab import report
from cypresswalk.lab.clients import ClientPopulation
from cypresswalk.lab.edge import EdgeLoadBalancer
from cypresswalk.lab.endpoint_list import EndpointList, ListAgent, initial_list
from cypresswalk.lab.metrics import EstablishedConnection, add_span, served_spans
from cypresswalk.lab.servers import ServerState, build_servers
from cypresswalk.lab.units import MILLISECOND, SECOND


def test_a_list_agent_answers_with_the_changes_that_arrived_and_an_older_agent_with_fewer():
    experiment = small()
    listing = EndpointList()
    listing.add("s-0", ServerState.IN_SERVICE, 0)
    listing.add("s-1", ServerState.IN_SERVICE, 0)
    agent = ListAgent(listing, experiment, Random(1), 2)
    drained = listing.add("s-0", ServerState.DRAINING, 0)
    gone = listing.add("s-0", ServerState.TERMINATED, 0)
    assert agent.answer(2) == (False, [], 2) and not agent.learn(2)
    assert agent.learn(gone) and not agent.learn(drained)  # late ones come in any order
    whole, entries, version = agent.answer(2)
    assert (whole, [e.state for e in entries], version) == (False, [ServerState.TERMINATED], 4)
    assert [e.server for e in agent.answer(0)[1]] == ["s-1"] and agent.answer(9)[0]
    older = ListAgent(listing, experiment, Random(1), 2)
    assert [e.server for e in older.answer(4)[1]] == ["s-0", "s-1"] and older.answer(4)[0]
    assert len(initial_list(list(build_servers(experiment, 1).values())).changes) == 3


def test_the_edge_load_balancer_sends_no_client_to_a_balancer_marked_down():
    front = EdgeLoadBalancer("a", ["b0", "b1"])
    assert front.pick() is None
    front.mark_up("b0")
    front.mark_up("b1")
    assert {front.pick() for _ in range(4)} == {"b0", "b1"}
    front.mark_down("b0")
    assert {front.pick() for _ in range(4)} == {"b1"}


def test_a_seed_draws_the_same_clients_whatever_else_is_in_the_file():
    plain, burst = (
        ClientPopulation(small(), 7),
        ClientPopulation(small(trouble=[{"kind": "burst", "at_s": 1, "amount": 300}]), 7),
    )
    alike = {(p.number, p.arrives_at, p.lifetime, p.group, p.type.name) for p in plain.all()}
    assert alike < {(p.number, p.arrives_at, p.lifetime, p.group, p.type.name) for p in burst.all()}
    assert (
        len(burst.all()) == len(alike) + 300
        and sum(p.arrives_at == SECOND for p in burst.all()) >= 300
    )
    assert [p.arrives_at for p in ClientPopulation(small(), 8).all()] != [
        p.arrives_at for p in plain.all()
    ]
    rates = [len(ClientPopulation(small(seconds=100), seed).all()) / 100 for seed in range(5)]
    assert 9 < sum(rates) / 5 < 11


def test_clients_heed_or_ignore_retry_after_and_stop_retrying():
    wait = {"habit": "wait", "retries": 2, "wait_ms": [10, 20]}
    person = ClientPopulation(small(clients=wait), 1).client(0, 0)
    habits = small(clients=wait).clients
    assert person.delay_after_rejection(habits, 5 * SECOND) == 5 * SECOND
    assert 10 * MILLISECOND <= person.delay_after_rejection(habits, None) <= 20 * MILLISECOND
    assert person.delay_after_rejection(habits, None) is None
    person.rejections, person.ignores_retry_after = 0, True
    assert person.delay_after_rejection(habits, 5 * SECOND) <= 20 * MILLISECOND
    assert person.delay_after_disconnect(habits) is not None and person.rejections == 0


def test_service_counts_only_what_came_back_in_time():
    stand = EstablishedConnection(
        0, 5 * SECOND, [(SECOND, 5.0), (2 * SECOND, 900.0), (3 * SECOND, 5.0)]
    )
    assert served_spans(stand, 10 * SECOND, 100, 500) == [
        (0, SECOND),
        (2 * SECOND, 3 * SECOND),
        (3 * SECOND, 4_100_000_000),
    ]
    assert served_spans(EstablishedConnection(0, 9 * SECOND), 9 * SECOND, 100, 500) == [
        (0, 1_100_000_000)
    ]  # silent ever since
    into = [0.0] * 3
    add_span(into, SECOND // 2, int(2.25 * SECOND), 2.0)
    assert into == [1.0, 2.0, 0.5]


def test_a_difference_counts_only_if_all_of_five_seeds_agree():
    def days(values):
        return [{"seed": seed, "v": v} for seed, v in enumerate(values)]

    base, of = days([1, 2, 3, 4, 5]), lambda s: s["v"]
    assert report.difference(base, days([2, 3, 4, 5, 6]), of, 1) == "better"
    assert report.difference(base, days([2, 3, 4, 5, 6]), of, -1) == "worse"
    assert report.difference(base, days([2, 3, 4, 5, 4]), of, 1) == "within the spread"
    assert report.difference(base[:3], days([2, 3, 4]), of, 1) == "too few repeats"
    assert report.difference(base, base, of, 1) == "the same"
