"""Bootstrap and discovery of a group, by discovery requests and responses.

No I/O, no clock. A group is bootstrapped once, by the seed member whose name sorts first, when
every other seed member has recently answered that it belongs to no group and has the same seed
members in its table. A balancer that finds a group joins it as a follower, under its own
incarnation.
"""

import logging
from contextlib import suppress
from dataclasses import dataclass

from cypresswalk.agreement.errors import BusyError
from cypresswalk.agreement.log import Snapshot
from cypresswalk.agreement.messages import Member, Members
from cypresswalk.agreement.ready import PersistentState
from cypresswalk.fleet.leader_membership import MembershipDuty
from cypresswalk.fleet.member_context import MAX_MESSAGE_AGE, SECOND, MemberContext
from cypresswalk.fleet.messages import DiscoveryRequest, DiscoveryResponse
from cypresswalk.fleet.unavailability import name_of

log = logging.getLogger(__name__)
SEARCH_INTERVAL = SECOND // 2  # how often a balancer without a group looks for one
LEADER_LOST = 3 * SECOND  # a member without contact to a leader for this long searches, too
MAX_RESPONSES = 32  # of other balancers, remembered at a time


@dataclass(frozen=True, slots=True)
class ReplacedRead:
    """A read token for a discovery request whose sender may have been replaced.

    Once the read is confirmed, the requester can be notified that it is no longer a member.
    """

    request: DiscoveryRequest


class GroupDiscovery:
    """Discovery or bootstrap of this member's group, and answers to other balancers."""

    def __init__(self, context: MemberContext, now: int):
        """Schedule the first search for the first call of `on_time`."""
        self.context = context
        self.search_at = now
        # The arrival time and the response, by the responder's name if it has no group, else by
        # "@" and the leader that it named.
        self.responses: dict[str, tuple[int, DiscoveryResponse]] = {}
        # A group just bootstrapped or found, whose log has still to be created on disk.
        self.new_log: tuple[str, PersistentState] | None = None

    def on_time(self, now: int) -> None:
        """Search for a group if a search is due."""
        if now >= self.search_at:
            jitter = self.context.random.randrange(SEARCH_INTERVAL // 4)
            self.search_at = now + SEARCH_INTERVAL + jitter
            self._search(now)

    def _search(self, now: int) -> None:
        context = self.context
        if self._has_group(now):
            return
        config = context.config
        request = DiscoveryRequest(
            context.id,
            context.group,
            config.address,
            config.zone,
            config.seed_digest,
            config.is_seed,
        )
        contacted = {config.address}
        for address in self._known_addresses():
            if address and address not in contacted:
                contacted.add(address)
                context.send(address, request)
        if context.node is None:
            self._bootstrap(now)

    def _has_group(self, now: int) -> bool:
        node = self.context.node
        if node is None:
            return False
        if self.context.is_leader:
            return True
        has_recent_leader = (
            node.leader_contact_at is not None and now - node.leader_contact_at < LEADER_LOST
        )
        return has_recent_leader and self.context.is_member(self.context.id)

    def _known_addresses(self) -> list[str]:
        context = self.context
        return [
            *(address for _, address in context.config.seeds),
            *(member.address for member in context.members),
            *(
                member.address
                for _, response in self.responses.values()
                for member in response.members
            ),
        ]

    def _bootstrap(self, now: int) -> None:
        context, config = self.context, self.context.config
        others = [name for name, _ in config.seeds if name != config.name]
        if not config.is_seed or any(name < config.name for name in others):
            return
        members = [Member(context.id, True, config.address, config.zone)]
        addresses = dict(config.seeds)
        for name in others:
            received = self.responses.get(name)
            if received is None or now - received[0] > MAX_MESSAGE_AGE:
                return
            response = received[1]
            if response.group or response.seed_digest != config.seed_digest:
                return
            seed = response.members[0]
            members.append(Member(seed.id, True, addresses[name], seed.zone))
        group = f"{config.fleet}-{context.random.getrandbits(64):016x}"
        self._adopt(now, group, Snapshot(0, 0, tuple(members), b""))
        names = ",".join(member.id for member in members)
        log.info("event=group_bootstrapped group=%s members=%s", group, names)

    def _adopt(self, now: int, group: str, snapshot: Snapshot) -> None:
        self.context.group = group
        persisted = PersistentState(snapshot)
        self.new_log = group, persisted
        self.context.start_node(persisted, now)

    def on_request(self, now: int, request: DiscoveryRequest, membership: MembershipDuty) -> None:
        """Answer another balancer's discovery request; as the leader, let it join."""
        context, config = self.context, self.context.config
        name = name_of(request.id)
        rejected = ""
        if self._seeds_differ(request):
            context.warn_once(
                "first_members_differ",
                here=config.seed_digest,
                there=request.seed_digest,
                member=request.id,
            )
            rejected = "its table names other seed members than this balancer's"
        elif name == config.name and request.id != context.id:
            rejected = "this balancer has the same name"
        elif context.is_leader and not context.is_member(request.id):
            if request.group == context.group:
                # A voter that discards its identity also loses its copy of the log, so only a
                # leader whose leadership is confirmed may report it as replaced.
                self._check_replaced(now, request)
                return
            rejected = "it belongs to another group"
            if not request.group:
                rejected = membership.request_join(now, request)
        self.respond(request, rejected)

    def _seeds_differ(self, request: DiscoveryRequest) -> bool:
        config = self.context.config
        return (
            self.context.node is None
            and request.is_seed
            and config.is_seed
            and request.seed_digest != config.seed_digest
        )

    def _check_replaced(self, now: int, request: DiscoveryRequest) -> None:
        with suppress(BusyError):  # the requester retries
            self.context.raft.read_index(now, ReplacedRead(request))

    def on_read(self, read: ReplacedRead) -> None:
        """Notify an incarnation that is no longer a member; leadership has been confirmed."""
        if not self.context.is_member(read.request.id):
            self.respond(read.request, replaced=True)

    def respond(
        self, request: DiscoveryRequest, rejected: str = "", replaced: bool = False
    ) -> None:
        """Send what is known of the group; without a group, name only this incarnation."""
        context, config = self.context, self.context.config
        members: Members = context.members
        if context.node is None:
            members = (Member(context.id, False, config.address, config.zone),)
        response = DiscoveryResponse(
            request.id,
            context.group,
            config.seed_digest,
            members,
            context.leader,
            rejected,
            replaced,
            context.state.fenced_groups,
        )
        context.send(request.address, response)

    def on_response(self, now: int, response: DiscoveryResponse) -> None:
        """Process what another balancer knows of the group."""
        if response.id != self.context.id:
            return
        if response.rejected:
            self.context.warn_once("discovery_rejected", reason=response.rejected)
        if not response.group:
            for member in response.members[:1]:
                self.responses[member.name] = now, response
            return
        self.responses["@" + response.leader] = now, response
        while len(self.responses) > MAX_RESPONSES:
            del self.responses[next(iter(self.responses))]
        if self.context.node is None:
            self._join(now, response)
        else:
            self._compare_group(response)

    def _join(self, now: int, response: DiscoveryResponse) -> None:
        context = self.context
        if any(member.id == context.id for member in response.members):
            self._adopt(now, response.group, Snapshot(-1, 0, (), b""))
            log.info("event=group_joined group=%s member=%s", context.group, context.id)

    def _compare_group(self, response: DiscoveryResponse) -> None:
        context = self.context
        if response.group != context.group:
            if context.group in response.fenced_groups:
                context.identity_lost = (
                    f"group {context.group} was fenced off; {response.group} took its place"
                )
            else:
                context.warn_once("other_group_found", here=context.group, there=response.group)
        elif response.replaced:
            context.identity_lost = (
                "another incarnation of this name took its place, or it was never admitted"
            )
