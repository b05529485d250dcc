"""A server to put the fault proxy before, clients of it, and plans."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager
from threading import Thread
from typing import Any

from cypresswalk import toml
from cypresswalk.faults.plan import Plan

Address = tuple[str, int]

SOCKET_TIMEOUT_S = 5
READ_SIZE = 4096
# What the echo server says at the end of the stream.
GOODBYE = b"bye"


def serve_echo(sock: socket.socket) -> None:
    """Say back what comes, and `GOODBYE` at the end of the stream."""
    try:
        while data := sock.recv(READ_SIZE):
            sock.sendall(data)
        sock.sendall(GOODBYE)
    except OSError:
        pass  # the client or the proxy has reset the connection
    sock.close()


@contextmanager
def echo_server() -> Iterator[Address]:
    """An echo server at a free port, with a thread for each connection."""
    listener = socket.create_server(("127.0.0.1", 0))

    def accept() -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            Thread(target=serve_echo, args=(sock,), daemon=True).start()

    Thread(target=accept, daemon=True).start()
    yield listener.getsockname()
    listener.close()


def connect(address: Address, timeout_s: float = SOCKET_TIMEOUT_S) -> socket.socket:
    """A connection whose reads end in time."""
    sock = socket.create_connection(address)
    sock.settimeout(timeout_s)
    return sock


def read_to_end(sock: socket.socket) -> tuple[bytes, str]:
    """All up to the end of the stream, and whether that was an "end" or a "reset"."""
    data = b""
    try:
        while piece := sock.recv(READ_SIZE):
            data += piece
        return data, "end"
    except ConnectionResetError:
        return data, "reset"
    finally:
        sock.close()


def fault_plan(*faults: dict[str, Any], **tables: Any) -> Plan:
    """A plan with some faults, and other tables of its file."""
    return toml.decode({"fault": list(faults)} | tables, Plan, "test")
