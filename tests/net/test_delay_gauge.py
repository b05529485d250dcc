"""Tests of the delay gauge: when a server's delay is reported."""

from cypresswalk.model import Server
from cypresswalk.net.delay_gauge import DelayGauge


def test_long_delay_is_reported_once_per_interval_and_once_when_it_ends():
    gauge = DelayGauge(Server(id=7), threshold=50, interval=100)
    gauge.on_setup(10)
    replies = [(0, 40), (1, 90), (2, 95), (101, 99), (102, 30), (103, 30)]  # times and delays
    reported = [gauge.delay_to_report(now, delay) for now, delay in replies]
    assert reported == [None, 80, None, 89, 20, None]
