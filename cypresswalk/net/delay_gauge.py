"""Estimates a server's message delay from relayed lines, where the server does not report it."""

from cypresswalk.model import Server


class DelayGauge:
    """The gauge of one server's message delay, which limits how many measurements are reported.

    While the delay is above the threshold, one measurement per interval is reported; then the first
    one that is not above it. Times are nanoseconds. The threads of all connections to the server
    share one gauge.
    """

    __slots__ = (
        "server",
        "threshold",
        "interval",
        "reported_at",
        "above_threshold",
        "shortest_setup",
        "latest_answered",
    )

    def __init__(self, server: Server, threshold: int, interval: int):
        """Create a gauge that reports delays above `threshold`, one per `interval`."""
        self.server = server
        self.threshold = threshold
        self.interval = interval
        self.reported_at = 0
        self.above_threshold = False
        # Shortest time to set up a TCP connection, taken as the network's part of a delay.
        self.shortest_setup: int | None = None
        self.latest_answered = 0  # time at which the latest line that has a reply was sent

    def on_setup(self, duration: int) -> None:
        """Record the set-up time of a TCP connection to the server."""
        if self.shortest_setup is None:
            self.shortest_setup = duration
        else:
            self.shortest_setup = min(self.shortest_setup, duration)

    def delay_to_report(self, now: int, duration: int) -> int | None:
        """Return the delay to report for a reply that took `duration`; None for no report."""
        delay = max(duration - (self.shortest_setup or 0), 0)
        if delay > self.threshold:
            if self.above_threshold and now - self.reported_at < self.interval:
                return None
            self.above_threshold = True
        elif not self.above_threshold:
            return None
        else:
            self.above_threshold = False
        self.reported_at = now
        return delay
