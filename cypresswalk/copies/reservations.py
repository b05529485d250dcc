"""The words for a reservation's result and outcome, as they stand on the wire and on disk."""

from typing import Final, NamedTuple

# Results of a request for a key.
GRANTED: Final = "granted"
HELD: Final = "held"  # by an earlier reservation
RETRY: Final = "again"  # not now, or not at this replica
REFUSED: Final = "refused"  # nothing was granted

# Outcomes of a reservation.
PENDING: Final = "out"  # nobody has reported the end yet
RAN: Final = "ran"
NEVER_RAN: Final = "never"
UNKNOWN: Final = "unknown"


class ReservationAnswer(NamedTuple):
    """The answer to a request for a key.

    Attributes:
        result: one of GRANTED, HELD, RETRY and REFUSED.
        owner: of the reservation that is granted or held.
        outcome: of the reservation that is granted or held.
        reason: for RETRY and REFUSED.
    """

    result: str
    owner: str = ""
    outcome: str = ""
    reason: str = ""
