"""Mistakes for the explorer to find: each takes one guard out of the program."""

from cypresswalk.agreement.election import Election
from cypresswalk.agreement.leader import Leader
from cypresswalk.agreement.member_state import Role, majority
from cypresswalk.agreement.store import Store
from cypresswalk.fleet.driver import FleetThread
from cypresswalk.fleet.lease_client import LeaseClient
from cypresswalk.fleet.leases import LeaseGrants
from cypresswalk.fleet.transport import Transport


def vote_not_flushed(patch):
    write = Store.write

    def careless(self, work):
        work.vote = work.vote if work.snapshot is not None else None
        write(self, work)

    patch.setattr(Store, "write", careless)


def answer_before_the_flush(patch):
    carry_out = FleetThread.carry_out

    def early(self, member):
        take = member.take

        def taken():
            step = take()
            if step is not None and step.ready is not None:
                for to, frame in step.messages:
                    self.router.send(member, to, frame)
                step.messages = []
            return step

        member.take = taken
        try:
            carry_out(self, member)
        finally:
            del member.take

    patch.setattr(FleetThread, "carry_out", early)


def lease_from_the_answer(patch):
    def granted(self, now, grant):
        if grant.number in self.lease.outstanding:
            self.lease.outstanding[grant.number] = now
        self.lease.on_grant(grant.number, grant.version)

    patch.setattr(LeaseClient, "on_grant", granted)


def lapsed_without_waiting(patch):
    patch.setattr(
        LeaseGrants,
        "lapsed",
        lambda self, now, member: now >= self.granted_at.get(member, 0) + self.span // 4,
    )


def wiped_voter_under_its_name(patch):
    def blank(self):
        self.boot, self.start_nonce = self.starts_of_it, self.random.getrandbits(63)
        self._make_member(f"{self.table.name}#0", "", None)

    patch.setattr(FleetThread, "_begin_blank", blank)
    patch.setattr(
        FleetThread, "starts_of_it", property(lambda self: self.process.starts), raising=False
    )


def followers_and_removed_are_counted(patch):
    def count_vote(self, now, source, granted):
        state = self.state
        self.votes[source] = granted
        if sum(self.votes.values()) >= majority(len(state.voters)):
            if state.role is Role.PRE_CANDIDATE:
                self.campaign(now)
            else:
                self.leader.on_elected(now)

    def request_votes(self, request):
        for member in self.state.log.members:
            if member.id != self.state.id:
                self.state.send(member.id, request)

    patch.setattr(Election, "count_vote", count_vote)
    patch.setattr(Election, "request_votes", request_votes)


def failed_flush_is_forgotten(patch):
    write = Store.write

    def careless(self, work):
        try:
            write(self, work)
        except OSError:
            self.broken = False

    patch.setattr(Store, "write", careless)


def put_back_folder_is_believed(patch):
    """By itself, and by the others: either guard alone finds it."""
    patch.setattr(Store, "check_witness", lambda self, file, identity: None)
    rejection_of = Transport.rejection_of

    def careless(self, hello):
        rejected = rejection_of(self, hello)
        return rejected if rejected is not None and rejected.code != "put-back" else None

    patch.setattr(Transport, "rejection_of", careless)


def logs_not_compared(patch):
    """A vote goes to whoever asks first, however little it has."""
    on_request_vote = Election.on_request_vote

    def careless(self, now, source, request):
        complete = type(request)(
            request.term, 1 << 60, 1 << 60, request.pre_vote, request.leadership_transfer
        )
        on_request_vote(self, now, source, complete)

    patch.setattr(Election, "on_request_vote", careless)


def older_term_committed_by_count(patch):
    advance_commit_index = Leader.advance_commit_index

    def careless(self, now):
        state = self.state
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

    patch.setattr(Leader, "advance_commit_index", careless)
