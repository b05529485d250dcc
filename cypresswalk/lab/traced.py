"""The balancer, with a line on standard error for each event that its core takes and each decision it carries out.
For counting across a fleet: `deploy/traced.toml` starts it, docs/measurements/fleet.md counts. Not for service: the lines
take time of their own and are not held back by the log's flood bound."""

import os
import sys

from cypresswalk.hosting import unpack_gossip
from cypresswalk.net.core import Attempt, Core
from cypresswalk.service.program import main


def say(now: int, what: str, *words: object) -> None:
    os.write(2, " ".join(["trace", f"{now / 1e9:.4f}", what, *map(str, words)]).encode() + b"\n")


def name(server: object) -> str:
    return f"s{server.id:08x}"


class Traced(Core):
    def opened(self, now, session, opening):
        say(
            now,
            "open",
            opening.ident,
            opening.values.get("c"),
            opening.values.get("d"),
            opening.values.get("g"),
            "again" if opening.values.get("again") or opening.values.get("r") else "first",
            opening.values.get("at", ""),
        )
        super().opened(now, session, opening)

    def connect(self, now, session, server, number, until):
        say(now, "connect", session.opening.ident, name(server), number, (until - now) // 1_000_000)
        super().connect(now, session, server, number, until)

    def up(self, now, leg: Attempt):
        say(
            now,
            "up",
            leg.session.opening.ident,
            name(leg.server),
            leg.number,
            (now - leg.sent) // 1000,
        )
        super().up(now, leg)

    def ended(self, now, leg: Attempt, outcome):
        if leg.session.leg is leg and not leg.session.over:
            say(
                now,
                "ended",
                leg.session.opening.ident,
                name(leg.server),
                leg.number,
                outcome.name,
                "standing" if leg.session.standing else "setup",
                (now - leg.sent) // 1000,
            )
        super().ended(now, leg, outcome)

    def left(self, now, session):
        if session.opening and not session.over:
            say(now, "left", session.opening.ident, "standing" if session.standing else "setup")
        super().left(now, session)

    def end(self, now, session, line):
        say(now, "answer", session.opening.ident, line.strip().decode())
        super().end(now, session, line)

    def move(self, now, flow):
        leg = self.sessions[flow].leg
        say(
            now,
            "move",
            leg.session.opening.ident,
            name(leg.server),
            f"misses={leg.server.consecutive_failures}",
            f"health={leg.server.health}",
            f"limit={leg.server.limit:.1f}",
        )
        super().move(now, flow)

    def probed(self, now, server, passed, load):
        super().probed(now, server, passed, load)
        say(now, "probed", name(server), "passed" if passed else "failed", server.health)

    def delayed(self, now, server, delay):
        super().delayed(now, server, delay)
        say(now, "delay", name(server), delay // 1000, f"limit={server.limit:.1f}")

    def hint(self, now, message):
        hint = unpack_gossip(self.balancer, message)
        if hint:
            say(now, "heard", name(hint[0]), f"{hint[1]:.2f}")
        super().hint(now, message)

    def listed(self, now, form, entries, older=False):
        say(
            now,
            "listed",
            form.name,
            *[
                f"{name(s)}:{s.state.value}:{s.zone}:{s.weight:g}:{s.since}:{a[0]}:{a[1]}"
                for s, a in entries
            ],
        )
        super().listed(now, form, entries, older)

    def list_failed(self, now):
        say(now, "list_failed")
        super().list_failed(now)

    def pull(self, now):
        self.now = now
        super().pull(now)


class Said:
    """The drivers, with a line for what the core has no method of its own for."""

    def __init__(self, drivers, core):
        self.drivers, self.core = drivers, core

    def __getattr__(self, what):
        return getattr(self.drivers, what)

    def probe(self, server, address):
        say(self.core.now, "probe", name(server), *address)
        self.drivers.probe(server, address)

    def tell(self, message):
        hint = unpack_gossip(self.core.balancer, message)
        say(self.core.now, "tell", name(hint[0]), f"{hint[1]:.2f}")
        self.drivers.tell(message)

    def subscribe(self):
        say(self.core.now, "subscribe")
        self.drivers.subscribe()


def traced(config, drivers, *words) -> Traced:
    core = Traced(config, drivers, *words)
    core.drivers = Said(drivers, core)
    core.now = 0
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
    sys.exit(main(core=traced))
