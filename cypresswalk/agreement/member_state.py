"""The state of one member, shared by the parts of a `Node`."""

from enum import Enum
from random import Random

from cypresswalk.agreement.leadership import Leadership
from cypresswalk.agreement.log import Log, Snapshot
from cypresswalk.agreement.messages import AnyMessage
from cypresswalk.agreement.ready import PersistentState, Ready
from cypresswalk.agreement.timing import Timing


class Role(Enum):
    """A member's role in its term."""

    FOLLOWER = "follower"
    # Asks whether it would win an election, before it begins a new term (pre-vote).
    PRE_CANDIDATE = "asking"
    CANDIDATE = "candidate"
    LEADER = "leader"


def majority(voters: int) -> int:
    """The smallest number that is more than half of `voters`."""
    return voters // 2 + 1


class MemberState:
    """Term, vote, log and role of one member, and the work that has gathered for its owner."""

    def __init__(
        self, member_id: str, persisted: PersistentState, timing: Timing, random: Random, now: int
    ):
        """A follower with what stands on disk."""
        self.id = member_id
        self.timing = timing
        self.random = random
        self.term = persisted.term
        self.voted_for = persisted.voted_for
        self.log = Log(persisted.snapshot, persisted.entries)
        self.commit_index = persisted.snapshot.index
        # Up to here the owner was given what is committed.
        self.delivered_index = persisted.snapshot.index
        # Up to here the log is flushed.
        self.durable_index = self.log.last_index
        self.role = Role.FOLLOWER
        self.leader = ""
        self.leader_heard_at: int | None = None
        # When an election starts, or, at the leader, when it next looks at its quorum.
        self.due_at = self.random_election_time(now)
        self.leadership: Leadership | None = None
        # Of the latest append; it rises over all terms.
        self.round = 0
        self.ready = Ready()
        # Term or vote differ from what `ready` or the disk has.
        self.vote_changed = False
        self.snapshot_to_restore: Snapshot | None = (
            persisted.snapshot if persisted.snapshot.data else None
        )

    @property
    def voters(self) -> list[str]:
        """Ids of the members that vote."""
        return [member.id for member in self.log.members if member.voter]

    @property
    def is_voter(self) -> bool:
        """Whether this member votes."""
        return self.id in self.voters

    @property
    def is_vote_flushed(self) -> bool:
        """Whether term and vote were handed to the owner to be written."""
        return not self.vote_changed and self.ready.vote is None

    @property
    def has_committed_in_term(self) -> bool:
        """Whether an entry of the current term is committed (Raft, 8)."""
        return self.log.term_at(self.commit_index) == self.term

    def random_election_time(self, now: int) -> int:
        """When to start an election: between one and two election timeouts from now."""
        timeout = self.timing.election_timeout
        return now + timeout + self.random.randrange(timeout)

    def reset_election_timer(self, now: int) -> None:
        """Waits a whole election timeout from now on."""
        self.due_at = self.random_election_time(now)

    def become(self, term: int, role: Role) -> None:
        """Takes a role in a term; a leader's state ends here."""
        if term != self.term:
            self.term = term
            self.voted_for = ""
            self.vote_changed = True
        self.leadership = None
        self.role = role
        self.leader = ""

    def follow(self, now: int, term: int, leader: str = "") -> None:
        """Becomes a follower of `leader`, or of one not known yet."""
        self.become(term, Role.FOLLOWER)
        self.leader = leader
        self.reset_election_timer(now)

    def vote_for(self, candidate: str) -> None:
        """Votes in the current term; the vote is to be flushed before it is sent."""
        self.voted_for = candidate
        self.vote_changed = True

    def send(self, receiver: str, message: AnyMessage) -> None:
        """Sends after what is to be written is flushed."""
        self.ready.messages.append((receiver, message))
