"""Frames between the balancers of a fleet, and its tools, beside Raft's own messages.

A frame is a u32 length and a u32 CRC of what follows, both little-endian, then MessagePack. The CRC
is there since TCP's own checksum does not find all that is changed on the way (Stone and Partridge,
SIGCOMM 2000), and a changed message that can still be read does harm that nobody sees.

The first frame on a connection is a Hello; what does not fit ends the connection and is counted. A
connection carries messages one way, from the side that dialled, except that a Hello may be answered
by HelloRejected and a tool's Call by Result.
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

# Flows brought up, rejected and failed, and the sum of their set-ups in nanoseconds, since a
# process began.
FlowCounts = tuple[int, int, int, int]


class Hello(Message, frozen=True):
    """Who dials.

    Attributes:
        protocol: version of this protocol.
        fleet: the fleet's name.
        kind: "member" or "tool".
        group: the sender's group, or an empty string.
        id: the sender's id.
        boot: how often it has started under that id.
        start_nonce: drawn at each start.
        address: where others reach it.
        to: the id that it means to reach; empty where it does not know.
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
    """The answer to a Hello that is not accepted.

    `code` is "fleet", "protocol", "replaced" or "put-back".
    """

    code: str
    reason: str


class DiscoveryRequest(Message, frozen=True, tag="Hail"):
    """Sent by a balancer that belongs to no group yet, or has lost it.

    `seed_digest` is of the seed members in its table; `is_seed`: it is one of them.
    """

    id: str
    group: str
    address: str
    zone: str
    seed_digest: str
    is_seed: bool


class DiscoveryResponse(Message, frozen=True, tag="HailAnswer"):
    """What the responder knows of its group.

    Attributes: id: of the requester. group: empty for a responder that belongs to none itself.
    seed_digest: of the seed members in the responder's table. members: of its group; its own
    incarnation alone where it belongs to none. leader: as far as it knows. rejected: why the
    requester may not join, or an empty string. replaced: said by a leader that is certain to lead
    still: the requester's id is no member (any more). fenced_groups: groups that the responder's
    own took the place of, by an operator's word.
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
    """The group begins with these members; no version sends it."""

    group: str
    members: Members


class ServerReport(msgspec.Struct, frozen=True, array_like=True):
    """What a balancer reports of servers.

    Attributes: unhealthy: in service by its list and not ready for flows, by its own health checks
    and attempts, whether or not they are out of rotation by hand. open_flows: its flows at servers
    that are out. flow_counts: by server, while a release of servers is under way.
    """

    unhealthy: list[str] = []
    open_flows: dict[str, int] = {}
    flow_counts: dict[str, FlowCounts] = {}


class LeaseRequest(Message, frozen=True, tag="Ask"):
    """A request for a lease, with what its sender reports to the leader.

    Attributes:
        number: of the request.
        version: that the sender acts on.
        proposal_id: the pending settings that it has looked at.
        objection: why it can't read them, or an empty string.
        generation: of the endpoint list that its own agent delivered.
        digest: of that list.
        data_losses: how often its folder was found damaged or put back.
        holds_replicas: whether it can hold replicas of keys.
        ready: whether flows that came now would be placed; None where nobody has said.
        flow_counts: of the sender's process.
        boot: how often it has started.
        last_lease: number of the latest lease that it was granted: the request was made after that.
        servers: what it reports of servers.
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
    """The request of that number is granted, on the version in force."""

    number: int
    version: int


class Call(Message, frozen=True):
    """A call by a tool, or forwarded to the leader."""

    number: int
    name: str
    args: dict[str, Any]


class Result(Message, frozen=True):
    """The answer to the call of that number."""

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
    """Return the frame with its header; raises FrameError where it is too long."""
    data = encode(frame)
    if len(data) > MAX_FRAME_SIZE:
        raise FrameError(f"{len(data)} bytes, more than {MAX_FRAME_SIZE}")
    return FRAME_HEADER.pack(len(data), crc32(data)) + data


class FrameDecoder:
    """Is fed bytes as they come and gives whole frames.

    Memory stays under one longest frame and one read.
    """

    def __init__(self, max_size: int = MAX_FRAME_SIZE):
        """Accept frames of up to `max_size` bytes."""
        self.buffer = bytearray()
        self.max_size = max_size

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self.buffer += data

    def next_frame(self) -> AnyFrame | None:
        """Return the next whole frame, or None.

        Raises:
            FrameError: the bytes are no frame; nothing that follows can be believed.
        """
        header_size = FRAME_HEADER.size
        if len(self.buffer) < header_size:
            return None
        length, checksum = FRAME_HEADER.unpack_from(self.buffer)
        if length > self.max_size:
            raise FrameError(f"a frame of {length} bytes")
        if len(self.buffer) < header_size + length:
            return None
        data = bytes(self.buffer[header_size : header_size + length])
        del self.buffer[: header_size + length]
        if crc32(data) != checksum:
            raise FrameError("its checksum is wrong")
        try:
            return FRAME_DECODER.decode(data)
        except (msgspec.DecodeError, RecursionError, ValueError) as error:
            raise FrameError(str(error)) from error
