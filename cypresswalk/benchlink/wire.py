"""Reading and writing the records of the wire."""

import json
import struct

from cypresswalk.hosting import SettingsError, decode_settings, nanoseconds, usable_weight
from cypresswalk.model import Server, ServerState, Settings

HEADER = struct.Struct("<IId")
ENTRY = struct.Struct("<HdHIHfB")
STATES = {0: ServerState.READY, 1: ServerState.GONE, 2: ServerState.DRAINING}


class WireError(Exception):
    """What came in is not the wire's; the message says what and where."""


class Reader:
    """Reads the records of a batch, one after the other."""

    def __init__(self, data: bytes):
        """Begin at the first byte."""
        self.data, self.at = data, 0

    def take(self, layout: struct.Struct, what: str) -> tuple:
        """Return the values of a layout.

        Raises:
            WireError: too few bytes are left.
        """
        if self.at + layout.size > len(self.data):
            left = len(self.data) - self.at
            raise WireError(f"{what} at byte {self.at}: {layout.size} bytes needed, {left} left")
        values = layout.unpack_from(self.data, self.at)
        self.at += layout.size
        return values

    def chunk(self, count: int, what: str) -> bytes:
        """Return so many bytes.

        Raises:
            WireError: too few bytes are left.
        """
        if self.at + count > len(self.data):
            left = len(self.data) - self.at
            raise WireError(f"{what} at byte {self.at}: {count} bytes needed, {left} left")
        self.at += count
        return self.data[self.at - count : self.at]


def span(milliseconds: float, what: str) -> int:
    """Return milliseconds as nanoseconds; raises WireError where they are no time."""
    try:
        return nanoseconds(milliseconds, what)
    except ValueError as error:
        raise WireError(str(error)) from None


def entry(reader: Reader) -> Server:
    """Read an entry of the endpoint list."""
    cell, since, _, server, zone, weight, state = reader.take(ENTRY, "list entry")
    if state not in STATES:
        raise WireError(f"list entry before byte {reader.at}: unknown state {state}")
    return Server(
        id=server,
        zone=zone,
        cell=cell,
        weight=usable_weight(weight),
        started_at=span(since, "start time"),
        state=STATES[state],
    )


def settings(text: bytes) -> Settings:
    """Return the settings that a text holds; raises WireError where it holds none."""
    try:
        return decode_settings(json.loads(text))
    except SettingsError as error:
        raise WireError(str(error)) from None
    except ValueError as error:
        raise WireError(f"settings are not JSON: {error}") from None
