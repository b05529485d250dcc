"""The state that a process hands over: encoding to JSON, decoding, and applying it to a core.

Times are nanoseconds of the predecessor's clock, and the state includes that clock's `now`. The
tables below map each key on the wire to an attribute; a key does not change when its attribute is
renamed.
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

SERVERS_PER_MESSAGE = 200  # keeps a message well under the limit of a line
IDS_PER_MESSAGE = 2000


class FieldKind(Enum):
    """The type of a server's field, which decides how it is checked and decoded."""

    COUNT = "count"  # an integer, at least 0
    TIME = "time"  # by the predecessor's clock; 0 for never
    FLAG = "flag"
    AMOUNT = "amount"  # a number, at least 0, possibly infinite
    LOAD = "load"  # a number, negative for a server with much capacity to spare


@dataclass(frozen=True, slots=True)
class ServerField:
    """A field of a server that is handed over."""

    key: str  # name on the wire
    attribute: str  # name in model.Server
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
    ServerField("strain", "load", FieldKind.LOAD),
    ServerField("limit", "concurrency_limit", FieldKind.AMOUNT),
    ServerField("cut_delay", "delay_at_cut", FieldKind.AMOUNT),
    ServerField("delay", "message_delay", FieldKind.AMOUNT),
)
# A server's decaying sums: attributes of model.Server by their key on the wire. The sums of the
# balancer as a whole are in Balancer.sums.
SERVER_SUMS = {
    "dealt": "slow_start_spent",
    "filled": "slow_start_excess",
    "drops": "recent_drops",
}
# Fields with rules of their own: the endpoint list sets `since`, and whether a server is out of
# rotation is taken over even if the server has started again since.
APPLIED_SEPARATELY = ("since", "barred", "barred_at")


class ListSource(Protocol):
    """The source of this process's endpoint list."""

    def list_position(self) -> tuple[str, int]:
        """Return the list's address and the version that was read last."""

    def server_names(self) -> dict[int, str]:
        """Return the servers' names by number; the caller may add names to the dict."""


@dataclass(slots=True)
class DecayingSumState:
    """The total of a decaying sum at one time."""

    total: float
    at: int  # nanoseconds of the predecessor's clock


@dataclass(slots=True)
class ReceivedServer:
    """A server as the predecessor knows it."""

    server: Server  # its entry in the endpoint list
    address: Address
    name: str
    values: dict[str, int | float | bool]  # by `ServerField.key`
    sums: dict[str, DecayingSumState]  # by key of `SERVER_SUMS`


@dataclass(slots=True)
class PredecessorState:
    """The predecessor's decoded and checked state."""

    now: int  # nanoseconds of the predecessor's clock
    list_address: str
    list_version: int
    started: int  # start of the balancer, or of the process that it replaced, by that clock
    servers: list[ReceivedServer]
    flow_ids: list[int]  # that arrived or ended recently, the latter last
    open_ids: list[int]  # of connections that are open at the predecessor
    sums: dict[str, DecayingSumState]  # by key of `Balancer.sums`


def state_messages(now: int, core: Core, source: ListSource) -> Iterator[dict[str, Any]]:
    """Yield the messages that make up this process's state, in order."""
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
    yield from id_messages("ids", core.flow_ids.recent())
    # Versions that don't know this message ignore it.
    yield from id_messages("open_ids", sorted(core.flow_ids.open))
    yield {"end": True}


def id_messages(name: str, ids: list[int]) -> Iterator[dict[str, Any]]:
    """Yield messages of one name that hold all ids, in order."""
    for start in range(0, len(ids), IDS_PER_MESSAGE):
        yield {name: ids[start : start + IDS_PER_MESSAGE]}


def encode_sum(decaying: DecayingSum) -> list[float]:
    """Return a decaying sum's total and the time of its last update, nanoseconds."""
    return [decaying.total, decaying.updated_at]


def encode_server(server: Server, core: Core, source: ListSource) -> dict[str, Any]:
    """Return a server's fields and sums, followed by its entry in the endpoint list."""
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
    """Collects the messages from `state` to `end`, to be decoded once all have arrived."""

    def __init__(self, state: dict[str, Any]):
        """Create a receiver; `state` is the content of the first message."""
        self.state = state
        self.servers: list[Any] = []
        self.ids: list[Any] = []
        self.open_ids: list[Any] = []

    def add(self, message: dict[str, Any]) -> None:
        """Add a message with servers or ids."""
        self.servers += message.get("servers", [])
        self.ids += message.get("ids", [])
        self.open_ids += message.get("open_ids", [])

    def decode(self) -> PredecessorState:
        """Return the whole state.

        Raises:
            ProtocolError: a part of it is malformed.
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
                [int(ident) for ident in self.open_ids],
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
            message = f"malformed state of the predecessor: {type(error).__name__} {error}"
            raise ProtocolError(message) from None


def decode_sum(encoded: list[Any]) -> DecayingSumState:
    """Decode a decaying sum. Raises ValueError if the total is negative, infinite or NaN."""
    total, at = encoded
    if not 0 <= total < math.inf:
        raise ValueError(f"a decaying sum of {total}")
    return DecayingSumState(float(total), int(at))


def decode_value(kind: FieldKind, value: Any) -> int | float | bool:
    """Decode a field's value. Raises ValueError or TypeError if a number is malformed."""
    match kind:
        case FieldKind.FLAG:
            return value is True
        case FieldKind.AMOUNT | FieldKind.LOAD:
            return float(value)
        case _:
            return int(value)


def check_value(field: ServerField, value: int | float | bool) -> None:
    """Raise ValueError if a server's value is out of its range."""
    if field.kind is FieldKind.LOAD:
        in_range = not math.isnan(value)
    elif field.kind in (FieldKind.COUNT, FieldKind.AMOUNT):
        in_range = value >= 0  # also false for NaN
    else:
        in_range = True
    if not in_range:
        raise ValueError(f"{field.key}={value} is out of its range")


def decode_server(encoded: dict[str, Any]) -> ReceivedServer:
    """Decode a server. Raises KeyError, TypeError, ValueError or ConfigError if it is malformed."""
    server = Server(
        id=server_number(encoded["name"]),
        zone=int(encoded["zone"]),
        cell=int(encoded["cell"]),
        weight=float(encoded["weight"]),
        started_at=int(encoded["since"]),
        state=ServerState(encoded["state"]),
    )
    values = {
        field.key: decode_value(field.kind, encoded[field.key])
        for field in SERVER_FIELDS
        if field.key in encoded
    }
    for field in SERVER_FIELDS:
        check_value(field, values.get(field.key, 0))
    if not 0 < server.weight < math.inf:
        raise ValueError(f"{encoded['name']}: a weight of {server.weight}")
    sums = {key: decode_sum(encoded[key]) for key in SERVER_SUMS if key in encoded}
    address = parse_address(encoded["address"], "address")
    return ReceivedServer(server, address, encoded["name"], values, sums)


def apply_state(now: int, core: Core, source: ListSource, state: PredecessorState) -> None:
    """Apply the predecessor's state to a core that does not place flows yet.

    The state overrides an older endpoint list. A later start of a server or a newer version of the
    list overrides the state.
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
    balancer.on_servers_restored(now)
    core.flow_ids.inherit(state.flow_ids, state.open_ids)
    core.lifecycle.update_readiness()


def apply_endpoints(now: int, core: Core, source: ListSource, state: PredecessorState) -> None:
    """Take over names, addresses, and the entries for which this process has no newer ones."""
    known = core.balancer.servers
    names = source.server_names()
    list_address, version = source.list_position()
    own_is_newer = list_address == state.list_address and version > state.list_version
    for received in state.servers:
        names[received.server.id] = received.name
        core.endpoints.addresses.setdefault(received.server.id, received.address)
    accepted = []
    for received in state.servers:
        own = known.get(received.server.id)
        if own is None or (own.started_at <= received.server.started_at and not own_is_newer):
            accepted.append(received.server)
    core.balancer.on_endpoints(now, EndpointUpdate.DELTA, accepted)


def apply_server(now: int, offset: int, own: Server, received: ReceivedServer) -> None:
    """Apply the predecessor's values of a server, unless the server has started again since."""
    values = received.values
    # An operator's command applies even if the server has started again since.
    own.out_of_rotation = bool(values.get("barred", False))
    own.out_of_rotation_since = int(values.get("barred_at", 0)) + offset
    if own.started_at != received.server.started_at:
        return
    for field in SERVER_FIELDS:
        if field.key in values and field.key not in APPLIED_SEPARATELY:
            value = values[field.key]
            if field.kind is FieldKind.TIME and value:
                value += offset
            setattr(own, field.attribute, value)
    for key, decaying in received.sums.items():
        apply_sum(now, offset, getattr(own, SERVER_SUMS[key]), decaying)


def apply_sum(now: int, offset: int, own: DecayingSum, received: DecayingSumState) -> None:
    """Replace this process's own sum by the predecessor's."""
    own.total = received.total
    own.updated_at = min(received.at + offset, now)
