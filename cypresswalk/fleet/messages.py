"""Frames that the balancers of a fleet and its tools exchange, besides Raft's own messages.

A frame is a u32 length and a u32 CRC of the payload, both little-endian, then the payload in
MessagePack. The CRC is needed because TCP's checksum misses some corruption (Stone and Partridge,
SIGCOMM 2000), and a corrupted message that can still be decoded does unnoticed harm.

The first frame on a connection is a Hello. An invalid frame ends the connection and is counted. A
connection carries messages one way, from the side that dialled, except that HelloRejected may
answer a Hello, and Result a tool's Call.
"""

import struct
from typing import Any
from zlib import crc32

import msgspec

from cypresswalk.agreement.messages import AnyMessage as RaftMessage
from cypresswalk.agreement.messages import Members, Message
from cypresswalk.copies.messages import MessageBatch
from cypresswalk.fleet.errors import FrameError

PROTOCOL = 2
# Bytes. An append or snapshot chunk and its envelope take 300 KB; a list of 20,000 servers 3 MB.
MAX_FRAME_SIZE = 8 << 20
FRAME_HEADER = struct.Struct("<II")  # length and CRC

# Counts of established, rejected and failed flows since the process started, and the sum of their
# setup times in nanoseconds.
FlowCounts = tuple[int, int, int, int]


class Hello(Message, frozen=True):
    """First frame on a connection, which identifies the side that dialled.

    Attributes:
        protocol: version of this protocol.
        fleet: fleet's name.
        kind: "member" or "tool".
        group: sender's group, or an empty string.
        id: sender's id.
        boot: number of the sender's starts under that id.
        start_nonce: random number drawn at each start.
        address: address at which others reach the sender.
        to: id that the sender expects at this address; empty if it knows none.
    """

    protocol: int
    fleet: str
    kind: str
    group: str
    id: str
    boot: int
    start_nonce: int
    address: str
    to: str


class HelloRejected(Message, frozen=True, tag="Refused"):
    """Answer to a Hello that is not accepted.

    Attributes:
        code: "fleet" (other fleet), "protocol" (other version), "replaced" (receiver has another id
            than the sender expects) or "put-back" (a later start of the sender is known).
        reason: explanation for people.
    """

    code: str
    reason: str


class DiscoveryRequest(Message, frozen=True, tag="Hail"):
    """Request of a balancer that belongs to no group yet, or has lost contact with its group.

    Attributes:
        id: sender's id.
        group: sender's group, or an empty string.
        address: address at which others reach the sender.
        zone: sender's zone.
        seed_digest: digest of the seed members in the sender's table.
        is_seed: whether the sender is one of the seed members.
    """

    id: str
    group: str
    address: str
    zone: str
    seed_digest: str
    is_seed: bool


class DiscoveryResponse(Message, frozen=True, tag="HailAnswer"):
    """Answer to a DiscoveryRequest: the group as the responder knows it.

    Attributes:
        id: requester's id.
        group: responder's group; empty if it belongs to none.
        seed_digest: digest of the seed members in the responder's table.
        members: members of the responder's group; its own incarnation alone if it has no group.
        leader: the group's leader, as far as the responder knows.
        rejected: why the requester may not join, or an empty string.
        replaced: whether the requester's id is not, or no longer, a member's; set only by a leader
            that has confirmed that it still leads.
        fenced_groups: former groups that the responder's group replaced on an operator's command.
    """

    id: str
    group: str
    seed_digest: str
    members: Members
    leader: str
    rejected: str
    replaced: bool
    fenced_groups: list[str]


class BootstrapGroup(Message, frozen=True, tag="Found"):
    """Start of a group with these members; no version of the program sends it."""

    group: str
    members: Members


class ServerReport(msgspec.Struct, frozen=True, array_like=True):
    """A balancer's report on servers.

    Attributes:
        unhealthy: servers that its list has in service and that are not ready for flows, judged by
            its own health checks and attempts, whether or not an operator took them out of
            rotation.
        open_flows: its number of open flows at each server that is out of rotation.
        flow_counts: flow counts by server; sent only during a release of servers.
    """

    unhealthy: list[str] = []
    open_flows: dict[str, int] = {}
    flow_counts: dict[str, FlowCounts] = {}


class LeaseRequest(Message, frozen=True, tag="Ask"):
    """Request for a lease, with the sender's report to the leader.

    Attributes:
        number: number of the request.
        version: version that the sender acts on.
        proposal_id: id of the pending settings that it has checked.
        objection: why it can't act on them, or an empty string.
        generation: generation of the endpoint list that its own agent delivered.
        digest: digest of that list.
        data_losses: how often its folder was found damaged or restored from an older copy.
        holds_replicas: whether it can hold replicas of keys.
        ready: whether a flow that arrived now would be placed; None if that is unknown.
        flow_counts: flow counts of the sender's process.
        boot: number of the sender's starts.
        last_lease: number of the latest lease that the sender had been granted when it made the
            request.
        servers: its report on servers.
    """

    number: int
    version: int
    proposal_id: str
    objection: str
    generation: int
    digest: bytes
    data_losses: int
    holds_replicas: bool = False
    ready: bool | None = None
    flow_counts: FlowCounts = (0, 0, 0, 0)
    boot: int = 0
    last_lease: int = 0
    servers: ServerReport = ServerReport()


class LeaseGrant(Message, frozen=True, tag="Grant"):
    """Grant of the lease request `number`; valid for acting on `version` or a later one."""

    number: int
    version: int


class Call(Message, frozen=True):
    """Call from a tool, or one that a member forwards to the leader."""

    number: int
    name: str
    args: dict[str, Any]


class Result(Message, frozen=True):
    """Answer to the call with the same number."""

    number: int
    ok: bool
    body: Any


AnyFrame = (
    Hello
    | HelloRejected
    | DiscoveryRequest
    | DiscoveryResponse
    | BootstrapGroup
    | LeaseRequest
    | LeaseGrant
    | Call
    | Result
    | RaftMessage
    | MessageBatch
)
FRAME_DECODER = msgspec.msgpack.Decoder(AnyFrame)
encode = msgspec.msgpack.encode


def encode_frame(frame: AnyFrame) -> bytes:
    """Return the encoded frame with its header; raises FrameError if it is too long."""
    data = encode(frame)
    if len(data) > MAX_FRAME_SIZE:
        raise FrameError(f"{len(data)} bytes, the maximum is {MAX_FRAME_SIZE}")
    return FRAME_HEADER.pack(len(data), crc32(data)) + data


class FrameDecoder:
    """Decoder of a byte stream into frames.

    It buffers at most one frame of the maximum size and one read.
    """

    def __init__(self, max_size: int = MAX_FRAME_SIZE):
        """Accept frames of up to `max_size` bytes."""
        self.buffer = bytearray()
        self.max_size = max_size

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self.buffer += data

    def next_frame(self) -> AnyFrame | None:
        """Return the next complete frame, or None.

        Raises:
            FrameError: the bytes are no valid frame; the rest of the stream can't be trusted.
        """
        header_size = FRAME_HEADER.size
        if len(self.buffer) < header_size:
            return None
        length, checksum = FRAME_HEADER.unpack_from(self.buffer)
        if length > self.max_size:
            raise FrameError(f"frame of {length} bytes is too long")
        if len(self.buffer) < header_size + length:
            return None
        data = bytes(self.buffer[header_size : header_size + length])
        del self.buffer[: header_size + length]
        if crc32(data) != checksum:
            raise FrameError("wrong checksum")
        try:
            return FRAME_DECODER.decode(data)
        except (msgspec.DecodeError, RecursionError, ValueError) as error:
            raise FrameError(str(error)) from error
