"""What a process hands over: read from the core, written to JSON, read back, put into a core.

Times are nanoseconds of the predecessor's clock, whose `now` goes with them. The tables below map
each key on the wire to the attribute that it stands for; a key stays what it is when an attribute
is renamed.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from cypresswalk.decisions.balancer import HANDED_OVER_SUMS
from cypresswalk.measures import DecayingSum
from cypresswalk.model import EndpointUpdate, Server, ServerState
from cypresswalk.net.config import Address, parse_address
from cypresswalk.net.core import Core
from cypresswalk.net.errors import ConfigError, ProtocolError
from cypresswalk.net.parsers.endpoint_list import server_number

SERVERS_PER_MESSAGE = 200  # well under the longest line
IDS_PER_MESSAGE = 2000


class FieldKind(Enum):
    """How a server's figure is checked and read back."""

    COUNT = "count"  # whole, from 0 on
    TIME = "time"  # of the predecessor's clock; 0: never
    FLAG = "flag"
    AMOUNT = "amount"  # from 0 on, perhaps infinite


@dataclass(frozen=True, slots=True)
class ServerField:
    """One figure of a server."""

    key: str  # on the wire
    attribute: str  # of model.Server
    kind: FieldKind


# In the order in which they are written.
SERVER_FIELDS = (
    ServerField("since", "started_at", FieldKind.COUNT),
    ServerField("health", "health", FieldKind.COUNT),
    ServerField("misses", "consecutive_failures", FieldKind.COUNT),
    ServerField("errors", "consecutive_errors", FieldKind.COUNT),
    ServerField("failed", "failed_checks", FieldKind.COUNT),
    ServerField("answers", "established_count", FieldKind.COUNT),
    ServerField("trial_at", "next_trial_at", FieldKind.TIME),
    ServerField("strain_at", "load_reported_at", FieldKind.TIME),
    ServerField("full_until", "ejected_until", FieldKind.TIME),
    ServerField("cut_at", "limit_cut_at", FieldKind.TIME),
    ServerField("told_at", "gossiped_at", FieldKind.TIME),
    ServerField("barred_at", "out_of_rotation_since", FieldKind.TIME),
    ServerField("known", "checked", FieldKind.FLAG),
    ServerField("fresh", "awaiting_first_pass", FieldKind.FLAG),
    ServerField("barred", "out_of_rotation", FieldKind.FLAG),
    ServerField("owed", "first_flow_pending", FieldKind.FLAG),
    ServerField("strain", "load", FieldKind.AMOUNT),
    ServerField("limit", "concurrency_limit", FieldKind.AMOUNT),
    ServerField("cut_delay", "delay_at_cut", FieldKind.AMOUNT),
    ServerField("delay", "message_delay", FieldKind.AMOUNT),
)
# Decaying sums by their key on the wire: attributes of model.Server. Balancer.sums has its own.
SERVER_SUMS = {
    "dealt": "slow_start_spent",
    "filled": "slow_start_excess",
    "drops": "recent_drops",
}
# Set apart from the other figures: by the list, and whatever else is newer.
APPLIED_APART = ("since", "barred", "barred_at")


class ListSource(Protocol):
    """Where this process has its endpoint list from."""

    def list_position(self) -> tuple[str, int]:
        """The list's address, and the version that was read last."""

    def server_names(self) -> dict[int, str]:
        """Names by number; more may be put in."""


@dataclass(slots=True)
class DecayingSumState:
    """A decaying sum and when it was that."""

    total: float
    at: int


@dataclass(slots=True)
class ReceivedServer:
    """A server as the predecessor knows it."""

    server: Server  # as listed
    address: Address
    name: str
    figures: dict[str, int | float | bool]  # by key
    sums: dict[str, DecayingSumState]  # by key


@dataclass(slots=True)
class PredecessorState:
    """All that the predecessor knows, checked."""

    now: int
    list_address: str
    list_version: int
    started: int
    servers: list[ReceivedServer]
    flow_ids: list[int]
    sums: dict[str, DecayingSumState]  # by key


def state_messages(now: int, core: Core, source: ListSource) -> Iterator[dict[str, Any]]:
    """All that this process knows, as messages in their order."""
    balancer = core.balancer
    list_address, version = source.list_position()
    fleet = core.extensions.fleet
    agreed = {} if fleet is None else {"agreed": fleet.state_for_successor()}
    yield {
        "state": agreed
        | {
            "now": now,
            "list": list_address,
            "version": version,
            "drained": core.lifecycle.drained,
            "started": balancer.traffic.started_at,
            "sums": {key: encode_sum(decaying) for key, decaying in balancer.sums().items()},
        }
    }
    servers = [
        encode_server(server, core, source)
        for server in balancer.servers.values()
        if server.id in core.endpoints.addresses
    ]
    for start in range(0, len(servers), SERVERS_PER_MESSAGE):
        yield {"servers": servers[start : start + SERVERS_PER_MESSAGE]}
    ids = list(core.seen_ids)
    for start in range(0, len(ids), IDS_PER_MESSAGE):
        yield {"ids": ids[start : start + IDS_PER_MESSAGE]}
    yield {"end": True}


def encode_sum(decaying: DecayingSum) -> list[float]:
    """Its total, and when it was that."""
    return [decaying.total, decaying.updated_at]


def encode_server(server: Server, core: Core, source: ListSource) -> dict[str, Any]:
    """A server's figures, then what the list says of it."""
    encoded = {field.key: getattr(server, field.attribute) for field in SERVER_FIELDS}
    for key, attribute in SERVER_SUMS.items():
        encoded[key] = encode_sum(getattr(server, attribute))
    return encoded | {
        "name": source.server_names()[server.id],
        "address": "{}:{}".format(*core.endpoints.addresses[server.id]),
        "zone": server.zone,
        "cell": server.cell,
        "weight": server.weight,
        "state": server.state.value,
    }


class StateReceiver:
    """Collects what comes between `state` and `end`; nothing counts before all is there."""

    def __init__(self, state: dict[str, Any]):
        """`state` is the first message's content."""
        self.state = state
        self.servers: list[Any] = []
        self.ids: list[Any] = []

    def add(self, message: dict[str, Any]) -> None:
        """Takes a message with servers or ids."""
        self.servers += message.get("servers", [])
        self.ids += message.get("ids", [])

    def decode(self) -> PredecessorState:
        """All of it.

        Raises:
            ProtocolError: something in it is malformed.
        """
        try:
            sums = self.state["sums"]
            return PredecessorState(
                int(self.state["now"]),
                str(self.state["list"]),
                int(self.state["version"]),
                int(self.state["started"]),
                [decode_server(encoded) for encoded in self.servers],
                [int(ident) for ident in self.ids],
                {key: decode_sum(sums[key]) for key in HANDED_OVER_SUMS if key in sums},
            )
        except (
            KeyError,
            TypeError,
            ValueError,
            AttributeError,
            OverflowError,
            ConfigError,
        ) as error:
            message = f"what the other process told: {type(error).__name__} {error}"
            raise ProtocolError(message) from None


def decode_sum(encoded: list[Any]) -> DecayingSumState:
    """Raises ValueError where the total is no number from 0 on."""
    total, at = encoded
    if not 0 <= total < math.inf:
        raise ValueError(f"a sum of {total}")
    return DecayingSumState(float(total), int(at))


def decode_figure(kind: FieldKind, value: Any) -> int | float | bool:
    """Raises ValueError or TypeError for what is no such figure."""
    match kind:
        case FieldKind.FLAG:
            return value is True
        case FieldKind.AMOUNT:
            return float(value)
        case _:
            return int(value)


def decode_server(encoded: dict[str, Any]) -> ReceivedServer:
    """Raises KeyError, TypeError, ValueError or ConfigError where something in it is malformed."""
    server = Server(
        id=server_number(encoded["name"]),
        zone=int(encoded["zone"]),
        cell=int(encoded["cell"]),
        weight=float(encoded["weight"]),
        started_at=int(encoded["since"]),
        state=ServerState(encoded["state"]),
    )
    figures = {
        field.key: decode_figure(field.kind, encoded[field.key])
        for field in SERVER_FIELDS
        if field.key in encoded
    }
    amounts = [
        figures.get(field.key, 0)
        for field in SERVER_FIELDS
        if field.kind in (FieldKind.COUNT, FieldKind.AMOUNT)
    ]
    if min(amounts) < 0 or math.isnan(figures.get("limit", 0)) or not 0 < server.weight < math.inf:
        raise ValueError(f"{encoded['name']}: a figure out of its range")
    sums = {key: decode_sum(encoded[key]) for key in SERVER_SUMS if key in encoded}
    where = parse_address(encoded["address"], "address")
    return ReceivedServer(server, where, encoded["name"], figures, sums)


def apply_state(now: int, core: Core, source: ListSource, state: PredecessorState) -> None:
    """Puts what the predecessor knows into a core that places nothing yet.

    Its figures override an older list; a server that started later, or a newer version of the list,
    overrides them.
    """
    balancer = core.balancer
    offset = now - state.now  # between the two clocks
    apply_endpoints(now, core, source, state)
    for received in state.servers:
        apply_server(now, offset, balancer.servers[received.server.id], received)
    own_sums = balancer.sums()
    for key, decaying in state.sums.items():
        apply_sum(now, offset, own_sums[key], decaying)
    balancer.assume_retry_budget_spent(now)
    balancer.traffic.started_at = min(state.started + offset, now)
    balancer.placement.stale = True
    for ident in state.flow_ids[-core.limits.max_remembered_flows :]:
        core.seen_ids[ident] = None
    core.lifecycle.update_readiness()


def apply_endpoints(now: int, core: Core, source: ListSource, state: PredecessorState) -> None:
    """Names, addresses, and the entries that this process's own list does not know better."""
    known = core.balancer.servers
    names = source.server_names()
    list_address, version = source.list_position()
    newer_here = list_address == state.list_address and version > state.list_version
    for received in state.servers:
        names[received.server.id] = received.name
        core.endpoints.addresses.setdefault(received.server.id, received.address)
    accepted = []
    for received in state.servers:
        here = known.get(received.server.id)
        if here is None or (here.started_at <= received.server.started_at and not newer_here):
            accepted.append(received.server)
    core.balancer.on_endpoints(now, EndpointUpdate.DELTA, accepted)


def apply_server(now: int, offset: int, here: Server, received: ReceivedServer) -> None:
    """Takes the predecessor's figures of a server, unless it has started again since."""
    figures = received.figures
    # Out of rotation by an operator is a fact whatever else is newer.
    here.out_of_rotation = bool(figures.get("barred", False))
    here.out_of_rotation_since = int(figures.get("barred_at", 0)) + offset
    if here.started_at != received.server.started_at:
        return
    for field in SERVER_FIELDS:
        if field.key in figures and field.key not in APPLIED_APART:
            value = figures[field.key]
            if field.kind is FieldKind.TIME and value:
                value += offset
            setattr(here, field.attribute, value)
    for key, decaying in received.sums.items():
        apply_sum(now, offset, getattr(here, SERVER_SUMS[key]), decaying)


def apply_sum(now: int, offset: int, here: DecayingSum, received: DecayingSumState) -> None:
    """Takes the predecessor's sum in place of this process's own."""
    here.total = received.total
    here.updated_at = min(received.at + offset, now)
