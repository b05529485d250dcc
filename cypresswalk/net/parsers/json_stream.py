"""JSON objects, one after another in a stream, as discovery writes them. Knows no socket."""

import json
import re

from cypresswalk.net.parsers.buffer import Buffer
from cypresswalk.net.parsers.lines import ProtocolError

DEEPEST = 32  # a list is four deep; decoding takes stack by the level
BLANK, LINE_END, OPENING = b" \t\r\n", ord("\n"), ord("{")
OUTSIDE, INSIDE = re.compile(rb'["{}\[\]]'), re.compile(rb'["\\]')
EMPTY = object()  # a line without text: the beat while nothing changes


class JsonStream:
    """Is fed bytes and gives whole objects and empty lines, however both are cut, indented or joined. Guards against a
    list on several lines that would be taken for a broken one, and asked for again and again."""

    def __init__(self, longest: int):
        self.buffer, self.longest = Buffer(), longest
        self.scanned = self.depth = 0
        self.quoted = False
        self.line_open = False  # text came on the line that the stream is on

    def feed(self, data: bytes) -> None:
        self.buffer.add(data)

    def next(self) -> object | None:
        """The next object or EMPTY; None until more has come."""
        if not self.depth:
            data, at = self.buffer.data, self.buffer.start
            while at < len(data) and data[at] in BLANK:
                at += 1
                if data[at - 1] == LINE_END:
                    ends, self.line_open = self.line_open, False
                    if not ends:
                        self.buffer.take(at - self.buffer.start)
                        return EMPTY
            self.buffer.take(at - self.buffer.start)
            if not len(self.buffer):
                return None
            if (value := self.one_line()) is not None:
                return value
        return self.scan()

    def one_line(self) -> object | None:
        """The usual form, an object a line, is decoded without a look at each bracket."""
        end = self.buffer.find(b"\n")
        if not 0 <= end <= self.longest:
            return None
        data, start = self.buffer.data, self.buffer.start
        try:
            value = json.loads(data[start : start + end])
        except (ValueError, RecursionError):
            return None  # not a whole one, or more than one: the brackets tell
        if not isinstance(value, dict):
            return None
        self.buffer.take(end)
        self.line_open = True
        return value

    def scan(self) -> object | None:
        """On to the bracket that closes the object."""
        data, start = self.buffer.data, self.buffer.start
        if data[start] != OPENING:
            raise ProtocolError(f"no object: {bytes(data[start : start + 60])!r}")
        at = start + self.scanned
        while found := (INSIDE if self.quoted else OUTSIDE).search(data, at):
            at, what = found.end(), found.group()
            if what == b'"':
                self.quoted = not self.quoted
            elif what == b"\\":
                if at == len(data):  # what it escapes is still to come
                    at -= 1
                    break
                at += 1
            else:
                self.depth += 1 if what in b"{[" else -1
                if self.depth > DEEPEST:
                    raise ProtocolError("nested beyond reason")
                if not self.depth:
                    return self.close(at - start)
        else:
            at = len(data)
        self.scanned = at - start
        self.check(self.scanned)
        return None

    def close(self, end: int) -> object:
        self.check(end)
        self.scanned, self.line_open = 0, True
        try:
            return json.loads(self.buffer.take(end))
        except (ValueError, RecursionError) as error:
            raise ProtocolError(f"not JSON: {error}") from None

    def check(self, length: int) -> None:
        if length > self.longest:
            raise ProtocolError(f"an object of over {self.longest} bytes")
