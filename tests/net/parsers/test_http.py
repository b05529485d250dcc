"""Parsing of HTTP responses."""

import pytest
from core_helpers import SEEDED
from hypothesis import given
from parser_helpers import PIECE_SIZES, pieces

from cypresswalk.net.errors import ProtocolError
from cypresswalk.net.parsers.http import ResponseParser

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


@SEEDED
@given(PIECE_SIZES)
def test_http_body_is_parsed_completely_from_pieces_of_any_size(sizes):
    for data, body, complete in [
        (
            CHUNKED + b"3\r\nabc\r\nA;x=1\r\n0123456789\r\n0\r\nT: x\r\n\r\n",
            b"abc0123456789",
            True,
        ),
        (CHUNKED + b"3\r\nabc\r\n", b"abc", False),
        (HEAD + b"Content-Length: 4\r\n\r\nabcd", b"abcd", True),
        (HEAD + b"Content-Length: 0\r\n\r\n", b"", True),
        (HEAD + b"\r\nup to the end", b"up to the end", False),
    ]:
        response = ResponseParser(100)
        assert b"".join(response.feed(piece) for piece in pieces(data, sizes)) == body
        assert response.complete is complete
        assert response.status == 200


@pytest.mark.parametrize(
    "data",
    [
        b"SSH-2.0\r\n",
        b"HTTP/1.1 x\r\n",
        HEAD + b"Content-Length: -1\r\n\r\n",
        CHUNKED + b"zz\r\n",
        b"H" * 200,
        CHUNKED + b"1\r\nabc\r\n",
    ],
)
def test_malformed_http_response_is_refused(data):
    with pytest.raises(ProtocolError):
        ResponseParser(100).feed(data)
