"""Tests of the lab's simulated servers, without sockets."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from lab_helpers import SERVER_GROUP, simulated_server

from cypresswalk.lab.servers import Reply, ServerState, SimulatedServer
from cypresswalk.lab.units import MILLISECOND, SECOND

WARM_CAPACITY = 20


def open_reply(server: SimulatedServer, number: int = 1, load: float = 1.0) -> Reply:
    """Return the server's reply to a new connection."""
    return server.open(0, number, load, "")[0]


def echo_delay(server: SimulatedServer, now: int) -> int:
    """Return the echo delay of a server, which must answer."""
    delay = server.echo_delay(now)
    assert delay is not None
    return delay


def test_lines_wait_behind_a_backlog_that_grows_beyond_capacity_and_shrinks_again():
    server = simulated_server()
    for number in range(2 * WARM_CAPACITY):
        server.open(0, number, 1.0, "")
    idle, backlogged = echo_delay(server, 0), echo_delay(server, 2 * SECOND)
    assert backlogged > idle + 1.9 * SECOND
    for number in range(2 * WARM_CAPACITY):
        server.close(2 * SECOND, number)
    assert echo_delay(server, 6 * SECOND) < 2 * MILLISECOND


def test_a_group_adds_its_own_load_once_for_all_its_connections():
    server = simulated_server()
    server.open(0, 1, 1.0, "g")
    server.open(0, 2, 1.0, "g")
    assert server.demand() == 2 + SERVER_GROUP.group_work
    server.close(0, 1)
    server.close(0, 2)
    server.close(0, 2)
    assert server.demand() == 0


@pytest.fixture
def cold_server() -> SimulatedServer:
    """Return a server that started cold at one second."""
    server = simulated_server()
    server.start(SECOND, SECOND)
    return server


def test_a_cold_server_has_its_initial_fraction_of_capacity_and_warms_up(cold_server):
    assert cold_server.capacity(SECOND) == 5
    assert cold_server.capacity(6 * SECOND) == 12.5
    assert cold_server.capacity(11 * SECOND) == WARM_CAPACITY


def test_a_cold_server_is_overloaded_by_more_than_its_budget_within_the_window(cold_server):
    """The budget is factor 2 * capacity 5 * turnover 0.1 per second * window 2 s = load 2."""
    overloaded = []
    for number in range(3):
        cold_server.open(SECOND + number, number, 1.0, "")
        overloaded.append(cold_server.overloaded)
    assert overloaded == [False, False, True]


def test_a_cold_server_is_not_overloaded_by_as_much_over_a_longer_time(cold_server):
    for number in range(5):
        cold_server.open(SECOND + number * 2 * SECOND, number, 1.0, "")
    assert not cold_server.overloaded


@pytest.mark.parametrize(
    "faults, reply",
    [
        ({"hanging": True}, Reply.SILENT),
        ({"silent": True}, Reply.SILENT),
        ({"error_share": 1.0}, Reply.ERROR),
        ({"reset_share": 1.0}, Reply.RESET),
        ({"state": ServerState.DRAINING}, Reply.BUSY),
        ({"running": False}, Reply.RESET),
    ],
)
def test_each_injected_fault_shows_in_the_servers_reply(faults, reply):
    assert open_reply(simulated_server(**faults)) is reply


def test_a_hanging_server_passes_health_checks_and_echoes_nothing():
    server = simulated_server(hanging=True)
    assert server.health_check_delay(0) is not None
    assert server.echo_delay(0) is None


def test_a_silent_server_answers_no_health_check():
    assert simulated_server(silent=True).health_check_delay(0) is None


def test_a_slow_server_and_one_with_a_neighbour_have_less_capacity():
    assert simulated_server(slowness=4.0).capacity(0) == 5
    assert simulated_server(stolen_share=0.5).capacity(0) == 10


def test_a_full_server_is_busy():
    server = simulated_server()
    replies = [open_reply(server, number, load=0.01) for number in range(51)]
    assert replies[-2:] == [Reply.UP, Reply.BUSY]


def test_a_server_far_beyond_capacity_drops_its_newest_connection():
    server = simulated_server()
    for number in range(45):
        server.open(number, number, 1.0, "")
    assert server.connection_to_drop(10) is None
    assert server.connection_to_drop(5 * SECOND) == 44


def assert_totals_match_connections(server: SimulatedServer) -> None:
    """Assert that load and groups match the open connections and the backlog is not negative."""
    connections = server.connections.values()
    assert abs(server.connection_load - sum(found.load for found in connections)) < 1e-9
    assert sum(server.groups.values()) == sum(bool(found.group) for found in connections)
    assert server.backlog_s >= 0


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 5), st.integers(0, 10**9), st.integers(0, 9)), max_size=60)
)
def test_a_servers_load_and_groups_match_its_connections(steps):
    server, now = simulated_server(), 0
    for action, wait, number in steps:
        now += wait
        if action < 3 and number not in server.connections:
            group = f"g{number % 3}" if number % 2 else ""
            server.open(now, number, 1 + number / 10, group)
        elif action == 3:
            server.close(now, number)
        elif action == 4:
            server.health_check_delay(now)
        else:
            assert echo_delay(server, now) >= 0
        assert_totals_match_connections(server)
