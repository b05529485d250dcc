"""Calls of command line tools that arrive at this balancer."""

from typing import Any

from cypresswalk.fleet.events import CallRequested, Event, ToolFrameReceived
from cypresswalk.fleet.leader_calls import Reply
from cypresswalk.fleet.member import Member
from cypresswalk.fleet.messages import Call, Result

DEFAULT_CALL_TIMEOUT = 5.0  # seconds
MIN_CALL_TIMEOUT = 0.1  # seconds
MAX_CALL_TIMEOUT = 600.0  # seconds


def reply_to(event: ToolFrameReceived, call: Call) -> Reply:
    """Return a function that sends the answer to the tool."""

    def reply(ok: bool, body: Any) -> None:
        """Send the tool the result of its call."""
        event.respond(Result(call.number, ok, body))

    return reply


def reject_call(event: Event, problem: str) -> None:
    """Answer a call with an error while no member runs; ignore other events."""
    match event:
        case CallRequested():
            why = f"this balancer's part in the fleet has stopped: {problem}"
            event.reply(False, {"why": why, "unsure": False})
        case ToolFrameReceived(frame=Call() as call):
            why = f"its part in the fleet has stopped: {problem}"
            reply_to(event, call)(False, {"why": why})


def pop_call_timeout(args: dict[str, Any]) -> float:
    """Remove the timeout from a call's arguments and return it in seconds, within its limits."""
    try:
        return min(
            max(float(args.pop("span", DEFAULT_CALL_TIMEOUT)), MIN_CALL_TIMEOUT), MAX_CALL_TIMEOUT
        )
    except (TypeError, ValueError):
        return DEFAULT_CALL_TIMEOUT


def local_status(member: Member) -> dict[str, Any]:
    """Return a member's local status; the keys are part of the tools' interface."""
    node = member.node
    return {
        "id": member.id,
        "group": member.group,
        "leader": member.leader,
        "role": node.role.value if node else "none",
        "term": node.term if node else 0,
        "index": node.commit_index if node else -1,
        "last": node.log.last_index if node else -1,
        "version": member.state.version,
        "acts_on": member.lease_client.applied_version,
    }
