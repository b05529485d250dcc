"""The part of HTTP/1.1 that is needed to follow the endpoint list: a GET and its response."""

from enum import Enum, auto

from cypresswalk.net.errors import ProtocolError
from cypresswalk.net.parsers.buffer import Buffer

UNTIL_CLOSE = -1  # remaining length of a body that ends with the connection
MAX_QUOTED = 60  # bytes of malformed input that an error quotes


class ParseState(Enum):
    """The part of a response to which the next bytes belong."""

    HEADERS = auto()
    CHUNK_SIZE = auto()
    CHUNK = auto()
    CHUNK_END = auto()
    TRAILERS = auto()
    BODY = auto()
    COMPLETE = auto()


class ResponseParser:
    """Parses one response, chunked or not, into the bytes of its body.

    Attributes:
        status: Status code; None until the status line has arrived.
    """

    def __init__(self, max_line_bytes: int):
        """Create a parser that accepts header and chunk-size lines up to this length."""
        self.status: int | None = None
        self._buffer = Buffer()
        self._max_line_bytes = max_line_bytes
        self._state = ParseState.HEADERS
        self._remaining = 0  # bytes of the body or chunk still to come, or UNTIL_CLOSE
        self._chunked = False

    @property
    def complete(self) -> bool:
        """Return whether the whole body has arrived."""
        return self._state is ParseState.COMPLETE

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return those that belong to the body.

        Raises:
            ProtocolError: The bytes are not an HTTP/1.1 response.
        """
        self._buffer.add(data)
        body: list[bytes] = []
        while self._advance(body):
            pass
        return b"".join(body)

    def _advance(self, body: list[bytes]) -> bool:
        """Handle the next line or piece of the body; return False if more bytes are needed."""
        if self._state is ParseState.COMPLETE:
            return False
        if self._state in (ParseState.CHUNK, ParseState.BODY):
            return self._take_body(body)
        index = self._buffer.find(b"\r\n")
        if index < 0:
            if len(self._buffer) > self._max_line_bytes:
                raise ProtocolError("an HTTP line is too long")
            return False
        self._handle_line(self._buffer.take(index + 2)[:-2])
        return True

    def _take_body(self, body: list[bytes]) -> bool:
        """Take the available bytes of the body or chunk; return False if more are to come."""
        count = len(self._buffer)
        if self._remaining != UNTIL_CLOSE:
            count = min(self._remaining, count)
        if count:
            body.append(self._buffer.take(count))
            if self._remaining != UNTIL_CLOSE:
                self._remaining -= count
        if self._remaining:
            return False
        is_chunk = self._state is ParseState.CHUNK
        self._state = ParseState.CHUNK_END if is_chunk else ParseState.COMPLETE
        return True

    def _handle_line(self, line: bytes) -> None:
        if self._state is ParseState.HEADERS:
            self._handle_header(line)
        elif self._state is ParseState.CHUNK_SIZE:
            self._remaining = parse_number(line.partition(b";")[0], 16)
            self._state = ParseState.CHUNK if self._remaining else ParseState.TRAILERS
        elif self._state is ParseState.CHUNK_END:
            if line:
                raise ProtocolError("a chunk is longer than its size")
            self._state = ParseState.CHUNK_SIZE
        elif not line:
            self._state = ParseState.COMPLETE

    def _handle_header(self, line: bytes) -> None:
        if self.status is None:
            words = line.split(b" ", 2)
            if len(words) < 2 or not words[0].startswith(b"HTTP/1."):
                raise ProtocolError(f"not an HTTP response: {line[:MAX_QUOTED]!r}")
            self.status = parse_number(words[1], 10)
            self._remaining = UNTIL_CLOSE
        elif line:
            name, _, value = line.partition(b":")
            name = name.strip().lower()
            value = value.strip().lower()
            if name == b"transfer-encoding":
                self._chunked = value == b"chunked"
            elif name == b"content-length":
                self._remaining = parse_number(value, 10)
        elif self._chunked:
            self._state = ParseState.CHUNK_SIZE
        else:
            self._state = ParseState.BODY if self._remaining else ParseState.COMPLETE


def parse_number(text: bytes, base: int) -> int:
    """Return the number that the text gives in that base.

    Raises:
        ProtocolError: The text is not a number of at least 0.
    """
    try:
        value = int(text, base)
    except ValueError:
        value = -1
    if value < 0:
        raise ProtocolError(f"{text[:20]!r} instead of a number")
    return value


def encode_get_request(host: str, path: str) -> bytes:
    """Return a GET request for JSON."""
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode()
