"""The balancer, with a line on standard error for each event and each decision.

For counting across a fleet: `deploy/traced.toml` starts it, docs/measurements/fleet.md counts. Not for
service: the lines take time of their own and are not held back by the log's limit.
"""

import os
import sys
from typing import Any

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


def say(now: int, what: str, *words: object) -> None:
    """Writes one line; `now` in nanoseconds, written in seconds."""
    os.write(2, " ".join(["trace", f"{now / 1e9:.4f}", what, *map(str, words)]).encode() + b"\n")


def name(server: Server) -> str:
    """The server's number as the lines have it."""
    return f"s{server.id:08x}"


class TracedCore(Core):
    """The core, with a line for each event and for each decision that is a method of its own."""

    now = 0

    def on_open(self, now: int, session: Session, request: OpenRequest) -> None:
        """Writes `open`."""
        values = request.values
        say(
            now,
            "open",
            request.ident,
            values.get("c"),
            values.get("d"),
            values.get("g"),
            "again" if values.get("again") or values.get("r") else "first",
            values.get("at", ""),
        )
        super().on_open(now, session, request)

    def start_attempt(
        self, now: int, session: Session, server: Server, number: int, deadline: int
    ) -> None:
        """Writes `connect`."""
        timeout_ms = (deadline - now) // 1_000_000
        say(now, "connect", session.request.ident, name(server), number, timeout_ms)
        super().start_attempt(now, session, server, number, deadline)

    def on_established(self, now: int, attempt: Attempt) -> None:
        """Writes `up`."""
        say(
            now,
            "up",
            attempt.session.request.ident,
            name(attempt.server),
            attempt.number,
            (now - attempt.started_at) // 1000,
        )
        super().on_established(now, attempt)

    def on_attempt_ended(self, now: int, attempt: Attempt, outcome: Outcome) -> None:
        """Writes `ended` for a session's latest attempt."""
        session = attempt.session
        if session.attempt is attempt and not session.finished:
            say(
                now,
                "ended",
                session.request.ident,
                name(attempt.server),
                attempt.number,
                outcome.name,
                "standing" if session.established else "setup",
                (now - attempt.started_at) // 1000,
            )
        super().on_attempt_ended(now, attempt, outcome)

    def on_client_left(self, now: int, session: Session) -> None:
        """Writes `left`."""
        if session.has_flow and not session.finished:
            phase = "standing" if session.established else "setup"
            say(now, "left", session.request.ident, phase)
        super().on_client_left(now, session)

    def end_session(self, now: int, session: Session, reply: bytes) -> None:
        """Writes `answer`."""
        ident = session.request.ident if session.has_flow else "-"
        say(now, "answer", ident, reply.strip().decode())
        super().end_session(now, session, reply)

    def migrate(self, now: int, flow: Flow) -> None:
        """Writes `move`."""
        session = self.sessions[flow]
        attempt = session.attempt
        assert attempt is not None  # the session is established
        say(
            now,
            "move",
            session.request.ident,
            name(attempt.server),
            f"misses={attempt.server.consecutive_failures}",
            f"health={attempt.server.health}",
            f"limit={attempt.server.concurrency_limit:.1f}",
        )
        super().migrate(now, flow)

    def on_health_check_result(
        self, now: int, server: Server, passed: bool, load: list[float]
    ) -> None:
        """Writes `probed`."""
        super().on_health_check_result(now, server, passed, load)
        say(now, "probed", name(server), "passed" if passed else "failed", server.health)

    def on_message_delay(self, now: int, server: Server, delay: int) -> None:
        """Writes `delay`."""
        super().on_message_delay(now, server, delay)
        say(now, "delay", name(server), delay // 1000, f"limit={server.concurrency_limit:.1f}")

    def on_gossip(self, now: int, message: bytes) -> None:
        """Writes `heard`."""
        hint = unpack_gossip(self.balancer, message)
        if hint:
            say(now, "heard", name(hint[0]), f"{hint[1]:.2f}")
        super().on_gossip(now, message)

    def on_endpoints(
        self,
        now: int,
        update: EndpointUpdate,
        entries: list[Endpoint],
        older: bool = False,
    ) -> None:
        """Writes `listed`."""
        say(
            now,
            "listed",
            update.name,
            *[
                f"{name(s)}:{s.state.value}:{s.zone}:{s.weight:g}:{s.started_at}:{a[0]}:{a[1]}"
                for s, a in entries
            ],
        )
        super().on_endpoints(now, update, entries, older)

    def on_endpoints_failed(self, now: int) -> None:
        """Writes `list_failed`."""
        say(now, "list_failed")
        super().on_endpoints_failed(now)

    def carry_out_decisions(self, now: int) -> None:
        """Keeps the time for the drivers' lines."""
        self.now = now
        super().carry_out_decisions(now)


class TracedDrivers:
    """The drivers, with a line for decisions for which the core has no method of its own."""

    core: TracedCore  # set once it is built

    def __init__(self, drivers: Drivers):
        """Passes every call on."""
        self.drivers = drivers

    def __getattr__(self, what: str) -> Any:
        """A call without a line."""
        return getattr(self.drivers, what)

    def probe(self, server: Server, address: Address) -> None:
        """Writes `probe`."""
        say(self.core.now, "probe", name(server), *address)
        self.drivers.probe(server, address)

    def tell(self, message: bytes) -> None:
        """Writes `tell`."""
        hint = unpack_gossip(self.core.balancer, message)
        if hint is not None:
            say(self.core.now, "tell", name(hint[0]), f"{hint[1]:.2f}")
        self.drivers.tell(message)

    def subscribe(self) -> None:
        """Writes `subscribe`."""
        say(self.core.now, "subscribe")
        self.drivers.subscribe()


def build_traced_core(
    config: Config, drivers: Drivers, counters: Counters, now: int, policy: type[Balancer]
) -> TracedCore:
    """The core for `main`; writes `settings`."""
    traced_drivers: Any = TracedDrivers(drivers)
    core = TracedCore(config, traced_drivers, counters, now, policy)
    traced_drivers.core = core
    say(
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
