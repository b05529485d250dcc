"""The delay gauge: when a server's delay is told."""

from cypresswalk.net.delay_gauge import DelayGauge


def test_slow_server_is_told_once_an_interval_and_once_when_it_is_over():
    gauge = DelayGauge(None, threshold=50, interval=100)
    gauge.on_setup(10)
    echoes = [(0, 40), (1, 90), (2, 95), (101, 99), (102, 30), (103, 30)]  # times and delays
    reported = [gauge.delay_to_report(now, delay) for now, delay in echoes]
    assert reported == [None, 80, None, 89, 20, None]
