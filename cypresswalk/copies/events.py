"""Events that other threads put into the replication thread's queue."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from cypresswalk.copies.messages import AnyMessage
from cypresswalk.copies.reservations import ReservationAnswer


@dataclass(frozen=True, slots=True)
class MessagesReceived:
    """Messages of a member arrived.

    Attributes:
        source: the member's id.
        messages: in the order in which they were sent.
    """

    source: str
    messages: Sequence[AnyMessage]


@dataclass(frozen=True, slots=True)
class ReservationRequested:
    """A flow waits for its idempotency key to be reserved.

    Attributes:
        key: of the flow.
        hold_ns: how long the reservation lasts, nanoseconds.
        deadline: by which `reply` is called, in nanoseconds of the thread's clock.
        reply: called once with the answer and the owner under whose name the key is reserved.
    """

    key: str
    hold_ns: int
    deadline: int
    reply: Callable[[ReservationAnswer, str], None]


@dataclass(frozen=True, slots=True)
class ReservationEnded:
    """A flow with a reservation is over.

    Attributes:
        key: of the flow.
        owner: under whose name it was reserved.
        outcome: "ran", "never" or "unknown".
    """

    key: str
    owner: str
    outcome: str


@dataclass(frozen=True, slots=True)
class ViewsAgreed:
    """The group agreed on views.

    Attributes:
        views: by partition, the view's number and its replicas' ids, the primary first.
    """

    views: Mapping[int, tuple[int, Sequence[str]]]


@dataclass(frozen=True, slots=True)
class IdentityAssigned:
    """This process is that member from now on.

    Attributes:
        member: its id.
        boot: the number of this start.
    """

    member: str
    boot: int


@dataclass(frozen=True, slots=True)
class StatusRequested:
    """Somebody wants to know the replica's status.

    Attributes:
        reply: called with True and the status.
    """

    reply: Callable[[bool, dict[str, Any]], None]


@dataclass(frozen=True, slots=True)
class StopRequested:
    """Wakes the thread, which is to end."""


Event = (
    MessagesReceived
    | ReservationRequested
    | ReservationEnded
    | ViewsAgreed
    | IdentityAssigned
    | StatusRequested
    | StopRequested
)
