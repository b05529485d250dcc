"""Operators' calls, as they arrive."""

import pytest
from core_helpers import SEEDED
from hypothesis import given
from parser_helpers import CUTS, pieces

from cypresswalk.net.errors import ProtocolError
from cypresswalk.net.parsers.admin_commands import AdminCommandParser

MAX_LINE = 4096


def parse(data: bytes, cuts=(MAX_LINE,)) -> tuple[str, str] | None:
    """The call's name and server; None if it is not whole."""
    parser = AdminCommandParser(MAX_LINE)
    for piece in pieces(data, cuts):
        command = parser.feed(piece)
        if command is not None:
            return command.name, command.server
    return None


@SEEDED
@given(CUTS)
def test_call_is_read_alike_however_it_is_cut(cuts):
    assert parse(b"set-down s-1\r\n", cuts) == ("set-down", "s-1")
    assert parse(b"drain-on\n", cuts) == ("drain-on", "")
    assert parse(b"check", cuts) is None


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
def test_malformed_call_is_refused_with_a_reason(line):
    with pytest.raises(ProtocolError) as refused:
        parse(line + b"\r\n")
    assert str(refused.value)
