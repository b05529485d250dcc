"""Deliberately broken versions of the consensus code, which the tests have to detect.

Each function removes one safeguard from the program.
"""

import pytest

from cypresswalk.agreement.election import Election
from cypresswalk.agreement.leader import Leader
from cypresswalk.agreement.member_state import Role, majority
from cypresswalk.agreement.messages import RequestVote
from cypresswalk.agreement.ready import Ready
from cypresswalk.agreement.store import Store
from cypresswalk.fleet.driver import FleetThread
from cypresswalk.fleet.lease_client import LeaseClient
from cypresswalk.fleet.leases import LeaseGrants
from cypresswalk.fleet.member import Member, MemberEffects
from cypresswalk.fleet.messages import Hello, HelloRejected, LeaseGrant
from cypresswalk.fleet.transport import Transport
from cypresswalk.lab.cluster.simulation.process import SimulatedFleetThread

# Larger than the last term and index of any log.
LONGEST_LOG = 1 << 60


def votes_are_not_flushed(patch: pytest.MonkeyPatch) -> None:
    """Don't write votes, except together with a snapshot."""
    write = Store.write

    def write_without_vote(self: Store, ready: Ready) -> None:
        ready.vote = ready.vote if ready.snapshot is not None else None
        write(self, ready)

    patch.setattr(Store, "write", write_without_vote)


def messages_are_sent_before_the_flush(patch: pytest.MonkeyPatch) -> None:
    """Send messages before the entries that they acknowledge are written."""
    carry_out = FleetThread.carry_out

    def carry_out_messages_first(self: FleetThread, member: Member) -> None:
        take = member.take

        def take_after_sending() -> MemberEffects | None:
            step = take()
            if step is not None and step.ready is not None:
                for receiver, frame in step.messages:
                    self.router.send(member, receiver, frame)
                step.messages = []
            return step

        member.take = take_after_sending  # type: ignore[method-assign]
        try:
            carry_out(self, member)
        finally:
            del member.take

    patch.setattr(FleetThread, "carry_out", carry_out_messages_first)


def lease_runs_from_its_grant(patch: pytest.MonkeyPatch) -> None:
    """Let a lease start when the grant arrives, not when it was requested."""

    def on_grant(self: LeaseClient, now: int, grant: LeaseGrant) -> None:
        if grant.number in self.lease.outstanding:
            self.lease.outstanding[grant.number] = now
        self.lease.on_grant(grant.number, grant.version)

    patch.setattr(LeaseClient, "on_grant", on_grant)


def leases_expire_early(patch: pytest.MonkeyPatch) -> None:
    """Let the leader count a lease as expired after a quarter of its duration."""

    def expired_early(self: LeaseGrants, now: int, member: str) -> bool:
        return now >= self.granted_at.get(member, 0) + self.span // 4

    patch.setattr(LeaseGrants, "lapsed", expired_early)


def lost_voter_keeps_its_incarnation(patch: pytest.MonkeyPatch) -> None:
    """Let a voter that lost its folder vote again under its old incarnation."""

    def begin_under_old_name(self: SimulatedFleetThread) -> None:
        self.boot = self.process.starts
        self.start_nonce = self.random.getrandbits(63)
        self._make_member(f"{self.table.name}#0", "", None)

    patch.setattr(FleetThread, "_start_blank_member", begin_under_old_name)


def votes_of_non_voters_are_counted(patch: pytest.MonkeyPatch) -> None:
    """Count the votes of non-voting and removed members."""

    def count_vote(self: Election, now: int, source: str, granted: bool) -> None:
        state = self.state
        self.votes[source] = granted
        if sum(self.votes.values()) >= majority(len(state.voters)):
            if state.role is Role.PRE_CANDIDATE:
                self.campaign(now)
            else:
                self.leader.on_elected(now)

    def request_votes(self: Election, request: RequestVote) -> None:
        for member in self.state.log.members:
            if member.id != self.state.id:
                self.state.send(member.id, request)

    patch.setattr(Election, "count_vote", count_vote)
    patch.setattr(Election, "request_votes", request_votes)


def failed_flushes_are_ignored(patch: pytest.MonkeyPatch) -> None:
    """Let a store continue after a failed write."""
    write = Store.write

    def write_and_continue(self: Store, ready: Ready) -> None:
        try:
            write(self, ready)
        except OSError:
            self.broken = False

    patch.setattr(Store, "write", write_and_continue)


def restored_folders_are_trusted(patch: pytest.MonkeyPatch) -> None:
    """Disable the detection of a restored folder, at the member itself and at the others.

    Each of the two safeguards is sufficient alone, so both are removed.
    """
    patch.setattr(Store, "check_witness", lambda self, file, identity: None)
    rejection_of = Transport.rejection_of

    def rejection_unless_restored(self: Transport, hello: Hello) -> HelloRejected | None:
        rejection = rejection_of(self, hello)
        if rejection is not None and rejection.code == "put-back":
            return None
        return rejection

    patch.setattr(Transport, "rejection_of", rejection_unless_restored)


def logs_are_not_compared(patch: pytest.MonkeyPatch) -> None:
    """Grant the vote to the first candidate, even if its log is out of date."""
    on_request_vote = Election.on_request_vote

    def vote_for_any_log(self: Election, now: int, source: str, request: RequestVote) -> None:
        complete = type(request)(
            request.term, LONGEST_LOG, LONGEST_LOG, request.pre_vote, request.leadership_transfer
        )
        on_request_vote(self, now, source, complete)

    patch.setattr(Election, "on_request_vote", vote_for_any_log)


def older_terms_are_committed_by_count(patch: pytest.MonkeyPatch) -> None:
    """Commit an entry of an older term once a majority of the voters has it."""
    advance_commit_index = Leader.advance_commit_index

    def advance_by_count(self: Leader, now: int) -> None:
        state = self.state
        assert state.leadership is not None
        peers = state.leadership.peers
        match_indexes = sorted(
            state.durable_index
            if voter == state.id
            else peers[voter].match_index
            if voter in peers
            else 0
            for voter in state.voters
        )
        index = match_indexes[(len(match_indexes) - 1) // 2]
        state.commit_index = max(state.commit_index, index)
        advance_commit_index(self, now)

    patch.setattr(Leader, "advance_commit_index", advance_by_count)
