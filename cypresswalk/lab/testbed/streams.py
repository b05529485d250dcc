"""Functions on asyncio streams that all drivers use."""

import asyncio
import contextlib
import socket
import struct

LOOPBACK = "127.0.0.1"
MAX_LINE_BYTES = 8192  # twice the protocol's limit
ABORT = struct.pack("ii", 1, 0)  # value of SO_LINGER: on, 0 s
# Errors that only mean that a connection ended or that the peer broke the protocol.
CONNECTION_ENDS = (
    ConnectionError,
    asyncio.IncompleteReadError,
    asyncio.LimitOverrunError,
    ValueError,
    OSError,
)


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT)
    writer.transport.abort()


def set_nodelay(writer: asyncio.StreamWriter) -> None:
    """Disable Nagle's algorithm, so that each line is sent at once."""
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def decode_line(line: bytes) -> str:
    """Return a line as text, without its line end."""
    return line.decode("ascii", "replace").rstrip("\r\n")
