"""One balancer's part in the fleet, round one `agreement.Node`. No I/O, no clock.

How it is called: `on_frame`, `on_time`, `call`, `on_version_applied` and `on_list_received` say
what happens. Then the owner takes `take()` until None, and for each `MemberEffects` writes and
flushes what it says, calls `on_written`, sends, calls `apply`. One thread alone calls it.

Its parts: `Discovery` finds the group, `LeaseClient` holds the lease, `CallForwarder` carries calls
to the leader; `LeaderDuties` and `LeaderCalls` are made anew whenever the member begins or ceases
to lead.
"""

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from cypresswalk.agreement.messages import ENTRY_COMMAND, Entry, Members
from cypresswalk.agreement.messages import AnyMessage as RaftMessage
from cypresswalk.agreement.node import Node
from cypresswalk.agreement.ready import PersistentState, Ready
from cypresswalk.fleet.applied_view import AppliedView, view_of
from cypresswalk.fleet.bootstrap import GroupDiscovery, ReplacedRead
from cypresswalk.fleet.call_forwarding import CallForwarder
from cypresswalk.fleet.commands import (
    ActivateSettings,
    PlaceReplicas,
    ProposeSettings,
    RejectSettings,
)
from cypresswalk.fleet.errors import UnreadableEntryError
from cypresswalk.fleet.leader import LeaderDuties, LeaseRead
from cypresswalk.fleet.leader_calls import LeaderCalls, QueryRead, Reply
from cypresswalk.fleet.lease_client import LeaseClient
from cypresswalk.fleet.member_context import (
    Host,
    MemberConfig,
    MemberContext,
    MemberIdentity,
    Outgoing,
    ReceivedList,
)
from cypresswalk.fleet.messages import (
    AnyFrame,
    Call,
    DiscoveryRequest,
    DiscoveryResponse,
    LeaseGrant,
    LeaseRequest,
    Result,
)
from cypresswalk.fleet.records import FleetState, ListedServer
from cypresswalk.fleet.replica_placement import ReplicaPlacement, Views
from cypresswalk.fleet.state_machine import StateMachine

log = logging.getLogger(__name__)
COMPACTION_INTERVAL = 512  # entries applied since the last snapshot: it is taken anew
LOG_LOST = (
    "it lacks what it had acknowledged: its folder was put back from an older copy, or lost a part"
)


@dataclass(slots=True)
class MemberEffects:
    """What the owner carries out: write, `on_written`, send, `apply`.

    Attributes:
        identity_lost: why this identity is given up; the rest is void.
        new_log: a log to begin on disk: its group and first state.
        ready: the Raft node's work: written and flushed before `Member.on_written`, and handed to
            `Member.apply` last.
        messages: to be sent after `Member.on_written`.
    """

    identity_lost: str = ""
    new_log: tuple[str, PersistentState] | None = None
    ready: Ready | None = None
    messages: list[Outgoing] = field(default_factory=list)


class Member:
    """A member of the fleet, or a balancer that looks for the fleet's group."""

    def __init__(
        self,
        config: MemberConfig,
        identity: MemberIdentity,
        persisted: PersistentState | None,
        now: int,
        random: Random,
        host: Host,
        own_settings: dict[str, Any] | None = None,
        placement: ReplicaPlacement | None = None,
        applied_version: int = 0,
    ):
        """Begin with what stands on disk.

        Args:
            config: this balancer's table of the fleet.
            identity: under which it takes part.
            persisted: what stands on disk, if it belongs to a group.
            now: nanoseconds of a clock that goes on while the machine sleeps.
            random: source of all random draws.
            host: the process that runs it.
            own_settings: of its file, proposed where the fleet has none yet.
            placement: where replicas of keys lie, if this balancer keeps any.
            applied_version: the version that the deciding thread acts on.

        Raises:
            msgspec.DecodeError: what was persisted is no state.
        """
        # Over 40 lines since it sets one attribute a line.
        self.context = MemberContext(config, identity, host, random)
        self.own_settings = own_settings
        self.placement = placement
        self.discovery = GroupDiscovery(self.context, now)
        self.lease_client = LeaseClient(self.context, now, applied_version)
        self.forwarder = CallForwarder(self.context)
        self.duties = LeaderDuties(self.context, now, own_settings, placement)
        self.leader_calls = LeaderCalls(self.duties)
        # For the deciding thread, and for whoever keeps replicas here; the owner takes them.
        self.views: list[AppliedView] = []
        self.placements: list[Views] = []
        self._applied_index = -1
        self._viewed_version: int | None = None
        self._led_before = False
        if persisted is not None:
            self.context.start_node(persisted, now)

    @property
    def id(self) -> str:
        """This incarnation's id: name#incarnation."""
        return self.context.id

    @property
    def group(self) -> str:
        """The group it belongs to, or an empty string."""
        return self.context.group

    @property
    def node(self) -> Node | None:
        """The Raft node; None without a group."""
        return self.context.node

    @property
    def machine(self) -> StateMachine:
        """The replicated state machine."""
        return self.context.machine

    @property
    def state(self) -> FleetState:
        """What has been agreed and applied here."""
        return self.context.state

    @property
    def is_leader(self) -> bool:
        """Whether it leads the group, as far as it knows."""
        return self.context.is_leader

    @property
    def leader(self) -> str:
        """The leader's id, or an empty string."""
        return self.context.leader

    @property
    def members(self) -> Members:
        """The group's members."""
        return self.context.members

    def address_of(self, member_id: str) -> str:
        """Return a member's address, or an empty string."""
        return next((m.address for m in self.members if m.id == member_id), "")

    def lease_until(self) -> int:
        """Return until when the deciding thread may act on its version; 0 for not at all."""
        return self.lease_client.valid_until()

    def give_up_identity(self, reason: str) -> None:
        """This incarnation must end; the next `take` says so."""
        self.context.identity_lost = reason

    def due(self) -> int:
        """Return when `on_time` is to be called next, in nanoseconds."""
        due = [self.lease_client.request_at, self.discovery.search_at]
        if self.node is not None:
            due.append(self.node.due())
        if self.is_leader:
            due.append(self.duties.run_at)
        due += [
            at
            for at in (self.forwarder.next_due(), self.leader_calls.next_timeout())
            if at is not None
        ]
        return min(due)

    def on_time(self, now: int) -> None:
        """Do what is due."""
        if self.node is not None:
            self.node.tick(now)
            self._check_leadership(now)
        self.discovery.on_time(now)
        if now >= self.lease_client.request_at:
            self._request_lease(now)
        if self.is_leader and now >= self.duties.run_at:
            self.duties.run(now)
        self.forwarder.on_time(now, self.leader_calls)
        self.leader_calls.check_version_waits(now)

    def _check_leadership(self, now: int) -> None:
        if self.is_leader == self._led_before:
            return
        self._led_before = self.is_leader
        self.duties = LeaderDuties(self.context, now, self.own_settings, self.placement)
        self.leader_calls.retry_version_waits()
        self.leader_calls = LeaderCalls(self.duties)
        if self.placement is not None:
            self.placement.reset(now)
        event = "leadership_gained" if self.is_leader else "leadership_lost"
        log.info("event=%s term=%d member=%s", event, self.context.raft.term, self.id)

    def _request_lease(self, now: int) -> None:
        request = self.lease_client.next_request(now)
        if request is None:
            return
        if self.is_leader:
            self.duties.on_lease_request(now, self.id, request)
        else:
            self.context.send(self.leader, request)

    def on_version_applied(self, now: int, version: int) -> None:
        """The deciding thread acts on that version now."""
        self.lease_client.on_version_applied(now, version)

    def on_list_received(
        self, now: int, generation: int, digest: bytes, servers: list[ListedServer]
    ) -> None:
        """This balancer's own list agent delivered an endpoint list."""
        self.context.received_list = ReceivedList(generation, digest, servers)
        if self.node is not None and self.node.is_voter():
            client = self.lease_client
            client.request_at = min(client.request_at, now)

    def on_replica_capability(self, now: int, holds_replicas: bool) -> None:
        """This balancer can hold replicas of keys from now on, or no more."""
        self.lease_client.holds_replicas = holds_replicas
        self.lease_client.request_at = now

    def on_replica_messages(self, now: int, source: str, messages: Iterable[Any]) -> None:
        """A member reports to the leader about its replicas."""
        if self.is_leader and self.duties.replicas is not None:
            self.duties.replicas.on_messages(now, source, messages)
            self.duties.run_at = now

    def on_frame(self, now: int, source: str, frame: AnyFrame) -> None:
        """Take over a frame; `source` is the id that its connection's Hello named."""
        match frame:
            case DiscoveryRequest():
                self.discovery.on_request(now, frame, self.duties.membership)
            case DiscoveryResponse():
                self.discovery.on_response(now, frame)
            case LeaseRequest():
                self.duties.on_lease_request(now, source, frame)
            case LeaseGrant():
                self.lease_client.on_grant(now, frame)
            case Call():
                self._on_call(now, source, frame)
            case Result():
                self.forwarder.on_result(frame)
            case _ if self.node is not None and isinstance(frame, RaftMessage):
                self.node.step(now, source, frame)
                # The frames that follow in this batch meet the duties of what it is now.
                self._check_leadership(now)

    def _on_call(self, now: int, source: str, call: Call) -> None:
        def reply(ok: bool, body: Any) -> None:
            """Sends the answer to the member that forwarded the call."""
            self.context.send(source, Result(call.number, ok, body))

        if self.is_leader:
            self.leader_calls.handle(now, call.name, call.args, reply)
        else:
            reply(False, {"why": "not the leader", "again": True})

    def call(self, now: int, name: str, args: dict[str, Any], reply: Reply, span: int) -> None:
        """Ask the leader; `reply` is called once, within `span` nanoseconds."""
        self.forwarder.call(now, name, args, reply, span, self.leader_calls)

    def take(self) -> MemberEffects | None:
        """Return what the owner is to carry out next, or None."""
        context = self.context
        if context.identity_lost:
            return MemberEffects(identity_lost=context.identity_lost)
        ready = self.node.take_ready() if self.node is not None else None
        if ready is not None and ready.data_loss:
            return MemberEffects(identity_lost=LOG_LOST)
        messages, context.outbox = context.outbox, []
        new_log, self.discovery.new_log = self.discovery.new_log, None
        if ready is not None:
            messages += ready.messages
        if new_log is None and ready is None and not messages:
            return None
        return MemberEffects(new_log=new_log, ready=ready, messages=messages)

    def on_written(self, now: int, ready: Ready) -> None:
        """What `ready` has to write is on disk."""
        self.context.raft.on_persisted(now, ready)
        self._check_leadership(now)

    def apply(self, now: int, ready: Ready) -> None:
        """Apply what was agreed, once all messages are sent; raises UnreadableEntryError."""
        self._install_snapshot(ready)
        for index, entry in ready.committed:
            self._applied_index = index
            if entry.kind == ENTRY_COMMAND:
                self._apply_entry(now, entry)
        for token, _ in ready.reads:
            self._on_read(now, token)
        self._update_view()
        self._compact()
        self.leader_calls.check_version_waits(now)

    def _install_snapshot(self, ready: Ready) -> None:
        snapshot = ready.restore
        if snapshot is None or snapshot.index <= self._applied_index:
            return
        if snapshot.data:
            self.context.machine = StateMachine(snapshot.data)
            self.placements.append(self.state.partitions)
        self._applied_index = snapshot.index

    def _apply_entry(self, now: int, entry: Entry) -> None:
        command, result = self.machine.apply(entry.data)
        if command is None:
            raise UnreadableEntryError(result.message)
        self.leader_calls.on_applied(command, result)
        if isinstance(command, PlaceReplicas):
            self._on_replicas_placed(now, command)
        elif isinstance(command, ActivateSettings | RejectSettings):
            self.leader_calls.on_proposal_decided(command, result)
        elif isinstance(command, ProposeSettings) and result.accepted and self.state.pending:
            self.lease_client.request_at = now  # says at once whether it can be read here

    def _on_replicas_placed(self, now: int, command: PlaceReplicas) -> None:
        # Each view by itself: a holder that skipped one would not know whether it is complete.
        partitions = self.state.partitions
        placed = {
            partition: placement
            for partition, placement in command.partitions.items()
            if partitions.get(partition) == placement
        }
        self.placements.append(placed)
        self.duties.run_at = now
        if self.is_leader:
            # Followers would hear at their next heartbeat that it is agreed, and claims wait there.
            for peer in self.context.raft.peers.values():
                peer.heartbeat_due_at = min(peer.heartbeat_due_at, now)

    def _on_read(self, now: int, token: object) -> None:
        """Nothing agreed before this read was asked for is missing here."""
        match token:
            case LeaseRead():
                self._grant_lease(now, token)
            case ReplacedRead():
                self.discovery.on_read(token)
            case QueryRead():
                self.leader_calls.on_read(now, token)

    def _grant_lease(self, now: int, read: LeaseRead) -> None:
        if not self.duties.grant_lease(now, read):
            return
        grant = LeaseGrant(read.number, self.state.version)
        if read.member == self.id:
            self.lease_client.on_grant(now, grant)
        else:
            self.context.send(read.member, grant)

    def _update_view(self) -> None:
        version = self.state.version
        if self._applied_index >= 0 and self._viewed_version != version:
            self._viewed_version = version
            self.views.append(view_of(self.state))

    def _compact(self) -> None:
        node = self.context.raft
        snapshot = node.log.snapshot
        applied = self._applied_index
        due = applied - snapshot.index >= COMPACTION_INTERVAL
        if due or snapshot.index < 0 <= applied:
            node.compact(applied, self.machine.dump())
