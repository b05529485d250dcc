"""What the parts of a fleet member share: identity, Raft node, replicated state, outbox."""

import logging
from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random
from typing import Any, Protocol

from cypresswalk.agreement.member_state import Role
from cypresswalk.agreement.messages import Members
from cypresswalk.agreement.node import Node
from cypresswalk.agreement.ready import PersistentState
from cypresswalk.agreement.timing import Timing
from cypresswalk.copies.messages import AnyMessage as ReplicationMessage
from cypresswalk.fleet.commands import AnyCommand, encode
from cypresswalk.fleet.messages import AnyFrame, FlowCounts, ServerReport
from cypresswalk.fleet.records import FleetState, ListedServer
from cypresswalk.fleet.state_machine import StateMachine
from cypresswalk.operator import FleetTable

log = logging.getLogger(__name__)
SECOND = 1_000_000_000
FRESH = 2 * SECOND  # what was heard longer ago says nothing of now
MAX_WARNINGS_REMEMBERED = 1000  # distinct warnings that are logged once each

Outgoing = tuple[str, AnyFrame | ReplicationMessage]  # to a member's id, or an address with a colon


class Host(Protocol):
    """What a member asks the process that runs it."""

    def settings_objection(self, settings: dict[str, Any]) -> str:
        """Return why this balancer could not act on those settings, or an empty string."""

    def is_ready(self) -> bool | None:
        """Whether flows that came now would be placed; None where nobody has said."""

    def flow_counts(self) -> FlowCounts:
        """Return flows up, rejected and failed, and the sum of their set-ups in nanoseconds.

        Counted since the process began.
        """

    def server_report(self) -> ServerReport:
        """Return what this balancer knows of servers."""

    def wall_ms(self) -> int:
        """Return the wall clock in milliseconds, for people."""


@dataclass(frozen=True, slots=True)
class MemberConfig:
    """A balancer's own table of the fleet.

    Attributes:
        fleet: the fleet's name.
        name: this balancer's.
        address: where others reach it.
        zone: where it stands.
        seeds: names and addresses of the seed members.
        max_contradiction: nanoseconds for which two may act on contradicting versions.
        timing: of the Raft node.
    """

    fleet: str
    name: str
    address: str
    zone: str
    seeds: tuple[tuple[str, str], ...]
    max_contradiction: int
    timing: Timing = Timing()

    @property
    def seed_digest(self) -> str:
        """A digest of the seed members, the same wherever the tables are alike."""
        names = "\n".join(f"{name} {address}" for name, address in sorted(self.seeds))
        return blake2b(names.encode(), digest_size=8).hexdigest()

    @property
    def is_seed(self) -> bool:
        """Whether this balancer is a seed member."""
        return any(name == self.name for name, _ in self.seeds)


def config_of(table: FleetTable) -> MemberConfig:
    """Return the configuration in the operator's table."""
    return MemberConfig(
        fleet=table.fleet,
        name=table.name,
        address=table.address,
        zone=table.zone,
        seeds=tuple(sorted(table.first.items())),
        max_contradiction=int(table.stated_s * SECOND),
    )


@dataclass(frozen=True, slots=True)
class MemberIdentity:
    """Under which incarnation a member runs.

    Attributes:
        id: name#incarnation.
        group: the group it belongs to, or an empty string.
        boot: how often it has started under this id.
        data_losses: how often its folder was found damaged or put back.
    """

    id: str
    group: str = ""
    boot: int = 0
    data_losses: int = 0


@dataclass(slots=True)
class ReceivedList:
    """The endpoint list as this balancer's own list agent delivered it."""

    generation: int = -1
    digest: bytes = b""
    servers: list[ListedServer] = field(default_factory=list)


class MemberContext:
    """Shared by the parts of one member; see the module."""

    def __init__(self, config: MemberConfig, identity: MemberIdentity, host: Host, random: Random):
        """Begin without a Raft node: the member belongs to no group yet."""
        self.config = config
        self.identity = identity
        self.id = identity.id
        self.group = identity.group
        self.host = host
        self.random = random
        self.node: Node | None = None
        self.machine = StateMachine()
        self.outbox: list[Outgoing] = []
        self.identity_lost = ""  # why this identity must be given up
        self.received_list = ReceivedList()
        self._warned: set[str] = set()

    def start_node(self, persisted: PersistentState, now: int) -> None:
        """Begin to take part in the group, from what stands on disk."""
        self.node = Node(self.id, persisted, self.config.timing, self.random, now)

    @property
    def raft(self) -> Node:
        """The node of a member that belongs to a group."""
        assert self.node is not None, "only called for a member of a group"
        return self.node

    @property
    def state(self) -> FleetState:
        """What has been agreed and applied here."""
        return self.machine.state

    @property
    def is_leader(self) -> bool:
        """Whether this member leads its group, as far as it knows."""
        return self.node is not None and self.node.role is Role.LEADER

    @property
    def leader(self) -> str:
        """The leader's id, or an empty string."""
        return self.node.leader if self.node is not None else ""

    @property
    def members(self) -> Members:
        """The group's members, in the order in which they joined."""
        return self.node.log.members if self.node is not None else ()

    def is_member(self, member_id: str) -> bool:
        """Whether that incarnation is a member of the group."""
        return any(member.id == member_id for member in self.members)

    def remaining_ids(self) -> set[str]:
        """Return ids of members that have not left the fleet."""
        return {member.id for member in self.members if member.name not in self.state.departed}

    def zones(self) -> dict[str, str]:
        """Return names of members that have not left the fleet, with their zones."""
        departed = self.state.departed
        return {member.name: member.zone for member in self.members if member.name not in departed}

    def has_committed_in_term(self) -> bool:
        """Whether all that earlier leaders agreed on is known here (Raft, section 8)."""
        node = self.raft
        return node.log.term_at(node.commit_index) == node.term

    def hears(self, now: int, member_id: str) -> bool:
        """Whether the leader has heard that member lately.

        Voters, which get five times as many heartbeats, must have been heard more lately.
        """
        if member_id == self.id:
            return True
        peer = self.raft.peers.get(member_id)
        if peer is None:
            return False
        return now - peer.heard_at < (FRESH // 2 if member_id in self.raft.voters else FRESH)

    def send(self, to: str, message: AnyFrame | ReplicationMessage) -> None:
        """Send to a member's id, or to an address with a colon."""
        self.outbox.append((to, message))

    def propose(self, now: int, command: AnyCommand) -> None:
        """Append a command to the log as the leader; raises BusyError while it can't be taken."""
        self.raft.propose(now, encode(command))

    def command_header(self, kind: str, by: str = "") -> tuple[str, str, int]:
        """Return id, author and time of a command that the leader proposes by itself."""
        ident = f"{kind}:{self.random.getrandbits(64):016x}"
        return ident, by or self.config.name, self.host.wall_ms()

    def warn_once(self, event: str, **fields: object) -> None:
        """Log a warning unless the very same was logged before."""
        key = event + repr(sorted(fields.items()))
        if key in self._warned or len(self._warned) >= MAX_WARNINGS_REMEMBERED:
            return
        self._warned.add(key)
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        log.warning("event=%s %s", event, text)
