"""Replication at a follower (Raft, 5.3 and 7)."""

from dataclasses import dataclass, field

from cypresswalk.agreement.errors import LogDivergedError
from cypresswalk.agreement.log import Snapshot
from cypresswalk.agreement.member_state import MemberState, Role
from cypresswalk.agreement.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    InstallSnapshotChunk,
    InstallSnapshotChunkResponse,
)


@dataclass(slots=True)
class IncomingSnapshot:
    """A snapshot that is being received.

    Attributes:
        index: index of the last entry that the snapshot covers.
        term: term of the leader that sends it.
        data: bytes received so far.
    """

    index: int
    term: int
    data: bytearray = field(default_factory=bytearray)


class Follower:
    """Handler of the leader's appends and snapshot chunks."""

    def __init__(self, state: MemberState):
        """Use `state`, which is shared with the rest of the node."""
        self.state = state
        self.incoming: IncomingSnapshot | None = None

    def on_append_entries(self, now: int, source: str, request: AppendEntries) -> None:
        """Append the entries if the logs match, otherwise answer with the index to try next.

        Raises:
            LogDivergedError: a committed entry would be overwritten, or there are two leaders in
                one term.
        """
        if not self._accept_leader(now, source, request.term):
            self._respond(source, False, self.state.log.last_index, request.round)
            return
        log = self.state.log
        prev_log_index = request.prev_log_index
        entries = request.entries
        if prev_log_index < log.snapshot.index:
            # Entries that the snapshot covers are committed, so they match.
            entries = entries[log.snapshot.index - prev_log_index :]
            prev_log_index = log.snapshot.index
        elif log.term_at(prev_log_index) != request.prev_log_term:
            self._respond(source, False, self._next_index_hint(prev_log_index), request.round)
            return
        self._append(prev_log_index, entries, request.term)
        last = prev_log_index + len(entries)
        self.state.commit_index = max(self.state.commit_index, min(request.leader_commit, last))
        self._respond(source, True, last, request.round)

    def _append(self, prev_log_index: int, entries: tuple[Entry, ...], leader_term: int) -> None:
        """Append new entries, after removing a conflicting entry and all that follow it."""
        state = self.state
        for index, entry in enumerate(entries, prev_log_index + 1):
            known_term = state.log.term_at(index)
            if known_term == entry.term:
                continue
            if known_term is not None:
                if index <= state.commit_index:
                    raise LogDivergedError(
                        f"entry {index} of term {known_term} is committed, "
                        f"but the leader of term {leader_term} has it with term {entry.term}"
                    )
                self._truncate_from(index)
            state.log.append(entry)

    def _truncate_from(self, index: int) -> None:
        state = self.state
        state.log.truncate_from(index)
        if index <= state.durable_index:
            earlier = state.ready.truncate_from
            state.ready.truncate_from = index if earlier is None else min(index, earlier)
            state.durable_index = index - 1

    def _next_index_hint(self, prev_log_index: int) -> int:
        """Return the index at which the leader should compare the logs next (Raft, 5.3).

        It skips the whole conflicting term instead of a single entry.
        """
        state = self.state
        index = min(prev_log_index - 1, state.log.last_index)
        conflicting_term = state.log.term_at(prev_log_index)
        if conflicting_term is not None:
            while index > state.commit_index and state.log.term_at(index) == conflicting_term:
                index -= 1
        return max(index, state.commit_index)

    def on_install_snapshot_chunk(
        self, now: int, source: str, request: InstallSnapshotChunk
    ) -> None:
        """Collect the chunks of a snapshot and install it after the last one.

        Raises:
            LogDivergedError: there are two leaders in one term.
        """
        state = self.state
        if not self._accept_leader(now, source, request.term):
            self._respond(source, False, state.log.last_index, request.round)
            return
        if request.snapshot_index <= state.commit_index:
            self.incoming = None
            self._respond(source, True, request.snapshot_index, request.round)
            return
        data = self._incoming_data(request)
        if request.offset == len(data):
            data += request.data
            if request.last:
                self.incoming = None
                self._install(
                    Snapshot(
                        request.snapshot_index, request.snapshot_term, request.members, bytes(data)
                    )
                )
                self._respond(source, True, request.snapshot_index, request.round)
                return
        state.send(
            source,
            InstallSnapshotChunkResponse(
                state.term, request.snapshot_index, len(data), request.round
            ),
        )

    def _incoming_data(self, request: InstallSnapshotChunk) -> bytearray:
        """Return the bytes received so far of this snapshot.

        Bytes from another leader are discarded, because its snapshot of the same index may have
        different bytes.
        """
        incoming = self.incoming
        if (
            incoming is None
            or incoming.index != request.snapshot_index
            or incoming.term != request.term
        ):
            incoming = IncomingSnapshot(request.snapshot_index, request.term)
            self.incoming = incoming
        return incoming.data

    def _install(self, snapshot: Snapshot) -> None:
        state = self.state
        state.log.restore(snapshot)
        state.commit_index = snapshot.index
        state.delivered_index = snapshot.index
        state.durable_index = max(min(state.durable_index, state.log.last_index), snapshot.index)
        state.ready.snapshot = snapshot
        state.ready.truncate_from = None
        state.snapshot_to_restore = snapshot

    def _accept_leader(self, now: int, source: str, term: int) -> bool:
        """Follow the sender and return True, or return False if its term is outdated."""
        state = self.state
        if term < state.term:
            return False
        if state.role is not Role.FOLLOWER:
            if state.role is Role.LEADER:
                raise LogDivergedError(f"two leaders in term {term}: {state.id} and {source}")
            state.become(term, Role.FOLLOWER)
        state.leader = source
        state.leader_contact_at = now
        state.reset_election_timer(now)
        return True

    def _respond(self, source: str, success: bool, index: int, round_: int) -> None:
        self.state.send(source, AppendEntriesResponse(self.state.term, success, index, round_))
