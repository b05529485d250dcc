"""Who asks for ids: finds the primary of each, asks again where none answers, gives up in time. No I/O, no clock; `now` is the fleet's
clock, in nanoseconds.

A claim given up may have been granted all the same: its end is told as "never", so that nobody takes it for one that runs."""

from collections.abc import Callable
from dataclasses import dataclass

from cypresswalk.copies.messages import EndReservation, ReservationResult, ReserveKey
from cypresswalk.copies.placement import partition_of
from cypresswalk.copies.replica import ReservationAnswer

MILLISECOND = 1_000_000
AGAIN = 25 * MILLISECOND  # "again" was answered: the next view is a round trip or two away
UNANSWERED = 80 * MILLISECOND  # a copy whose flush takes long is no reason for another word
MOST = 4_096  # claims that wait; beyond them one is refused at once
ENDS = 16_384  # ends that wait; beyond them the oldest is not told: the id is held to its time as it is
END_AGAIN, END_SPAN = 500 * MILLISECOND, 20_000 * MILLISECOND


@dataclass(slots=True)
class Pending:
    ident: str
    by: str
    span: int
    how: str  # of an end; empty for a claim
    until: int
    again_at: int
    reply: Callable[[ReservationAnswer, str], None] | None


class ReservationClient:
    def __init__(self):
        self.me = ""  # while empty nobody can be asked
        self.primaries: dict[int, str] = {}
        self.pending: dict[int, Pending] = {}
        self.claims = self.numbers = 0
        self.out: list[tuple[str, object]] = []  # to whom, what
        self.next_at = 1 << 62
        self.counts = {"granted": 0, "held": 0, "refused": 0, "late": 0}

    def named(self, me: str, boot: int) -> None:
        """From now on under that name. `by` is never the same for two claims: a balancer that starts anew knows none of before."""
        self.me = f"{me}/{boot}"

    def claim(
        self,
        now: int,
        ident: str,
        span: int,
        until: int,
        reply: Callable[[ReservationAnswer, str], None],
    ) -> None:
        """`reply` is called once, no later than `until` (and a look later): the answer, and by what name it was asked for."""
        if self.claims >= MOST:
            self.counts["refused"] += 1
            reply(ReservationAnswer("refused", why=f"{MOST} claims wait"), "")
            return
        self.claims += 1
        self.numbers += 1
        self.pending[self.numbers] = pending = Pending(ident, "", span, "", until, now, reply)
        self.ask(now, self.numbers, pending)

    def finish(self, now: int, ident: str, by: str, how: str) -> None:
        if len(self.pending) - self.claims >= ENDS:
            oldest = next(number for number, pending in self.pending.items() if pending.how)
            del self.pending[oldest]
        self.numbers += 1
        self.pending[self.numbers] = pending = Pending(ident, by, 0, how, now + END_SPAN, now, None)
        self.ask(now, self.numbers, pending)

    def ask(self, now: int, number: int, pending: Pending) -> None:
        part = partition_of(pending.ident)
        primary = self.primaries.get(part)
        pending.again_at = now + (
            AGAIN if primary is None else END_AGAIN if pending.how else UNANSWERED
        )
        if primary is not None and self.me:
            pending.by = pending.by or f"{self.me}.{number}"
            word = (
                EndReservation(number, part, pending.ident, pending.by, pending.how)
                if pending.how
                else ReserveKey(number, part, pending.ident, pending.by, pending.span)
            )
            self.out.append((primary, word))
        self.next_at = min(self.next_at, pending.again_at, pending.until)

    def heard(self, now: int, word: ReservationResult) -> None:
        pending = self.pending.get(word.number)
        if pending is None:
            return
        if word.kind == "again":
            pending.again_at = now + (END_AGAIN if pending.how else AGAIN)
            self.next_at = min(self.next_at, pending.again_at)
            return
        del self.pending[word.number]
        if pending.reply is not None:
            self.claims -= 1
            self.counts[word.kind] += 1
            pending.reply(ReservationAnswer(word.kind, word.by, word.how, word.why), pending.by)

    def passed(self, now: int) -> None:
        if now < self.next_at:
            return
        self.next_at = 1 << 62
        for number, pending in list(self.pending.items()):
            if now >= pending.until:
                del self.pending[number]
                if pending.reply is not None:
                    self.claims -= 1
                    self.counts["late"] += 1
                    pending.reply(ReservationAnswer("refused", why="no claim in time"), "")
                    if pending.by:
                        self.finish(now, pending.ident, pending.by, "never")
            elif now >= pending.again_at:
                self.ask(now, number, pending)
            else:
                self.next_at = min(self.next_at, pending.again_at, pending.until)

    def give_up(self, why: str) -> None:
        pending, self.pending, self.claims = self.pending, {}, 0
        for one in pending.values():
            if one.reply is not None:
                one.reply(ReservationAnswer("refused", why=why), "")

    def due(self) -> int:
        return self.next_at
