"""The balancer, with a trace line on standard error for each event and each decision.

The format of a line is `trace SECONDS EVENT FIELD ...`: the time in seconds of the balancer's
clock, the event's name, and its fields. A server is written as `s` and its number in hexadecimal.

It is used to count events across a fleet: `deploy/traced.toml` starts it, and
docs/measurements/fleet.md uses the lines. It is not for production: writing the lines takes time,
and the log's rate limit does not apply to them.
"""

import os
import sys
from typing import Any, cast

from cypresswalk.decisions.balancer import Balancer
from cypresswalk.hosting import unpack_gossip
from cypresswalk.model import EndpointUpdate, Flow, Outcome, Server
from cypresswalk.net.config import Address, Config
from cypresswalk.net.core import Core
from cypresswalk.net.counters import Counters
from cypresswalk.net.parsers.lines import OpenRequest
from cypresswalk.net.ports import Drivers, Endpoint
from cypresswalk.net.session import Attempt, Session
from cypresswalk.service.program import main

STANDARD_ERROR = 2  # file descriptor; written to directly, without a buffer
SECOND = 1_000_000_000  # in nanoseconds
MILLISECOND = 1_000_000
MICROSECOND = 1_000


def write_line(now: int, event: str, *fields: object) -> None:
    """Write one trace line; `now` is in nanoseconds, the line has seconds."""
    words = ["trace", f"{now / SECOND:.4f}", event, *map(str, fields)]
    os.write(STANDARD_ERROR, " ".join(words).encode() + b"\n")


def server_label(server: Server) -> str:
    """Return the server's number in the trace format."""
    return f"s{server.id:08x}"


def limit_field(server: Server) -> str:
    """Return the server's concurrency limit in the trace format."""
    return f"limit={server.concurrency_limit:.1f}"


def endpoint_field(endpoint: Endpoint) -> str:
    """Return an entry of the endpoint list: number, state, zone, weight, start, host, port."""
    server, address = endpoint
    fields: list[object] = [
        server_label(server),
        server.state.value,
        server.zone,
        f"{server.weight:g}",
        server.started_at,
        address[0],
        address[1],
    ]
    return ":".join(map(str, fields))


def phase_of(session: Session) -> str:
    """Return `standing` if the session is established, else `setup`."""
    return "standing" if session.established else "setup"


class TracedCore(Core):
    """The core, with a trace line for each event and each decision that has its own method."""

    now = 0  # nanoseconds; the time at which decisions were last carried out

    def on_open(self, now: int, session: Session, request: OpenRequest, waited: int = 0) -> None:
        """Write `open`: id, service type, timeout, group, first or again, previous server."""
        values = request.values
        write_line(
            now,
            "open",
            request.ident,
            values.get("c"),
            values.get("d"),
            values.get("g"),
            "again" if values.get("again") or values.get("r") else "first",
            values.get("at", ""),
        )
        super().on_open(now, session, request, waited)

    def start_attempt(
        self, now: int, session: Session, server: Server, number: int, deadline: int
    ) -> None:
        """Write `connect`: id, server, attempt number, timeout in milliseconds."""
        timeout_ms = (deadline - now) // MILLISECOND
        ident = session.request.ident
        write_line(now, "connect", ident, server_label(server), number, timeout_ms)
        super().start_attempt(now, session, server, number, deadline)

    def on_established(self, now: int, attempt: Attempt) -> None:
        """Write `up`: id, server, attempt number, duration in microseconds."""
        write_line(
            now,
            "up",
            attempt.session.request.ident,
            server_label(attempt.server),
            attempt.number,
            (now - attempt.started_at) // MICROSECOND,
        )
        super().on_established(now, attempt)

    def on_attempt_ended(self, now: int, attempt: Attempt, outcome: Outcome) -> None:
        """Write `ended` for a session's latest attempt: like `up`, plus outcome and phase."""
        session = attempt.session
        if session.attempt is attempt and not session.finished:
            write_line(
                now,
                "ended",
                session.request.ident,
                server_label(attempt.server),
                attempt.number,
                outcome.name,
                phase_of(session),
                (now - attempt.started_at) // MICROSECOND,
            )
        super().on_attempt_ended(now, attempt, outcome)

    def on_client_left(self, now: int, session: Session) -> None:
        """Write `left`: id, phase."""
        if session.has_flow and not session.finished:
            write_line(now, "left", session.request.ident, phase_of(session))
        super().on_client_left(now, session)

    def end_session(self, now: int, session: Session, reply: bytes) -> None:
        """Write `answer`: id, reply."""
        ident = session.request.ident if session.has_flow else "-"
        write_line(now, "answer", ident, reply.strip().decode())
        super().end_session(now, session, reply)

    def migrate(self, now: int, flow: Flow) -> None:
        """Write `move`: id, server, the server's consecutive failures, health and limit."""
        session = self.sessions[flow]
        attempt = session.attempt
        assert attempt is not None  # the session is established
        server = attempt.server
        write_line(
            now,
            "move",
            session.request.ident,
            server_label(server),
            f"misses={server.consecutive_failures}",
            f"health={server.health}",
            limit_field(server),
        )
        super().migrate(now, flow)

    def on_health_check_result(
        self, now: int, server: Server, passed: bool, load: list[float]
    ) -> None:
        """Write `probed`: server, result, health after the check."""
        super().on_health_check_result(now, server, passed, load)
        result = "passed" if passed else "failed"
        write_line(now, "probed", server_label(server), result, server.health)

    def on_message_delay(self, now: int, server: Server, delay: int) -> None:
        """Write `delay`: server, delay in microseconds, limit after the update."""
        super().on_message_delay(now, server, delay)
        delay_us = delay // MICROSECOND
        write_line(now, "delay", server_label(server), delay_us, limit_field(server))

    def on_gossip(self, now: int, message: bytes) -> None:
        """Write `heard`: server, load (1.0 at the message latency objective)."""
        gossip = unpack_gossip(self.balancer, message)
        if gossip:
            server, load = gossip
            write_line(now, "heard", server_label(server), f"{load:.2f}")
        super().on_gossip(now, message)

    def on_endpoints(
        self,
        now: int,
        update: EndpointUpdate,
        entries: list[Endpoint],
        older: bool = False,
    ) -> None:
        """Write `listed`: kind of update, entries."""
        write_line(now, "listed", update.name, *map(endpoint_field, entries))
        super().on_endpoints(now, update, entries, older)

    def on_endpoints_failed(self, now: int) -> None:
        """Write `list_failed`."""
        write_line(now, "list_failed")
        super().on_endpoints_failed(now)

    def carry_out_decisions(self, now: int) -> None:
        """Carry out the decisions, and keep the time for the trace lines of the drivers."""
        self.now = now
        super().carry_out_decisions(now)


class TracedDrivers:
    """The drivers, with a trace line for each decision without a method of its own in the core."""

    core: TracedCore  # set after the core is built

    def __init__(self, drivers: Drivers):
        """Forward all calls to `drivers`, with a trace line for some."""
        self.drivers = drivers

    def __getattr__(self, name: str) -> Any:
        """Return the driver's method for a call without a trace line."""
        return getattr(self.drivers, name)

    def check_health(self, server: Server, address: Address) -> None:
        """Write `probe`: server, host, port."""
        write_line(self.core.now, "probe", server_label(server), *address)
        self.drivers.check_health(server, address)

    def send_gossip(self, message: bytes) -> None:
        """Write `tell`: server, load (1.0 at the message latency objective)."""
        gossip = unpack_gossip(self.core.balancer, message)
        if gossip is not None:
            server, load = gossip
            write_line(self.core.now, "tell", server_label(server), f"{load:.2f}")
        self.drivers.send_gossip(message)

    def request_endpoints(self) -> None:
        """Write `subscribe`."""
        write_line(self.core.now, "subscribe")
        self.drivers.request_endpoints()


def build_traced_core(
    config: Config, drivers: Drivers, counters: Counters, now: int, policy: type[Balancer]
) -> TracedCore:
    """Return the core for `main`, and write `settings`."""
    traced_drivers = TracedDrivers(drivers)
    core = TracedCore(config, cast(Drivers, traced_drivers), counters, now, policy)
    traced_drivers.core = core
    write_line(
        0,
        "settings",
        config.settings,
        config.limits,
        config.groups,
        config.reports_load,
        config.reports_delay,
    )
    return core


if __name__ == "__main__":
    sys.exit(main(core=build_traced_core))
