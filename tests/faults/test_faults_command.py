"""`cypresswalk faults`, the command that runs the fault proxy."""

import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest
from fault_helpers import connect, echo_server, read_to_end

CUT_TWO_CONNECTIONS = """
[[fault]]
kind = "cut"
connection = [1, 9]
direction = "up"
at = 4
"""
RECORD_OF_CUT = '{"connection":1,"direction":"up","at":4,"kind":"cut"}\n'
END_TIMEOUT_S = 10


class FaultsCommand:
    """The running command, with an echo server as target, a plan and a record file.

    Attributes:
        target: address of the echo server.
        port: port on which the command listens.
        process: process of the command.
        record: path of its record file.
    """

    def __init__(self, target: str, folder: Path) -> None:
        """Start the command, and wait until it listens."""
        self.target = target
        self.record = folder / "record"
        plan = folder / "plan.toml"
        plan.write_text(CUT_TWO_CONNECTIONS)
        self.process = subprocess.Popen(
            [*self.arguments("127.0.0.1:0"), "--plan", plan, "--record", self.record],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        assert self.process.stderr is not None
        self.port = int(self.process.stderr.readline().rpartition(":")[2])

    def arguments(self, listen: str) -> list[str]:
        """Return the command line to listen on an address."""
        command = [sys.executable, "-m", "cypresswalk", "faults"]
        return [*command, "--listen", listen, "--to", self.target]


@pytest.fixture
def faults_command(tmp_path: Path) -> Iterator[FaultsCommand]:
    """Yield a command that runs until the test ends."""
    with echo_server() as (host, port):
        command = FaultsCommand(f"{host}:{port}", tmp_path)
        yield command
        command.process.kill()
        command.process.communicate()


def test_the_command_prints_injected_faults_and_names_those_never_reached(faults_command):
    sock = connect(("127.0.0.1", faults_command.port))
    sock.sendall(b"abcdef")
    assert read_to_end(sock)[1] == "reset"
    faults_command.process.send_signal(2)
    printed, errors = faults_command.process.communicate(timeout=END_TIMEOUT_S)
    assert printed == RECORD_OF_CUT
    assert faults_command.record.read_text() == RECORD_OF_CUT
    assert (
        errors == "cut at 4 not injected into connection 9: only connections up to 1 were opened\n"
    )
    assert faults_command.process.returncode == 0


def test_a_listen_address_in_use_is_rejected_with_one_line(faults_command):
    taken = f"127.0.0.1:{faults_command.port}"
    arguments = faults_command.arguments(taken)
    run = subprocess.run(arguments, capture_output=True, text=True)
    assert run.returncode == 2
    assert run.stderr.startswith(f"--listen {taken}: ")
    assert run.stderr.count("\n") == 1
