"""Detects established connections on which a client's lines get no reply."""

from cypresswalk.decisions.balancer import Balancer
from cypresswalk.model import Flow
from cypresswalk.net.counters import Counters
from cypresswalk.net.limits import Limits
from cypresswalk.net.session import Session
from cypresswalk.net.timers import Timers


class SilenceDetector:
    """The periodic check of all sessions, which reports the silent ones to the decisions."""

    def __init__(
        self,
        sessions: dict[Flow, Session],
        balancer: Balancer,
        counters: Counters,
        limits: Limits,
        timers: Timers,
    ):
        """Create a detector; `sessions` is the core's own map, read at each check."""
        self.sessions = sessions
        self.balancer = balancer
        self.counters = counters
        self.limits = limits
        self.timers = timers

    def check(self, now: int) -> None:
        """Report each silent session once, and schedule the next check."""
        for flow, session in list(self.sessions.items()):
            attempt = session.attempt
            if not session.established or attempt is None or not attempt.unanswered_since:
                continue
            sent_at = attempt.unanswered_since
            # If a line sent later by another client has a reply, only this connection is silent.
            others_answered = attempt.delay_gauge.latest_answered > sent_at
            if now - sent_at > (
                self.limits.single_silence_timeout
                if others_answered
                else self.limits.silence_timeout
            ):
                attempt.unanswered_since = 0
                self.counters.add("flows_silent")
                self.balancer.on_silence(now, flow, others_answered)
        self.timers.schedule(now + self.limits.silence_check_interval, self.check)
