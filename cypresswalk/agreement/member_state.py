"""The state of one member, which the parts of a `Node` share."""

from enum import Enum
from random import Random

from cypresswalk.agreement.leadership import Leadership
from cypresswalk.agreement.log import Log, Snapshot
from cypresswalk.agreement.messages import AnyMessage
from cypresswalk.agreement.ready import PersistentState, Ready
from cypresswalk.agreement.timing import Timing


class Role(Enum):
    """A member's role in the current term."""

    FOLLOWER = "follower"
    # Asks the voters whether it would win an election, before it starts a new term (pre-vote).
    PRE_CANDIDATE = "asking"
    CANDIDATE = "candidate"
    LEADER = "leader"


def majority(voters: int) -> int:
    """Return the smallest number that is more than half of `voters`."""
    return voters // 2 + 1


class MemberState:
    """Term, vote, log and role of one member, and the work that is pending for its owner.

    Attributes:
        id: id of this member.
        timing: times and limits of the protocol.
        random: random number generator for the election timeout.
        term: current term.
        voted_for: id of the member voted for in this term, or an empty string.
        log: the log in memory.
        commit_index: index of the last entry known to be committed.
        delivered_index: index up to which committed entries were passed to the owner.
        durable_index: index up to which the log is flushed to disk.
        role: role in this term.
        leader: id of the current leader, or an empty string.
        leader_contact_at: time of the last message from a leader, in nanoseconds; None if there
            was none.
        due_at: time at which the election timeout ends or, at the leader, the quorum is checked
            next, in nanoseconds.
        leadership: the leader's state; None in other roles.
        round: number of the latest append or snapshot chunk; it increases across terms.
        ready: work that is pending for the owner.
        vote_changed: whether term or vote have changed since the owner last took them.
        snapshot_to_restore: snapshot that the owner has to restore its state from, if any.
    """

    def __init__(
        self, member_id: str, persisted: PersistentState, timing: Timing, random: Random, now: int
    ):
        """Start as a follower with the state read from disk."""
        self.id = member_id
        self.timing = timing
        self.random = random
        self.term = persisted.term
        self.voted_for = persisted.voted_for
        self.log = Log(persisted.snapshot, persisted.entries)
        self.commit_index = persisted.snapshot.index
        self.delivered_index = persisted.snapshot.index
        self.durable_index = self.log.last_index
        self.role = Role.FOLLOWER
        self.leader = ""
        self.leader_contact_at: int | None = None
        self.due_at = self.random_election_time(now)
        self.leadership: Leadership | None = None
        self.round = 0
        self.ready = Ready()
        self.vote_changed = False
        self.snapshot_to_restore: Snapshot | None = (
            persisted.snapshot if persisted.snapshot.data else None
        )

    @property
    def voters(self) -> list[str]:
        """Return the ids of the members that vote."""
        return [member.id for member in self.log.members if member.voter]

    @property
    def is_voter(self) -> bool:
        """Return whether this member votes."""
        return self.id in self.voters

    @property
    def is_vote_taken(self) -> bool:
        """Return whether the owner has taken the latest term and vote in order to write them."""
        return not self.vote_changed and self.ready.vote is None

    @property
    def has_committed_in_term(self) -> bool:
        """Return whether an entry of the current term is committed (Raft, 8)."""
        return self.log.term_at(self.commit_index) == self.term

    def random_election_time(self, now: int) -> int:
        """Return a random time between one and two election timeouts from now."""
        timeout = self.timing.election_timeout
        return now + timeout + self.random.randrange(timeout)

    def reset_election_timer(self, now: int) -> None:
        """Restart the election timeout."""
        self.due_at = self.random_election_time(now)

    def become(self, term: int, role: Role) -> None:
        """Change to a role in a term, and discard the leader's state."""
        if term != self.term:
            self.term = term
            self.voted_for = ""
            self.vote_changed = True
        self.leadership = None
        self.role = role
        self.leader = ""

    def follow(self, now: int, term: int, leader: str = "") -> None:
        """Become a follower of `leader`, or of a leader that is not known yet."""
        self.become(term, Role.FOLLOWER)
        self.leader = leader
        self.reset_election_timer(now)

    def vote_for(self, candidate: str) -> None:
        """Vote in the current term; the vote has to be flushed before it is sent."""
        self.voted_for = candidate
        self.vote_changed = True

    def send(self, receiver: str, message: AnyMessage) -> None:
        """Queue a message; the owner sends it after it has flushed the pending writes."""
        self.ready.messages.append((receiver, message))
