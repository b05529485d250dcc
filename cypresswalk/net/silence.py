"""Finds established connections on which nothing comes back."""

from cypresswalk.decisions.balancer import Balancer
from cypresswalk.model import Flow
from cypresswalk.net.counters import Counters
from cypresswalk.net.limits import Limits
from cypresswalk.net.session import Session
from cypresswalk.net.timers import Timers


class SilenceDetector:
    """Looks at all sessions from time to time and reports the silent ones to the decisions."""

    def __init__(
        self,
        sessions: dict[Flow, Session],
        balancer: Balancer,
        counters: Counters,
        limits: Limits,
        timers: Timers,
    ):
        """`sessions` is the core's own map, read at each check."""
        self.sessions = sessions
        self.balancer = balancer
        self.counters = counters
        self.limits = limits
        self.timers = timers

    def check(self, now: int) -> None:
        """Reports each silent session once, and schedules the next check."""
        for flow, session in list(self.sessions.items()):
            attempt = session.attempt
            if not session.established or attempt is None or not attempt.unanswered_since:
                continue
            sent_at = attempt.unanswered_since
            # Whoever sent later has a reply: then this connection is slow, not the server.
            alone = attempt.delay_gauge.latest_answered > sent_at
            if now - sent_at > (
                self.limits.single_silence_timeout if alone else self.limits.silence_timeout
            ):
                attempt.unanswered_since = 0
                self.counters.add("flows_silent")
                self.balancer.on_silence(now, flow, alone)
        self.timers.schedule(now + self.limits.silence_check_interval, self.check)
