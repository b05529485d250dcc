"""Events that other threads put into the queue of the replication thread."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from cypresswalk.copies.messages import AnyMessage
from cypresswalk.copies.reservations import ReservationAnswer


@dataclass(frozen=True, slots=True)
class MessagesReceived:
    """Messages received from another member.

    Attributes:
        source: the id of the sender.
        messages: the messages, in the order in which they were sent.
    """

    source: str
    messages: Sequence[AnyMessage]


@dataclass(frozen=True, slots=True)
class ReservationRequested:
    """A flow that waits for the reservation of its idempotency key.

    Attributes:
        key: the idempotency key of the flow.
        hold_ns: the duration of the reservation, in nanoseconds.
        deadline: the time by which the request is answered, in nanoseconds of the thread's clock.
        reply: a callback, called once with the answer and the owner name used in the request.
    """

    key: str
    hold_ns: int
    deadline: int
    reply: Callable[[ReservationAnswer, str], None]


@dataclass(frozen=True, slots=True)
class ReservationEnded:
    """The end of a flow that has a reservation.

    Attributes:
        key: the idempotency key of the flow.
        owner: the owner name of the reservation.
        outcome: "ran", "never" or "unknown".
    """

    key: str
    owner: str
    outcome: str


@dataclass(frozen=True, slots=True)
class ViewsAgreed:
    """Views of partitions that the fleet agreed on.

    Attributes:
        views: the number and the replica ids of each view, the primary first, by partition.
    """

    views: Mapping[int, tuple[int, Sequence[str]]]


@dataclass(frozen=True, slots=True)
class IdentityAssigned:
    """The identity of this process in the fleet, effective from now on.

    Attributes:
        member: the member id.
        boot: the sequence number of this process start.
    """

    member: str
    boot: int


@dataclass(frozen=True, slots=True)
class StatusRequested:
    """A request for the status of the replica.

    Attributes:
        reply: a callback, called with True and the status.
    """

    reply: Callable[[bool, dict[str, Any]], None]


@dataclass(frozen=True, slots=True)
class StopRequested:
    """A wake-up for the thread after a stop was requested."""


Event = (
    MessagesReceived
    | ReservationRequested
    | ReservationEnded
    | ViewsAgreed
    | IdentityAssigned
    | StatusRequested
    | StopRequested
)
