"""The fleet's thread: runs the core on a real clock, disk and links, and hands what is agreed to the deciding thread.

Whatever happens here, the deciding thread waits for nothing: it looks at `may_act`, which compares a number with a clock."""

import logging
import os
import time
from collections.abc import Callable
from queue import Empty, SimpleQueue
from random import Random
from threading import Event
from typing import Any

import msgspec

from cypresswalk.agreement.node import LogDivergedError, PersistentState, Timing
from cypresswalk.agreement.store import DamagedLogError, ForeignFileError, LogIdentity, Store
from cypresswalk.copies.messages import Message as CopyWord
from cypresswalk.copies.messages import MessageBatch, PartitionFetched, PartitionSealed, ReplicaSlow
from cypresswalk.fleet.applied_view import AppliedView
from cypresswalk.fleet.member import Member, UnreadableEntryError
from cypresswalk.fleet.member_context import MemberConfig, MemberIdentity
from cypresswalk.fleet.messages import PROTOCOL, Call, Hello, Result, ServerReport
from cypresswalk.fleet.replica_placement import ReplicaPlacement
from cypresswalk.fleet.transport import STACK, Answers, Transport
from cypresswalk.net.inbox import start_thread
from cypresswalk.operator import FleetTable
from cypresswalk.state.disk import DiskFolder, FolderLockedError

log = logging.getLogger(__name__)
SECOND = 1_000_000_000
LOCK_AGAIN = 0.05  # seconds: the process before this one ends soon
DISK_AGAIN, DISK_AGAIN_MOST = 1.0, 15.0  # seconds until a folder that failed is tried anew
AT_ONCE = 256  # events taken before time passes and effects go out
COPIES_END = 3.0  # seconds that the copies' thread may take to end
TOOL_SPAN = 5.0  # seconds that a tool's call may take if it says nothing else


def clock() -> int:
    """Goes on while the machine sleeps."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


def address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


class Fleet:
    def __init__(
        self,
        table: FleetTable,
        check: Callable[[dict], str],
        own: dict[str, Any],
        agreed: Callable[[AppliedView], None],
        leased: Callable[[], None],
        now: Callable[[], int] = clock,
    ):
        """`agreed` and `leased` are called by the fleet's thread: with a view to act on, and when a lease begins anew."""
        self.table, self.check, self.own, self.agreed, self.leased, self.now = (
            table,
            check,
            own,
            agreed,
            leased,
            now,
        )
        self.about = MemberConfig(
            table.fleet,
            table.name,
            table.address,
            table.zone,
            tuple(sorted(table.first.items())),
            int(table.stated_s * SECOND),
            Timing(),
        )
        self.queue: SimpleQueue = SimpleQueue()
        self.chance = Random(int.from_bytes(os.urandom(16), "little"))
        self.member: Member | None = None
        self.store: Store | None = None
        self.disk = DiskFolder(table.folder)
        self.life = self.chance.getrandbits(63)
        self.boot = 0
        self.until = 0  # of the lease; read by the deciding thread
        self.inherited = 0  # of a lease that an earlier member of this process, or the process before it, was granted
        self.acts_on = 0
        self.trouble = ""
        self.wipes = 0
        self.started = Event()
        self.over = Event()
        self.ended = Event()
        self.links = Transport(
            address(table.listen or table.address),
            table.fleet,
            lambda *event: self.queue.put(event),
            self.queue.qsize,
            self.hello,
            self.group,
        )
        # Wall time as it was at the start, and what has passed since: guards against a clock that jumps.
        base = time.time_ns() - self.now()
        self.wall: Callable[[], int] = lambda: base + self.now()
        self.copies: Any = None
        if table.copies is not None:
            # Imported here alone: who keeps no copies pays nothing.
            from cypresswalk.copies.driver import ReplicationThread

            self.copies = ReplicationThread(
                self.disk,
                self.now,
                self.wall,
                self.send_copies,
                self.tell_leader,
                lambda holds: self.queue.put(("holds", holds)),
                table.copies.most_ids,
            )
        self.served: Callable[[], tuple[int, int, int, int]] = lambda: (0, 0, 0, 0)
        self.ready: Callable[[], bool | None] = lambda: None  # asked by the fleet's thread
        self.servers: Callable[[], ServerReport] = ServerReport
        self.places: dict[
            str, str
        ] = {}  # addresses that others named: one that just joined knows no members yet
        self.names = {where: name for name, where in table.first.items()}

    # For any thread.

    def may_act(self) -> bool:
        return self.now() < self.until or self.table.without_lease == "hold"

    def start(self) -> None:
        start_thread(self.run, SECOND, STACK)
        if self.copies is not None:
            start_thread(self.copies.run, SECOND, STACK)

    def call(
        self, name: str, args: dict[str, Any], reply: Callable[[bool, Any], None], span: float
    ) -> None:
        self.queue.put(("call", name, args, reply, span))

    def inherit(self, until: int, version: int) -> None:
        self.inherited = self.until = min(until, self.now() + self.about.max_contradiction)
        self.acted(version)

    def acted(self, version: int) -> None:
        self.acts_on = max(self.acts_on, version)
        self.queue.put(("acted", version))

    def told_list(self, generation: int, digest: bytes, servers: list) -> None:
        self.queue.put(("list", generation, digest, servers))

    def leave(self) -> None:
        """A planned stop: leadership goes to another. What runs goes on."""
        self.queue.put(("leave",))

    def stop(self) -> None:
        """Another process of this balancer takes its part from here on; the lease runs on until its end."""
        self.over.set()
        self.queue.put(("stop",))

    def hello(self, to: str) -> Hello:
        member = self.member
        return Hello(
            PROTOCOL,
            self.table.fleet,
            "member",
            member.group if member else "",
            member.id if member else "",
            self.boot,
            self.life,
            self.table.address,
            to,
        )

    def settings_objection(self, settings: dict[str, Any]) -> str:
        return self.check(settings)

    def is_ready(self) -> bool | None:
        return self.ready()

    def flow_counts(self) -> tuple[int, int, int, int]:
        return self.served()

    def server_report(self) -> ServerReport:
        return self.servers()

    def wall_ms(self) -> int:
        return self.wall() // 1_000_000

    def group(self) -> str:
        return self.member.group if self.member else ""

    # The fleet's thread.

    def run(self) -> None:
        if not self.lock():
            return
        pause = DISK_AGAIN
        while not self.over.is_set():
            try:
                self.begin()
                self.serve()
                pause = DISK_AGAIN
            except OSError as error:
                # Nothing is said after a write that failed: what it covered may be lost. All that can be read is then written
                # anew, whole, and flushed, before this member says a word again.
                self.say_trouble("fleet_disk_failed", f"{error.strerror or error}")
            except (LogDivergedError, UnreadableEntryError) as error:
                self.say_trouble("fleet_member_stopped", str(error))
                pause = DISK_AGAIN_MOST
            except ForeignFileError as error:
                self.say_trouble("fleet_folder_foreign", str(error))
                pause = DISK_AGAIN_MOST
            self.member = None
            if not self.over.is_set():
                self.wait_out(pause)
                pause = min(2 * pause, DISK_AGAIN_MOST)
        if self.copies is not None:
            self.copies.stop()
            self.copies.ended.wait(
                COPIES_END
            )  # nothing is written once another process has the folder
        self.links.end()
        self.disk.unlock()
        self.ended.set()

    def wait_out(self, pause: float) -> None:
        """Calls are answered meanwhile."""
        until = time.monotonic() + pause
        while (left := until - time.monotonic()) > 0 and not self.over.is_set():
            try:
                event = self.queue.get(timeout=left)
            except Empty:
                return
            if event[0] == "call":
                event[3](
                    False,
                    {
                        "why": f"this balancer's part in the fleet has stopped: {self.trouble}",
                        "unsure": False,
                    },
                )
            elif event[0] == "tool" and isinstance(event[2], Call):
                event[3].send(
                    Result(
                        event[2].number,
                        False,
                        {"why": f"its part in the fleet has stopped: {self.trouble}"},
                    )
                )

    def say_trouble(self, what: str, why: str) -> None:
        if why != self.trouble:
            log.error("event=%s folder=%s why=%s", what, self.table.folder, why)
        self.trouble = why

    def lock(self) -> bool:
        """The process before this one has it until it ends: two never vote as one."""
        said = ""
        if self.disk.held is not None:
            return True  # this thread has failed in an unforeseen way and begins anew: the lock is this process's still
        while not self.over.is_set():
            try:
                os.makedirs(self.table.folder, mode=0o700, exist_ok=True)
                self.disk.lock()
                return True
            except FolderLockedError:
                why = "another process of this balancer has the folder"
            except OSError as error:
                why = str(error)
            if why != said:
                log.info("event=fleet_waits folder=%s why=%s", self.table.folder, why)
                said = why
            time.sleep(LOCK_AGAIN)
        self.ended.set()
        return False

    def begin(self) -> None:
        """What the folder holds, or nothing."""
        store = self.store = Store(self.disk)
        kept, why = None, ""
        try:
            kept = store.load(
                self.table.fleet,
                self.table.name,
                lambda text: log.warning("event=fleet_log_cut why=%s", text),
            )
        except DamagedLogError as error:
            why = str(error)
        if kept is not None:
            life = LogIdentity(
                store.life.fleet, store.life.group, store.life.member, store.life.boot + 1
            )
            store.begin(life, kept)
            self.boot = life.boot
            try:
                self.make(life.member, life.group, kept)
            except msgspec.DecodeError as error:
                raise ForeignFileError(f"its state can't be read: {error}") from None
        else:
            if why:
                self.give_up(why)
            self.blank()
        if self.links.sock is None:
            self.listen()
        if self.trouble:
            log.info("event=fleet_again folder=%s", self.table.folder)
            self.trouble = ""
        self.started.set()

    def listen(self) -> None:
        while not self.over.is_set():
            try:
                self.links.start()
                return
            except OSError as error:
                self.say_trouble("fleet_not_listening", str(error))
                time.sleep(LOCK_AGAIN)

    def give_up(self, why: str) -> None:
        log.error("event=fleet_identity_given_up why=%s", why)
        self.wipes += 1
        self.store.set_aside()

    def blank(self) -> None:
        self.boot = 1
        self.life = self.chance.getrandbits(63)
        self.make(f"{self.table.name}#{self.chance.getrandbits(64):016x}", "", None)

    def make(self, ident: str, group: str, kept: PersistentState | None) -> None:
        copies = self.table.copies
        placing = (
            ReplicaPlacement(ident, copies.copies, copies.least) if copies is not None else None
        )
        self.member = Member(
            self.about,
            MemberIdentity(ident, group, self.boot, self.wipes),
            kept,
            self.now(),
            self.chance,
            self,
            self.own,
            placing,
            self.acts_on,
        )
        self.inherited = self.until
        if self.copies is not None:
            # Another incarnation holds nothing of what this one held.
            self.copies.put("identity", ident, self.boot)

    def serve(self) -> None:
        queue = self.queue
        while not self.over.is_set():
            wait = self.member.due() - self.now()
            events = []
            try:
                events.append(queue.get(timeout=wait / SECOND) if wait > 0 else queue.get_nowait())
                while len(events) < AT_ONCE:
                    events.append(queue.get_nowait())
            except Empty:
                pass
            self.turn(events)

    def turn(self, events: list[tuple]) -> None:
        """What has come, what time brings, then what follows of it. Raises OSError from the disk, Harmed, Strange."""
        member = self.member
        for event in events:
            self.happen(self.now(), member, event)
        member.on_time(self.now())
        self.carry_out(member)
        if self.member is not member:
            member = self.member  # it gave up its identity
            self.carry_out(member)
        self.renew(member)
        while member.views:
            self.agreed(member.views.pop(0))
        while member.placements:
            views = member.placements.pop(0)
            if self.copies is not None:
                self.copies.put("placed", views)

    def renew(self, member: Member) -> None:
        until = max(member.lease_until(), self.inherited)
        if until != self.until:
            before, self.until = self.until, until
            if before <= self.now() < until:
                self.leased()

    def carry_out(self, member: Member) -> None:
        while (step := member.take()) is not None:
            if step.identity_lost:
                self.give_up(step.identity_lost)
                self.blank()
                return
            if step.new_log is not None:
                group, kept = step.new_log
                self.store.begin(LogIdentity(self.table.fleet, group, member.id, self.boot), kept)
            if step.ready is not None:
                if step.ready.writes:
                    self.store.write(step.ready)
                member.on_written(self.now(), step.ready)
            for to, frame in step.messages:
                self.send(member, to, frame)
            if step.ready is not None:
                member.apply(self.now(), step.ready)

    def send_copies(self, to: str, bundle: MessageBatch) -> None:
        """By the thread that keeps copies."""
        member = self.member
        if member is not None:
            self.send(member, to, bundle)

    def tell_leader(self, words: list) -> None:
        self.queue.put(("to_leader", words))

    def send(self, member: Member, to: str, frame: object) -> None:
        if isinstance(frame, CopyWord):
            if to == member.id:
                self.copies.put("words", to, [frame])
                return
            frame = MessageBatch([frame])
        if ":" in to:
            name, ident, where = self.names.get(to, ""), "", to
        else:
            name, ident, where = (
                to.partition("#")[0],
                to,
                member.address_of(to) or self.places.get(to, ""),
            )
        where = self.table.via.get(name, where)
        if where:
            self.links.send(address(where), ident, frame)

    def happen(self, now: int, member: Member, event: tuple) -> None:
        match event:
            case ("heard", hello, frame):
                self.places[hello.id] = hello.address
                while len(self.places) > 1000:
                    del self.places[next(iter(self.places))]
                if isinstance(frame, MessageBatch):
                    self.bundled(now, member, hello.id, frame)
                else:
                    member.on_frame(now, hello.id, frame)
            case ("holds", holds):
                member.on_replica_capability(now, holds)
            case ("to_leader", words):
                if member.is_leader:
                    member.on_replica_messages(now, member.id, words)
                elif member.leader:
                    self.send(member, member.leader, MessageBatch(words))
            case ("tool", _, Call() as frame, answers):
                self.tool(now, member, frame, answers)
            case ("call", name, args, reply, span):
                member.call(now, name, args, reply, int(span * SECOND))
            case ("acted", version):
                member.on_version_applied(now, version)
            case ("list", generation, digest, servers):
                member.on_list_received(now, generation, digest, servers)
            case ("refused", to, frame) if frame.code == "put-back":
                member.give_up_identity(
                    f"{to} has seen a later start of this one: its disk was set back"
                )
            case ("leave",) if member.is_leader:
                try:
                    log.info("event=leadership_handed_over to=%s", member.node.hand_over(now))
                except Exception as error:
                    log.info("event=leadership_kept why=%s", error)

    def bundled(self, now: int, member: Member, source: str, bundle: MessageBatch) -> None:
        if self.copies is None:
            return
        to_leader = [
            word
            for word in bundle.words
            if isinstance(word, PartitionSealed | PartitionFetched | ReplicaSlow)
        ]
        if to_leader:
            member.on_replica_messages(now, source, to_leader)
        if len(to_leader) < len(bundle.words):
            self.copies.put(
                "words",
                source,
                [
                    word
                    for word in bundle.words
                    if not isinstance(word, PartitionSealed | PartitionFetched | ReplicaSlow)
                ],
            )

    def tool(self, now: int, member: Member, frame: Call, answers: Answers) -> None:
        def reply(ok: bool, body: Any) -> None:
            answers.send(Result(frame.number, ok, body))

        if frame.name == "local":
            reply(True, self.local(now, member))
            return
        if frame.name == "copies_local" and self.copies is not None:
            self.copies.put("tell", reply)
            return
        args = dict(frame.args)
        try:
            span = min(max(float(args.pop("span", TOOL_SPAN)), 0.1), 600.0)
        except (TypeError, ValueError):
            span = TOOL_SPAN
        member.call(now, frame.name, args, reply, int(span * SECOND))

    def local(self, now: int, member: Member) -> dict[str, Any]:
        """What this balancer knows by itself, asked of nobody."""
        node = member.node
        return {
            "id": member.id,
            "group": member.group,
            "leader": member.leader,
            "role": node.role.value if node else "none",
            "term": node.term if node else 0,
            "index": node.commit if node else -1,
            "last": node.log.last if node else -1,
            "version": member.state.version,
            "acts_on": member.lease_client.acts_on,
            "lease_s": round((self.until - now) / SECOND, 3),
            "may_act": self.may_act(),
            "boot": self.boot,
            "wipes": self.wipes,
            "counts": dict(self.links.counts),
            "members": [[m.id, m.voter, m.address, m.zone] for m in member.members],
        }
