"""Estimates a server's message delay from relayed lines, where the server does not report it."""

from cypresswalk.model import Server


class DelayGauge:
    """Measures one server's delay and thins the measurements out to what the decisions use.

    While messages take long, one measurement an interval is reported; and the first that does not.
    Times are nanoseconds. Used by the threads of all connections to that server.
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
        """Delays above `threshold` are long."""
        self.server = server
        self.threshold = threshold
        self.interval = interval
        self.reported_at = 0
        self.above_threshold = False
        self.shortest_setup: int | None = None  # of a TCP connection: the network's part of a delay
        self.latest_answered = 0  # when the latest line was sent that has a reply

    def on_setup(self, duration: int) -> None:
        """A TCP connection to the server took so long."""
        if self.shortest_setup is None:
            self.shortest_setup = duration
        else:
            self.shortest_setup = min(self.shortest_setup, duration)

    def delay_to_report(self, now: int, duration: int) -> int | None:
        """The delay to report for a reply that took `duration`; None where it need not be."""
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
