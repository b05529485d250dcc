"""What tests of parsers share: data that arrives in pieces of any size."""

from collections.abc import Iterator, Sequence

from hypothesis import strategies as st

CUTS = st.lists(st.integers(1, 9), min_size=1, max_size=60)  # sizes of pieces


def pieces(data: bytes, cuts: Sequence[int]) -> Iterator[bytes]:
    """The data as it may arrive: in pieces of these sizes, over and over."""
    at = 0
    while at < len(data):
        for cut in cuts:
            yield data[at : at + cut]
            at += cut
