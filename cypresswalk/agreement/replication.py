"""Sending of appends, heartbeats and snapshot chunks by the leader (Raft, 5.3 and 7)."""

from cypresswalk.agreement.leadership import Progress, SnapshotTransfer
from cypresswalk.agreement.member_state import MemberState
from cypresswalk.agreement.messages import AppendEntries, Entry, InstallSnapshotChunk


class Replication:
    """Sender of missing entries or snapshot chunks to each member, one message at a time."""

    def __init__(self, state: MemberState):
        """Use `state`, which is shared with the rest of the node."""
        self.state = state

    def broadcast(self, now: int, peers: dict[str, Progress]) -> None:
        """Send to each member that lacks entries and has nothing in flight."""
        for peer_id, peer in peers.items():
            self.send_append(now, peer_id, peer)

    def send_append(self, now: int, peer_id: str, peer: Progress, heartbeat: bool = False) -> None:
        """Send missing entries or a snapshot chunk, unless one is in flight and not overdue.

        If there is none to send, `heartbeat` causes an append without entries, except while a
        snapshot chunk is in flight.
        """
        state = self.state
        may_send_data = (
            not peer.in_flight_index or now - peer.sent_at >= state.timing.resend_timeout
        )
        lacks_data = peer.next_index <= state.log.last_index or peer.snapshot_transfer is not None
        if not heartbeat and not (may_send_data and lacks_data):
            return
        state.round += 1
        peer.heartbeat_due_at = now + (
            state.timing.heartbeat_interval
            if peer_id in state.voters
            else state.timing.non_voter_heartbeat_interval
        )
        if peer.next_index < state.log.first_index or peer.snapshot_transfer is not None:
            if may_send_data:
                self._send_snapshot_chunk(now, peer_id, peer)
            return
        entries = self._take_entries(now, peer) if may_send_data else []
        prev_log_index = peer.next_index - 1
        prev_log_term = state.log.term_at(prev_log_index)
        # `next_index` is between the log's first index and its last index plus one.
        assert prev_log_term is not None
        state.send(
            peer_id,
            AppendEntries(
                state.term,
                prev_log_index,
                prev_log_term,
                tuple(entries),
                state.commit_index,
                state.round,
            ),
        )

    def _take_entries(self, now: int, peer: Progress) -> list[Entry]:
        """Return entries from `next_index` on, within the limits, and mark them as in flight."""
        state = self.state
        if peer.next_index > state.log.last_index:
            return []
        timing = state.timing
        last = min(state.log.last_index, peer.next_index + timing.max_append_entries - 1)
        entries: list[Entry] = []
        size = 0
        for entry in state.log.between(peer.next_index, last):
            size += len(entry.data)
            if entries and size > timing.max_message_bytes:
                break
            entries.append(entry)
        peer.in_flight_index = peer.next_index + len(entries) - 1
        peer.sent_at = now
        return entries

    def _send_snapshot_chunk(self, now: int, peer_id: str, peer: Progress) -> None:
        state = self.state
        if peer.snapshot_transfer is None:
            peer.snapshot_transfer = SnapshotTransfer(state.log.snapshot, 0)
        snapshot = peer.snapshot_transfer.snapshot
        offset = peer.snapshot_transfer.offset
        peer.in_flight_index = snapshot.index
        peer.sent_at = now
        data = snapshot.data[offset : offset + state.timing.max_message_bytes]
        state.send(
            peer_id,
            InstallSnapshotChunk(
                state.term,
                snapshot.index,
                snapshot.term,
                snapshot.members,
                offset,
                data,
                offset + len(data) >= len(snapshot.data),
                state.round,
            ),
        )
