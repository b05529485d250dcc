"""The fleet thread, which runs a `Member` with a real clock, disk and connections.

It passes the agreed state to the deciding thread. The deciding thread never waits for the fleet
thread: `may_act` only compares a number with a clock.
"""

import logging
import os
import time
from collections.abc import Callable, Iterable
from queue import Empty, SimpleQueue
from random import Random
from threading import Event as Flag
from typing import TYPE_CHECKING, Any

import msgspec

from cypresswalk.agreement.errors import (
    BusyError,
    DamagedLogError,
    ForeignFileError,
    LogDivergedError,
)
from cypresswalk.agreement.ready import PersistentState
from cypresswalk.copies.events import IdentityAssigned, StatusRequested, ViewsAgreed
from cypresswalk.copies.messages import AnyMessage as ReplicationMessage
from cypresswalk.copies.messages import MessageBatch
from cypresswalk.event_queue import take_events
from cypresswalk.fleet.addresses import host_and_port
from cypresswalk.fleet.applied_view import AppliedView
from cypresswalk.fleet.errors import UnreadableEntryError
from cypresswalk.fleet.events import (
    CallRequested,
    ConnectionRejected,
    Event,
    FrameReceived,
    LeaderMessagesPosted,
    LeadershipReleased,
    ListReceived,
    ReplicaCapabilityChanged,
    StopRequested,
    ToolFrameReceived,
    VersionApplied,
)
from cypresswalk.fleet.leader_calls import Reply
from cypresswalk.fleet.member import Member, MemberEffects
from cypresswalk.fleet.member_context import MemberIdentity, config_of
from cypresswalk.fleet.member_folder import LOCK_RETRY_PAUSE, MemberFolder
from cypresswalk.fleet.message_router import MessageRouter
from cypresswalk.fleet.messages import PROTOCOL, Call, FlowCounts, Hello, ServerReport
from cypresswalk.fleet.records import ListedServer
from cypresswalk.fleet.replica_placement import ReplicaPlacement
from cypresswalk.fleet.tool_calls import local_status, pop_call_timeout, reject_call, reply_to
from cypresswalk.fleet.transport import STACK_SIZE, Transport
from cypresswalk.net.logs import describe
from cypresswalk.net.threads import start_thread
from cypresswalk.operator import FleetTable

if TYPE_CHECKING:  # not loaded by a balancer without replicas
    from cypresswalk.copies.driver import ReplicationThread

log = logging.getLogger(__name__)
SECOND = 1_000_000_000
MILLISECOND = 1_000_000
MIN_FOLDER_BACKOFF = 1.0  # seconds until the first retry after a folder has failed
MAX_FOLDER_BACKOFF = 15.0  # seconds
MAX_EVENTS_PER_TURN = 256  # processed before timers run and effects are carried out
REPLICATION_END_TIMEOUT = 3.0  # seconds


def boottime_ns() -> int:
    """Return the time in nanoseconds of a clock that also runs while the machine is suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


class FleetThread:
    """Owner of the member, its folder and its connections.

    Any thread may call the public methods, unless stated otherwise.

    Attributes:
        flow_counts_provider: callback of this thread that returns the process's flow counts.
        readiness_provider: callback of this thread that returns whether a new flow would be placed
            now.
        server_report_provider: callback of this thread that returns a report on servers.
        started: set once the member runs.
        ended: set once this thread has ended and released all resources.
        lease_until: end of the lease, by the clock `now`; read by the deciding thread.
    """

    def __init__(
        self,
        table: FleetTable,
        check_settings: Callable[[dict[str, Any]], str],
        own_settings: dict[str, Any],
        on_view: Callable[[AppliedView], None],
        on_lease_begun: Callable[[], None],
        now: Callable[[], int] = boottime_ns,
    ):
        """Prepare the thread without starting it.

        Args:
            table: `[fleet]` table of the operator's file.
            check_settings: returns why this balancer can't use given settings, or an empty string.
            own_settings: this balancer's own settings, proposed if the fleet has none yet.
            on_view: called by this thread with each view to act on.
            on_lease_begun: called by this thread when a lease begins after a time without one.
            now: clock in nanoseconds that also runs while the machine is suspended.
        """
        self.table = table
        self.check_settings = check_settings
        self.own_settings = own_settings
        self.on_view = on_view
        self.on_lease_begun = on_lease_begun
        self.now = now
        self.config = config_of(table)
        self.queue: SimpleQueue[Event] = SimpleQueue()
        self.random = Random(int.from_bytes(os.urandom(16), "little"))
        self.member: Member | None = None
        self.folder = MemberFolder(table.folder, table.fleet, table.name)
        self.start_nonce = self.random.getrandbits(63)
        self.boot = 0
        self.data_losses = 0
        self.lease_until = 0
        # End of the lease of an earlier member of this process, or of the predecessor process.
        self.inherited_until = 0
        self.applied_version = 0
        self.problem = ""  # why the member does not run; empty if it does
        self.started = Flag()
        self.ended = Flag()
        self._stopping = Flag()
        # Wall time at the start plus the time passed since, so that later jumps of the wall clock
        # have no effect.
        wall_offset = time.time_ns() - self.now()
        self.wall: Callable[[], int] = lambda: wall_offset + self.now()
        self.flow_counts_provider: Callable[[], FlowCounts] = lambda: (0, 0, 0, 0)
        self.readiness_provider: Callable[[], bool | None] = lambda: None
        self.server_report_provider: Callable[[], ServerReport] = ServerReport
        self.replication = self._make_replication_thread()
        self.transport = self.make_transport()
        self.router = MessageRouter(table, self.transport, self.replication)

    def make_transport(self) -> Transport:
        """Return the connections to other members; called once, by the constructor."""
        return Transport(
            host_and_port(self.table.listen or self.table.address),
            self.table.fleet,
            self.queue.put,
            self.queue.qsize,
            self.hello,
            self.group,
        )

    def _make_replication_thread(self) -> "ReplicationThread | None":
        copies = self.table.copies
        if copies is None:
            return None
        from cypresswalk.copies.driver import ReplicationThread

        return ReplicationThread(
            self.folder.disk,
            self.now,
            self.wall,
            self.send_replica_messages,
            self.post_to_leader,
            lambda holds: self.queue.put(ReplicaCapabilityChanged(holds)),
            copies.most_ids,
        )

    def may_act(self) -> bool:
        """Return whether the deciding thread may act on its version."""
        return self.now() < self.lease_until or self.table.without_lease == "hold"

    def start(self) -> None:
        """Start the threads; the member runs once the folder's lock is free."""
        start_thread(self.run, SECOND, STACK_SIZE)
        if self.replication is not None:
            start_thread(self.replication.run, SECOND, STACK_SIZE)

    def call(self, name: str, args: dict[str, Any], reply: Reply, timeout: float) -> None:
        """Call the leader; the fleet thread calls `reply` once, within `timeout` seconds."""
        self.queue.put(CallRequested(name, args, reply, timeout))

    def inherit_lease(self, until: int, version: int) -> None:
        """Take over the lease of the predecessor process, and the version that it acted on."""
        self.lease_until = min(until, self.now() + self.config.max_contradiction)
        self.inherited_until = self.lease_until
        self.on_version_applied(version)

    def on_version_applied(self, version: int) -> None:
        """Record that the deciding thread now acts on `version`."""
        self.applied_version = max(self.applied_version, version)
        self.queue.put(VersionApplied(version))

    def on_list_received(self, generation: int, digest: bytes, servers: list[ListedServer]) -> None:
        """Process an endpoint list from this balancer's own list agent."""
        self.queue.put(ListReceived(generation, digest, servers))

    def release_leadership(self) -> None:
        """Transfer leadership to another member before a planned stop; the member keeps running."""
        self.queue.put(LeadershipReleased())

    def stop(self) -> None:
        """Stop the member so that another process can run it; the lease stays valid."""
        self._stopping.set()
        self.queue.put(StopRequested())

    def hello(self, to: str) -> Hello:
        """Return this member's Hello to the member with the id `to`."""
        member = self.member
        return Hello(
            PROTOCOL,
            self.table.fleet,
            "member",
            member.group if member else "",
            member.id if member else "",
            self.boot,
            self.start_nonce,
            self.table.address,
            to,
        )

    def group(self) -> str:
        """Return this member's group, or an empty string."""
        return self.member.group if self.member else ""

    def send_replica_messages(self, to: str, batch: MessageBatch) -> None:
        """Send messages to another member's replicas; called by the replication thread."""
        member = self.member
        if member is not None:
            self.router.send(member, to, batch)

    def post_to_leader(self, messages: list[ReplicationMessage]) -> None:
        """Send messages to the leader; called by the replication thread."""
        self.queue.put(LeaderMessagesPosted(messages))

    # Implementation of member_context.Host, which the member calls in the fleet thread.

    def settings_objection(self, settings: dict[str, Any]) -> str:
        """Return why this balancer can't use those settings, or an empty string."""
        return self.check_settings(settings)

    def is_ready(self) -> bool | None:
        """Return whether a new flow would be placed now; None if unknown."""
        return self.readiness_provider()

    def flow_counts(self) -> FlowCounts:
        """Return the process's flow counts."""
        return self.flow_counts_provider()

    def server_report(self) -> ServerReport:
        """Return this balancer's report on servers."""
        return self.server_report_provider()

    def wall_ms(self) -> int:
        """Return the wall clock time in milliseconds, for records that people read."""
        return self.wall() // MILLISECOND

    # Methods from here on run in the fleet thread.

    def run(self) -> None:
        """Run the member until stopped; restart it after its disk or its log has failed."""
        if not self.folder.lock(self._stopping):
            self.ended.set()
            return
        backoff = MIN_FOLDER_BACKOFF
        while not self._stopping.is_set():
            try:
                self.start_member()
                self._serve()
                backoff = MIN_FOLDER_BACKOFF
            except OSError as error:
                # Nothing may be sent after a failed write, since its data may be lost. On restart,
                # all readable data is rewritten and flushed before this member sends anything.
                self._log_problem("fleet_disk_failed", error.strerror or describe(error))
            except (LogDivergedError, UnreadableEntryError) as error:
                self._log_problem("fleet_member_stopped", str(error))
                backoff = MAX_FOLDER_BACKOFF
            except ForeignFileError as error:
                self._log_problem("fleet_folder_foreign", str(error))
                backoff = MAX_FOLDER_BACKOFF
            self.member = None
            if not self._stopping.is_set():
                self._wait_and_reject_calls(backoff)
                backoff = min(2 * backoff, MAX_FOLDER_BACKOFF)
        self._end()

    def _end(self) -> None:
        if self.replication is not None:
            self.replication.stop()
            # The thread must not write any more once another process may lock the folder.
            self.replication.ended.wait(REPLICATION_END_TIMEOUT)
        self.transport.end()
        self.folder.unlock()
        self.ended.set()

    def _wait_and_reject_calls(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        while (left := until - time.monotonic()) > 0 and not self._stopping.is_set():
            try:
                event = self.queue.get(timeout=left)
            except Empty:
                return
            reject_call(event, self.problem)

    def _log_problem(self, event: str, why: str) -> None:
        """Log a problem, unless it is the same as the last one."""
        if why != self.problem:
            log.error("event=%s folder=%s reason=%s", event, self.table.folder, why)
        self.problem = why

    def start_member(self) -> None:
        """Create the member from the folder's contents, or a new member if it has none.

        Raises:
            OSError: the disk failed.
            ForeignFileError: another balancer, or a newer program, has written to the folder.
        """
        try:
            loaded = self.folder.load()
        except DamagedLogError as error:
            self._discard_identity(str(error))
            loaded = None
        if loaded is None:
            self._start_blank_member()
        else:
            identity, persisted = loaded
            self.boot = identity.boot
            try:
                self._make_member(identity.member, identity.group, persisted)
            except msgspec.DecodeError as error:
                raise ForeignFileError(f"its state can't be read: {error}") from error
        if not self.transport.listening:
            self._listen()
        if self.problem:
            log.info("event=fleet_member_restarted folder=%s", self.table.folder)
            self.problem = ""
        self.started.set()

    def _start_blank_member(self) -> None:
        self.boot = 1
        self.start_nonce = self.random.getrandbits(63)
        self._make_member(f"{self.table.name}#{self.random.getrandbits(64):016x}", "", None)

    def _listen(self) -> None:
        while not self._stopping.is_set():
            try:
                self.transport.start()
                return
            except OSError as error:
                self._log_problem("fleet_listen_failed", str(error))
                time.sleep(LOCK_RETRY_PAUSE)

    def _discard_identity(self, why: str) -> None:
        log.error("event=fleet_identity_given_up reason=%s", why)
        self.data_losses += 1
        self.folder.set_aside()

    def _make_member(self, member_id: str, group: str, persisted: PersistentState | None) -> None:
        copies = self.table.copies
        placement = None
        if copies is not None:
            placement = ReplicaPlacement(member_id, copies.copies, copies.least)
        self.member = Member(
            self.config,
            MemberIdentity(member_id, group, self.boot, self.data_losses),
            persisted,
            self.now(),
            self.random,
            self,
            self.own_settings,
            placement,
            self.applied_version,
        )
        self.inherited_until = self.lease_until
        if self.replication is not None:
            # A new incarnation holds none of the records of the previous one.
            self.replication.put(IdentityAssigned(member_id, self.boot))

    def _running_member(self) -> Member:
        assert self.member is not None, "start_member sets the member before events are processed"
        return self.member

    def _serve(self) -> None:
        while not self._stopping.is_set():
            wait = self._running_member().due() - self.now()
            self.process_events(take_events(self.queue, wait, MAX_EVENTS_PER_TURN))

    def process_events(self, events: Iterable[Event]) -> None:
        """Process events and due timers, then carry out the effects.

        Raises:
            OSError: the disk failed.
            LogDivergedError, UnreadableEntryError: this member must not continue.
        """
        member = self._running_member()
        for event in events:
            self._on_event(self.now(), member, event)
        member.on_time(self.now())
        self.carry_out(member)
        if self.member is not member:
            member = self._running_member()  # the previous member lost its identity
            self.carry_out(member)
        self._renew_lease(member)
        while member.views:
            self.on_view(member.views.pop(0))
        while member.placements:
            placed = member.placements.pop(0)
            if self.replication is not None:
                self.replication.put(ViewsAgreed(placed))

    def _renew_lease(self, member: Member) -> None:
        until = max(member.lease_until(), self.inherited_until)
        if until == self.lease_until:
            return
        before, self.lease_until = self.lease_until, until
        if before <= self.now() < until:
            self.on_lease_begun()

    def carry_out(self, member: Member) -> None:
        """Carry out all effects of a member; replace it by a blank one if its identity is lost."""
        while (effects := member.take()) is not None:
            if effects.identity_lost:
                self._discard_identity(effects.identity_lost)
                self._start_blank_member()
                return
            self._write(member, effects)
            for to, message in effects.messages:
                self.router.send(member, to, message)
            if effects.ready is not None:
                member.apply(self.now(), effects.ready)

    def _write(self, member: Member, effects: MemberEffects) -> None:
        if effects.new_log is not None:
            group, persisted = effects.new_log
            self.folder.begin_log(group, member.id, self.boot, persisted)
        if effects.ready is not None:
            if effects.ready.must_write:
                self.folder.write(effects.ready)
            member.on_written(self.now(), effects.ready)

    def _on_event(self, now: int, member: Member, event: Event) -> None:
        match event:
            case FrameReceived():
                self.router.on_frame(now, member, event)
            case ToolFrameReceived(frame=Call() as call):
                self._on_tool_call(now, member, event, call)
            case CallRequested():
                timeout = int(event.timeout_s * SECOND)
                member.call(now, event.name, event.args, event.reply, timeout)
            case VersionApplied():
                member.on_version_applied(now, event.version)
            case ListReceived():
                member.on_list_received(now, event.generation, event.digest, event.servers)
            case ReplicaCapabilityChanged():
                member.on_replica_capability(now, event.holds_replicas)
            case LeaderMessagesPosted():
                self.router.send_to_leader(now, member, event.messages)
            case ConnectionRejected():
                self._on_rejection(member, event)
            case LeadershipReleased():
                self._release_leadership(now, member)

    def _on_rejection(self, member: Member, event: ConnectionRejected) -> None:
        if event.rejection.code == "put-back":
            member.give_up_identity(
                f"{event.to} has seen a later start of this member: its disk was restored"
            )

    def _release_leadership(self, now: int, member: Member) -> None:
        if not member.is_leader or member.node is None:
            return
        try:
            successor = member.node.transfer_leadership(now)
        except BusyError as error:
            log.info("event=leadership_kept error=%s", error)
        else:
            log.info("event=leadership_handed_over to=%s", successor)

    def _on_tool_call(self, now: int, member: Member, event: ToolFrameReceived, call: Call) -> None:
        reply = reply_to(event, call)
        if call.name == "local":
            reply(True, self._local_status(now, member))
        elif call.name == "copies_local" and self.replication is not None:
            self.replication.put(StatusRequested(reply))
        else:
            args = dict(call.args)
            timeout = int(pop_call_timeout(args) * SECOND)
            member.call(now, call.name, args, reply, timeout)

    def _local_status(self, now: int, member: Member) -> dict[str, Any]:
        return local_status(member) | {
            "lease_s": round((self.lease_until - now) / SECOND, 3),
            "may_act": self.may_act(),
            "boot": self.boot,
            "wipes": self.data_losses,
            "counts": dict(self.transport.counts),
            "members": [[m.id, m.voter, m.address, m.zone] for m in member.members],
        }
