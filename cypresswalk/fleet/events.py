"""Events that other threads post to the fleet's thread."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from cypresswalk.copies.messages import AnyMessage as ReplicationMessage
from cypresswalk.fleet.messages import AnyFrame, Hello, HelloRejected, Result
from cypresswalk.fleet.records import ListedServer


@dataclass(slots=True)
class FrameReceived:
    """A member sent a frame; `hello` is its connection's."""

    hello: Hello
    frame: AnyFrame


@dataclass(slots=True)
class ToolFrameReceived:
    """A tool sent a frame; `respond` sends it a result."""

    hello: Hello
    frame: AnyFrame
    respond: Callable[[Result], None]


@dataclass(slots=True)
class ConnectionRejected:
    """The member that was dialled as `to` rejected this one's Hello."""

    to: str
    rejection: HelloRejected


@dataclass(slots=True)
class CallRequested:
    """This process asks the leader; `reply` is called once, within `span_s` seconds."""

    name: str
    args: dict[str, Any]
    reply: Callable[[bool, Any], None]
    span_s: float


@dataclass(slots=True)
class VersionApplied:
    """The deciding thread acts on that version now."""

    version: int


@dataclass(slots=True)
class ListReceived:
    """This balancer's own list agent delivered an endpoint list."""

    generation: int
    digest: bytes
    servers: list[ListedServer]


@dataclass(slots=True)
class ReplicaCapabilityChanged:
    """This balancer can hold replicas of keys from now on, or no more."""

    holds_replicas: bool


@dataclass(slots=True)
class LeaderMessagesPosted:
    """The replication thread has messages for the leader."""

    messages: list[ReplicationMessage]


@dataclass(slots=True)
class LeadershipReleased:
    """A planned stop: leadership is to go to another member."""


@dataclass(slots=True)
class StopRequested:
    """The thread is to end."""


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
