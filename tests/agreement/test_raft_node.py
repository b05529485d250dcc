"""Raft nodes without a host: proposals, membership changes and commitment of older terms."""

from random import Random

import agreement_mutants
import pytest

from cypresswalk.agreement.errors import (
    BusyError,
    LogDivergedError,
)
from cypresswalk.agreement.log import Snapshot
from cypresswalk.agreement.member_state import Role
from cypresswalk.agreement.messages import AppendEntries, Member
from cypresswalk.agreement.node import Node
from cypresswalk.agreement.ready import PersistentState
from cypresswalk.agreement.timing import Timing
from cypresswalk.lab.cluster.virtual import SECOND


def node(entries: int = 0) -> Node:
    member = (Member("a#1", True),)
    made = Node(
        "a#1",
        PersistentState(Snapshot(0, 0, member, b"")),
        Timing(max_uncommitted_entries=8),
        Random(1),
        0,
    )
    made.tick(made.due())
    while (work := made.take_ready()) is not None:
        made.on_persisted(0, work)
    return made


def test_what_waits_to_be_agreed_has_a_bound_and_a_change_needs_an_agreed_entry_of_the_term():
    made = node()
    made.state.durable_index = 1 << 40  # nothing is written, so nothing is agreed
    for _ in range(8):
        made.propose(0, b"x")
    with pytest.raises(BusyError, match="too much"):
        made.propose(0, b"x")
    with pytest.raises(BusyError, match="not the leader"):
        Node(
            "b#1",
            PersistentState(Snapshot(0, 0, (Member("a#1", True),), b"")),
            Timing(),
            Random(1),
            0,
        ).propose(0, b"x")
    with pytest.raises(ValueError):
        made.change_membership(0, (Member("a#1", True), Member("b#1", True), Member("c#1", True)))


class Five:
    """Nodes alone, words carried by hand: for a case that takes more luck than random runs have."""

    def __init__(self):
        members = tuple(Member(name, True) for name in "abcde")
        self.nodes = {
            name: Node(
                name,
                PersistentState(Snapshot(0, 0, members, b"")),
                Timing(max_append_entries=1),
                Random(name),
                0,
            )
            for name in "abcde"
        }
        self.now = 0

    def pump(self, names: str, passes=lambda source, target, word: True) -> None:
        while any([self.step(name, names, passes) for name in names]):
            pass

    def step(self, name: str, names: str, passes) -> bool:
        work = self.nodes[name].take_ready()
        if work is None:
            return False
        self.nodes[name].on_persisted(self.now, work)
        for target, word in work.messages:
            if target in names and passes(name, target, word):
                self.nodes[target].step(self.now, name, word)
        return True

    def elect(self, name: str, names: str, passes=lambda source, target, word: True) -> None:
        for _ in range(6):
            self.now += 10 * SECOND
            self.nodes[name].state.due_at = self.now
            self.nodes[name].tick(self.now)
            self.pump(names, passes)
            if self.nodes[name].role is Role.LEADER:
                return
        raise AssertionError(f"{name} was not elected")


def an_entry_of_an_older_term(five: Five) -> tuple[int, int, bool]:
    """Figure 8 of the Raft paper: what a leader of an older term left at most voters is overwritten all the same."""
    five.elect("a", "abcde")
    index, _ = five.nodes["a"].propose(five.now, b"x")
    five.pump("ab")
    five.elect("e", "cde", lambda source, target, word: not isinstance(word, AppendEntries))
    later = five.nodes["a"].term + 2

    def without_its_own(source, target, word):
        return not (
            isinstance(word, AppendEntries) and any(entry.term >= later for entry in word.entries)
        )

    five.elect("a", "abc", without_its_own)
    for _ in range(8):
        five.now += SECOND // 5
        five.nodes["a"].tick(five.now)
        five.pump("abc", without_its_own)
    assert five.nodes["a"].role is Role.LEADER and five.nodes["c"].log.term_at(index) == 1
    counted = five.nodes["a"].commit_index
    five.elect("e", "bcde")
    five.pump("bcde")
    same = five.nodes["e"].log.term_at(index) == five.nodes["a"].log.term_at(index)
    return index, counted, same


def test_what_an_older_term_left_is_agreed_only_under_an_entry_of_this_one(monkeypatch):
    index, counted, same = an_entry_of_an_older_term(Five())
    assert counted < index and not same
    agreement_mutants.older_term_committed_by_count(monkeypatch)
    with pytest.raises(
        LogDivergedError, match=f"entry {index} of term 1 is agreed, the leader of term"
    ):
        an_entry_of_an_older_term(Five())  # agreed, and then something else
