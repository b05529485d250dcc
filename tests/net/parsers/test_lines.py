"""Parsing of lines and of the first line of a flow."""

import pytest
from core_helpers import SEEDED
from hypothesis import given
from hypothesis import strategies as st
from parser_helpers import PIECE_SIZES, pieces

from cypresswalk.net.errors import ProtocolError
from cypresswalk.net.parsers.lines import LineParser, parse_open_request


@SEEDED
@given(st.lists(st.text("ab =", max_size=12), max_size=8), PIECE_SIZES)
def test_lines_are_parsed_completely_from_pieces_of_any_size(texts, sizes):
    data = b"".join(text.encode() + b"\r\n" for text in texts)
    line_by_line, in_bulk = LineParser(64), LineParser(64)
    lines: list[str] = []
    relayed = b""
    for piece in pieces(data + b"tail", sizes):
        line_by_line.feed(piece)
        in_bulk.feed(piece)
        while (line := line_by_line.next_line()) is not None:
            lines.append(line.decode())
        complete = in_bulk.take_complete_lines()
        assert not complete or complete.endswith(b"\n")  # MOVE may be sent after it
        relayed += complete
    assert lines == texts
    assert relayed == data


def test_line_over_the_limit_is_refused():
    lines = LineParser(16)
    lines.feed(b"x" * 17)
    with pytest.raises(ProtocolError):
        lines.next_line()


def test_open_request_is_forwarded_unchanged_except_for_its_timeout():
    line = b"OPEN 9b1f 7f3a c=chat,t=acme,d=2000,g=5c0f,h=1.5"
    assert parse_open_request(line).encode(1234) == line.replace(b"2000", b"1234") + b"\r\n"
    assert parse_open_request(b"OPEN 9b1f 7f3a c=chat").encode(5) == b"OPEN 9b1f 7f3a c=chat\r\n"


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"OPEN",
        b"OPEN a",
        b"HELLO a b c=d",
        b"OPEN a b c",
        b"OPEN a b =d",
        b"OPEN a b c=d e",
        b"OPEN  b c=d",
        b"OPEN \xff b c=d",
        b"OPEN a b c=d,c=e",
        b"OPEN a/ b c=d",
        b"OPEN a b c=\0",
        b"OPEN a b c=d\rx",
        b"OPEN a b c=d,d=-1",
        b"OPEN a b d=nan",
        b"OPEN a b d=1e9",
        b"OPEN a b d=1_0",
        b"OPEN a b d=" + b"9" * 400,
        b"OPEN a b h=much",
        b"OPEN a b r=2",
        b"OPEN a b g=",
        b"OPEN a b at=../x",
        b"OPEN a b c=d,",
        b"OPEN " + b"a" * 65 + b" b c=d",
    ],
)
def test_malformed_open_request_is_refused(line):
    with pytest.raises(ProtocolError):
        parse_open_request(line)
