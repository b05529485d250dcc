"""An echo server as the fault proxy's target, client connections, and plans."""

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
# Sent by the echo server at the end of the stream.
GOODBYE = b"bye"


def serve_echo(sock: socket.socket) -> None:
    """Send back what is received, and `GOODBYE` at the end of the stream."""
    try:
        while data := sock.recv(READ_SIZE):
            sock.sendall(data)
        sock.sendall(GOODBYE)
    except OSError:
        pass  # the client or the proxy reset the connection
    sock.close()


@contextmanager
def echo_server() -> Iterator[Address]:
    """Run an echo server on a free port, with a thread per connection; yield its address."""
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
    """Return a new connection whose reads time out."""
    sock = socket.create_connection(address)
    sock.settimeout(timeout_s)
    return sock


def read_to_end(sock: socket.socket) -> tuple[bytes, str]:
    """Return all bytes up to the end of the stream, and "end" or "reset" for how it ended."""
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
    """Return a plan with these faults and these other tables."""
    return toml.decode({"fault": list(faults)} | tables, Plan, "test")
