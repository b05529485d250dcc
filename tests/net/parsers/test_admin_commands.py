"""Parsing of operators' commands."""

import pytest
from core_helpers import SEEDED
from hypothesis import given
from parser_helpers import PIECE_SIZES, pieces

from cypresswalk.net.errors import ProtocolError
from cypresswalk.net.parsers.admin_commands import AdminCommandParser

MAX_LINE = 4096


def parse(data: bytes, sizes=(MAX_LINE,)) -> tuple[str, str] | None:
    """Return the command's name and server; None if its line is incomplete."""
    parser = AdminCommandParser(MAX_LINE)
    for piece in pieces(data, sizes):
        command = parser.feed(piece)
        if command is not None:
            return command.name, command.server
    return None


@SEEDED
@given(PIECE_SIZES)
def test_command_is_parsed_the_same_from_pieces_of_any_size(sizes):
    assert parse(b"set-down s-1\r\n", sizes) == ("set-down", "s-1")
    assert parse(b"drain-on\n", sizes) == ("drain-on", "")
    assert parse(b"check", sizes) is None


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"chek",
        b"CHECK",
        b"check now",
        b"set-down",
        b"set-up a b",
        b"set-down a/b",
        b"set-down " + b"x" * 65,
        b"\xff\xfe",
        b"set-down \xff",
        b"check\r\nvars",
        b"check\0",
        b"x" * 5000,
        b"drain-on s-1",
    ],
)
def test_malformed_command_is_refused_with_a_reason(line):
    with pytest.raises(ProtocolError) as refused:
        parse(line + b"\r\n")
    assert str(refused.value)
