"""What a server's LOAD lines mean. Knows no socket and no clock."""

import math
from threading import Lock

from cypresswalk.hosting import nanoseconds
from cypresswalk.net.limits import MILLISECOND, Limits


class Told:
    """What LOAD lines one connection has brought."""

    __slots__ = ("first", "lately")

    def __init__(self):
        self.first = True
        self.lately: list[tuple[int, float, bool]] = []  # when, the number, whether it was a delay


class LoadReportParser:
    """A LOAD line tells a connection's load, in microseconds of work a second, whenever that changes, and first of
    all as the connection begins; or the milliseconds that a message takes at the server, once a second on one
    connection while that is long and once more when it is not. The settings say which of them are told. Where both
    are, nothing marks the line. It is a delay if it is far below any connection's first load; or if it comes a
    second after another on the same connection and that was a delay, or it is no more than a second longer, as a
    pile can grow. Nothing above the longest connect timeout is one."""

    def __init__(self, loads: bool, delays: bool, limits: Limits):
        self.loads, self.delays = loads, delays
        self.every, self.jitter, self.longest = (
            limits.told_every,
            limits.told_jitter,
            limits.longest,
        )
        self.least = math.inf  # the smallest first load of any connection
        self.using = Lock()  # every server's thread reads by it

    def delay(self, told: Told, now: int, line: bytes) -> int | None:
        """The delay that the line tells, None if it tells something else."""
        number = load_number(line)
        if number is None or not self.delays:
            return None
        if self.loads and not self.is_delay(told, now, number):
            return None
        return nanoseconds(number, "LOAD")

    def is_delay(self, told: Told, now: int, number: float) -> bool:
        if told.first:
            told.first = False
            with self.using:
                self.least = min(self.least, number or math.inf)
            return False
        grown = number - self.every / MILLISECOND
        paced = any(
            abs(now - at - self.every) <= self.jitter and (was_delay or grown <= before)
            for at, before, was_delay in told.lately
        )
        delay = (
            0 < number < self.least / FAR_BELOW or paced and number <= self.longest / MILLISECOND
        )
        told.lately = [note for note in told.lately if now - note[0] <= self.every + self.jitter]
        if number <= self.longest / MILLISECOND:
            told.lately.append((now, number, delay))
        return delay


FAR_BELOW = (
    2  # the smallest of a few dozen loads is seldom beaten by as much; a growing delay begins there
)


def load_number(line: bytes) -> float | None:
    """Of `LOAD X`; None for any other line."""
    word, _, number = line.partition(b" ")
    try:
        value = float(number) if word == b"LOAD" else math.nan
    except ValueError:
        return None
    return value if 0 <= value < math.inf else None
