"""Tests of a fleet member that gets a batch of frames, then a tick, as from the fleet's thread."""

from random import Random

import pytest

from cypresswalk.agreement.log import Snapshot
from cypresswalk.agreement.messages import Member as GroupMember
from cypresswalk.agreement.messages import RequestVoteResponse
from cypresswalk.agreement.ready import PersistentState
from cypresswalk.fleet.member import Member
from cypresswalk.fleet.member_context import MemberConfig, MemberIdentity
from cypresswalk.fleet.messages import (
    PROTOCOL,
    AnyFrame,
    BootstrapGroup,
    Hello,
    HelloRejected,
    LeaseRequest,
    ServerReport,
)
from cypresswalk.fleet.state_machine import StateMachine
from cypresswalk.model import SECOND

START = 100 * SECOND
ELECTION_TIMEOUT = 60 * SECOND  # within which a member without a leader campaigns
GROUP = "fleet-1"


class HostDouble:
    """Host process without flows, whose settings are always accepted."""

    def settings_objection(self, settings: dict) -> str:
        """Accept all settings."""
        return ""

    def is_ready(self) -> bool | None:
        """Return that flows would be placed."""
        return True

    def flow_counts(self) -> tuple[int, int, int, int]:
        """Return zero flows."""
        return 0, 0, 0, 0

    def server_report(self) -> ServerReport:
        """Return an empty report."""
        return ServerReport()

    def wall_ms(self) -> int:
        """Return a fixed time."""
        return 0


def carry_out(member: Member, now: int) -> None:
    """Write the member's data and apply its entries; drop its messages."""
    while (effects := member.take()) is not None:
        if effects.ready is not None:
            member.on_written(now, effects.ready)
            member.apply(now, effects.ready)


@pytest.fixture
def member() -> Member:
    """Return the first of three voters of a group that has agreed on nothing yet."""
    members = tuple(GroupMember(f"n{i}#1", True, f"127.0.0.1:{i + 1}") for i in range(3))
    persisted = PersistentState(Snapshot(0, 1, members, StateMachine().dump()), [], 1, "")
    config = MemberConfig(
        fleet="fleet",
        name="n0",
        address="127.0.0.1:1",
        zone="a",
        seeds=(("n0", "127.0.0.1:1"),),
        max_contradiction=5 * SECOND,
    )
    identity = MemberIdentity("n0#1", GROUP, 1)
    return Member(config, identity, persisted, START, Random(1), HostDouble())


def become_candidate(member: Member) -> int:
    """Advance time until the member has voted for itself; return that time."""
    assert member.node is not None
    for now in range(START, START + ELECTION_TIMEOUT, SECOND // 10):
        member.on_time(now)
        carry_out(member, now)
        if member.node.role.name == "PRE_CANDIDATE":
            term = member.node.term + 1
            member.on_frame(now, "n1#1", RequestVoteResponse(term, True, True))
            carry_out(member, now)
            return now
    raise AssertionError("the member never campaigned")


def test_lease_request_in_the_batch_that_elects_the_leader_is_accepted(member):
    # A member that one frame elected leader handled the lease request in the next frame before it
    # had any lease grants, which ended the fleet's thread. Found by reading the code.
    now = become_candidate(member)
    member.on_frame(now, "n1#1", RequestVoteResponse(member.node.term, True, False))
    assert member.is_leader
    member.on_frame(now, "n1#1", LeaseRequest(1, 0, "", "", -1, b"", 0))
    member.on_time(now)
    carry_out(member, now)
    assert member.duties.grants is not None
    assert "n1#1" in member.duties.applied_versions


@pytest.mark.parametrize(
    "frame",
    [
        Hello(PROTOCOL, "fleet", "member", GROUP, "n1#1", 1, 7, "127.0.0.1:2", "n0#1"),
        HelloRejected("fleet", "another fleet"),
        BootstrapGroup(GROUP, ()),
    ],
)
def test_frame_that_is_no_raft_message_does_not_reach_the_raft_node(member, frame: AnyFrame):
    # A second Hello on a connection reached the Raft node, which does not handle that message, and
    # this ended the fleet's thread. Found by reading the code.
    member.on_frame(START, "n1#1", frame)
    member.on_time(START)
    carry_out(member, START)
