"""The kinds of faults, and one fault at one place."""

import json
from dataclasses import dataclass
from enum import StrEnum


class Kind(StrEnum):
    """What a fault does.

    The first four end something, the others change how bytes pass. Kinds in DATAGRAMS exist for
    UDP.
    """

    CUT = "cut"  # both sides get a reset
    TRUNCATE = "truncate"  # nothing passes any more either way; both sides get an end of stream
    HALF_CLOSE = "half_close"  # an end of stream in this direction; the other goes on
    BLACK_HOLE = "black_hole"  # nothing passes in this direction, and no end either
    DELAY = "delay"  # one pause
    LATENCY = "latency"  # from here on each byte arrives later
    THROTTLE = "throttle"  # from here on at most so many bytes per second
    SPLIT = "split"  # from here on writes of at most `size` bytes, `ms` apart
    JOIN = "join"  # from here on writes wait for `size` bytes, at most `ms`
    GARBLE = "garble"  # `size` bytes are changed
    DROP = "drop"  # `size` bytes, or one datagram, are left out
    DUPLICATE = "duplicate"  # a datagram comes twice
    SWAP = "swap"  # a datagram comes after the next one


ENDS = frozenset({Kind.CUT, Kind.TRUNCATE, Kind.HALF_CLOSE, Kind.BLACK_HOLE})
DATAGRAMS = frozenset(
    {Kind.DROP, Kind.DELAY, Kind.DUPLICATE, Kind.GARBLE, Kind.TRUNCATE, Kind.SWAP}
)
STREAMS = frozenset(set(Kind) - {Kind.DUPLICATE, Kind.SWAP})
# The parameters each kind needs; it takes no others.
NEEDS = {
    Kind.DELAY: {"ms"},
    Kind.LATENCY: {"ms"},
    Kind.THROTTLE: {"rate"},
    Kind.SPLIT: {"size", "ms"},
    Kind.JOIN: {"size", "ms"},
    Kind.GARBLE: {"size"},
    Kind.DROP: {"size"},
}
DATAGRAM_NEEDS = {Kind.DELAY: {"ms"}, Kind.GARBLE: {"size"}}


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault at one place.

    It is bound to bytes and not to time, so that it is injected at the same place however late the
    machine is.

    Attributes:
        connection: from 1, in the order of acceptance; UDP: the peer, in the order of first
        datagrams. direction: "up", from who connected, or "down". at: offset of a byte; UDP: the
        datagram's number from 0. kind: what it does. size: bytes. ms: milliseconds. rate: bytes per
        second. mask: the seed for what garbled bytes become.
    """

    connection: int
    direction: str
    at: int
    kind: Kind
    size: int = 0
    ms: int = 0
    rate: int = 0
    mask: int = 0

    def line(self) -> str:
        """The fault as JSON, without parameters of other kinds; alike for equal faults."""
        parameters = {name: getattr(self, name) for name in ("size", "ms", "rate", "mask")}
        fields = {
            "connection": self.connection,
            "direction": self.direction,
            "at": self.at,
            "kind": self.kind.value,
        } | {name: value for name, value in parameters.items() if value}
        return json.dumps(fields, separators=(",", ":"))

    @property
    def place(self) -> tuple[int, str, int, str, int, int, int, int]:
        """The key by which faults are sorted."""
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
