"""Operators' commands at the core: servers out of rotation, drains, metrics."""

import json

from core_helpers import CoreHarness
from helpers import endpoint_entry

from cypresswalk.model import SECOND, Outcome
from cypresswalk.net.lifecycle import Phase
from cypresswalk.net.parsers.admin_commands import AdminCommand

BUSY = b"BUSY\r\n"


def pass_health_checks(harness: CoreHarness) -> None:
    """Let every outstanding health check pass."""
    for server in list(harness.drivers.health_checks):
        harness.drivers.health_checks.remove(server)
        harness.deliver(harness.core.on_health_check_result, server, True, [])


def test_command_that_its_caller_gave_up_has_no_effect():
    harness = CoreHarness()
    command = AdminCommand("drain-on")
    assert command.wait_for_reply(1) is None
    harness.deliver(harness.core.commands.on_command, command)
    assert harness.core.lifecycle.ready
    assert command.answers.empty()


def test_server_out_of_rotation_gets_no_flows_until_it_returns_whatever_the_list_says():
    harness = CoreHarness(servers=3)
    server = harness.server("s-1")
    assert harness.run_command("set-down", "s-9") == "ERR"
    assert harness.run_command("set-down", "s-1") == "OK"
    assert harness.run_command("set-down", "s-1") == "OK"
    for state_of_server in ("in_service", "terminated", "in_service"):
        states = ["in_service", state_of_server, "in_service"]
        entries = [
            endpoint_entry(f"s-{i}", lifecycle=state, startedAtMs=7 * (state != "terminated"))
            for i, state in enumerate(states)
        ]
        harness.update_endpoints(*entries, reset=True)
        pass_health_checks(harness)
        attempts = harness.establish(12, first=len(harness.drivers.attempts))
        assert server not in [attempt.server for attempt in attempts]
        harness.pass_time(SECOND)
    assert harness.run_command("set-up", "s-1") == "OK"
    harness.pass_time(SECOND // 10)
    assert server in harness.drivers.health_checks  # without waiting for the next regular check
    harness.deliver(harness.core.on_health_check_result, server, True, [])
    assert harness.establish(1, first=100)[0].server is server


def test_balancer_with_all_servers_out_of_rotation_rejects_flows_and_is_not_ready():
    harness = CoreHarness(servers=2)
    assert {harness.run_command("set-down", f"s-{i}") for i in range(2)} == {"OK"}
    assert harness.run_command("check") == "ERR"
    assert harness.drivers.answers[harness.open(1)] == BUSY
    assert not harness.core.lifecycle.ready
    assert harness.run_command("set-up", "s-0") == "OK"
    assert harness.run_command("check") == "OK"


def test_attempt_that_is_still_connecting_is_cancelled_and_its_flow_goes_elsewhere():
    # Otherwise the server would get a first line after the operator's OK.
    harness = CoreHarness(servers=3)
    sessions = [harness.open(number) for number in range(6)]
    attempts = [harness.drivers.pending[session] for session in sessions]
    server = attempts[0].server
    at_server = [attempt for attempt in attempts if attempt.server is server]
    harness.drivers.dialing = {at_server[0]}
    assert len(at_server) > 1
    harness.run_command("set-down", harness.decoder.names[server.id])
    attempts_now = [harness.drivers.pending[session] for session in sessions]
    assert at_server[0] not in attempts_now
    assert [attempt for attempt in attempts_now if attempt.server is server] == at_server[1:]
    assert not server.consecutive_failures


def test_drained_process_migrates_all_well_within_four_seconds_and_serves_after_drain_off():
    harness = CoreHarness()
    harness.establish(10)
    assert harness.run_command("drain-on") == "OK"
    assert not harness.core.lifecycle.ready
    assert harness.run_command("check") == "ERR"
    harness.pass_time(SECOND * 3 // 10)
    assert not harness.drivers.migrated
    # The edge load balancer does not know yet that the process is not ready.
    assert harness.establish(1, first=10)
    # Repeating the command does not delay the end of the drain.
    assert harness.run_command("drain-on") == "OK"
    harness.pass_time(SECOND * 6 // 10)
    assert 0 < len(harness.drivers.migrated) < 9
    harness.pass_time(SECOND * 22 // 10)
    assert len(harness.drivers.migrated) == 11
    assert not harness.core.sessions
    assert not harness.core.lifecycle.stopped
    assert harness.drivers.answers[harness.open(11)] == BUSY
    assert harness.run_command("drain-off") == "OK"
    assert harness.run_command("check") == "OK"
    assert harness.establish(2, first=12)
    harness.pass_time(5 * SECOND)
    assert len(harness.drivers.migrated) == 11


def test_drain_ended_midway_migrates_no_more_and_a_stop_overrides_a_drain():
    harness = CoreHarness()
    harness.establish(10)
    harness.run_command("drain-on")
    harness.pass_time(SECOND * 15 // 10)
    harness.run_command("drain-off")
    migrated = len(harness.drivers.migrated)
    harness.pass_time(5 * SECOND)
    assert 0 < migrated == len(harness.drivers.migrated) < 10
    harness.run_command("drain-on")
    harness.deliver(harness.core.lifecycle.stop)
    assert harness.run_command("drain-off") == "ERR"
    assert harness.core.lifecycle.phase is Phase.LEAVING
    harness.pass_time(2 * SECOND)
    assert len(harness.drivers.migrated) == 10
    assert harness.core.lifecycle.stopped


def test_each_connection_is_counted_once_by_outcome_and_unused_types_count_zero():
    harness = CoreHarness(servers=2)
    attempts = harness.establish(3)
    harness.deliver(harness.core.on_attempt_ended, attempts[0], Outcome.OK)
    failed = harness.open(7, "c=book,t=north,d=900")
    failed_attempt = harness.drivers.pending.pop(failed)
    harness.deliver(harness.core.on_attempt_ended, failed_attempt, Outcome.ERROR)
    harness.open(8, "c=none,t=north,d=900")
    harness.run_command("set-down", "s-0")
    answer = harness.call("vars").answers.get_nowait().decode()
    text, end = answer.split("\r\n")[:2]
    metrics = json.loads(text)
    assert end == "END"
    assert metrics["fulfilled"] == {"view": 3, "book": 0}
    assert metrics["faulted"] == {"view": 0, "book": 1}
    assert metrics["throttled"] == {"view": 0, "book": 0}
    assert metrics["open_requests"] == 2
    assert metrics["registry_entries"] == 2
    assert metrics["out_of_rotation"] == 1
