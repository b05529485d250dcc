"""The thread that keeps what others claimed and claims for this balancer: `claims.Holder` and `claimer.Claimer` on the real disk,
clock and links. Whatever comes at a time is written and flushed at a time, before a word or an answer of it goes out.

The deciding thread puts its claims into a queue and never waits."""

import logging
from collections import Counter, defaultdict
from collections.abc import Callable
from queue import Empty, SimpleQueue
from threading import Event
from typing import Any

from cypresswalk.copies.client import ReservationClient
from cypresswalk.copies.errors import DataLostError
from cypresswalk.copies.messages import (
    MAX_CLOCK_SKEW,
    AnyMessage,
    EndReservation,
    FetchPartition,
    MessageBatch,
    PartitionFetched,
    PartitionMessage,
    PartitionSealed,
    Ping,
    Pong,
    RecordsFetched,
    ReplicaSlow,
    ReservationResult,
    ReserveKey,
)
from cypresswalk.copies.placement import PARTS
from cypresswalk.copies.replica import BUCKET, MAX_RECORDS, Replica
from cypresswalk.copies.store import RecordLog
from cypresswalk.storage.folder import Folder

log = logging.getLogger(__name__)
MILLISECOND, SECOND = 1_000_000, 1_000_000_000
TICK = SECOND // 10
AGAIN = 150 * MILLISECOND  # a copy that is not confirmed goes out once more
SLOW = 700 * MILLISECOND  # and after so long who leads hears of it
FORGET = SECOND
PING = 2 * SECOND  # under what the links wait before they dial anew
COMPARE = 5 * SECOND  # between two comparisons of a part's holders
DISK_AGAIN = 1.0  # seconds until a folder that failed is read anew
STARTS = 3  # that may have ended between the agreed log's start and this one's
AT_ONCE = 512  # events taken before they are flushed


class ReplicationThread:
    def __init__(
        self,
        files: Folder,
        now: Callable[[], int],
        wall: Callable[[], int],
        send: Callable[[str, MessageBatch], None],
        to_leader: Callable[[list[AnyMessage]], None],
        holds: Callable[[bool], None],
        most: int = MAX_RECORDS,
    ):
        """`send` and `to_leader` never wait; `holds` is told when this holder begins to hold and when its disk has failed."""
        self.files, self.now, self.wall, self.send, self.to_leader, self.holds = (
            files,
            now,
            wall,
            send,
            to_leader,
            holds,
        )
        self.most = most
        self.queue: SimpleQueue = SimpleQueue()
        self.log = RecordLog(files)
        self.holder = Replica("")
        self.claimer = ReservationClient()
        self.identity: tuple[str, int] | None = None
        self.sound = False  # what it has is what its disk has
        self.views: dict[int, tuple[int, tuple[str, ...]]] = {}  # as agreed
        self.sealed_at: dict[int, int] = {}
        self.compare_at: dict[int, int] = {}
        self.tick_at = self.forget_at = self.ping_at = 0
        self.again_at = 0  # when the folder is read anew
        self.trouble = ""
        self.counts: Counter[str] = Counter()
        self.over, self.ended = Event(), Event()

    # For any thread.

    def put(self, *event: object) -> None:
        self.queue.put(event)

    def stop(self) -> None:
        self.over.set()
        self.queue.put(("over",))

    # Its own.

    def run(self) -> None:
        while not self.over.is_set():
            wait = min(self.tick_at, self.claimer.due()) - self.now()
            events = []
            try:
                events.append(
                    self.queue.get(timeout=wait / SECOND) if wait > 0 else self.queue.get_nowait()
                )
                while len(events) < AT_ONCE:
                    events.append(self.queue.get_nowait())
            except Empty:
                pass
            try:
                self.turn(events)
            except Exception:
                # Guards against a record that stands in memory, and never came to the disk: all is read anew.
                log.error("event=copies_fault", exc_info=True)
                self.fail(self.now(), OSError(0, "a fault in this program"))
        self.claimer.give_up("this process hands over")
        self.ended.set()

    def turn(self, events: list[tuple]) -> None:
        now = self.now()
        for event in events:
            self.happen(now, event)
        self.claimer.passed(now)
        if now >= self.tick_at:
            self.tick_at = now + TICK
            self.tick(now)
        try:
            self.carry_out(now)
        except OSError as error:
            self.fail(now, error)

    def happen(self, now: int, event: tuple) -> None:
        match event:
            case ("words", source, words):
                for word in words:
                    self.heard(now, source, word)
            case ("claim", ident, span, until, reply):
                self.claimer.claim(now, ident, span, until, reply)
            case ("finish", ident, by, how):
                self.claimer.finish(now, ident, by, how)
            case ("placed", views):
                for number, (view, holders) in views.items():
                    if view > self.views.get(number, (0,))[0]:
                        self.views[number] = view, tuple(holders)
                        self.claimer.primaries[number] = holders[0]
                        self.compare_at[number] = now + COMPARE // 10
                        if self.sound:
                            self.holder.begin(number, view, tuple(holders))
            case ("identity", member, boot):
                self.identity = member, boot
                self.claimer.named(member, boot)
                self.views.clear()
                self.begin(now)
            case ("tell", reply):
                reply(True, self.told())

    def heard(self, now: int, source: str, word: AnyMessage) -> None:
        match word:
            case ReservationResult():
                self.claimer.heard(now, word)
            case Ping():
                self.send(source, MessageBatch([Pong()]))
            case Pong():
                pass
            case _ if not self.sound:
                self.counts["words_unsound"] += 1
            case ReserveKey():
                if (
                    0 <= word.part < PARTS
                    and 0 <= word.span <= 1 << 56
                    and len(word.ident) <= 64
                    and len(word.by) <= 200
                ):
                    wall = self.wall()
                    self.holder.claim(
                        wall,
                        word.part,
                        word.ident,
                        word.by,
                        wall + word.span + MAX_CLOCK_SKEW,
                        (source, word.number),
                        now,
                    )
                else:
                    self.counts["words_odd"] += 1
            case EndReservation() if 0 <= word.part < PARTS:
                self.holder.ended(
                    self.wall(),
                    word.part,
                    word.ident,
                    word.by,
                    word.how,
                    (source, word.number),
                    now,
                )
            case FetchPartition() if word.view <= self.views.get(word.part, (0,))[0]:
                self.counts["words_late"] += 1  # of a view that is agreed already
            case PartitionMessage() if 0 <= word.part < PARTS:
                self.holder.heard(source, word, self.wall(), now)
            case _:
                self.counts["words_odd"] += 1

    def tick(self, now: int) -> None:
        if self.identity is not None and not self.sound and now >= self.again_at:
            self.begin(now)
        if now >= self.ping_at and self.identity is not None:
            self.ping_at = now + PING
            for primary in sorted(set(self.claimer.primaries.values()) - {self.identity[0]}):
                self.send(primary, MessageBatch([Ping()]))
        if not self.sound:
            return
        me, said = self.holder.me, []
        for number, (view, holders) in self.views.items():
            part = self.holder.part(number)
            if part.waiting:
                late = self.holder.again(number, now - AGAIN)
                if any(copying.since < now - SLOW for copying in part.waiting.values()):
                    said += [ReplicaSlow(number, part.view, who) for who in sorted(late)]
            if holders[0] == me and not part.waiting and now >= self.compare_at.get(number, 0):
                self.compare_at[number] = now + COMPARE
                self.holder.compare(number)
            if me in holders and part.view == view:
                # Guards against parts that stay sealed, or lie at a holder that has not all, once who wanted that leads no more.
                if not part.whole:
                    said.append(ReplicaSlow(number, view, me))
                elif not part.sealed:
                    self.sealed_at.pop(number, None)
                elif now - self.sealed_at.setdefault(number, now) > SLOW:
                    said.append(PartitionSealed(number, view, True))
        if said:
            self.to_leader(said)
        if now >= self.forget_at:
            self.forget_at, wall = now + FORGET, self.wall()
            for part in self.holder.parts.values():
                self.holder.forget(wall, part)
            try:
                self.log.drop_expired(wall)
            except OSError as error:
                self.fail(now, error)

    # The disk.

    def begin(self, now: int) -> None:
        """What the folder holds of this member, or nothing."""
        member, boot = self.identity
        self.holder, self.sound, self.again_at = (
            Replica(member, self.most),
            False,
            now + int(DISK_AGAIN * SECOND),
        )
        self.log = RecordLog(self.files)
        try:
            try:
                written = self.log.load(
                    member,
                    tuple(range(boot - STARTS, boot + 1)),
                    lambda text: log.warning("event=copies_cut why=%s", text),
                )
                self.holder.restore(written)
            except DataLostError as error:
                log.error("event=copies_lost member=%s why=%s", member, error)
                self.counts["lost"] += 1
                self.holder = Replica(member, self.most)
                self.log.clear()
            self.log.begin(member, boot, self.holder.stands())
        except OSError as error:
            self.say_trouble(error)
            return
        if self.trouble:
            log.info("event=copies_again")
            self.trouble = ""
        self.sound = True
        for number, (view, holders) in self.views.items():
            self.holder.begin(number, view, holders)
        self.holds(True)

    def fail(self, now: int, error: OSError) -> None:
        """Nothing of what was being written is said; all is read anew before another word."""
        self.sound, self.again_at = False, now + int(DISK_AGAIN * SECOND)
        self.holder = Replica(self.holder.me, self.most)
        self.holds(False)
        self.say_trouble(error)

    def say_trouble(self, error: OSError) -> None:
        why = str(error.strerror or error)
        if why != self.trouble:
            log.error("event=copies_disk_failed why=%s", why)
        self.trouble = why

    def carry_out(self, now: int) -> None:
        me = self.identity[0] if self.identity else ""
        while True:
            sends: dict[str, list[AnyMessage]] = defaultdict(list)
            for to, word in self.claimer.out:
                sends[to].append(word)
            self.claimer.out = []
            out, self.holder.out = self.holder.out, []
            if writes := [item[1] for item in out if item[0] == "write"]:
                self.log.write(writes, self.holder.stands)
                self.counts["flushes"] += 1
                self.counts["written"] += len(writes)
            for what, *words in out:
                if what == "send":
                    to, word = words
                    if isinstance(word, RecordsFetched):
                        self.send(to, MessageBatch([word]))  # long enough for a frame of its own
                    else:
                        sends[to].append(word)
                elif what == "leader":
                    self.to_leader(words)
                elif what == "answer":
                    (to, number), answer = words
                    sends[to].append(
                        ReservationResult(number, answer.kind, answer.by, answer.how, answer.why)
                    )
            local = sends.pop(me, [])
            for to, words in sends.items():
                self.counts["bundles"] += 1
                self.send(to, MessageBatch(words))
            if not local:
                return
            for word in local:
                if isinstance(word, PartitionSealed | PartitionFetched):
                    self.to_leader([word])  # who leads is this member
                else:
                    self.heard(now, me, word)

    # What it tells.

    def told(self) -> dict[str, Any]:
        """`sums`: what a part's records come to, by BUCKET of the time until which they are held. What ends about now goes at each holder
        by its own clock, once a second: only those after `soon` are alike at all."""
        soon, parts = self.wall() >> BUCKET, []
        for number in sorted(self.views):
            part = self.holder.part(number)
            if self.holder.me in self.views[number][1]:
                sums = {
                    str(bucket): f"{total:014x}"
                    for bucket, total in sorted(part.sums.items())
                    if bucket > soon
                }
                parts.append(
                    [
                        number,
                        part.view,
                        part.whole,
                        part.sealed,
                        len(part.records),
                        len(part.waiting),
                        sums,
                    ]
                )
        return {
            "sound": self.sound,
            "trouble": self.trouble,
            "soon": soon,
            "parts": parts,
            "waiting": self.claimer.claims,
            "ids": self.holder.held,
            "most": self.most,
            "counts": dict(self.counts) | self.claimer.counts,
        }
