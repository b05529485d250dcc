"""The parser of the stream of JSON objects that discovery sends."""

import json
import re
from typing import Final

from cypresswalk.net.errors import MessageTooLongError, ProtocolError
from cypresswalk.net.parsers.buffer import Buffer

MAX_DEPTH = 32  # levels of nesting; an endpoint list has four, and decoding uses stack for each
MAX_QUOTED = 60  # bytes of malformed input that an error quotes
WHITESPACE = b" \t\r\n"
BLANKS = b" \t"
INDENTATION = re.compile(rb"\n[ \t]+")  # never within a string, which holds no line end
LINE_END = ord("\n")
OBJECT_START = ord("{")
STRUCTURE = re.compile(rb'["{}\[\]]')  # the tokens that matter outside a string
STRING_END_OR_ESCAPE = re.compile(rb'["\\]')  # the tokens that matter inside one

HEARTBEAT: Final = object()
"""Stands for an empty line, which discovery sends while the list does not change."""


class JsonStreamParser:
    """Splits a stream into objects and empty lines.

    An object may arrive in pieces or be indented over several lines. One line may hold several
    objects. Indentation is dropped on arrival, so that it takes no memory and does not count.

    Attributes:
        buffer: Received bytes that are not returned yet, without indentation.
        max_bytes: Length limit of one object, without indentation.
    """

    def __init__(self, max_bytes: int):
        """Create a parser of objects of at most `max_bytes`."""
        self.buffer = Buffer()
        self.max_bytes = max_bytes
        self._scanned = 0  # bytes of the incomplete object that are scanned already
        self._depth = 0  # number of its open brackets
        self._in_string = False
        self._line_has_text = False  # whether the current line of the stream is not empty
        self._at_line_start = False  # whether nothing but indentation came since a line end

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        if self._at_line_start:
            data = data.lstrip(BLANKS)
        if data:
            data = INDENTATION.sub(b"\n", data)
            self._at_line_start = data.endswith(b"\n")
            self.buffer.add(data)

    def next_value(self) -> object | None:
        """Return the next object as a dict, or HEARTBEAT; None if more bytes are needed.

        Raises:
            ProtocolError: The data is not a JSON object, or is nested too deeply.
            MessageTooLongError: An object exceeds the limit.
        """
        if not self._depth:
            data = self.buffer.data
            index = self.buffer.start
            while index < len(data) and data[index] in WHITESPACE:
                index += 1
                if data[index - 1] == LINE_END:
                    line_had_text = self._line_has_text
                    self._line_has_text = False
                    if not line_had_text:
                        self.buffer.take(index - self.buffer.start)
                        return HEARTBEAT
            self.buffer.take(index - self.buffer.start)
            if not len(self.buffer):
                return None
            if (value := self._decode_line()) is not None:
                return value
        return self._scan()

    def _decode_line(self) -> object | None:
        """Decode the usual form, one object per line, without scanning for brackets."""
        end = self.buffer.find(b"\n")
        if not 0 <= end <= self.max_bytes:
            return None
        data = self.buffer.data
        start = self.buffer.start
        try:
            value = json.loads(data[start : start + end])
        except (ValueError, RecursionError):
            # Not exactly one object: scanning the brackets finds where the object ends.
            return None
        if not isinstance(value, dict):
            return None
        self.buffer.take(end)
        self._line_has_text = True
        return value

    def _scan(self) -> object | None:
        """Scan for the bracket that closes the object; return None if it has not arrived."""
        data = self.buffer.data
        start = self.buffer.start
        if data[start] != OBJECT_START:
            raise ProtocolError(f"not a JSON object: {bytes(data[start : start + MAX_QUOTED])!r}")
        index = start + self._scanned
        while found := (STRING_END_OR_ESCAPE if self._in_string else STRUCTURE).search(data, index):
            index = found.end()
            token = found.group()
            if token == b'"':
                self._in_string = not self._in_string
            elif token == b"\\":
                # The escaped character has not arrived: the next scan starts at the backslash.
                if index == len(data):
                    index -= 1
                    break
                index += 1
            else:
                self._depth += 1 if token in b"{[" else -1
                if self._depth > MAX_DEPTH:
                    raise ProtocolError("nested too deeply")
                if not self._depth:
                    return self._decode(index - start)
        else:
            index = len(data)
        self._scanned = index - start
        self._check_length(self._scanned)
        return None

    def _decode(self, length: int) -> object:
        self._check_length(length)
        self._scanned = 0
        self._line_has_text = True
        try:
            return json.loads(self.buffer.take(length))
        except (ValueError, RecursionError) as error:
            raise ProtocolError(f"not JSON: {error}") from error

    def _check_length(self, length: int) -> None:
        if length > self.max_bytes:
            raise MessageTooLongError("an object", self.max_bytes)
