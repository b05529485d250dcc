"""Calls asked at this member: carried to whoever leads, and again where no answer comes.

No I/O, no clock.
"""

from dataclasses import dataclass
from typing import Any

from cypresswalk.fleet.leader_calls import MAX_PENDING_CALLS, LeaderCalls, Reply
from cypresswalk.fleet.member_context import SECOND, MemberContext
from cypresswalk.fleet.messages import Call, Result

RETRY_INTERVAL = SECOND // 2  # an unanswered call goes to whoever leads by then
OWN_RETRY_INTERVAL = 4 * RETRY_INTERVAL  # where this member leads
NO_LEADER_INTERVAL = RETRY_INTERVAL // 5  # while no leader is known


@dataclass(slots=True)
class PendingCall:
    """A call that waits for its answer.

    Attributes:
        name: of the call.
        args: its arguments.
        reply: called once with the answer.
        until: when it is given up, in nanoseconds.
        retry_at: when it goes out again.
        sent: whether a leader may have received it.
    """

    name: str
    args: dict[str, Any]
    reply: Reply
    until: int
    retry_at: int = 0
    sent: bool = False


class CallForwarder:
    """The calls that are pending at this member, by number."""

    def __init__(self, context: MemberContext):
        """Begin with none."""
        self.context = context
        self._pending: dict[int, PendingCall] = {}
        self._last_number = 0

    def next_due(self) -> int | None:
        """Return when the next call is to be asked again or given up."""
        calls = self._pending.values()
        return min((min(call.retry_at, call.until) for call in calls), default=None)

    def call(
        self,
        now: int,
        name: str,
        args: dict[str, Any],
        reply: Reply,
        span: int,
        leader_calls: LeaderCalls,
    ) -> None:
        """Ask the leader; `reply` is called once, within `span` nanoseconds.

        Asked again for as long: a command's id makes that harmless.
        """
        if len(self._pending) >= MAX_PENDING_CALLS:
            reply(False, {"why": "too many calls wait", "unsure": False})
            return
        self._last_number += 1
        pending = PendingCall(name, args, reply, now + span)
        self._pending[self._last_number] = pending
        self._forward(now, self._last_number, pending, leader_calls)

    def on_time(self, now: int, leader_calls: LeaderCalls) -> None:
        """Ask again, or give up, where that is due."""
        for number, pending in list(self._pending.items()):
            if now >= pending.until:
                del self._pending[number]
                self._give_up(pending)
            elif now >= pending.retry_at:
                self._forward(now, number, pending, leader_calls)

    def _give_up(self, pending: PendingCall) -> None:
        outcome = "nothing was done"
        if pending.sent and pending.name != "status":
            outcome = "it may or may not come into force; ask for the state"
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
                """Answers the call, once, unless it has to be asked again."""
                if _asks_again(body):
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
        """Take over the leader's answer."""
        pending = self._pending.get(result.number)
        if pending is not None and not _asks_again(result.body):
            del self._pending[result.number]
            pending.reply(result.ok, result.body)


def _asks_again(body: Any) -> bool:
    return isinstance(body, dict) and bool(body.get("again"))
