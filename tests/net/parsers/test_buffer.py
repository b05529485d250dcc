"""The buffer of received bytes."""

from core_helpers import SEEDED
from hypothesis import given
from hypothesis import strategies as st

from cypresswalk.net.parsers.buffer import Buffer


@SEEDED
@given(st.lists(st.binary(max_size=20), max_size=20), st.lists(st.integers(0, 30), max_size=40))
def test_buffer_returns_added_bytes_in_order_and_frees_consumed_ones(added, take_counts):
    buffer = Buffer()
    data = b"".join(added)
    received = b""
    counts = take_counts + [0] * len(added)
    for piece, count in zip(added, counts, strict=False):
        buffer.add(piece)
        received += buffer.take(min(count, len(buffer)))
        assert len(buffer.data) <= 2 * len(buffer) + 1
    assert data.startswith(received)
    assert received + buffer.take(len(buffer)) == data
