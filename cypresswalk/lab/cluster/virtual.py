"""A fleet in virtual time: `fleet.driver.Fleet` itself, down to where threads, sockets and files begin, on a clock, links and
disks that fail by a seed. The same seed gives the same run to the byte. Invariants are held after every step; what breaks one is
a `Broken` that says which, when and with what seed.

The links are harder than TCP: words are lost, doubled and overtake each other. The disks lose what was not flushed, tear what
was being written, fail, fill up, are wiped, and are set back to older copies."""

import hashlib
from collections import Counter
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any

from cypresswalk.agreement.errors import ForeignFileError, LogDivergedError
from cypresswalk.agreement.member_state import Role
from cypresswalk.fleet.applied_view import AppliedView
from cypresswalk.fleet.driver import FleetThread
from cypresswalk.fleet.errors import UnreadableEntryError
from cypresswalk.fleet.events import (
    CallRequested,
    ConnectionRejected,
    Event,
    FrameReceived,
    VersionApplied,
)
from cypresswalk.fleet.messages import FRAME_DECODER, DiscoveryRequest, DiscoveryResponse, encode
from cypresswalk.fleet.transport import Transport
from cypresswalk.operator import FleetTable
from cypresswalk.storage.record_chain import SECTOR

SECOND = 1_000_000_000
MILLISECOND = 1_000_000
EPOCH = 1_800_000_000 * SECOND  # of everybody's wall clock


class Broken(Exception):
    """An invariant does not hold."""


class Killed(Exception):
    """The process dies here."""


class MemoryDisk:
    """One folder. What a call flushes is on disk when it returns; a name given by `rename` only after `flush`."""

    def __init__(self, chance: Random):
        self.chance = chance
        self.files: dict[str, tuple[bytes, int]] = {}
        self.unflushed: list[
            tuple[str, str, tuple[bytes, int] | None]
        ] = []  # renames: what stood there before
        self.inodes = 1
        self.held = None
        self.kill_in: int | None = None  # operations until the process dies in the middle of one
        self.failing = self.full = False

    def step(self) -> bool:
        """Whether the process dies in this operation."""
        if self.failing or self.full:
            raise OSError(
                28 if self.full else 5, "no space left" if self.full else "input/output error"
            )
        if self.kill_in is not None:
            self.kill_in -= 1
            return self.kill_in < 0
        return False

    def lock(self) -> None: ...
    def unlock(self) -> None: ...

    def names(self) -> list[str]:
        return list(self.files)

    def read(self, name: str, most: int) -> bytes:
        if name not in self.files:
            raise FileNotFoundError(2, name)
        return self.files[name][0][:most]

    def inode(self, name: str) -> int:
        if name not in self.files:
            raise FileNotFoundError(2, name)
        return self.files[name][1]

    def write(self, name: str, data: bytes) -> None:
        dies = self.step()
        inode = self.files[name][1] if name in self.files else self.new_inode()
        self.files[name] = (data[: self.chance.randrange(len(data) + 1)] if dies else data), inode
        if dies:
            raise Killed

    def add(self, name: str, data: bytes) -> None:
        before, inode = self.files[
            name
        ]  # KeyError: the folder is gone, which is an OSError for a real one
        if self.failing:
            # What a failed flush covered may be there or not, or in part.
            self.files[name] = before + self.torn(data, len(before)), inode
        dies = self.step()
        self.files[name] = before + (self.torn(data, len(before)) if dies else data), inode
        if dies:
            raise Killed

    def torn(self, data: bytes, at: int) -> bytes:
        """`data` was to stand from `at` on: the file's end came to the disk in part, or whole with sectors of nothing."""
        if self.chance.random() < 0.5:
            return data[: self.chance.randrange(len(data) + 1)]
        out, borders = b"", [0, *range(SECTOR - at % SECTOR, len(data), SECTOR), len(data)]
        for low, high in zip(borders, borders[1:]):
            out += data[low:high] if self.chance.random() < 0.5 else bytes(high - low)
        return out

    def new_inode(self) -> int:
        self.inodes += 1
        return self.inodes

    def rename(self, name: str, to: str) -> None:
        dies = self.step()
        if dies and self.chance.random() < 0.5:
            raise Killed
        self.unflushed.append((name, to, self.files.get(to)))
        self.files[to] = self.files.pop(name)
        if dies:
            raise Killed

    def flush(self) -> None:
        if self.step():
            raise Killed
        self.unflushed.clear()

    def remove(self, name: str) -> None:
        if self.step():
            raise Killed
        self.files.pop(name, None)

    def crash(self) -> None:
        """The power goes: renames that were not flushed may be undone, the last first."""
        while self.unflushed and self.chance.random() < 0.5:
            name, to, before = self.unflushed.pop()
            if to in self.files:
                self.files[name] = self.files.pop(to)
            if before is not None:
                self.files[to] = before
        self.unflushed.clear()
        self.kill_in, self.failing, self.full = None, False, False

    def copy(self) -> dict[str, tuple[bytes, int]]:
        return dict(self.files)

    def put_back(self, files: dict[str, tuple[bytes, int]], whole_disk: bool) -> None:
        """From a backup: each file is a new one; or the whole disk as it was, inodes and all."""
        self.files = (
            dict(files)
            if whole_disk
            else {name: (data, self.new_inode()) for name, (data, _) in files.items()}
        )

    def wipe(self) -> None:
        self.files, self.unflushed = {}, []


class VirtualLinks(Transport):
    """Sends into the world in place of sockets; whom it hears it asks who he is as the real ones do."""

    def __init__(self, world: "World", process: "Process", fleet: FleetThread):
        super().__init__(
            ("127.0.0.1", 0),
            fleet.table.fleet,
            lambda event: None,
            lambda: 0,
            fleet.hello,
            fleet.group,
        )
        self.world, self.process = world, process

    def start(self) -> None:
        self.listening = True

    def end(self) -> None: ...

    def send(self, address: tuple[str, int], to: str, frame: object) -> None:
        self.world.carry(self.process, "%s:%d" % address, self.hello(to), frame)


class VirtualFleet(FleetThread):
    def __init__(self, world: "World", process: "Process"):
        self.world, self.process = world, process
        super().__init__(
            process.table, process.check, world.own, process.act_on, lambda: None, process.clock
        )
        self.folder.disk = process.disk
        self.random = Random(f"{world.seed}/{process.name}/{process.starts}")
        self.start_nonce = self.random.getrandbits(63)
        self.wall = lambda: EPOCH + world.now

    def make_transport(self) -> Transport:
        return VirtualLinks(self.world, self.process, self)


class Process:
    """One balancer: what survives it, and its fleet part while it runs."""

    def __init__(self, world: "World", table: FleetTable):
        self.world, self.table, self.name = world, table, table.name
        self.disk = MemoryDisk(Random(f"{world.seed}/disk/{table.name}"))
        self.fleet: VirtualFleet | None = None
        self.starts = 0
        self.frozen_until = 0
        self.rate, self.base = 1.0, world.chance.randrange(10**15)
        self.waiting: list[Event] = []  # events while it is frozen
        self.disk_id = ""  # whose its folder was when it last ran
        self.acts_on = 0
        self.again_at = 0
        self.looked_at: int | None = None  # when the world next looks whether it is due
        self.refuses: set[int] = set()  # settings marked so it can't read
        self.set_up: Callable[[VirtualFleet], None] = lambda fleet: None

    def clock(self) -> int:
        return self.base + int(self.world.now * self.rate)

    def check(self, settings: dict[str, Any]) -> str:
        return "it can't be read here" if settings.get("mark") in self.refuses else ""

    def act_on(self, view: AppliedView) -> None:
        """The deciding thread, which takes no time here."""
        if view.version > self.acts_on:
            self.acts_on = view.version
            self.fleet.queue.put(VersionApplied(view.version))
            self.fleet.acts_on = view.version

    @property
    def acts(self) -> bool:
        return (
            self.fleet is not None and self.world.now >= self.frozen_until and self.fleet.may_act()
        )

    def start(self) -> None:
        self.starts += 1
        self.acts_on = 0
        self.fleet = VirtualFleet(self.world, self)
        self.set_up(self.fleet)
        self.again_at = 0
        self.run(self.fleet.begin)
        self.world.look_at(self)

    def kill(self) -> None:
        self.end()
        self.disk.crash()

    def end(self) -> None:
        """A planned end: what was written stays."""
        if self.fleet is not None and self.fleet.member is not None:
            self.disk_id = self.fleet.member.id
        self.fleet = None
        self.waiting = []

    def run(self, what: Callable, *words: object) -> None:
        try:
            what(*words)
        except Killed:
            self.world.count("killed in the middle of a write")
            self.kill()
        except (OSError, KeyError) as error:
            self.stopped(str(error))
        except LogDivergedError as error:
            raise Broken(f"{self.name}: {error}") from None
        except (UnreadableEntryError, ForeignFileError) as error:
            self.stopped(str(error))

    def stopped(self, why: str) -> None:
        """As the fleet's thread does: its part stops, and begins anew from the disk after a while."""
        self.world.count("disk failed")
        if self.fleet.member is not None:
            self.disk_id = self.fleet.member.id
        self.fleet.member = None
        self.again_at = self.world.now + SECOND

    def turn(self, events: list[Event]) -> None:
        if self.fleet is None:
            return
        if self.fleet.member is None:
            if self.again_at <= self.world.now:
                self.run(self.fleet.begin)
        else:
            while not self.fleet.queue.empty():
                events = [*events, self.fleet.queue.get()]
            self.run(self.fleet.turn, events)
        self.world.look_at(self)

    def due(self) -> int:
        """In the world's time."""
        if self.fleet is None:
            return 1 << 62
        if self.fleet.member is None:
            due = self.again_at
        elif not self.fleet.queue.empty():
            due = self.world.now
        else:
            due = int((self.fleet.member.due() - self.base) / self.rate) + 1
        return max(due, self.frozen_until, self.world.now)


class World:
    """`fleet_class` and the like may be replaced by planted mistakes."""

    def __init__(
        self,
        seed: int,
        voters: int = 3,
        followers: int = 0,
        stated_s: float = 5.0,
        loss: float = 0.0,
        double: float = 0.0,
        delay: tuple[int, int] = (MILLISECOND // 5, 5 * MILLISECOND),
        zones: int = 0,
    ):
        self.seed, self.chance = seed, Random(f"{seed}/world")
        self.now = 0
        self.loss, self.double, self.delay = loss, double, delay
        self.stated = int(stated_s * SECOND)
        self.own = {"mark": 0}
        names = [f"n{i}" for i in range(voters + followers)]
        self.addresses = {name: f"127.0.0.1:{1000 + i}" for i, name in enumerate(names)}
        first = {name: self.addresses[name] for name in names[:voters]}
        self.processes = {
            name: Process(
                self,
                FleetTable(
                    fleet="f",
                    name=name,
                    address=self.addresses[name],
                    folder="/none",
                    first=first,
                    stated_s=stated_s,
                    zone=f"z{i % zones}" if zones else "",
                ),
            )
            for i, name in enumerate(names)
        }
        self.by_address = {
            address: self.processes[name] for name, address in self.addresses.items()
        }
        self.cuts: set[tuple[str, str]] = set()  # from, to
        self.slow: dict[tuple[str, str], int] = {}  # from, to: how much later all arrives
        self.coming: list[tuple[int, int, Process, object, bytes]] = []
        self.dues: list[tuple[int, int, Process]] = []
        self.timers: list[tuple[int, int, Callable[[], None]]] = []
        self.entered = 0
        self.steps = 0
        self.situations: Counter[str] = Counter()
        self.states: set[bytes] = set()
        self.words = self.bytes = 0
        self.history: list[str] = []
        # What may never change once seen.
        self.leaders: dict[int, str] = {}
        self.log: dict[tuple[str, int], tuple] = {}
        self.votes: dict[tuple[str, int], str] = {}
        self.given: dict[str, int] = {}
        self.active_at: dict[int, int] = {0: 0}
        self.longest = 0  # nanoseconds that two acted on contradicting versions

    def count(self, what: str) -> None:
        self.situations[what] += 1

    def note(self, text: str) -> None:
        self.history.append(f"{self.now / SECOND:9.3f} {text}")
        if len(self.history) > 4000:
            del self.history[:1000]

    # The links.

    def carry(self, source: Process, address: str, hello: object, frame: object) -> None:
        self.words += 1
        data = encode(frame)
        self.bytes += len(data)
        target = self.by_address.get(address)
        if target is None or (source.name, target.name) in self.cuts:
            return
        for _ in range(2 if self.chance.random() < self.double else 1):
            if self.chance.random() >= self.loss:
                self.entered += 1
                heappush(
                    self.coming,
                    (
                        self.now
                        + self.chance.randint(*self.delay)
                        + self.slow.get((source.name, target.name), 0),
                        self.entered,
                        target,
                        hello,
                        data,
                    ),
                )

    def arrive(self, target: Process, hello: object, data: bytes) -> None:
        fleet = target.fleet
        if fleet is None or fleet.member is None:
            return
        refused = fleet.transport.rejection_of(hello)
        if refused is not None:
            self.count(f"refused: {refused.code}")
            sender = self.by_address.get(hello.address)
            # A process that has ended since hears of nothing.
            if (
                refused.code == "put-back"
                and sender is not None
                and sender.fleet is not None
                and sender.fleet.start_nonce == hello.start_nonce
                and (sender.name, target.name) not in self.cuts
                and sender.fleet.hello("").id == hello.id
            ):
                sender.turn([ConnectionRejected(fleet.member.id, refused)])
            return
        frame = FRAME_DECODER.decode(data)
        if hello.group != fleet.group() and not isinstance(
            frame, DiscoveryRequest | DiscoveryResponse
        ):
            return
        event = FrameReceived(hello, frame)
        if self.now < target.frozen_until:
            target.waiting.append(event)
        else:
            target.turn([event])

    # Time.

    def run(self, span: int, check: bool = True) -> None:
        end, began = self.now + span, self.steps
        while True:
            if (
                self.steps - began
                > 400 * (self.now - end + span) // SECOND * len(self.processes) + 50_000
            ):
                raise Broken("no end: the fleet goes on without time passing")
            due, process = self.next_due()
            timer = self.timers[0][0] if self.timers else 1 << 62
            if timer <= min(due, self.coming[0][0] if self.coming else due):
                if timer > end:
                    break
                self.now = max(self.now, timer)
                heappop(self.timers)[2]()
            elif self.coming and self.coming[0][0] <= due:
                if self.coming[0][0] > end:
                    break
                at, _, target, hello, data = heappop(self.coming)
                self.now = max(self.now, at)
                self.arrive(target, hello, data)
            else:
                if due > end:
                    break
                heappop(self.dues)
                process.looked_at = None
                self.now = max(self.now, due)
                events, process.waiting = process.waiting, []
                process.turn(events)
            self.steps += 1
            if check:
                self.check()
        self.now = end

    def later(self, after: int, what: Callable[[], None]) -> None:
        self.entered += 1
        heappush(self.timers, (self.now + after, self.entered, what))

    def next_due(self) -> tuple[int, Process]:
        """Each process puts itself in after each turn; what has become later since is put in anew."""
        while self.dues:
            due, _, process = self.dues[0]
            real = process.due()
            if real <= due:
                return max(real, self.now), process
            heappop(self.dues)
            if due == process.looked_at:
                process.looked_at = None
            if real < 1 << 62:
                self.look_at(process, real)
        return 1 << 62, next(iter(self.processes.values()))

    def look_at(self, process: Process, due: int | None = None) -> None:
        due = process.due() if due is None else due
        if (
            process.looked_at is None or due < process.looked_at
        ):  # else the look that stands comes first, and looks further
            process.looked_at = due
            self.entered += 1
            heappush(self.dues, (due, self.entered, process))

    def start(self) -> None:
        for process in self.processes.values():
            process.start()

    def freeze(self, process: Process, span: int) -> None:
        process.frozen_until = self.now + span
        self.look_at(process)

    def live(self) -> list[Process]:
        return [
            p for p in self.processes.values() if p.fleet is not None and p.fleet.member is not None
        ]

    def leader(self) -> Process | None:
        leaders = [p for p in self.live() if p.fleet.member.is_leader]
        return max(leaders, key=lambda p: p.fleet.member.node.term, default=None)

    # Invariants.

    def check(self) -> None:
        for process in self.processes.values():
            if process.fleet is None or process.fleet.member is None:
                continue
            member = process.fleet.member
            if member.node is None:
                continue
            state = member.node.state
            if state.role is Role.LEADER:
                before = self.leaders.setdefault(state.term, member.id)
                if before != member.id:
                    raise Broken(f"A1: {before} and {member.id} both lead term {state.term}")
            if state.voted_for and state.is_vote_flushed:
                before = self.votes.setdefault((member.id, state.term), state.voted_for)
                if before != state.voted_for:
                    raise Broken(
                        f"A5: {member.id} votes for {before} and {state.voted_for} in term {state.term}"
                    )
            seen = self.given.get(member.id, -1)
            if state.delivered_index > seen:
                self.given[member.id] = state.delivered_index
                for index in range(max(seen + 1, state.log.first_index), state.delivered_index + 1):
                    entry = state.log.between(index, index)[0]
                    before = self.log.setdefault(
                        (member.group, index), (entry.term, entry.kind, entry.data)
                    )
                    if before != (entry.term, entry.kind, entry.data):
                        raise Broken(
                            f"A3: entry {index} was agreed in term {before[0]}, {member.id} has one of term {entry.term}"
                        )
                version = member.state.version
                if version not in self.active_at:
                    for number in range(max(self.active_at) + 1, version + 1):
                        self.active_at[number] = self.now
        newest = max(self.active_at)
        for process in self.processes.values():
            if process.acts and process.acts_on < newest:
                late = self.now - self.active_at[process.acts_on + 1]
                self.longest = max(self.longest, late)
                if late > self.stated:
                    raise Broken(
                        f"L: {process.name} acts on version {process.acts_on}, {process.acts_on + 1} has been in force "
                        f"for {late / SECOND:.3f} s"
                    )

    def fingerprint(self) -> bytes:
        """Of who is in what state towards whom, without times: for counting what was met."""
        shape = []
        for p in self.processes.values():
            m = p.fleet.member if p.fleet is not None else None
            n = m.node if m is not None else None
            shape.append(
                (
                    p.fleet is None,
                    m is None,
                    n
                    and (
                        n.role.value,
                        n.term
                        - max(
                            (q.fleet.member.node.term for q in self.live() if q.fleet.member.node),
                            default=0,
                        ),
                        n.log.last_index - n.commit_index,
                        len(n.log.members),
                        n.is_voter(),
                        n.leader.partition("#")[0],
                        n.is_receiving_snapshot,
                    ),
                    p.acts,
                    p.acts_on,
                    self.now < p.frozen_until,
                    p.disk.failing or p.disk.full,
                )
            )
        return hashlib.blake2b(repr((shape, sorted(self.cuts))).encode(), digest_size=8).digest()

    # What operators do.

    def call(
        self,
        at: Process,
        name: str,
        args: dict[str, Any],
        span: int,
        told: Callable[[bool, Any], None],
    ) -> None:
        if at.fleet is None or at.fleet.member is None:
            told(False, {"why": "it does not run"})
            return
        at.turn([CallRequested(name, args, told, span / SECOND)])
