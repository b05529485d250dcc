"""Tests of the lab's clients: their arrivals and their reaction to a rejection."""

import pytest
from lab_helpers import small_experiment

from cypresswalk.lab.clients import Client, ClientPopulation
from cypresswalk.lab.experiment import Clients
from cypresswalk.lab.units import MILLISECOND, SECOND

SEED = 7
BURST = 300
WAITING = {"habit": "wait", "retries": 2, "wait_ms": [10, 20]}
RETRY_AFTER = 5 * SECOND


def drawn_clients(population: ClientPopulation) -> set[tuple]:
    """Return the properties drawn for each client."""
    return {
        (client.number, client.arrives_at, client.lifetime, client.group, client.type.name)
        for client in population.all()
    }


def test_a_seed_draws_the_same_clients_with_a_burst_as_without():
    plain = ClientPopulation(small_experiment(), SEED)
    burst = {"kind": "burst", "at_s": 1, "amount": BURST}
    with_burst = ClientPopulation(small_experiment(trouble=[burst]), SEED)
    assert drawn_clients(plain) < drawn_clients(with_burst)
    assert len(with_burst.all()) == len(drawn_clients(plain)) + BURST
    assert sum(client.arrives_at == SECOND for client in with_burst.all()) >= BURST


def test_another_seed_draws_other_clients():
    arrivals = [
        [client.arrives_at for client in ClientPopulation(small_experiment(), seed).all()]
        for seed in (SEED, SEED + 1)
    ]
    assert arrivals[0] != arrivals[1]


def test_clients_arrive_at_the_rate_of_the_experiment_file():
    experiment = small_experiment(seconds=100)
    counts = [len(ClientPopulation(experiment, seed).all()) for seed in range(5)]
    assert 9 < sum(counts) / 5 / 100 < 11


@pytest.fixture
def client() -> Client:
    """Return a client that retries twice, each time after a wait."""
    return ClientPopulation(small_experiment(clients=WAITING), 1).client(0, 0)


@pytest.fixture
def behaviour() -> Clients:
    """Return the configured behaviour of that client."""
    return small_experiment(clients=WAITING).clients


def test_a_client_waits_for_retry_after_or_its_own_delay_and_stops_retrying(client, behaviour):
    assert client.delay_after_rejection(behaviour, RETRY_AFTER) == RETRY_AFTER
    own_delay = client.delay_after_rejection(behaviour, None)
    assert 10 * MILLISECOND <= own_delay <= 20 * MILLISECOND
    assert client.delay_after_rejection(behaviour, None) is None


def test_a_client_may_ignore_retry_after(client, behaviour):
    client.ignores_retry_after = True
    assert client.delay_after_rejection(behaviour, RETRY_AFTER) <= 20 * MILLISECOND


def test_a_client_that_lost_its_connection_may_retry_as_often_as_a_new_one(client, behaviour):
    client.delay_after_rejection(behaviour, None)
    assert client.delay_after_disconnect(behaviour) is not None
    assert client.rejections == 0
