"""The leader's duty to place replicas of the idempotency keys. No I/O, no clock."""

from collections.abc import Iterable
from typing import Any

from cypresswalk.copies.messages import MAX_CLOCK_SKEW
from cypresswalk.fleet.commands import AddNote, PlaceReplicas
from cypresswalk.fleet.member_context import MemberContext
from cypresswalk.fleet.replica_placement import ReplicaPlacement

# The longest attempt timeout that a client may request, as a multiple of the longest `giveUp`
# (net/core.py).
MAX_REQUESTED_TIMEOUT_FACTOR = 20
NANOSECONDS_PER_MILLISECOND = 1_000_000


class ReplicaDuty:
    """Duty to pass the state to `ReplicaPlacement` and to propose the placements it decides on."""

    def __init__(self, context: MemberContext, placement: ReplicaPlacement):
        """Begin a period of leadership, for which `placement` has been reset."""
        self.context = context
        self.placement = placement

    def on_messages(self, now: int, source: str, messages: Iterable[Any]) -> None:
        """Process a member's reports about its replicas."""
        partitions = self.context.state.partitions
        for message in messages:
            self.placement.on_message(now, source, message, partitions)

    def run(self, now: int) -> None:
        """Take the next steps; raise BusyError if the log is busy."""
        context = self.context
        if not context.has_committed_in_term():
            return  # entries that earlier leaders committed may still be unknown here
        state = context.state
        proposals, messages = self.placement.next_steps(
            now,
            context.members,
            state.partitions,
            state.departed,
            lambda member: context.heard_recently(now, member),
            max_key_retention(state.settings),
        )
        for to, message in messages:
            context.send(to, message)
        if proposals:
            context.propose(now, PlaceReplicas(*context.command_header("place"), proposals))

    def recreate_partitions(self, now: int, partitions: list[int], by: str) -> str:
        """Let partitions without a reachable complete replica begin empty, as an operator requests.

        Requests whose keys were reserved there may run a second time.

        Returns:
            The answer for the operator.

        Raises:
            ValueError: a partition has a reachable complete replica, or no partition was given.
            BusyError: the log is busy.
        """
        with_replicas = [p for p in partitions if p not in self.placement.unreachable]
        if with_replicas:
            raise ValueError(f"parts {with_replicas} have copies")
        if not partitions:
            raise ValueError("no part given")
        header = self.context.command_header("renew", by)
        note = f"copies recreated empty: {partitions}"
        self.context.propose(now, AddNote(*header, note))
        self.placement.may_begin_empty.update(partitions)
        return f"{len(partitions)} parts are recreated empty"


def max_key_retention(settings: dict[str, Any]) -> int:
    """Return the longest time for which a key is kept under these settings, in nanoseconds.

    It includes the maximum skew of wall clocks in both directions.
    """
    service_types = settings.get("serviceTypes") or []
    window_ms = max((float(kind.get("window", 0.0)) for kind in service_types), default=0.0)
    timeout_ms = max((float(kind.get("giveUp", 0.0)) for kind in service_types), default=0.0)
    longest_ms = window_ms + (MAX_REQUESTED_TIMEOUT_FACTOR + 1) * timeout_ms
    return int(longest_ms * NANOSECONDS_PER_MILLISECOND) + 2 * MAX_CLOCK_SKEW
