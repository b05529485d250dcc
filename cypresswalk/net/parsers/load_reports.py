"""Parsers of servers' reports of load and delay: LOAD lines and answers to health checks."""

import math
from threading import Lock
from typing import NamedTuple

from cypresswalk.hosting import nanoseconds
from cypresswalk.net.limits import MILLISECOND, Limits

# A number is a delay if it is less than the smallest first load of all connections divided by this.
# A load is seldom so far below the smallest of a few dozen loads, and a growing delay starts there.
DELAY_BELOW_FIRST_LOADS = 2


class RecentReport(NamedTuple):
    """One LOAD line of a connection.

    Attributes:
        at: Time at which the line was read, nanoseconds.
        number: Number in the line.
        is_delay: Whether the number was classified as a delay.
    """

    at: int
    number: float
    is_delay: bool


class LoadReportHistory:
    """The recent LOAD lines of one connection."""

    __slots__ = ("expects_first", "recent")

    def __init__(self) -> None:
        """Create the history of a connection without LOAD lines."""
        self.expects_first = True  # whether the next line is the connection's first
        self.recent: list[RecentReport] = []


class LoadReportParser:
    """Distinguishes delays from loads in LOAD lines.

    A LOAD line reports one of two things. A load is the connection's work in microseconds per
    second, reported at its beginning and whenever it changes. A delay is the time in milliseconds
    that a message takes at the server, reported once a second on one connection while it is long
    and once more when it no longer is. The settings say which of the two servers report. If they
    report both, the lines do not say which one it is, and a number is classified as a delay in two
    cases: it is far below the first load of any connection; or it arrives a second after another
    report on the same connection, and either that one was a delay or the number exceeds it by at
    most a second, since a backlog cannot grow faster. In the second case a number above the longest
    attempt timeout is no delay.

    Attributes:
        delays: Whether servers report delays.
    """

    def __init__(self, loads: bool, delays: bool, limits: Limits):
        """Create a parser that all connections share.

        Args:
            loads: Whether servers report loads.
            delays: Whether servers report delays.
            limits: Limits with the interval, jitter and longest delay of delay reports.
        """
        self.delays = delays
        self._loads = loads
        self._interval = limits.delay_report_interval
        self._jitter = limits.delay_report_jitter
        self._longest_delay = limits.longest_connect_timeout
        self._smallest_first_load = math.inf  # over all connections
        self._lock = Lock()  # each server connection has a thread that calls the parser

    def parse_delay(self, history: LoadReportHistory, now: int, line: bytes) -> int | None:
        """Return the delay in nanoseconds that a line reports, or None if it reports none.

        Args:
            history: The connection's recent LOAD lines; this one is added.
            now: Time at which the line was read, nanoseconds.
            line: The line without its end.
        """
        number = parse_load_line(line)
        if number is None or not self.delays:
            return None
        if self._loads and not self._is_delay(history, now, number):
            return None
        return nanoseconds(number, "LOAD")

    def _is_delay(self, history: LoadReportHistory, now: int, number: float) -> bool:
        if history.expects_first:
            history.expects_first = False
            with self._lock:
                self._smallest_first_load = min(self._smallest_first_load, number or math.inf)
            return False
        min_previous = number - self._interval / MILLISECOND
        follows_delay = any(
            abs(now - report.at - self._interval) <= self._jitter
            and (report.is_delay or min_previous <= report.number)
            for report in history.recent
        )
        possible = number <= self._longest_delay / MILLISECOND
        is_delay = (
            0 < number < self._smallest_first_load / DELAY_BELOW_FIRST_LOADS
            or follows_delay
            and possible
        )
        history.recent = [
            report for report in history.recent if now - report.at <= self._interval + self._jitter
        ]
        if possible:
            history.recent.append(RecentReport(now, number, is_delay))
        return is_delay


def parse_load_line(line: bytes) -> float | None:
    """Return the number X of a line `LOAD X`; None for any other line."""
    word, _, number = line.partition(b" ")
    try:
        value = float(number) if word == b"LOAD" else math.nan
    except ValueError:
        return None
    return value if 0 <= value < math.inf else None


def parse_load_fields(text: str, fields: list[str]) -> list[float]:
    """Return the load report in a health check's answer, in the order of the settings' fields.

    Args:
        text: The report, such as `qps=3.1,x0=0.5`, or only the numbers in the order of the fields.
        fields: The names of the fields in the settings.

    Returns:
        One number per field; empty if one is missing or malformed.
    """
    named = [word.rpartition("=")[::2] for word in text.replace(",", " ").split()]
    if all(name for name, _ in named):
        values = dict(named)
    else:
        values = dict(zip(fields, (value for _, value in named), strict=False))
    try:
        return [float(values[field]) for field in fields]
    except (KeyError, ValueError):
        return []
