"""Tests of the log lines' format and rate limit."""

import logging

import pytest

from cypresswalk.net.logs import RateLimitFilter, event


def test_log_lines_beyond_the_limit_are_left_out_and_counted():
    limiter = RateLimitFilter(2)
    records = [
        logging.makeLogRecord({"msg": "event=x", "levelno": logging.WARNING, "created": at})
        for at in (1, 1.5, 1.9, 1.95, 2)
    ]
    assert [limiter.filter(record) for record in records] == [True, True, False, False, True]
    assert records[-1].msg == "event=x left_out=2"
    # Records of level INFO, such as the counters at the end, always pass.
    info_records = [
        logging.makeLogRecord({"msg": "event=end", "levelno": logging.INFO, "created": 2.5})
        for _ in range(4)
    ]
    assert all(limiter.filter(record) for record in info_records)


def test_log_values_are_quoted_if_they_contain_spaces_or_quotes():
    assert event("x", a=1, b="two words", c='q"') == 'event=x a=1 b="two words" c="q\\""'


@pytest.mark.parametrize(
    "error, text",
    [
        (TimeoutError(), "TimeoutError"),
        (ConnectionResetError(), "ConnectionResetError"),
        (TimeoutError("timed out"), '"timed out"'),
    ],
)
def test_error_without_a_text_is_logged_by_its_class(error, text):
    # CPython raises some errors without a text, and the field `error=` stayed empty.
    assert event("list_failed", error=error) == f"event=list_failed error={text}"
