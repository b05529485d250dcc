"""Lines of text, as clients and servers speak them. Knows no socket."""

import re
from dataclasses import dataclass

from cypresswalk.net.parsers.buffer import Buffer


class ProtocolError(Exception):
    """What came in is not the protocol's; the message says what."""


class LineParser:
    """Is fed bytes and gives lines: one by one, or all whole ones at once."""

    __slots__ = ("buffer", "longest", "scanned")

    def __init__(self, longest: int):
        self.buffer, self.longest, self.scanned = Buffer(), longest, 0

    def feed(self, data: bytes) -> None:
        self.buffer.add(data)

    def line(self) -> bytes | None:
        """The next line without its end, or None until there is one."""
        at = self.buffer.find(b"\n", self.scanned)
        if at < 0:
            self.scanned = len(self.buffer)
            self.check(self.scanned)
            return None
        self.scanned = 0
        self.check(at + 1)
        return self.buffer.take(at + 1).rstrip(b"\r\n")

    def whole(self) -> bytes:
        """All whole lines as they came, perhaps none."""
        end = self.buffer.rfind(b"\n") + 1
        self.check(len(self.buffer) - end)
        return self.buffer.take(end) if end else b""

    def check(self, length: int) -> None:
        if length > self.longest:
            raise ProtocolError(f"a line of over {self.longest} bytes")


@dataclass(slots=True)
class OpenRequest:
    """A client's first line: words in their order, so that it can be sent on with another `d`."""

    ident: str
    key: str
    values: dict[str, str]

    def line(self, wait: int) -> bytes:
        """For a server, that is told how many milliseconds this balancer will wait."""
        values = self.values | {"d": str(wait)} if "d" in self.values else self.values
        listed = ",".join(f"{name}={value}" for name, value in values.items())
        return f"OPEN {self.ident} {self.key} {listed}\r\n".encode()


NAME = re.compile(r"[0-9A-Za-z._:-]{1,64}")
VALUE = re.compile(
    r"[!-+.-~-]+"
)  # what can be printed, but no blank and no comma: those part words and values

NUMBER, FLAG = re.compile(r"[0-9]{1,12}([.][0-9]{1,12})?"), re.compile(r"[01]")
FORMS = {"d": NUMBER, "h": NUMBER, "g": NAME, "at": NAME, "r": FLAG, "again": FLAG}


def parse_open_request(line: bytes) -> OpenRequest:
    """Guards servers, and their good name, against what no client of theirs would send."""
    try:
        words = line.decode("ascii").split(" ")
    except UnicodeDecodeError:
        raise ProtocolError("a first line that is not ASCII") from None
    if (
        len(words) not in (3, 4)
        or words[0] != "OPEN"
        or not all(NAME.fullmatch(word) for word in words[1:3])
    ):
        raise ProtocolError(f"a first line that is no OPEN: {line[:60]!r}")
    values = {}
    for pair in words[3].split(",") if len(words) == 4 else []:
        name, _, value = pair.partition("=")
        if (
            name in values
            or not NAME.fullmatch(name)
            or not FORMS.get(name, VALUE).fullmatch(value)
        ):
            raise ProtocolError(f"a first line with {pair[:60]!r} in its list")
        values[name] = value
    return OpenRequest(words[1], words[2], values)
