"""Two processes of one balancer side by side: what one tells the other, and who serves. Knows no socket.

The elder serves until it is told to stop; then it tells the younger all that it knows and that new clients are the
younger's, and goes on answering what it has taken. Both wait at one listening socket, which the elder passes on: no client
waits at a door that closes (as in Facebook's Socket Takeover, "Zero Downtime Release", SIGCOMM 2020). An operator's call
holds for both before its yes. Whichever of the two ends, the other serves.

    younger: hello                          elder: welcome (with the sockets), state, servers ..., ids ..., end
    either: call N                          the other: done N
    elder, told to stop: state ... end, yours, then held N as that changes          younger: mine

Messages are JSON objects of one key that names them. An unknown one, and an unknown field, is passed over; an unknown
version is refused, and means a plain start."""

import math
from collections.abc import Iterator
from typing import Protocol

from cypresswalk.choice import Decaying
from cypresswalk.model import EndpointUpdate, Server, ServerState
from cypresswalk.net.config import Address, ConfigError, address
from cypresswalk.net.core import Core
from cypresswalk.net.lifecycle import Phase
from cypresswalk.net.parsers.admin_commands import AdminCommand
from cypresswalk.net.parsers.endpoint_list import server_number
from cypresswalk.net.parsers.lines import ProtocolError

VERSION = 1
CHUNK = 200  # servers, or ids by the tenfold, in one message: well under the longest line
COUNTS = ("since", "health", "misses", "errors", "failed", "answers")
TIMES = ("trial_at", "strain_at", "full_until", "cut_at", "told_at", "barred_at")
FLAGS = ("known", "fresh", "barred", "owed")
PARTS = ("strain", "limit", "cut_delay", "delay")
SUMS = ("dealt", "filled", "drops")
OWN_SUMS = ("carried", "borne", "arrivals", "hints", "setup_time", "setups")


class Other(Protocol):
    """The way to the other process; none of these waits."""

    def send(self, message: dict, descriptors: tuple[int, ...] = ()) -> None: ...
    def close(self) -> None: ...


class Drivers(Protocol):
    def accept(self) -> None: ...
    def stop_accepting(self) -> None: ...
    def list_at(self) -> tuple[str, int]: ...
    def names(self) -> dict[int, str]: ...
    def sockets(self) -> tuple[int, ...]: ...


def fading(sum_: Decaying) -> list:
    return [sum_.total, sum_.at]


def messages(now: int, core: Core, drivers: Drivers) -> Iterator[dict]:
    """All that this process knows, as the other reads it. Times are this clock's, whose `now` is told beside them."""
    balancer = core.balancer
    list_address, version = drivers.list_at()
    agreed = {} if core.extensions.fleet is None else {"agreed": core.extensions.fleet.handed()}
    yield {
        "state": agreed
        | {
            "now": now,
            "list": list_address,
            "version": version,
            "drained": core.lifecycle.drained,
            "started": balancer.started,
            "sums": {name: fading(getattr(balancer, name)) for name in OWN_SUMS},
        }
    }
    told = [
        server_told(server, core, drivers)
        for server in balancer.servers.values()
        if server.id in core.endpoints.addresses
    ]
    for start in range(0, len(told), CHUNK):
        yield {"servers": told[start : start + CHUNK]}
    ids = list(core.seen_ids)
    for start in range(0, len(ids), 10 * CHUNK):
        yield {"ids": ids[start : start + 10 * CHUNK]}
    yield {"end": True}


def server_told(server: Server, core: Core, drivers: Drivers) -> dict:
    told = {name: getattr(server, name) for name in COUNTS + TIMES + FLAGS + PARTS}
    return (
        told
        | {name: fading(getattr(server, name)) for name in SUMS}
        | {
            "name": drivers.names()[server.id],
            "address": "%s:%d" % core.endpoints.addresses[server.id],
            "zone": server.zone,
            "cell": server.cell,
            "weight": server.weight,
            "state": server.state.value,
        }
    )


class ReceivedState:
    """What came between `state` and `end`: nothing of it is believed before all of it is there and sound."""

    def __init__(self, state: dict):
        self.state, self.servers, self.ids = state, [], []

    def add(self, message: dict) -> None:
        self.servers += message.get("servers", [])
        self.ids += message.get("ids", [])

    def read(self) -> tuple[list[tuple[Server, Address, str, dict]], list[int], dict[str, list]]:
        """Raises ProtocolError where anything in it is odd."""
        try:
            (
                int(self.state["now"]),
                int(self.state["version"]),
                str(self.state["list"]),
                int(self.state["started"]),
            )
            sums = {
                name: pair(self.state["sums"][name])
                for name in OWN_SUMS
                if name in self.state["sums"]
            }
            return (
                [server_read(told) for told in self.servers],
                [int(ident) for ident in self.ids],
                sums,
            )
        except (
            KeyError,
            TypeError,
            ValueError,
            AttributeError,
            OverflowError,
            ConfigError,
        ) as error:
            raise ProtocolError(
                f"what the other process told: {type(error).__name__} {error}"
            ) from None


def pair(sum_: list) -> tuple[float, int]:
    total, at = sum_
    if not 0 <= total < math.inf:
        raise ValueError(f"a sum of {total}")
    return float(total), int(at)


def server_read(told: dict) -> tuple[Server, Address, str, dict]:
    number = server_number(told["name"])
    server = Server(
        id=number,
        zone=int(told["zone"]),
        cell=int(told["cell"]),
        weight=float(told["weight"]),
        since=int(told["since"]),
        state=ServerState(told["state"]),
    )
    known = {name: int(told[name]) for name in COUNTS + TIMES if name in told}
    known |= {name: told[name] is True for name in FLAGS if name in told}
    known |= {name: float(told[name]) for name in PARTS if name in told}
    if (
        min(known.get(name, 0) for name in COUNTS + PARTS) < 0
        or math.isnan(known.get("limit", 0))
        or not 0 < server.weight < math.inf
    ):
        raise ValueError(f"{told['name']}: a figure out of its range")
    return (
        server,
        address(told["address"], "address"),
        told["name"],
        known | {name: pair(told[name]) for name in SUMS if name in told},
    )


def believe(now: int, core: Core, drivers: Drivers, told: ReceivedState) -> None:
    """Puts what the elder knows into a core that places nothing yet. Its word goes before an older list's; a later start of
    a server, or a later version of the list, before its word."""
    servers, ids, sums = told.read()
    balancer, later = core.balancer, now - told.state["now"]
    list_address, version = drivers.list_at()
    newer_here = list_address == told.state["list"] and version > told.state["version"]
    for server, _, name, _ in servers:
        drivers.names()[server.id] = name
    core.endpoints.addresses |= {
        server.id: where
        for server, where, _, _ in servers
        if server.id not in core.endpoints.addresses
    }
    balancer.on_endpoints(
        now,
        EndpointUpdate.DELTA,
        [
            server
            for server, *_ in servers
            if (here := balancer.servers.get(server.id)) is None
            or here.since <= server.since
            and not newer_here
        ],
    )
    for server, _, _, known in servers:
        here = balancer.servers[server.id]
        # Out by hand is a fact whatever else is newer.
        here.barred, here.barred_at = known.get("barred", False), known.get("barred_at", 0) + later
        if here.since != server.since:
            continue
        for name, value in known.items():
            if name in SUMS:
                total, at = value
                getattr(here, name).total, getattr(here, name).at = total, min(at + later, now)
            elif name not in ("since", "barred", "barred_at"):
                setattr(here, name, value + later if name in TIMES and value else value)
    for name, (total, at) in sums.items():
        getattr(balancer, name).total, getattr(balancer, name).at = total, min(at + later, now)
    balancer.assume_retry_budget_spent(now)
    balancer.started = min(told.state["started"] + later, now)
    balancer.stale = True
    for ident in ids[-core.limits.ids :]:
        core.seen_ids[ident] = None
    core.lifecycle.update_readiness()


class Handover:
    """One of the two processes; the core's own thread alone calls it."""

    def __init__(self, core: Core, drivers: Drivers, elder: Other | None = None):
        self.core, self.drivers = core, drivers
        self.peer = elder
        self.is_successor = elder is not None  # waits for the elder to hand over
        if self.is_successor:
            core.lifecycle.phase = Phase.STARTING
            core.lifecycle.update_readiness()
        self.received: ReceivedState | None = None
        self.state_received = False  # a whole state has been read
        self.replaced = False  # the other accepts clients in this process's place
        self.peer_sessions = 0  # flows that the other holds still, of what both may hold
        self.reported_sessions = -1
        self.unconfirmed: dict[
            int, tuple[AdminCommand, str | None]
        ] = {}  # calls that the other has not confirmed
        self.last_command = 0

    @property
    def connected(self) -> bool:
        """Whether another process stands beside this one."""
        return self.peer is not None

    # The elder.

    def on_hello(self, now: int, other: Other) -> None:
        """Another process wants to stand beside this one. One at a time; one that waits itself has nothing to hand on."""
        if self.peer is not None or self.is_successor:
            other.send({"refused": "another process stands beside this one"})
            other.close()
            return
        self.peer, self.replaced = other, False
        other.send({"welcome": VERSION}, self.drivers.sockets())
        self.send_state(now)
        if self.core.lifecycle.phase is Phase.LEAVING:
            self.hand_over(now)

    def send_state(self, now: int) -> None:
        for message in messages(now, self.core, self.drivers):
            self.peer.send(message)

    def hand_over(self, now: int) -> None:
        """What is left of budgets goes with it. This process accepts until the other has said that it does."""
        if self.peer is not None and not self.is_successor:
            self.send_state(now)
            self.core.balancer.yield_budgets(now)
            self.peer.send({"yours": True})

    def send_session_count(self) -> None:
        if (
            self.replaced
            and self.peer is not None
            and self.reported_sessions != len(self.core.sessions)
        ):
            self.reported_sessions = len(self.core.sessions)
            self.peer.send({"held": self.reported_sessions})

    # Both.

    def on_message(self, now: int, other: Other, message: dict) -> None:
        if other is not self.peer:
            return
        match message:
            case {"state": dict(state)}:
                self.received = ReceivedState(state)
            case {"servers": list()} | {"ids": list()} if self.received is not None:
                self.received.add(message)
            case {"end": _} if self.received is not None and self.is_successor:
                told, self.received = self.received, None
                believe(now, self.core, self.drivers, told)
                if self.core.extensions.fleet is not None and "agreed" in told.state:
                    self.core.extensions.fleet.inherit(now, told.state["agreed"])
                self.core.lifecycle.drained = told.state.get("drained") is True
                self.state_received = True
            case {"yours": _} if self.is_successor:
                self._take_over(now)
                other.send({"mine": True})
            case {"mine": _} if not self.is_successor:
                self.replaced = True
                self.drivers.stop_accepting()
                self.core.lifecycle.update_readiness()
                self.send_session_count()
            case {"held": int(held)}:
                self.peer_sessions = held
            case {
                "call": int(number),
                "name": str(name),
                "server": str(server),
                "known": bool(known),
            }:
                other.send(
                    {
                        "done": number,
                        "why": self.core.commands.apply(
                            now, AdminCommand(name, server), forwarded=True, known=known
                        ),
                    }
                )
            case {"done": int(number), "why": why} if number in self.unconfirmed:
                self.on_confirmed(now, number, why)

    def on_disconnected(self, now: int, other: Other) -> None:
        """The other process has ended, or its way here has: this one serves, whatever was agreed."""
        if other is not self.peer:
            return
        self.peer, self.received, self.peer_sessions = None, None, 0
        for number in list(self.unconfirmed):
            self.on_confirmed(now, number, None)
        if self.is_successor:
            self._take_over(now)
        elif self.replaced:
            self.replaced = False
            self.drivers.accept()
        self.core.lifecycle.update_readiness()

    def _take_over(self, now: int) -> None:
        self.is_successor = False
        self.core.lifecycle.begin_serving(now)
        self.drivers.accept()

    # Calls.

    def forward(self, now: int, call: AdminCommand, why: str | None) -> bool:
        """Whether the answer waits for the other process."""
        if self.peer is None:
            return False
        self.last_command += 1
        self.unconfirmed[self.last_command] = call, why
        self.peer.send(
            {
                "call": self.last_command,
                "name": call.name,
                "server": call.server,
                "known": why is None,
            }
        )
        self.core.timers.schedule(
            now + self.core.limits.call_beside, self.on_confirmation_late, self.last_command
        )
        return True

    def on_confirmed(self, now: int, number: int, why: str | None) -> None:
        """A server that one of the two lists names is known to both."""
        call, why_here = self.unconfirmed.pop(number)
        if why_here is not None and why is None and self.peer is not None:
            why_here = self.core.commands.apply(now, call, forwarded=True, known=True)
        self.core.commands.reply(call, why_here if why_here is not None else why)

    def on_confirmation_late(self, now: int, number: int) -> None:
        if number in self.unconfirmed:
            call, why = self.unconfirmed.pop(number)
            self.core.commands.reply(
                call, why or "done here; the other process has not confirmed it"
            )
