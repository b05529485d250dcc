"""The leader: commitment, check-quorum, reads, proposals, membership and leadership transfer.

Sections of Raft (2014): 5.3 and 5.4.2 for commitment, 8 for reads. Sections of the dissertation:
3.10 for leadership transfer, 4 for membership, 6.2 for check-quorum, 6.4 for read index.
"""

from collections.abc import Callable

from cypresswalk.agreement.errors import BusyError
from cypresswalk.agreement.leadership import (
    Leadership,
    LeadershipTransfer,
    PendingRead,
    Progress,
    SnapshotTransfer,
)
from cypresswalk.agreement.log import encode
from cypresswalk.agreement.member_state import MemberState, Role, majority
from cypresswalk.agreement.messages import (
    ENTRY_COMMAND,
    ENTRY_MEMBERSHIP,
    ENTRY_NOOP,
    AppendEntriesResponse,
    DataLossDetected,
    Entry,
    InstallSnapshotChunkResponse,
    Members,
    TimeoutNow,
)
from cypresswalk.agreement.ready import ConfirmedRead
from cypresswalk.agreement.replication import Replication

# Maximum number of pending reads, as a multiple of the maximum number of uncommitted entries.
PENDING_READS_PER_ENTRY = 16


class Leader:
    """Behaviour of a member while it is the leader; the state is in `MemberState.leadership`."""

    def __init__(self, state: MemberState):
        """Use `state`, whose `leadership` is set while this member is the leader."""
        self.state = state
        self.replication = Replication(state)

    @property
    def _leadership(self) -> Leadership:
        # Callers have checked that this member is the leader.
        assert self.state.leadership is not None
        return self.state.leadership

    def _has_quorum(self, agrees: Callable[[Progress], bool]) -> bool:
        """Return whether `agrees` holds for a majority of the voters; this member counts as one."""
        peers = self._leadership.peers
        voters = self.state.voters
        agreeing = sum(
            voter == self.state.id or (voter in peers and agrees(peers[voter])) for voter in voters
        )
        return agreeing >= majority(len(voters))

    # Start and end of leadership.

    def on_elected(self, now: int) -> None:
        """Become the leader and append an entry of the new term.

        Once it is committed, so are all entries of earlier terms (Raft, 5.4.2).
        """
        state = self.state
        state.role = Role.LEADER
        state.leader = state.id
        state.due_at = now + state.timing.heartbeat_interval
        state.leadership = Leadership(
            {
                member.id: Progress(state.log.last_index + 1, now)
                for member in state.log.members
                if member.id != state.id
            }
        )
        state.log.append(Entry(state.term, ENTRY_NOOP, b""))
        self.replication.broadcast(now, state.leadership.peers)

    def tick(self, now: int) -> None:
        """Send heartbeats that are due.

        Step down if no quorum has responded within the election timeout (dissertation, 6.2).
        """
        state = self.state
        timeout = state.timing.election_timeout
        if not self._has_quorum(lambda peer: now - peer.last_response_at < timeout):
            state.follow(now, state.term)
            return
        leadership = self._leadership
        if leadership.transfer is not None and now >= leadership.transfer.until:
            leadership.transfer = None
        state.due_at = now + state.timing.heartbeat_interval
        for peer_id, peer in leadership.peers.items():
            if now >= peer.heartbeat_due_at:
                self.replication.send_append(now, peer_id, peer, heartbeat=True)

    # Responses.

    def on_append_response(self, now: int, source: str, response: AppendEntriesResponse) -> None:
        """Record how far the member's log matches, and send it more."""
        peer = self._record_response(now, source, response.term, response.round)
        if peer is None:
            return
        if response.success:
            self._record_match(peer, response.index)
            self.advance_commit_index(now)
        elif peer.matched_round is None:
            peer.next_index = max(min(response.index + 1, peer.next_index - 1), 0)
            peer.in_flight_index = 0
        elif response.round >= peer.matched_round:
            self.state.send(source, DataLossDetected(self.state.term))
        # This member has stepped down if the commit removed its vote.
        leadership = self.state.leadership
        if leadership is None:
            return
        if source in leadership.peers:
            self.replication.send_append(now, source, peer)
            self._continue_transfer(now, source, peer)
        self._confirm_reads()

    def on_snapshot_response(
        self, now: int, source: str, response: InstallSnapshotChunkResponse
    ) -> None:
        """Send the next chunk of the snapshot."""
        peer = self._record_response(now, source, response.term, response.round)
        if peer is None:
            return
        transfer = peer.snapshot_transfer
        if transfer is not None and response.snapshot_index == transfer.snapshot.index:
            peer.snapshot_transfer = SnapshotTransfer(transfer.snapshot, response.offset)
            peer.in_flight_index = 0
            self.replication.send_append(now, source, peer)
        self._confirm_reads()

    def _record_response(self, now: int, source: str, term: int, round_: int) -> Progress | None:
        """Record a response and return the sender's progress; None for another term or sender."""
        leadership = self.state.leadership
        if leadership is None or term != self.state.term:
            return None
        peer = leadership.peers.get(source)
        if peer is not None:
            peer.last_response_at = now
            peer.acknowledged_round = max(peer.acknowledged_round, round_)
        return peer

    def _record_match(self, peer: Progress, index: int) -> None:
        peer.match_index = max(peer.match_index, index)
        transfer = peer.snapshot_transfer
        if transfer is not None and peer.match_index >= transfer.snapshot.index:
            peer.snapshot_transfer = None
        peer.next_index = peer.match_index + 1
        if peer.matched_round is None:
            peer.matched_round = self.state.round + 1
        if peer.match_index >= peer.in_flight_index:
            peer.in_flight_index = 0

    # Commitment and reads.

    def advance_commit_index(self, now: int) -> None:
        """Commit the entries that a majority of the voters has flushed.

        The last of them must be of the current term (Raft, 5.4.2).
        """
        state = self.state
        voters = state.voters
        if not voters:
            return
        peers = self._leadership.peers
        match_indexes = sorted((self._match_index(voter, peers) for voter in voters), reverse=True)
        index = match_indexes[len(voters) // 2]
        if index <= state.commit_index or state.log.term_at(index) != state.term:
            return
        state.commit_index = index
        self.replication.broadcast(now, peers)
        changes = state.log.membership_changes
        if state.id not in voters and changes and changes[-1][0] <= state.commit_index:
            self._step_down_as_removed(now, peers)

    def _match_index(self, voter: str, peers: dict[str, Progress]) -> int:
        if voter == self.state.id:
            return self.state.durable_index
        return peers[voter].match_index if voter in peers else 0

    def _step_down_as_removed(self, now: int, peers: dict[str, Progress]) -> None:
        """Step down after the change that removed this member's vote is committed (4.2.2)."""
        state = self.state
        successor = self._most_complete(
            [voter for voter in state.voters if voter != state.id and voter in peers]
        )
        if successor is not None and peers[successor].match_index == state.log.last_index:
            state.send(successor, TimeoutNow(state.term))
        state.follow(now, state.term)

    def _confirm_reads(self) -> None:
        reads = self._leadership.pending_reads
        while reads and self._is_round_acknowledged(reads[0].round):
            read = reads.pop(0)
            self.state.ready.reads.append(ConfirmedRead(read.token, read.index))

    def _is_round_acknowledged(self, round_: int) -> bool:
        """Return whether a quorum has responded to a round or a later one.

        The quorum then still followed this leader when the round was sent.
        """
        return self._has_quorum(lambda peer: peer.acknowledged_round >= round_)

    # Requests from the owner.

    def _require_leadership(self) -> Leadership:
        leadership = self.state.leadership
        if leadership is None:
            raise BusyError("not the leader")
        if leadership.transfer is not None:
            raise BusyError("a leadership transfer is in progress")
        return leadership

    def _require_commit_in_term(self) -> None:
        if not self.state.has_committed_in_term:
            raise BusyError("this leader has not committed an entry of its term yet")

    def propose(self, now: int, data: bytes) -> tuple[int, int]:
        """Append a command; see `Node.propose`."""
        leadership = self._require_leadership()
        state = self.state
        timing = state.timing
        uncommitted = state.log.between(state.commit_index + 1, state.log.last_index)
        uncommitted_bytes = sum(len(entry.data) for entry in uncommitted)
        if (
            len(uncommitted) >= timing.max_uncommitted_entries
            or uncommitted_bytes + len(data) > timing.max_uncommitted_bytes
        ):
            raise BusyError("too many uncommitted entries or bytes")
        index = state.log.append(Entry(state.term, ENTRY_COMMAND, data))
        self.replication.broadcast(now, leadership.peers)
        return index, state.term

    def change_membership(self, now: int, members: Members) -> tuple[int, int]:
        """Append a new set of members; see `Node.change_membership`."""
        leadership = self._require_leadership()
        state = self.state
        changes = state.log.membership_changes
        if changes and changes[-1][0] > state.commit_index:
            raise BusyError("another membership change is not committed yet")
        # Otherwise two leaders could change the members concurrently, each with a separate majority
        # (Ongaro, "Bug in single-server membership changes", 2015).
        self._require_commit_in_term()
        self._check_members(members)
        index = state.log.append(Entry(state.term, ENTRY_MEMBERSHIP, encode(members)))
        peers = leadership.peers
        member_ids = {member.id for member in members}
        for peer_id in [peer_id for peer_id in peers if peer_id not in member_ids]:
            # The last append informs the member of its removal, if it is reachable.
            self.replication.send_append(now, peer_id, peers.pop(peer_id), heartbeat=True)
        for member in members:
            if member.id != state.id and member.id not in peers:
                peers[member.id] = Progress(state.log.last_index, now)
        self.replication.broadcast(now, peers)
        return index, state.term

    def _check_members(self, members: Members) -> None:
        old = set(self.state.voters)
        new = {member.id for member in members if member.voter}
        ids = {member.id for member in members}
        if len(old ^ new) > 1 or not new or len(ids) != len(members):
            raise ValueError(
                "at most one voter may change, at least one must stay, and ids must be unique"
            )

    def read_index(self, now: int, token: object) -> None:
        """Queue a read; see `Node.read_index`."""
        leadership = self._require_leadership()
        state = self.state
        self._require_commit_in_term()
        reads = leadership.pending_reads
        if len(reads) >= PENDING_READS_PER_ENTRY * state.timing.max_uncommitted_entries:
            raise BusyError("too many pending reads")
        # The heartbeats that become due here are sent with the owner's next tick. Reads requested
        # until then share a round.
        reads.append(PendingRead(token, state.round + 1, state.commit_index))
        for voter in state.voters:
            peer = leadership.peers.get(voter)
            if peer is not None:
                peer.heartbeat_due_at = min(peer.heartbeat_due_at, now)
        self._confirm_reads()

    def transfer_leadership(self, now: int) -> str | None:
        """Choose a successor; see `Node.transfer_leadership`."""
        leadership = self._require_leadership()
        state = self.state
        peers = leadership.peers
        timeout = state.timing.election_timeout
        successor = self._most_complete(
            [
                voter
                for voter in state.voters
                if voter != state.id
                and voter in peers
                and now - peers[voter].last_response_at < timeout
            ]
        )
        if successor is None:
            return None
        leadership.transfer = LeadershipTransfer(successor, now + timeout)
        if peers[successor].match_index == state.log.last_index:
            state.send(successor, TimeoutNow(state.term))
        return successor

    def _continue_transfer(self, now: int, source: str, peer: Progress) -> None:
        """Let the successor start its election once it has the whole log."""
        state = self.state
        transfer = self._leadership.transfer
        if transfer is None or transfer.target != source:
            return
        if peer.match_index == state.log.last_index:
            state.send(source, TimeoutNow(state.term))
            transfer.until = now + state.timing.election_timeout

    def _most_complete(self, voters: list[str]) -> str | None:
        """Return the voter with the highest match index; among equals, the last by id."""
        peers = self._leadership.peers
        return max(voters, key=lambda voter: (peers[voter].match_index, voter), default=None)
