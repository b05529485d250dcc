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

from cypresswalk.measures import DecayingSum
from cypresswalk.model import EndpointUpdate, Server, ServerState
from cypresswalk.net.config import Address, parse_address
from cypresswalk.net.core import Core, Phase
from cypresswalk.net.errors import ConfigError, ProtocolError
from cypresswalk.net.parsers.admin_commands import AdminCommand
from cypresswalk.net.parsers.endpoint_list import server_number

VERSION = 1
CHUNK = 200  # servers, or ids by the tenfold, in one message: well under the longest line
COUNTS = ("since", "health", "misses", "errors", "failed", "answers")
TIMES = ("trial_at", "strain_at", "full_until", "cut_at", "told_at", "barred_at")
FLAGS = ("known", "fresh", "barred", "owed")
PARTS = ("strain", "limit", "cut_delay", "delay")
SUMS = ("dealt", "filled", "drops")
OWN_SUMS = ("carried", "borne", "arrivals", "hints", "setup_time", "setups")
ATTRIBUTES = {  # of a server, by the name on the wire where that is another
    "since": "started_at",
    "misses": "consecutive_failures",
    "errors": "consecutive_errors",
    "failed": "failed_checks",
    "answers": "established_count",
    "trial_at": "next_trial_at",
    "strain_at": "load_at",
    "full_until": "ejected_until",
    "cut_at": "limit_cut_at",
    "told_at": "gossiped_at",
    "barred_at": "out_of_rotation_since",
    "known": "checked",
    "fresh": "awaiting_first_pass",
    "barred": "out_of_rotation",
    "owed": "owed_first_flow",
    "strain": "load",
    "limit": "concurrency_limit",
    "cut_delay": "delay_at_cut",
    "delay": "message_delay",
    "dealt": "slow_start_spent",
    "filled": "slow_start_fills",
    "drops": "recent_drops",
}


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


def fading(sum_: DecayingSum) -> list:
    return [sum_.total, sum_.updated_at]


def messages(now: int, core: Core, drivers: Drivers) -> Iterator[dict]:
    """All that this process knows, as the other reads it. Times are this clock's, whose `now` is told beside them."""
    balancer = core.balancer
    list_address, version = drivers.list_at()
    agreed = {} if core.agreement is None else {"agreed": core.agreement.handed()}
    yield {
        "state": agreed
        | {
            "now": now,
            "list": list_address,
            "version": version,
            "drained": core.drained,
            "started": balancer.traffic.started_at,
            "sums": {name: fading(sum_) for name, sum_ in balancer.sums().items()},
        }
    }
    told = [
        server_told(server, core, drivers)
        for server in balancer.servers.values()
        if server.id in core.addresses
    ]
    for start in range(0, len(told), CHUNK):
        yield {"servers": told[start : start + CHUNK]}
    ids = list(core.seen)
    for start in range(0, len(ids), 10 * CHUNK):
        yield {"ids": ids[start : start + 10 * CHUNK]}
    yield {"end": True}


def server_told(server: Server, core: Core, drivers: Drivers) -> dict:
    told = {
        name: getattr(server, ATTRIBUTES.get(name, name)) for name in COUNTS + TIMES + FLAGS + PARTS
    }
    return (
        told
        | {name: fading(getattr(server, ATTRIBUTES[name])) for name in SUMS}
        | {
            "name": drivers.names()[server.id],
            "address": "%s:%d" % core.addresses[server.id],
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
        started_at=int(told["since"]),
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
        parse_address(told["address"], "address"),
        told["name"],
        known | {name: pair(told[name]) for name in SUMS if name in told},
    )


def restore(sum_: DecayingSum, total: float, at: int) -> None:
    sum_.total = total
    sum_.updated_at = at


def believe(now: int, core: Core, drivers: Drivers, told: ReceivedState) -> None:
    """Puts what the elder knows into a core that places nothing yet. Its word goes before an older list's; a later start of
    a server, or a later version of the list, before its word."""
    servers, ids, sums = told.read()
    balancer, later = core.balancer, now - told.state["now"]
    list_address, version = drivers.list_at()
    newer_here = list_address == told.state["list"] and version > told.state["version"]
    for server, _, name, _ in servers:
        drivers.names()[server.id] = name
    core.addresses |= {
        server.id: where for server, where, _, _ in servers if server.id not in core.addresses
    }
    balancer.on_endpoints(
        now,
        EndpointUpdate.DELTA,
        [
            server
            for server, *_ in servers
            if (here := balancer.servers.get(server.id)) is None
            or here.started_at <= server.started_at
            and not newer_here
        ],
    )
    for server, _, _, known in servers:
        here = balancer.servers[server.id]
        # Out by hand is a fact whatever else is newer.
        here.out_of_rotation, here.out_of_rotation_since = (
            known.get("barred", False),
            known.get("barred_at", 0) + later,
        )
        if here.started_at != server.started_at:
            continue
        for name, value in known.items():
            if name in SUMS:
                total, at = value
                restore(getattr(here, ATTRIBUTES[name]), total, min(at + later, now))
            elif name not in ("since", "barred", "barred_at"):
                attribute = ATTRIBUTES.get(name, name)
                setattr(here, attribute, value + later if name in TIMES and value else value)
    own_sums = balancer.sums()
    for name, (total, at) in sums.items():
        restore(own_sums[name], total, min(at + later, now))
    balancer.assume_retry_budget_spent(now)
    balancer.traffic.started_at = min(told.state["started"] + later, now)
    balancer.placement.stale = True
    for ident in ids[-core.limits.max_remembered_flows :]:
        core.seen[ident] = None
    core.settle()


class Handover:
    """One of the two processes; the core's own thread alone calls it."""

    def __init__(self, core: Core, drivers: Drivers, elder: Other | None = None):
        self.core, self.drivers = core, drivers
        self.other = elder
        self.younger = elder is not None  # waits for the elder to hand over
        if self.younger:
            core.phase = Phase.STARTING
            core.settle()
        self.told: ReceivedState | None = None
        self.informed = False  # a whole state has been read
        self.succeeded = False  # the other accepts clients in this process's place
        self.held = 0  # flows that the other holds still, of what both may hold
        self.held_told = -1
        self.asked: dict[
            int, tuple[AdminCommand, str | None]
        ] = {}  # calls that the other has not confirmed
        self.asked_last = 0

    # The elder.

    def hello(self, now: int, other: Other) -> None:
        """Another process wants to stand beside this one. One at a time; one that waits itself has nothing to hand on."""
        if self.other is not None or self.younger:
            other.send({"refused": "another process stands beside this one"})
            other.close()
            return
        self.other, self.succeeded = other, False
        other.send({"welcome": VERSION}, self.drivers.sockets())
        self.tell_state(now)
        if self.core.phase is Phase.LEAVING:
            self.hand_over(now)

    def tell_state(self, now: int) -> None:
        for message in messages(now, self.core, self.drivers):
            self.other.send(message)

    def hand_over(self, now: int) -> None:
        """What is left of budgets goes with it. This process accepts until the other has said that it does."""
        if self.other is not None and not self.younger:
            self.tell_state(now)
            self.core.balancer.yield_budgets(now)
            self.other.send({"yours": True})

    def tell_held(self) -> None:
        if self.succeeded and self.other is not None and self.held_told != len(self.core.sessions):
            self.held_told = len(self.core.sessions)
            self.other.send({"held": self.held_told})

    # Both.

    def heard(self, now: int, other: Other, message: dict) -> None:
        if other is not self.other:
            return
        match message:
            case {"state": dict(state)}:
                self.told = ReceivedState(state)
            case {"servers": list()} | {"ids": list()} if self.told is not None:
                self.told.add(message)
            case {"end": _} if self.told is not None and self.younger:
                told, self.told = self.told, None
                believe(now, self.core, self.drivers, told)
                if self.core.agreement is not None and "agreed" in told.state:
                    self.core.agreement.inherit(now, told.state["agreed"])
                self.core.drained = told.state.get("drained") is True
                self.informed = True
            case {"yours": _} if self.younger:
                self.take_over(now)
                other.send({"mine": True})
            case {"mine": _} if not self.younger:
                self.succeeded = True
                self.drivers.stop_accepting()
                self.core.settle()
                self.tell_held()
            case {"held": int(held)}:
                self.held = held
            case {
                "call": int(number),
                "name": str(name),
                "server": str(server),
                "known": bool(known),
            }:
                other.send(
                    {
                        "done": number,
                        "why": self.core.obey(
                            now, AdminCommand(name, server), forwarded=True, known=known
                        ),
                    }
                )
            case {"done": int(number), "why": why} if number in self.asked:
                self.confirmed(now, number, why)

    def parted(self, now: int, other: Other) -> None:
        """The other process has ended, or its way here has: this one serves, whatever was agreed."""
        if other is not self.other:
            return
        self.other, self.told, self.held = None, None, 0
        for number in list(self.asked):
            self.confirmed(now, number, None)
        if self.younger:
            self.take_over(now)
        elif self.succeeded:
            self.succeeded = False
            self.drivers.accept()
        self.core.settle()

    def take_over(self, now: int) -> None:
        self.younger = False
        self.core.begin(now)
        self.drivers.accept()

    # Calls.

    def forward(self, now: int, call: AdminCommand, why: str | None) -> bool:
        """Whether the answer waits for the other process."""
        if self.other is None:
            return False
        self.asked_last += 1
        self.asked[self.asked_last] = call, why
        self.other.send(
            {
                "call": self.asked_last,
                "name": call.name,
                "server": call.server,
                "known": why is None,
            }
        )
        self.core.at(now + self.core.limits.handover_confirm_timeout, self.late, self.asked_last)
        return True

    def confirmed(self, now: int, number: int, why: str | None) -> None:
        """A server that one of the two lists names is known to both."""
        call, why_here = self.asked.pop(number)
        if why_here is not None and why is None and self.other is not None:
            why_here = self.core.obey(now, call, forwarded=True, known=True)
        self.core.reply(call, why_here if why_here is not None else why)

    def late(self, now: int, number: int) -> None:
        if number in self.asked:
            call, why = self.asked.pop(number)
            self.core.reply(call, why or "done here; the other process has not confirmed it")
