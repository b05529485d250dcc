"""The simulated servers of the lab, without sockets."""

from hypothesis import given, settings
from hypothesis import strategies as st
from lab_helpers import MACHINES, server

from cypresswalk.lab.servers import Reply, ServerState
from cypresswalk.lab.units import MILLISECOND, SECOND


def test_lines_wait_behind_the_backlog_that_grows_beyond_capacity_and_shrinks_again():
    s = server()
    for number in range(40):  # twice what 2 cores of 10 carry
        s.open(0, number, 1.0, "")
    idle, late = s.echo_delay(0), s.echo_delay(2 * SECOND)
    assert late > idle + 1.9 * SECOND
    for number in range(40):
        s.close(2 * SECOND, number)
    assert s.echo_delay(6 * SECOND) < 2 * MILLISECOND


def test_a_group_adds_its_own_load_once_for_all_its_connections():
    s = server()
    s.open(0, 1, 1.0, "g")
    s.open(0, 2, 1.0, "g")
    assert s.demand() == 2 + MACHINES.group_work
    s.close(0, 1)
    s.close(0, 2)
    s.close(0, 2)
    assert s.demand() == 0


def test_a_cold_server_has_its_initial_fraction_of_capacity_and_warms_up():
    s = server()
    s.start(SECOND, SECOND)
    assert (
        s.capacity(SECOND) == 5 and s.capacity(6 * SECOND) == 12.5 and s.capacity(11 * SECOND) == 20
    )
    # 2 * 5 loads * 0.1 a second * 2 s = 2 loads: the third within the rule's time topples it.
    assert [s.open(SECOND + n, n, 1.0, "") and s.overloaded for n in range(3)] == [
        False,
        False,
        True,
    ]
    s = server()
    s.start(SECOND, SECOND)
    for n in range(5):
        s.open(SECOND + n * 2 * SECOND, n, 1.0, "")
    assert not s.overloaded


def test_each_injected_fault_shows_in_the_servers_replies():
    assert server(hanging=True).open(0, 1, 1.0, "")[0] is Reply.SILENT
    assert (
        server(hanging=True).health_check_delay(0) is not None
        and server(hanging=True).echo_delay(0) is None
    )
    assert (
        server(silent=True).health_check_delay(0) is None
        and server(silent=True).open(0, 1, 1.0, "")[0] is Reply.SILENT
    )
    assert server(error_share=1.0).open(0, 1, 1.0, "")[0] is Reply.ERROR
    assert server(reset_share=1.0).open(0, 1, 1.0, "")[0] is Reply.RESET
    assert server(state=ServerState.DRAINING).open(0, 1, 1.0, "")[0] is Reply.BUSY
    assert server(running=False).open(0, 1, 1.0, "")[0] is Reply.RESET
    assert server(slowness=4.0).capacity(0) == 5 and server(stolen_share=0.5).capacity(0) == 10
    full = server()
    assert [full.open(0, n, 0.01, "")[0] for n in range(51)][-2:] == [Reply.UP, Reply.BUSY]
    drops = server()
    for n in range(45):
        drops.open(n, n, 1.0, "")
    assert drops.connection_to_drop(10) is None and drops.connection_to_drop(5 * SECOND) == 44


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 5), st.integers(0, 10**9), st.integers(0, 9)), max_size=60)
)
def test_a_servers_load_and_groups_match_its_connections(steps):
    s, now = server(), 0
    for what, wait, number in steps:
        now += wait
        if what < 3 and number not in s.connections:
            s.open(now, number, 1 + number / 10, f"g{number % 3}" if number % 2 else "")
        elif what == 3:
            s.close(now, number)
        elif what == 4:
            s.health_check_delay(now)
        else:
            assert s.echo_delay(now) >= 0
        assert abs(s.connection_load - sum(c.load for c in s.connections.values())) < 1e-9
        assert (
            sum(s.groups.values()) == sum(bool(c.group) for c in s.connections.values())
            and s.backlog_s >= 0
        )
