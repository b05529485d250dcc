"""Claims and their holders: random runs with lost words, crashes and lost disks against one rule, an id is granted to one."""

from random import Random

import pytest

from cypresswalk.copies import store
from cypresswalk.copies.driver import ReplicationThread
from cypresswalk.copies.messages import (
    FetchPartition,
    RecordStored,
    ReplicateRecord,
    ReservationRecord,
    ReserveKey,
    ViewBegun,
    ViewSealed,
)
from cypresswalk.copies.placement import PARTS, holders, partition_of
from cypresswalk.copies.replica import Partition, Replica, ReservationAnswer
from cypresswalk.copies.store import DataLostError, RecordLog
from cypresswalk.fleet import client
from cypresswalk.lab.together.virtual import MemoryDisk

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
            self.lives[name].bring(0, 1, "")
            self.carry_out(name)
        self.agree(tuple(self.names[:COPIES]))

    def agree(self, chosen: tuple) -> None:
        self.view, self.now_holders = self.view + 1, chosen
        self.agreed.append((self.view, chosen))

    def carry_out(self, name: str, die_after: int | None = None) -> None:
        """The owner's work in its order; the process may die in the middle."""
        holder = self.lives[name]
        while holder.out:
            if die_after is not None:
                die_after -= 1
                if die_after < 0:
                    self.lives[name] = None
                    return
            what, *rest = holder.out.pop(0)
            if what == "write":
                self.disks[name].append(rest[0])
            elif what == "send":
                self.coming.append((name, *rest))
            elif what == "answer":
                (ident, by), answer = rest
                self.answers[answer.kind] += 1
                if answer.kind == "granted":
                    assert self.granted.setdefault(ident, by) == by, (
                        f"{ident} granted to {self.granted[ident]} and {by}"
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
                else self.agreed[min(holder.part(0).view, len(self.agreed) - 1)]
            )
            holder.begin(0, *known)
        elif draw < 0.50:
            ident, by = f"i{chance.randrange(40)}", f"c{chance.randrange(4)}"
            holder.claim(0, 0, ident, by, 1 << 60, (ident, by))
        elif draw < 0.55:
            holder.again(0)
            if chance.random() < 0.1:
                holder.compare(0)
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
                self.lives[target].heard(source, word)
                name = target
        self.carry_out(name, chance.randrange(4) if chance.random() < 0.03 else None)

    def others_are_whole(self, name: str) -> bool:
        """A disk is lost while another holder of the newest view, or of what is being changed to, has all: that is promised."""
        return any(
            self.lives[n] is not None
            and self.lives[n].part(0).whole
            and self.lives[n].part(0).view == self.view
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
                    self.lives[n].part(0).sealed
                    and self.lives[n].part(0).view == self.view
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
            part = self.lives[name].part(0) if self.lives[name] is not None else None
            if part is None:
                continue
            if (
                part.view == self.view
                and part.whole
                and name in self.now_holders
                or part.brought == self.view + 1
            ):
                self.whole_in_next.add(name)
            else:
                self.whole_in_next.discard(name)
                self.lives[name].bring(0, self.view + 1, source)
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


class BeforeTheSecondCopy(Replica):
    def record(self, number, part, record, tokens, at):
        super().record(number, part, record, [], at)
        self.settle(part, record, tokens)


class OldViewAccepted(Replica):
    def heard(self, source, word):
        part = self.part(word.part)
        if isinstance(word, ReplicateRecord):
            word = ReplicateRecord(word.part, part.view, word.number, word.record)
            part.sealed, sealed = False, part.sealed
            super().heard(part.holders[0] if part.holders else source, word)
            part.sealed = sealed
        else:
            super().heard(source, word)

    def begin(self, number, view, holders):
        """It does not give up what waits, either."""
        part = self.part(number)
        waiting, part.waiting = part.waiting, {}
        super().begin(number, view, holders)
        part.waiting = waiting


class BeforeTheFlush(Replica):
    def claim(self, *words, **more):
        super().claim(*words, **more)
        self.out.sort(key=lambda item: item[0] == "write")

    def heard(self, *words, **more):
        super().heard(*words, **more)
        self.out.sort(key=lambda item: item[0] == "write")


class EmptyHolderBelieved(Replica):
    def begin(self, number, view, holders):
        super().begin(number, view, holders)
        self.part(number).whole = self.me in holders


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
    away.bring(0, 1, "")
    away.begin(0, 1, ("a", "b"))
    away.begin(0, 3, ("b", "a"))  # the second, in which others granted, it never heard of
    away.out.clear()
    away.claim(0, 0, "x", "n1", 10, "t")
    assert away.out == [
        ("answer", "t", ReservationAnswer("again", why="not the primary of that part now"))
    ]
    restored = Replica("b")
    restored.restore([ViewBegun(0, 1, ("a", "b"), True), ViewBegun(0, 3, ("b", "a"), False)])
    assert not restored.part(0).whole and not restored.seal(0, 3)


def test_one_that_lost_its_disk_does_not_begin_a_view_that_is_agreed_with_nothing():
    again = Replica("b")  # the same name, an empty folder
    again.begin(0, 1, ("b", "a"))
    again.bring(0, 1, "")
    again.claim(0, 0, "x", "n1", 10, "t")
    assert not again.part(0).whole and again.out[-1][2].kind == "again" and not again.seal(0, 1)


def test_ids_beyond_the_bound_are_refused_and_none_is_dropped_before_its_time():
    holder = Replica("a", most=5)
    holder.bring(0, 1, "")
    holder.begin(0, 1, ("a",))
    for number in range(8):
        holder.claim(10, 0, f"i{number}", "n1", 20, number)
    kinds = [item[2].kind for item in holder.out if item[0] == "answer"]
    assert kinds == ["granted"] * 5 + ["refused"] * 3 and holder.held == 5
    holder.claim(21, 0, "late", "n1", 30, 9)
    assert holder.out[-1][2].kind == "granted" and holder.held == 1


def test_what_a_change_of_view_left_at_one_holder_alone_comes_to_all():
    three = [Replica(name) for name in "abc"]
    for holder in three:
        holder.bring(0, 1, "")
        holder.begin(0, 1, ("a", "b", "c"))
        holder.out.clear()
    primary, with_it, without = three
    primary.claim(0, 0, "x", "n1", 1 << 50, "t")
    with_it.heard("a", next(word for what, to, word in primary.out[1:] if to == "b"))
    for holder in three:
        holder.begin(
            0, 2, ("c", "b", "a")
        )  # its primary never heard of that claim, nobody was granted it
        holder.out.clear()
    for _ in range(4):
        without.compare(0)
        for _ in range(20):
            for source in three:
                while source.out:
                    what, *rest = source.out.pop(0)
                    if what == "send":
                        next(h for h in three if h.me == rest[0]).heard(source.me, rest[1])
    assert [sorted(h.part(0).records) for h in three] == [["x"]] * 3 and len(
        {tuple(h.part(0).sums.items()) for h in three}
    ) == 1
    without.claim(0, 0, "x", "n2", 1 << 50, "t2")
    assert without.out[-1] == ("answer", "t2", ReservationAnswer("held", "n1", "out"))
    before = dict(primary.part(0).sums)
    primary.replace(primary.part(0), list(primary.part(0).records.values()))
    assert primary.part(0).sums == before != {}
    for holder in three:
        holder.forget(1 << 51, holder.part(0))
        assert not holder.part(0).records and not holder.part(0).sums


def test_the_first_has_it_the_same_one_is_told_again_and_how_it_ended_is_kept():
    one, two = Replica("a"), Replica("b")
    for holder in (one, two):
        holder.bring(0, 1, "")
        holder.begin(0, 1, ("a", "b"))
        holder.out.clear()
    one.claim(0, 0, "x", "n1", 10, "t1")
    one.claim(0, 0, "x", "n2", 10, "t2")
    assert one.out.pop() == ("answer", "t2", ReservationAnswer("held", "n1", "out"))
    write, (_, to, copy) = one.out
    assert write[0] == "write" and to == "b"
    one.out.clear()
    one.claim(0, 0, "x", "n1", 10, "t3")
    assert not one.out  # not before the copy has it
    two.heard("a", copy)
    assert two.out[0][0] == "write" and two.out[1][:2] == ("send", "a")
    one.heard("b", two.out[1][2])
    assert one.out == [
        ("answer", "t1", ReservationAnswer("granted", "n1", "out")),
        ("answer", "t3", ReservationAnswer("granted", "n1", "out")),
    ]
    one.out.clear()
    one.ended(0, 0, "x", "n2", "ran", "t4")
    assert one.out.pop()[2].kind == "refused"
    one.ended(0, 0, "x", "n1", "ran", "t5")
    two.heard("a", one.out[1][2])
    one.heard("b", two.out[-1][2])
    assert one.out[-1] == ("answer", "t5", ReservationAnswer("held", "n1", "ran"))
    one.claim(0, 0, "x", "n1", 10, "t6")
    assert one.out[-1] == ("answer", "t6", ReservationAnswer("held", "n1", "ran"))
    assert isinstance(one.part(0), Partition) and two.part(0).records["x"].how == "ran"


def test_parts_lie_in_as_many_zones_as_there_are_and_who_leaves_takes_only_its_own_along():
    members = {f"m{i}": f"z{i % 4}" for i in range(20)}
    before = {part: holders(part, members, 3) for part in range(PARTS)}
    assert all(len({members[m] for m in found}) == 3 for found in before.values())
    gone = "m7"
    after = {
        part: holders(part, {m: z for m, z in members.items() if m != gone}, 3)
        for part in range(PARTS)
    }
    assert all(after[part] == before[part] for part in range(PARTS) if gone not in before[part])
    assert holders(1, {"a": "z", "b": "z"}, 3) in (("a", "b"), ("b", "a"))
    counts = [sum(partition_of(f"{i:016x}") == part for i in range(6400)) for part in range(PARTS)]
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
        holder.part(0).whole and holder.part(0).sealed and set(holder.part(0).records) == {"x", "y"}
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
    monkeypatch.setattr(store, "SEGMENT", 200)
    disk = MemoryDisk(Random(1))
    log, holder = RecordLog(disk), Replica("a#1")
    holder.bring(0, 1, "")
    holder.begin(0, 1, ("a#1",))
    log.begin("a#1", 1, [])
    for until in range(1, 41):
        holder.claim(0, 0, f"i{until}", "n1", until, None)
        log.write([value for what, value, *_ in holder.out if what == "write"], holder.stands)
        holder.out.clear()
    assert len(log.numbers()) > 5
    log.drop(30)
    again = Replica("a#1")
    again.restore(RecordLog(disk).load("a#1", (1,), print))
    assert {f"i{n}" for n in range(30, 41)} <= set(
        again.part(0).records
    ) and "i1" not in again.part(0).records
    assert again.part(0).whole and again.part(0).holders == ("a#1",)
    disk.failing = True
    with pytest.raises(OSError):
        log.write([kept("z")], holder.stands)
    disk.failing = False
    with pytest.raises(OSError, match="an earlier write failed"):
        log.write([kept("z")], holder.stands)


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
                "words", "a#1", [FetchPartition(part, 1, "") for part in range(PARTS)]
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
            lambda to, bundle: self.copies[to].put("words", name, bundle.words),
            lambda words: None,
            lambda holds: self.told.append((name, holds)),
        )
        self.copies[name].put("identity", name, boot)

    def place(self, name: str) -> None:
        self.copies[name].put("placed", {part: (1, tuple(self.names)) for part in range(PARTS)})

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
            "claim",
            ident,
            10**12,
            self.now + 10**9 // 2,
            lambda answer, by: told.append((answer.kind, answer.by)),
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
        "x" in trio.copies["c#1"].holder.part(partition_of("x")).records
        and trio.copies["c#1"].holder.part(partition_of("x")).whole
    )
    assert trio.claim("a#1", "z")[0][0] == "granted"
    trio.turn(6.0)
    told = [[p[1:4] + p[6:] for p in one.told()["parts"]] for one in trio.copies.values()]
    assert told[0] == told[1] == told[2]
    trio.start("c#1", 2)  # what was cut off once is no damage at the next start
    trio.place("c#1")
    trio.turn()
    assert (
        trio.copies["c#1"].holder.part(partition_of("x")).whole
        and not trio.copies["c#1"].counts["lost"]
    )


def test_a_fault_in_the_program_leaves_nothing_in_memory_that_is_not_on_disk(monkeypatch):
    trio = Trio()
    one = trio.copies["a#1"]
    one.put("words", "b#1", [ReserveKey(1, partition_of("x"), "x", "b#1/1.1", 10**12)])

    def faulty(*words):
        one.over.set()  # the run below ends after this turn
        raise ValueError("a fault")

    monkeypatch.setattr(one.log, "write", faulty)
    one.run()
    assert not one.sound and not one.holder.parts
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
        part = trio.copies["b#1"].holder.part(partition_of("x"))
        assert part.whole is whole and ("x" in part.records) is whole, boot
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
