"""The part of HTTP/1.1 that the server list needs: one answer, chunked or not. Knows no socket."""

from cypresswalk.net.parsers.buffer import Buffer
from cypresswalk.net.parsers.lines import ProtocolError


class Answer:
    """Is fed bytes and gives those of the body. `over` once the body has ended."""

    HEAD, SIZE, CHUNK, CHUNK_END, TRAILER, BODY, OVER = range(7)

    def __init__(self, longest: int):
        self.buffer, self.longest = Buffer(), longest
        self.state, self.left = self.HEAD, 0
        self.status: int | None = None
        self.chunked = False

    @property
    def over(self) -> bool:
        return self.state == self.OVER

    def feed(self, data: bytes) -> bytes:
        self.buffer.add(data)
        body = []
        while self.step(body):
            pass
        return b"".join(body)

    def step(self, body: list[bytes]) -> bool:
        """One step; False when more bytes are needed."""
        if self.state == self.OVER:
            return False
        if self.state in (self.CHUNK, self.BODY):
            count = len(self.buffer) if self.left < 0 else min(self.left, len(self.buffer))
            if count:
                body.append(self.buffer.take(count))
                self.left -= count if self.left > 0 else 0
            if self.left:
                return False
            self.state = self.CHUNK_END if self.state == self.CHUNK else self.OVER
            return True
        at = self.buffer.find(b"\r\n")
        if at < 0:
            if len(self.buffer) > self.longest:
                raise ProtocolError("an HTTP line without end")
            return False
        line = self.buffer.take(at + 2)[:-2]
        if self.state == self.HEAD:
            self.head(line)
        elif self.state == self.SIZE:
            self.left = number(line.partition(b";")[0], 16)
            self.state = self.CHUNK if self.left else self.TRAILER
        elif self.state == self.CHUNK_END:
            if line:
                raise ProtocolError("a chunk longer than its size")
            self.state = self.SIZE
        elif not line:
            self.state = self.OVER
        return True

    def head(self, line: bytes) -> None:
        if self.status is None:
            words = line.split(b" ", 2)
            if len(words) < 2 or not words[0].startswith(b"HTTP/1."):
                raise ProtocolError(f"no HTTP answer: {line[:60]!r}")
            self.status, self.left = number(words[1], 10), -1  # without a length: up to the end
        elif line:
            name, _, value = line.partition(b":")
            name, value = name.strip().lower(), value.strip().lower()
            if name == b"transfer-encoding":
                self.chunked = value == b"chunked"
            elif name == b"content-length":
                self.left = number(value, 10)
        else:
            self.state = self.SIZE if self.chunked else self.BODY if self.left else self.OVER


def number(text: bytes, base: int) -> int:
    try:
        value = int(text, base)
    except ValueError:
        value = -1
    if value < 0:
        raise ProtocolError(f"{text[:20]!r} where a number belongs")
    return value


def request(host: str, path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode()
