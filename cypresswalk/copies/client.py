"""The client that reserves keys: it finds the primary of each key, retries, and keeps deadlines.

It does no I/O and reads no clock: `now` is the owner's clock in nanoseconds. A reservation that
timed out here may have been granted nevertheless. The client therefore reports its outcome as
NEVER_RAN, so that no other client assumes that its flow is running.
"""

from collections.abc import Callable
from dataclasses import dataclass

from cypresswalk.copies.messages import EndReservation, ReservationResult, ReserveKey
from cypresswalk.copies.placement import partition_of
from cypresswalk.copies.reservations import NEVER_RAN, REFUSED, RETRY, ReservationAnswer

MILLISECOND = 1_000_000  # in nanoseconds
RETRY_DELAY = 25 * MILLISECOND  # a view change takes one or two round trips
RESEND_DELAY = 80 * MILLISECOND  # longer than a slow replica takes to flush
END_RETRY_DELAY = 500 * MILLISECOND
END_TIMEOUT = 20_000 * MILLISECOND
MAX_PENDING_RESERVATIONS = 4_096  # further requests are refused at once
# Beyond this number the oldest report is dropped; its key stays reserved until it expires, with the
# outcome recorded so far.
MAX_PENDING_ENDS = 16_384
NEVER = 1 << 62

Reply = Callable[[ReservationAnswer, str], None]


@dataclass(slots=True)
class PendingRequest:
    """A request that has no final answer yet.

    Attributes:
        key: the idempotency key.
        owner: the owner's name in the request; empty until it is first sent.
        hold_ns: the duration of a reservation, in nanoseconds; 0 in a report of an outcome.
        outcome: the outcome to report; empty in a request for a reservation.
        deadline: the time at which the request times out.
        resend_at: the time at which the request is sent again.
        reply: a callback for the answer, called once; None in a report of an outcome.
    """

    key: str
    owner: str
    hold_ns: int
    outcome: str
    deadline: int
    resend_at: int
    reply: Reply | None


class ReservationClient:
    """The reservation requests of one member.

    Attributes:
        owner_prefix: the start of the owner names of this process; empty before `set_identity`.
        primaries: the primary of each partition, set by the replication thread.
        outgoing: the messages to send, each with its receiver; the replication thread removes them.
        counts: the number of results by name.
    """

    def __init__(self) -> None:
        """Create a client that sends nothing before `set_identity` is called."""
        self.owner_prefix = ""
        self.primaries: dict[int, str] = {}
        self.pending: dict[int, PendingRequest] = {}
        self.pending_reservations = 0
        self.last_request_id = 0
        self.outgoing: list[tuple[str, ReserveKey | EndReservation]] = []
        self.next_due_at = NEVER
        self.counts = {"granted": 0, "held": 0, "refused": 0, "late": 0}

    def set_identity(self, member_id: str, boot: int) -> None:
        """Set the member in whose name requests are sent.

        Owner names must be unique over all requests, also across process starts; they therefore
        include `boot`, the number of this start.
        """
        self.owner_prefix = f"{member_id}/{boot}"

    def reserve(self, now: int, key: str, hold_ns: int, deadline: int, reply: Reply) -> None:
        """Request the reservation of a key.

        `reply` is called once with the answer and the owner name used in the request, no later than
        at the first tick after the deadline.
        """
        if self.pending_reservations >= MAX_PENDING_RESERVATIONS:
            self.counts["refused"] += 1
            reply(
                ReservationAnswer(
                    REFUSED, reason=f"{MAX_PENDING_RESERVATIONS} reservations are already pending"
                ),
                "",
            )
            return
        self.pending_reservations += 1
        self._start_request(now, PendingRequest(key, "", hold_ns, "", deadline, now, reply))

    def end(self, now: int, key: str, owner: str, outcome: str) -> None:
        """Report an outcome; retry until the primary has answered or END_TIMEOUT has passed."""
        if len(self.pending) - self.pending_reservations >= MAX_PENDING_ENDS:
            oldest = next(
                request_id for request_id, request in self.pending.items() if request.outcome
            )
            del self.pending[oldest]
        self._start_request(
            now, PendingRequest(key, owner, 0, outcome, now + END_TIMEOUT, now, None)
        )

    def _start_request(self, now: int, request: PendingRequest) -> None:
        self.last_request_id += 1
        self.pending[self.last_request_id] = request
        self._send(now, self.last_request_id, request)

    def _send(self, now: int, request_id: int, request: PendingRequest) -> None:
        """Send a request to the primary if it is known, and schedule the next attempt."""
        partition = partition_of(request.key)
        primary = self.primaries.get(partition)
        if primary is None:
            request.resend_at = now + RETRY_DELAY
        else:
            request.resend_at = now + (END_RETRY_DELAY if request.outcome else RESEND_DELAY)
        if primary is not None and self.owner_prefix:
            request.owner = request.owner or f"{self.owner_prefix}.{request_id}"
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
        """Handle the answer of a primary."""
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
        """Resend unanswered requests, and time out those past their deadline."""
        if now < self.next_due_at:
            return
        self.next_due_at = NEVER
        for request_id, request in list(self.pending.items()):
            if now >= request.deadline:
                self._time_out(now, request_id, request)
            elif now >= request.resend_at:
                self._send(now, request_id, request)
            else:
                self.next_due_at = min(self.next_due_at, request.resend_at, request.deadline)

    def _time_out(self, now: int, request_id: int, request: PendingRequest) -> None:
        del self.pending[request_id]
        if request.reply is None:
            return
        self.pending_reservations -= 1
        self.counts["late"] += 1
        request.reply(ReservationAnswer(REFUSED, reason="the key was not reserved in time"), "")
        if request.owner:
            self.end(now, request.key, request.owner, NEVER_RAN)

    def refuse_all(self, reason: str) -> None:
        """Drop all requests, and answer pending reservations with REFUSED."""
        requests = self.pending
        self.pending = {}
        self.pending_reservations = 0
        for request in requests.values():
            if request.reply is not None:
                request.reply(ReservationAnswer(REFUSED, reason=reason), "")

    def due(self) -> int:
        """Return the time by which `tick` must be called."""
        return self.next_due_at
