"""Elections: pre-vote, vote and campaign (Raft, 5.2 and 5.4.1; dissertation, 4.2.3 and 9.6)."""

from cypresswalk.agreement.leader import Leader
from cypresswalk.agreement.member_state import MemberState, Role, majority
from cypresswalk.agreement.messages import RequestVote, RequestVoteResponse


class Election:
    """Requests for votes, and the member's answers to those of other candidates."""

    def __init__(self, state: MemberState, leader: Leader):
        """Start without votes; `leader` is called when an election is won."""
        self.state = state
        self.leader = leader
        self.votes: dict[str, bool] = {}

    def tick(self, now: int) -> None:
        """Start an election if there was no message from a leader for the election timeout."""
        if now < self.state.due_at:
            return
        self.state.reset_election_timer(now)
        if self.state.is_voter:
            self.start_pre_vote(now)

    def start_pre_vote(self, now: int) -> None:
        """Ask the voters whether they would elect this member (dissertation, 9.6).

        A member that was partitioned off thus doesn't raise its term, and doesn't depose the leader
        when it is reachable again.
        """
        state = self.state
        state.role = Role.PRE_CANDIDATE
        state.leader = ""
        self.votes = {state.id: True}
        self.request_votes(
            RequestVote(state.term + 1, state.log.last_index, state.log.last_term, True)
        )
        if len(state.voters) == 1:
            self.campaign(now)

    def campaign(self, now: int, leadership_transfer: bool = False) -> None:
        """Become a candidate in the next term."""
        state = self.state
        state.become(state.term + 1, Role.CANDIDATE)
        state.reset_election_timer(now)
        # This member's own vote counts once it is flushed.
        self.votes = {}
        state.vote_for(state.id)
        self.request_votes(
            RequestVote(
                state.term,
                state.log.last_index,
                state.log.last_term,
                False,
                leadership_transfer,
            )
        )

    def request_votes(self, request: RequestVote) -> None:
        """Send the request to all other voters."""
        for voter in self.state.voters:
            if voter != self.state.id:
                self.state.send(voter, request)

    def on_request_vote(self, now: int, source: str, request: RequestVote) -> None:
        """Answer a candidate, or ignore it while there is a leader."""
        state = self.state
        has_leader = self._has_leader(now)
        is_up_to_date = (request.last_log_term, request.last_log_index) >= (
            state.log.last_term,
            state.log.last_index,
        )
        if request.pre_vote:
            granted = request.term > state.term and is_up_to_date and not has_leader
            term = request.term if granted else state.term
            state.send(source, RequestVoteResponse(term, granted, True))
            return
        if has_leader and not request.leadership_transfer and request.term > state.term:
            return
        if request.term > state.term:
            state.follow(now, request.term)
        granted = request.term == state.term and is_up_to_date and state.voted_for in ("", source)
        if granted:
            if state.voted_for != source:
                state.vote_for(source)
            state.reset_election_timer(now)
        state.send(source, RequestVoteResponse(state.term, granted, False))

    def _has_leader(self, now: int) -> bool:
        """Return whether a leader has sent something within the election timeout.

        Candidates must not depose such a leader (dissertation, 4.2.3).
        """
        state = self.state
        if state.role is Role.LEADER:
            return True
        return (
            state.leader_contact_at is not None
            and now - state.leader_contact_at < state.timing.election_timeout
            and state.leader != ""
        )

    def on_pre_vote_response(self, now: int, source: str, response: RequestVoteResponse) -> None:
        """Count a granted pre-vote, or adopt the later term of a rejected one."""
        state = self.state
        if response.granted:
            if state.role is Role.PRE_CANDIDATE and response.term == state.term + 1:
                self.count_vote(now, source, True)
        elif response.term > state.term:
            state.follow(now, response.term)

    def on_vote_response(self, now: int, source: str, response: RequestVoteResponse) -> None:
        """Count a response of this term."""
        if self.state.role is Role.CANDIDATE and response.term == self.state.term:
            self.count_vote(now, source, response.granted)

    def on_own_vote_persisted(self, now: int) -> None:
        """Count the candidate's vote for itself."""
        self.count_vote(now, self.state.id, True)

    def count_vote(self, now: int, source: str, granted: bool) -> None:
        """Count a response; with a majority, campaign after a pre-vote or become the leader."""
        self.votes[source] = granted
        voters = self.state.voters
        if sum(self.votes.get(voter, False) for voter in voters) < majority(len(voters)):
            return
        if self.state.role is Role.PRE_CANDIDATE:
            self.campaign(now)
        elif self.state.role is Role.CANDIDATE:
            self.leader.on_elected(now)
