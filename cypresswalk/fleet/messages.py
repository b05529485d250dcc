"""What balancers of a fleet, and its tools, say to each other beside the words of agreement, and the frames they stand in.

A frame is u32 little-endian length, u32 CRC of what follows, then MessagePack: a word that the way has changed and that still
reads as one would do harm that nobody sees (TCP's own sum does not find them all: Stone and Partridge, SIGCOMM 2000). The first on a connection is a Hello; what does not fit ends the
connection and is counted. No frame is longer than LARGEST; a connection carries words one way, from who dialled, except that a
Hello may be answered by Refused and a tool's Call by Result."""

import struct
from typing import Any
from zlib import crc32

import msgspec

from cypresswalk.agreement.messages import (
    AppendEntries,
    AppendEntriesResponse,
    DataLossDetected,
    InstallSnapshotChunk,
    InstallSnapshotChunkResponse,
    Members,
    Message,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
)
from cypresswalk.copies.messages import MessageBatch

PROTOCOL = 2
LARGEST = 8 << 20  # an append or piece and its envelope take 300 KB; a list of 20,000 servers 3 MB
HEAD = struct.Struct("<II")


class Hello(Message, frozen=True):
    """`to` is whom the dialler means; empty where it does not know."""

    protocol: int
    fleet: str
    kind: str  # "member" or "tool"
    group: str
    id: str
    boot: int
    life: int  # drawn at each start
    address: str
    to: str


class HelloRejected(Message, frozen=True, tag="Refused"):
    """`code`: "fleet", "protocol", "group", "replaced", "fenced", "full", "twice"."""

    code: str
    why: str


class DiscoveryRequest(Message, frozen=True, tag="Hail"):
    """By one that belongs to no group yet, or lost it."""

    id: str
    group: str
    address: str
    zone: str
    first: str  # of the first members, as its table has them
    founder: bool  # one of them


class DiscoveryResponse(Message, frozen=True, tag="HailAnswer"):
    id: str
    group: str  # empty for one that belongs to none itself
    first: str
    members: Members
    leader: str
    refused: str
    replaced: bool  # the leader, sure to lead still: this id is no member of its group (any more)
    fenced: list[str]  # groups that its own took the place of, by an operator's word


class BootstrapGroup(Message, frozen=True, tag="Found"):
    """The group begins with these, if its receiver belongs to none."""

    group: str
    members: Members


class ServerReport(msgspec.Struct, frozen=True, array_like=True):
    """What a balancer has to say of servers. `bad`: in service by its list and not ready for flows, by its own probes and connects,
    whether or not they are out by hand; `standing`: its flows at those that are out; `served`: of each, connects brought up, rejected and
    failed since this process began, and their set-ups' sum, while a release of servers is under way."""

    bad: list[str] = []
    standing: dict[str, int] = {}
    served: dict[str, tuple[int, int, int, int]] = {}


class LeaseRequest(Message, frozen=True, tag="Ask"):
    """For a lease, and what its sender has to tell the leader meanwhile."""

    number: int
    version: int  # that it acts on
    proposal_id: str  # the pending one it has looked at
    objection: str  # why it can't read that, or empty
    generation: int  # of the list that it was told by its own agent
    digest: bytes
    data_losses: int  # how often its folder was found damaged or put back
    holds_replicas: bool = False  # copies of what others claimed
    ready: bool | None = None  # flows that came now would be placed; None: nobody has said
    served: tuple[int, int, int, int] = (
        0,
        0,
        0,
        0,
    )  # flows up, rejected, failed since its process began, and their set-ups' sum
    boot: int = 0  # how often it has started
    last_lease: int = 0  # number of the latest that it was granted: what this word says was so after that was given
    servers: ServerReport = ServerReport()


class LeaseGrant(Message, frozen=True, tag="Grant"):
    number: int
    version: int


class Call(Message, frozen=True):
    number: int
    name: str
    args: dict[str, Any]


class Result(Message, frozen=True):
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
    | RequestVote
    | RequestVoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshotChunk
    | InstallSnapshotChunkResponse
    | TimeoutNow
    | DataLossDetected
    | MessageBatch
)
frames = msgspec.msgpack.Decoder(AnyFrame)
encode = msgspec.msgpack.encode


class FrameError(Exception):
    """What came is no frame; the message says why."""


def pack(frame: AnyFrame) -> bytes:
    data = encode(frame)
    if len(data) > LARGEST:
        raise FrameError(f"{len(data)} bytes, more than {LARGEST}")
    return HEAD.pack(len(data), crc32(data)) + data


class Frames:
    """Is fed bytes as they come, gives whole frames. Memory stays under one longest frame and one read."""

    def __init__(self, largest: int = LARGEST):
        self.buffer, self.largest = bytearray(), largest

    def feed(self, data: bytes) -> None:
        self.buffer += data

    def frame(self) -> AnyFrame | None:
        """Raises FrameError, after which nothing that follows can be believed."""
        if len(self.buffer) < HEAD.size:
            return None
        length, check = HEAD.unpack_from(self.buffer)
        if length > self.largest:
            raise FrameError(f"a frame of {length} bytes")
        if len(self.buffer) < HEAD.size + length:
            return None
        data = bytes(self.buffer[HEAD.size : HEAD.size + length])
        del self.buffer[: HEAD.size + length]
        if crc32(data) != check:
            raise FrameError("its checksum is wrong")
        try:
            return frames.decode(data)
        except (msgspec.DecodeError, RecursionError, ValueError) as error:
            raise FrameError(str(error)) from None
