"""The thread that runs a replica and a reservation client on the real disk, clock and links.

Events that arrive together form a batch: all their changes are written and flushed before any
message or answer that they cause is sent. The thread that decides on flows only puts its requests
into a queue and never waits.
"""

import logging
import threading
from collections import Counter, defaultdict
from collections.abc import Callable
from queue import SimpleQueue
from typing import Any, NamedTuple

from cypresswalk.copies.client import ReservationClient
from cypresswalk.copies.compaction import Compaction
from cypresswalk.copies.effects import AnswerRequest, Effect, SendMessage, SendToLeader, WriteChange
from cypresswalk.copies.errors import DataLostError
from cypresswalk.copies.events import (
    Event,
    IdentityAssigned,
    MessagesReceived,
    ReservationEnded,
    ReservationRequested,
    StatusRequested,
    StopRequested,
    ViewsAgreed,
)
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
from cypresswalk.copies.partition import digest_bucket
from cypresswalk.copies.placement import PARTITIONS
from cypresswalk.copies.replica import MAX_RECORDS, Replica
from cypresswalk.copies.reservations import ReservationAnswer
from cypresswalk.copies.status import NO_VIEW, AgreedView, partition_statuses
from cypresswalk.copies.store import RecordLog
from cypresswalk.event_queue import take_events
from cypresswalk.net.logs import describe
from cypresswalk.storage.folder import Folder

log = logging.getLogger(__name__)

MILLISECOND = 1_000_000  # in nanoseconds
SECOND = 1_000_000_000
TICK_INTERVAL = SECOND // 10
RESEND_DELAY = 150 * MILLISECOND  # until an unconfirmed record is sent again
# Until a replica that doesn't confirm, or a partition that stays sealed, is reported to the leader.
REPORT_DELAY = 700 * MILLISECOND
EXPIRY_INTERVAL = SECOND
COMPACTION_INTERVAL = SECOND  # between two steps
PING_INTERVAL = 2 * SECOND  # shorter than the silence after which links reopen a connection
COMPARE_INTERVAL = 5 * SECOND  # between two comparisons of a partition's replicas
DISK_RETRY_DELAY = SECOND  # until a folder that failed is read again
# How many starts back the newest file may have been written: a process may have ended after the
# agreement log opened and before this log did.
MAX_BOOT_DIFFERENCE = 3
MAX_EVENTS_PER_BATCH = 512  # the changes of a batch are flushed together

# Limits of the fields of ReserveKey.
MAX_KEY_CHARS = 64
MAX_OWNER_CHARS = 200
MAX_HOLD_NS = 1 << 56


class Identity(NamedTuple):
    """The member id of this process and the number of its start."""

    member: str
    boot: int


class RequestToken(NamedTuple):
    """The receiver of an answer, and the id of its request."""

    receiver: str
    request_id: int


class ReplicationThread:
    """The thread that runs this balancer's replicas and its reservation client.

    Attributes:
        healthy: whether the replica in memory matches its files on disk.
        views: the agreed views, by partition.
        disk_error: the text of the last disk error; empty once the disk works again.
        counts: the counters by name.
        stop_requested: an event that makes the thread end.
        ended: an event that is set once the thread has ended.
    """

    def __init__(
        self,
        folder: Folder,
        now: Callable[[], int],
        wall: Callable[[], int],
        send: Callable[[str, MessageBatch], None],
        send_to_leader: Callable[[list[AnyMessage]], None],
        on_health_changed: Callable[[bool], None],
        max_records: int = MAX_RECORDS,
    ):
        """Create the thread, which reads no files before an `IdentityAssigned` event.

        Args:
            folder: the member's folder.
            now: a clock that continues while the machine is suspended, in nanoseconds.
            wall: a clock that returns the wall time, in nanoseconds.
            send: a function that sends messages to a member without waiting.
            send_to_leader: a function that sends messages to the leader without waiting.
            on_health_changed: a callback with the new value of `healthy`, called when the replica
                has read its files, and after a disk failure or an unhandled exception.
            max_records: the number of keys beyond which requests are refused.
        """
        self.folder = folder
        self.now = now
        self.wall = wall
        self.send = send
        self.send_to_leader = send_to_leader
        self.on_health_changed = on_health_changed
        self.max_records = max_records
        self.queue: SimpleQueue[Event] = SimpleQueue()
        self.log = RecordLog(folder)
        self.replica = Replica("")
        self.compaction = Compaction(self.log, self.replica)
        self.compact_at = 0
        self.client = ReservationClient()
        self.identity: Identity | None = None
        self.healthy = False
        self.views: dict[int, AgreedView] = {}
        # By partition: when it was sealed, and when its replicas are compared next.
        self.sealed_at: dict[int, int] = {}
        self.compare_at: dict[int, int] = {}
        self.tick_at = 0
        self.expire_at = 0
        self.ping_at = 0
        self.disk_retry_at = 0
        self.disk_error = ""
        self.counts: Counter[str] = Counter()
        self.stop_requested = threading.Event()
        self.ended = threading.Event()

    # Methods for any thread.

    def put(self, event: Event) -> None:
        """Put an event into the queue without waiting."""
        self.queue.put(event)

    def stop(self) -> None:
        """Request the end of the thread; `ended` is set once it has ended."""
        self.stop_requested.set()
        self.queue.put(StopRequested())

    # Methods that run in the thread.

    def run(self) -> None:
        """Process events until a stop is requested."""
        while not self.stop_requested.is_set():
            wait = min(self.tick_at, self.client.due()) - self.now()
            events = take_events(self.queue, wait, MAX_EVENTS_PER_BATCH)
            try:
                self.process_events(events)
            except Exception:
                # A record in memory may not have reached the disk, so all files are read again.
                log.error("event=copies_thread_failed", exc_info=True)
                self._on_disk_failure(
                    self.now(), OSError(0, "unhandled exception in the replication thread")
                )
        self.client.refuse_all("this process is stopping or handing over")
        self.ended.set()

    def process_events(self, events: list[Event]) -> None:
        """Handle events and timers, then carry out the effects."""
        now = self.now()
        for event in events:
            self.on_event(now, event)
        self.client.tick(now)
        if now >= self.tick_at:
            self.tick_at = now + TICK_INTERVAL
            self.tick(now)
        try:
            self._carry_out_effects(now)
            if self.healthy and now >= self.compact_at:
                self.compact_at = now + COMPACTION_INTERVAL
                self.compaction.step()
        except OSError as error:
            self._on_disk_failure(now, error)

    def on_event(self, now: int, event: Event) -> None:
        """Handle one event."""
        match event:
            case MessagesReceived():
                for message in event.messages:
                    self.on_message(now, event.source, message)
            case ReservationRequested():
                self.client.reserve(now, event.key, event.hold_ns, event.deadline, event.reply)
            case ReservationEnded():
                self.client.end(now, event.key, event.owner, event.outcome)
            case ViewsAgreed():
                for number, (view, replicas) in event.views.items():
                    self._on_view_agreed(now, number, AgreedView(view, tuple(replicas)))
            case IdentityAssigned():
                self.identity = Identity(event.member, event.boot)
                self.client.set_identity(event.member, event.boot)
                self.views.clear()
                self._open_store(now, self.identity)
            case StatusRequested():
                event.reply(True, self.status())

    def _on_view_agreed(self, now: int, number: int, agreed: AgreedView) -> None:
        if agreed.view <= self._agreed_view(number).view:
            return
        self.views[number] = agreed
        self.client.primaries[number] = agreed.replicas[0]
        self.compare_at[number] = now + COMPARE_INTERVAL // 10
        if self.healthy:
            self.replica.begin_view(number, agreed.view, agreed.replicas)

    def on_message(self, now: int, source: str, message: AnyMessage) -> None:
        """Handle a message from a member."""
        if isinstance(message, PartitionMessage):
            self._on_partition_message(now, source, message)
            return
        match message:
            case ReservationResult():
                self.client.on_result(now, message)
            case Ping():
                self.send(source, MessageBatch([Pong()]))
            case Pong():
                pass
            case _ if not self.healthy:
                self.counts["words_unsound"] += 1
            case ReserveKey():
                self._on_reserve(now, source, message)
            case EndReservation() if 0 <= message.partition < PARTITIONS:
                self.replica.end_reservation(
                    message.partition,
                    message.key,
                    message.owner,
                    message.outcome,
                    RequestToken(source, message.request_id),
                    now,
                )
            case _:
                self.counts["words_odd"] += 1

    def _on_partition_message(self, now: int, source: str, message: PartitionMessage) -> None:
        if not self.healthy:
            self.counts["words_unsound"] += 1
        elif (
            isinstance(message, FetchPartition)
            and message.view <= self._agreed_view(message.partition).view
        ):
            # This view is already agreed.
            self.counts["words_late"] += 1
        elif 0 <= message.partition < PARTITIONS:
            self.replica.on_message(source, message, self.wall(), now)
        else:
            self.counts["words_odd"] += 1

    def _agreed_view(self, number: int) -> AgreedView:
        return self.views.get(number, NO_VIEW)

    def _on_reserve(self, now: int, source: str, message: ReserveKey) -> None:
        is_valid = (
            0 <= message.partition < PARTITIONS
            and 0 <= message.hold_ns <= MAX_HOLD_NS
            and len(message.key) <= MAX_KEY_CHARS
            and len(message.owner) <= MAX_OWNER_CHARS
        )
        if not is_valid:
            self.counts["words_odd"] += 1
            return
        wall_now = self.wall()
        self.replica.reserve(
            wall_now,
            message.partition,
            message.key,
            message.owner,
            wall_now + message.hold_ns + MAX_CLOCK_SKEW,
            RequestToken(source, message.request_id),
            now,
        )

    # Timers.

    def tick(self, now: int) -> None:
        """Run due timers: retries, pings, comparisons, reports to the leader, expiry."""
        if self.identity is None:
            return
        if not self.healthy and now >= self.disk_retry_at:
            self._open_store(now, self.identity)
        if now >= self.ping_at:
            self.ping_at = now + PING_INTERVAL
            for primary in sorted(set(self.client.primaries.values()) - {self.identity.member}):
                self.send(primary, MessageBatch([Ping()]))
        if not self.healthy:
            return
        reports: list[AnyMessage] = []
        for number, agreed in self.views.items():
            reports += self._tick_partition(now, number, agreed)
        if reports:
            self.send_to_leader(reports)
        if now >= self.expire_at:
            self.expire_at = now + EXPIRY_INTERVAL
            self._expire(now)

    def _tick_partition(self, now: int, number: int, agreed: AgreedView) -> list[AnyMessage]:
        """Resend and compare records of a partition; return the reports for the leader."""
        reports: list[AnyMessage] = []
        partition = self.replica.partition(number)
        if partition.pending:
            unconfirmed = self.replica.resend_pending(number, now - RESEND_DELAY)
            if any(pending.sent_at < now - REPORT_DELAY for pending in partition.pending.values()):
                reports += [
                    ReplicaSlow(number, partition.view, member) for member in sorted(unconfirmed)
                ]
        member_id = self.replica.member_id
        if (
            agreed.replicas[0] == member_id
            and not partition.pending
            and now >= self.compare_at.get(number, 0)
        ):
            self.compare_at[number] = now + COMPARE_INTERVAL
            self.replica.compare_digests(number)
        if member_id in agreed.replicas and partition.view == agreed.view:
            # The leader that began a view change may have been replaced; these reports let its
            # successor continue.
            if not partition.complete:
                reports.append(ReplicaSlow(number, agreed.view, member_id))
            elif not partition.sealed:
                self.sealed_at.pop(number, None)
            elif now - self.sealed_at.setdefault(number, now) > REPORT_DELAY:
                reports.append(PartitionSealed(number, agreed.view, True))
        return reports

    def _expire(self, now: int) -> None:
        wall_now = self.wall()
        for partition in self.replica.partitions.values():
            self.replica.expire(wall_now, partition)
        try:
            self.log.remove_expired_files(wall_now)
        except OSError as error:
            self._on_disk_failure(now, error)

    # Disk.

    def _open_store(self, now: int, identity: Identity) -> None:
        """Restore the replica from this member's files, and begin a new file."""
        self.replica = Replica(identity.member, self.max_records)
        self.healthy = False
        self.disk_retry_at = now + DISK_RETRY_DELAY
        self.log = RecordLog(self.folder)
        try:
            self._restore(identity)
            self.log.begin_file(identity.member, identity.boot, self.replica.statuses())
        except OSError as error:
            self._report_disk_error(error)
            return
        if self.disk_error:
            log.info("event=copies_disk_recovered")
            self.disk_error = ""
        self.compaction = Compaction(self.log, self.replica)
        self.healthy = True
        for number, agreed in self.views.items():
            self.replica.begin_view(number, agreed.view, agreed.replicas)
        self.on_health_changed(True)

    def _restore(self, identity: Identity) -> None:
        """Restore the replica from its files; if their data is lost, remove them."""
        member, boot = identity
        try:
            changes = self.log.load(
                member,
                tuple(range(boot - MAX_BOOT_DIFFERENCE, boot + 1)),
                lambda text: log.warning("event=copies_tail_cut reason=%s", text),
            )
            self.replica.restore(changes)
        except DataLostError as error:
            log.error("event=copies_data_lost member=%s error=%s", member, error)
            self.counts["lost"] += 1
            self.replica = Replica(member, self.max_records)
            self.log.clear()

    def _on_disk_failure(self, now: int, error: OSError) -> None:
        """Discard the replica and its effects; its files are read again before anything is sent."""
        self.healthy = False
        self.disk_retry_at = now + DISK_RETRY_DELAY
        self.replica = Replica(self.replica.member_id, self.max_records)
        self.on_health_changed(False)
        self._report_disk_error(error)

    def _report_disk_error(self, error: OSError) -> None:
        """Log an error, but not again while it stays the same."""
        text = error.strerror or describe(error)
        if text != self.disk_error:
            log.error("event=copies_disk_failed error=%s", text)
        self.disk_error = text

    # Effects.

    def _carry_out_effects(self, now: int) -> None:
        """Write the changes, then send; handle messages to this member itself at once."""
        member_id = self.identity.member if self.identity else ""
        while True:
            batches: defaultdict[str, list[AnyMessage]] = defaultdict(list)
            for receiver, request in self.client.outgoing:
                batches[receiver].append(request)
            self.client.outgoing = []
            effects = self.replica.take_effects()
            self._write(effects)
            self._dispatch_messages(effects, batches)
            local = batches.pop(member_id, [])
            for receiver, messages in batches.items():
                self.counts["bundles"] += 1
                self.send(receiver, MessageBatch(messages))
            if not local:
                return
            for message in local:
                if isinstance(message, PartitionSealed | PartitionFetched):
                    # An answer to the leader, which is this member.
                    self.send_to_leader([message])
                else:
                    self.on_message(now, member_id, message)

    def _write(self, effects: list[Effect]) -> None:
        changes = [effect.change for effect in effects if isinstance(effect, WriteChange)]
        if changes:
            self.log.write(changes, self.replica.statuses)
            self.counts["flushes"] += 1
            self.counts["written"] += len(changes)

    def _dispatch_messages(
        self, effects: list[Effect], batches: defaultdict[str, list[AnyMessage]]
    ) -> None:
        """Add the messages of effects to the batches by receiver, or send them directly."""
        for effect in effects:
            if isinstance(effect, SendMessage):
                if isinstance(effect.message, RecordsFetched):
                    # Large enough for a frame of its own.
                    self.send(effect.receiver, MessageBatch([effect.message]))
                else:
                    batches[effect.receiver].append(effect.message)
            elif isinstance(effect, AnswerRequest):
                assert isinstance(effect.token, RequestToken)  # `on_message` passes no other tokens
                batches[effect.token.receiver].append(_result(effect.token, effect.answer))
            elif isinstance(effect, SendToLeader):
                self.send_to_leader([effect.message])

    # Status.

    def status(self) -> dict[str, Any]:
        """Return the status of the replica for operators."""
        current_bucket = digest_bucket(self.wall())
        return {
            "sound": self.healthy,
            "trouble": self.disk_error,
            "soon": current_bucket,
            "parts": partition_statuses(self.replica, self.views, current_bucket),
            "waiting": self.client.pending_reservations,
            "ids": self.replica.record_count,
            "most": self.max_records,
            "counts": dict(self.counts) | self.client.counts,
        }


def _result(token: RequestToken, answer: ReservationAnswer) -> ReservationResult:
    return ReservationResult(
        token.request_id, answer.result, answer.owner, answer.outcome, answer.reason
    )
