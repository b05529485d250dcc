"""Hashes and pseudorandom draws that give every instance the same results for the same input."""

from hashlib import blake2b
from zlib import crc32


def hash_number(number: int) -> int:
    """Return a 128-bit hash of a 64-bit number, the same at every instance.

    The hash is BLAKE2b, because differently keyed CRCs of one id are correlated.
    """
    return int.from_bytes(blake2b(number.to_bytes(8, "little"), digest_size=16).digest(), "little")


def unit_interval(number: int) -> float:
    """Return the low 32 bits of a hash mapped to 0..1."""
    return (number & 0xFFFFFFFF) / 0xFFFFFFFF


class Draws:
    """Pseudorandom numbers from the CRC-32 of a seed and a counter, so that runs are repeatable.

    Args:
        seed: the seed, of which only the low 32 bits are used.
    """

    def __init__(self, seed: int):
        """Start the sequence."""
        self.seed = seed & 0xFFFFFFFF
        self.count = 0

    def draw(self) -> float:
        """Return the next number between 0 and 1."""
        self.count += 1
        return crc32(self.count.to_bytes(8, "little"), self.seed) / 0xFFFFFFFF

    def jittered(self, span: int, part: float) -> int:
        """Return `span`, changed at random by up to the fraction `part` of it."""
        return int(span * (1 + part * (2 * self.draw() - 1)))
