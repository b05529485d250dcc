"""One member of the group, without I/O.

The owner calls `step`, `tick`, `propose`, `change_membership`, `read_index`, `transfer_leadership`
and `compact`. After each call it calls `take_ready` until that returns None. For each `Ready` it
writes and flushes, calls `on_persisted`, sends the messages and applies the committed entries. Only
one thread may call a node. Times are in nanoseconds, from a clock that also advances while the
machine is suspended.

Invariants (docs/design/agreement.md):
    A1: there is at most one leader in a term.
    A2: two logs that have an entry with the same index and term are identical up to it.
    A3: a committed entry is never removed or changed.
    A4: no message relies on data that is not flushed.
    A5: no member votes twice in a term.
    A6: a membership change adds or removes at most one voter; changes never overlap.
    A7: a read returns no state older than what was committed when the read was requested.
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
    """One member of the group; it dispatches messages to its parts and collects their work."""

    def __init__(
        self, member_id: str, persisted: PersistentState, timing: Timing, random: Random, now: int
    ):
        """Start as a follower with the state read from disk.

        `random` randomizes the election timeout, so that members don't start elections together.
        """
        self.state = MemberState(member_id, persisted, timing, random, now)
        self._leader = Leader(self.state)
        self._election = Election(self.state, self._leader)
        self._follower = Follower(self.state)

    # State.

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.state.term

    @property
    def role(self) -> Role:
        """Return the role in this term."""
        return self.state.role

    @property
    def leader(self) -> str:
        """Return the leader's id, or an empty string while none is known."""
        return self.state.leader

    @property
    def leader_contact_at(self) -> int | None:
        """Return the time of the last message from a leader; None if there was none."""
        return self.state.leader_contact_at

    @property
    def log(self) -> Log:
        """Return the log; callers must not change it."""
        return self.state.log

    @property
    def commit_index(self) -> int:
        """Return the index of the last entry known to be committed."""
        return self.state.commit_index

    @property
    def voters(self) -> list[str]:
        """Return the ids of the members that vote."""
        return self.state.voters

    @property
    def peers(self) -> dict[str, Progress]:
        """Return the replication progress of each other member by id; empty if not leader."""
        leadership = self.state.leadership
        return leadership.peers if leadership is not None else {}

    @property
    def is_receiving_snapshot(self) -> bool:
        """Return whether a part of a snapshot has been received."""
        return self._follower.incoming is not None

    def is_voter(self) -> bool:
        """Return whether this member votes."""
        return self.state.is_voter

    def majority(self, voters: int) -> int:
        """Return the smallest number that is more than half of `voters`."""
        return majority(voters)

    def due(self) -> int:
        """Return the latest time at which `tick` has to be called."""
        state = self.state
        if state.leadership is None:
            return state.due_at
        heartbeats = [peer.heartbeat_due_at for peer in state.leadership.peers.values()]
        return min([state.due_at, *heartbeats])

    # Events.

    def tick(self, now: int) -> None:
        """Handle timeouts and heartbeats that are due."""
        if self.state.role is Role.LEADER:
            self._leader.tick(now)
        else:
            self._election.tick(now)

    def step(self, now: int, source: str, message: AnyMessage) -> None:
        """Handle a message from the member `source`.

        Raises:
            LogDivergedError: this member must not continue.
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
        """Handle a message; become a follower first if its term is later (Raft, 5.1)."""
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

    # Requests from the owner.

    def propose(self, now: int, data: bytes) -> tuple[int, int]:
        """Propose a command and return the index and term of its entry.

        The command is committed once an entry with this index and term is committed.

        Raises:
            BusyError: this member isn't the leader, or there are too many uncommitted entries or
                bytes.
        """
        return self._leader.propose(now, data)

    def change_membership(self, now: int, members: Members) -> tuple[int, int]:
        """Propose a new set of members, with at most one voter more or less (dissertation, 4.1).

        Returns:
            Index and term of the entry.

        Raises:
            BusyError: this member isn't the leader, or another change is not committed yet.
            ValueError: more than one voter would change, no voter would be left, or an id occurs
                twice.
        """
        return self._leader.change_membership(now, members)

    def read_index(self, now: int, token: object) -> None:
        """Request a linearizable read (dissertation, 6.4).

        `token` is returned in `Ready.reads` once a quorum has confirmed that this member was still
        the leader after the call.

        Raises:
            BusyError: this member isn't the leader, has not committed an entry of its term, or has
                too many pending reads.
        """
        self._leader.read_index(now, token)

    def transfer_leadership(self, now: int) -> str | None:
        """Start a leadership transfer to the most up-to-date voter (dissertation, 3.10).

        Returns:
            The successor's id, or None if no other voter has responded within the
            election timeout.

        Raises:
            BusyError: this member isn't the leader, or a transfer is in progress.
        """
        return self._leader.transfer_leadership(now)

    def compact(self, index: int, data: bytes) -> None:
        """Replace the entries up to `index` by a snapshot of the owner's state there (Raft, 7).

        Do nothing unless the entry at `index` was delivered to the owner and is not compacted yet.
        """
        state = self.state
        if not state.log.snapshot.index < index <= state.delivered_index:
            return
        term = state.log.term_at(index)
        # The log contains all delivered entries after the snapshot.
        assert term is not None
        snapshot = Snapshot(index, term, state.log.members_at(index), data)
        state.log.restore(snapshot)
        state.ready.snapshot = snapshot

    # Work for the owner.

    def take_ready(self) -> Ready | None:
        """Return the pending work, or None if there is none."""
        state = self.state
        ready = state.ready
        if state.vote_changed:
            ready.vote = Vote(state.term, state.voted_for)
        start = state.durable_index + 1
        if ready.snapshot is not None:
            # A snapshot is written to a new file, together with the vote and all later entries.
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
        """Handle the completion of all writes of `ready`; they are flushed."""
        state = self.state
        if ready.entries:
            state.durable_index = ready.entries[-1][0]
        if state.role is Role.CANDIDATE and ready.vote == (state.term, state.id):
            self._election.on_own_vote_persisted(now)
        elif state.role is Role.LEADER and ready.entries:
            self._leader.advance_commit_index(now)
