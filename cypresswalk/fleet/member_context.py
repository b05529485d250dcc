"""Context shared by the parts of a fleet member: identity, Raft node, replicated state, outbox."""

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
MAX_MESSAGE_AGE = 2 * SECOND  # older messages tell nothing about a member's present state
MAX_WARNINGS_REMEMBERED = 1000  # distinct warnings that are logged once each

# Receiver and message. The receiver is a member's id, or an address, which contains a colon.
Outgoing = tuple[str, AnyFrame | ReplicationMessage]


class Host(Protocol):
    """The process that runs a member, as the member sees it."""

    def settings_objection(self, settings: dict[str, Any]) -> str:
        """Return why this balancer can't act on these settings, or an empty string."""

    def is_ready(self) -> bool | None:
        """Return whether a flow that arrived now would be placed; None if that is unknown."""

    def flow_counts(self) -> FlowCounts:
        """Return counts of established, rejected and failed flows, and the sum of setup times.

        They count from the start of the process; setup times are in nanoseconds.
        """

    def server_report(self) -> ServerReport:
        """Return this balancer's observations of servers."""

    def wall_ms(self) -> int:
        """Return the wall clock in milliseconds, for display only."""


@dataclass(frozen=True, slots=True)
class MemberConfig:
    """A balancer's own table of the fleet.

    Attributes:
        fleet: the fleet's name.
        name: this balancer's name.
        address: address at which other members reach it.
        zone: its zone.
        seeds: names and addresses of the seed members.
        max_contradiction: nanoseconds for which two balancers may act on contradicting versions.
        timing: timing of the Raft node.
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
        """Return a digest of the seed members; equal tables give equal digests."""
        names = "\n".join(f"{name} {address}" for name, address in sorted(self.seeds))
        return blake2b(names.encode(), digest_size=8).hexdigest()

    @property
    def is_seed(self) -> bool:
        """Return whether this balancer is a seed member."""
        return any(name == self.name for name, _ in self.seeds)


def config_of(table: FleetTable) -> MemberConfig:
    """Return the member's configuration from the operator's table."""
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
    """The incarnation of a balancer that a member runs as.

    A balancer gets a new incarnation if its folder holds no log, or if the identity stored there
    must be given up.

    Attributes:
        id: name#incarnation.
        group: group that it belongs to, or an empty string.
        boot: number of starts under this id.
        data_losses: how often its folder was found damaged or restored from an older copy.
    """

    id: str
    group: str = ""
    boot: int = 0
    data_losses: int = 0


@dataclass(slots=True)
class ReceivedList:
    """The latest endpoint list that this balancer's own list agent delivered."""

    generation: int = -1
    digest: bytes = b""
    servers: list[ListedServer] = field(default_factory=list)


class MemberContext:
    """Identity, Raft node, replicated state and outbox of one member, shared by its parts."""

    def __init__(self, config: MemberConfig, identity: MemberIdentity, host: Host, random: Random):
        """Start without a Raft node: the member belongs to no group yet."""
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
        """Start to take part in the group, from the persisted state."""
        self.node = Node(self.id, persisted, self.config.timing, self.random, now)

    @property
    def raft(self) -> Node:
        """Return the Raft node of a member that belongs to a group."""
        assert self.node is not None, "only called for a member of a group"
        return self.node

    @property
    def state(self) -> FleetState:
        """Return the agreed state as far as it has been applied here."""
        return self.machine.state

    @property
    def is_leader(self) -> bool:
        """Return whether this member leads its group, as far as it knows."""
        return self.node is not None and self.node.role is Role.LEADER

    @property
    def leader(self) -> str:
        """Return the leader's id, or an empty string."""
        return self.node.leader if self.node is not None else ""

    @property
    def members(self) -> Members:
        """Return the group's members, in the order in which they joined."""
        return self.node.log.members if self.node is not None else ()

    def is_member(self, member_id: str) -> bool:
        """Return whether that incarnation is a member of the group."""
        return any(member.id == member_id for member in self.members)

    def remaining_ids(self) -> set[str]:
        """Return the ids of members that have not left the fleet."""
        return {member.id for member in self.members if member.name not in self.state.departed}

    def zones(self) -> dict[str, str]:
        """Return the names of members that have not left the fleet, with their zones."""
        departed = self.state.departed
        return {member.name: member.zone for member in self.members if member.name not in departed}

    def has_committed_in_term(self) -> bool:
        """Return whether all that earlier leaders committed is known here (Raft, section 8)."""
        node = self.raft
        return node.log.term_at(node.commit_index) == node.term

    def heard_recently(self, now: int, member_id: str) -> bool:
        """Return whether this leader has received a message from that member recently.

        Voters get five times as many heartbeats, so the limit for them is half as long.
        """
        if member_id == self.id:
            return True
        peer = self.raft.peers.get(member_id)
        if peer is None:
            return False
        return now - peer.last_response_at < (
            MAX_MESSAGE_AGE // 2 if member_id in self.raft.voters else MAX_MESSAGE_AGE
        )

    def send(self, to: str, message: AnyFrame | ReplicationMessage) -> None:
        """Queue a message to a member's id, or to an address, which contains a colon."""
        self.outbox.append((to, message))

    def propose(self, now: int, command: AnyCommand) -> None:
        """Propose a command as the leader; raises BusyError while the log accepts none."""
        self.raft.propose(now, encode(command))

    def command_header(self, kind: str, by: str = "") -> tuple[str, str, int]:
        """Return the id, author and time of a command that the leader itself proposes."""
        ident = f"{kind}:{self.random.getrandbits(64):016x}"
        return ident, by or self.config.name, self.host.wall_ms()

    def warn_once(self, event: str, **fields: object) -> None:
        """Log a warning, unless the same one was logged before."""
        key = event + repr(sorted(fields.items()))
        if key in self._warned or len(self._warned) >= MAX_WARNINGS_REMEMBERED:
            return
        self._warned.add(key)
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        log.warning("event=%s %s", event, text)
