"""Effects: actions that a replica requests of its owner, which does the I/O."""

from dataclasses import dataclass
from typing import TypeAlias

from cypresswalk.copies.messages import (
    AnyMessage,
    PartitionReceived,
    RecordStored,
    ViewBegun,
    ViewSealed,
)
from cypresswalk.copies.reservations import ReservationAnswer

StoredChange: TypeAlias = RecordStored | ViewBegun | ViewSealed | PartitionReceived


@dataclass(slots=True)
class WriteChange:
    """A change to write and flush before any later effect is carried out."""

    change: StoredChange


@dataclass(slots=True)
class SendMessage:
    """A message to send to a member."""

    receiver: str
    message: AnyMessage


@dataclass(slots=True)
class SendToLeader:
    """A message to send to the leader of the fleet."""

    message: AnyMessage


@dataclass(slots=True)
class AnswerRequest:
    """An answer to the request that has this token."""

    token: object
    answer: ReservationAnswer


Effect: TypeAlias = WriteChange | SendMessage | SendToLeader | AnswerRequest
