"""The leader's duty to place replicas of the idempotency keys. No I/O, no clock."""

from collections.abc import Iterable
from typing import Any

from cypresswalk.copies.messages import MAX_CLOCK_SKEW
from cypresswalk.fleet.commands import AddNote, PlaceReplicas
from cypresswalk.fleet.member_context import MemberContext
from cypresswalk.fleet.replica_placement import ReplicaPlacement

MAX_RETRY_AFTER = 20  # times the longest attempt timeout: what a client may ask for (net/core.py)
NANOSECONDS_PER_MILLISECOND = 1_000_000


class ReplicaDuty:
    """Feeds `ReplicaPlacement` with what is known and proposes what it decides."""

    def __init__(self, context: MemberContext, placement: ReplicaPlacement):
        """Begin to place; `placement` has been reset for this time of leading."""
        self.context = context
        self.placement = placement

    def on_messages(self, now: int, source: str, messages: Iterable[Any]) -> None:
        """Take over what a member reports about its replicas."""
        partitions = self.context.state.partitions
        for message in messages:
            self.placement.on_message(now, source, message, partitions)

    def run(self, now: int) -> None:
        """Take the next steps; raises BusyError where the log takes nothing now."""
        context = self.context
        if not context.has_committed_in_term():
            return  # what earlier leaders agreed on is not all known here
        state = context.state
        proposals, messages = self.placement.next_steps(
            now,
            context.members,
            state.partitions,
            state.departed,
            lambda member: context.hears(now, member),
            max_key_retention(state.settings),
        )
        for to, message in messages:
            context.send(to, message)
        if proposals:
            context.propose(now, PlaceReplicas(*context.command_header("place"), proposals))

    def renew(self, now: int, partitions: list[int], by: str) -> str:
        """Let partitions without any replica begin empty, by an operator's word.

        Keys that were claimed there may run again. Returns the answer for the operator.

        Raises:
            ValueError: a partition has replicas, or none was named.
            BusyError: the log takes nothing now.
        """
        with_replicas = [p for p in partitions if p not in self.placement.unreachable]
        if with_replicas:
            raise ValueError(f"parts {with_replicas} have copies")
        if not partitions:
            raise ValueError("no part named")
        header = self.context.command_header("renew", by)
        note = f"copies begun anew with nothing: {partitions}"
        self.context.propose(now, AddNote(*header, note))
        self.placement.renewed.update(partitions)
        return f"{len(partitions)} parts begin anew"


def max_key_retention(settings: dict[str, Any]) -> int:
    """Return the longest time for which a key is kept under these settings.

    In nanoseconds, with the difference of wall clocks on both sides.
    """
    service_types = settings.get("serviceTypes") or []
    window_ms = max((float(kind.get("window", 0.0)) for kind in service_types), default=0.0)
    timeout_ms = max((float(kind.get("giveUp", 0.0)) for kind in service_types), default=0.0)
    longest_ms = window_ms + (MAX_RETRY_AFTER + 1) * timeout_ms
    return int(longest_ms * NANOSECONDS_PER_MILLISECOND) + 2 * MAX_CLOCK_SKEW
