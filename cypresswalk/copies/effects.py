"""What a replica asks its owner to do."""

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
    """Write and flush, before anything after it is carried out."""

    change: StoredChange


@dataclass(slots=True)
class SendMessage:
    """Send to a member."""

    receiver: str
    message: AnyMessage


@dataclass(slots=True)
class TellLeader:
    """Send to whoever leads the group."""

    message: AnyMessage


@dataclass(slots=True)
class AnswerRequest:
    """Answer the request that came with that token."""

    token: object
    answer: ReservationAnswer


Effect: TypeAlias = WriteChange | SendMessage | TellLeader | AnswerRequest
