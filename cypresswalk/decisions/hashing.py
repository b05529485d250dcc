"""Hashes and random draws, the same for the same input at every instance."""

from hashlib import blake2b
from zlib import crc32


def hash64(number: int) -> int:
    """Hash a 64-bit number to 128 bits that every instance agrees on.

    Keyed CRCs of one id are related to each other; BLAKE2b's are not.
    """
    return int.from_bytes(blake2b(number.to_bytes(8, "little"), digest_size=16).digest(), "little")


def unit_interval(number: int) -> float:
    """Map the low 32 bits of a hash to 0..1."""
    return (number & 0xFFFFFFFF) / 0xFFFFFFFF


class Draws:
    """Random numbers from a seed and a counter, by CRC-32: a run can be repeated.

    Args:
        seed: only the low 32 bits count.
    """

    def __init__(self, seed: int):
        """Begin the sequence."""
        self.seed = seed & 0xFFFFFFFF
        self.count = 0

    def draw(self) -> float:
        """Return the next number, from 0 to 1."""
        self.count += 1
        return crc32(self.count.to_bytes(8, "little"), self.seed) / 0xFFFFFFFF

    def jittered(self, span: int, part: float) -> int:
        """Return `span` more or less by up to `part` of it."""
        return int(span * (1 + part * (2 * self.draw() - 1)))
