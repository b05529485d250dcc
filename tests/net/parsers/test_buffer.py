"""The buffer of received bytes."""

from core_helpers import SEEDED
from hypothesis import given
from hypothesis import strategies as st

from cypresswalk.net.parsers.buffer import Buffer


@SEEDED
@given(st.lists(st.binary(max_size=20), max_size=20), st.lists(st.integers(0, 30), max_size=40))
def test_buffer_returns_what_was_added_and_keeps_little_of_what_was_taken(added, taken):
    buffer = Buffer()
    whole = b"".join(added)
    out = b""
    counts = taken + [0] * len(added)
    for more, count in zip(added, counts, strict=False):
        buffer.add(more)
        out += buffer.take(min(count, len(buffer)))
        assert len(buffer.data) <= 2 * len(buffer) + 1
    assert whole.startswith(out)
    assert out + buffer.take(len(buffer)) == whole
