"""Helpers for parser tests: data that arrives in pieces of any size."""

from collections.abc import Iterator, Sequence

from hypothesis import strategies as st

PIECE_SIZES = st.lists(st.integers(1, 9), min_size=1, max_size=60)  # bytes


def pieces(data: bytes, sizes: Sequence[int]) -> Iterator[bytes]:
    """Yield the data in pieces of these sizes, repeating the sizes as needed."""
    at = 0
    while at < len(data):
        for size in sizes:
            yield data[at : at + size]
            at += size
