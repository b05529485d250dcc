"""Starts the program as a process, and speaks to it as clients, servers and discovery do."""

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

from helpers import config_data, listed
from paths import ROOT

T = TypeVar("T")


PROGRAM = (sys.executable, "-m", "cypresswalk")
LOOPBACK = "127.0.0.1"

READ_TIMEOUT = 8.0  # seconds, for each read of a client's connection
START_TIMEOUT = 10.0  # seconds until the program answers its first client
LOG_TIMEOUT = 3.0  # seconds until a line is in the log
POLL_PAUSE = 0.02  # seconds between two looks

END = ""  # what `LineConnection.read_line` returns at the end of a connection
RESET = "reset"  # what it returns at a reset
FIRST_PORT = 12_000  # the system's own begin at 32,768
PORTS_PER_WORKER = 1_000
MAX_WORKERS = 20
LINGER_ZERO = b"\1\0\0\0\0\0\0\0"  # SO_LINGER on, for 0 s: the close sends a reset


class PortRange:
    """Ports for programs that a test starts, none given twice.

    They lie below those that the system gives to outgoing connections, and each worker of pytest
    has its own: otherwise a port is another's by the time at which its program listens there.
    """

    def __init__(self, worker: str):
        """The range of a worker, by its name: gw0, gw1 and so on; empty without workers."""
        number = int(worker.removeprefix("gw") or 0) % MAX_WORKERS
        self._first = FIRST_PORT + number * PORTS_PER_WORKER
        self._offset = os.getpid() % PORTS_PER_WORKER  # runs beside this one begin elsewhere

    def take(self) -> int:
        """The next port on which nothing listens."""
        for _ in range(PORTS_PER_WORKER):
            self._offset = (self._offset + 1) % PORTS_PER_WORKER
            port = self._first + self._offset
            with suppress(OSError), socket.create_server((LOOPBACK, port)):
                return port
        raise AssertionError("no port is free")


PORTS = PortRange(os.environ.get("PYTEST_XDIST_WORKER", ""))


def free_port() -> int:
    """A port of this machine on which nothing listens, and that no other test is given."""
    return PORTS.take()


def address_of(sock: socket.socket) -> str:
    """The socket's own address, as configurations write it."""
    host, port = sock.getsockname()
    return f"{host}:{port}"


def reset_on_close(sock: socket.socket) -> None:
    """Has the socket's close send a reset instead of an end."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)


def wait_until(condition: Callable[[], T], timeout: float = 10.0) -> T:
    """Polls until the condition is true, for `timeout` seconds at most, and returns its value."""
    deadline = time.monotonic() + timeout
    while not (value := condition()):
        assert time.monotonic() < deadline, "the condition was never true"
        time.sleep(0.005)
    return value


def is_readable(sock: socket.socket, timeout: float) -> bool:
    """Whether there is something to read within so many seconds.

    By poll: select takes no descriptor above 1023.
    """
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(timeout * 1000))


def peer_has_ended(sock: socket.socket, timeout: float) -> bool:
    """Whether the peer ends within so many seconds. What it still sent is read and dropped."""
    try:
        return is_readable(sock, timeout) and not sock.recv(4096)
    except OSError:
        return True


class LineConnection:
    """A test's end of a connection that carries lines."""

    def __init__(self, sock: socket.socket, timeout: float | None = READ_TIMEOUT):
        """Takes over the socket; `timeout` is in seconds and holds for each read and write."""
        self.sock = sock
        self.file = sock.makefile("rb")
        sock.settimeout(timeout)

    @classmethod
    def to(cls, address: tuple[str, int]) -> Self:
        """A new connection to an address."""
        return cls(socket.create_connection(address))

    def send_line(self, text: str) -> None:
        """Sends the text as one line."""
        self.sock.sendall(text.encode() + b"\r\n")

    def read_line(self) -> str:
        """The next line; `END` at the end, `RESET` at a reset."""
        try:
            return self.file.readline().decode().rstrip("\r\n")
        except ConnectionResetError:
            return RESET

    def read_to_end(self) -> list[str]:
        """All lines up to the end or a reset, which is the last item."""
        lines = [self.read_line()]
        while lines[-1] not in (END, RESET):
            lines.append(self.read_line())
        return lines

    def assert_only_answer(self, answer: str) -> None:
        """Rule one: the client gets this one line and then the end."""
        assert self.read_to_end() == [answer, END]

    def close(self) -> None:
        """Closes the connection."""
        self.file.close()
        self.sock.close()


class ListeningServer:
    """Serves each connection in a thread of its own."""

    listener: socket.socket
    address: str  # as configurations write it

    def listen(self) -> None:
        """Begins to accept connections."""
        self.listener = socket.create_server((LOOPBACK, 0))
        self.address = address_of(self.listener)
        Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Accepts for as long as the test runs."""
        while True:
            sock, _ = self.listener.accept()
            client = LineConnection(sock, timeout=None)
            Thread(target=self.serve, args=(client,), daemon=True).start()

    def serve(self, client: LineConnection) -> None:
        """Serves one connection; subclasses say how."""
        raise NotImplementedError


class ServerMode(StrEnum):
    """How a `ServerDouble` answers `OPEN`."""

    UP = "up"
    BUSY = "busy"
    ERROR = "err"
    SILENT = "silent"  # not at all
    HUNG = "hung"  # as UP; but of established flows it only says how late it is


class ServerDouble(ListeningServer):
    """A server that accepts flows and echoes their lines, or does what a client's line names.

    `STREAM` sends without end, `HANG` makes the server hang, `END` and `RESET` end the flow,
    `SLOW` is answered with a delay report.
    """

    def __init__(self, mode: ServerMode = ServerMode.UP):
        """Listens at once."""
        self.mode = mode
        self.open_lines: list[str] = []  # received, in their order
        self.listen()

    def serve(self, client: LineConnection) -> None:
        """Answers line by line until an answer ends the connection."""
        while (line := client.read_line()) not in (END, RESET):
            if not self.respond(client, line):
                break
        client.close()

    def respond(self, client: LineConnection, line: str) -> bool:
        """Answers a line. False if the connection ends with that."""
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
        """Answers a flow's first line."""
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
        """Answers a line of an established flow."""
        if command == "END":
            client.send_line("BYE")
            return False
        if command == "RESET":
            reset_on_close(client.sock)
            return False
        client.send_line("LOAD 700" if command == "SLOW" else line)
        return True


def stream_until_closed(client: LineConnection) -> None:
    """Sends lines until the client has gone."""
    try:
        while True:
            client.send_line("x" * 1000)
    except OSError:
        return


class DiscoveryServer(ListeningServer):
    """Discovery's end: sends each watch the updates that it was given, one after another."""

    def __init__(self, *updates: bytes | None):
        """Listens at once. In place of an update, None breaks the watch off."""
        self.updates = list(updates)
        self.paths: list[str] = []  # of the requests, in their order
        self.listen()

    def serve(self, client: LineConnection) -> None:
        """Answers a watch: all updates from the first on, also those that are added later."""
        request = client.read_line()
        if request in (END, RESET):  # the program has ended meanwhile
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
    """The data as a chunk of an HTTP body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def endpoint_update(*entries: object, generation: int = 2) -> bytes:
    """Discovery's message of a change: these entries, and no others."""
    message = {"generation": generation, "reset": False, "instances": list(entries)}
    return json.dumps(message).encode()


class ProgramProcess:
    """The program as a process of its own, with its configuration, its log and its discovery."""

    def __init__(
        self,
        folder: Path,
        servers: Sequence[ListeningServer],
        discovery_server: DiscoveryServer | None = None,
        command: Sequence[str] = PROGRAM,
        environment: Mapping[str, str] | None = None,
        **changes: Any,
    ):
        """Starts it and waits until it answers.

        Args:
            folder: where its configuration and its log stand.
            servers: its endpoint list, named s-0, s-1 and so on.
            discovery_server: one that tells nothing if not given.
            command: the program to run.
            environment: variables beside those of this process.
            changes: to `config_data`, or to the configuration's settings.
        """
        self.port = free_port()
        self.discovery = discovery_server or DiscoveryServer()
        self.data = config_data(
            [listed(f"s-{i}", server.address) for i, server in enumerate(servers)],
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
        """Returns once the program answers a ping, as expected."""
        deadline = time.monotonic() + START_TIMEOUT
        while True:
            try:
                client = self.connect()
            except ConnectionRefusedError:
                assert time.monotonic() < deadline, "the program does not listen"
                assert self.process.poll() is None, "the program has ended"
                time.sleep(POLL_PAUSE)
                continue
            client.send_line("PING")
            assert client.read_line() == expected
            client.close()
            return

    def connect(self) -> LineConnection:
        """A client's connection."""
        return LineConnection.to((LOOPBACK, self.port))

    def open(self, ident: str, values: str = "c=view,t=north,d=800") -> LineConnection:
        """A client's connection on which it has sent a flow's first line."""
        client = self.connect()
        client.send_line(f"OPEN {ident} 77 {values}")
        return client

    def reload(self, text: str) -> None:
        """Replaces the configuration file and tells the program."""
        new = self.file.with_suffix(".new")
        new.write_text(text)
        new.replace(self.file)
        self.process.send_signal(signal.SIGHUP)

    def logged(self, text: str) -> bool:
        """Whether the text is in the log, or comes within three seconds."""
        deadline = time.monotonic() + LOG_TIMEOUT
        while time.monotonic() < deadline:
            if text in self.log.read_text():
                return True
            time.sleep(POLL_PAUSE)
        return False

    def kill(self) -> None:
        """Kills the process, if it has not ended, and waits for its end."""
        self.process.kill()
        self.process.wait()


class OperatorClient:
    """What an operator types, at one process."""

    def __init__(self, port: int):
        """Calls the process whose admin address has this port."""
        self.port = port

    def connect(self) -> LineConnection:
        """A connection on which nothing was sent yet."""
        return LineConnection.to((LOOPBACK, self.port))

    def call(self, text: str) -> list[str]:
        """The lines of the answer to a call."""
        connection = self.connect()
        connection.send_line(text)
        lines = connection.read_to_end()
        connection.close()
        return lines[:-1]


def admin_environment(port: int) -> dict[str, str]:
    """The variable that has a program take operators' calls at a port."""
    return {"PROXY_ADMIN_ADDR": f"{LOOPBACK}:{port}"}
