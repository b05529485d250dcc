"""SIGHUP makes the program read its configuration file again."""

import json
import signal

import pytest
from helpers import endpoint_entry
from program_helpers import DiscoveryServer, ServerDouble, endpoint_update, wait_until


@pytest.mark.parametrize("completed_by", ["file", "signal"])
def test_file_that_is_half_written_at_sighup_is_read_again(start_program, completed_by):
    drained, other = ServerDouble(), ServerDouble()
    program = start_program(drained, other)
    drain = endpoint_update(endpoint_entry("s-0", drained.address, "terminating"), generation=41)
    new_discovery = DiscoveryServer(drain)
    complete = json.dumps(program.data | {"discovery": new_discovery.address})
    program.reload(complete[: len(complete) // 2])
    if completed_by == "signal":
        program.reload(complete)
    else:
        program.file.write_text(complete)  # no further signal
    wait_until(lambda: new_discovery.paths, 3)
    assert not drained.open_lines
    for number in range(8):
        wait_until(lambda: program.logged("event=reload"))
        assert program.open(f"h{number}").read_line() == f"UP rh{number}"
    assert len(other.open_lines) + len(drained.open_lines) == 8
    assert "reload_failed" not in program.log.read_text()


def test_reload_of_a_file_that_stays_invalid_fails_and_is_logged_once(start_program):
    program = start_program(ServerDouble())
    program.reload("{")
    assert program.logged("event=reload_failed")
    assert program.log.read_text().count("reload_failed") == 1
    assert program.open("u1").read_line() == "UP ru1"


def test_sighup_and_sigterm_in_either_order_end_cleanly(start_program):
    for first, second in ((signal.SIGHUP, signal.SIGTERM), (signal.SIGTERM, signal.SIGHUP)):
        program = start_program(ServerDouble())
        client = program.open("x1")
        assert client.read_line() == "UP rx1"
        program.process.send_signal(first)
        program.process.send_signal(second)
        assert client.read_line() == "MOVE"
        assert program.process.wait(5) == 0
