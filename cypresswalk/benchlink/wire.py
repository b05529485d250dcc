"""Parsing of the bench's records: bytes, times, endpoint list entries and settings."""

import json
import struct

from cypresswalk.hosting import SettingsError, decode_settings, nanoseconds, usable_weight
from cypresswalk.model import Server, ServerState, Settings

BATCH_HEADER = struct.Struct("<IId")
SERVER_ENTRY = struct.Struct("<HdHIHfB")
STATES_BY_CODE = {0: ServerState.READY, 1: ServerState.GONE, 2: ServerState.DRAINING}


class WireError(Exception):
    """The input violates the bench's protocol; the message says what is wrong and where."""


class Reader:
    """A reader of the records of a batch.

    Attributes:
        data: the bytes of the batch.
        offset: position of the next byte to read.
    """

    def __init__(self, data: bytes):
        """Start at the first byte."""
        self.data, self.offset = data, 0

    def take(self, layout: struct.Struct, what: str) -> tuple:
        """Return the values that a layout describes.

        Raises:
            WireError: Too few bytes are left.
        """
        if self.offset + layout.size > len(self.data):
            left = len(self.data) - self.offset
            raise WireError(
                f"{what} at byte {self.offset}: {layout.size} bytes needed, {left} left"
            )
        values = layout.unpack_from(self.data, self.offset)
        self.offset += layout.size
        return values

    def take_bytes(self, count: int, what: str) -> bytes:
        """Return the next `count` bytes.

        Raises:
            WireError: Too few bytes are left.
        """
        if self.offset + count > len(self.data):
            left = len(self.data) - self.offset
            raise WireError(f"{what} at byte {self.offset}: {count} bytes needed, {left} left")
        self.offset += count
        return self.data[self.offset - count : self.offset]


def to_nanoseconds(milliseconds: float, what: str) -> int:
    """Return milliseconds as nanoseconds; raise WireError if they are not finite."""
    try:
        return nanoseconds(milliseconds, what)
    except ValueError as error:
        raise WireError(str(error)) from None


def read_server(reader: Reader) -> Server:
    """Read an entry of the endpoint list and return its server."""
    cell, started_ms, _, server_id, zone, weight, state = reader.take(SERVER_ENTRY, "list entry")
    if state not in STATES_BY_CODE:
        raise WireError(f"list entry before byte {reader.offset}: unknown state {state}")
    return Server(
        id=server_id,
        zone=zone,
        cell=cell,
        weight=usable_weight(weight),
        started_at=to_nanoseconds(started_ms, "start time"),
        state=STATES_BY_CODE[state],
    )


def parse_settings(data: bytes) -> Settings:
    """Parse the settings from JSON; raise WireError if they are invalid."""
    try:
        return decode_settings(json.loads(data))
    except SettingsError as error:
        raise WireError(str(error)) from None
    except ValueError as error:
        raise WireError(f"settings are not JSON: {error}") from None
