"""Connections that stood at a server before this balancer started, and go back to that server."""

from typing import Protocol

from cypresswalk.decisions.balancer import Balancer
from cypresswalk.model import Server, ServerState
from cypresswalk.net.limits import Limits
from cypresswalk.net.parsers.endpoint_list import server_number
from cypresswalk.net.ports import Extensions
from cypresswalk.net.session import Session
from cypresswalk.net.timers import Timers


class RequestHandler(Protocol):
    """What resuming asks of the core."""

    def start_attempt(
        self, now: int, session: Session, server: Server, number: int, deadline: int
    ) -> None:
        """Connects the session to the server."""

    def on_resume_failed(self, now: int, session: Session) -> None:
        """The session did not come up at its server in time."""


class Resumption:
    """Retries each resumed connection at its server: many come at once, and some fail."""

    def __init__(
        self,
        balancer: Balancer,
        limits: Limits,
        timers: Timers,
        extensions: Extensions,
        requests: RequestHandler,
    ):
        """`requests` is the core."""
        self.balancer = balancer
        self.limits = limits
        self.timers = timers
        self.extensions = extensions
        self.requests = requests

    def begin(self, now: int, session: Session) -> None:
        """Takes a session whose first line names its server by `at=`."""
        self.timers.schedule(now + self.limits.first_line_timeout, self.on_list_due, session)
        self.timers.schedule(
            now + self.limits.resume_timeout, self.requests.on_resume_failed, session
        )
        self.attempt(now, session)

    def retry_later(self, now: int, session: Session) -> None:
        """Schedules another attempt."""
        self.timers.schedule(now + self.limits.resume_retry_interval, self.attempt, session)

    def attempt(self, now: int, session: Session) -> None:
        """Connects the session to its server, if that may get connections now."""
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
        self.requests.start_attempt(now, session, server, 0, now + self.limits.resume_timeout)

    def on_list_due(self, now: int, session: Session) -> None:
        """The list would have named the server by now: a name that is made up fails here."""
        if server_number(session.request.values["at"]) not in self.balancer.servers:
            self.requests.on_resume_failed(now, session)
