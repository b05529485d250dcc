"""One balancer's member of the fleet, built on one `agreement.Node`. No I/O, no clock.

The owner passes in events by `on_frame`, `on_time`, `call`, `on_version_applied` and
`on_list_received`. It then calls `take()` until that returns None. For each `MemberEffects` it
writes and flushes the data, calls `on_written`, sends the messages and calls `apply`. All calls
come from one thread.

Its parts: `GroupDiscovery` finds the group, `LeaseClient` holds the lease, `CallForwarder` forwards
calls to the leader. `LeaderDuties` and `LeaderCalls` are replaced by new ones whenever the member
becomes leader or ceases to be.
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
COMPACTION_INTERVAL = 512  # entries applied between two snapshots
LOG_LOST = (
    "the log lacks entries that were acknowledged: its folder was restored from an older copy,"
    " or lost data"
)


@dataclass(slots=True)
class MemberEffects:
    """Work for the owner, in this order: write, `on_written`, send, `apply`.

    Attributes:
        identity_lost: why this identity must be given up, or an empty string; if it is set, the
            other attributes are ignored.
        new_log: group and first state of a log to create on disk.
        ready: output of the Raft node, to be written and flushed before `Member.on_written` and
            passed to `Member.apply` last.
        messages: messages to send after `Member.on_written`.
    """

    identity_lost: str = ""
    new_log: tuple[str, PersistentState] | None = None
    ready: Ready | None = None
    messages: list[Outgoing] = field(default_factory=list)


class Member:
    """A member of the fleet, or a balancer that still looks for the fleet's group."""

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
        """Start from the persisted state.

        Args:
            config: this balancer's table of the fleet.
            identity: incarnation under which it takes part.
            persisted: state read from disk, if it belongs to a group.
            now: nanoseconds of a clock that also runs while the machine sleeps.
            random: source of all random draws.
            host: process that runs the member.
            own_settings: settings of its own file, proposed if the fleet has none yet.
            placement: placement of replicas of keys, if this balancer keeps any.
            applied_version: version that the deciding thread acts on.

        Raises:
            msgspec.DecodeError: the persisted state can't be decoded.
        """
        self.context = MemberContext(config, identity, host, random)
        self.own_settings = own_settings
        self.placement = placement
        self.discovery = GroupDiscovery(self.context, now)
        self.lease_client = LeaseClient(self.context, now, applied_version)
        self.forwarder = CallForwarder(self.context)
        self.duties = LeaderDuties(self.context, now, own_settings, placement)
        self.leader_calls = LeaderCalls(self.duties)
        # For the deciding thread and for the replication thread; the owner takes them from here.
        self.views: list[AppliedView] = []
        self.placements: list[Views] = []
        self._applied_index = -1
        self._viewed_version: int | None = None
        self._led_before = False
        if persisted is not None:
            self.context.start_node(persisted, now)

    @property
    def id(self) -> str:
        """Return this incarnation's id: name#incarnation."""
        return self.context.id

    @property
    def group(self) -> str:
        """Return the group it belongs to, or an empty string."""
        return self.context.group

    @property
    def node(self) -> Node | None:
        """Return the Raft node; None without a group."""
        return self.context.node

    @property
    def machine(self) -> StateMachine:
        """Return the replicated state machine."""
        return self.context.machine

    @property
    def state(self) -> FleetState:
        """Return the agreed state as far as it has been applied here."""
        return self.context.state

    @property
    def is_leader(self) -> bool:
        """Return whether it leads the group, as far as it knows."""
        return self.context.is_leader

    @property
    def leader(self) -> str:
        """Return the leader's id, or an empty string."""
        return self.context.leader

    @property
    def members(self) -> Members:
        """Return the group's members."""
        return self.context.members

    def address_of(self, member_id: str) -> str:
        """Return a member's address, or an empty string."""
        return next((m.address for m in self.members if m.id == member_id), "")

    def lease_until(self) -> int:
        """Return until when the deciding thread may act on its version; 0 if it may not."""
        return self.lease_client.valid_until()

    def give_up_identity(self, reason: str) -> None:
        """End this incarnation; the next `take` returns the reason."""
        self.context.identity_lost = reason

    def due(self) -> int:
        """Return when to call `on_time` next, in nanoseconds."""
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
        """Run everything that is due."""
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
        """Record that the deciding thread now acts on `version`."""
        self.lease_client.on_version_applied(now, version)

    def on_list_received(
        self, now: int, generation: int, digest: bytes, servers: list[ListedServer]
    ) -> None:
        """Store an endpoint list that this balancer's own list agent delivered."""
        self.context.received_list = ReceivedList(generation, digest, servers)
        if self.node is not None and self.node.is_voter():
            client = self.lease_client
            client.request_at = min(client.request_at, now)

    def on_replica_capability(self, now: int, holds_replicas: bool) -> None:
        """Record whether this balancer can now hold replicas of keys, and report it."""
        self.lease_client.holds_replicas = holds_replicas
        self.lease_client.request_at = now

    def on_replica_messages(self, now: int, source: str, messages: Iterable[Any]) -> None:
        """Process a member's reports about its replicas; they are ignored unless this one leads."""
        if self.is_leader and self.duties.replicas is not None:
            self.duties.replicas.on_messages(now, source, messages)
            self.duties.run_at = now

    def on_frame(self, now: int, source: str, frame: AnyFrame) -> None:
        """Process a frame; `source` is the id in the Hello of its connection."""
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
                # The next frames of this batch need the duties of the member's new role.
                self._check_leadership(now)

    def _on_call(self, now: int, source: str, call: Call) -> None:
        def reply(ok: bool, body: Any) -> None:
            """Send the answer to the member that forwarded the call."""
            self.context.send(source, Result(call.number, ok, body))

        if self.is_leader:
            self.leader_calls.handle(now, call.name, call.args, reply)
        else:
            reply(False, {"why": "not the leader", "again": True})

    def call(self, now: int, name: str, args: dict[str, Any], reply: Reply, timeout: int) -> None:
        """Call the leader; `reply` is called once, within `timeout` nanoseconds."""
        self.forwarder.call(now, name, args, reply, timeout, self.leader_calls)

    def take(self) -> MemberEffects | None:
        """Return the next work for the owner, or None."""
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
        """Record that the data of `ready` is on disk."""
        self.context.raft.on_persisted(now, ready)
        self._check_leadership(now)

    def apply(self, now: int, ready: Ready) -> None:
        """Apply the agreed entries, after all messages are sent; raises UnreadableEntryError."""
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
            # The request reports without delay whether the settings can be read here.
            self.lease_client.request_at = now

    def _on_replicas_placed(self, now: int, command: PlaceReplicas) -> None:
        # Pass on each view: a replica that skipped one would not know whether it is complete.
        partitions = self.state.partitions
        placed = {
            partition: placement
            for partition, placement in command.partitions.items()
            if partitions.get(partition) == placement
        }
        self.placements.append(placed)
        self.duties.run_at = now
        if self.is_leader:
            # Send heartbeats now: they tell followers that the placement is agreed, and
            # reservations wait there for it.
            for peer in self.context.raft.peers.values():
                peer.heartbeat_due_at = min(peer.heartbeat_due_at, now)

    def _on_read(self, now: int, token: object) -> None:
        """Finish a read: all that was agreed before its request has been applied here."""
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
