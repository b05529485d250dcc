"""Placement of replicas: the leader's part with real replicas, and no time but what is handed in."""

from random import Random

from cypresswalk.agreement.messages import Member
from cypresswalk.copies.effects import AnswerRequest, SendMessage, TellLeader
from cypresswalk.copies.messages import PartitionFetched, PartitionSealed, ReplicaSlow
from cypresswalk.copies.placement import PARTITIONS
from cypresswalk.copies.replica import Replica
from cypresswalk.fleet.replica_placement import MAX_MAKING_UP, SECOND, ReplicaPlacement


class Tier:
    """Members with holders, an agreed state, and a leader that tends it five times a second. Words take no time."""

    def __init__(self, names: int = 5, copies: int = 3, least: int = 2):
        self.members = tuple(Member(f"m{i}#1", i < 3, "", f"z{i % 3}") for i in range(names))
        self.holders = {m.id: Replica(m.id) for m in self.members}
        self.dead: set[str] = set()
        self.views: dict = {}
        self.left: list[str] = []
        self.placing, self.now, self.copies, self.least = (
            ReplicaPlacement("m0#1", copies, least),
            0,
            copies,
            least,
        )
        self.answers: list = []
        self.tell()

    def tell(self) -> None:
        for m in self.members:
            self.placing.on_capability(m.id, True)

    def new_leader(self) -> None:
        self.placing = ReplicaPlacement("m1#1", self.copies, self.least)
        self.placing.reset(self.now)
        self.tell()

    def carry(self, name: str) -> None:
        holder = self.holders[name]
        while holder.effects:
            match holder.effects.pop(0):
                case TellLeader(message):
                    self.placing.on_message(self.now, name, message, self.views)
                case AnswerRequest(_, answer):
                    self.answers.append(answer.result)
                case SendMessage(to, message) if to not in self.dead:
                    if isinstance(message, PartitionSealed | PartitionFetched):
                        self.placing.on_message(self.now, name, message, self.views)
                    else:
                        self.holders[to].on_message(name, message)
                        self.carry(to)

    def look(self, seconds: float = 0.2, longest: int = 60 * SECOND) -> None:
        for _ in range(round(seconds * 5)):
            self.now += SECOND // 5
            proposals, sends = self.placing.next_steps(
                self.now, self.members, self.views, self.left, lambda i: i not in self.dead, longest
            )
            for to, word in sends:
                if to not in self.dead:
                    self.holders[to].on_message("m0#1", word) if not isinstance(
                        word, PartitionSealed
                    ) else None
                    effects = self.holders[to].effects
                    for effect in [o for o in effects if isinstance(o, SendMessage)]:
                        if isinstance(effect.message, PartitionSealed | PartitionFetched):
                            self.placing.on_message(self.now, to, effect.message, self.views)
                            effects.remove(effect)
                    self.carry(to)
            for part, (view, there) in proposals.items():
                assert view == self.views.get(part, (0,))[0] + 1 and len(there) >= self.least
                self.views[part] = view, there
                for name, holder in self.holders.items():
                    if name not in self.dead:
                        holder.begin_view(part, view, there)
                        self.carry(name)
            self.sound()
            for name, holder in self.holders.items():
                for part, (view, there) in self.views.items() if name not in self.dead else ():
                    if (
                        name in there
                        and holder.partition(part).view == view
                        and not holder.partition(part).complete
                    ):
                        self.placing.on_message(
                            self.now, name, ReplicaSlow(part, view, name), self.views
                        )

    def sound(self) -> None:
        """Whoever holds a newest view whole has all that was granted there."""
        for part, (view, there) in self.views.items():
            whole = [
                set(h.partition(part).records)
                for n, h in self.holders.items()
                if n in there
                and h.partition(part).complete
                and h.partition(part).view == view
                and n not in self.dead
            ]
            assert all(records >= self.granted.get(part, set()) for records in whole)

    def back(self) -> None:
        """All live again and have read what was agreed meanwhile."""
        self.dead.clear()
        for name, holder in self.holders.items():
            for part, place in self.views.items():
                holder.begin_view(part, *place)
            self.carry(name)

    granted: dict[int, set[str]] = {}

    def claim_all(self, ident: str) -> None:
        self.granted = {part: set(ids) for part, ids in self.granted.items()}
        for part, (_, there) in self.views.items():
            if there[0] not in self.dead:
                before = len(self.answers)
                self.holders[there[0]].reserve(0, part, ident, "c", 1 << 62, None)
                self.carry(there[0])
                if self.answers[before:] == ["granted"]:
                    self.granted.setdefault(part, set()).add(ident)

    def copies_whole(self) -> dict[int, int]:
        return {
            part: sum(
                self.holders[n].partition(part).complete and n not in self.dead for n in there
            )
            for part, (_, there) in self.views.items()
        }


def test_each_part_lies_at_three_in_as_many_zones_and_is_made_up_elsewhere_when_holders_die():
    tier = Tier()
    tier.look(2)
    assert len(tier.views) == PARTITIONS and set(tier.copies_whole().values()) == {3}
    tier.claim_all("x")
    assert len(tier.granted) == PARTITIONS
    tier.dead.add("m1#1")
    tier.claim_all("y")  # parts that lay there grant nothing now
    tier.look(0.8)
    tier.claim_all(
        "z"
    )  # and do again at once, with two copies, but for the few that are being made up
    assert sum("z" in ids for ids in tier.granted.values()) >= PARTITIONS - MAX_MAKING_UP
    tier.look(15)
    assert set(tier.copies_whole().values()) == {3} and not any(
        "m1#1" in there for _, there in tier.views.values()
    )
    tier.dead.add("m2#1")
    tier.look(15)
    assert set(tier.copies_whole().values()) == {3} and all(
        "x" in ids for ids in tier.granted.values()
    )
    assert not tier.placing.lacking and not tier.placing.lost
    tier.dead.add("m3#1")  # two are left: fewer than asked for, and enough
    tier.look(5)
    tier.claim_all("w")
    assert (
        sum("w" in ids for ids in tier.granted.values()) == PARTITIONS
        and len(tier.placing.lacking) == PARTITIONS
    )
    tier.dead.add("m4#1")  # one alone grants nothing
    tier.look(20)
    tier.claim_all("v")
    assert not any("v" in ids for ids in tier.granted.values())
    tier.back()  # all, with their disks
    tier.look(20)
    assert set(tier.copies_whole().values()) == {3} and not tier.placing.unreachable


def test_a_holder_that_lost_its_files_is_filled_again_and_never_believed_meanwhile():
    tier = Tier(3)
    tier.look(2)
    tier.claim_all("x")
    tier.holders["m2#1"] = Replica("m2#1")  # the same name with an empty folder
    for part, (view, there) in tier.views.items():
        tier.holders["m2#1"].begin_view(part, view, there)
    tier.look(15)
    assert set(tier.copies_whole().values()) == {3}
    assert all("x" in tier.holders["m2#1"].partition(part).records for part in range(PARTITIONS))


def test_another_leader_goes_on_with_what_one_left_sealed():
    tier = Tier(3)
    tier.look(2)
    for part, (view, there) in tier.views.items():
        assert tier.holders[there[0]].seal(part, view)
        tier.holders[there[0]].effects.clear()
    tier.new_leader()
    for part, (view, there) in tier.views.items():
        tier.placing.on_message(
            tier.now, there[0], PartitionSealed(part, view, True), tier.views
        )  # told until the next view begins
    tier.look(3)
    tier.claim_all("x")
    assert len(tier.granted) == PARTITIONS


def test_a_part_without_any_copy_is_said_refused_and_begins_anew_only_after_the_longest_time():
    tier = Tier(4)
    tier.look(2)
    tier.claim_all("x")
    for name in (
        "m1#1",
        "m2#1",
        "m3#1",
    ):  # three machines go with their disks, and come back under new incarnations
        tier.dead.add(name)
    tier.members = (tier.members[0], *(Member(f"m{i}#2", True, "", f"z{i % 3}") for i in (1, 2, 3)))
    for m in tier.members[1:]:
        tier.holders[m.id] = Replica(m.id)
    tier.tell()
    gone = {part for part, (_, there) in tier.views.items() if "m0#1" not in there}
    assert gone and len(gone) < PARTITIONS
    tier.look(40)
    assert set(tier.placing.lost) == gone
    tier.granted = {
        part: ids for part, ids in tier.granted.items() if part not in gone
    }  # what it knew may run again: nobody knows
    tier.claim_all("y")
    assert not any("y" in tier.granted.get(part, ()) for part in gone) and len(
        tier.granted
    ) == PARTITIONS - len(gone)
    tier.look(30)
    tier.claim_all("z")
    assert all("z" in tier.granted[part] for part in range(PARTITIONS)) and not tier.placing.lost


def test_who_leaves_is_relieved_first_and_who_joins_takes_over_a_part():
    tier = Tier(4)
    tier.look(2)
    tier.claim_all("x")
    tier.left = ["m3"]
    tier.look(20)
    assert not any("m3#1" in there for _, there in tier.views.values()) and set(
        tier.copies_whole().values()
    ) == {3}
    tier.left = []
    tier.look(20)
    assert sum("m3#1" in there for _, there in tier.views.values()) > PARTITIONS // 3
    assert set(tier.copies_whole().values()) == {3} and len(tier.granted) == PARTITIONS


def test_random_deaths_and_returns_lose_nothing_that_a_holder_kept():
    for seed in range(4):
        chance, tier = Random(seed), Tier(6)
        tier.look(2)
        for step in range(60):
            name = chance.choice(tier.members).id
            if name in tier.dead:
                tier.dead.discard(name)
                for part, place in tier.views.items():
                    tier.holders[name].begin_view(part, *place)
                tier.carry(name)
            elif len(tier.dead) < 2:
                tier.dead.add(name)
            tier.look(chance.choice((0.2, 0.6, 3)))
            tier.claim_all(f"i{step}")
            if chance.random() < 0.1:
                tier.new_leader()
        tier.back()
        tier.look(30)
        assert set(tier.copies_whole().values()) == {3}, seed
