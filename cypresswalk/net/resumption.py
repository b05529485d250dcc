"""Resumed flows: established at a server before this balancer started, and sent there again."""

from typing import Protocol

from cypresswalk.decisions.balancer import Balancer
from cypresswalk.model import Server, ServerState
from cypresswalk.net.limits import Limits
from cypresswalk.net.parsers.endpoint_list import server_number
from cypresswalk.net.ports import Extensions
from cypresswalk.net.session import Session
from cypresswalk.net.timers import Timers


class ResumingCore(Protocol):
    """The core's methods that resuming a flow needs."""

    def start_attempt(
        self, now: int, session: Session, server: Server, number: int, deadline: int
    ) -> None:
        """Connect the session to the server."""

    def on_resume_failed(self, now: int, session: Session) -> None:
        """Handle a session that was not established at its server in time."""


class Resumption:
    """Connects resumed sessions to their servers; retries, as many arrive at once and some fail."""

    def __init__(
        self,
        balancer: Balancer,
        limits: Limits,
        timers: Timers,
        extensions: Extensions,
        core: ResumingCore,
    ):
        """Create the handler of resumed sessions."""
        self.balancer = balancer
        self.limits = limits
        self.timers = timers
        self.extensions = extensions
        self.core = core

    def begin(self, now: int, session: Session) -> None:
        """Start resuming a session whose first line names its server by `at=`."""
        self.timers.schedule(now + self.limits.first_line_timeout, self.fail_if_unlisted, session)
        self.timers.schedule(now + self.limits.resume_timeout, self.core.on_resume_failed, session)
        self.attempt(now, session)

    def retry_later(self, now: int, session: Session) -> None:
        """Schedule another attempt."""
        self.timers.schedule(now + self.limits.resume_retry_interval, self.attempt, session)

    def attempt(self, now: int, session: Session) -> None:
        """Connect the session to its server, or retry later if the server may not get flows now."""
        if session.finished or session.attempt is not None:
            return
        server = self.balancer.servers.get(server_number(session.request.values["at"]))
        if (
            server is None
            or server.state is ServerState.GONE
            or server.out_of_rotation
            or not self.extensions.may_place_flows()
        ):
            self.retry_later(now, session)
            return
        self.core.start_attempt(now, session, server, 0, now + self.limits.resume_timeout)

    def fail_if_unlisted(self, now: int, session: Session) -> None:
        """Fail a session whose server the endpoint list has not named: the name may be made up."""
        if server_number(session.request.values["at"]) not in self.balancer.servers:
            self.core.on_resume_failed(now, session)
