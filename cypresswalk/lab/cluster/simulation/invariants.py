"""Invariants of the agreement, checked against everything that was observed before.

The names of the rules are those of `docs/design/agreement.md`.
"""

from collections.abc import Collection

from cypresswalk.agreement.member_state import MemberState, Role
from cypresswalk.agreement.messages import Entry
from cypresswalk.fleet.member import Member
from cypresswalk.lab.cluster.simulation.errors import ViolationError
from cypresswalk.lab.cluster.simulation.process import Process
from cypresswalk.lab.units import SECOND


class Invariants:
    """Observed facts that must never change, and checks of new observations against them.

    Attributes:
        newest_version: the latest version of the agreed state.
        active_at: virtual time at which each version came into force, by version, nanoseconds.
        longest_contradiction: longest time for which a process acted on a version that was no
            longer the newest, nanoseconds.
    """

    def __init__(self, max_contradiction: int):
        """Start without observations; `max_contradiction` is in nanoseconds."""
        self.newest_version = 0
        self.active_at: dict[int, int] = {0: 0}
        self.longest_contradiction = 0
        self._max_contradiction = max_contradiction
        self._leaders: dict[int, str] = {}  # member id by term
        self._votes: dict[tuple[str, int], str] = {}  # by member id and term
        self._delivered: dict[str, int] = {}  # last index by member id
        self._entries: dict[tuple[str, int], Entry] = {}  # by group and index

    def check(self, processes: Collection[Process], now: int) -> None:
        """Check all processes; raise ViolationError if an invariant is broken."""
        for process in processes:
            member = process.member
            if member is not None and member.node is not None:
                member_id = member.id
                state = member.node.state
                self._check_leader(member_id, state)
                self._check_vote(member_id, state)
                if state.delivered_index > self._delivered.get(member_id, -1):
                    self._check_delivered(member, state)
                    self._note_version(member.state.version, now)
        for process in processes:
            if process.applied_version < self.newest_version and process.may_act:
                self._check_contradiction(process, now)

    def _check_leader(self, member_id: str, state: MemberState) -> None:
        if state.role is not Role.LEADER:
            return
        before = self._leaders.setdefault(state.term, member_id)
        if before != member_id:
            raise ViolationError(f"A1: {before} and {member_id} both lead term {state.term}")

    def _check_vote(self, member_id: str, state: MemberState) -> None:
        if not state.voted_for or not state.is_vote_taken:
            return
        before = self._votes.setdefault((member_id, state.term), state.voted_for)
        if before != state.voted_for:
            raise ViolationError(
                f"A5: {member_id} votes for {before} and {state.voted_for} in term {state.term}"
            )

    def _check_delivered(self, member: Member, state: MemberState) -> None:
        seen = self._delivered.get(member.id, -1)
        self._delivered[member.id] = state.delivered_index
        for index in range(max(seen + 1, state.log.first_index), state.delivered_index + 1):
            entry = state.log.between(index, index)[0]
            before = self._entries.setdefault((member.group, index), entry)
            if (before.term, before.kind, before.data) != (entry.term, entry.kind, entry.data):
                raise ViolationError(
                    f"A3: entry {index} was agreed in term {before.term}, "
                    f"{member.id} has one of term {entry.term}"
                )

    def _note_version(self, version: int, now: int) -> None:
        for number in range(self.newest_version + 1, version + 1):
            self.active_at[number] = now
        self.newest_version = max(self.newest_version, version)

    def _check_contradiction(self, process: Process, now: int) -> None:
        next_version = process.applied_version + 1
        late = now - self.active_at[next_version]
        self.longest_contradiction = max(self.longest_contradiction, late)
        if late > self._max_contradiction:
            raise ViolationError(
                f"L: {process.name} acts on version {process.applied_version}, "
                f"{next_version} has been in force for {late / SECOND:.3f} s"
            )
