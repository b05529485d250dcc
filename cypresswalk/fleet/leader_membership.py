"""The leader's duty to change the group's members to the desired ones. No I/O, no clock."""

from cypresswalk.agreement.messages import Member, Members
from cypresswalk.fleet.commands import SetDesiredMembers
from cypresswalk.fleet.member_context import MAX_MESSAGE_AGE, MemberContext
from cypresswalk.fleet.messages import DiscoveryRequest
from cypresswalk.fleet.unavailability import name_of

MAX_MEMBERS = 207  # 7 voters and 200 followers without a vote
MAX_LAG = 16  # entries that a member which counts as caught up may lack


class MembershipDuty:
    """Duty to change members and voters, one step at a time (Raft dissertation, 4.1)."""

    def __init__(self, context: MemberContext):
        """Begin without join requests."""
        self.context = context
        # Join requests and their times of arrival, by balancer name.
        self._joining: dict[str, tuple[int, DiscoveryRequest]] = {}

    def request_join(self, now: int, request: DiscoveryRequest) -> str:
        """Store a balancer's request to join; return why it may not join, or an empty string."""
        context = self.context
        name = name_of(request.id)
        if name in context.state.departed:
            return "it has left the fleet; `fleet join` allows it to join again"
        if len(context.members) >= MAX_MEMBERS:
            return f"the fleet has {MAX_MEMBERS} members"
        for member in context.members:
            peer = context.raft.peers.get(member.id)
            # Two processes with one name would replace each other again and again.
            if (
                member.name == name
                and peer is not None
                and peer.acknowledged_round
                and now - peer.last_response_at < MAX_MESSAGE_AGE
            ):
                return "a balancer with that name is still in contact with the leader"
        self._joining[name] = now, request
        return ""

    def run(self, now: int) -> None:
        """Take the next step; raise BusyError if the log is busy."""
        context = self.context
        members = context.members
        if not context.state.voters:
            if context.has_committed_in_term():
                self._propose_first_voters(now, members)
            return
        wanted = self._next_members(now, members)
        if wanted is not None:
            context.raft.change_membership(now, wanted)

    def _propose_first_voters(self, now: int, members: Members) -> None:
        context = self.context
        names = {member.name for member in members if member.voter}
        command = SetDesiredMembers(
            f"voters:{context.group}",
            context.config.name,
            context.host.wall_ms(),
            sorted(names),
            [],
        )
        context.propose(now, command)

    def _next_members(self, now: int, members: Members) -> Members | None:
        newest = {member.name: member for member in members}  # the latest incarnation of each
        leaving = self._leaving(now, members, newest)
        if any(not member.voter for member in leaving):
            return tuple(member for member in members if member.voter or member not in leaving)
        # Add all joining balancers in one change, since each change is sent to every member: 200
        # balancers that start together would otherwise cause 200 changes.
        joining = self._take_joining(now, members)
        if joining:
            return (*members, *joining)
        promoted = self._member_to_promote(now, newest, leaving)
        if promoted is not None:
            return _with_vote(members, promoted, voter=True)
        demoted = self._member_to_demote(members, newest, leaving)
        if demoted is not None and sum(member.voter for member in members) > 1:
            return _with_vote(members, demoted, voter=False)
        return None

    def _leaving(self, now: int, members: Members, newest: dict[str, Member]) -> list[Member]:
        """Return the members to remove.

        A follower that holds replicas is kept until they have been placed elsewhere.
        """
        state = self.context.state
        holders = {holder for _, replicas in state.partitions.values() for holder in replicas}
        return [
            member
            for member in members
            if newest[member.name] is not member
            or member.name in state.departed
            and (
                member.voter
                or member.id not in holders
                or not self.context.heard_recently(now, member.id)
            )
        ]

    def _take_joining(self, now: int, members: Members) -> list[Member]:
        joining, self._joining = self._joining, {}
        return [
            Member(request.id, False, request.address, request.zone)
            for asked_at, request in joining.values()
            if now - asked_at < MAX_MESSAGE_AGE
            and not any(member.id == request.id for member in members)
        ]

    def _member_to_promote(
        self, now: int, newest: dict[str, Member], leaving: list[Member]
    ) -> Member | None:
        for name in self.context.state.voters:
            member = newest.get(name)
            if (
                member is not None
                and not member.voter
                and member not in leaving
                and self._caught_up(now, member.id)
            ):
                return member
        return None

    def _member_to_demote(
        self, members: Members, newest: dict[str, Member], leaving: list[Member]
    ) -> Member | None:
        """Return a voter whose vote is to be removed.

        It loses its vote once all desired voters vote, or at once if it is to leave the fleet.
        """
        desired = self.context.state.voters
        voting = {m.name for m in members if m.voter and newest[m.name] is m}
        all_vote = all(name in voting for name in desired if name in newest)
        for member in members:
            if not member.voter or member not in leaving and member.name in desired:
                continue
            if member.name in voting and member in leaving or all_vote:
                return member
        return None

    def _caught_up(self, now: int, member_id: str) -> bool:
        node = self.context.raft
        peer = node.peers.get(member_id)
        return (
            peer is not None
            and peer.matched_round is not None
            and now - peer.last_response_at < MAX_MESSAGE_AGE
            and peer.match_index >= node.commit_index - MAX_LAG
        )


def _with_vote(members: Members, changed: Member, voter: bool) -> Members:
    return tuple(
        Member(member.id, voter, member.address, member.zone) if member is changed else member
        for member in members
    )
