"""Operator calls to a running program, over sockets."""

import json
import os
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from threading import Thread

import pytest
from helpers import config_data
from program_helpers import (
    END,
    PROGRAM,
    ROOT,
    LineConnection,
    OperatorClient,
    ProgramProcess,
    ServerDouble,
    StallingServer,
    admin_environment,
    free_port,
    is_readable,
    read_counter,
)

from cypresswalk.decisions.outliers import MAX_FAILURES

# Creates a program without running it; prints its admin listener and the loaded admin modules.
LOADED_MODULES = """
import os, sys
from cypresswalk.net.config import load
from cypresswalk.service import program

created = program.Program(load(dict(os.environ)))
print(created.admin, [m for m in sys.modules if m.endswith(("net.admin", "net.handover"))])
"""


@pytest.fixture
def start_with_admin(
    start_program: Callable[..., ProgramProcess],
) -> Callable[..., tuple[ProgramProcess, OperatorClient]]:
    """Return a function that starts a program with an admin address."""

    def start(*servers, **options) -> tuple[ProgramProcess, OperatorClient]:
        port = free_port()
        program = start_program(*servers, environment=admin_environment(port), **options)
        return program, OperatorClient(port)

    return start


def test_calls_are_answered_while_other_callers_hang_and_malformed_ones_are_refused(
    start_with_admin,
):
    program, operator = start_with_admin(ServerDouble(), sockets=64)
    hanging = [operator.connect() for _ in range(40)]
    for connection in hanging[::2]:
        connection.sock.sendall(b"chec")
    started = time.monotonic()
    assert operator.call("check") == ["OK"]
    for malformed in ("", "chek", "check now", "set-down nobody", "x" * 6000, "check\r\nvars"):
        (answer,) = operator.call(malformed)
        assert answer.startswith("ERR ")
        assert len(answer) > 8  # a reason follows
    assert time.monotonic() - started < 2
    assert program.open("a1").read_line() == "UP ra1"
    assert operator.call("check") == ["OK"]
    for connection in hanging:
        connection.close()


class ClientBurst:
    """A thread of clients that open flows one after another and keep them."""

    def __init__(self, program: ProgramProcess, count: int):
        """Start the thread."""
        self.program = program
        self.count = count
        self.clients: list[LineConnection] = []
        self.thread = Thread(target=self.open_flows)
        self.thread.start()

    def open_flows(self) -> None:
        """Open all flows."""
        for number in range(self.count):
            self.clients.append(self.program.open(f"c{number}", "c=view,t=north,d=900"))


@pytest.mark.parametrize("server_class", [ServerDouble, StallingServer])
def test_call_is_answered_within_a_second_during_a_burst_of_clients(start_with_admin, server_class):
    program, operator = start_with_admin(ServerDouble(), server_class(), sockets=1024)
    burst = ClientBurst(program, 300)
    waits: list[float] = []
    while burst.thread.is_alive() or len(waits) < 5:
        started = time.monotonic()
        metrics, end = operator.call("vars")
        waits.append(time.monotonic() - started)
        assert end == "END"
        assert json.loads(metrics)["registry_entries"] == 2
    burst.thread.join()
    assert max(waits) < 1
    answers = [client.read_line().split(" ")[0] for client in burst.clients]
    time.sleep(0.3)
    metrics = json.loads(operator.call("vars")[0])
    assert metrics["fulfilled"]["view"] == answers.count("UP")
    assert metrics["throttled"]["view"] == answers.count("BUSY")
    assert answers.count("UP") <= metrics["relayed"]
    # A server that answers late, as on a busy machine, loses flows; each of them is told so.
    accepted = [c for c, kind in zip(burst.clients, answers, strict=True) if kind == "UP"]
    migrated = [client for client in accepted if is_readable(client.sock, 0)]
    assert {client.read_line() for client in migrated} <= {"MOVE"}
    assert metrics["open_requests"] == len(accepted) - len(migrated)
    # Flows leave a server only after consecutive attempts there have timed out.
    if migrated:
        assert read_counter(program, "connects_timeout") >= MAX_FAILURES
    for client in burst.clients:
        client.close()


def ping_from_edge(program: ProgramProcess) -> str:
    """Return the program's answer to a health check by the edge load balancer."""
    edge = program.connect()
    edge.send_line("PING")
    return edge.read_line()


def test_drained_program_is_not_ready_and_migrates_its_clients_until_the_drain_is_undone(
    start_with_admin,
):
    program, operator = start_with_admin(ServerDouble(), ServerDouble())
    clients = [program.open(f"d{i}") for i in range(5)]
    assert {client.read_line().split(" ")[0] for client in clients} == {"UP"}
    started = time.monotonic()
    assert operator.call("drain-on") == ["OK"]
    assert ping_from_edge(program) == "ERR"
    assert [(client.read_line(), client.read_line()) for client in clients] == [("MOVE", END)] * 5
    assert time.monotonic() - started < 3.5
    assert operator.call("drain-off") == ["OK"]
    assert ping_from_edge(program) == "PONG"
    assert program.open("e1").read_line() == "UP re1"


def run_with(config: Path, command: tuple[str, ...], **environment: str):
    """Run a command with a configuration file until it exits."""
    return subprocess.run(
        command,
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=20,
        env=os.environ | {"PROXY_CONFIG": str(config)} | environment,
    )


def test_unusable_admin_address_stops_the_start_and_without_one_no_admin_module_is_loaded(tmp_path):
    config = tmp_path / "config.json"
    config.write_text(json.dumps(config_data()))
    for address, message in (
        ("nowhere", "admin_addr: 'nowhere' is no IPv4 address and port"),
        ("127.0.0.1:1x", "admin_addr"),
        ("192.0.2.1:9", "cypresswalk: "),
    ):
        run = run_with(config, PROGRAM, PROXY_ADMIN_ADDR=address)
        assert run.returncode == 1
        assert message in run.stderr
        assert run.stderr.count("\n") == 1
    run = run_with(config, (sys.executable, "-c", LOADED_MODULES))
    assert run.stdout == "None []\n"
