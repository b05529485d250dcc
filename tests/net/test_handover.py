"""The handover between two processes of one balancer, step by step."""

import json

import pytest
from core_helpers import CoreHarness, reply_of
from handover_helpers import HandoverProcess, MessageChannel, start_upgraded_pair
from helpers import endpoint_entry

from cypresswalk.model import SECOND, ServerState
from cypresswalk.net.lifecycle import Phase

ERROR = b"ERR\r\n"


def test_predecessor_serves_until_stopped_and_then_the_successor_with_its_state():
    predecessor = HandoverProcess()
    predecessor.establish(6)
    assert predecessor.run_command("set-down", "s-0") == "OK"
    overloaded = predecessor.server("s-1")
    predecessor.core.balancer.on_gossip(predecessor.now, overloaded, 2.0)
    predecessor.core.balancer.limits.lower_to(predecessor.now, overloaded, 3.0)
    successor = HandoverProcess(predecessor)
    assert successor.run_command("check") == "ERR"  # it has no state yet
    successor.exchange_all()
    assert successor.run_command("check") == predecessor.run_command("check") == "OK"
    assert predecessor.accepting
    assert not successor.accepting
    assert not successor.core.lifecycle.ready  # clients still connect to the predecessor
    predecessor.stop()
    assert predecessor.accepting  # until the successor confirms that it accepts
    successor.exchange_all()
    assert not predecessor.accepting
    assert successor.accepting
    assert successor.core.lifecycle.ready
    assert predecessor.core.lifecycle.ready  # the common address is served by the successor
    assert successor.server("s-0").out_of_rotation
    assert successor.server("s-1").load == 2
    assert successor.server("s-1").concurrency_limit == overloaded.concurrency_limit == 3
    repeated = successor.open(3)  # an id of a flow that the predecessor served
    assert successor.drivers.answers[repeated] == ERROR
    used = [attempt.server for attempt in successor.establish(9, first=20)]
    assert successor.server("s-0") not in used
    predecessor.pass_time(2 * SECOND)
    assert predecessor.core.lifecycle.stopped
    assert len(predecessor.drivers.migrated) == 6


def test_state_with_a_server_below_its_zero_load_is_taken_over():
    # A server that reports little load has a negative one; the successor then refused the whole
    # state, and a server taken out by hand got flows again.
    predecessor = HandoverProcess()
    assert predecessor.run_command("set-down", "s-0") == "OK"
    predecessor.core.balancer.overload.on_utilization(
        predecessor.now, predecessor.server("s-1"), 0.3
    )
    successor = HandoverProcess(predecessor)
    successor.exchange_all()
    predecessor.stop()
    successor.exchange_all()
    assert successor.server("s-0").out_of_rotation
    assert successor.server("s-1").load == predecessor.server("s-1").load < 0


def test_both_processes_together_hold_no_more_sessions_than_the_limit_of_one():
    predecessor = HandoverProcess(sockets=64)
    max_flows = predecessor.core.limits.max_flows
    predecessor.establish(max_flows)
    successor = HandoverProcess(predecessor, sockets=64)
    successor.exchange_all()
    predecessor.stop()
    successor.exchange_all()
    held = len(predecessor.core.sessions)
    assert len(successor.establish(40, first=100)) == max_flows - held < max_flows
    for step in range(20):
        predecessor.pass_time(SECOND // 10)
        successor.pass_time(SECOND // 10)
        successor.exchange_all()
        successor.establish(3, first=1000 + 3 * step)
        assert len(predecessor.core.sessions) + len(successor.core.sessions) <= max_flows
    assert predecessor.core.lifecycle.stopped
    assert len(successor.core.sessions) == max_flows


@pytest.mark.parametrize("caller", ["predecessor", "successor"])
@pytest.mark.parametrize("stopped", [False, True])
def test_command_while_both_run_takes_effect_in_both_before_its_ok(caller, stopped):
    predecessor, successor = start_upgraded_pair()
    called = predecessor if caller == "predecessor" else successor
    if stopped:
        predecessor.stop()
        successor.exchange_all()
    calls = [called.call("set-down", "s-1"), called.call("drain-on")]
    assert [reply_of(call) for call in calls] == [None, None]
    successor.exchange_all()
    assert [reply_of(call) for call in calls] == ["OK", "OK"]
    assert predecessor.server("s-1").out_of_rotation
    assert successor.server("s-1").out_of_rotation
    assert not successor.core.lifecycle.ready
    unknown = called.call("set-down", "s-9")
    successor.exchange_all()
    assert reply_of(unknown) == "ERR"
    # A server that only one process's list names so far is taken out of rotation in both.
    predecessor.update_endpoints(endpoint_entry("s-7"))
    known = called.call("set-down", "s-7")
    successor.exchange_all()
    assert reply_of(known) == "OK"
    assert predecessor.server("s-7").out_of_rotation
    assert successor.server("s-7").out_of_rotation


def test_command_at_the_successor_while_a_state_is_in_transit_takes_effect_in_both():
    """The predecessor sends its state when the successor connects, and again when it hands over."""
    new_predecessor = HandoverProcess()
    new_successor = HandoverProcess(new_predecessor)
    stopped_predecessor, taking_over = start_upgraded_pair()
    stopped_predecessor.stop()
    lost = []
    for successor, state in ((new_successor, "first state"), (taking_over, "state at handover")):
        assert successor.is_receiving_state()
        call = successor.call("set-down", "s-0")
        successor.exchange_all()
        assert reply_of(call) == "OK"
        if not successor.server("s-0").out_of_rotation:
            lost.append(state)
    assert new_predecessor.server("s-0").out_of_rotation
    assert stopped_predecessor.server("s-0").out_of_rotation
    assert lost == []
    call = new_successor.call("drain-on")
    new_successor.exchange_all()
    assert reply_of(call) == "OK"


def test_unconfirmed_command_gets_err_after_a_timeout_and_ok_when_the_peer_ends():
    predecessor, _ = start_upgraded_pair()
    unconfirmed = predecessor.call("set-down", "s-1")
    predecessor.pass_time(SECOND)
    assert reply_of(unconfirmed) == "ERR"
    pending = predecessor.call("set-up", "s-1")
    predecessor.lose_peer()
    assert reply_of(pending) == "OK"
    assert predecessor.accepting


@pytest.mark.parametrize("name", ["set-down", "drain-on"])
def test_command_that_is_confirmed_late_is_not_undone_by_a_state_in_transit(name):
    # Half a second after a command the operator is told that it is not confirmed. The process must
    # still keep it: the predecessor's state, written before the command, would otherwise undo it.
    predecessor = HandoverProcess()
    successor = HandoverProcess(predecessor)
    assert successor.is_receiving_state()
    command = (name, "s-0") if name == "set-down" else (name,)
    call = successor.call(*command)
    successor.pass_time(SECOND)
    assert reply_of(call) == "ERR"  # applied here, not confirmed by the predecessor
    successor.exchange_all()
    assert reply_of(call) is None  # no second reply
    for process in (predecessor, successor):
        if name == "set-down":
            assert process.server("s-0").out_of_rotation
        else:
            assert process.core.lifecycle.drained


def upgraded_at_second_attempt() -> tuple[HandoverProcess, HandoverProcess]:
    """Return a process and its second successor; the first ended before it accepted clients."""
    predecessor, _ = start_upgraded_pair()
    predecessor.lose_peer()
    successor = HandoverProcess(predecessor)
    successor.exchange_all()
    return predecessor, successor


def successor_of_a_killed_process() -> HandoverProcess:
    """Return a successor with s-2 out of rotation whose predecessor was killed before its stop."""
    predecessor, successor = upgraded_at_second_attempt()
    predecessor.call("set-down", "s-2")
    successor.exchange_all()
    successor.lose_peer()
    return successor


def test_predecessor_keeps_serving_if_its_successor_ends_before_it_accepts():
    predecessor, _ = start_upgraded_pair()
    predecessor.lose_peer()
    assert predecessor.accepting
    assert predecessor.core.lifecycle.ready


def test_successor_serves_with_its_confirmed_commands_if_its_predecessor_is_killed():
    predecessor, successor = upgraded_at_second_attempt()
    assert predecessor.run_command("set-down", "s-2") is None
    successor.exchange_all()
    successor.lose_peer()  # the predecessor was not stopped before
    assert successor.accepting
    assert successor.core.lifecycle.ready
    assert successor.server("s-2").out_of_rotation


def test_second_upgrade_right_after_the_first_hands_over_the_state():
    second = successor_of_a_killed_process()
    third = HandoverProcess(second)
    third.exchange_all()
    assert third.server("s-2").out_of_rotation


def test_stopped_predecessor_accepts_clients_again_if_its_successor_is_killed():
    second = successor_of_a_killed_process()
    third = HandoverProcess(second)
    third.exchange_all()
    second.stop()
    third.exchange_all()
    second.lose_peer()  # only a live successor accepts in its place
    assert second.accepting


def test_each_successor_is_sent_the_number_of_its_predecessors_sessions():
    # The second successor would count none, and both together could exceed the limit of one.
    predecessor = HandoverProcess()
    predecessor.establish(5)
    first = HandoverProcess(predecessor)
    first.exchange_all()
    predecessor.stop()
    first.exchange_all()
    assert first.handover.peer_sessions == 5
    predecessor.lose_peer()
    second = HandoverProcess(predecessor)
    second.exchange_all()
    assert predecessor.handover.replaced
    assert second.handover.peer_sessions == 5


def test_third_process_is_refused_by_both():
    predecessor = HandoverProcess()
    successor = HandoverProcess(predecessor)
    for process in (predecessor, successor):
        third = MessageChannel(process).reverse
        process.deliver(process.handover.on_hello, third)
        assert "refused" in json.loads(third.sent[0])
        assert third.closed


def test_process_drained_by_an_operator_stays_drained_after_an_upgrade():
    predecessor = HandoverProcess()
    predecessor.call("drain-on")
    successor = HandoverProcess(predecessor)
    successor.exchange_all()
    predecessor.stop()
    successor.exchange_all()
    assert successor.core.lifecycle.phase is Phase.DRAINED
    assert not successor.core.lifecycle.ready
    assert successor.run_command("drain-off") is None
    successor.exchange_all()
    assert successor.core.lifecycle.ready


def test_predecessor_keeps_no_slow_start_budget_after_the_handover():
    predecessor = HandoverProcess()
    warming_up = predecessor.server("s-0")
    warming_up.started_at = predecessor.now
    warming_up.health = 4
    predecessor.core.balancer.on_servers_restored(predecessor.now)
    successor = HandoverProcess(predecessor)
    successor.exchange_all()
    predecessor.stop()
    successor.exchange_all()
    predecessor.establish(40)
    used = [attempt.server for attempt in predecessor.drivers.attempts]
    assert warming_up not in used


def test_successor_refuses_ids_whose_connections_are_open_at_its_predecessor():
    # It was told of the latest 8,192 ids only, and served bad clients with the id of an older
    # connection that the predecessor still held.
    predecessor = HandoverProcess()
    standing = predecessor.establish(1, first=1)[0].session
    for attempt in predecessor.establish(predecessor.core.limits.max_remembered_flows + 1, 100):
        predecessor.deliver(predecessor.core.on_client_left, attempt.session)
    successor = HandoverProcess(predecessor)
    successor.exchange_all()
    predecessor.stop()
    successor.exchange_all()
    assert standing in predecessor.core.sessions.values()
    assert successor.drivers.answers[successor.open(1)] == ERROR
    successor.lose_peer()
    assert successor.drivers.answers[successor.open(1)] == ERROR


def states(process: CoreHarness) -> tuple[ServerState, ServerState]:
    """Return the states of s-0 and s-1."""
    return process.server("s-0").state, process.server("s-1").state


@pytest.mark.parametrize(
    "successor_version, expected",
    [
        (4, (ServerState.GONE, ServerState.DRAINING)),
        (6, (ServerState.READY, ServerState.READY)),
    ],
    ids=["older list", "newer list"],
)
def test_newer_of_the_two_endpoint_lists_is_used(successor_version, expected):
    predecessor = HandoverProcess()
    predecessor.update_endpoints(
        endpoint_entry("s-0", lifecycle="terminated"),
        endpoint_entry("s-1", lifecycle="terminating"),
        generation=5,
    )
    predecessor.process_drivers.list_version = 5
    successor = HandoverProcess(predecessor)
    successor.process_drivers.list_version = successor_version
    successor.exchange_all()
    assert states(successor) == expected
