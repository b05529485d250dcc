"""Forwarding of calls from this member to the current leader, with retries of unanswered ones.

No I/O, no clock.
"""

from dataclasses import dataclass
from typing import Any

from cypresswalk.fleet.leader_calls import MAX_PENDING_CALLS, LeaderCalls, Reply
from cypresswalk.fleet.member_context import SECOND, MemberContext
from cypresswalk.fleet.messages import Call, Result

RETRY_INTERVAL = SECOND // 2  # until an unanswered call is sent again, to the current leader
OWN_RETRY_INTERVAL = 4 * RETRY_INTERVAL  # if this member is the leader
NO_LEADER_INTERVAL = RETRY_INTERVAL // 5  # while no leader is known


@dataclass(slots=True)
class PendingCall:
    """A call that waits for its answer.

    Attributes:
        name: name of the call.
        args: its arguments.
        reply: callback, called once with the answer.
        deadline: time at which the call fails, in nanoseconds.
        retry_at: time at which the call is sent again, in nanoseconds.
        sent: whether a leader may have received it.
    """

    name: str
    args: dict[str, Any]
    reply: Reply
    deadline: int
    retry_at: int = 0
    sent: bool = False


class CallForwarder:
    """The pending calls of this member, by number, and their forwarding."""

    def __init__(self, context: MemberContext):
        """Begin without pending calls."""
        self.context = context
        self._pending: dict[int, PendingCall] = {}
        self._last_number = 0

    def next_due(self) -> int | None:
        """Return the time of the next retry or deadline, or None without pending calls."""
        calls = self._pending.values()
        return min((min(call.retry_at, call.deadline) for call in calls), default=None)

    def call(
        self,
        now: int,
        name: str,
        args: dict[str, Any],
        reply: Reply,
        timeout: int,
        leader_calls: LeaderCalls,
    ) -> None:
        """Send a call to the leader; `reply` is called once, within `timeout` nanoseconds.

        Until then the call is retried, which is safe since commands are idempotent by their id.
        """
        if len(self._pending) >= MAX_PENDING_CALLS:
            reply(False, {"why": "too many pending calls", "unsure": False})
            return
        self._last_number += 1
        pending = PendingCall(name, args, reply, now + timeout)
        self._pending[self._last_number] = pending
        self._forward(now, self._last_number, pending, leader_calls)

    def on_time(self, now: int, leader_calls: LeaderCalls) -> None:
        """Send due calls again, and fail those whose deadline has passed."""
        for number, pending in list(self._pending.items()):
            if now >= pending.deadline:
                del self._pending[number]
                self._fail(pending)
            elif now >= pending.retry_at:
                self._forward(now, number, pending, leader_calls)

    def _fail(self, pending: PendingCall) -> None:
        outcome = "nothing was done"
        if pending.sent and pending.name != "status":
            outcome = "it may or may not take effect; query the state"
        why = f"the fleet did not answer in time; {outcome}"
        pending.reply(False, {"why": why, "unsure": pending.sent})

    def _forward(
        self, now: int, number: int, pending: PendingCall, leader_calls: LeaderCalls
    ) -> None:
        context = self.context
        if context.is_leader:
            pending.retry_at = now + OWN_RETRY_INTERVAL
            pending.sent = True

            def reply(ok: bool, body: Any) -> None:
                """Answer the call once, unless it must be retried."""
                if _must_retry(body):
                    pending.retry_at = min(pending.retry_at, now + RETRY_INTERVAL)
                elif self._pending.pop(number, None) is not None:
                    pending.reply(ok, body)

            leader_calls.handle(now, pending.name, pending.args, reply)
        elif context.leader:
            pending.retry_at = now + RETRY_INTERVAL
            pending.sent = True
            context.send(context.leader, Call(number, pending.name, pending.args))
        else:
            pending.retry_at = now + NO_LEADER_INTERVAL

    def on_result(self, result: Result) -> None:
        """Answer a pending call with the leader's result, unless it must be retried."""
        pending = self._pending.get(result.number)
        if pending is not None and not _must_retry(result.body):
            del self._pending[result.number]
            pending.reply(result.ok, result.body)


def _must_retry(body: Any) -> bool:
    return isinstance(body, dict) and bool(body.get("again"))
