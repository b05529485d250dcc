"""Routing of messages between the member, the replication thread and other members."""

from typing import TYPE_CHECKING

from cypresswalk.copies.events import MessagesReceived
from cypresswalk.copies.messages import AnyMessage as ReplicationMessage
from cypresswalk.copies.messages import Message as ReplicationMessageBase
from cypresswalk.copies.messages import MessageBatch, PartitionFetched, PartitionSealed, ReplicaSlow
from cypresswalk.fleet.addresses import AddressBook, host_and_port
from cypresswalk.fleet.events import FrameReceived
from cypresswalk.fleet.member import Member
from cypresswalk.fleet.messages import AnyFrame
from cypresswalk.fleet.transport import Transport
from cypresswalk.operator import FleetTable

if TYPE_CHECKING:  # not loaded by a balancer without replicas
    from cypresswalk.copies.driver import ReplicationThread

# Messages from replicas to the leader; all others go between replicas and their clients.
TO_LEADER = PartitionSealed | PartitionFetched | ReplicaSlow


class MessageRouter:
    """Router that passes each message to its receiver; no method blocks."""

    def __init__(
        self, table: FleetTable, transport: Transport, replication: "ReplicationThread | None"
    ):
        """Store the receivers, and read addresses from the operator's table.

        Args:
            table: the operator's table of the fleet.
            transport: connections to other members.
            replication: the replication thread, or None if this balancer keeps no replicas.
        """
        self.addresses = AddressBook(table)
        self.transport = transport
        self.replication = replication

    def send(self, member: Member, to: str, message: AnyFrame | ReplicationMessage) -> None:
        """Send to a member's id or to an address; drop messages to unknown receivers."""
        if isinstance(message, ReplicationMessageBase):
            if to == member.id:
                if self.replication is not None:
                    self.replication.put(MessagesReceived(to, [message]))
                return
            message = MessageBatch([message])
        address, member_id = self.addresses.resolve(member, to)
        if address:
            self.transport.send(host_and_port(address), member_id, message)

    def on_frame(self, now: int, member: Member, event: FrameReceived) -> None:
        """Pass a received frame to the member or to the replication thread."""
        self.addresses.on_hello(event.hello)
        source = event.hello.id
        if not isinstance(event.frame, MessageBatch):
            member.on_frame(now, source, event.frame)
        elif self.replication is not None:
            self._on_batch(now, member, source, event.frame, self.replication)

    def _on_batch(
        self,
        now: int,
        member: Member,
        source: str,
        batch: MessageBatch,
        replication: "ReplicationThread",
    ) -> None:
        for_leader = [message for message in batch.messages if isinstance(message, TO_LEADER)]
        if for_leader:
            member.on_replica_messages(now, source, for_leader)
        if len(for_leader) < len(batch.messages):
            others = [message for message in batch.messages if not isinstance(message, TO_LEADER)]
            replication.put(MessagesReceived(source, others))

    def send_to_leader(self, now: int, member: Member, messages: list[ReplicationMessage]) -> None:
        """Send the replication thread's messages to the leader; drop them if there is none."""
        if member.is_leader:
            member.on_replica_messages(now, member.id, messages)
        elif member.leader:
            self.send(member, member.leader, MessageBatch(messages))
