"""Runs the program as a process, with clients, servers, operators and discovery for it."""

import json
import os
import select
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from enum import StrEnum
from pathlib import Path
from threading import Thread
from typing import Any, Self, TypeVar

from helpers import config_data, endpoint_entry
from paths import ROOT

T = TypeVar("T")


PROGRAM = (sys.executable, "-m", "cypresswalk")
LOOPBACK = "127.0.0.1"

READ_TIMEOUT = 8.0  # seconds, for each read of a client's connection
START_TIMEOUT = 10.0  # seconds until the program listens
LOG_TIMEOUT = 3.0  # seconds until a text is in the log
POLL_PAUSE = 0.02  # seconds between two polls

END = ""  # result of `LineConnection.read_line` at the end of a connection
RESET = "reset"  # its result if the connection was reset
FIRST_PORT = 12_000  # the system's ephemeral ports begin at 32,768
PORTS_PER_WORKER = 1_000
MAX_WORKERS = 20
LINGER_ZERO = b"\1\0\0\0\0\0\0\0"  # SO_LINGER on with 0 s: close sends a reset


class PortRange:
    """A range of ports for the programs that tests start; no port is given twice.

    The ports are below those that the system uses for outgoing connections, and each pytest worker
    has its own range. Otherwise a port could be taken before its program listens on it.
    """

    def __init__(self, worker: str):
        """Take the range of a worker by its name: gw0, gw1 and so on, or empty without workers."""
        number = int(worker.removeprefix("gw") or 0) % MAX_WORKERS
        self._first = FIRST_PORT + number * PORTS_PER_WORKER
        self._offset = os.getpid() % PORTS_PER_WORKER  # concurrent test runs start elsewhere

    def take(self) -> int:
        """Return the next port on which nothing listens."""
        for _ in range(PORTS_PER_WORKER):
            self._offset = (self._offset + 1) % PORTS_PER_WORKER
            port = self._first + self._offset
            with suppress(OSError), socket.create_server((LOOPBACK, port)):
                return port
        raise AssertionError("no port is free")


PORTS = PortRange(os.environ.get("PYTEST_XDIST_WORKER", ""))


def free_port() -> int:
    """Return a local port on which nothing listens and that no other test gets."""
    return PORTS.take()


def address_of(sock: socket.socket) -> str:
    """Return the socket's local address in the format of configurations."""
    host, port = sock.getsockname()
    return f"{host}:{port}"


def reset_on_close(sock: socket.socket) -> None:
    """Make the socket send a reset when it is closed."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)


def wait_until(condition: Callable[[], T], timeout: float = 10.0) -> T:
    """Poll until the condition is true, for `timeout` seconds at most, and return its value."""
    deadline = time.monotonic() + timeout
    while not (value := condition()):
        assert time.monotonic() < deadline, "the condition was never true"
        time.sleep(0.005)
    return value


def is_readable(sock: socket.socket, timeout: float) -> bool:
    """Return whether there is something to read within `timeout` seconds.

    Uses poll, because select takes no descriptor above 1023.
    """
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(timeout * 1000))


def peer_has_ended(sock: socket.socket, timeout: float) -> bool:
    """Return whether the peer ends the connection within `timeout` seconds; discards its data."""
    try:
        return is_readable(sock, timeout) and not sock.recv(4096)
    except OSError:
        return True


class LineConnection:
    """The test's side of a line-based connection."""

    def __init__(self, sock: socket.socket, timeout: float | None = READ_TIMEOUT):
        """Take over the socket; `timeout` is in seconds, for each read and write."""
        self.sock = sock
        self.file = sock.makefile("rb")
        sock.settimeout(timeout)

    @classmethod
    def to(cls, address: tuple[str, int]) -> Self:
        """Connect to an address."""
        return cls(socket.create_connection(address))

    def send_line(self, text: str) -> None:
        """Send the text as one line."""
        self.sock.sendall(text.encode() + b"\r\n")

    def read_line(self) -> str:
        """Return the next line, `END` at the end, or `RESET` after a reset."""
        try:
            return self.file.readline().decode().rstrip("\r\n")
        except ConnectionResetError:
            return RESET

    def read_to_end(self) -> list[str]:
        """Return all lines up to and including `END` or `RESET`."""
        lines = [self.read_line()]
        while lines[-1] not in (END, RESET):
            lines.append(self.read_line())
        return lines

    def assert_only_answer(self, answer: str) -> None:
        """Assert rule one of `rule_assertions`: the client gets this one line and then the end."""
        assert self.read_to_end() == [answer, END]

    def close(self) -> None:
        """Close the connection."""
        self.file.close()
        self.sock.close()


class ListeningServer:
    """A local server that serves each connection in its own thread.

    Attributes:
        listener: the listening socket.
        address: its address in the format of configurations.
    """

    listener: socket.socket
    address: str

    def listen(self) -> None:
        """Start to accept connections."""
        self.listener = socket.create_server((LOOPBACK, 0))
        self.address = address_of(self.listener)
        Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Accept connections for as long as the test runs."""
        while True:
            sock, _ = self.listener.accept()
            client = LineConnection(sock, timeout=None)
            Thread(target=self.serve, args=(client,), daemon=True).start()

    def serve(self, client: LineConnection) -> None:
        """Serve one connection; implemented by subclasses."""
        raise NotImplementedError


class ServerMode(StrEnum):
    """The ways in which a `ServerDouble` answers `OPEN`."""

    UP = "up"
    BUSY = "busy"
    ERROR = "err"
    SILENT = "silent"  # not at all
    HUNG = "hung"  # accepts as UP does; answers lines of established flows only with its delay


class ServerDouble(ListeningServer):
    """A server that accepts flows and echoes their lines, except for some commands.

    `STREAM` makes it send lines without end, `HANG` makes it hang, `END` and `RESET` make it end
    the flow, and `SLOW` is answered with a delay report.
    """

    def __init__(self, mode: ServerMode = ServerMode.UP):
        """Start to listen."""
        self.mode = mode
        self.open_lines: list[str] = []  # first lines of flows, in the order received
        self.listen()

    def serve(self, client: LineConnection) -> None:
        """Answer line by line until an answer ends the connection."""
        while (line := client.read_line()) not in (END, RESET):
            if not self.respond(client, line):
                break
        client.close()

    def respond(self, client: LineConnection, line: str) -> bool:
        """Answer a line; return False if that ends the connection."""
        command = line.split(" ")[0]
        if command == "PING":
            client.send_line("PONG")
        elif command == "OPEN":
            return self.respond_to_open(client, line)
        elif command == "STREAM":
            stream_until_closed(client)
            return False
        elif command == "HANG":
            self.mode = ServerMode.HUNG
        elif self.mode is ServerMode.HUNG:
            client.send_line("LOAD 900")
        else:
            return self.respond_in_flow(client, command, line)
        return True

    def respond_to_open(self, client: LineConnection, line: str) -> bool:
        """Answer a flow's first line; return False if that ends the connection."""
        self.open_lines.append(line)
        flow_id = line.split(" ")[1]
        if self.mode is ServerMode.SILENT:
            return True
        if self.mode is ServerMode.BUSY:
            client.send_line("BUSY")
            return False
        if self.mode is ServerMode.ERROR:
            client.send_line("ERR")
            return False
        client.send_line(f"UP r{flow_id}")
        return True

    def respond_in_flow(self, client: LineConnection, command: str, line: str) -> bool:
        """Answer a line of an established flow; return False if that ends the connection."""
        if command == "END":
            client.send_line("BYE")
            return False
        if command == "RESET":
            reset_on_close(client.sock)
            return False
        client.send_line("LOAD 700" if command == "SLOW" else line)
        return True


class StallingServer(ServerDouble):
    """A server that leaves some attempts unanswered until the balancer has given them up.

    A server on a busy machine may do so too.
    """

    STALLED = range(6, 10)  # attempts, by their order
    STALL_S = 0.6

    def respond_to_open(self, client: LineConnection, line: str) -> bool:
        """Answer a flow's first line, or only wait."""
        if len(self.open_lines) in self.STALLED:
            self.open_lines.append(line)
            time.sleep(self.STALL_S)
            return False
        return super().respond_to_open(client, line)


def stream_until_closed(client: LineConnection) -> None:
    """Send lines until the client closes the connection."""
    try:
        while True:
            client.send_line("x" * 1000)
    except OSError:
        return


class DiscoveryServer(ListeningServer):
    """A discovery service that sends each watch the same updates one after another."""

    def __init__(self, *updates: bytes | None):
        """Start to listen. None in place of an update breaks the watch."""
        self.updates = list(updates)
        self.paths: list[str] = []  # paths of the requests, in the order received
        self.listen()

    def serve(self, client: LineConnection) -> None:
        """Answer a watch with all updates, including those added later."""
        request = client.read_line()
        if request in (END, RESET):  # the program has exited
            return
        self.paths.append(request.split(" ")[1])
        client.sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        sent = 0
        while True:
            if sent < len(self.updates):
                update = self.updates[sent]
                sent += 1
                if update is None:
                    break
                client.sock.sendall(http_chunk(update + b"\n"))
            if peer_has_ended(client.sock, POLL_PAUSE):
                break
        client.close()


def http_chunk(data: bytes) -> bytes:
    """Encode data as a chunk of an HTTP body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def endpoint_update(*entries: object, generation: int = 2) -> bytes:
    """Encode a delta update of the endpoint list with these entries."""
    message = {"generation": generation, "reset": False, "instances": list(entries)}
    return json.dumps(message).encode()


def counter_lines(log: str) -> list[str]:
    """Return the lines of a log that contain the process's counters."""
    return [line for line in log.splitlines() if "event=counters" in line or "event=end" in line]


def counter_value(line: str, name: str) -> int:
    """Return a counter's value; counters that are 0 are not in the line."""
    fields = dict(field.split("=", 1) for field in line.split() if "=" in field)
    return int(fields.get(name, 0))


class ProgramProcess:
    """The program as a process, with its configuration, log and discovery."""

    def __init__(
        self,
        folder: Path,
        servers: Sequence[ListeningServer],
        discovery_server: DiscoveryServer | None = None,
        command: Sequence[str] = PROGRAM,
        environment: Mapping[str, str] | None = None,
        **changes: Any,
    ):
        """Start the program and wait until it answers.

        Args:
            folder: the folder for its configuration and log.
            servers: the servers of its configured endpoint list, named s-0, s-1 and so on.
            discovery_server: its discovery; by default one that sends no updates.
            command: the command that runs the program.
            environment: variables to add to those of this process.
            changes: arguments of `config_data`, or changes to the configuration's settings.
        """
        self.port = free_port()
        self.discovery = discovery_server or DiscoveryServer()
        self.data = config_data(
            [endpoint_entry(f"s-{i}", server.address) for i, server in enumerate(servers)],
            f"{LOOPBACK}:{self.port}",
            self.discovery.address,
            **changes,
        )
        self.file = folder / "config.json"
        self.file.write_text(json.dumps(self.data))
        self.log = folder / "log"
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                stderr=log,
                env=os.environ | {"PROXY_CONFIG": str(self.file)} | dict(environment or {}),
            )
        self.wait_until_answering("PONG" if servers else "ERR")

    def wait_until_answering(self, expected: str) -> None:
        """Wait until the program listens, and assert that it answers a ping as expected."""
        deadline = time.monotonic() + START_TIMEOUT
        while True:
            try:
                client = self.connect()
            except ConnectionRefusedError:
                assert time.monotonic() < deadline, "the program does not listen"
                assert self.process.poll() is None, "the program has exited"
                time.sleep(POLL_PAUSE)
                continue
            client.send_line("PING")
            assert client.read_line() == expected
            client.close()
            return

    def connect(self) -> LineConnection:
        """Return a new client connection."""
        return LineConnection.to((LOOPBACK, self.port))

    def open(self, ident: str, values: str = "c=view,t=north,d=800") -> LineConnection:
        """Return a client connection on which a flow's first line was sent."""
        client = self.connect()
        client.send_line(f"OPEN {ident} 77 {values}")
        return client

    def reload(self, text: str) -> None:
        """Replace the configuration file and send the program SIGHUP."""
        new = self.file.with_suffix(".new")
        new.write_text(text)
        new.replace(self.file)
        self.process.send_signal(signal.SIGHUP)

    def logged(self, text: str) -> bool:
        """Return whether the text is in the log within `LOG_TIMEOUT`."""
        deadline = time.monotonic() + LOG_TIMEOUT
        while time.monotonic() < deadline:
            if text in self.log.read_text():
                return True
            time.sleep(POLL_PAUSE)
        return False

    def kill(self) -> None:
        """Kill the process if it still runs, and wait for its exit."""
        self.process.kill()
        self.process.wait()


class OperatorClient:
    """An operator's calls to one process."""

    def __init__(self, port: int):
        """Take the port of the process's admin address."""
        self.port = port

    def connect(self) -> LineConnection:
        """Return a new connection to the admin address."""
        return LineConnection.to((LOOPBACK, self.port))

    def call(self, text: str) -> list[str]:
        """Make a call and return the lines of the answer."""
        connection = self.connect()
        connection.send_line(text)
        lines = connection.read_to_end()
        connection.close()
        return lines[:-1]


def admin_environment(port: int) -> dict[str, str]:
    """Return the environment that gives a program an admin address with this port."""
    return {"PROXY_ADMIN_ADDR": f"{LOOPBACK}:{port}"}


def read_counter(program: ProgramProcess, name: str) -> int:
    """Return a counter that the program logs on request."""
    logged_before = len(counter_lines(program.log.read_text()))
    program.process.send_signal(signal.SIGUSR1)
    wait_until(lambda: len(counter_lines(program.log.read_text())) > logged_before)
    return counter_value(counter_lines(program.log.read_text())[-1], name)
