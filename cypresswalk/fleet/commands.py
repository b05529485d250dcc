"""Commands of the fleet's replicated log, each a msgspec struct whose tag stands in the log.

Fields are encoded as arrays, so their order is the format. The fields of commands that a call
builds (`member_calls.CALL_COMMANDS`) are named for the keys of that call's arguments.
"""

from typing import Any

import msgspec

from cypresswalk.fleet.records import ListedServer
from cypresswalk.rollout import release as releases


class Command(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all commands.

    `ident` is drawn by the requester and makes a command idempotent, `by` names the person or
    balancer that asked, `at` is that one's wall clock in milliseconds.
    """

    ident: str
    by: str
    at: int


class ProposeSettings(Command, frozen=True, tag="Offer"):
    """Propose new settings; `base` is the settings version that the proposer has read."""

    base: int
    settings: dict[str, Any]


class ActivateSettings(Command, frozen=True, tag="Activate"):
    """Put the pending settings in force."""

    proposal_id: str


class RejectSettings(Command, frozen=True, tag="Refuse"):
    """Drop the pending settings; `reasons` has a line for each balancer that can't read them."""

    proposal_id: str
    reasons: list[str]


class RemoveFromRotation(Command, frozen=True, tag="Out"):
    """Take a server out of rotation by hand.

    `forced` goes beyond the bounds too. `seen` maps servers that the leader takes for out to the
    reason.
    """

    server: str
    forced: bool = False
    seen: dict[str, str] = {}


class ReturnToRotation(Command, frozen=True, tag="Back"):
    """End a server's removal by hand."""

    server: str


class ServersSeenReady(Command, frozen=True, tag="Seen"):
    """Servers that most acting balancers saw ready since the version that returned each."""

    servers: dict[str, int]


class UpdateEndpointList(Command, frozen=True, tag="Listing"):
    """An endpoint list that a majority of voters received; only a later generation replaces it."""

    generation: int
    epoch: int
    servers: list[ListedServer]


class ResetListSource(Command, frozen=True, tag="Renew"):
    """The list source starts anew: its generations count from the first again."""


class AddNote(Command, frozen=True, tag="Note"):
    """Record something that was forced at one balancer."""

    what: str


class SetDesiredMembers(Command, frozen=True, tag="Desire"):
    """Names that are to vote, and names that have left the fleet."""

    voters: list[str]
    departed: list[str]


class GrantLeave(Command, frozen=True, tag="Leave"):
    """Let a balancer go out.

    `zones` maps all members by name to their zones, `unavailable` those that the leader takes for
    out to the reason.
    """

    name: str
    why: str
    forced: bool
    zones: dict[str, str]
    unavailable: dict[str, str]


class BalancerReturned(Command, frozen=True, tag="Return"):
    """A balancer is ready again and can no longer go out by `grant`, its leave grant."""

    name: str
    grant: tuple[str, int, str]


class Halt(Command, frozen=True):
    """Nothing more goes out by any call until a person resumes."""

    why: str


class Resume(Command, frozen=True):
    """End a halt, unless anybody has halted since: `halts` is the count that the caller read."""

    halts: int


class BeginRelease(Command, frozen=True, tag="Begin"):
    """Start a release; `known` are the names of all members."""

    plan: releases.Plan
    known: list[str]


class GrantTurn(Command, frozen=True, tag="Go"):
    """The next target of the release may be changed.

    `zones` and `unavailable` as for `GrantLeave`; `boot` counts the target's starts, 0 if unknown.
    """

    name: str
    zones: dict[str, str]
    unavailable: dict[str, str]
    boot: int


class ChangeStarted(Command, frozen=True, tag="Began"):
    """An agent is about to change its process to version `to`.

    `zones` and `unavailable` as for `GrantLeave`: losses since the turn was granted count too.
    """

    name: str
    to: str
    zones: dict[str, str]
    unavailable: dict[str, str]


class ChangeFinished(Command, frozen=True, tag="Came"):
    """An agent reports which version `runs` now, and `why` where that failed."""

    name: str
    runs: str
    why: str


class TurnUnused(Command, frozen=True, tag="Unused"):
    """A server's turn whose agent has not started: the server returns to rotation."""

    name: str


class WaveObserved(Command, frozen=True, tag="Held"):
    """A wave has been healthy for long enough."""

    wave: int


class RollBack(Command, frozen=True, tag="TurnBack"):
    """Return to the version before.

    `release` is the release's name, so that a delayed command spares the next release.
    """

    release: str


class PauseRelease(Command, frozen=True, tag="Pause"):
    """Pause the release of that name, or continue it."""

    release: str
    on: bool


class PlaceReplicas(Command, frozen=True, tag="Place"):
    """Partitions of the idempotency keys: the next view of each and its replicas, primary first."""

    partitions: dict[int, tuple[int, tuple[str, ...]]]


class FenceGroups(Command, frozen=True, tag="Fence"):
    """Ignore messages of the named groups: this group was recovered from one of them."""

    groups: list[str]
    what: str


AnyCommand = (
    ProposeSettings
    | ActivateSettings
    | RejectSettings
    | RemoveFromRotation
    | ReturnToRotation
    | UpdateEndpointList
    | ResetListSource
    | AddNote
    | SetDesiredMembers
    | FenceGroups
    | PlaceReplicas
    | GrantLeave
    | BalancerReturned
    | Halt
    | Resume
    | BeginRelease
    | GrantTurn
    | ChangeStarted
    | ChangeFinished
    | WaveObserved
    | RollBack
    | PauseRelease
    | ServersSeenReady
    | TurnUnused
)
COMMAND_DECODER = msgspec.msgpack.Decoder(AnyCommand)
encode = msgspec.msgpack.encode
