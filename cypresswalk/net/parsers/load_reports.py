"""Load and delay that servers report: LOAD lines of connections, and answers to health checks."""

import math
from threading import Lock
from typing import NamedTuple

from cypresswalk.hosting import nanoseconds
from cypresswalk.net.limits import MILLISECOND, Limits

# A number so many times below every connection's first load is a delay: the smallest of a few
# dozen loads is seldom undercut by as much, and a growing delay begins there.
DELAY_BELOW_FIRST_LOADS = 2


class RecentReport(NamedTuple):
    """One LOAD line of a connection.

    Attributes:
        at: When it was read, in nanoseconds.
        number: The number it carries.
        is_delay: Whether that was taken for a delay.
    """

    at: int
    number: float
    is_delay: bool


class LoadReportHistory:
    """The LOAD lines that one connection has carried lately."""

    __slots__ = ("first", "recent")

    def __init__(self) -> None:
        """Creates the history of a connection that has not carried any."""
        self.first = True  # the next line is the connection's first
        self.recent: list[RecentReport] = []


class LoadReportParser:
    """Tells the delays among the numbers of LOAD lines.

    Such a line reports a connection's load, in microseconds of work a second, at its beginning and
    whenever that changes; or the milliseconds that a message takes at the server, once a second on
    one connection while that is long and once more when it is not. The settings say which of the
    two are reported. Where both are, nothing marks the line. It is a delay if it is far below any
    connection's first load; or if it comes a second after another one on the same connection, and
    either that was a delay or this is at most a second longer, as a backlog can grow. Nothing above
    the longest attempt timeout is a delay.

    Attributes:
        delays: Whether servers report delays.
    """

    def __init__(self, loads: bool, delays: bool, limits: Limits):
        """Creates a parser that all connections share.

        Args:
            loads: Whether servers report loads.
            delays: Whether servers report delays.
            limits: Interval, jitter and longest time of delay reports.
        """
        self.delays = delays
        self._loads = loads
        self._interval = limits.delay_report_interval
        self._jitter = limits.delay_report_jitter
        self._longest_delay = limits.longest_connect_timeout
        self._smallest_first_load = math.inf  # of any connection
        self._lock = Lock()  # each server connection has a thread that parses

    def parse_delay(self, history: LoadReportHistory, now: int, line: bytes) -> int | None:
        """Returns the delay in nanoseconds that a line reports, None if it reports none.

        Args:
            history: The connection's earlier LOAD lines; this one is added.
            now: When the line was read.
            line: The line without its end.
        """
        number = parse_load_line(line)
        if number is None or not self.delays:
            return None
        if self._loads and not self._is_delay(history, now, number):
            return None
        return nanoseconds(number, "LOAD")

    def _is_delay(self, history: LoadReportHistory, now: int, number: float) -> bool:
        if history.first:
            history.first = False
            with self._lock:
                self._smallest_first_load = min(self._smallest_first_load, number or math.inf)
            return False
        least_before = number - self._interval / MILLISECOND
        follows_delay = any(
            abs(now - report.at - self._interval) <= self._jitter
            and (report.is_delay or least_before <= report.number)
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
    """Returns the number of a line `LOAD X`; None for any other line."""
    word, _, number = line.partition(b" ")
    try:
        value = float(number) if word == b"LOAD" else math.nan
    except ValueError:
        return None
    return value if 0 <= value < math.inf else None


def parse_load_fields(text: str, fields: list[str]) -> list[float]:
    """Returns the load report of a health check's answer in the order of the settings' fields.

    Args:
        text: Such as `qps=3.1,x0=0.5`, or the numbers alone in the order of the fields.
        fields: The names of the settings.

    Returns:
        One number a field; empty where one is missing or malformed.
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
