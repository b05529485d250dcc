"""The parser of lines that clients and servers send, and of the request that opens a flow."""

import re
from dataclasses import dataclass

from cypresswalk.net.errors import MessageTooLongError, ProtocolError
from cypresswalk.net.parsers.buffer import Buffer

MAX_QUOTED = 60  # characters of malformed input that an error quotes


class LineParser:
    """Splits a stream into lines: one by one, or all complete ones at once.

    Attributes:
        buffer: Received bytes that are not returned yet.
        max_bytes: Length limit of one line, its end included.
        scanned: Number of pending bytes that are known to contain no line end.
    """

    __slots__ = ("buffer", "max_bytes", "scanned")

    def __init__(self, max_bytes: int):
        """Create a parser of lines of at most `max_bytes`."""
        self.buffer = Buffer()
        self.max_bytes = max_bytes
        self.scanned = 0

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self.buffer.add(data)

    def next_line(self) -> bytes | None:
        """Return the next line without its end, or None if it is not complete.

        Raises:
            MessageTooLongError: The line exceeds the limit.
        """
        index = self.buffer.find(b"\n", self.scanned)
        if index < 0:
            self.scanned = len(self.buffer)
            self._check_length(self.scanned)
            return None
        self.scanned = 0
        self._check_length(index + 1)
        return self.buffer.take(index + 1).rstrip(b"\r\n")

    def take_complete_lines(self) -> bytes:
        """Return all complete lines with their ends, empty if there are none.

        Raises:
            MessageTooLongError: The incomplete line after them exceeds the limit.
        """
        end = self.buffer.rfind(b"\n") + 1
        self._check_length(len(self.buffer) - end)
        return self.buffer.take(end) if end else b""

    def _check_length(self, length: int) -> None:
        if length > self.max_bytes:
            raise MessageTooLongError("a line", self.max_bytes)


@dataclass(slots=True)
class OpenRequest:
    """A client's OPEN line, which asks for a flow.

    Attributes:
        ident: Id of the flow.
        key: Key of the client or group.
        values: The line's parameters by name, in the order of the line.
    """

    ident: str
    key: str
    values: dict[str, str]

    def encode(self, wait_ms: int) -> bytes:
        """Return the line for a server, unchanged except for `d`.

        Args:
            wait_ms: New value of `d`: milliseconds for which this balancer waits for the server.
        """
        values = self.values | {"d": str(wait_ms)} if "d" in self.values else self.values
        pairs = ",".join(f"{name}={value}" for name, value in values.items())
        return f"OPEN {self.ident} {self.key} {pairs}\r\n".encode()


NAME = re.compile(r"[0-9A-Za-z._:-]{1,64}")
# Printable characters except space and comma, which separate words and parameters.
VALUE = re.compile(r"[!-+.-~-]+")
NUMBER = re.compile(r"[0-9]{1,12}([.][0-9]{1,12})?")
FLAG = re.compile(r"[01]")
VALUE_FORMATS = {"d": NUMBER, "h": NUMBER, "g": NAME, "at": NAME, "r": FLAG, "again": FLAG}


def parse_open_request(line: bytes) -> OpenRequest:
    """Parse a client's first line strictly, since its content is forwarded to servers.

    Args:
        line: The line without its end.

    Raises:
        ProtocolError: The line is not a well-formed OPEN line.
    """
    try:
        words = line.decode("ascii").split(" ")
    except UnicodeDecodeError as error:
        raise ProtocolError("the first line is not ASCII") from error
    if (
        len(words) not in (3, 4)
        or words[0] != "OPEN"
        or not NAME.fullmatch(words[1])
        or not NAME.fullmatch(words[2])
    ):
        raise ProtocolError(f"the first line is not OPEN: {line[:MAX_QUOTED]!r}")
    values: dict[str, str] = {}
    for pair in words[3].split(",") if len(words) == 4 else []:
        name, _, value = pair.partition("=")
        if (
            name in values
            or not NAME.fullmatch(name)
            or not VALUE_FORMATS.get(name, VALUE).fullmatch(value)
        ):
            raise ProtocolError(f"the first line has {pair[:MAX_QUOTED]!r} among its parameters")
        values[name] = value
    return OpenRequest(words[1], words[2], values)
