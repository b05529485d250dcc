"""Upgrades of the program: a second process starts beside the first and takes over its sockets."""

import json
import os
import signal
import socket
import subprocess
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from threading import Event, Thread
from types import SimpleNamespace
from typing import Any, NamedTuple, cast

import pytest
from core_helpers import LIMITS
from helpers import present
from program_helpers import (
    PROGRAM,
    ROOT,
    LineConnection,
    OperatorClient,
    ProgramProcess,
    ServerDouble,
    admin_environment,
    counter_lines,
    counter_value,
    free_port,
    wait_until,
)

from cypresswalk.net.clock import Clock
from cypresswalk.net.handover import VERSION
from cypresswalk.net.handover_socket import HandoverSocket
from cypresswalk.net.inbox import Inbox

STOP_TIMEOUT = 4  # seconds for a stopped process to end
ATTEMPT_TIMEOUT = 0.7  # seconds after which a balancer has given up an attempt


class UpgradedProgram:
    """A program and the successor processes that upgrade it."""

    def __init__(self, program: ProgramProcess, folder: Path):
        """Take the program's first process and the folder of its handover socket."""
        self.program = program
        self.folder = folder
        self.processes = [program.process]
        self.started = 0

    def start_successor(self, **environment: str) -> tuple[subprocess.Popen, OperatorClient]:
        """Start a successor beside the processes that run."""
        port = free_port()
        self.started += 1
        with (self.folder / f"log{self.started}").open("wb") as log:
            process = subprocess.Popen(
                PROGRAM,
                cwd=ROOT,
                stderr=log,
                env=os.environ
                | {"PROXY_CONFIG": str(self.program.file), "TMPDIR": str(self.folder)}
                | admin_environment(port)
                | environment,
            )
        self.processes.append(process)
        return process, OperatorClient(port)

    def start_ready_successor(self, **environment: str) -> tuple[subprocess.Popen, OperatorClient]:
        """Start a successor beside the processes that run, and wait until it is ready."""
        process, operator = self.start_successor(**environment)
        wait_until(lambda: is_ready(operator))
        return process, operator

    def attempts_timed_out(self) -> int:
        """Return how many attempts timed out at all processes; the last process still runs."""
        self.processes[-1].send_signal(signal.SIGUSR1)
        logs = [self.program.log]
        logs += [self.folder / f"log{number + 1}" for number in range(self.started)]
        wait_until(lambda: "event=counters" in logs[-1].read_text())
        last_lines = [counter_lines(log.read_text())[-1] for log in logs]
        return sum(counter_value(line, "connects_timeout") for line in last_lines)

    def kill(self) -> None:
        """Kill all processes."""
        for process in self.processes:
            process.kill()
            process.wait()


def is_ready(operator: OperatorClient) -> bool:
    """Return whether the process answers that it is ready."""
    try:
        return operator.call("check") == ["OK"]
    except ConnectionRefusedError:
        return False


@pytest.fixture
def start_upgradable(
    start_program: Callable[..., ProgramProcess], tmp_path: Path
) -> Iterator[Callable[..., tuple[UpgradedProgram, OperatorClient]]]:
    """Return a function that starts a program with its handover socket in a folder."""
    upgraded = []

    def start(*servers, folder=tmp_path, **options) -> tuple[UpgradedProgram, OperatorClient]:
        port = free_port()
        environment = admin_environment(port) | {"TMPDIR": str(folder)}
        program = start_program(*servers, environment=environment, **options)
        upgraded.append(UpgradedProgram(program, folder))
        return upgraded[-1], OperatorClient(port)

    yield start
    for program in upgraded:
        program.kill()


class Interval(NamedTuple):
    """A time interval, in seconds of the monotonic clock."""

    begin: float
    end: float

    def overlaps(self, other: "Interval") -> bool:
        """Return whether the intervals have a time in common."""
        return self.begin <= other.end and other.begin <= self.end


class ClientStream:
    """Clients that open flows one after another, in several threads, and their results.

    Of every twenty clients nineteen end their flow at once; the twentieth keeps it.
    """

    def __init__(self, program: ProgramProcess, name: str, threads: int, pause_before_end: float):
        """Start the threads; a client pauses that many seconds before it ends its flow."""
        self.program = program
        self.name = name
        self.pause_before_end = pause_before_end
        self.migrated: list[Interval] = []  # from open to MOVE, of flows that clients were ending
        self.results: list[str] = []  # the last command that each client received, or its error
        self.established: list[LineConnection] = []
        self.ended = Event()
        self.threads = [Thread(target=self.run, args=(i,), daemon=True) for i in range(threads)]
        for thread in self.threads:
            thread.start()

    def run(self, thread_number: int) -> None:
        """Run clients in one thread until `stop`."""
        number = 0
        while not self.ended.is_set():
            number += 1
            try:
                result = self.run_client(f"{self.name}{thread_number}-{number}", number % 20 == 0)
            except OSError as error:
                result = type(error).__name__
            self.results.append(result)
            time.sleep(0.002)

    def run_client(self, flow_id: str, keeps_flow: bool) -> str:
        """Run a client; return the last command that it received."""
        began = time.monotonic()
        client = self.program.open(flow_id)
        command = client.read_line().split(" ")[0]
        if command != "UP" or keeps_flow:
            self.established.append(client)
            return command
        time.sleep(self.pause_before_end)
        client.send_line("END")
        command = client.read_line()
        client.close()
        if command == "MOVE":
            self.migrated.append(Interval(began, time.monotonic()))
        return command

    def stop(self) -> None:
        """Start no further clients and wait for the threads."""
        self.ended.set()
        for thread in self.threads:
            thread.join()


# With a pause the clients' flows are open when a server goes out of rotation and when a process is
# stopped, as happens without one on a busy machine.
@pytest.mark.parametrize("pause_before_end, threads", [(0.0, 2), (0.05, 10)])
def test_upgrades_under_load_reject_no_client_and_migrate_the_established_ones(
    start_upgradable, pause_before_end, threads
):
    servers = [ServerDouble() for _ in range(3)]
    upgraded, operator = start_upgradable(*servers, sockets=512)
    program = upgraded.program
    assert operator.call("set-down s-0") == ["OK"]
    sent_before = len(servers[0].open_lines)
    clients = ClientStream(program, "u", threads, pause_before_end)
    predecessor = program.process
    migrations = []
    for _ in range(2):
        established_before = len(clients.established)
        successor, operator = upgraded.start_ready_successor()
        began = time.monotonic()
        assert operator.call("set-down s-1") == operator.call("set-up s-1") == ["OK"]
        predecessor.send_signal(signal.SIGTERM)
        edge = program.connect()
        edge.send_line("PING")
        assert edge.read_line() == "PONG"
        edge.close()
        assert predecessor.wait(STOP_TIMEOUT) == 0
        migrations.append(Interval(began, time.monotonic()))
        predecessor = successor
    clients.stop()
    assert len(clients.results) > 200
    assert set(clients.results) <= {"BYE", "UP", "MOVE"}
    # A MOVE is never the first reply, and only flows that were open while s-1 was out or their
    # process was stopping get one.
    assert clients.results.count("MOVE") == len(clients.migrated)
    for flow in clients.migrated:
        assert any(flow.overlaps(migration) for migration in migrations), (flow, migrations)
    assert established_before > 1
    assert {client.read_line() for client in clients.established[:established_before]} == {"MOVE"}
    assert len(servers[0].open_lines) == sent_before  # still out of rotation after both upgrades
    ids = [line.split(" ")[1] for server in servers for line in server.open_lines]
    # Under load 1,268 lines for 1,267 ids were seen. These flows are idempotent, so that an attempt
    # that timed out is repeated. Nothing else sends a line twice.
    assert len(ids) - len(set(ids)) <= upgraded.attempts_timed_out()
    for client in clients.established:
        client.close()


class SlowOnceServer(ServerDouble):
    """A server that answers its first flow only after the balancer has given up the attempt."""

    def respond_to_open(self, client: LineConnection, line: str) -> bool:
        """Answer a flow's first line."""
        if not self.open_lines:
            self.open_lines.append(line)
            time.sleep(ATTEMPT_TIMEOUT)
            return False
        return super().respond_to_open(client, line)


def test_repeat_after_a_time_out_is_counted_as_the_upgrade_test_expects(start_upgradable):
    # Justifies the bound in the test of upgrades under load: if an attempt times out, its line is
    # sent twice and the time-out is counted.
    servers = [SlowOnceServer() for _ in range(2)]
    upgraded, _ = start_upgradable(*servers, sockets=512)
    clients = [upgraded.program.open(f"i{number}") for number in range(20)]
    assert {client.read_line().split(" ")[0] for client in clients} == {"UP"}
    ids = [line.split(" ")[1] for server in servers for line in server.open_lines]
    assert 0 < len(ids) - len(set(ids)) <= upgraded.attempts_timed_out()
    for client in clients:
        client.close()


def test_kill_of_one_process_leaves_the_other_serving(start_upgradable):
    upgraded, operator = start_upgradable(ServerDouble(), ServerDouble())
    program = upgraded.program
    first_successor, _ = upgraded.start_ready_successor()
    first_successor.kill()
    first_successor.wait()
    assert program.open("a1").read_line() == "UP ra1"
    assert operator.call("set-down s-0") == ["OK"]
    second_successor, operator = upgraded.start_ready_successor()
    program.kill()
    assert program.open("a2").read_line() == "UP ra2"
    assert json.loads(operator.call("vars")[0])["out_of_rotation"] == 1
    upgraded.start_ready_successor()  # although the killed process left its socket behind
    second_successor.send_signal(signal.SIGTERM)
    assert second_successor.wait(STOP_TIMEOUT) == 0
    assert program.open("a3").read_line() == "UP ra3"


def test_second_of_two_concurrent_starts_waits_until_it_can_find_the_first(tmp_path):
    """Otherwise both would listen.

    The socket at which a third process finds one of them would disappear when the other ends.
    """
    clock = Clock()
    inboxes = [Inbox(clock), Inbox(clock)]
    first, second = (
        HandoverSocket(str(tmp_path), "b", ("127.0.0.1", 1), inbox, LIMITS) for inbox in inboxes
    )
    assert first.find_predecessor() is None
    found = []
    search = Thread(target=lambda: found.append(second.find_predecessor()), daemon=True)
    search.start()
    search.join(0.3)
    assert search.is_alive()
    handover = SimpleNamespace(
        on_hello=lambda now, other: other.send(
            {"welcome": VERSION}, (present(first.sock).fileno(),)
        ),
        on_message=lambda now, other, message: None,
        on_disconnected=lambda now, other: None,
    )
    first.listen_for_successor(cast(Any, handover))
    call, args = inboxes[0].urgent.get(timeout=3)
    call(clock(), *args)
    search.join(3)
    assert found[0] is not None
    assert first.start_lock is None
    assert second.start_lock is None
    found[0].sock.close()


LONG_NAME = "x" * 120


@pytest.mark.parametrize("folder", ["missing", LONG_NAME, "file in the way"])
def test_successor_starts_although_the_folder_is_unusable_or_its_name_is_long(
    start_upgradable, tmp_path, folder
):
    folder_path = tmp_path / folder
    if folder == LONG_NAME:
        folder_path.mkdir()
    elif folder != "missing":
        folder_path.write_text("")
    upgraded, _ = start_upgradable(ServerDouble(), folder=folder_path)
    upgraded.folder = tmp_path
    upgraded.start_ready_successor(TMPDIR=str(folder_path))
    program = upgraded.program
    program.process.send_signal(signal.SIGTERM)
    program.process.wait(STOP_TIMEOUT)
    assert program.open("b1").read_line() == "UP rb1"
    log = (tmp_path / "log1").read_text()
    assert ("event=taken_over" in log) is (folder == LONG_NAME)


def test_handover_socket_refuses_anything_but_a_process_of_this_balancer(
    start_upgradable, tmp_path
):
    upgraded, operator = start_upgradable(ServerDouble())
    (path,) = [file for file in tmp_path.iterdir() if file.is_socket()]
    assert path.stat().st_mode & 0o077 == 0
    for data in (
        b"\xff\n",
        b"[1]\n",
        b"{}\n",
        b'{"hello":{"version":99,"name":"n0"}}\n',
        b"{" * 9000,
        b"",
    ):
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(3)
            sock.connect(str(path))
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            answer = sock.recv(4096)
            assert answer == b"" or b"refused" in answer
    assert operator.call("check") == ["OK"]
    assert upgraded.program.open("c1").read_line() == "UP rc1"
