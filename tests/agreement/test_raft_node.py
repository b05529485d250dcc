"""Raft nodes without a host: proposals, membership changes and commitment of older terms."""

from dataclasses import dataclass
from random import Random

import agreement_mutants
import pytest
from agreement_helpers import FiveNodes, elected_single_node, initial_state

from cypresswalk.agreement.errors import BusyError, LogDivergedError
from cypresswalk.agreement.member_state import Role
from cypresswalk.agreement.messages import AppendEntries, Member, Message
from cypresswalk.agreement.node import Node
from cypresswalk.agreement.timing import Timing
from cypresswalk.model import SECOND

# Durable index after all entries, so that no entry is handed out for writing or committed.
INDEX_AFTER_ALL_ENTRIES = 1 << 40


def test_rejects_proposals_beyond_the_limit_of_uncommitted_entries():
    node = elected_single_node()
    node.state.durable_index = INDEX_AFTER_ALL_ENTRIES
    for _ in range(8):
        node.propose(0, b"x")
    with pytest.raises(BusyError, match="too many uncommitted"):
        node.propose(0, b"x")


def test_rejects_proposals_at_a_follower():
    state = initial_state((Member("a#1", True),))
    follower = Node("b#1", state, Timing(), Random(1), 0)
    with pytest.raises(BusyError, match="not the leader"):
        follower.propose(0, b"x")


def test_rejects_a_membership_change_of_more_than_one_voter():
    node = elected_single_node()
    node.state.durable_index = INDEX_AFTER_ALL_ENTRIES
    for _ in range(8):
        node.propose(0, b"x")
    members = (Member("a#1", True), Member("b#1", True), Member("c#1", True))
    with pytest.raises(ValueError):
        node.change_membership(0, members)


def test_rejects_a_membership_change_before_an_entry_of_its_term_is_committed():
    """Otherwise two leaders could change the members, each with a majority of its own."""

    def without_entries(source: str, target: str, message: Message) -> bool:
        return not isinstance(message, AppendEntries) or not message.entries

    group = FiveNodes()
    group.elect("a", "abcde", without_entries)
    leader = group.nodes["a"]
    assert leader.role is Role.LEADER
    members = (*leader.log.members, Member("f", False))
    with pytest.raises(BusyError, match="has not committed an entry of its term"):
        leader.change_membership(group.now, members)
    for _ in range(8):
        group.now += SECOND // 5
        leader.tick(group.now)
        group.run_until_idle("abcde")
    index, _ = leader.change_membership(group.now, members)
    group.run_until_idle("abcde")
    assert leader.commit_index >= index


@dataclass(frozen=True)
class OlderEntry:
    """The outcome for an entry of an older term that a majority of the voters has.

    Attributes:
        index: index of the entry.
        commit_index: commit index of the leader that replicated it.
        survived: whether the next leader kept it.
    """

    index: int
    commit_index: int
    survived: bool


def replicate_entry_of_older_term(group: FiveNodes) -> OlderEntry:
    """Run the scenario of figure 8 of the Raft paper.

    A leader replicates an entry of an older term to a majority of the voters, but none of its own
    term. Another leader then overwrites the entry.
    """

    def without_entries(source: str, target: str, message: Message) -> bool:
        return not isinstance(message, AppendEntries)

    group.elect("a", "abcde")
    index, _ = group.nodes["a"].propose(group.now, b"x")
    group.run_until_idle("ab")
    group.elect("e", "cde", without_entries)
    own_term = group.nodes["a"].term + 2

    def without_own_entries(source: str, target: str, message: Message) -> bool:
        if not isinstance(message, AppendEntries):
            return True
        return all(entry.term < own_term for entry in message.entries)

    group.elect("a", "abc", without_own_entries)
    for _ in range(8):
        group.now += SECOND // 5
        group.nodes["a"].tick(group.now)
        group.run_until_idle("abc", without_own_entries)
    assert group.nodes["a"].role is Role.LEADER
    assert group.nodes["c"].log.term_at(index) == 1
    commit_index = group.nodes["a"].commit_index
    group.elect("e", "bcde")
    group.run_until_idle("bcde")
    survived = group.nodes["e"].log.term_at(index) == group.nodes["a"].log.term_at(index)
    return OlderEntry(index, commit_index, survived)


def test_entry_of_an_older_term_is_committed_only_by_one_of_the_current_term():
    entry = replicate_entry_of_older_term(FiveNodes())
    assert entry.commit_index < entry.index
    assert not entry.survived


def test_commitment_by_count_alone_is_detected(monkeypatch):
    index = replicate_entry_of_older_term(FiveNodes()).index
    agreement_mutants.older_terms_are_committed_by_count(monkeypatch)
    message = f"entry {index} of term 1 is committed, but the leader of term"
    with pytest.raises(LogDivergedError, match=message):
        replicate_entry_of_older_term(FiveNodes())
