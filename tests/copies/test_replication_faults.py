"""Replicas under lost messages, crashes and lost disks, drawn by seed: a key is granted to one client."""

from random import Random

import pytest

from cypresswalk.copies.effects import AnswerRequest, SendMessage, WriteChange
from cypresswalk.copies.messages import (
    ReplicateRecord,
)
from cypresswalk.copies.primary import Primary
from cypresswalk.copies.replica import Replica

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
