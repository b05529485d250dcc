"""The client that reserves keys: finds the primary of each, retries, and gives up in time.

No I/O, no clock: `now` is the owner's clock in nanoseconds. A reservation that was given up may
have been granted all the same: its end is reported as NEVER_RAN, so that nobody takes it for one
that runs.
"""

from collections.abc import Callable
from dataclasses import dataclass

from cypresswalk.copies.messages import EndReservation, ReservationResult, ReserveKey
from cypresswalk.copies.placement import partition_of
from cypresswalk.copies.reservations import NEVER_RAN, REFUSED, RETRY, ReservationAnswer

MILLISECOND = 1_000_000  # in nanoseconds
RETRY_DELAY = 25 * MILLISECOND  # the next view is a round trip or two away
RESEND_DELAY = 80 * MILLISECOND  # longer than the flush of a slow replica
END_RETRY_DELAY = 500 * MILLISECOND
END_TIMEOUT = 20_000 * MILLISECOND
MAX_PENDING_RESERVATIONS = 4_096  # beyond them one is refused at once
# Beyond them the oldest is not reported: its key is held to its time with the outcome it has.
MAX_PENDING_ENDS = 16_384
NEVER = 1 << 62

Reply = Callable[[ReservationAnswer, str], None]


@dataclass(slots=True)
class PendingRequest:
    """A request without a final answer.

    Attributes:
        key: the idempotency key.
        owner: by which name it was asked for; empty until it is first sent.
        hold_ns: for how long the key is to be held, of a reservation.
        outcome: to be reported; empty for a reservation.
        deadline: when it is given up.
        resend_at: when it is sent again.
        reply: to be called once, of a reservation.
    """

    key: str
    owner: str
    hold_ns: int
    outcome: str
    deadline: int
    resend_at: int
    reply: Reply | None


class ReservationClient:
    """One member's requests for keys.

    Attributes:
        primaries: the primary of each partition, set by the owner.
        outgoing: messages to send, each with its receiver; the owner removes them.
        counts: results by name.
    """

    def __init__(self) -> None:
        """Nobody can be asked before `set_identity`."""
        self.identity = ""
        self.primaries: dict[int, str] = {}
        self.pending: dict[int, PendingRequest] = {}
        self.pending_reservations = 0
        self.last_request_id = 0
        self.outgoing: list[tuple[str, ReserveKey | EndReservation]] = []
        self.next_due_at = NEVER
        self.counts = {"granted": 0, "held": 0, "refused": 0, "late": 0}

    def set_identity(self, member_id: str, boot: int) -> None:
        """Asks under that name from now on.

        An owner's name is never the same for two requests, also over starts: `boot` counts them.
        """
        self.identity = f"{member_id}/{boot}"

    def reserve(self, now: int, key: str, hold_ns: int, deadline: int, reply: Reply) -> None:
        """Asks for a key.

        `reply` is called once with the answer and the owner's name, at the first tick after the
        deadline at the latest.
        """
        if self.pending_reservations >= MAX_PENDING_RESERVATIONS:
            self.counts["refused"] += 1
            reply(ReservationAnswer(REFUSED, reason=f"{MAX_PENDING_RESERVATIONS} claims wait"), "")
            return
        self.pending_reservations += 1
        self._begin(now, PendingRequest(key, "", hold_ns, "", deadline, now, reply))

    def end(self, now: int, key: str, owner: str, outcome: str) -> None:
        """Reports an outcome; retried until the primary has answered or a timeout has passed."""
        if len(self.pending) - self.pending_reservations >= MAX_PENDING_ENDS:
            oldest = next(
                request_id for request_id, request in self.pending.items() if request.outcome
            )
            del self.pending[oldest]
        self._begin(now, PendingRequest(key, owner, 0, outcome, now + END_TIMEOUT, now, None))

    def _begin(self, now: int, request: PendingRequest) -> None:
        self.last_request_id += 1
        self.pending[self.last_request_id] = request
        self._send(now, self.last_request_id, request)

    def _send(self, now: int, request_id: int, request: PendingRequest) -> None:
        """Sends to the primary, if it is known."""
        partition = partition_of(request.key)
        primary = self.primaries.get(partition)
        if primary is None:
            request.resend_at = now + RETRY_DELAY
        else:
            request.resend_at = now + (END_RETRY_DELAY if request.outcome else RESEND_DELAY)
        if primary is not None and self.identity:
            request.owner = request.owner or f"{self.identity}.{request_id}"
            message: ReserveKey | EndReservation
            if request.outcome:
                message = EndReservation(
                    request_id, partition, request.key, request.owner, request.outcome
                )
            else:
                message = ReserveKey(
                    request_id, partition, request.key, request.owner, request.hold_ns
                )
            self.outgoing.append((primary, message))
        self.next_due_at = min(self.next_due_at, request.resend_at, request.deadline)

    def on_result(self, now: int, result: ReservationResult) -> None:
        """A primary has answered."""
        request = self.pending.get(result.request_id)
        if request is None:
            return
        if result.result == RETRY:
            request.resend_at = now + (END_RETRY_DELAY if request.outcome else RETRY_DELAY)
            self.next_due_at = min(self.next_due_at, request.resend_at)
            return
        del self.pending[result.request_id]
        if request.reply is not None:
            self.pending_reservations -= 1
            self.counts[result.result] += 1
            answer = ReservationAnswer(result.result, result.owner, result.outcome, result.reason)
            request.reply(answer, request.owner)

    def tick(self, now: int) -> None:
        """Sends again what is unanswered, and gives up what is late."""
        if now < self.next_due_at:
            return
        self.next_due_at = NEVER
        for request_id, request in list(self.pending.items()):
            if now >= request.deadline:
                self._give_up(now, request_id, request)
            elif now >= request.resend_at:
                self._send(now, request_id, request)
            else:
                self.next_due_at = min(self.next_due_at, request.resend_at, request.deadline)

    def _give_up(self, now: int, request_id: int, request: PendingRequest) -> None:
        del self.pending[request_id]
        if request.reply is None:
            return
        self.pending_reservations -= 1
        self.counts["late"] += 1
        request.reply(ReservationAnswer(REFUSED, reason="no claim in time"), "")
        if request.owner:
            self.end(now, request.key, request.owner, NEVER_RAN)

    def refuse_all(self, reason: str) -> None:
        """Gives up everything."""
        requests = self.pending
        self.pending = {}
        self.pending_reservations = 0
        for request in requests.values():
            if request.reply is not None:
                request.reply(ReservationAnswer(REFUSED, reason=reason), "")

    def due(self) -> int:
        """When `tick` is to be called at the latest."""
        return self.next_due_at
