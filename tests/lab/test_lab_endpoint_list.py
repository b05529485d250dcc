"""Tests of the lab's endpoint list, list agents and edge load balancer, without sockets."""

from random import Random

import pytest
from lab_helpers import small_experiment

from cypresswalk.lab.edge import EdgeLoadBalancer
from cypresswalk.lab.endpoint_list import EndpointList, ListAgent, initial_list
from cypresswalk.lab.servers import ServerState, build_servers


@pytest.fixture
def endpoint_list() -> EndpointList:
    """Return a list of two servers, one of which drains and then terminates."""
    changes = EndpointList()
    changes.add("s-0", ServerState.IN_SERVICE, 0)
    changes.add("s-1", ServerState.IN_SERVICE, 0)
    changes.add("s-0", ServerState.DRAINING, 0)
    changes.add("s-0", ServerState.TERMINATED, 0)
    return changes


@pytest.fixture
def agent(endpoint_list: EndpointList) -> ListAgent:
    """Return an agent that has both servers, but not yet the drain of one."""
    return ListAgent(endpoint_list, small_experiment(), Random(1), 2)


def test_an_agent_accepts_versions_in_any_order(agent):
    assert not agent.receive(2)
    assert agent.receive(4)
    assert not agent.receive(3)


def test_an_agent_answers_with_the_changes_since_a_version(agent):
    assert agent.answer(2) == (False, [], 2)
    agent.receive(4)
    is_complete, entries, version = agent.answer(2)
    assert not is_complete
    assert [entry.state for entry in entries] == [ServerState.TERMINATED]
    assert version == 4


def test_an_agent_answers_with_the_complete_list_of_servers_that_run(agent):
    agent.receive(4)
    assert [entry.server for entry in agent.answer(0)[1]] == ["s-1"]
    assert agent.answer(9)[0]


def test_an_agent_that_is_behind_answers_a_newer_version_with_its_complete_list(agent):
    is_complete, entries, _ = agent.answer(4)
    assert is_complete
    assert [entry.server for entry in entries] == ["s-0", "s-1"]


def test_the_initial_list_has_all_servers():
    servers = build_servers(small_experiment(), 1)
    assert len(initial_list(list(servers.values())).changes) == 3


def test_the_edge_load_balancer_sends_no_client_to_a_balancer_marked_down():
    edge = EdgeLoadBalancer("a", ["b0", "b1"])
    assert edge.pick() is None
    edge.mark_up("b0")
    edge.mark_up("b1")
    assert {edge.pick() for _ in range(4)} == {"b0", "b1"}
    edge.mark_down("b0")
    assert {edge.pick() for _ in range(4)} == {"b1"}
