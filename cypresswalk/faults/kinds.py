"""What can go wrong between two sockets, and the one type that says where it does."""

import json
from dataclasses import dataclass
from enum import Enum


class Kind(str, Enum):
    """The first four end something, the rest change how bytes pass. Those marked in DATAGRAMS exist for UDP too."""

    CUT = "cut"  # both sides get a reset
    TRUNCATE = "truncate"  # nothing passes any more, either way; both sides get an end of stream
    HALF_CLOSE = "half_close"  # an end of stream this way; the other way goes on
    BLACK_HOLE = "black_hole"  # nothing passes this way, and no end either
    DELAY = "delay"  # a pause once
    LATENCY = "latency"  # from here on each byte arrives later
    THROTTLE = "throttle"  # from here on so many bytes a second
    SPLIT = "split"  # from here on writes of at most `size` bytes, apart by `ms`
    JOIN = "join"  # from here on writes wait until `size` bytes are there, at most `ms`
    GARBLE = "garble"  # `size` bytes are changed
    DROP = "drop"  # `size` bytes, or one datagram, are left out
    DUPLICATE = "duplicate"  # a datagram comes twice
    SWAP = "swap"  # a datagram comes after the next one


ENDS = frozenset({Kind.CUT, Kind.TRUNCATE, Kind.HALF_CLOSE, Kind.BLACK_HOLE})
DATAGRAMS = frozenset(
    {Kind.DROP, Kind.DELAY, Kind.DUPLICATE, Kind.GARBLE, Kind.TRUNCATE, Kind.SWAP}
)
STREAMS = frozenset(set(Kind) - {Kind.DUPLICATE, Kind.SWAP})
# What each kind needs to be told; what is not named here it does not take.
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
    """One fault: of the connection with that number, in one direction, at a byte's offset (UDP: a datagram's number).
    Bound to bytes and not to time, so that it strikes at the same place however late the machine is."""

    connection: (
        int  # from 1, in the order in which they were accepted; UDP: in which peers first spoke
    )
    direction: str  # "up", from who connected, or "down"
    at: int
    kind: Kind
    size: int = 0
    ms: int = 0
    rate: int = 0
    mask: int = 0  # the seed of what garbled bytes become

    def line(self) -> str:
        """As JSON, always the same for the same fault; without what does not concern its kind."""
        said = {
            "connection": self.connection,
            "direction": self.direction,
            "at": self.at,
            "kind": self.kind.value,
        }
        said |= {
            name: getattr(self, name)
            for name in ("size", "ms", "rate", "mask")
            if getattr(self, name)
        }
        return json.dumps(said, separators=(",", ":"))

    @property
    def place(self) -> tuple:
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
