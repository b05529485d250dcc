"""One member of the group, without I/O.

The owner reports what happens with `step`, `tick`, `propose`, `change_membership`, `read_index`,
`transfer_leadership` and `compact`. After each it calls `take_ready` until that returns None, and
for each `Ready` writes and flushes, calls `on_persisted`, sends the messages and applies what is
committed. One thread alone calls a node. Times are nanoseconds of a clock that goes on while the
machine sleeps.

Invariants (docs/design/agreement.md):
    A1: one leader a term.
    A2: logs that match at an index and term match before it.
    A3: what is committed stays.
    A4: no message relies on what is not flushed.
    A5: no member votes twice in a term.
    A6: voters change one at a time, never two changes at once.
    A7: a read returns nothing older than what was committed when it was asked for.
"""

from random import Random

from cypresswalk.agreement.election import Election
from cypresswalk.agreement.follower import Follower
from cypresswalk.agreement.leader import Leader
from cypresswalk.agreement.leadership import Progress
from cypresswalk.agreement.log import Log, Snapshot
from cypresswalk.agreement.member_state import MemberState, Role, majority
from cypresswalk.agreement.messages import (
    AnyMessage,
    AppendEntries,
    AppendEntriesResponse,
    DataLossDetected,
    InstallSnapshotChunk,
    InstallSnapshotChunkResponse,
    Members,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
)
from cypresswalk.agreement.ready import PersistentState, Ready, Vote
from cypresswalk.agreement.timing import Timing


class Node:
    """One member: hands messages and time to its parts and gathers their work."""

    def __init__(
        self, member_id: str, persisted: PersistentState, timing: Timing, random: Random, now: int
    ):
        """A follower with what stands on disk; `random` spreads the elections."""
        self.state = MemberState(member_id, persisted, timing, random, now)
        self._leader = Leader(self.state)
        self._election = Election(self.state, self._leader)
        self._follower = Follower(self.state)

    # What is known.

    @property
    def term(self) -> int:
        """The current term."""
        return self.state.term

    @property
    def role(self) -> Role:
        """The role in this term."""
        return self.state.role

    @property
    def leader(self) -> str:
        """The leader's id, or an empty string while none is known."""
        return self.state.leader

    @property
    def leader_heard_at(self) -> int | None:
        """When a leader was last heard; None if never."""
        return self.state.leader_heard_at

    @property
    def log(self) -> Log:
        """The log, to be read."""
        return self.state.log

    @property
    def commit_index(self) -> int:
        """Index of the last committed entry."""
        return self.state.commit_index

    @property
    def voters(self) -> list[str]:
        """Ids of the members that vote."""
        return self.state.voters

    @property
    def peers(self) -> dict[str, Progress]:
        """At the leader, replication to each other member by id; empty elsewhere."""
        leadership = self.state.leadership
        return leadership.peers if leadership is not None else {}

    @property
    def is_receiving_snapshot(self) -> bool:
        """Whether a part of a snapshot has come."""
        return self._follower.incoming is not None

    def is_voter(self) -> bool:
        """Whether this member votes."""
        return self.state.is_voter

    def majority(self, voters: int) -> int:
        """The smallest number that is more than half of `voters`."""
        return majority(voters)

    def due(self) -> int:
        """When `tick` is to be called at the latest."""
        state = self.state
        if state.leadership is None:
            return state.due_at
        heartbeats = [peer.heartbeat_due_at for peer in state.leadership.peers.values()]
        return min([state.due_at, *heartbeats])

    # What happens.

    def tick(self, now: int) -> None:
        """Time has passed."""
        if self.state.role is Role.LEADER:
            self._leader.tick(now)
        else:
            self._election.tick(now)

    def step(self, now: int, source: str, message: AnyMessage) -> None:
        """A message has come from the member `source`.

        Raises:
            LogDivergedError: this member must not go on.
        """
        match message:
            case RequestVote():
                self._election.on_request_vote(now, source, message)
            case RequestVoteResponse(pre_vote=True):
                self._election.on_pre_vote_response(now, source, message)
            case TimeoutNow():
                if message.term == self.state.term and self.state.is_voter:
                    self._election.campaign(now, leadership_transfer=True)
            case DataLossDetected():
                if message.term >= self.state.term:
                    self.state.ready.data_loss = True
            case _:
                self._step_in_term(now, source, message)

    def _step_in_term(
        self,
        now: int,
        source: str,
        message: RequestVoteResponse
        | AppendEntries
        | AppendEntriesResponse
        | InstallSnapshotChunk
        | InstallSnapshotChunkResponse,
    ) -> None:
        """Handles the other messages; a later term ends this member's (Raft, 5.1)."""
        if message.term > self.state.term:
            is_from_leader = isinstance(message, AppendEntries | InstallSnapshotChunk)
            self.state.follow(now, message.term, source if is_from_leader else "")
        match message:
            case RequestVoteResponse():
                self._election.on_vote_response(now, source, message)
            case AppendEntries():
                self._follower.on_append_entries(now, source, message)
            case InstallSnapshotChunk():
                self._follower.on_install_snapshot_chunk(now, source, message)
            case AppendEntriesResponse():
                self._leader.on_append_response(now, source, message)
            case InstallSnapshotChunkResponse():
                self._leader.on_snapshot_response(now, source, message)

    # What the owner asks for.

    def propose(self, now: int, data: bytes) -> tuple[int, int]:
        """Proposes a command; returns its index and term.

        It is committed once an entry with that index and term is among the committed ones.

        Raises:
            BusyError: this member doesn't lead, or too much is uncommitted.
        """
        return self._leader.propose(now, data)

    def change_membership(self, now: int, members: Members) -> tuple[int, int]:
        """Proposes other members: at most one voter more or less (dissertation, 4.1).

        Raises:
            BusyError: this member doesn't lead, or another change is not committed yet.
            ValueError: more than one voter would change, none would stay, or an id is there twice.
        """
        return self._leader.change_membership(now, members)

    def read_index(self, now: int, token: object) -> None:
        """Asks for a linearizable read (dissertation, 6.4).

        `token` comes back among `Ready.reads` once a quorum has confirmed that this member led
        after the call.

        Raises:
            BusyError: this member doesn't lead, has committed nothing in its term, or too many
                reads wait.
        """
        self._leader.read_index(now, token)

    def transfer_leadership(self, now: int) -> str | None:
        """Hands leadership to the voter whose log is most complete (dissertation, 3.10).

        Returns:
            The successor's id, or None if no other voter is heard.

        Raises:
            BusyError: this member doesn't lead, or a transfer is under way.
        """
        return self._leader.transfer_leadership(now)

    def compact(self, index: int, data: bytes) -> None:
        """Replaces the entries up to `index` by the owner's state at that point (Raft, 7).

        Nothing is done unless the entry there was delivered and is not compacted yet.
        """
        state = self.state
        if not state.log.snapshot.index < index <= state.delivered_index:
            return
        term = state.log.term_at(index)
        # Delivered entries after the snapshot are in the log.
        assert term is not None
        snapshot = Snapshot(index, term, state.log.members_at(index), data)
        state.log.restore(snapshot)
        state.ready.snapshot = snapshot

    # What the owner does about it.

    def take_ready(self) -> Ready | None:
        """The work that has gathered, or None."""
        state = self.state
        ready = state.ready
        if state.vote_changed:
            ready.vote = Vote(state.term, state.voted_for)
        start = state.durable_index + 1
        if ready.snapshot is not None:
            # A snapshot begins a new file, which holds the vote and all entries.
            ready.vote = Vote(state.term, state.voted_for)
            ready.truncate_from = None
            start = state.log.first_index
        start = max(start, state.log.first_index)
        ready.entries = list(enumerate(state.log.between(start, state.log.last_index), start))
        if state.snapshot_to_restore is not None:
            ready.restore = state.snapshot_to_restore
            state.snapshot_to_restore = None
        if state.commit_index > state.delivered_index:
            start = state.delivered_index + 1
            ready.committed = list(enumerate(state.log.between(start, state.commit_index), start))
            state.delivered_index = state.commit_index
        if ready.is_empty:
            return None
        state.ready = Ready()
        state.vote_changed = False
        return ready

    def on_persisted(self, now: int, ready: Ready) -> None:
        """All that `ready` says to write is flushed."""
        state = self.state
        if ready.entries:
            state.durable_index = ready.entries[-1][0]
        if state.role is Role.CANDIDATE and ready.vote == (state.term, state.id):
            self._election.on_own_vote_persisted(now)
        elif state.role is Role.LEADER and ready.entries:
            self._leader.advance_commit_index(now)
