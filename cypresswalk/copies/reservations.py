"""Results and outcomes of reservations; the values are used on the wire and on disk."""

from typing import Final, NamedTuple

# Results of a request for a key.
GRANTED: Final = "granted"
HELD: Final = "held"  # the key has an earlier reservation
RETRY: Final = "again"  # retry later, or at another replica
REFUSED: Final = "refused"  # nothing is granted

# Outcomes of a reservation.
PENDING: Final = "out"  # no end has been reported yet
RAN: Final = "ran"
NEVER_RAN: Final = "never"
UNKNOWN: Final = "unknown"


class ReservationAnswer(NamedTuple):
    """The answer to a request for a key.

    Attributes:
        result: one of GRANTED, HELD, RETRY and REFUSED.
        owner: the owner of the reservation that is granted or held.
        outcome: the outcome of the reservation that is granted or held.
        reason: why the result is RETRY or REFUSED.
    """

    result: str
    owner: str = ""
    outcome: str = ""
    reason: str = ""
