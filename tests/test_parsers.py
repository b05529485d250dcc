"""Parsers of what arrives over sockets, fed bytes."""

import json

import pytest
from helpers import listed
from hypothesis import given
from hypothesis import settings as runs
from hypothesis import strategies as st

from cypresswalk.model import SECOND, ServerState
from cypresswalk.net.errors import ProtocolError
from cypresswalk.net.limits import Limits
from cypresswalk.net.parsers.buffer import Buffer
from cypresswalk.net.parsers.endpoint_list import EndpointListDecoder, server_number
from cypresswalk.net.parsers.http import ResponseParser
from cypresswalk.net.parsers.json_stream import HEARTBEAT, JsonStreamParser
from cypresswalk.net.parsers.lines import LineParser, parse_open_request
from cypresswalk.net.parsers.load_reports import (
    LoadReportHistory,
    LoadReportParser,
    parse_load_fields,
)

SEEDED = runs(derandomize=True, deadline=None, database=None)
LIMITS = Limits(
    max_sockets=100,
    max_memory=192 << 20,
    dial_timeout=SECOND,
    longest_attempt_timeout=3 * SECOND,
    min_reported_delay=SECOND // 60,
)
CUTS = st.lists(st.integers(1, 9), min_size=1, max_size=60)


def pieces(data: bytes, cuts: list[int]):
    """The data as it may come: in pieces of these sizes, over and over."""
    at = 0
    while at < len(data):
        for cut in cuts:
            yield data[at : at + cut]
            at += cut


@SEEDED
@given(st.lists(st.binary(max_size=20), max_size=20), st.lists(st.integers(0, 30), max_size=40))
def test_a_buffer_gives_back_what_was_added_and_keeps_little_of_what_was_taken(added, taken):
    buffer, whole, out = Buffer(), b"".join(added), b""
    for more, count in zip(added, taken + [0] * len(added)):
        buffer.add(more)
        out += buffer.take(min(count, len(buffer)))
        assert len(buffer.data) <= 2 * len(buffer) + 1
    assert whole.startswith(out) and out + buffer.take(len(buffer)) == whole


@SEEDED
@given(st.lists(st.text("ab =", max_size=12), max_size=8), CUTS)
def test_lines_come_out_whole_however_they_are_cut(texts, cuts):
    data = b"".join(text.encode() + b"\r\n" for text in texts)
    one, all_whole, got, passed = LineParser(64), LineParser(64), [], b""
    for piece in pieces(data + b"tail", cuts):
        one.feed(piece)
        all_whole.feed(piece)
        while (line := one.next_line()) is not None:
            got.append(line.decode())
        part = all_whole.take_complete_lines()
        assert not part or part.endswith(b"\n")  # MOVE may be said here
        passed += part
    assert got == texts and passed == data


def test_a_line_over_the_limit_is_refused_and_not_kept():
    lines = LineParser(16)
    lines.feed(b"x" * 17)
    with pytest.raises(ProtocolError):
        lines.next_line()


def test_an_open_request_is_forwarded_unchanged_but_for_the_wait():
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
def test_a_malformed_open_request_is_refused(line):
    with pytest.raises(ProtocolError):
        parse_open_request(line)


HEAD = b"HTTP/1.1 200 OK\r\n"


@SEEDED
@given(CUTS)
def test_http_bodies_come_out_whole_however_they_are_cut(cuts):
    for data, body, over in [
        (
            HEAD
            + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nA;x=1\r\n0123456789\r\n0\r\nT: x\r\n\r\n",
            b"abc0123456789",
            True,
        ),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", b"abc", False),
        (HEAD + b"Content-Length: 4\r\n\r\nabcd", b"abcd", True),
        (HEAD + b"Content-Length: 0\r\n\r\n", b"", True),
        (HEAD + b"\r\nup to the end", b"up to the end", False),
    ]:
        answer = ResponseParser(100)
        assert b"".join(answer.feed(piece) for piece in pieces(data, cuts)) == body
        assert answer.complete is over and answer.status == 200


@pytest.mark.parametrize(
    "data",
    [
        b"SSH-2.0\r\n",
        b"HTTP/1.1 x\r\n",
        HEAD + b"Content-Length: -1\r\n\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"H" * 200,
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
    ],
)
def test_what_is_no_http_response_is_refused(data):
    with pytest.raises(ProtocolError):
        ResponseParser(100).feed(data)


def test_malformed_entries_are_left_out_and_server_numbers_are_hashes_of_their_ids():
    odd = [
        7,
        {},
        listed("x", "nowhere"),
        listed("x", "a.name:9"),
        listed("x", lifecycle="asleep"),
        listed("x", weight="much"),
        listed("x", startedAtMs=float("nan")),
        listed("x", zone=["a"]),
    ]
    registry = EndpointListDecoder({"a": 0, "b": 1})
    _, entries = registry.decode(
        {
            "generation": 9,
            "reset": False,
            "instances": odd
            + [
                listed("s-1", zone="b", startedAtMs=5000, lifecycle="terminating"),
                listed("s-2", zone="elsewhere", cell="c7"),
            ],
        }
    )
    (first, address), (second, _) = entries
    assert (first.id, first.zone, first.started_at, first.state) == (
        server_number("s-1"),
        1,
        5 * SECOND,
        ServerState.DRAINING,
    )
    assert (
        second.zone not in (0, 1)
        and first.id < 1 << 32
        and address == ("127.0.0.1", 9)
        and registry.version == 9
    )
    for broken in (7, [], {"instances": 7}):
        with pytest.raises(ProtocolError):
            registry.decode(broken)


def test_a_load_line_is_a_delay_where_servers_report_delays_and_no_other_line_is():
    notes = LoadReportParser(False, True, LIMITS)
    assert notes.parse_delay(LoadReportHistory(), 5, b"LOAD 131.5") == 131_500_000
    odd = (b"LOADED 1", b"LOAD", b"LOAD x", b"LOAD nan", b"LOAD -1", b"M 1", b"")
    assert [notes.parse_delay(LoadReportHistory(), 5, line) for line in odd] == [None] * 7
    assert (
        LoadReportParser(True, False, LIMITS).parse_delay(LoadReportHistory(), 5, b"LOAD 1") is None
    )


def test_delays_are_distinguished_from_loads_by_size_and_interval():
    notes, told, other = (
        LoadReportParser(True, True, LIMITS),
        LoadReportHistory(),
        LoadReportHistory(),
    )

    def read(told, now, number):
        delay = notes.parse_delay(told, now * SECOND // 1000, b"LOAD %d" % number)
        return delay and delay // 1_000_000

    assert [read(told, 0, 9000), read(other, 0, 400)] == [None, None]  # as they begin: loads
    assert [read(told, 700, 300), read(told, 2500, 0)] == [None, None]  # changes of the load
    assert [read(told, 3000, 90), read(told, 3996, 700)] == [90, 700]  # a pile begins and grows
    assert [read(told, 4500, 500), read(told, 5000, 1900)] == [None, 1900]  # a load in between
    assert [read(told, 6000, 3), read(told, 7000, 8000)] == [3, None]  # over; no flow waits for 8 s
    assert [read(other, 5000, 900), read(other, 5996, 950), read(other, 7010, 990)] == [
        None,
        950,
        None,
    ]
    assert [read(other, 8000, 300), read(other, 9000, 1400)] == [
        None,
        None,
    ]  # no pile grows that fast


def test_a_load_report_is_parsed_by_name_or_by_position():
    fields = ["x0", "qps"]
    assert (
        parse_load_fields("qps=3.5,x0=0.25", fields)
        == parse_load_fields("0.25 3.5", fields)
        == [0.25, 3.5]
    )
    assert [parse_load_fields(text, fields) for text in ("", "x0=1", "x0=1,qps=many")] == [[]] * 3


TEXT = st.text(alphabet='{}[]",:\\ \n\táx', max_size=6)
OBJECTS = st.recursive(
    st.one_of(st.integers(0, 99), st.booleans(), st.none(), TEXT),
    lambda inner: st.one_of(st.lists(inner, max_size=3), st.dictionaries(TEXT, inner, max_size=3)),
    max_leaves=8,
)


@SEEDED
@given(
    st.lists(
        st.tuples(
            st.dictionaries(TEXT, OBJECTS, max_size=4),
            st.sampled_from([None, 0, 2]),
            st.sampled_from([b"\n", b"\r\n", b"", b" \n", b"\n\n", b"\r\n\r\n"]),
        ),
        max_size=6,
    ),
    CUTS,
)
def test_json_objects_come_out_whole_however_they_are_indented_joined_or_cut(told, cuts):
    # A list on several lines must not be taken for a broken one, which would be asked for again without end.
    data = b"".join(json.dumps(value, indent=indent).encode() + end for value, indent, end in told)
    values, got = JsonStreamParser(100_000), []
    for piece in pieces(data, cuts):
        values.feed(piece)
        while (value := values.next_value()) is not None:
            got.append(value)
    assert [value for value in got if value is not HEARTBEAT] == [value for value, *_ in told]
    if all(b"\n" in end for *_, end in told):
        assert got.count(HEARTBEAT) == sum(end.count(b"\n") - 1 for *_, end in told)


@pytest.mark.parametrize(
    "data",
    [b"[" * 100_000, b'{"a":' * 100, b"[1]", b"nothing", b'{"a":}', b'{"a":"' + b"x" * 999, b"}"],
)
def test_what_is_no_json_object_is_refused_and_not_kept(data):
    values = JsonStreamParser(900)
    with pytest.raises(ProtocolError):
        for at in range(0, len(data), 90):
            values.feed(data[at : at + 90])
            while values.next_value() is not None:
                pass
    assert len(values.buffer) <= 1000
