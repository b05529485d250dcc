"""Parsing of the loads and delays that servers report."""

from core_helpers import LIMITS

from cypresswalk.model import SECOND
from cypresswalk.net.parsers.load_reports import (
    LoadReportHistory,
    LoadReportParser,
    parse_load_fields,
)


def test_load_line_is_a_delay_where_servers_report_delays_and_no_other_line_is():
    delays_only = LoadReportParser(False, True, LIMITS)
    assert delays_only.parse_delay(LoadReportHistory(), 5, b"LOAD 131.5") == 131_500_000
    others = (b"LOADED 1", b"LOAD", b"LOAD x", b"LOAD nan", b"LOAD -1", b"M 1", b"")
    delays = [delays_only.parse_delay(LoadReportHistory(), 5, line) for line in others]
    assert delays == [None] * 7
    loads_only = LoadReportParser(True, False, LIMITS)
    assert loads_only.parse_delay(LoadReportHistory(), 5, b"LOAD 1") is None


def test_delays_are_distinguished_from_loads_by_size_and_interval():
    parser = LoadReportParser(True, True, LIMITS)
    first, other = LoadReportHistory(), LoadReportHistory()

    def read(history: LoadReportHistory, now_ms: int, number: int) -> int | None:
        delay = parser.parse_delay(history, now_ms * SECOND // 1000, b"LOAD %d" % number)
        return delay and delay // 1_000_000

    # The first number of a connection is a load.
    assert [read(first, 0, 9000), read(other, 0, 400)] == [None, None]
    # Changes of the load.
    assert [read(first, 700, 300), read(first, 2500, 0)] == [None, None]
    # A backlog begins and grows.
    assert [read(first, 3000, 90), read(first, 3996, 700)] == [90, 700]
    # A load between two delays.
    assert [read(first, 4500, 500), read(first, 5000, 1900)] == [None, 1900]
    # The backlog is gone. No flow waits for 8 s, so that number is a load.
    assert [read(first, 6000, 3), read(first, 7000, 8000)] == [3, None]
    reports = [(5000, 900), (5996, 950), (7010, 990)]
    assert [read(other, *report) for report in reports] == [None, 950, None]
    # No backlog grows that fast.
    reports = [(8000, 300), (9000, 1400)]
    assert [read(other, *report) for report in reports] == [None, None]


def test_load_report_is_parsed_by_name_or_by_position():
    fields = ["x0", "qps"]
    assert (
        parse_load_fields("qps=3.5,x0=0.25", fields)
        == parse_load_fields("0.25 3.5", fields)
        == [0.25, 3.5]
    )
    assert [parse_load_fields(text, fields) for text in ("", "x0=1", "x0=1,qps=many")] == [[]] * 3
