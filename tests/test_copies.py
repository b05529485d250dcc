"""Claims and their holders: random runs with lost words, crashes and lost disks against one rule, an id is granted to one."""

from random import Random

import pytest

from cypresswalk.copies import store
from cypresswalk.copies.driver import ReplicationThread
from cypresswalk.copies.effects import AnswerRequest, SendMessage, WriteChange
from cypresswalk.copies.errors import DataLostError
from cypresswalk.copies.events import (
    IdentityAssigned,
    MessagesReceived,
    ReservationRequested,
    ViewsAgreed,
)
from cypresswalk.copies.messages import (
    FetchPartition,
    RecordStored,
    ReplicateRecord,
    ReservationRecord,
    ReserveKey,
    ViewBegun,
    ViewSealed,
)
from cypresswalk.copies.partition import Partition
from cypresswalk.copies.placement import PARTITIONS, choose_replicas, partition_of
from cypresswalk.copies.primary import Primary
from cypresswalk.copies.replica import Replica
from cypresswalk.copies.reservations import ReservationAnswer
from cypresswalk.copies.store import RecordLog
from cypresswalk.fleet import client
from cypresswalk.lab.cluster.virtual import MemoryDisk

COPIES = 3


class World:
    """Some members, one part, and whoever agrees on its views."""

    def __init__(self, seed: int, members: int = 5, holder: type[Replica] = Replica):
        self.chance, self.kind = Random(seed), holder
        self.names = [f"m{i}" for i in range(members)]
        self.disks: dict[str, list] = {name: [] for name in self.names}
        self.lives: dict[str, Replica | None] = {name: holder(name) for name in self.names}
        self.coming: list[tuple[str, str, object]] = []
        self.view, self.now_holders, self.next_holders = 0, (), ()
        self.whole_in_next: set[str] = set()
        self.granted: dict[str, str] = {}
        self.answers = {"granted": 0, "held": 0, "refused": 0, "again": 0}
        self.tokens = 0
        self.agreed: list[tuple[int, tuple]] = []
        for name in self.names[:COPIES]:
            self.lives[name].fetch(0, 1, "")
            self.carry_out(name)
        self.agree(tuple(self.names[:COPIES]))

    def agree(self, chosen: tuple) -> None:
        self.view, self.now_holders = self.view + 1, chosen
        self.agreed.append((self.view, chosen))

    def carry_out(self, name: str, die_after: int | None = None) -> None:
        """The owner's work in its order; the process may die in the middle."""
        holder = self.lives[name]
        while holder.effects:
            if die_after is not None:
                die_after -= 1
                if die_after < 0:
                    self.lives[name] = None
                    return
            match holder.effects.pop(0):
                case WriteChange(change):
                    self.disks[name].append(change)
                case SendMessage(receiver, message):
                    self.coming.append((name, receiver, message))
                case AnswerRequest((key, owner), answer):
                    self.answers[answer.result] += 1
                    if answer.result == "granted":
                        assert self.granted.setdefault(key, owner) == owner, (
                            f"{key} granted to {self.granted[key]} and {owner}"
                        )

    def step(self) -> None:
        chance = self.chance
        name = chance.choice(self.names)
        holder = self.lives[name]
        draw = chance.random()
        if draw < 0.04:
            if holder is None:
                self.lives[name] = self.kind(name)
                self.lives[name].restore(self.disks[name])
            elif draw < 0.003:
                self.lives[name] = None
            return
        if draw < 0.042 and self.others_are_whole(name):
            # Who lost its disk is another member: under its old name it would be told that it held the part, and believe it.
            self.tokens += 1
            new = f"{name.partition('.')[0]}.{self.tokens}"
            self.names[self.names.index(name)] = new
            self.lives[name], self.lives[new], self.disks[new] = None, self.kind(new), []
            return
        if holder is None:
            return
        if draw < 0.25:
            known = (
                self.agreed[-1]
                if chance.random() < 0.5
                else self.agreed[min(holder.partition(0).view, len(self.agreed) - 1)]
            )
            holder.begin_view(0, *known)
        elif draw < 0.50:
            ident, by = f"i{chance.randrange(40)}", f"c{chance.randrange(4)}"
            holder.reserve(0, 0, ident, by, 1 << 60, (ident, by))
        elif draw < 0.55:
            holder.resend_pending(0)
            if chance.random() < 0.1:
                holder.compare_digests(0)
        elif draw < 0.60:
            if self.next_holders or chance.random() < 0.04:
                self.change()
        elif self.coming:
            source, target, word = self.coming.pop(chance.randrange(len(self.coming)))
            if chance.random() < 0.1:
                return
            if chance.random() < 0.1:
                self.coming.append((source, target, word))
            if self.lives[target] is not None:
                self.lives[target].on_message(source, word)
                name = target
        self.carry_out(name, chance.randrange(4) if chance.random() < 0.03 else None)

    def others_are_whole(self, name: str) -> bool:
        """A disk is lost while another holder of the newest view, or of what is being changed to, has all: that is promised."""
        return any(
            self.lives[n] is not None
            and self.lives[n].partition(0).complete
            and self.lives[n].partition(0).view == self.view
            for n in self.now_holders
            if n != name
        )

    def change(self) -> None:
        """As the leader does: a sealed holder of the newest view brings all to those of the next, which are told to begin once each has
        it. The next view is agreed only then."""
        if not self.next_holders or not set(self.next_holders) <= set(self.names):
            self.next_holders, self.whole_in_next = (
                tuple(self.chance.sample(self.names, COPIES)),
                set(),
            )
        source = next(
            (
                n
                for n in self.now_holders
                if self.lives[n] is not None
                and (
                    self.lives[n].partition(0).sealed
                    and self.lives[n].partition(0).view == self.view
                    or self.lives[n].seal(0, self.view)
                )
            ),
            None,
        )
        if source is None:
            self.next_holders = ()
            return
        self.carry_out(source)
        for name in self.next_holders:
            part = self.lives[name].partition(0) if self.lives[name] is not None else None
            if part is None:
                continue
            if (
                part.view == self.view
                and part.complete
                and name in self.now_holders
                or part.fetched_view == self.view + 1
            ):
                self.whole_in_next.add(name)
            else:
                self.whole_in_next.discard(name)
                self.lives[name].fetch(0, self.view + 1, source)
                self.carry_out(name)
        # A leader that is wrong about who is whole must do no harm: who is not whole knows it.
        if len(self.whole_in_next) == COPIES or self.whole_in_next and self.chance.random() < 0.2:
            self.agree(self.next_holders)
            self.next_holders = ()


def run(seed: int, holder: type[Replica] = Replica) -> World:
    world = World(seed, holder=holder)
    for _ in range(4000):
        world.step()
    return world


def test_an_id_is_granted_to_one_over_crashes_lost_disks_and_changes_of_holders():
    granted = views = 0
    for seed in range(40):
        world = run(seed)
        granted, views = granted + len(world.granted), views + world.view
    assert granted > 300 and views > 200


class AnswersBeforeTheSecondCopy(Primary):
    def record(self, number, partition, record, tokens, now):
        super().record(number, partition, record, [], now)
        self.settle(partition, record, tokens)


class BeforeTheSecondCopy(Replica):
    def __init__(self, member_id):
        super().__init__(member_id)
        self.primary = AnswersBeforeTheSecondCopy(self.state)


class OldViewAccepted(Replica):
    def on_message(self, source, message):
        partition = self.partition(message.partition)
        if isinstance(message, ReplicateRecord):
            message = ReplicateRecord(
                message.partition, partition.view, message.sequence, message.record
            )
            partition.sealed, sealed = False, partition.sealed
            super().on_message(partition.replicas[0] if partition.replicas else source, message)
            partition.sealed = sealed
        else:
            super().on_message(source, message)

    def begin_view(self, number, view, replicas):
        """It does not abandon pending records, either."""
        partition = self.partition(number)
        pending, partition.pending = partition.pending, {}
        super().begin_view(number, view, replicas)
        partition.pending = pending


class BeforeTheFlush(Replica):
    def reserve(self, *args, **kwargs):
        super().reserve(*args, **kwargs)
        self.effects.sort(key=lambda effect: isinstance(effect, WriteChange))

    def on_message(self, *args, **kwargs):
        super().on_message(*args, **kwargs)
        self.effects.sort(key=lambda effect: isinstance(effect, WriteChange))


class EmptyHolderBelieved(Replica):
    def begin_view(self, number, view, replicas):
        super().begin_view(number, view, replicas)
        self.partition(number).complete = self.member_id in replicas


@pytest.mark.parametrize(
    "mistake, seeds",
    [
        (BeforeTheFlush, [126, 135]),
        (BeforeTheSecondCopy, [3, 6]),
        (EmptyHolderBelieved, [0, 5]),
        (OldViewAccepted, [109]),
    ],
)
def test_a_planted_mistake_is_found(mistake, seeds):
    for seed in seeds:
        run(seed)
    with pytest.raises(AssertionError, match="granted to"):
        for seed in seeds:
            run(seed, mistake)


def test_one_that_was_away_for_a_view_is_not_whole_though_it_held_the_part_before():
    away = Replica("b")
    away.fetch(0, 1, "")
    away.begin_view(0, 1, ("a", "b"))
    away.begin_view(0, 3, ("b", "a"))  # the second, in which others granted, it never heard of
    away.effects.clear()
    away.reserve(0, 0, "x", "n1", 10, "t")
    assert away.effects == [
        AnswerRequest("t", ReservationAnswer("again", reason="not the primary of that part now"))
    ]
    restored = Replica("b")
    restored.restore([ViewBegun(0, 1, ("a", "b"), True), ViewBegun(0, 3, ("b", "a"), False)])
    assert not restored.partition(0).complete and not restored.seal(0, 3)


def test_one_that_lost_its_disk_does_not_begin_a_view_that_is_agreed_with_nothing():
    again = Replica("b")  # the same name, an empty folder
    again.begin_view(0, 1, ("b", "a"))
    again.fetch(0, 1, "")
    again.reserve(0, 0, "x", "n1", 10, "t")
    assert (
        not again.partition(0).complete
        and again.effects[-1].answer.result == "again"
        and not again.seal(0, 1)
    )


def test_ids_beyond_the_bound_are_refused_and_none_is_dropped_before_its_time():
    holder = Replica("a", max_records=5)
    holder.fetch(0, 1, "")
    holder.begin_view(0, 1, ("a",))
    for number in range(8):
        holder.reserve(10, 0, f"i{number}", "n1", 20, number)
    kinds = [e.answer.result for e in holder.effects if isinstance(e, AnswerRequest)]
    assert kinds == ["granted"] * 5 + ["refused"] * 3 and holder.record_count == 5
    holder.reserve(21, 0, "late", "n1", 30, 9)
    assert holder.effects[-1].answer.result == "granted" and holder.record_count == 1


def test_what_a_change_of_view_left_at_one_holder_alone_comes_to_all():
    three = [Replica(name) for name in "abc"]
    for holder in three:
        holder.fetch(0, 1, "")
        holder.begin_view(0, 1, ("a", "b", "c"))
        holder.effects.clear()
    primary, with_it, without = three
    primary.reserve(0, 0, "x", "n1", 1 << 50, "t")
    with_it.on_message("a", next(e.message for e in primary.effects[1:] if e.receiver == "b"))
    for holder in three:
        holder.begin_view(
            0, 2, ("c", "b", "a")
        )  # its primary never heard of that claim, nobody was granted it
        holder.effects.clear()
    for _ in range(4):
        without.compare_digests(0)
        for _ in range(20):
            for source in three:
                while source.effects:
                    effect = source.effects.pop(0)
                    if isinstance(effect, SendMessage):
                        receiver = next(h for h in three if h.member_id == effect.receiver)
                        receiver.on_message(source.member_id, effect.message)
    assert [sorted(h.partition(0).records) for h in three] == [["x"]] * 3 and len(
        {tuple(h.partition(0).digests.items()) for h in three}
    ) == 1
    without.reserve(0, 0, "x", "n2", 1 << 50, "t2")
    assert without.effects[-1] == AnswerRequest("t2", ReservationAnswer("held", "n1", "out"))
    before = dict(primary.partition(0).digests)
    primary.state.replace(primary.partition(0), list(primary.partition(0).records.values()))
    assert primary.partition(0).digests == before != {}
    for holder in three:
        holder.expire(1 << 51, holder.partition(0))
        assert not holder.partition(0).records and not holder.partition(0).digests


def test_the_first_has_it_the_same_one_is_told_again_and_how_it_ended_is_kept():
    one, two = Replica("a"), Replica("b")
    for holder in (one, two):
        holder.fetch(0, 1, "")
        holder.begin_view(0, 1, ("a", "b"))
        holder.effects.clear()
    one.reserve(0, 0, "x", "n1", 10, "t1")
    one.reserve(0, 0, "x", "n2", 10, "t2")
    assert one.effects.pop() == AnswerRequest("t2", ReservationAnswer("held", "n1", "out"))
    write, send = one.effects
    assert isinstance(write, WriteChange) and isinstance(send, SendMessage)
    assert send.receiver == "b"
    one.effects.clear()
    one.reserve(0, 0, "x", "n1", 10, "t3")
    assert not one.effects  # not before the copy has it
    two.on_message("a", send.message)
    assert isinstance(two.effects[0], WriteChange) and isinstance(two.effects[1], SendMessage)
    assert two.effects[1].receiver == "a"
    one.on_message("b", two.effects[1].message)
    assert one.effects == [
        AnswerRequest("t1", ReservationAnswer("granted", "n1", "out")),
        AnswerRequest("t3", ReservationAnswer("granted", "n1", "out")),
    ]
    one.effects.clear()
    one.end_reservation(0, "x", "n2", "ran", "t4")
    assert one.effects.pop().answer.result == "refused"
    one.end_reservation(0, "x", "n1", "ran", "t5")
    two.on_message("a", one.effects[1].message)
    one.on_message("b", two.effects[-1].message)
    assert one.effects[-1] == AnswerRequest("t5", ReservationAnswer("held", "n1", "ran"))
    one.reserve(0, 0, "x", "n1", 10, "t6")
    assert one.effects[-1] == AnswerRequest("t6", ReservationAnswer("held", "n1", "ran"))
    assert (
        isinstance(one.partition(0), Partition) and two.partition(0).records["x"].outcome == "ran"
    )


def test_parts_lie_in_as_many_zones_as_there_are_and_who_leaves_takes_only_its_own_along():
    members = {f"m{i}": f"z{i % 4}" for i in range(20)}
    before = {part: choose_replicas(part, members, 3) for part in range(PARTITIONS)}
    assert all(len({members[m] for m in found}) == 3 for found in before.values())
    gone = "m7"
    after = {
        part: choose_replicas(part, {m: z for m, z in members.items() if m != gone}, 3)
        for part in range(PARTITIONS)
    }
    assert all(
        after[part] == before[part] for part in range(PARTITIONS) if gone not in before[part]
    )
    assert choose_replicas(1, {"a": "z", "b": "z"}, 3) in (("a", "b"), ("b", "a"))
    counts = [
        sum(partition_of(f"{i:016x}") == part for i in range(6400)) for part in range(PARTITIONS)
    ]
    assert min(counts) > 50 and max(counts) < 160


def kept(ident: str, until: int = 100) -> RecordStored:
    return RecordStored(0, ReservationRecord(ident, "n1", until, "out"))


def test_what_a_holder_wrote_is_read_back_a_torn_batch_goes_and_damage_counts_as_loss():
    disk = MemoryDisk(Random(1))
    log = RecordLog(disk)
    log.begin("a#1", 1, [])
    log.write([ViewBegun(0, 1, ("a#1",), True), kept("x")], list)
    first = len(disk.files["copies.1"][0])
    log.write([kept("y"), ViewSealed(0, 1)], list)
    whole, inode = disk.files["copies.1"]
    written = RecordLog(disk).load("a#1", (1,), print)
    assert written == [ViewBegun(0, 1, ("a#1",), True), kept("x"), kept("y"), ViewSealed(0, 1)]
    holder = Replica("a#1")
    holder.restore(written)
    assert (
        holder.partition(0).complete
        and holder.partition(0).sealed
        and set(holder.partition(0).records) == {"x", "y"}
    )
    for cut in range(first, len(whole), 7):
        disk.files["copies.1"] = whole[:cut], inode
        assert kept("x") in RecordLog(disk).load("a#1", (1,), lambda text: None)
    for at in range(
        len(whole)
    ):  # one byte wrong anywhere: never believed, and never shortened to what passes for whole
        disk.files["copies.1"] = whole[:at] + bytes([whole[at] ^ 0x41]) + whole[at + 1 :], inode
        with pytest.raises(DataLostError):
            RecordLog(disk).load("a#1", (1,), print)
    disk.files["copies.1"] = whole, inode
    for member, boots in (("a#2", (1,)), ("a#1", (2,))):
        with pytest.raises(DataLostError, match="not of a#"):
            RecordLog(disk).load(member, boots, print)


def test_files_go_once_all_in_them_has_been_held_for_its_time_and_a_failed_flush_ends_the_log(
    monkeypatch,
):
    monkeypatch.setattr(store, "SEGMENT_BYTES", 200)
    disk = MemoryDisk(Random(1))
    log, holder = RecordLog(disk), Replica("a#1")
    holder.fetch(0, 1, "")
    holder.begin_view(0, 1, ("a#1",))
    log.begin("a#1", 1, [])
    for until in range(1, 41):
        holder.reserve(0, 0, f"i{until}", "n1", until, None)
        changes = [e.change for e in holder.effects if isinstance(e, WriteChange)]
        log.write(changes, holder.statuses)
        holder.effects.clear()
    assert len(log.numbers()) > 5
    log.drop_expired(30)
    again = Replica("a#1")
    again.restore(RecordLog(disk).load("a#1", (1,), print))
    assert {f"i{n}" for n in range(30, 41)} <= set(
        again.partition(0).records
    ) and "i1" not in again.partition(0).records
    assert again.partition(0).complete and again.partition(0).replicas == ("a#1",)
    disk.failing = True
    with pytest.raises(OSError):
        log.write([kept("z")], holder.statuses)
    disk.failing = False
    with pytest.raises(OSError, match="an earlier write failed"):
        log.write([kept("z")], holder.statuses)


class Trio:
    """Three drivers on disks in memory, words between them carried at once, one clock."""

    def __init__(self):
        self.now, self.names, self.told = 0, ["a#1", "b#1", "c#1"], []
        self.disks = {name: MemoryDisk(Random(name)) for name in self.names}
        self.copies: dict[str, ReplicationThread] = {}
        for name in self.names:
            self.start(name, 1)
        for name in self.names:
            self.copies[name].put(
                MessagesReceived("a#1", [FetchPartition(part, 1, "") for part in range(PARTITIONS)])
            )
        self.turn()
        for name in self.names:
            self.place(name)
        self.turn()

    def start(self, name: str, boot: int) -> None:
        self.copies[name] = ReplicationThread(
            self.disks[name],
            lambda: self.now,
            lambda: self.now + 10**18,
            lambda to, batch: self.copies[to].put(MessagesReceived(name, batch.messages)),
            lambda words: None,
            lambda holds: self.told.append((name, holds)),
        )
        self.copies[name].put(IdentityAssigned(name, boot))

    def place(self, name: str) -> None:
        self.copies[name].put(
            ViewsAgreed({part: (1, tuple(self.names)) for part in range(PARTITIONS)})
        )

    def turn(self, seconds: float = 0.0) -> None:
        until = self.now + int(seconds * 10**9)
        while True:
            for _ in range(12):
                for one in self.copies.values():
                    events = []
                    while not one.queue.empty():
                        events.append(one.queue.get())
                    one.turn(events)
            if self.now >= until:
                return
            self.now += 10**8

    def claim(self, name: str, ident: str) -> list:
        told: list = []
        self.copies[name].put(
            ReservationRequested(
                ident,
                10**12,
                self.now + 10**9 // 2,
                lambda answer, by: told.append((answer.result, answer.owner)),
            )
        )
        self.turn()
        return told


def test_a_copy_whose_disk_fails_is_no_holder_until_it_has_read_all_anew():
    trio = Trio()
    assert trio.claim("b#1", "x")[0][0] == "granted" and trio.claim("c#1", "x")[0][0] == "held"
    trio.disks["c#1"].failing = True
    told = trio.claim("b#1", "y")
    assert told == [] and trio.told[-1] == ("c#1", False)  # not before every copy has it
    trio.turn(1.0)
    assert told == [("refused", "")]  # in time, whatever the holders do
    trio.disks["c#1"].failing = False
    trio.turn(2.0)
    assert trio.told[-1] == ("c#1", True)
    assert (
        "x" in trio.copies["c#1"].replica.partition(partition_of("x")).records
        and trio.copies["c#1"].replica.partition(partition_of("x")).complete
    )
    assert trio.claim("a#1", "z")[0][0] == "granted"
    trio.turn(6.0)
    told = [[p[1:4] + p[6:] for p in one.status()["parts"]] for one in trio.copies.values()]
    assert told[0] == told[1] == told[2]
    trio.start("c#1", 2)  # what was cut off once is no damage at the next start
    trio.place("c#1")
    trio.turn()
    assert (
        trio.copies["c#1"].replica.partition(partition_of("x")).complete
        and not trio.copies["c#1"].counts["lost"]
    )


def test_a_fault_in_the_program_leaves_nothing_in_memory_that_is_not_on_disk(monkeypatch):
    trio = Trio()
    one = trio.copies["a#1"]
    one.put(MessagesReceived("b#1", [ReserveKey(1, partition_of("x"), "x", "b#1/1.1", 10**12)]))

    def faulty(*words):
        one.over.set()  # the run below ends after this turn
        raise ValueError("a fault")

    monkeypatch.setattr(one.log, "write", faulty)
    one.run()
    assert not one.healthy and not one.replica.partitions
    assert trio.copies["b#1"].queue.empty()  # no word of what was never flushed


def test_a_restart_finds_what_was_flushed_and_files_of_another_start_or_damaged_count_as_lost():
    trio = Trio()
    trio.claim("a#1", "x")
    for boot, damage, whole in ((2, False, True), (9, False, False), (10, True, False)):
        if damage:
            file = max(name for name in trio.disks["b#1"].files if name.startswith("copies."))
            data, inode = trio.disks["b#1"].files[file]
            trio.disks["b#1"].files[file] = data[:40] + bytes([data[40] ^ 1]) + data[41:], inode
        trio.start("b#1", boot)
        trio.place("b#1")
        trio.turn()
        part = trio.copies["b#1"].replica.partition(partition_of("x"))
        assert part.complete is whole and ("x" in part.records) is whole, boot
        assert trio.copies["b#1"].counts["lost"] == (not whole)


def test_holders_are_compared_by_what_none_of_them_is_about_to_forget():
    """Each forgets by its own clock, once a second: on a busy fleet there is always one that has and one that has not."""

    def local(soon, sums, view=3):
        return {"soon": soon, "parts": [[7, view, True, False, len(sums), 0, sums]]}

    parts = [[7, 3, ["a#1", "b#1"]]]
    assert (
        client.differing_replicas(
            parts, {"a#1": local(10, {"11": "x", "12": "y"}), "b#1": local(11, {"12": "y"})}
        )
        == []
    )
    assert (
        len(
            client.differing_replicas(
                parts, {"a#1": local(10, {"11": "x", "12": "y"}), "b#1": local(10, {"12": "y"})}
            )
        )
        == 1
    )
    assert (
        len(
            client.differing_replicas(
                parts, {"a#1": local(10, {"12": "y"}), "b#1": local(11, {"12": "z"})}
            )
        )
        == 1
    )
    assert (
        len(
            client.differing_replicas(
                parts, {"a#1": local(10, {"12": "y"}), "b#1": local(10, {"12": "y"}, 2)}
            )
        )
        == 1
    )
    assert len(client.differing_replicas(parts, {"a#1": local(10, {"12": "y"})})) == 1
