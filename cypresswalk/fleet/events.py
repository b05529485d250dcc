"""Events that other threads post to the fleet thread."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from cypresswalk.copies.messages import AnyMessage as ReplicationMessage
from cypresswalk.fleet.messages import AnyFrame, Hello, HelloRejected, Result
from cypresswalk.fleet.records import ListedServer


@dataclass(slots=True)
class FrameReceived:
    """A member sent a frame; `hello` is the Hello of that connection."""

    hello: Hello
    frame: AnyFrame


@dataclass(slots=True)
class ToolFrameReceived:
    """A command line tool sent a frame; `respond` sends a result to it."""

    hello: Hello
    frame: AnyFrame
    respond: Callable[[Result], None]


@dataclass(slots=True)
class ConnectionRejected:
    """The member dialled under the id or address `to` rejected this member's Hello."""

    to: str
    rejection: HelloRejected


@dataclass(slots=True)
class CallRequested:
    """This process calls the leader; `reply` is called once, within `timeout_s` seconds."""

    name: str
    args: dict[str, Any]
    reply: Callable[[bool, Any], None]
    timeout_s: float


@dataclass(slots=True)
class VersionApplied:
    """The deciding thread now acts on `version`."""

    version: int


@dataclass(slots=True)
class ListReceived:
    """This balancer's own list agent delivered an endpoint list."""

    generation: int
    digest: bytes
    servers: list[ListedServer]


@dataclass(slots=True)
class ReplicaCapabilityChanged:
    """This balancer has become able, or unable, to hold replicas of keys."""

    holds_replicas: bool


@dataclass(slots=True)
class LeaderMessagesPosted:
    """The replication thread has messages for the leader."""

    messages: list[ReplicationMessage]


@dataclass(slots=True)
class LeadershipReleased:
    """Leadership is to be transferred to another member before a planned stop."""


@dataclass(slots=True)
class StopRequested:
    """The fleet thread is to end."""


Event = (
    FrameReceived
    | ToolFrameReceived
    | ConnectionRejected
    | CallRequested
    | VersionApplied
    | ListReceived
    | ReplicaCapabilityChanged
    | LeaderMessagesPosted
    | LeadershipReleased
    | StopRequested
)
