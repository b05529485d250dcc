"""The kinds of faults, and `Fault`: one fault at one place."""

import json
from dataclasses import dataclass
from enum import StrEnum


class Kind(StrEnum):
    """What a fault does.

    The first four end a stream or a connection; the others change how bytes are forwarded. Kinds in
    DATAGRAM_KINDS can be used for UDP, kinds in STREAM_KINDS for TCP.
    """

    CUT = "cut"  # both sides get a reset
    TRUNCATE = "truncate"  # both sides get an end of stream; nothing more is forwarded
    HALF_CLOSE = "half_close"  # an end of stream in this direction; the other continues
    BLACK_HOLE = "black_hole"  # nothing more is forwarded in this direction, not even its end
    DELAY = "delay"  # one pause of `ms`
    LATENCY = "latency"  # from here on each byte is delayed by `ms`
    THROTTLE = "throttle"  # from here on at most `rate` bytes per second
    SPLIT = "split"  # from here on writes of at most `size` bytes, `ms` apart
    JOIN = "join"  # from here on bytes are held until there are `size`, for at most `ms`
    GARBLE = "garble"  # `size` bytes are changed to other values
    DROP = "drop"  # `size` bytes, or one datagram, are not forwarded
    DUPLICATE = "duplicate"  # a datagram is forwarded twice
    SWAP = "swap"  # a datagram is forwarded after the next one


TERMINAL_KINDS = frozenset({Kind.CUT, Kind.TRUNCATE, Kind.HALF_CLOSE, Kind.BLACK_HOLE})
CONNECTION_ENDING_KINDS = frozenset({Kind.CUT, Kind.TRUNCATE})  # both directions of a connection
DATAGRAM_KINDS = frozenset(
    {Kind.DROP, Kind.DELAY, Kind.DUPLICATE, Kind.GARBLE, Kind.TRUNCATE, Kind.SWAP}
)
STREAM_KINDS = frozenset(set(Kind) - {Kind.DUPLICATE, Kind.SWAP})
# The parameters that each kind requires; it takes no others.
STREAM_PARAMETERS = {
    Kind.DELAY: {"ms"},
    Kind.LATENCY: {"ms"},
    Kind.THROTTLE: {"rate"},
    Kind.SPLIT: {"size", "ms"},
    Kind.JOIN: {"size", "ms"},
    Kind.GARBLE: {"size"},
    Kind.DROP: {"size"},
}
DATAGRAM_PARAMETERS = {Kind.DELAY: {"ms"}, Kind.GARBLE: {"size"}}


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault at one place.

    Its place is a byte offset and not a time, so that it is injected at the same place however slow
    the machine is.

    Attributes:
        connection: the connection's number from 1, in the order of acceptance; for UDP the peer's,
            in the order of first datagrams.
        direction: "up" (from the client to the target) or "down".
        at: offset of a byte; for UDP the datagram's number from 0.
        kind: the kind of fault.
        size: number of bytes.
        ms: milliseconds.
        rate: bytes per second.
        mask: seed for the values of garbled bytes.
    """

    connection: int
    direction: str
    at: int
    kind: Kind
    size: int = 0
    ms: int = 0
    rate: int = 0
    mask: int = 0

    def json_line(self) -> str:
        """Return the fault as JSON without parameters that are 0; equal faults give equal text."""
        parameters = {name: getattr(self, name) for name in ("size", "ms", "rate", "mask")}
        fields = {
            "connection": self.connection,
            "direction": self.direction,
            "at": self.at,
            "kind": self.kind.value,
        } | {name: value for name, value in parameters.items() if value}
        return json.dumps(fields, separators=(",", ":"))

    @property
    def sort_key(self) -> tuple[int, str, int, str, int, int, int, int]:
        """The key by which faults are sorted: connection, direction, offset, then the rest."""
        return (
            self.connection,
            self.direction,
            self.at,
            self.kind.value,
            self.size,
            self.ms,
            self.rate,
            self.mask,
        )
