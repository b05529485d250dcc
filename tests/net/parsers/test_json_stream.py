"""Parsing of a stream of JSON objects."""

import json

import pytest
from core_helpers import SEEDED
from hypothesis import given
from hypothesis import strategies as st
from parser_helpers import PIECE_SIZES, pieces

from cypresswalk.net.errors import ProtocolError
from cypresswalk.net.parsers.json_stream import HEARTBEAT, JsonStreamParser

TEXT = st.text(alphabet='{}[]",:\\ \n\táx', max_size=6)


VALUES = st.recursive(
    st.one_of(st.integers(0, 99), st.booleans(), st.none(), TEXT),
    lambda inner: st.one_of(st.lists(inner, max_size=3), st.dictionaries(TEXT, inner, max_size=3)),
    max_leaves=8,
)


@SEEDED
@given(
    st.lists(
        st.tuples(
            st.dictionaries(TEXT, VALUES, max_size=4),
            st.sampled_from([None, 0, 2]),
            st.sampled_from([b"\n", b"\r\n", b"", b" \n", b"\n\n", b"\r\n\r\n"]),
        ),
        max_size=6,
    ),
    PIECE_SIZES,
)
def test_json_objects_are_parsed_with_any_indentation_line_ends_and_pieces(sent, sizes):
    # If an endpoint list on several lines were refused, the balancer would request it again and
    # again.
    data = b"".join(json.dumps(value, indent=indent).encode() + end for value, indent, end in sent)
    parser = JsonStreamParser(100_000)
    received = []
    for piece in pieces(data, sizes):
        parser.feed(piece)
        while (value := parser.next_value()) is not None:
            received.append(value)
    assert [value for value in received if value is not HEARTBEAT] == [value for value, *_ in sent]
    if all(b"\n" in end for *_, end in sent):
        assert received.count(HEARTBEAT) == sum(end.count(b"\n") - 1 for *_, end in sent)


@SEEDED
@given(st.integers(1, 40), PIECE_SIZES)
def test_indentation_does_not_count_toward_the_length_of_an_object(indent, sizes):
    # An indented list of 3,200 servers was longer than the limit: the same call was repeated for
    # good, and no drain was heard any more.
    value = {"instances": [{"instanceId": f"s \n{i}"} for i in range(40)]}
    parser = JsonStreamParser(len(json.dumps(value, indent=0)))
    received = []
    for piece in pieces(json.dumps(value, indent=indent).encode(), sizes):
        parser.feed(piece)
        while (object_or_heartbeat := parser.next_value()) is not None:
            received.append(object_or_heartbeat)
    assert received == [value]


@pytest.mark.parametrize(
    "data",
    [b"[" * 100_000, b'{"a":' * 100, b"[1]", b"nothing", b'{"a":}', b'{"a":"' + b"x" * 999, b"}"],
)
def test_data_that_is_no_json_object_is_refused_and_not_buffered(data):
    parser = JsonStreamParser(900)
    with pytest.raises(ProtocolError):
        for at in range(0, len(data), 90):
            parser.feed(data[at : at + 90])
            while parser.next_value() is not None:
                pass
    assert len(parser.buffer) <= 1000
